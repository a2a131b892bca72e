"""Samples of every message kind; also run as a program by the build in production.

usage: message_samples.py encode          prints a JSON object of kinds and messages
       message_samples.py decode < FILE   prints which kinds of such an object it reads
"""

from __future__ import annotations

import enum
import json
import pkgutil
import sys
from importlib import import_module
from types import NoneType, UnionType
from typing import Any, get_args, get_origin, get_type_hints

import attrs

import chicoryhold
from chicoryhold import codec
from chicoryhold.errors import UnknownMessage

# Modules whose import has effects, like the definition of command-line flags.
SKIPPED_PACKAGES = ("chicoryhold.programs", "chicoryhold.trial")


def all_kinds() -> dict[str, type]:
    """Return every message kind of this build, by name."""
    for module in pkgutil.walk_packages(chicoryhold.__path__, "chicoryhold."):
        if not module.name.startswith(SKIPPED_PACKAGES):
            import_module(module.name)
    return dict(codec._KINDS)


def sample(annotation: Any) -> Any:
    """Return a value of the type that isn't the usual default."""
    origin, arguments = get_origin(annotation), get_args(annotation)
    if origin in (tuple, frozenset, list):
        return origin(_elements(arguments))
    if origin is dict:
        return {sample(arguments[0]): sample(arguments[1])}
    if origin is UnionType or type(annotation).__name__ == "_UnionGenericAlias":
        return sample(next(each for each in arguments if each is not NoneType))
    if attrs.has(annotation):
        hints = get_type_hints(annotation)
        return annotation(**{name: sample(hint) for name, hint in hints.items()})
    if isinstance(annotation, type) and issubclass(annotation, enum.Enum):
        return list(annotation)[-1]
    by_type = {str: "text", bytes: b"\x01\x02", bool: True, int: 7, float: 1.5}
    return by_type.get(annotation, "text")


def _elements(arguments: tuple) -> list[Any]:
    return [sample(each) for each in arguments if each is not Ellipsis]


def encoded_samples() -> dict[str, str]:
    return {
        name: codec.encode(sample(kind)).hex()
        for name, kind in sorted(all_kinds().items())
    }


def readable_kinds(encoded: dict[str, str]) -> list[str]:
    """Return the names of those messages that this build decodes."""
    all_kinds()
    readable = []
    for name, message in encoded.items():
        try:
            codec.decode(bytes.fromhex(message))
        except UnknownMessage:
            continue
        readable.append(name)
    return readable


if __name__ == "__main__":
    if sys.argv[1] == "encode":
        print(json.dumps(encoded_samples(), indent=1))
    else:
        print(json.dumps(readable_kinds(json.load(sys.stdin))))
