"""Size of the control state, of its table and of its changes."""

from __future__ import annotations

from bench.measuring import Row, allocate_traced, cpu_seconds_per_call, slope
from chicoryhold.codec import encode
from chicoryhold.control.feed import ChangeFeed
from chicoryhold.control.messages import FetchChanges
from chicoryhold.state.changes import Change, CreateOrganisation, GiveKey, PutTable
from chicoryhold.state.control_state import ControlState
from chicoryhold.state.table import check_table, parse_table


def change(number: int, body: object) -> Change:
    """Return a change with a request ID made from ``number``."""
    return Change(request_id=f"{number:032x}", operator="ana", body=encode(body))


def filled_state(
    organisations: int, keys: int, max_request_records: int
) -> ControlState:
    """Return a state that keeps up to ``max_request_records`` outcomes of changes."""
    state = ControlState(max_request_records=max_request_records)
    for number in range(organisations):
        state.apply(change(number, CreateOrganisation(name=f"org-{number}")))
    for number in range(keys):
        body = GiveKey(
            organisation=f"org-{number % organisations}",
            key_id=f"{number:08x}",
            digest=f"{number:064x}",
        )
        state.apply(change(organisations + number, body))
    return state


def measure_state() -> list[Row]:
    rows = []
    sizes = (1_000, 10_000, 40_000)
    memory_by_size = []
    for size in sizes:
        memory_bytes, state = allocate_traced(lambda n=size: filled_state(100, n, 0))
        memory_by_size.append(memory_bytes)
        image_bytes = len(state.image(for_replica=False))
        label = f"{size:,} keys"
        rows += [
            Row(quantity="held", size=label, value=memory_bytes / 1e6, unit="MB"),
            Row(
                quantity="image for hosts",
                size=label,
                value=image_bytes / 1e6,
                unit="MB",
            ),
        ]
    rows.append(
        Row(
            quantity="slope",
            size="-",
            value=slope(sizes, memory_by_size),
            unit="B a key",
        )
    )
    memory_with_requests = []
    for size in sizes:
        memory_bytes, state = allocate_traced(lambda n=size: filled_state(100, n, n))
        memory_with_requests.append(memory_bytes)
        seconds = cpu_seconds_per_call(state.image, calls=1)
        label = f"{size:,} remembered requests"
        rows.append(
            Row(quantity="snapshot", size=label, value=seconds, unit="s of a core")
        )
    bytes_per_request = slope(sizes, memory_with_requests) - slope(
        sizes, memory_by_size
    )
    rows.append(
        Row(quantity="slope", size="-", value=bytes_per_request, unit="B a request id")
    )
    return rows


def table_text(rows: int) -> str:
    lines = [f"organisation,org-{n},rate,{n + 1},requests/s" for n in range(rows)]
    return "scope,name,field,value,unit\n" + "\n".join(lines) + "\n"


def measure_table() -> list[Row]:
    rows = []
    for size in (100, 1_000, 10_000):
        text = table_text(size)
        label = f"{size:,} rows"
        check_seconds = cpu_seconds_per_call(lambda t=text: check_table(t), calls=1)
        parse_seconds = cpu_seconds_per_call(lambda t=text: parse_table(t), calls=1)
        message_bytes = len(encode(change(1, PutTable(text=text))))
        rows += [
            Row(
                quantity="check",
                size=label,
                value=check_seconds * 1e3,
                unit="ms of a core",
            ),
            Row(
                quantity="parse",
                size=label,
                value=parse_seconds * 1e3,
                unit="ms of a core",
            ),
            Row(
                quantity="one change", size=label, value=message_bytes / 1e3, unit="KB"
            ),
        ]
    return rows


def measure_changes() -> list[Row]:
    rows = []
    for size in (1_000, 10_000, 40_000):
        state = filled_state(100, size, 0)
        feed = ChangeFeed(state=state)
        # Above the numbers that filled_state() used for request IDs.
        number = size + 1000

        def apply_change(state=state, feed=feed) -> None:
            nonlocal number
            number += 1
            new_change = change(number, CreateOrganisation(name=f"new-{number}"))
            state.apply(new_change)
            feed.record(new_change)

        apply_seconds = cpu_seconds_per_call(apply_change, calls=100)
        batch = feed.answer(FetchChanges(after=state.revision - 1), confirmed_age=0)
        serve_seconds = cpu_seconds_per_call(
            lambda f=feed, s=state: encode(
                f.answer(FetchChanges(after=s.revision - 1), confirmed_age=0)
            ),
            calls=500,
        )
        label = f"{size:,} keys"
        rows += [
            Row(
                quantity="apply one",
                size=label,
                value=apply_seconds * 1e6,
                unit="µs of a core",
            ),
            Row(
                quantity="serve one",
                size=label,
                value=serve_seconds * 1e6,
                unit="µs a follower",
            ),
            Row(
                quantity="batch of one", size=label, value=len(encode(batch)), unit="B"
            ),
        ]
    return rows
