"""The WSGI application that serves callers and targets."""

from __future__ import annotations

import hmac
import http
import json
from collections.abc import Callable, Iterable, Mapping

import attrs
import msgspec
from result import Err, Ok

from chicoryhold.callers.refusals import Refusal, RefusalKind, RunStatus
from chicoryhold.callers.request import IDEMPOTENCY_HEADER, read_request
from chicoryhold.callers.service import CallerService, Outcome, unknown_unless_proved
from chicoryhold.errors import NotEncodable, RequestRefused
from chicoryhold.hosts.messages import Announcement
from chicoryhold.http.channel import QUEUED_REQUESTS
from chicoryhold.steering.admission_client import AdmissionClient
from chicoryhold.steering.lookup import Lookup

LOOKUP_PATH = "/v1/entry-hosts"
MAX_QUEUED_REQUESTS = 200
ANNOUNCEMENT_PATH = "/v1/announcements"
_DROPPED_RESPONSE_HEADERS = frozenset(
    {
        "connection", "keep-alive", "transfer-encoding", "content-length", "date",
        "server", "upgrade", "trailer", "chicoryhold-request-id",
    }
)  # fmt: skip


_QUEUE_FULL = Refusal(
    kind=RefusalKind.OVERLOADED,
    ran=RunStatus.NOT_RUN,
    message="too many requests wait at this host: use another entry host",
    retry_after=1.0,
)


@attrs.frozen(kw_only=True)
class _Response:
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class CallerApp:
    """Serves entry host look-ups, target announcements, and requests to services."""

    def __init__(
        self, *, service: CallerService, lookup: Lookup, admission: AdmissionClient,
        announcement_token: str,
    ) -> None:  # fmt: skip
        self._service = service
        self._lookup = lookup
        self._admission = admission
        self._token = announcement_token

    def __call__(
        self, environ: Mapping[str, object], start_response: Callable
    ) -> Iterable[bytes]:
        response = self._respond(environ)
        headers = [*response.headers, ("Content-Length", str(len(response.body)))]
        start_response(f"{response.status} {_reason_phrase(response.status)}", headers)
        return [response.body]

    def _respond(self, environ: Mapping[str, object]) -> _Response:
        path = environ["PATH_INFO"]
        if path == LOOKUP_PATH:
            return self._look_up(environ)
        if path == ANNOUNCEMENT_PATH:
            return self._announce(environ)
        return self._serve(environ)

    def _look_up(self, environ: Mapping[str, object]) -> _Response:
        answer = self._lookup.answer(str(environ.get("REMOTE_ADDR", "")))
        return _json_response(200, msgspec.json.encode(answer))

    def _announce(self, environ: Mapping[str, object]) -> _Response:
        token = str(environ.get("HTTP_AUTHORIZATION", "")).removeprefix("Bearer ")
        if not hmac.compare_digest(token.encode(), self._token.encode()):
            return _error_response(401, "send the announcement token as Bearer")
        body = environ["wsgi.input"].read()
        try:
            announcement = msgspec.json.decode(body, type=Announcement)
        except msgspec.DecodeError as error:
            return _error_response(400, f"not an announcement: {error}")
        try:
            reply = self._admission.announce(announcement)
        except NotEncodable as error:
            return _error_response(400, f"not an announcement: {error}")
        if reply is None:
            return _error_response(503, "no coordinator: announce again in a second")
        return _json_response(200, msgspec.json.encode(reply))

    def _serve(self, environ: Mapping[str, object]) -> _Response:
        key = environ.get(IDEMPOTENCY_HEADER)
        if environ.get(QUEUED_REQUESTS, 0) > MAX_QUEUED_REQUESTS:
            # A refusal takes microseconds, so the queue soon shrinks below the limit.
            return _refusal_response(unknown_unless_proved(_QUEUE_FULL, key))
        try:
            outcome = self._service.serve(read_request(environ))
        except RequestRefused as error:
            outcome = Err(unknown_unless_proved(error.refusal, key))
        return self._outcome_response(outcome)

    def _outcome_response(self, outcome: Outcome) -> _Response:
        match outcome:
            case Ok(response):
                headers = tuple(
                    (name, value)
                    for name, value in response.headers
                    if name.lower() not in _DROPPED_RESPONSE_HEADERS
                )
                return _Response(
                    status=response.status, headers=headers, body=response.body
                )
            case Err(refusal):
                return _refusal_response(refusal)


def _refusal_response(refusal: Refusal) -> _Response:
    fields = {
        "refused": refusal.kind.label,
        "ran": refusal.ran.value,
        "message": refusal.message,
    }
    headers = [
        ("Chicoryhold-Ran", "no" if refusal.ran is RunStatus.NOT_RUN else "unknown")
    ]
    if refusal.retry_after > 0:
        fields["retry_after"] = round(refusal.retry_after, 3)
        headers.append(("Retry-After", str(max(1, round(refusal.retry_after)))))
    body = json.dumps(fields).encode()
    return _json_response(refusal.kind.status, body, tuple(headers))


def _error_response(status: int, message: str) -> _Response:
    return _json_response(status, json.dumps({"message": message}).encode())


def _json_response(
    status: int, body: bytes, headers: tuple[tuple[str, str], ...] = ()
) -> _Response:
    content_type = ("Content-Type", "application/json")
    return _Response(status=status, headers=(content_type, *headers), body=body + b"\n")


def _reason_phrase(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Status"
