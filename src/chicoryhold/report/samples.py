"""Samples of the entry hosts' request counters, recorded to a file over time."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec
import urllib3
from attrs import frozen
from prometheus_client.parser import text_string_to_metric_families

from chicoryhold.errors import ReportError

METRIC_FAMILY = "chicoryhold_requests"
SAMPLE_NAME = "chicoryhold_requests_total"
FETCH_TIMEOUT_SECONDS = 5.0


@frozen(kw_only=True)
class Sample:
    """The value of one counter of one host. ``time`` is in Unix seconds."""

    time: float
    host: str
    service: str
    organisation: str
    result: str
    value: float


def fetch_samples(address: str, *, time: float) -> list[Sample]:
    """Return the current request counters of the host at ``address``.

    Raises ``ReportError`` if they can't be fetched.
    """
    url = f"http://{address}/metrics"
    try:
        response = urllib3.request(
            "GET", url, timeout=FETCH_TIMEOUT_SECONDS, retries=False
        )
    except urllib3.exceptions.HTTPError as error:
        raise ReportError(f"{url}: {error}: check the address and the host") from error
    return list(parse_samples(response.data.decode(), host=address, time=time))


def parse_samples(text: str, *, host: str, time: float) -> Iterator[Sample]:
    """Yield the request counters in ``text``, in Prometheus exposition format."""
    for family in text_string_to_metric_families(text):
        if family.name != METRIC_FAMILY:
            continue
        for sample in family.samples:
            if sample.name == SAMPLE_NAME:
                yield Sample(
                    time=time,
                    host=host,
                    service=sample.labels["service"],
                    organisation=sample.labels["organisation"],
                    result=sample.labels["result"],
                    value=sample.value,
                )


def append_samples(path: Path, samples: Iterable[Sample]) -> None:
    """Append samples to the file, one JSON object per line."""
    with path.open("ab") as file:
        for sample in samples:
            file.write(msgspec.json.encode(sample) + b"\n")


def read_samples(path: Path) -> list[Sample]:
    """Return the samples in the file.

    Raises ``ReportError`` if the file can't be read or a line is invalid.
    """
    try:
        lines = path.read_bytes().splitlines()
    except OSError as error:
        raise ReportError(f"{path}: {error.strerror}: record samples first") from error
    samples = []
    for number, line in enumerate(lines, 1):
        try:
            samples.append(msgspec.json.decode(line, type=Sample))
        except msgspec.DecodeError as error:
            raise ReportError(
                f"{path}, line {number}: {error}: remove the line"
            ) from error
    return samples
