"""Responses that targets spoil: cut heads, unclear ends, doubled answers, no proof.

Guards against MIXED: callers got a 200 that was empty, or not proved by the target.
"""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress

import pytest
from hypothesis import given, settings, strategies as st

from chicoryhold.clock import BootClock
from chicoryhold.errors import ExchangeFailed
from chicoryhold.targets.connections import TargetConnections
from chicoryhold.targets.dialect import Dialect
from chicoryhold.targets.exchange import OutgoingRequest, TargetResponse

DIALECT = Dialect(
    request_id_header="Request-Id", lenient_framing=True, proof_header="Proof"
)
SOUND = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nProof: 3e1b.07.c9f2\r\n"
    b"Content-Length: 5\r\n\r\nwhole"
)
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nProof: p\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
)
Answer = Callable[[bytes], bytes]


@contextmanager
def target(*answers: bytes, ends: bool = True) -> Iterator[str]:
    """Yield the address of a target that sends ``answers`` on each connection.

    ``{id}`` stands for the request's ID, ``{previous}`` for that of the one before.
    With ``ends``, the connection ends after the last of them, without a reset.
    """
    listener = socket.create_server(("127.0.0.1", 0))

    def serve(connection: socket.socket) -> None:
        previous = b""
        with connection, suppress(OSError):
            for answer in answers:
                head = b""
                while b"\r\n\r\n" not in head:
                    data = connection.recv(65_536)
                    if not data:
                        return
                    head += data
                request_id = head.partition(b"Request-Id: ")[2].partition(b"\r\n")[0]
                filled = answer.replace(b"{id}", request_id)
                connection.sendall(filled.replace(b"{previous}", previous))
                previous = request_id
            if ends:
                connection.shutdown(socket.SHUT_WR)
            connection.recv(1)

    def accept() -> None:
        with suppress(OSError):
            while True:
                connection, _ = listener.accept()
                threading.Thread(target=serve, args=[connection], daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    try:
        yield f"127.0.0.1:{listener.getsockname()[1]}"
    finally:
        listener.close()


def exchange(
    connections: TargetConnections, address: str, request_id: str = "r1", *,
    method: str = "GET",
) -> TargetResponse:  # fmt: skip
    request = OutgoingRequest(
        request_id=request_id,
        method=method,
        path="/",
        headers={},
        body=b"",
        at_most_once=False,
    )
    deadline = BootClock().now() + 2.0
    return connections.exchange(
        address, request, deadline=deadline, stale_connection_deadline=deadline
    )


def answer_of(answer: bytes, *, ends: bool = True) -> TargetResponse:
    connections = TargetConnections(clock=BootClock(), dialect=DIALECT)
    with target(answer, ends=ends) as address:
        return exchange(connections, address)


@pytest.mark.parametrize("answer", [SOUND, CHUNKED])
def test_a_sound_response_is_returned(answer):
    response = answer_of(answer)
    assert (response.status, response.body) == (200, b"whole")


@settings(max_examples=60, deadline=None)
@given(cut=st.integers(0, len(SOUND) - 1), is_chunked=st.booleans())
def test_a_response_whose_connection_ends_too_soon_is_no_response(cut, is_chunked):
    """Wherever it ends: after the ID, inside the proof, inside the length."""
    whole = CHUNKED if is_chunked else SOUND
    with pytest.raises(ExchangeFailed):
        answer_of(whole[: min(cut, len(whole) - 1)])


@pytest.mark.parametrize(
    ("old", "new"),
    [
        (b"Proof: 3e1b", b"garbage\r\nProof: 3e1b"),
        (b"Proof: 3e1b", b"\x00\xff\r\nProof: 3e1b"),
        (b"Proof", b"Pro of"),
        (b"Content-Length: 5", b"Content-Length: -5"),
        (b"Content-Length: 5", b"Content-Length: 5\r\nContent-Length: 4"),
        (b"Content-Length: 5", b"Content-Length: 5\r\nTransfer-Encoding: chunked"),
        (b"Content-Length: 5", b"Transfer-Encoding: gzip"),
        (b"Content-Length: 5", b"Transfer-Encoding: chunked"),
        (b"HTTP/1.1 200 OK\r\n", b""),
        (b"Proof: 3e1b.07.c9f2\r\n", b""),
        (b"Proof: 3e1b.07.c9f2", b"Proof:"),
    ],
    ids=[
        "garbage before the proof",
        "bytes before the proof",
        "space in a name",
        "negative length",
        "two lengths",
        "length and chunks",
        "unknown coding",
        "body without chunks",
        "no status",
        "no proof",
        "empty proof",
    ],
)
def test_a_response_that_is_not_sound_is_no_response(old, new):
    assert old in SOUND
    with pytest.raises(ExchangeFailed):
        answer_of(SOUND.replace(old, new))


def test_chunks_without_the_last_one_are_no_whole_body():
    with pytest.raises(ExchangeFailed):
        answer_of(CHUNKED.removesuffix(b"0\r\n\r\n"))
    with pytest.raises(ExchangeFailed):
        answer_of(CHUNKED.removesuffix(b"\r\n"))


def test_a_failure_needs_no_proof():
    failure = SOUND.replace(b"200 OK", b"500 Oops").replace(b"Proof", b"Other")
    assert answer_of(failure).status == 500


def test_a_response_without_a_length_ends_with_its_connection():
    response = answer_of(SOUND.replace(b"Content-Length: 5\r\n", b""))
    assert response.body == b"whole"


def test_an_answer_that_comes_twice_is_skipped_when_the_next_one_is_due():
    """The second one arrives with the answer to the next request, before it."""
    again = SOUND.replace(b"{id}", b"{previous}").replace(b"whole", b"again")
    connections = TargetConnections(clock=BootClock(), dialect=DIALECT)
    with target(SOUND, again + SOUND, SOUND) as address:
        assert exchange(connections, address, "r1").body == b"whole"
        assert exchange(connections, address, "r2").body == b"whole"
        assert exchange(connections, address, "r3").body == b"whole"


def test_half_an_answer_that_comes_again_spoils_the_next_one():
    half = SOUND.replace(b"{id}", b"{previous}")[:-3]
    connections = TargetConnections(clock=BootClock(), dialect=DIALECT)
    with target(SOUND, half + SOUND) as address:
        exchange(connections, address, "r1")
        with pytest.raises(ExchangeFailed):
            exchange(connections, address, "r2")


def test_what_follows_an_answer_is_never_part_of_the_next_one():
    connections = TargetConnections(clock=BootClock(), dialect=DIALECT)
    with target(SOUND + b"more", SOUND) as address:
        assert exchange(connections, address, "r1").body == b"whole"
        assert connections.idle_count(address) == 0


def test_an_answer_to_another_request_is_not_returned():
    with pytest.raises(ExchangeFailed):
        answer_of(SOUND.replace(b"{id}", b"other"))
