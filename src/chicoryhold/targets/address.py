"""Addresses of targets, written as an IP number and a port."""

from __future__ import annotations

import ipaddress
import socket

import attrs

MAX_PORT = 65_535
REMEDY = "write ip:port, for example 10.0.0.9:8080 or [fd00::9]:8080"


@attrs.frozen(kw_only=True)
class TargetAddress:
    """An address that can be connected to without a name lookup."""

    ip: ipaddress.IPv4Address | ipaddress.IPv6Address
    port: int

    @property
    def family(self) -> socket.AddressFamily:
        return socket.AF_INET if self.ip.version == 4 else socket.AF_INET6


def parse_address(text: str) -> TargetAddress:
    """Parse ``ip:port``, or ``[ip]:port`` for IPv6.

    Raises ``ValueError`` if the text is anything else, such as a host name.
    """
    host, _, port = text.rpartition(":")
    return TargetAddress(ip=_parse_ip(text, host), port=_parse_port(text, port))


def _parse_ip(text: str, host: str) -> ipaddress.IPv4Address | ipaddress.IPv6Address:
    is_bracketed = host.startswith("[") and host.endswith("]")
    try:
        if not is_bracketed:
            return ipaddress.IPv4Address(host)
        ip = ipaddress.IPv6Address(host[1:-1])
    except ValueError as error:
        raise ValueError(f"address {text!r}: {REMEDY}") from error
    if ip.scope_id is not None:
        raise ValueError(f"address {text!r}: a scope is valid on one host only")
    return ip


def _parse_port(text: str, port: str) -> int:
    is_number = port.isascii() and port.isdecimal() and len(port) <= len(str(MAX_PORT))
    if not is_number or not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f"address {text!r}: write a port from 1 to {MAX_PORT}")
    return int(port)
