"""Addresses as the configuration and the list write them."""


def split(address: str) -> tuple[str, int]:
    """Raises ValueError for what is none."""
    host, _, port = address.rpartition(":")
    return host, int(port)
