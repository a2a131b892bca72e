"""Pool of connections to targets; idle ones are reused while likely to be alive."""

from __future__ import annotations

import threading
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor

from loguru import logger

from chicoryhold.clock import Clock
from chicoryhold.errors import (
    ConnectFailed,
    ExchangeCancelled,
    ExchangeFailed,
    ExchangeTimeout,
    InvalidResponse,
    RequestNotSent,
)
from chicoryhold.targets.cancellation import NEVER_CANCELLED, Cancellation
from chicoryhold.targets.checked_connection import CheckedConnection
from chicoryhold.targets.dialect import OWN_DIALECT, TargetDialect
from chicoryhold.targets.exchange import (
    ConnectionUse,
    OutgoingRequest,
    ResponseHead,
    TargetResponse,
)
from chicoryhold.targets.idle_connections import (
    DEFAULT_IDLE_LIMIT_SECONDS,
    IdleConnections,
    idle_limit_seconds,
)
from chicoryhold.targets.limited_reader import ExchangeDeadlines, always
from chicoryhold.targets.link_failures import LinkFailure, connect_failure
from chicoryhold.targets.response_memory import ResponseMemory
from chicoryhold.targets.response_parser import ParsedResponse

CONNECT_TIMEOUT_SECONDS = 1.0
PRECONNECT_THREADS = 2
LOST_SECONDS = 0.25  # a connection that ends so soon after it was reused was lost
MAX_SKIPPED_RESPONSES = 2  # to earlier requests, before the one to this request
STALE_AFTER_SECONDS = 0.1  # idle time after which a connection may have been lost


class TargetConnections:
    """Sends requests to targets over pooled connections.

    Each response is checked to be complete and to belong to its request. For that, an
    ID is sent at most once over one connection.
    ``record_connect_time`` is called with the address and the seconds that opening
    each new connection took, ``record_link_failure`` with the address and the kind of
    each failure to open one or to get a response over one. While ``may_keep_idle``
    returns false, connections are closed after their exchange. None is opened in
    advance to an address for which ``may_preconnect`` returns false.
    """

    def __init__(
        self, *, clock: Clock, dialect: TargetDialect = OWN_DIALECT,
        connect_timeout: float = CONNECT_TIMEOUT_SECONDS,
        record_connect_time: Callable[[str, float], None] = (
            lambda address, seconds: None
        ),
        record_link_failure: Callable[[str, LinkFailure], None] = (
            lambda address, failure: None
        ),
        may_keep_idle: Callable[[], bool] = lambda: True,
        may_preconnect: Callable[[str], bool] = lambda address: True,
    ) -> None:  # fmt: skip
        self._record_connect_time = record_connect_time
        self._record_link_failure = record_link_failure
        self._clock = clock
        self._connect_timeout = connect_timeout
        self._may_preconnect = may_preconnect
        self._dialect = dialect
        self._memory = ResponseMemory()
        self._idle = IdleConnections(clock=clock, may_keep=may_keep_idle)
        self._connecting: set[str] = set()
        self._preconnect_pool = ThreadPoolExecutor(
            PRECONNECT_THREADS, thread_name_prefix="spare"
        )
        self._lock = threading.Lock()

    def exchange(
        self, address: str, request: OutgoingRequest, *, deadline: float,
        stale_connection_deadline: float, may_give_up: Callable[[], bool] = always,
        cancellation: Cancellation = NEVER_CANCELLED,
    ) -> TargetResponse:  # fmt: skip
        """Return the response of the target at ``address``, by ``deadline``.

        If the connection was idle for longer than ``STALE_AFTER_SECONDS``, the earlier
        ``stale_connection_deadline`` applies: the connection may have been lost, and
        time must remain for an attempt on another one. A more recently used
        connection is known to work, so a late response there means that the target is
        slow, and another attempt would only add load. The earlier deadline also
        applies while a response has begun and its head doesn't end. When it passes,
        ``may_give_up`` is asked once whether another attempt will be made; if not, this
        one goes on.

        Raises ``ConnectFailed`` if no byte was sent (its subclass ``RequestNotSent`` if
        a connection was open), and ``ExchangeFailed`` if the
        target may or may not have run the request. Its subclass ``ExchangeTimeout`` is
        raised if time ran out, ``ExchangeCancelled`` if ``cancellation`` ended the
        exchange.
        """
        idle = self._idle.take(
            address,
            request_id=request.request_id,
            at_most_once=request.at_most_once and not request.cross_region,
        )
        if request.cross_region:
            self.preconnect(address)
        if idle is None:
            connection = self._connect(address, deadline)
        else:
            connection = idle.connection
        started = self._clock.now()
        deadlines = ExchangeDeadlines(
            final=deadline,
            early=stale_connection_deadline,
            is_doubtful=(
                idle is not None and started - idle.idle_since > STALE_AFTER_SECONDS
            ),
            may_give_up=may_give_up,
        )
        try:
            with cancellation.closing(connection.sock):
                response = self._send(connection, request, deadlines)
        except RequestNotSent:
            connection.close()
            raise
        except InvalidResponse as error:
            connection.close()
            error.heads = self._known_heads(connection, request)
            raise
        except OSError as e:
            connection.close()
            if cancellation.is_set:
                cancelled = ExchangeCancelled("the caller left: nobody waits for this")
                cancelled.heads = self._known_heads(connection, request)
                raise cancelled from e
            # The other connections to this address may have been lost as well.
            self._idle.close(address)
            if idle is not None and self._clock.now() - started < LOST_SECONDS:
                self._idle.record_lost()
            failure = self._exchange_error(address, deadlines, e)
            failure.heads = self._known_heads(connection, request)
            if not isinstance(failure, ExchangeTimeout):
                self._record_link_failure(address, LinkFailure.LOST)
            if not connection.may_have_sent:
                message = f"target {address} took no byte: {e}; look at its log"
                raise RequestNotSent(message) from e
            raise failure from e
        self._idle.keep(
            address, connection, idle_limit_seconds(response.header("keep-alive"))
        )
        return TargetResponse(
            status=response.status,
            headers=response.headers,
            body=response.body,
            earlier=connection.take_heads()[:-1],
            use=ConnectionUse(
                port=connection.local_port, number=len(connection.sent_ids)
            ),
        )

    def _known_heads(
        self, connection: CheckedConnection, request: OutgoingRequest
    ) -> tuple[ResponseHead, ...]:
        """Return the heads of an exchange that has failed, for its error.

        Only a valid head of the response to ``request`` shows whom they come from.
        """
        heads = connection.take_heads()
        if not heads or self._fault_of_head(request, heads[-1]):
            return ()
        return heads

    def _exchange_error(
        self, address: str, deadlines: ExchangeDeadlines, error: Exception
    ) -> ExchangeFailed:
        timed_out = deadlines.was_given_up or self._clock.now() >= deadlines.final
        kind = ExchangeTimeout if timed_out else ExchangeFailed
        return kind(
            f"target {address} broke off: {error}; look at its log and at the link"
        )

    def idle_count(self, address: str) -> int:
        """Return the number of idle connections to ``address``."""
        return self._idle.count(address)

    def stop_preconnecting(self) -> None:
        """Stop opening connections in advance; wait for those that are being opened."""
        self._preconnect_pool.shutdown()

    def preconnect(self, address: str) -> None:
        """Open a connection in the background, unless there is an idle one.

        Opening a connection to another region takes as long as a request there.
        """
        with self._lock:
            if self._idle.count(address) or address in self._connecting:
                return
            self._connecting.add(address)
        future = self._preconnect_pool.submit(self._preconnect, address)
        future.add_done_callback(lambda done: _log_failure(done, address))

    def _preconnect(self, address: str) -> None:
        try:
            if not self._may_preconnect(address):
                return
            connection = self._connect(
                address, self._clock.now() + CONNECT_TIMEOUT_SECONDS
            )
        except ConnectFailed as error:
            logger.bind(address=address, reason=str(error)).info(
                "connections: opening a connection in advance failed."
            )
        else:
            self._idle.keep(address, connection, DEFAULT_IDLE_LIMIT_SECONDS)
        finally:
            with self._lock:
                self._connecting.discard(address)

    def close_all_idle(self) -> None:
        """Close every idle connection."""
        self._idle.close_all()

    def _connect(self, address: str, deadline: float) -> CheckedConnection:
        host, _, port = address.rpartition(":")
        remaining = max(0.001, deadline - self._clock.now())
        timeout = min(self._connect_timeout, remaining)
        connection = CheckedConnection(
            host=host,
            port=int(port),
            timeout=timeout,
            clock=self._clock,
        )
        started = self._clock.now()
        try:
            connection.connect()
        except OSError as error:
            connection.close()
            self._idle.close(address)
            self._record_link_failure(address, connect_failure(error))
            raise ConnectFailed(
                f"target {address} can't be reached: {error}; check its process"
            ) from error
        self._record_connect_time(address, self._clock.now() - started)
        return connection

    def _send(
        self, connection: CheckedConnection, request: OutgoingRequest,
        deadlines: ExchangeDeadlines,
    ) -> ParsedResponse:  # fmt: skip
        connection.start_exchange(deadlines)
        connection.sent_ids.add(request.request_id)
        id_header = self._dialect.request_id_header
        connection.send_request(
            request.method,
            request.path,
            {**request.headers, id_header: request.request_id},
            request.body,
        )
        response = self._read_response(connection, request)
        self._validate(request, response)
        if connection.has_more() and not self._dialect.lenient_framing:
            raise InvalidResponse(
                "the answer goes on after its end: fix its Content-Length"
            )
        if connection.has_more() or not response.keeps_connection:
            # The response is complete; what follows belongs to no request.
            connection.close()
        connection.end_exchange()
        return response

    def _read_response(
        self, connection: CheckedConnection, request: OutgoingRequest
    ) -> ParsedResponse:
        """Return the next response, or the one after responses to earlier requests.

        A target may send a response twice, the second time when the next one is due.
        """
        for _ in range(MAX_SKIPPED_RESPONSES):
            response = connection.read_response(memory=self._memory)
            echoed_id = response.header(self._dialect.request_id_header)
            is_other = bool(echoed_id) and echoed_id != request.request_id
            if not (is_other and self._dialect.lenient_framing):
                return response
            logger.bind(
                request=request.request_id,
                other=echoed_id,
                status=response.status,
                port=connection.local_port,
                was_sent=echoed_id in connection.sent_ids,
            ).info("connections: skipped a response to another request.")
        return connection.read_response(memory=self._memory)

    def _validate(self, request: OutgoingRequest, response: ParsedResponse) -> None:
        if not (response.states_its_end or self._dialect.lenient_framing):
            raise InvalidResponse(
                "the answer has no length, so it can't be known to be whole: make the "
                "target send Content-Length or chunks"
            )
        fault = self._fault_of_head(request, response)
        if fault:
            raise InvalidResponse(fault)

    def _fault_of_head(self, request: OutgoingRequest, head: ResponseHead) -> str:
        """Return why ``head`` isn't one of the target's response, or ``""``."""
        id_header = self._dialect.request_id_header
        echoed_id = head.header(id_header)
        if echoed_id != request.request_id:
            return (
                f"the answer is for request {echoed_id!r}, not {request.request_id!r}: "
                f"make the target return {id_header}"
            )
        proof_header = self._dialect.proof_header
        is_success = 200 <= head.status < 300
        if is_success and proof_header and not head.header(proof_header):
            return (
                f"the answer is a success without {proof_header}, so it isn't known to "
                "come from the target: look at what is between"
            )
        return ""


def _log_failure(done: Future, address: str) -> None:
    error = done.exception()
    if error is not None:
        logger.bind(address=address).opt(exception=error).error(
            "connections: opening a connection in advance raised an error."
        )
