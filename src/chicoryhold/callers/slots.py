"""Asks coordinators for slots, but takes none on a target that leaves."""

from __future__ import annotations

import attrs

from chicoryhold.callers.target_answers import leaving_statement
from chicoryhold.hosts.messages import Admit, Admitted, NotAdmitted
from chicoryhold.routing.stated_limits import RateStatement
from chicoryhold.routing.target_statements import TargetStatements
from chicoryhold.steering.admission_client import AdmissionClient
from chicoryhold.steering.shifts import ShiftChooser
from chicoryhold.targets.exchange import ResponseHead


@attrs.frozen(kw_only=True)
class GrantedProcess:
    """The process of a target that a slot was granted on."""

    instance: str
    address: str
    born_ms: int = 0


class Slots:
    """Slots on targets, and what these targets say of leaving. Thread-safe."""

    def __init__(
        self, *, admission: AdmissionClient, shifts: ShiftChooser,
        statements: TargetStatements,
    ) -> None:  # fmt: skip
        self._admission = admission
        self._shifts = shifts
        self._statements = statements

    def take(
        self, request: Admit, *, deadline: float, may_shift: bool
    ) -> Admitted | NotAdmitted:
        """Return a slot, or the reason why there is none, before ``deadline``.

        A slot on a target that has said to this host that it leaves is given back, and
        another one is asked for.
        """
        reply = self._take_shifted(request) if may_shift else None
        while True:
            if reply is None:
                reply = self._admission.admit(request, deadline=deadline)
            if isinstance(reply, NotAdmitted) or not self._is_leaving(reply):
                return reply
            self.release(reply, ok=True, latency=None)
            avoid = (*request.avoid, reply.address)
            request = attrs.evolve(request, avoid=avoid, has_token=True)
            reply = None

    def release(
        self, admitted: Admitted, *, ok: bool, latency: float | None,
        limit: RateStatement | None = None,
    ) -> None:  # fmt: skip
        """Release a slot; see ``AdmissionClient.release``."""
        self._admission.release(
            admitted.grant,
            ok=ok,
            latency=latency,
            limit=limit,
            is_leaving=self._is_leaving(admitted),
        )

    def record_heads(self, admitted: Admitted, heads: tuple[ResponseHead, ...]) -> None:
        """Note what responses of the target, complete or not, say of leaving."""
        # Without the target's own name for its process, the next one at the address
        # would be taken for it.
        if not admitted.instance:
            return
        for head in heads:
            self._statements.record(granted_process(admitted), leaving_statement(head))

    def _take_shifted(self, request: Admit) -> Admitted | None:
        """Ask the destination domain of a traffic shift, if there is one."""
        shift = self._shifts.choose(request.service)
        if shift is None:
            return None
        shifted = attrs.evolve(request, shift=shift.name)
        reply = self._admission.admit_in_domain(shift.destination, shifted)
        if reply is None:
            self._shifts.back_off(shift)
        return reply

    def _is_leaving(self, admitted: Admitted) -> bool:
        return self._statements.is_leaving(granted_process(admitted))


def granted_process(admitted: Admitted) -> GrantedProcess:
    # Announcements may name an empty instance.
    instance = admitted.instance or admitted.address
    return GrantedProcess(instance=instance, address=admitted.address)
