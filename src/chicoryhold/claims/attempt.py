"""Counts the replicas' votes on one attempt to run a request at most once."""

from __future__ import annotations

import enum

import attrs

from chicoryhold.hosts.messages import (
    ClaimExists,
    ClaimRecorded,
    ClaimRejected,
    StoredAnswer,
)


class Verdict(enum.Enum):
    """What the votes so far allow."""

    UNDECIDED = "undecided"
    MAY_RUN = "may run"
    FINISHED = "another attempt ran and its answer is kept"
    RUNNING = "another attempt may be running"
    OTHER_REQUEST = "the key was used for another request"
    UNAVAILABLE = "a majority can't vote"


@attrs.frozen(kw_only=True)
class Tally:
    """The verdict, with the stored answer if there is one."""

    verdict: Verdict
    answer: StoredAnswer | None = None


class VoteCount:
    """Collects the votes of ``replicas`` replicas on one attempt.

    Two attempts can't both get a majority: any two majorities share a replica, and a
    replica records only one attempt. If no attempt gets a majority, each one gives up,
    so a split vote costs a resend but never leads to a second run.
    """

    def __init__(self, *, replicas: int, digest: bytes) -> None:
        self._replicas = replicas
        self._digest = digest
        self._recorded = 0
        self._refused = 0
        self._existing: ClaimExists | None = None

    def add(self, vote: ClaimRecorded | ClaimExists | ClaimRejected | None) -> None:
        """Count a vote; ``None`` stands for a replica that didn't answer in time."""
        match vote:
            case ClaimRecorded():
                self._recorded += 1
            case ClaimExists():
                self._refused += 1
                if self._existing is None or vote.answer is not None:
                    self._existing = vote
            case _:
                self._refused += 1

    def tally(self) -> Tally:
        """Return the verdict on the votes so far."""
        majority = self._replicas // 2 + 1
        if self._recorded >= majority:
            return Tally(verdict=Verdict.MAY_RUN)
        if self._existing and self._existing.digest != self._digest:
            return Tally(verdict=Verdict.OTHER_REQUEST)
        if self._existing and self._existing.answer is not None:
            return Tally(verdict=Verdict.FINISHED, answer=self._existing.answer)
        if self._replicas - self._refused >= majority:
            return Tally(verdict=Verdict.UNDECIDED)
        if self._existing:
            return Tally(verdict=Verdict.RUNNING)
        return Tally(verdict=Verdict.UNAVAILABLE)
