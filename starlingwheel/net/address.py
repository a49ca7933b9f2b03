"""Parsing of addresses, which the configuration and the endpoint list write as "host:port"."""


def split_host_port(address: str) -> tuple[str, int]:
    """Return the host and the port of "host:port"; raises ValueError if the port is not a number."""
    host, _, port = address.rpartition(":")
    return host, int(port)
