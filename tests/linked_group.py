"""Replicas on links of a given bandwidth, on which messages arrive in order."""

from __future__ import annotations

import attrs

from chicoryhold.codec import encode
from chicoryhold.consensus.effects import Send
from chicoryhold.consensus.election_timer import Timing
from tests.fakes import Group

CONTROL_TIMING = Timing(heartbeat=0.25, election=1.0)


@attrs.frozen(kw_only=True)
class Transfer:
    send: Send
    arrives_at: float
    size: int


class LinkedGroup(Group):
    """Between each two replicas, each way, there is one link with one queue.

    A replica in ``reset`` loses what is on its links at the next step.
    """

    def __init__(
        self, *, seed: int, voters: tuple[str, ...], bytes_per_second: float,
        delay: float = 0.01,
    ) -> None:  # fmt: skip
        super().__init__(seed=seed, voters=voters, timing=CONTROL_TIMING)
        self.largest_message = 0
        self.sent_bytes = 0
        self.reset: set[str] = set()
        self._bytes_per_second = bytes_per_second
        self._delay = delay
        self._free_at: dict[tuple[str, str], float] = {}
        self._transfers: list[Transfer] = []

    def waiting_bytes(self, name: str) -> int:
        """How much is on its way to replica ``name``."""
        return sum(each.size for each in self._transfers if each.send.to == name)

    def deliver(self) -> None:
        self._lose_what_is_reset()
        self._take_in()
        while due := self._due():
            self._transfers = [each for each in self._transfers if each not in due]
            for transfer in due:
                self._deliver_one(transfer.send)
            self._take_in()

    def _due(self) -> list[Transfer]:
        now = self.clock.now()
        due = [each for each in self._transfers if each.arrives_at <= now]
        return sorted(due, key=lambda each: each.arrives_at)

    def _lose_what_is_reset(self) -> None:
        self._transfers = [
            each
            for each in self._transfers
            if not {each.send.to, _sender_of(each.send)} & self.reset
        ]
        self.reset = set()

    def _take_in(self) -> None:
        sent, self._network = self._network, []
        now = self.clock.now()
        for send in sent:
            size = len(encode(send.message))
            self.largest_message = max(self.largest_message, size)
            self.sent_bytes += size
            link = (_sender_of(send), send.to)
            begins = max(now, self._free_at.get(link, now))
            self._free_at[link] = begins + size / self._bytes_per_second
            arrives_at = self._free_at[link] + self._delay
            self._transfers.append(
                Transfer(send=send, arrives_at=arrives_at, size=size)
            )


def _sender_of(send: Send) -> str:
    message = send.message
    for field in ("leader", "follower", "voter", "candidate"):
        if hasattr(message, field):
            return getattr(message, field)
    raise ValueError(f"no sender in {type(message).__name__}")
