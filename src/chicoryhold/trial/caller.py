"""A simulated caller, which looks up the entry hosts and sends requests to them."""

from __future__ import annotations

from collections.abc import Mapping

import attrs
import urllib3


@attrs.frozen(kw_only=True)
class Response:
    """A response. ``fields`` is its body if that is a JSON object, otherwise empty."""

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
    """Sends requests with an optional API key over persistent connections."""

    def __init__(self, *, known_host: str, key: str | None = None) -> None:
        self._known_host = known_host
        self._key = key
        self._pool = urllib3.PoolManager(retries=False, maxsize=64)

    def look_up(self) -> Mapping[str, object]:
        """Return the entry hosts to use, as given by the known host."""
        url = f"http://{self._known_host}/v1/entry-hosts"
        return self._pool.request("GET", url, timeout=5.0).json()

    def send(
        self, method: str, path: str, *, host: str | None = None,
        body: bytes | None = None, headers: Mapping[str, str] | None = None,
        timeout: float = 10.0,
    ) -> Response:  # fmt: skip
        """Send a request to ``host``, by default to the known host."""
        all_headers = dict(headers or {})
        if self._key is not None:
            all_headers.setdefault("Chicoryhold-Key", self._key)
        response = self._pool.request(
            method,
            f"http://{host or self._known_host}{path}",
            body=body,
            headers=all_headers,
            timeout=timeout,
        )
        return Response(
            status=response.status,
            headers=dict(response.headers),
            fields=_json_fields(response),
            body=response.data,
        )


def _json_fields(response: urllib3.BaseHTTPResponse) -> Mapping[str, object]:
    try:
        fields = response.json()
    except ValueError:
        return {}
    return fields if isinstance(fields, dict) else {}
