"""The table of routes, services and limits: validates and parses its CSV text."""

from __future__ import annotations

import csv
import io
import ipaddress
import math
from collections.abc import Callable, Iterable, Mapping

import attrs

CsvReader = type(csv.reader([]))  # the csv module has no name for it
COLUMNS = ("scope", "name", "field", "value", "unit")
EMPTY_TABLE = "scope,name,field,value,unit\n"


@attrs.frozen(kw_only=True)
class Row:
    """One row of the table. ``line`` counts from 1; the heading is line 1."""

    line: int
    scope: str
    name: str
    field: str
    value: str
    unit: str


@attrs.frozen(kw_only=True)
class Fault:
    """A validation error in the table, with the correction to make."""

    line: int
    column: str
    value: str
    remedy: str

    def __str__(self) -> str:
        return f"row {self.line}, {self.column} {self.value!r}: {self.remedy}"


@attrs.frozen(kw_only=True)
class Field:
    """The unit and parser of a field.

    ``parse`` raises ``ValueError`` with the correction to make.
    """

    unit: str
    parse: Callable[[str], object]


@attrs.frozen(kw_only=True)
class Route:
    """The service and options for requests whose path starts with ``prefix``.

    An ``open`` route needs no key. ``repeatable`` requests may run more than once.
    """

    prefix: str
    service: str = ""
    open: bool = False
    repeatable: bool = True


@attrs.frozen(kw_only=True)
class Service:
    """A service; ``deadline`` is the time limit of a request in seconds."""

    name: str
    deadline: float = 5.0


@attrs.frozen(kw_only=True)
class OrganisationLimits:
    """The limits of one organisation.

    ``rate`` is in requests per second, ``burst`` in requests. ``weight`` is that of the
    organisation in the fair queues. ``cut_off_key_seconds`` is how long a failure
    domain that has lost contact with the control replicas continues to accept the
    organisation's keys.
    """

    rate: float = 10.0
    burst: int = 20
    weight: float = 1.0
    cut_off_key_seconds: float = 600.0


@attrs.frozen(kw_only=True)
class Table:
    """The parsed table.

    ``blocks`` are pairs of a client network in CIDR notation and its failure domain.
    """

    routes: tuple[Route, ...] = ()
    services: Mapping[str, Service] = attrs.field(factory=dict)
    organisations: Mapping[str, OrganisationLimits] = attrs.field(factory=dict)
    blocks: tuple[tuple[str, str], ...] = ()

    def route_for(self, path: str) -> Route | None:
        """Return the route with the longest matching prefix of whole segments."""
        for route in self.routes:
            exact = path == route.prefix or route.prefix == "/"
            if exact or path.startswith(route.prefix.rstrip("/") + "/"):
                return route
        return None

    def service(self, name: str) -> Service:
        return self.services.get(name) or Service(name=name)

    def limits(self, organisation: str) -> OrganisationLimits:
        return self.organisations.get(organisation) or OrganisationLimits()


def _number_parser(*, low: float, high: float) -> Callable[[str], float]:
    def parse(text: str) -> float:
        value = float(text)
        if not (math.isfinite(value) and low <= value <= high):
            raise ValueError(f"write a number from {low:g} to {high:g}")
        return value

    return parse


def _integer_parser(*, low: int, high: int) -> Callable[[str], int]:
    def parse(text: str) -> int:
        value = int(text)
        if not low <= value <= high:
            raise ValueError(f"write a whole number from {low} to {high}")
        return value

    return parse


def _choice_parser(**meanings: object) -> Callable[[str], object]:
    def parse(text: str) -> object:
        if text not in meanings:
            raise ValueError(f"write one of {', '.join(meanings)}")
        return meanings[text]

    return parse


def _parse_name(text: str) -> str:
    if not text or not text.isascii() or not text.replace("-", "").isalnum():
        raise ValueError("write a name of letters, digits and hyphens")
    return text


FIELDS: Mapping[tuple[str, str], Field] = {
    ("route", "service"): Field(unit="", parse=_parse_name),
    ("route", "access"): Field(unit="", parse=_choice_parser(open=True, keyed=False)),
    ("route", "repeatable"): Field(unit="", parse=_choice_parser(yes=True, no=False)),
    ("service", "deadline"): Field(unit="s", parse=_number_parser(low=0.1, high=300)),
    ("organisation", "rate"): Field(
        unit="requests/s", parse=_number_parser(low=0.01, high=1e6)
    ),
    ("organisation", "burst"): Field(
        unit="requests", parse=_integer_parser(low=1, high=1_000_000)
    ),
    ("organisation", "weight"): Field(
        unit="", parse=_number_parser(low=0.01, high=1000)
    ),
    ("organisation", "cut_off_key_seconds"): Field(
        unit="s", parse=_number_parser(low=5, high=86_400)
    ),
    ("block", "domain"): Field(unit="", parse=_parse_name),
}


def check_table(text: str) -> tuple[Fault, ...]:
    """Return every fault in the CSV ``text``, by line; empty if the text is valid."""
    rows, faults = _read_rows(text)
    faults.extend(fault for row in rows if (fault := _find_fault(row)))
    faults.extend(_duplicate_fields(rows))
    faults.extend(_routes_without_service(rows))
    return tuple(sorted(faults, key=lambda fault: fault.line))


def parse_table(text: str) -> Table:
    """Return the table in ``text``, in which :func:`check_table` found no faults."""
    rows, _ = _read_rows(text)
    values: dict[tuple[str, str], dict[str, object]] = {}
    for row in rows:
        parsed = FIELDS[row.scope, row.field].parse(row.value)
        values.setdefault((row.scope, row.name), {})[row.field] = parsed
    return _build_table(values)


def _build_table(values: Mapping[tuple[str, str], dict[str, object]]) -> Table:
    routes = []
    services = {}
    organisations = {}
    blocks = []
    for (scope, name), fields in values.items():
        if scope == "route":
            is_open = fields.pop("access", False)
            routes.append(Route(prefix=name, open=is_open, **fields))
        elif scope == "service":
            services[name] = Service(name=name, **fields)
        elif scope == "organisation":
            organisations[name] = OrganisationLimits(**fields)
        else:
            blocks.append((name, fields["domain"]))
    routes.sort(key=lambda route: len(route.prefix), reverse=True)
    return Table(
        routes=tuple(routes),
        services=services,
        organisations=organisations,
        blocks=tuple(blocks),
    )


def _read_rows(text: str) -> tuple[list[Row], list[Fault]]:
    reader = csv.reader(io.StringIO(text))
    try:
        return _rows_of(reader)
    except csv.Error as error:
        remedy = (
            "write CSV with line feeds between rows, and at most "
            f"{csv.field_size_limit()} characters in a cell"
        )
        line = max(1, reader.line_num)
        return [], [Fault(line=line, column="row", value=str(error), remedy=remedy)]


def _rows_of(reader: CsvReader) -> tuple[list[Row], list[Fault]]:
    heading = next(reader, [])
    if tuple(cell.strip() for cell in heading) != COLUMNS:
        remedy = f"start the table with the heading {','.join(COLUMNS)}"
        return [], [Fault(line=1, column="heading", value=str(heading), remedy=remedy)]
    rows = []
    faults = []
    for cells in reader:
        line = reader.line_num
        if not any(cell.strip() for cell in cells):
            continue
        if len(cells) != len(COLUMNS):
            remedy = f"write {len(COLUMNS)} cells, not {len(cells)}"
            value = ",".join(cells)
            faults.append(Fault(line=line, column="row", value=value, remedy=remedy))
            continue
        by_column = dict(zip(COLUMNS, (cell.strip() for cell in cells), strict=True))
        rows.append(Row(line=line, **by_column))
    return rows, faults


def _find_fault(row: Row) -> Fault | None:
    field = FIELDS.get((row.scope, row.field))
    if field is None:
        known = sorted(f"{scope} {name}" for scope, name in FIELDS)
        remedy = f"write one of {'; '.join(known)}"
        value = f"{row.scope} {row.field}"
        return Fault(line=row.line, column="field", value=value, remedy=remedy)
    if row.unit != field.unit:
        remedy = f"write {field.unit!r}" if field.unit else "leave the unit empty"
        return Fault(line=row.line, column="unit", value=row.unit, remedy=remedy)
    try:
        _check_name(row)
    except ValueError as error:
        return Fault(line=row.line, column="name", value=row.name, remedy=str(error))
    try:
        field.parse(row.value)
    except ValueError as error:
        return Fault(line=row.line, column="value", value=row.value, remedy=str(error))
    return None


def _check_name(row: Row) -> None:
    if row.scope == "route":
        if not row.name.startswith("/"):
            raise ValueError("start a route with /")
    elif row.scope == "block":
        ipaddress.ip_network(row.name)
    else:
        _parse_name(row.name)


def _duplicate_fields(rows: Iterable[Row]) -> list[Fault]:
    first_line: dict[tuple[str, str, str], int] = {}
    faults = []
    for row in rows:
        key = (row.scope, row.name, row.field)
        if key in first_line:
            remedy = f"remove it: row {first_line[key]} sets the same field"
            value = " ".join(key)
            faults.append(
                Fault(line=row.line, column="field", value=value, remedy=remedy)
            )
        first_line.setdefault(key, row.line)
    return faults


def _routes_without_service(rows: Iterable[Row]) -> list[Fault]:
    lines: dict[str, int] = {}
    with_service = set()
    for row in rows:
        if row.scope == "route":
            lines.setdefault(row.name, row.line)
            if row.field == "service":
                with_service.add(row.name)
    remedy = "add a row that names the route's service"
    return [
        Fault(line=line, column="name", value=name, remedy=remedy)
        for name, line in lines.items()
        if name not in with_service
    ]
