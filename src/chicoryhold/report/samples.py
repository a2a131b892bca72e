"""Samples of the entry hosts' request counters, recorded to a file over time."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec
import urllib3
from attrs import frozen
from prometheus_client.parser import text_string_to_metric_families

from chicoryhold.errors import ReportError

COUNTER = "chicoryhold_requests"
SAMPLE = "chicoryhold_requests_total"
FETCH_TIMEOUT = 5.0


@frozen(kw_only=True)
class Sample:
    """One counter of one host at one time. ``time`` in seconds since 1970."""

    time: float
    host: str
    service: str
    organisation: str
    result: str
    value: float


def fetch_samples(address: str, *, time: float) -> list[Sample]:
    """Return the request counters that the host at ``address`` shows now.

    Raises ``ReportError`` if it can't be read.
    """
    url = f"http://{address}/metrics"
    try:
        answer = urllib3.request("GET", url, timeout=FETCH_TIMEOUT, retries=False)
    except urllib3.exceptions.HTTPError as error:
        raise ReportError(f"{url}: {error}: check the host") from error
    return list(parse_samples(answer.data.decode(), host=address, time=time))


def parse_samples(text: str, *, host: str, time: float) -> Iterator[Sample]:
    """Yield the request counters in an exposition ``text``."""
    for family in text_string_to_metric_families(text):
        if family.name != COUNTER:
            continue
        for sample in family.samples:
            if sample.name == SAMPLE:
                yield Sample(
                    time=time,
                    host=host,
                    service=sample.labels["service"],
                    organisation=sample.labels["organisation"],
                    result=sample.labels["result"],
                    value=sample.value,
                )


def append_samples(path: Path, samples: Iterable[Sample]) -> None:
    """Add samples to the record, one JSON object a line."""
    with path.open("ab") as file:
        for sample in samples:
            file.write(msgspec.json.encode(sample) + b"\n")


def read_samples(path: Path) -> list[Sample]:
    """Return the record's samples; raises ``ReportError`` for a broken line."""
    try:
        lines = path.read_bytes().splitlines()
    except OSError as error:
        raise ReportError(f"{path}: {error.strerror}: record some first") from error
    samples = []
    for number, line in enumerate(lines, 1):
        try:
            samples.append(msgspec.json.decode(line, type=Sample))
        except msgspec.DecodeError as error:
            raise ReportError(f"{path}, line {number}: {error}: remove it") from error
    return samples
