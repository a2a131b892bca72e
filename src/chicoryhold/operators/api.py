"""The administration API: HTTP and JSON in front of a control replica."""

from __future__ import annotations

import hashlib
import hmac
import json
from collections.abc import Callable, Mapping
from concurrent.futures import Future, TimeoutError as FutureTimeout

import attrs
import pykka
from result import Err, Ok, Result
from werkzeug.exceptions import HTTPException
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from chicoryhold.codec import encode
from chicoryhold.control.replica_requests import ControlView, Propose, Read
from chicoryhold.errors import NotEncodable, NotLeader, ResultUnknown
from chicoryhold.routing.configuration import Configuration
from chicoryhold.settings import OperatorSettings
from chicoryhold.state.changes import (
    Body,
    Change,
    CreateOrganisation,
    EndEvacuation,
    EndShift,
    EndStop,
    EvacuateDomain,
    GiveKey,
    PlanStop,
    PutTable,
    StartShift,
    WithdrawKey,
    outcome_fields,
)
from chicoryhold.state.control_state import text_difference
from chicoryhold.state.table import check_table
from chicoryhold.state.targets import TargetRecord

REPLY_TIMEOUT_SECONDS = 5.0
REQUEST_ID_HEADER = "Chicoryhold-Request-Id"
MAX_REVISION = 2**63 - 1
BASED_ON_HEADER = "Chicoryhold-Based-On"

_ROUTES = Map(
    [
        Rule("/v1/organisations", endpoint="list_organisations", methods=["GET"]),
        Rule("/v1/organisations/<name>", endpoint="create_organisation",
             methods=["PUT"]),
        Rule("/v1/organisations/<name>/keys/<key_id>", endpoint="give_key",
             methods=["PUT"]),
        Rule("/v1/keys", endpoint="list_keys", methods=["GET"]),
        Rule("/v1/keys/<key_id>", endpoint="withdraw_key", methods=["DELETE"]),
        Rule("/v1/table", endpoint="get_table", methods=["GET"]),
        Rule("/v1/table", endpoint="put_table", methods=["PUT"]),
        Rule("/v1/table/check", endpoint="check_table", methods=["POST"]),
        Rule("/v1/table/diff", endpoint="diff_table", methods=["POST"]),
        Rule("/v1/shifts", endpoint="list_shifts", methods=["GET"]),
        Rule("/v1/shifts/<name>", endpoint="start_shift", methods=["PUT"]),
        Rule("/v1/shifts/<name>", endpoint="end_shift", methods=["DELETE"]),
        Rule("/v1/stops", endpoint="list_stops", methods=["GET"]),
        Rule("/v1/stops/<host>", endpoint="plan_stop", methods=["PUT"]),
        Rule("/v1/stops/<host>", endpoint="end_stop", methods=["DELETE"]),
        Rule("/v1/in-force", endpoint="in_force", methods=["GET"]),
        Rule("/v1/hosts", endpoint="list_hosts", methods=["GET"]),
        Rule("/v1/targets", endpoint="list_targets", methods=["GET"]),
        Rule("/v1/evacuations", endpoint="list_evacuations", methods=["GET"]),
        Rule("/v1/evacuations/<domain>", endpoint="evacuate", methods=["PUT"]),
        Rule("/v1/evacuations/<domain>", endpoint="end_evacuation",
             methods=["DELETE"]),
        Rule("/v1/configuration", endpoint="get_configuration", methods=["GET"]),
        Rule("/v1/replicas", endpoint="replicas", methods=["GET"]),
    ]
)  # fmt: skip


@attrs.frozen(kw_only=True)
class Problem:
    """An error response. ``message`` says how to resolve the error."""

    status: int
    error: str
    message: str


ApiResult = Result[Mapping[str, object], Problem]


class AdministrationApi:
    """A WSGI application that authenticates each request by an operator's token."""

    def __init__(
        self, *, replica: pykka.ActorRef, operators: tuple[OperatorSettings, ...],
        is_refusing: Callable[[], bool] = lambda: False,
    ) -> None:  # fmt: skip
        self._replica = replica
        self._is_refusing = is_refusing
        self._operators = operators

    def __call__(self, environ: dict, start_response: Callable) -> object:
        response = self._respond(Request(environ))
        return response(environ, start_response)

    def _respond(self, request: Request) -> Response:
        if self._is_refusing():
            message = "this control replica stops: use another one"
            problem = Problem(status=503, error="stopping", message=message)
            return _json_response(Err(problem))
        operator = self._authenticate(request)
        if operator is None:
            message = "send Authorization: Bearer with an operator's token"
            problem = Problem(status=401, error="not_an_operator", message=message)
            return _json_response(Err(problem))
        try:
            adapter = _ROUTES.bind_to_environ(request.environ)
            endpoint, arguments = adapter.match()
        except HTTPException as error:
            message = f"{request.method} {request.path}: see the operators' page"
            problem = Problem(status=error.code, error="no_route", message=message)
            return _json_response(Err(problem))
        handler = getattr(self, f"_{endpoint}")
        try:
            return _json_response(handler(request, operator, **arguments))
        except (KeyError, TypeError, ValueError, NotEncodable) as error:
            message = f"the request's body or headers are wrong: {error!r}"
            problem = Problem(status=400, error="bad_request", message=message)
            return _json_response(Err(problem))

    def _authenticate(self, request: Request) -> str | None:
        scheme, _, token = request.headers.get("Authorization", "").partition(" ")
        digest = hashlib.sha256(token.strip().encode()).hexdigest()
        for operator in self._operators:
            digests_match = hmac.compare_digest(digest, operator.token_sha256)
            if scheme.lower() == "bearer" and digests_match:
                return operator.name
        return None

    # Endpoints that read

    def _list_organisations(self, request: Request, operator: str) -> ApiResult:
        return self._read(lambda v: {"organisations": sorted(v.state.organisations)})

    def _list_keys(self, request: Request, operator: str) -> ApiResult:
        return self._read(
            lambda view: {
                "keys": [
                    {
                        "key_id": key.key_id,
                        "organisation": key.organisation,
                        "withdrawn": key.withdrawn,
                    }
                    for key in view.state.keys
                ]
            }
        )

    def _get_table(self, request: Request, operator: str) -> ApiResult:
        return self._read(_table_fields)

    def _check_table(self, request: Request, operator: str) -> ApiResult:
        faults = check_table(request.get_data(as_text=True))
        return Ok({"faults": [str(fault) for fault in faults]})

    def _diff_table(self, request: Request, operator: str) -> ApiResult:
        text = request.get_data(as_text=True)
        return self._read(
            lambda view: {"difference": text_difference(view.state.table_text, text)}
        )

    def _list_shifts(self, request: Request, operator: str) -> ApiResult:
        return self._read(
            lambda view: {"shifts": [attrs.asdict(s) for s in view.state.shifts]}
        )

    def _list_stops(self, request: Request, operator: str) -> ApiResult:
        return self._read(lambda view: {"stops": sorted(view.state.stops)})

    def _in_force(self, request: Request, operator: str) -> ApiResult:
        return self._read(
            lambda view: {
                "revision": view.state.revision,
                "complete": view.in_force.is_complete,
                "collected_seconds": round(view.in_force.collected_seconds, 1),
                "domains": [attrs.asdict(row) for row in view.in_force.domains()],
                "lowest": [attrs.asdict(h) for h in view.in_force.lowest_hosts()],
            }
        )

    def _list_hosts(self, request: Request, operator: str) -> ApiResult:
        return self._read(
            lambda view: {
                "hosts": [attrs.asdict(host) for host in view.in_force.hosts()]
            }
        )

    def _list_targets(self, request: Request, operator: str) -> ApiResult:
        return self._read(
            lambda view: {
                "targets": [_target_fields(record) for record in view.state.targets]
            }
        )

    def _list_evacuations(self, request: Request, operator: str) -> ApiResult:
        return self._read(lambda view: {"evacuated": sorted(view.state.evacuated)})

    def _get_configuration(self, request: Request, operator: str) -> ApiResult:
        """Return the configuration in force, with key counts in place of the keys."""
        return self._read(lambda view: _configuration_fields(view.state.configuration))

    def _replicas(self, request: Request, operator: str) -> ApiResult:
        return self._read(lambda view: {"leader": attrs.asdict(view.status)})

    def _read(self, select: Callable[[ControlView], Mapping[str, object]]) -> ApiResult:
        reply: Future = Future()
        self._replica.tell(Read(reply=reply))
        return self._await_reply(reply).map(select)

    # Endpoints that propose a change

    def _create_organisation(
        self, request: Request, operator: str, name: str
    ) -> ApiResult:
        return self._change(request, operator, CreateOrganisation(name=name))

    def _give_key(
        self, request: Request, operator: str, name: str, key_id: str
    ) -> ApiResult:
        digest = str(request.get_json()["digest"])
        if len(digest) != 64:
            raise ValueError(f"digest {digest!r} is not a SHA-256 in hexadecimal")
        body = GiveKey(organisation=name, key_id=key_id, digest=digest)
        return self._change(request, operator, body)

    def _withdraw_key(self, request: Request, operator: str, key_id: str) -> ApiResult:
        return self._change(request, operator, WithdrawKey(key_id=key_id))

    def _put_table(self, request: Request, operator: str) -> ApiResult:
        body = PutTable(text=request.get_data(as_text=True))
        return self._change(request, operator, body)

    def _start_shift(self, request: Request, operator: str, name: str) -> ApiResult:
        fields = request.get_json()
        body = StartShift(
            name=name,
            service=str(fields["service"]),
            source=str(fields["source"]),
            destination=str(fields["destination"]),
            share=float(fields["share"]),
            cap=float(fields["cap"]),
        )
        return self._change(request, operator, body)

    def _end_shift(self, request: Request, operator: str, name: str) -> ApiResult:
        return self._change(request, operator, EndShift(name=name))

    def _plan_stop(self, request: Request, operator: str, host: str) -> ApiResult:
        return self._change(request, operator, PlanStop(host=host))

    def _end_stop(self, request: Request, operator: str, host: str) -> ApiResult:
        return self._change(request, operator, EndStop(host=host))

    def _evacuate(self, request: Request, operator: str, domain: str) -> ApiResult:
        return self._change(request, operator, EvacuateDomain(domain=domain))

    def _end_evacuation(
        self, request: Request, operator: str, domain: str
    ) -> ApiResult:
        return self._change(request, operator, EndEvacuation(domain=domain))

    def _change(self, request: Request, operator: str, body: Body) -> ApiResult:
        based_on = request.headers.get(BASED_ON_HEADER)
        change = Change(
            request_id=request.headers[REQUEST_ID_HEADER],
            operator=operator,
            body=encode(body),
            based_on=_revision(based_on) if based_on is not None else None,
        )
        reply: Future = Future()
        self._replica.tell(Propose(change=change, reply=reply))
        return self._await_reply(reply).map(outcome_fields)

    def _await_reply(self, reply: Future) -> Result[object, Problem]:
        try:
            return Ok(reply.result(REPLY_TIMEOUT_SECONDS))
        except NotLeader as error:
            return Err(Problem(status=503, error="not_leader", message=str(error)))
        except (ResultUnknown, FutureTimeout):
            message = "no majority confirmed it yet: resend with the same request id"
            return Err(Problem(status=504, error="unknown", message=message))


def _revision(text: str) -> int:
    revision = int(text)
    if not 0 <= revision <= MAX_REVISION:
        raise ValueError(f"revision {text!r}: write the one that you have read")
    return revision


def _table_fields(view: ControlView) -> Mapping[str, object]:
    # The revision is read first. If the table changes in between, an edit based on
    # this revision is refused rather than undoing the change.
    revision = view.state.revision
    return {"table": view.state.table_text, "revision": revision}


def _target_fields(record: TargetRecord) -> Mapping[str, object]:
    return {**attrs.asdict(record), "state": record.state.value}


def _configuration_fields(configuration: Configuration) -> Mapping[str, object]:
    organisations = []
    for rule in configuration.organisations:
        fields = attrs.asdict(rule)
        fields["keys"] = len(rule.keys)
        organisations.append(fields)
    return {
        "version": configuration.version,
        "routes": [attrs.asdict(rule) for rule in configuration.routes],
        "services": [attrs.asdict(rule) for rule in configuration.services],
        "organisations": organisations,
        "limits": attrs.asdict(configuration.limits),
    }


def _json_response(result: ApiResult) -> Response:
    match result:
        case Ok(fields):
            refused = fields.get("accepted") is False
            return _response(fields, 409 if refused else 200)
        case Err(problem):
            return _response(attrs.asdict(problem), problem.status)


def _response(fields: Mapping[str, object], status: int) -> Response:
    text = json.dumps(fields, indent=2) + "\n"
    return Response(text, status=status, content_type="application/json")
