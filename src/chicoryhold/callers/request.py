"""A caller's request, with its key taken out of everything that targets see."""

from __future__ import annotations

import base64
import binascii
import re
from collections.abc import Mapping
from urllib.parse import quote, unquote_to_bytes

import attrs

from chicoryhold.callers.refusals import Ran, Refusal, RefusalKind
from chicoryhold.errors import RequestRefused
from chicoryhold.keys import KEY_PATTERN

KEY_HEADER = "HTTP_CHICORYHOLD_KEY"
IDEMPOTENCY_HEADER = "HTTP_IDEMPOTENCY_KEY"
DEADLINE_HEADER = "HTTP_CHICORYHOLD_DEADLINE_MS"
_KEY_BYTES = re.compile(KEY_PATTERN.pattern.encode(), re.IGNORECASE)
_DECODINGS = 4
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
    """A request as the caller sent it. ``headers`` are those a target may see."""

    method: str
    path: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    key: str | None = attrs.field(repr=False)
    idempotency_key: str | None
    deadline: float | None


def read_request(environ: Mapping[str, object]) -> CallerRequest:
    """Return the request of a WSGI ``environ``.

    Raises ``RequestRefused`` for one that no target may get: above all one with a
    key in its path, query or body, which can't be removed without changing what the
    caller asked for.
    """
    body = environ["wsgi.input"].read()
    path = str(environ["PATH_INFO"])
    _refuse_ambiguous_path(path)
    request = CallerRequest(
        method=str(environ["REQUEST_METHOD"]),
        path=path,
        target=_target_of(path, str(environ.get("QUERY_STRING", ""))),
        headers=_forwarded_headers(environ),
        body=body,
        key=_read_key(environ),
        idempotency_key=environ.get(IDEMPOTENCY_HEADER),
        deadline=_read_deadline(environ),
    )
    _refuse_exposed_key(request)
    return request


def _refuse_ambiguous_path(path: str) -> None:
    """Refuse a path that a target could resolve to another route than we did."""
    segments = path.split("/")[1:]
    dotted = any(segment.partition(";")[0] in (".", "..") for segment in segments)
    if dotted or "" in segments[:-1] or "\\" in path or not path.isprintable():
        raise _bad_request(f"the path {path!r} is ambiguous: send it in normal form")


def _target_of(path: str, query: str) -> str:
    """Return the request target for the very path that the route was chosen by."""
    quoted = quote(path.encode("latin-1"), safe="/:@!$&'()*+,;=~")
    return f"{quoted}?{query}" if query else quoted


def _read_key(environ: Mapping[str, object]) -> str | None:
    text = environ.get(KEY_HEADER)
    if text is None:
        return None
    if KEY_PATTERN.fullmatch(str(text)) is None:
        # Two header lines arrive joined by a comma: neither of them can be meant.
        raise _bad_request("send the header Chicoryhold-Key once, with one whole key")
    return str(text)


def _read_deadline(environ: Mapping[str, object]) -> float | None:
    text = environ.get(DEADLINE_HEADER)
    if text is None:
        return None
    if not str(text).isdecimal() or not 1 <= int(str(text)) <= 300_000:
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
        if not _holds_key(text.encode("latin-1", "replace")):
            headers[name[5:].replace("_", "-").title()] = text
    return headers


def _refuse_exposed_key(request: CallerRequest) -> None:
    if _holds_key(request.target.encode("latin-1", "replace")):
        raise _bad_request("the URL holds a key: send it in Chicoryhold-Key only")
    if _holds_key(request.body):
        raise _bad_request("the body holds a key: send it in Chicoryhold-Key only")


def _holds_key(data: bytes) -> bool:
    """Whether ``data`` holds a key, also percent-encoded or in Basic credentials."""
    seen = data
    for _ in range(_DECODINGS):
        if _KEY_BYTES.search(seen):
            return True
        decoded = unquote_to_bytes(seen)
        if decoded == seen:
            break
        seen = decoded
    return _KEY_BYTES.search(_decode_basic(data)) is not None


def _decode_basic(data: bytes) -> bytes:
    scheme, _, rest = data.partition(b" ")
    if scheme.lower() != b"basic":
        return b""
    try:
        return base64.b64decode(rest, validate=False)
    except binascii.Error:
        return b""


def _bad_request(message: str) -> RequestRefused:
    refusal = Refusal(kind=RefusalKind.BAD_REQUEST, ran=Ran.NOT_RUN, message=message)
    return RequestRefused(refusal=refusal)
