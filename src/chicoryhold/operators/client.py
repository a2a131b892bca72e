"""A client of the administration API that retries across the control replicas."""

from __future__ import annotations

import json
import time
from collections.abc import Mapping
from uuid import uuid4

import attrs
import urllib3
from result import Err, Ok, Result

from chicoryhold.errors import OperatorRequestFailed
from chicoryhold.operators.api import BASED_ON_HEADER, REQUEST_ID_HEADER
from chicoryhold.settings import ClientSettings

ATTEMPT_TIMEOUT_SECONDS = 6.0
RETRY_DELAY_SECONDS = 0.2
TOTAL_TIMEOUT_SECONDS = 20.0


@attrs.frozen(kw_only=True)
class ApiCall:
    """One request to the administration API."""

    method: str
    path: str
    body: bytes | None = None
    json: bool = False
    based_on: int | None = None


class AdministrationClient:
    """Sends each request to the replicas in turn until one responds conclusively."""

    def __init__(self, *, settings: ClientSettings) -> None:
        self._settings = settings
        self._pool = urllib3.PoolManager(retries=False)

    def run(
        self, call: ApiCall, *, request_id: str | None = None
    ) -> Result[Mapping[str, object], str]:
        """Return the fields of the response, or why the request was refused.

        Raises ``OperatorRequestFailed`` if no replica responded conclusively. Every
        attempt carries the same request id, so a change is made at most once.
        """
        request_id = request_id or uuid4().hex
        deadline = time.monotonic() + TOTAL_TIMEOUT_SECONDS
        last_error = ""
        while time.monotonic() < deadline:
            for api in self._settings.apis:
                status, fields = self._send_attempt(api, call, request_id)
                if status in (0, 503, 504):
                    last_error = f"{api}: {fields['message']}"
                elif status < 300:
                    return Ok(fields)
                else:
                    return Err(str(fields.get("message") or _refusal_text(fields)))
            time.sleep(RETRY_DELAY_SECONDS)
        raise OperatorRequestFailed(
            f"no replica responded conclusively within {TOTAL_TIMEOUT_SECONDS:g} s "
            f"({last_error}): the change may or may not have been made; "
            f"resend with --request_id={request_id}"
        )

    def _send_attempt(
        self, api: str, call: ApiCall, request_id: str
    ) -> tuple[int, Mapping[str, object]]:
        """Return the status and fields of the response; status 0 if there is none."""
        headers = {
            "Authorization": f"Bearer {self._settings.token}",
            REQUEST_ID_HEADER: request_id,
        }
        if call.json:
            headers["Content-Type"] = "application/json"
        if call.based_on is not None:
            headers[BASED_ON_HEADER] = str(call.based_on)
        url = f"http://{api}{call.path}"
        try:
            response = self._pool.request(
                call.method,
                url,
                body=call.body,
                headers=headers,
                timeout=ATTEMPT_TIMEOUT_SECONDS,
            )
            return response.status, json.loads(response.data)
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            return 0, {"message": str(error)}


def _refusal_text(fields: Mapping[str, object]) -> str:
    difference = fields.get("difference")
    return f"{fields.get('reason')}" + (f"\n{difference}" if difference else "")
