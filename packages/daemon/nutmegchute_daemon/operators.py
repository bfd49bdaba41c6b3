"""Serve the operators' HTTP interface of a control replica."""

import asyncio
import time
from collections.abc import Coroutine
from typing import Any
from typing import NoReturn
from typing import Protocol

import cherrypy
import msgspec
from nutmegchute_core.errors import EvacuationError
from nutmegchute_core.errors import NotLeaderError
from nutmegchute_core.errors import ReconfigurationError
from nutmegchute_core.evacuations import check_zone
from nutmegchute_core.evacuations import Evacuation
from nutmegchute_core.evacuations import EvacuationOrder
from nutmegchute_core.machines import StateMachine
from nutmegchute_core.memberships import Member
from nutmegchute_core.memberships import MembershipChange
from nutmegchute_core.organisations import mask_documents
from nutmegchute_core.quarantines import CaseStatus
from nutmegchute_core.quarantines import Lift
from nutmegchute_core.trees import ACCEPTED
from nutmegchute_core.trees import AuditRecord
from nutmegchute_core.trees import Change
from nutmegchute_core.trees import passes_schema
from nutmegchute_core.trees import Refusal

from .consensus import Consensus
from .evacuations import EvacuationServer
from .handlers import as_json
from .handlers import require_operator
from .protocols import OPERATOR_HEADER
from .quarantine_servers import QuarantineServer
from .servers import LoopRunner
from .settings import Operator
from .settings import Settings

MAX_BODY_BYTES = 1048576
AUDIT_LIMIT = 1000
ACTIONS = ("add", "replace", "remove")
EVERY_BRANCH = "*"


class ChangeRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Define the body of a request to change the configuration."""

    change_id: str
    bases: dict[str, int]
    documents: dict[str, Any]


class ReplicaRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Define the body of a request to change the control replicas.

    The addresses, if given, must match those that the replica reports;
    ``replaces`` names the replica to remove, by default the one of the same
    name.
    """

    action: str
    name: str
    grpc_address: str | None = None
    http_address: str | None = None
    replaces: str | None = None


class ReplicaAnswer(msgspec.Struct, frozen=True):
    """Report the outcome of a change of the control replicas."""

    outcome: str
    detail: str
    members: list[Member]


class LiftRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Define the body of an order to lift a request's quarantine."""

    service: str
    fingerprint: str


class EvacuationRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Define the body of an order about an availability zone.

    ``evacuate`` is false to end the zone's evacuation.
    """

    availability_zone: str
    evacuate: bool


class EvacuationAnswer(msgspec.Struct, frozen=True):
    """Report the outcome of an evacuation order."""

    outcome: str
    detail: str


class LiftAnswer(msgspec.Struct, frozen=True):
    """Report the outcome of an order to lift a quarantine."""

    outcome: str
    detail: str


class ControlRole(Protocol):
    """Define what the pages need of the control role."""

    @property
    def settings(self) -> Settings:
        """Return the settings in force."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """Return the event loop that owns all state."""

    @property
    def consensus(self) -> Consensus:
        """Return the replica that takes part in consensus."""

    @property
    def quarantine(self) -> QuarantineServer:
        """Return the server of reports of requests that crash endpoints."""

    @property
    def evacuations(self) -> EvacuationServer:
        """Return the server of orders to evacuate availability zones."""

    @property
    def machine(self) -> StateMachine:
        """Return the replicated state as applied by this replica."""

    def status(self) -> dict[str, Any]:
        """Describe this replica and the entries that follow it."""

    def replicas(self) -> dict[str, Any]:
        """Describe the group's members and the replicas that wait to join."""

    def leader_address(self) -> str | None:
        """Return the leader's address for operators, None if unknown."""


class ControlPages:
    """Answer operators' requests; docs/control.rst specifies them."""

    def __init__(self, daemon: ControlRole, runner: LoopRunner) -> None:
        self._daemon = daemon
        self._runner = runner

    @cherrypy.expose
    def changes(self) -> bytes:
        """Propose a change of the configuration and return its outcome."""
        operator = self._require_operator()
        request = _decode(ChangeRequest)
        self._check_branches(operator, request)
        change = Change(
            change_id=request.change_id,
            operator=operator.name,
            bases=request.bases,
            documents=request.documents,
            at_unix_s=time.time(),
            # Checked on this thread: it takes milliseconds, too long for
            # the event loop. An invalid change is proposed all the same,
            # so that its answer and the audit trail record it.
            checked=passes_schema(request.documents),
        )
        answer = self._run(self._daemon.consensus.change(change), "/changes")
        return as_json(answer)

    @cherrypy.expose
    def replicas(self) -> bytes:
        """List the control replicas, or change one of them."""
        if cherrypy.request.method != "POST":
            return as_json(self._runner.run_sync(self._daemon.replicas))
        operator = self._require_operator()
        request = _decode(ReplicaRequest)
        if request.action not in ACTIONS:
            allowed = ", ".join(ACTIONS)
            raise cherrypy.HTTPError(400, f"action: one of {allowed}")
        if not operator.may_change(EVERY_BRANCH):
            raise cherrypy.HTTPError(
                403, f"{operator.name} may not change the control replicas"
            )
        membership_change = MembershipChange(**msgspec.structs.asdict(request))
        membership = self._run(
            self._daemon.consensus.reconfigure(
                membership_change, operator.name
            ),
            "/replicas",
        )
        detail = f"{membership_change.describe()}: done"
        if request.action != "remove":
            detail += "; it votes once it has caught up"
        return as_json(ReplicaAnswer(ACCEPTED, detail, membership.members))

    @cherrypy.expose
    def tree(self) -> bytes:
        """Return the configuration tree as applied by this replica.

        Only operators get the keys of callers.
        """
        tree = self._runner.run_sync(self._tree)
        key = cherrypy.request.headers.get(OPERATOR_HEADER, "")
        if self._daemon.settings.find_operator(key) is None:
            documents = mask_documents(tree["documents"])
            tree = {**tree, "documents": documents, "masked": True}
        return as_json(tree)

    @cherrypy.expose
    def audit(self, since: str = "", limit: str = "") -> bytes:
        """List audit records, oldest first."""
        try:
            after = int(since) if since else None
            max_count = int(limit) if limit else AUDIT_LIMIT
        except ValueError as error:
            raise cherrypy.HTTPError(
                400, "since and limit are whole numbers"
            ) from error
        if max_count < 1:
            raise cherrypy.HTTPError(400, "limit is at least 1")
        return as_json(
            self._runner.run_sync(self._audit_records, after, max_count)
        )

    @cherrypy.expose
    def quarantine(self) -> bytes:
        """List the cases of requests that crash endpoints, or delete one."""
        if cherrypy.request.method != "POST":
            return as_json(self._runner.run_sync(self._cases))
        operator = self._require_operator()
        request = _decode(LiftRequest)
        if not operator.may_change(EVERY_BRANCH):
            raise cherrypy.HTTPError(
                403, f"{operator.name} may not lift a quarantine"
            )
        order = Lift(
            request.service, request.fingerprint, operator.name, time.time()
        )
        if self._run(self._daemon.quarantine.lift(order), "/quarantine"):
            return as_json(LiftAnswer(ACCEPTED, "lifted"))
        return as_json(LiftAnswer("unknown", "no such request is held back"))

    @cherrypy.expose
    def evacuations(self) -> bytes:
        """List the evacuated availability zones, or change one."""
        if cherrypy.request.method != "POST":
            return as_json(self._runner.run_sync(self._evacuated))
        operator = self._require_operator()
        request = _decode(EvacuationRequest)
        zone = request.availability_zone
        try:
            check_zone(zone)
        except EvacuationError as error:
            raise cherrypy.HTTPError(400, str(error)) from error
        if not operator.may_change(EVERY_BRANCH):
            raise cherrypy.HTTPError(
                403, f"{operator.name} may not evacuate availability zones"
            )
        order = EvacuationOrder(
            zone, request.evacuate, operator.name, time.time()
        )
        submission = self._daemon.evacuations.submit(order)
        changed = self._run(submission, "/evacuations")
        detail = order.describe() if changed else "nothing to change"
        return as_json(EvacuationAnswer(ACCEPTED, detail))

    @cherrypy.expose
    def status(self) -> bytes:
        """Describe this replica."""
        return as_json(self._runner.run_sync(self._daemon.status))

    def _tree(self) -> dict[str, Any]:
        tree = self._daemon.machine.tree
        return {
            "index": tree.index,
            "revisions": tree.revisions,
            "documents": tree.documents,
        }

    def _audit_records(
        self, after: int | None, max_count: int
    ) -> list[AuditRecord]:
        records = self._daemon.machine.tree.audit
        if after is None:
            return records[-max_count:]
        return [one for one in records if one.index > after][:max_count]

    def _cases(self) -> list[CaseStatus]:
        return self._daemon.machine.quarantine.case_statuses()

    def _evacuated(self) -> list[Evacuation]:
        return self._daemon.machine.evacuations.evacuations

    def _require_operator(self) -> Operator:
        return require_operator(self._daemon.settings, self._runner)

    def _check_branches(
        self, operator: Operator, request: ChangeRequest
    ) -> None:
        forbidden = [
            team
            for team in sorted(request.documents)
            if not operator.may_change(team)
        ]
        if not forbidden:
            return
        detail = f"{operator.name} may not change {', '.join(forbidden)}"
        refusal = Refusal(
            change_id=request.change_id,
            operator=operator.name,
            teams=sorted(request.documents),
            detail=detail,
            at_unix_s=time.time(),
        )
        self._run(self._daemon.consensus.propose(refusal), "/changes")
        raise cherrypy.HTTPError(403, detail)

    def _run(self, action: Coroutine[Any, Any, Any], path: str) -> Any:
        future = asyncio.run_coroutine_threadsafe(action, self._daemon.loop)
        try:
            return future.result()
        except NotLeaderError:
            self._redirect_to_leader(path)
        except ReconfigurationError as error:
            raise cherrypy.HTTPError(409, str(error)) from error
        except TimeoutError as error:
            raise cherrypy.HTTPError(
                504, "outcome not known; send the same change id again"
            ) from error

    def _redirect_to_leader(self, path: str) -> NoReturn:
        address = self._runner.run_sync(self._daemon.leader_address)
        if address is not None:
            raise cherrypy.HTTPRedirect(f"http://{address}{path}", 307)
        problem = self._runner.run_sync(lambda: self._daemon.consensus.problem)
        reason = problem or "no leader; nothing was done, try again"
        raise cherrypy.HTTPError(503, reason)


def _decode(body_type: type[Any]) -> Any:
    try:
        return msgspec.json.decode(
            cherrypy.request.body.read(MAX_BODY_BYTES), type=body_type
        )
    except msgspec.DecodeError as error:
        raise cherrypy.HTTPError(400, str(error)) from error
