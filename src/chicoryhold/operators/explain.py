"""Collects the log lines about one request from the logs of several processes."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from pathlib import Path

import attrs
import msgspec

from chicoryhold.errors import OperatorRequestFailed, SettingsError

Line = Mapping[str, object]

STANDARD_FIELDS = ("at", "process", "event", "level", "request")


@attrs.frozen(kw_only=True)
class Explanation:
    """The log lines that explain what happened to a request.

    ``request_lines`` are the lines of the request itself. ``context_lines`` are lines
    that belong to no request, written by its hosts and the control hosts at that time.
    """

    request_lines: tuple[Line, ...]
    context_lines: tuple[Line, ...]

    def as_fields(self) -> dict[str, object]:
        return {
            "request": [_row(line) for line in self.request_lines],
            "around": [_row(line) for line in self.context_lines],
        }


def explain(request_id: str, files: Iterable[str], *, around: float) -> Explanation:
    """Return the log lines of ``request_id``, in order of time.

    The context begins ``around`` seconds before the first of them; 0 omits it.
    """
    lines = sorted(_read_all(files), key=lambda line: float(line.get("at", 0)))
    request_lines = tuple(line for line in lines if line.get("request") == request_id)
    if not request_lines:
        raise OperatorRequestFailed(
            f"no line of request {request_id!r}: it was answered without a refusal or "
            "a failed attempt, its line was left out under load, or its host's log is "
            "missing"
        )
    first, last = float(request_lines[0]["at"]), float(request_lines[-1]["at"])
    nearby = tuple(
        line
        for line in lines
        if "request" not in line and first - around <= float(line["at"]) <= last
    )
    return Explanation(
        request_lines=request_lines, context_lines=nearby if around > 0 else ()
    )


def _read_all(files: Iterable[str]) -> Iterator[Line]:
    for name in files:
        try:
            text = Path(name).read_text(errors="replace")
        except OSError as error:
            raise SettingsError(f"{name}: {error.strerror}: name a log file") from error
        yield from filter(None, map(_read_line, text.splitlines()))


def _read_line(text: str) -> Line | None:
    """Parse a line, skipping the time and host that log collectors often prepend."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        line = msgspec.json.decode(text[start:])
    except msgspec.DecodeError:
        return None
    return line if isinstance(line, dict) and "at" in line else None


def _row(line: Line) -> dict[str, object]:
    details = {k: v for k, v in line.items() if k not in STANDARD_FIELDS}
    return {
        "at": line["at"],
        "process": line.get("process", ""),
        "event": line.get("event", ""),
        "details": " ".join(f"{name}={value}" for name, value in details.items()),
    }
