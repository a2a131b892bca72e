"""Parsing of callers' requests, with the key removed from all that targets receive."""

from __future__ import annotations

import base64
import binascii
import re
from collections.abc import Mapping
from urllib.parse import quote, unquote_to_bytes

import attrs

from chicoryhold.callers.refusals import Refusal, RefusalKind, RunStatus
from chicoryhold.errors import RequestRefused
from chicoryhold.keys import KEY_PATTERN

KEY_HEADER = "HTTP_CHICORYHOLD_KEY"
IDEMPOTENCY_HEADER = "HTTP_IDEMPOTENCY_KEY"
DEADLINE_HEADER = "HTTP_CHICORYHOLD_DEADLINE_MS"
_KEY_REGEX = re.compile(KEY_PATTERN.pattern.encode(), re.IGNORECASE)
_MAX_DECODING_PASSES = 4
_NOT_FORWARDED = frozenset(
    {
        "CONNECTION", "KEEP_ALIVE", "PROXY_AUTHENTICATE", "PROXY_AUTHORIZATION", "TE",
        "TRAILER", "TRANSFER_ENCODING", "UPGRADE", "HOST", "CONTENT_LENGTH", "EXPECT",
        "CHICORYHOLD_KEY", "CHICORYHOLD_ORGANISATION", "CHICORYHOLD_REQUEST_ID",
        "CHICORYHOLD_DEADLINE_MS", "CHICORYHOLD_RAN",
    }
)  # fmt: skip


@attrs.frozen(kw_only=True)
class CallerRequest:
    """A caller's request. ``headers`` holds only those that a target may receive.

    ``request_target`` is the path and query as HTTP sends them.
    """

    method: str
    path: str
    request_target: str
    headers: Mapping[str, str]
    body: bytes
    key: str | None = attrs.field(repr=False)
    idempotency_key: str | None
    deadline: float | None


def read_request(environ: Mapping[str, object]) -> CallerRequest:
    """Return the request of a WSGI ``environ``.

    Raises ``RequestRefused`` for one that must not reach a target, such as one with a
    key in its path, query or body, which can't be removed without changing what the
    caller asked for.
    """
    body = environ["wsgi.input"].read()
    path = str(environ["PATH_INFO"])
    _refuse_ambiguous_path(path)
    request = CallerRequest(
        method=str(environ["REQUEST_METHOD"]),
        path=path,
        request_target=_request_target(path, str(environ.get("QUERY_STRING", ""))),
        headers=_forwarded_headers(environ),
        body=body,
        key=_read_key(environ),
        idempotency_key=environ.get(IDEMPOTENCY_HEADER),
        deadline=_read_deadline(environ),
    )
    _refuse_exposed_key(request)
    return request


def _refuse_ambiguous_path(path: str) -> None:
    """Refuse a path that a target could resolve to another route than this host."""
    segments = path.split("/")[1:]
    dotted = any(segment.partition(";")[0] in (".", "..") for segment in segments)
    if dotted or "" in segments[:-1] or "\\" in path or not path.isprintable():
        raise _bad_request(f"the path {path!r} is ambiguous: send it in normal form")


def _request_target(path: str, query: str) -> str:
    """Return the request target for exactly the path that the route was chosen by."""
    quoted = quote(path.encode("latin-1"), safe="/:@!$&'()*+,;=~")
    return f"{quoted}?{query}" if query else quoted


def _read_key(environ: Mapping[str, object]) -> str | None:
    text = environ.get(KEY_HEADER)
    if text is None:
        return None
    if KEY_PATTERN.fullmatch(str(text)) is None:
        # Repeated headers arrive joined by commas: which key is meant is unknown.
        raise _bad_request("send the header Chicoryhold-Key once, with one whole key")
    return str(text)


def _read_deadline(environ: Mapping[str, object]) -> float | None:
    text = environ.get(DEADLINE_HEADER)
    if text is None:
        return None
    # More digits than int() takes are a large float.
    if not str(text).isdecimal() or not 1 <= float(str(text)) <= 300_000:
        raise _bad_request(
            f"Chicoryhold-Deadline-Ms {text!r}: write milliseconds from 1 to 300000"
        )
    return int(str(text)) / 1000


def _forwarded_headers(environ: Mapping[str, object]) -> dict[str, str]:
    headers = {}
    if environ.get("CONTENT_TYPE"):
        headers["Content-Type"] = str(environ["CONTENT_TYPE"])
    listed = str(environ.get("HTTP_CONNECTION", "")).upper().replace("-", "_")
    dropped = _NOT_FORWARDED | {name.strip() for name in listed.split(",")}
    for name, value in environ.items():
        if not name.startswith("HTTP_") or name[5:] in dropped:
            continue
        text = str(value)
        if not _contains_key(text.encode("latin-1", "replace")):
            headers[name[5:].replace("_", "-").title()] = text
    return headers


def _refuse_exposed_key(request: CallerRequest) -> None:
    if _contains_key(request.request_target.encode("latin-1", "replace")):
        raise _bad_request("the URL holds a key: send it in Chicoryhold-Key only")
    if _contains_key(request.body):
        raise _bad_request("the body holds a key: send it in Chicoryhold-Key only")


def _contains_key(data: bytes) -> bool:
    """Whether ``data`` has a key, also percent-encoded or in Basic credentials."""
    candidate = data
    for _ in range(_MAX_DECODING_PASSES):
        if _KEY_REGEX.search(candidate):
            return True
        decoded = unquote_to_bytes(candidate)
        if decoded == candidate:
            break
        candidate = decoded
    return _KEY_REGEX.search(_decode_basic(data)) is not None


def _decode_basic(data: bytes) -> bytes:
    scheme, _, rest = data.partition(b" ")
    if scheme.lower() != b"basic":
        return b""
    try:
        return base64.b64decode(rest, validate=False)
    except binascii.Error:
        return b""


def _bad_request(message: str) -> RequestRefused:
    refusal = Refusal(
        kind=RefusalKind.BAD_REQUEST, ran=RunStatus.NOT_RUN, message=message
    )
    return RequestRefused(refusal=refusal)
