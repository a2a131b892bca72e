"""Idempotency keys, which name the replicas that hold their claims.

The form is ``DOMAIN.GENERATION-GENERATION-GENERATION~TEXT``: the failure domain whose
replicas hold the claim, the generation of each replica when the look-up issued the
prefix, and the caller's own text. Every resend carries the same key and therefore
finds the same replicas, whichever host it reaches.
"""

from __future__ import annotations

import re

import attrs
from result import Err, Ok, Result

NO_GENERATION = "0"
MAX_KEY_LENGTH = 200
_KEY_PATTERN = re.compile(r"([A-Za-z0-9-]+)\.([0-9a-f]+(?:-[0-9a-f]+)*)~([\x21-\x7e]+)")


@attrs.frozen(kw_only=True)
class IdempotencyKey:
    """A parsed key. ``generations`` are in the order of the domain's replicas."""

    text: str
    domain: str
    generations: tuple[str, ...]


def parse_idempotency_key(text: str) -> Result[IdempotencyKey, str]:
    """Return the parsed key, or what is wrong with it."""
    match = _KEY_PATTERN.fullmatch(text)
    if match is None or len(text) > MAX_KEY_LENGTH:
        return Err(
            f"{text[:60]!r} is not an idempotency key: put the look-up's "
            f"idempotency_prefix before your own text, {MAX_KEY_LENGTH} characters "
            "in all"
        )
    generations = tuple(match[2].split("-"))
    return Ok(IdempotencyKey(text=text, domain=match[1], generations=generations))


def idempotency_prefix(domain: str, generations: tuple[str, ...]) -> str:
    """Return the prefix that callers put before their own text."""
    return f"{domain}.{'-'.join(generations)}~"
