"""Reads a response from a socket within limits of time and bytes."""

from __future__ import annotations

import socket
from collections.abc import Callable

import attrs

from chicoryhold.clock import Clock
from chicoryhold.errors import InvalidResponse

READ_BYTES = 65_536
MAX_HEAD_BYTES = 64 * 1024  # of the final and all interim heads together
MIN_HEAD_SECONDS = 0.5  # for a head that has begun; a lost packet is sent again by then
# Chunk sizes, chunk extensions and trailers. The smallest chunk, of one byte, has five
# bytes of framing.
MAX_FRAMING_BYTES = 128 * 1024
MAX_FRAMING_PER_BODY_BYTE = 8


def always() -> bool:
    """Return true: an exchange may be given up without asking."""
    return True


@attrs.define(kw_only=True)
class ExchangeDeadlines:
    """Times on the clock of this host by which an exchange must have ended.

    An exchange that has probably failed ends by ``early``, so that time remains for
    another attempt, any other by ``final``. Both are equal if there can be no other.
    ``is_doubtful`` is whether the connection may have been lost before the request.

    ``may_give_up`` is asked when the early deadline passes, and reserves the other
    attempt. If it returns false, the exchange goes on until ``final``.
    """

    final: float
    early: float
    is_doubtful: bool = False
    may_give_up: Callable[[], bool] = always
    was_given_up: bool = attrs.field(default=False, init=False)

    def give_up(self) -> bool:
        """Return whether to end early; if not, the early deadline is void."""
        self.was_given_up = self.may_give_up()
        if not self.was_given_up:
            self.early = self.final
        return self.was_given_up


class LimitedReader:
    """Reads the responses of one exchange, limited as a whole and not for each read.

    The timeout of the socket is computed anew before each read, so a target that sends
    a byte now and then can't extend the exchange.
    """

    def __init__(
        self, *, sock: socket.socket, clock: Clock, deadlines: ExchangeDeadlines
    ) -> None:
        self._socket = sock
        self._clock = clock
        self._deadlines = deadlines
        self._deadline = deadlines.early if deadlines.is_doubtful else deadlines.final
        self._in_head = True
        self._head_has_begun = False
        self._received = 0
        self._limit = MAX_HEAD_BYTES

    @property
    def has_received(self) -> bool:
        """Whether any byte has arrived since the request was sent."""
        return self._received > 0

    def receive(self) -> bytes:
        """Return the next bytes, or none if the target has ended the connection.

        Raises ``TimeoutError`` or ``InvalidResponse`` if a limit is reached.
        """
        allowed = self._limit - self._received
        if allowed <= 0:
            raise InvalidResponse(self._limit_message())
        data = self._receive(min(allowed, READ_BYTES))
        self._received += len(data)
        if self._in_head and not self._head_has_begun:
            self._begin_head()
        return data

    def end_interim_head(self) -> None:
        """Wait for another head, until the deadline of the exchange."""
        self._end_head()

    def start_body(self) -> None:
        """Apply the limits of a body from now on."""
        self._end_head()
        self._in_head = False
        self._limit = self._received + MAX_FRAMING_BYTES

    def start_another_head(self) -> None:
        """Apply the limits of a head from now on, for another response."""
        self._in_head = True
        self._limit = self._received + MAX_HEAD_BYTES

    def count_body(self, count: int) -> None:
        """Note that ``count`` of the bytes were body, which allows for more framing."""
        self._limit += count * (1 + MAX_FRAMING_PER_BODY_BYTE)

    def has_unread(self) -> bool:
        """Return whether more has arrived, without waiting for it."""
        self._socket.settimeout(0)
        try:
            return bool(self._socket.recv(1, socket.MSG_PEEK))
        except OSError:
            # Nothing has arrived, or the connection is broken: nothing can be read.
            return False

    def _receive(self, count: int) -> bytes:
        while True:
            self._socket.settimeout(self._remaining())
            try:
                return self._socket.recv(count)
            except TimeoutError as error:
                if error.errno is not None:
                    raise  # the kernel has found the connection lost

    def _begin_head(self) -> None:
        self._head_has_begun = True
        self._deadline = min(
            self._deadlines.final,
            max(self._deadlines.early, self._clock.now() + MIN_HEAD_SECONDS),
        )

    def _end_head(self) -> None:
        self._head_has_begun = False
        self._deadline = self._deadlines.final

    def _remaining(self) -> float:
        remaining = self._deadline - self._clock.now()
        if remaining > 0:
            return remaining
        if self._deadline >= self._deadlines.final:
            raise TimeoutError("the deadline has passed")
        if not self._deadlines.give_up():
            self._deadline = self._deadlines.final
            return self._remaining()
        if self._head_has_begun:
            raise InvalidResponse(
                "the answer's head has begun and doesn't end: look at the target's log"
            )
        raise TimeoutError("the connection may be lost: another attempt is made")

    def _limit_message(self) -> str:
        if self._in_head:
            return (
                f"the answer's heads are longer than {MAX_HEAD_BYTES} bytes: send fewer"
            )
        return "the answer has more framing than body: send larger chunks"
