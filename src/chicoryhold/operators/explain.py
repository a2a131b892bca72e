"""Puts the log lines of one request in order, from the logs of several processes."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from pathlib import Path

import attrs
import msgspec

from chicoryhold.errors import OperatorRequestFailed, SettingsError

Line = Mapping[str, object]

HEAD_FIELDS = ("at", "process", "event", "level", "request")


@attrs.frozen(kw_only=True)
class Explanation:
    """``own`` are the lines of the request; ``around`` what its hosts said of
    themselves near that time, and the control hosts with them."""

    own: tuple[Line, ...]
    around: tuple[Line, ...]

    def as_fields(self) -> dict[str, object]:
        return {
            "request": [_row(line) for line in self.own],
            "around": [_row(line) for line in self.around],
        }


def explain(request_id: str, files: Iterable[str], *, around: float) -> Explanation:
    """Return the lines of ``request_id`` by time; ``around`` in seconds."""
    lines = sorted(_read_all(files), key=lambda line: float(line.get("at", 0)))
    own = tuple(line for line in lines if line.get("request") == request_id)
    if not own:
        raise OperatorRequestFailed(
            f"no line of request {request_id!r}: it was answered without a refusal or "
            "a failed try, its line was left out under load, or its host's log is "
            "missing"
        )
    first, last = float(own[0]["at"]), float(own[-1]["at"])
    near = tuple(
        line
        for line in lines
        if "request" not in line and first - around <= float(line["at"]) <= last
    )
    return Explanation(own=own, around=near if around > 0 else ())


def _read_all(files: Iterable[str]) -> Iterator[Line]:
    for name in files:
        try:
            text = Path(name).read_text(errors="replace")
        except OSError as error:
            raise SettingsError(f"{name}: {error.strerror}: name a log file") from error
        yield from filter(None, map(_read_line, text.splitlines()))


def _read_line(text: str) -> Line | None:
    """Read one line; collectors often put a time and a host before the object."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        line = msgspec.json.decode(text[start:])
    except msgspec.DecodeError:
        return None
    return line if isinstance(line, dict) and "at" in line else None


def _row(line: Line) -> dict[str, object]:
    details = {k: v for k, v in line.items() if k not in HEAD_FIELDS}
    return {
        "at": line["at"],
        "process": line.get("process", ""),
        "event": line.get("event", ""),
        "details": " ".join(f"{name}={value}" for name, value in details.items()),
    }
