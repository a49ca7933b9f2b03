"""Addresses as the configuration and the endpoint list write them, host:port."""


def split_host_port(address: str) -> tuple[str, int]:
    """Return host and port; raises ValueError where the port is no number."""
    host, _, port = address.rpartition(":")
    return host, int(port)
