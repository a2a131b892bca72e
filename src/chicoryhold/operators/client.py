"""A client of the administration API that survives replicas that are away."""

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

TRY_TIMEOUT = 6.0
PAUSE = 0.2
GIVE_UP_AFTER = 20.0


@attrs.frozen(kw_only=True)
class ApiCall:
    """One request of the administration API."""

    method: str
    path: str
    body: bytes | None = None
    json: bool = False
    based_on: int | None = None


class AdministrationClient:
    """Sends each request to the replicas in turn until one answers for certain."""

    def __init__(self, *, settings: ClientSettings) -> None:
        self._settings = settings
        self._pool = urllib3.PoolManager(retries=False)

    def run(
        self, call: ApiCall, *, request_id: str | None = None
    ) -> Result[Mapping[str, object], str]:
        """Return the answer's fields, or why the request was refused.

        Raises ``OperatorRequestFailed`` when no replica gave a certain answer. The
        same request id goes with every try, so the change is made at most once.
        """
        request_id = request_id or uuid4().hex
        give_up = time.monotonic() + GIVE_UP_AFTER
        last = ""
        while time.monotonic() < give_up:
            for api in self._settings.apis:
                status, fields = self._try(api, call, request_id)
                if status in (0, 503, 504):
                    last = f"{api}: {fields['message']}"
                elif status < 300:
                    return Ok(fields)
                else:
                    return Err(str(fields.get("message") or _refusal_text(fields)))
            time.sleep(PAUSE)
        raise OperatorRequestFailed(
            f"no replica answered for certain within {GIVE_UP_AFTER:g} s ({last}): the "
            f"change may or may not be made; resend with --request_id={request_id}"
        )

    def _try(
        self, api: str, call: ApiCall, request_id: str
    ) -> tuple[int, Mapping[str, object]]:
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
            answer = self._pool.request(
                call.method, url, body=call.body, headers=headers, timeout=TRY_TIMEOUT
            )
            return answer.status, json.loads(answer.data)
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            return 0, {"message": str(error)}


def _refusal_text(fields: Mapping[str, object]) -> str:
    difference = fields.get("difference")
    return f"{fields.get('reason')}" + (f"\n{difference}" if difference else "")
