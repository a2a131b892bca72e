"""A caller as in the field: asks which entry host to use, then sends requests."""

from __future__ import annotations

from collections.abc import Mapping

import attrs
import urllib3


@attrs.frozen(kw_only=True)
class Reply:
    """What a caller got. ``fields`` is the JSON body, empty if it is none."""

    status: int
    headers: Mapping[str, str]
    fields: Mapping[str, object]
    body: bytes

    @property
    def refused(self) -> str:
        return str(self.fields.get("refused", ""))

    @property
    def ran(self) -> str:
        return str(self.fields.get("ran", ""))


class Caller:
    """Keeps one connection open to each entry host that it uses."""

    def __init__(self, *, known_host: str, key: str | None = None) -> None:
        self._known_host = known_host
        self._key = key
        self._pool = urllib3.PoolManager(retries=False, maxsize=64)

    def look_up(self) -> Mapping[str, object]:
        """Ask which entry hosts to use."""
        url = f"http://{self._known_host}/v1/entry-hosts"
        return self._pool.request("GET", url, timeout=5.0).json()

    def send(
        self, method: str, path: str, *, host: str | None = None,
        body: bytes | None = None, headers: Mapping[str, str] | None = None,
        timeout: float = 10.0,
    ) -> Reply:  # fmt: skip
        """Send a request to ``host``, or to the host known first."""
        sent = dict(headers or {})
        if self._key is not None:
            sent.setdefault("Chicoryhold-Key", self._key)
        answer = self._pool.request(
            method,
            f"http://{host or self._known_host}{path}",
            body=body,
            headers=sent,
            timeout=timeout,
        )
        return Reply(
            status=answer.status,
            headers=dict(answer.headers),
            fields=_fields_of(answer),
            body=answer.data,
        )


def _fields_of(answer: urllib3.BaseHTTPResponse) -> Mapping[str, object]:
    try:
        fields = answer.json()
    except ValueError:
        return {}
    return fields if isinstance(fields, dict) else {}
