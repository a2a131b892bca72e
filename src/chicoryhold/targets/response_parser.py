"""Reads one response, strictly: its head, its framing and its end must be seen.

Heads, lengths and chunks are parsed by h11, which raises an error where the standard
library takes the end of the connection for the end of a head, drops what follows a line
that it can't read, or ends a body without its last chunk.
"""

from __future__ import annotations

import http
from collections.abc import Callable

import attrs
import h11

from chicoryhold.errors import InvalidResponse, RequestNotSent
from chicoryhold.targets.exchange import ResponseHead
from chicoryhold.targets.limited_reader import MAX_HEAD_BYTES, LimitedReader
from chicoryhold.targets.response_memory import (
    MAX_RESPONSE_BYTES,
    BodyBuffer,
    ResponseMemory,
)

MAX_HEADERS = 100
MAX_STATUS = 599  # RFC 9110, section 15


@attrs.frozen(kw_only=True)
class ParsedResponse(ResponseHead):
    """A response whose end was seen.

    ``states_its_end`` is false if the end of the connection was the end of the body.
    ``keeps_connection`` is whether the target will read another request. ``following``
    are the bytes after it that have been read.
    """

    body: bytes
    states_its_end: bool
    keeps_connection: bool
    following: bytes


def request_bytes(
    method: str, target: str, headers: list[tuple[str, str]], body: bytes
) -> list[bytes]:
    """Return the head of a request and its body, as they are sent.

    Raises ``RequestNotSent`` if HTTP doesn't allow such a request.
    """
    connection = h11.Connection(h11.CLIENT)
    try:
        request = h11.Request(
            method=method.encode("ascii"),
            target=target.encode("ascii"),
            headers=[(k.encode("ascii"), v.encode("latin-1")) for k, v in headers],
        )
        parts = [connection.send(request)]
        if body:
            parts += connection.send_with_data_passthrough(h11.Data(data=body))
        connection.send(h11.EndOfMessage())
    except (h11.LocalProtocolError, UnicodeError) as error:
        raise RequestNotSent(
            f"the request can't be sent: {error}; correct its headers and path"
        ) from error
    return parts


def read_response(
    reader: LimitedReader, *, has_body: bool, memory: ResponseMemory, received: bytes,
    on_head: Callable[[ResponseHead], None],
) -> ParsedResponse:  # fmt: skip
    """Read one response, of which ``received`` has been read already.

    Without ``has_body`` it answers a HEAD request. ``on_head`` is called with its head
    once that has arrived in full. Raises ``InvalidResponse`` if it
    isn't a response, or an ``OSError`` if the connection ends before it does.
    """
    parser = _parser(has_body=has_body)
    if received:
        parser.receive_data(received)
    with memory.buffer() as body:
        try:
            head = _read_head(parser, reader)
            response_head = _response_head(head)
            on_head(response_head)
            sends_body = has_body and head.status_code not in _STATUSES_WITHOUT_BODY
            if sends_body:
                _check_length(int(response_head.header("content-length") or 0))
            _read_body(parser, reader, body)
        except h11.RemoteProtocolError as error:
            raise InvalidResponse(
                f"the answer can't be read: {error}; look at the target's log"
            ) from error
        names = {name for name, _ in head.headers}
        return ParsedResponse(
            status=response_head.status,
            headers=response_head.headers,
            body=body.to_bytes(),
            states_its_end=(
                not sends_body
                or bool(names & {b"content-length", b"transfer-encoding"})
            ),
            keeps_connection=parser.their_state is h11.DONE,
            following=parser.trailing_data[0],
        )


def _response_head(head: h11.Response) -> ResponseHead:
    return ResponseHead(
        status=head.status_code,
        headers=tuple(
            (name.decode("ascii"), value.decode("latin-1"))
            for name, value in head.headers.raw_items()
        ),
    )


_STATUSES_WITHOUT_BODY = (http.HTTPStatus.NO_CONTENT, http.HTTPStatus.NOT_MODIFIED)


def _parser(*, has_body: bool) -> h11.Connection:
    """Return a parser that expects a response; it needs to know that of the request."""
    parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
    method = b"GET" if has_body else b"HEAD"
    parser.send(h11.Request(method=method, target=b"/", headers=[(b"Host", b"")]))
    parser.send(h11.EndOfMessage())
    return parser


def _read_head(parser: h11.Connection, reader: LimitedReader) -> h11.Response:
    """Return the final head, after all interim heads."""
    while True:
        event = _next_event(parser, reader)
        if isinstance(event, h11.InformationalResponse):
            reader.end_interim_head()
            continue
        _check_head(event)
        reader.start_body()
        return event


def _check_head(head: h11.Response) -> None:
    """Raise ``InvalidResponse`` for what h11 lets pass."""
    if head.status_code > MAX_STATUS:
        raise InvalidResponse(
            f"the answer's status {head.status_code} isn't one of HTTP: make the "
            f"target send one up to {MAX_STATUS}"
        )
    lengths = {name for name, _ in head.headers} & {
        b"content-length", b"transfer-encoding",
    }  # fmt: skip
    if len(lengths) > 1:
        raise InvalidResponse(
            "the answer has a length and chunks, so its end is ambiguous: make the "
            "target send one of them"
        )
    if len(head.headers) > MAX_HEADERS:
        raise InvalidResponse(
            f"the answer has more than {MAX_HEADERS} headers: send fewer"
        )


def _read_body(parser: h11.Connection, reader: LimitedReader, body: BodyBuffer) -> None:
    while not isinstance(event := _next_event(parser, reader), h11.EndOfMessage):
        _check_length(body.size + len(event.data))
        body.append(event.data)
        reader.count_body(len(event.data))


def _check_length(length: int) -> None:
    if length > MAX_RESPONSE_BYTES:
        raise InvalidResponse(
            f"the answer is longer than {MAX_RESPONSE_BYTES} bytes: send less"
        )


def _next_event(parser: h11.Connection, reader: LimitedReader) -> h11.Event:
    while (event := parser.next_event()) is h11.NEED_DATA:
        data = reader.receive()
        try:
            parser.receive_data(data)
            if not data:
                return _last_event(parser)
        except h11.RemoteProtocolError as error:
            if data:
                raise
            raise ConnectionAbortedError(
                f"the connection ended before the response: {error}"
            ) from error
    return event


def _last_event(parser: h11.Connection) -> h11.Event:
    """Return what the end of the connection ends, if that may end a response."""
    event = parser.next_event()
    if isinstance(event, h11.ConnectionClosed) or event is h11.NEED_DATA:
        raise ConnectionAbortedError("the connection ended without a response")
    return event
