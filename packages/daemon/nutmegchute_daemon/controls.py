"""Run the control role: agreement, configuration, operators."""

import asyncio
import hashlib
import hmac
import secrets
import time
from typing import Any

import cherrypy
import msgspec
from nutmegchute_core.errors import NotLeaderError
from nutmegchute_core.fleets import Fleet
from nutmegchute_core.fleets import FollowReply
from nutmegchute_core.fleets import FollowRequest
from nutmegchute_core.machines import Machine
from nutmegchute_core.replicas import LEADER
from nutmegchute_core.replicas import Message
from nutmegchute_core.replicas import Replica
from nutmegchute_core.trees import ACCEPTED
from nutmegchute_core.trees import Answer
from nutmegchute_core.trees import Change

from .daemons import Daemon
from .errors import StartError
from .errors import StorageError
from .events import Event
from .events import log
from .protocols import DELIVER
from .protocols import FOLLOW
from .protocols import OPERATOR_HEADER
from .settings import Operator
from .storages import Storage

TICK_S = 0.02
HOLD_S = 1.0
DELIVER_TIMEOUT_S = 0.5
PROPOSE_TIMEOUT_S = 3.0
CHANGE_BYTES = 1048576


class ChangeRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Give the form of an operator's change."""

    change_id: str
    bases: dict[str, int]
    documents: dict[str, Any]


class ControlDaemon(Daemon):
    """Keep the configuration with the other replicas."""

    def prepare(self) -> None:
        """Load the disk, build the replica and mount the pages."""
        settings = self._settings
        assert settings.data_folder is not None
        try:
            self._storage = Storage(settings.data_folder)
            hard_state, entries = self._storage.load()
        except StorageError as error:
            raise StartError(f"data_folder: {error}") from error
        self._replica = Replica(
            name=settings.name,
            voters=[peer.name for peer in settings.control],
            hard_state=hard_state,
            log=entries,
            now=self._loop.time(),
            seed=secrets.randbits(32),
        )
        self._addresses = {
            peer.name: peer.grpc_address for peer in settings.control
        }
        self._machine = Machine()
        self._fleet = Fleet()
        self._changed = asyncio.Event()
        self._waiting: dict[str, asyncio.Future[Answer]] = {}
        self._was_leader = False
        self._links.serve(DELIVER, self._on_deliver)
        self._links.serve(FOLLOW, self._on_follow)
        self._http.mount(ControlPages(self))

    def begin(self) -> None:
        """Start the replica's clock."""
        self.every(TICK_S, self._tick)

    def gauges(self) -> dict[str, float]:
        """Give what tells whether changes are taken and in force."""
        leads = self._replica.state == LEADER
        found = {"leads": float(leads), "commit": float(self._replica.commit)}
        if leads:
            index = self._machine.tree.index
            applied = self._fleet.applied().values()
            found["entries_behind"] = sum(one < index for one in applied)
        return found

    def close(self) -> None:
        """Close the disk."""
        self._storage.close()

    def find_operator(self, key: str) -> Operator | None:
        """Return the operator whose key this is."""
        digest = hashlib.sha256(key.encode()).hexdigest()
        for operator in self._settings.operators:
            if hmac.compare_digest(operator.key_sha256, digest):
                return operator
        return None

    async def change(self, change: Change) -> Answer:
        """Propose a change and wait for what became of it.

        :raises NotLeaderError: ask the leader instead
        :raises TimeoutError: the outcome is not known; resend the change
        """
        future = self._waiting.get(change.change_id)
        if future is None:
            future = self._loop.create_future()
            self._replica.propose(change, self._loop.time())
            self._waiting[change.change_id] = future
            self._perform()
        try:
            async with asyncio.timeout(PROPOSE_TIMEOUT_S):
                return await asyncio.shield(future)
        finally:
            self._waiting.pop(change.change_id, None)

    def tree(self) -> dict[str, Any]:
        """Describe the tree as this replica has it."""
        return {
            "index": self._machine.tree.index,
            "revisions": self._machine.tree.revisions,
            "documents": self._machine.tree.documents,
        }

    def audit(self) -> list[Any]:
        """List the audit trail."""
        return self._machine.tree.audit

    def status(self) -> dict[str, Any]:
        """Describe this replica and the entries that follow it."""
        index = self._machine.tree.index
        return {
            "name": self._settings.name,
            "state": self._replica.state,
            "leader": self._replica.leader,
            "term": self._replica.term,
            "commit": self._replica.commit,
            "index": index,
            "entries": self._fleet.applied(),
            "in_force": self._in_force(index),
        }

    def leader_address(self) -> str | None:
        """Give the address where operators reach the leader."""
        for peer in self._settings.control:
            if peer.name == self._replica.leader:
                return peer.http_address
        return None

    def _in_force(self, index: int) -> bool:
        if self._replica.state != LEADER:
            return False
        return self._fleet.in_force(index, self._loop.time())

    def _tick(self) -> None:
        self._replica.tick(self._loop.time())
        self._perform()

    def _perform(self) -> None:
        effects = self._replica.drain()
        # Durable first: a vote or an acknowledgement that leaves before
        # the sync could be forgotten by a crash and given twice.
        self._storage.save(effects.hard_state, effects.entries)
        for message in effects.messages:
            self._loop.create_task(self._deliver(message))
        for entry in effects.committed:
            outcome = self._machine.apply(entry)
            if isinstance(outcome, Answer):
                self._settle(outcome)
        leads = self._replica.state == LEADER
        if leads == self._was_leader:
            return
        self._was_leader = leads
        event = Event.LED if leads else Event.FOLLOWED
        log(event, term=self._replica.term)

    def _settle(self, answer: Answer) -> None:
        log(
            Event.CHANGE_DECIDED,
            change_id=answer.change_id,
            outcome=answer.outcome,
            index=answer.index,
        )
        future = self._waiting.get(answer.change_id)
        if future is not None and not future.done():
            future.set_result(answer)
        if answer.outcome == ACCEPTED:
            self._changed.set()
            self._changed = asyncio.Event()

    async def _deliver(self, message: Message) -> None:
        address = self._addresses[message.target]
        await self._links.ask(address, DELIVER, message, DELIVER_TIMEOUT_S)

    async def _on_deliver(self, message: Message) -> None:
        self._replica.receive(message, self._loop.time())
        self._perform()

    async def _on_follow(self, request: FollowRequest) -> FollowReply:
        if self._replica.state != LEADER:
            return self._follow_reply(None)
        self._fleet.hear(request, self._loop.time())
        if request.index >= self._machine.tree.index:
            changed = self._changed
            try:
                async with asyncio.timeout(HOLD_S):
                    await changed.wait()
            except TimeoutError:
                return self._follow_reply(None)
        return self._follow_reply(self._machine.tree.documents)

    def _follow_reply(self, documents: dict[str, Any] | None) -> FollowReply:
        return FollowReply(
            leader=self._replica.leader,
            index=self._machine.tree.index,
            revisions=self._machine.tree.revisions,
            documents=documents,
        )


class ControlPages:
    """Answer operators over HTTP."""

    def __init__(self, daemon: ControlDaemon) -> None:
        self._daemon = daemon
        self._asker = daemon._asker

    @cherrypy.expose
    def changes(self) -> bytes:
        """Take a change and tell what became of it."""
        operator = self._operator()
        try:
            request = msgspec.json.decode(
                cherrypy.request.body.read(CHANGE_BYTES), type=ChangeRequest
            )
        except msgspec.DecodeError as error:
            raise cherrypy.HTTPError(400, str(error)) from error
        for team in request.documents:
            if operator.may_change(team):
                continue
            raise cherrypy.HTTPError(
                403, f"{operator.name} may not change {team}"
            )
        change = Change(
            change_id=request.change_id,
            operator=operator.name,
            bases=request.bases,
            documents=request.documents,
            at_unix_s=time.time(),
        )
        return _json(self._propose(change))

    @cherrypy.expose
    def tree(self) -> bytes:
        """Show the configuration tree."""
        return _json(self._asker.ask(self._daemon.tree))

    @cherrypy.expose
    def audit(self) -> bytes:
        """Show the audit trail."""
        return _json(self._asker.ask(self._daemon.audit))

    @cherrypy.expose
    def status(self) -> bytes:
        """Describe this replica."""
        return _json(self._asker.ask(self._daemon.status))

    def _operator(self) -> Operator:
        key = cherrypy.request.headers.get(OPERATOR_HEADER, "")
        operator = self._daemon.find_operator(key)
        if operator is None:
            raise cherrypy.HTTPError(401, "no operator has this key")
        return operator

    def _propose(self, change: Change) -> Answer:
        loop = self._daemon._loop
        future = asyncio.run_coroutine_threadsafe(
            self._daemon.change(change), loop
        )
        try:
            return future.result()
        except NotLeaderError as error:
            address = self._asker.ask(self._daemon.leader_address)
            if address is None:
                raise cherrypy.HTTPError(503, str(error)) from error
            raise cherrypy.HTTPRedirect(
                f"http://{address}/changes", 307
            ) from error
        except TimeoutError as error:
            raise cherrypy.HTTPError(
                504, "outcome not known; send the same change id again"
            ) from error


def _json(value: Any) -> bytes:
    cherrypy.response.headers["Content-Type"] = "application/json"
    return msgspec.json.encode(value)
