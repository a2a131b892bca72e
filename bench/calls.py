"""HTTP calls of the benches, each on a connection of its own."""

from __future__ import annotations

import http.client
from collections.abc import Mapping


def call(
    address: tuple[str, int], method: str, path: str, *, timeout: float,
    body: bytes | str | None = None, headers: Mapping[str, str] | None = None,
) -> int:  # fmt: skip
    """Return the status of the response, or 0 if there is none.

    ``timeout`` is in seconds, for connecting and for each read.
    """
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=dict(headers or {}))
        response = connection.getresponse()
        response.read()
        return response.status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        connection.close()
