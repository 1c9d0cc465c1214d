"""Checks addresses in records that other programs may have written."""

import ipaddress

MAX_PORT = 65_535


def is_valid(address: str) -> bool:
    """Return whether a text is an IP address and a port."""
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return (
        port.isascii()
        and port.isdigit()
        and len(port) <= len(str(MAX_PORT))
        and 1 <= int(port) <= MAX_PORT
    )
