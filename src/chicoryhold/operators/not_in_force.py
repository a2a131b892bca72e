"""Why a revision isn't in force everywhere, from an answer of the leader."""

from __future__ import annotations

from collections.abc import Mapping

import attrs


@attrs.frozen(kw_only=True)
class LaggingHost:
    """A host whose newest report, ``age`` seconds old, names an older revision."""

    host: str
    revision: int
    age: float

    def __str__(self) -> str:
        return f"{self.host} at {self.revision}, reported {self.age:g} s ago"


@attrs.frozen(kw_only=True)
class NotInForce:
    """Where ``revision`` isn't in force.

    ``collected_seconds`` is for how long the leader has collected reports. Until
    ``is_complete`` it may lack those of some hosts. Replicas of older builds name no
    hosts, and no time.
    """

    revision: int
    domains: tuple[str, ...]
    hosts: tuple[LaggingHost, ...]
    is_complete: bool
    collected_seconds: float | None

    @classmethod
    def of(cls, fields: Mapping[str, object], *, revision: int) -> NotInForce:
        """Read the fields that the administration API gave for ``/v1/in-force``."""
        hosts = [
            LaggingHost(host=row["host"], revision=row["revision"], age=row["age"])
            for row in fields.get("lowest", ())
            if row["revision"] < revision
        ]
        return cls(
            revision=revision,
            domains=tuple(
                row["domain"] for row in fields["domains"] if row["revision"] < revision
            ),
            hosts=tuple(hosts),
            is_complete=fields["complete"] and bool(fields["domains"]),
            collected_seconds=fields.get("collected_seconds"),
        )

    @property
    def is_met(self) -> bool:
        """Whether the revision is in force everywhere after all."""
        return self.is_complete and not self.domains

    def __str__(self) -> str:
        where = ", ".join(self.domains) or "all domains yet"
        parts = [f"revision {self.revision} is not in force in {where}"]
        if self.hosts:
            parts.append(f" ({'; '.join(map(str, self.hosts))})")
        if not self.is_complete and self.collected_seconds is not None:
            parts.append(
                f"; the leader has collected reports for {self.collected_seconds:g} s"
            )
        return "".join(parts)
