"""Settings files in TOML, validated against attrs classes before a process starts."""

from __future__ import annotations

import ipaddress
import tomllib
from pathlib import Path
from typing import NewType, TypeVar

import attrs
import cattrs
from cattrs.errors import ForbiddenExtraKeysError
from humanfriendly import InvalidTimespan, parse_timespan

from chicoryhold.errors import SettingsError

T = TypeVar("T")
Duration = NewType("Duration", float)
Address = NewType("Address", str)


@attrs.frozen(kw_only=True)
class TransportSettings:
    """The address for messages from other processes, and the folder of CURVE keys."""

    address: Address
    key_folder: Path


@attrs.frozen(kw_only=True)
class LogSettings:
    """``level`` is a loguru level name."""

    level: str = attrs.field(
        default="INFO",
        validator=attrs.validators.in_(("DEBUG", "INFO", "WARNING", "ERROR")),
    )


@attrs.frozen(kw_only=True)
class OperatorSettings:
    """An operator who may use the administration API, and the digest of its token."""

    name: str
    token_sha256: str = attrs.field(
        validator=attrs.validators.matches_re("[0-9a-f]{64}"), repr=False
    )


@attrs.frozen(kw_only=True)
class ControlSettings:
    """Settings of one control replica. ``replicas`` maps names to addresses."""

    name: str
    data_folder: Path
    api_address: Address
    metrics_address: Address
    transport: TransportSettings
    replicas: dict[str, Address]
    operators: tuple[OperatorSettings, ...]
    heartbeat: Duration = Duration(0.1)
    election_timeout: Duration = Duration(0.6)
    snapshot_every: int = attrs.field(default=200, validator=attrs.validators.ge(1))
    log: LogSettings = attrs.field(factory=LogSettings)


@attrs.frozen(kw_only=True)
class DomainSettings:
    """A failure domain: its region, and its entry hosts by name.

    ``hosts`` maps each host name to its address for messages between processes,
    ``callers`` to its address for callers. The first hosts run the claim replicas.
    """

    region: str
    hosts: dict[str, Address]
    callers: dict[str, Address]


@attrs.frozen(kw_only=True)
class EntrySettings:
    """Settings of one entry host."""

    name: str
    domain: str
    callers_address: Address
    metrics_address: Address
    transport: TransportSettings
    replicas: dict[str, Address]
    domains: dict[str, DomainSettings]
    announcement_token: str = attrs.field(repr=False)
    caller_threads: int = attrs.field(default=16, validator=attrs.validators.ge(1))
    log: LogSettings = attrs.field(factory=LogSettings)


@attrs.frozen(kw_only=True)
class ClientSettings:
    """Settings of the operators' command line."""

    apis: tuple[Address, ...]
    operator: str
    token: str = attrs.field(repr=False)


def load_settings(path: Path, kind: type[T]) -> T:
    """Load the settings file at ``path`` into an instance of ``kind``.

    Raises ``SettingsError`` naming the file, the key, the value and the remedy.
    """
    try:
        values = tomllib.loads(path.read_text())
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}: name a file to read") from error
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"{path}: not TOML: {error}") from error
    try:
        return _converter().structure(values, kind)
    except cattrs.BaseValidationError as error:
        raise SettingsError(f"{path}: {_first_error(error, values)}") from error


def _converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook(Duration, lambda value, _: _duration(value))
    converter.register_structure_hook(Address, lambda value, _: _address(value))
    converter.register_structure_hook(str, lambda value, _: _require_type(value, str))
    converter.register_structure_hook(int, lambda value, _: _require_type(value, int))
    return converter


def _require_type(value: object, kind: type[T]) -> T:
    if type(value) is not kind:
        expected = {str: "a text in quotes", int: "a whole number"}[kind]
        raise ValueError(f"write {expected}")
    return value


def _duration(value: object) -> float:
    remedy = 'write a number and a unit in quotes, for example "500 ms" or "2 s"'
    if not isinstance(value, str) or value.strip().replace(".", "", 1).isdigit():
        raise ValueError(remedy)
    try:
        seconds = parse_timespan(value)
    except InvalidTimespan as error:
        raise ValueError(remedy) from error
    if seconds <= 0:
        raise ValueError("write a time above zero")
    return seconds


def _address(value: object) -> str:
    remedy = 'write an IP number and a port, for example "127.0.0.1:8080"'
    if not isinstance(value, str):
        raise ValueError(remedy)
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        valid_port = 0 <= int(port) <= 65_535
    except ValueError as error:
        raise ValueError(remedy) from error
    if not valid_port:
        raise ValueError("write a port from 0 to 65535")
    return value


def _first_error(error: BaseException, values: object, key: str = "") -> str:
    """Describe the first error in a nested group of validation errors."""
    if isinstance(error, BaseExceptionGroup):
        cause = error.exceptions[0]
        key_part = _key_part_of(cause)
        return _first_error(
            cause, _value_at(values, key_part), _join_key(key, key_part)
        )
    if isinstance(error, ForbiddenExtraKeysError):
        names = ", ".join(sorted(error.extra_fields))
        known = ", ".join(field.name for field in attrs.fields(error.cl))
        section = f" in {key}" if key else ""
        return f"unknown setting {names}{section}: remove it, or use one of {known}"
    if isinstance(error, KeyError):
        return f"{key} is missing: add it"
    if len(error.args) > 1 and isinstance(error.args[1], attrs.Attribute):
        message, attribute, *_, value = error.args
        return f"{_join_key(key, attribute.name)} = {value!r}: {message}"
    if isinstance(values, dict):
        # Don't print the value of a whole section: it may contain secrets.
        return f"{key}: {error.args[0]}" if key else str(error.args[0])
    return f"{key} = {values!r}: {error.args[0]}"


def _key_part_of(error: BaseException) -> str | int | None:
    for note in getattr(error, "__notes__", ()):
        if hasattr(note, "name"):
            return note.name
        if hasattr(note, "index"):
            return note.index
    return None


def _value_at(values: object, key_part: str | int | None) -> object:
    try:
        return values if key_part is None else values[key_part]
    except (KeyError, IndexError, TypeError):
        return None


def _join_key(key: str, key_part: str | int | None) -> str:
    if key_part is None:
        return key
    return f"{key}.{key_part}" if key else str(key_part)
