"""Ranks the entry hosts that a caller should use, best first."""

from __future__ import annotations

import ipaddress

import attrs

from chicoryhold.claims.keys import idempotency_prefix
from chicoryhold.control.follower import Follower
from chicoryhold.hosts.domain_view import DomainView
from chicoryhold.settings import DomainSettings
from chicoryhold.state.table import Table
from chicoryhold.steering.client_blocks import ClientBlocks, parse_block

ANSWER_LIFETIME_SECONDS = 30
MAX_HOSTS_IN_ANSWER = 6


@attrs.frozen(kw_only=True)
class EntryHost:
    """An entry host in a lookup answer.

    ``weight`` is relative to the other hosts of the same rank.
    """

    name: str
    address: str
    domain: str
    weight: int


@attrs.frozen(kw_only=True)
class LookupAnswer:
    """The ranked entry hosts and for how long the answer may be used.

    The caller's idempotency keys must start with ``idempotency_prefix``.
    """

    entry_hosts: tuple[EntryHost, ...]
    lifetime_seconds: int
    idempotency_prefix: str


class Lookup:
    """Ranks hosts: the caller's domain first, then its region, then all others.

    A caller whose address is IPv6, or in no client block, counts as one of this host's
    domain.
    """

    def __init__(
        self, *, domain: str, domains: dict[str, DomainSettings], view: DomainView,
        follower: Follower,
    ) -> None:  # fmt: skip
        self._domain = domain
        self._domains = domains
        self._view = view
        self._follower = follower
        self._domain_names = sorted(domains)
        # Replaced together, as several threads may notice a new table at once.
        self._table_and_blocks = (Table(), ClientBlocks(()))

    def answer(self, client: str) -> LookupAnswer:
        """Return the ranked entry hosts for the address ``client``."""
        caller_domain = self._domain_of(client)
        hosts = [
            host
            for domain in self._ranked_domains(caller_domain)
            for host in self._hosts_in(domain)
        ]
        return LookupAnswer(
            entry_hosts=tuple(hosts[:MAX_HOSTS_IN_ANSWER]),
            lifetime_seconds=ANSWER_LIFETIME_SECONDS,
            idempotency_prefix=idempotency_prefix(self._domain, self._view.generations),
        )

    def _domain_of(self, client: str) -> str:
        blocks = self._current_blocks()
        try:
            address = int(ipaddress.IPv4Address(client))
        except ValueError:
            return self._domain
        domain_index = blocks.domain_index_of(address)
        return (
            self._domain if domain_index is None else self._domain_names[domain_index]
        )

    def _current_blocks(self) -> ClientBlocks:
        table = self._follower.state.table
        known_table, blocks = self._table_and_blocks
        if table is not known_table:
            blocks = self._build_blocks(table)
            self._table_and_blocks = (table, blocks)
        return blocks

    def _build_blocks(self, table: Table) -> ClientBlocks:
        return ClientBlocks(
            parse_block(network, self._domain_names.index(domain))
            for network, domain in table.blocks
            if domain in self._domains and ":" not in network
        )

    def _ranked_domains(self, caller_domain: str) -> list[str]:
        region = self._domains[caller_domain].region

        def rank(name: str) -> tuple[bool, bool, str]:
            return (name != caller_domain, self._domains[name].region != region, name)

        return sorted(self._domains, key=rank)

    def _hosts_in(self, domain: str) -> list[EntryHost]:
        planned_stops = self._follower.state.stops
        alive = self._view.hosts if domain == self._domain else None
        return [
            EntryHost(name=name, address=address, domain=domain, weight=100)
            for name, address in self._domains[domain].callers.items()
            if name not in planned_stops and (not alive or name in alive)
        ]
