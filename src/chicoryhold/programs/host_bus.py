"""The bus of a host that discovers the others from seeds."""

from __future__ import annotations

from chicoryhold.errors import SettingsError
from chicoryhold.hosts.bus import Bus
from chicoryhold.hosts.transport import PlaintextTransport
from chicoryhold.programs.host_settings import HostSettings


def create_bus(settings: HostSettings) -> Bus:
    """Create the bus, which has no keys and therefore doesn't encrypt.

    Raises ``SettingsError`` unless the settings accept unencrypted traffic explicitly.
    """
    if settings.transport_encrypted:
        raise SettingsError(
            "transport_encrypted = true needs a key for every host, which hosts that "
            "only know seeds don't have: set it to false on a closed network, or name "
            "all hosts in the settings of chicoryhold-entry and chicoryhold-control"
        )
    transport = PlaintextTransport(name=settings.name, port=settings.bus_port)
    return Bus(name=settings.name, address=settings.bus_address, transport=transport)
