"""Run the control role: agreement, configuration, operators."""

import asyncio
import secrets
import time
from typing import Any

from nutmegchute_core.admissions import due_change
from nutmegchute_core.claims import ClaimAnswers
from nutmegchute_core.claims import ClaimBatch
from nutmegchute_core.claims import ClaimReply
from nutmegchute_core.claims import ClaimRequest
from nutmegchute_core.commands import Command
from nutmegchute_core.errors import NotLeaderError
from nutmegchute_core.errors import ReconfigurationError
from nutmegchute_core.machines import Machine
from nutmegchute_core.machines import Outcome
from nutmegchute_core.memberships import Member
from nutmegchute_core.memberships import Membership
from nutmegchute_core.memberships import Reconfigure
from nutmegchute_core.memberships import ReplicaWish
from nutmegchute_core.messages import Delivery
from nutmegchute_core.messages import Message
from nutmegchute_core.nodes import Flushed
from nutmegchute_core.nodes import Node
from nutmegchute_core.replicas import LEADER
from nutmegchute_core.trees import Answer
from nutmegchute_core.trees import Change
from nutmegchute_core.trees import Tree

from .applications import close_pages
from .applications import open_pages
from .applications import start_pages
from .claims import CLAIM
from .claims import LedgerClock
from .daemons import Daemon
from .deliveries import DELIVER
from .deliveries import Deliveries
from .descriptions import describe_idle
from .descriptions import describe_member
from .errors import StartError
from .errors import StorageError
from .events import Event
from .events import log
from .follow_servers import FollowServer
from .groups import Group
from .methods import FOLLOW
from .operators import ControlPages
from .peers import PeerExchange
from .quorums import QuorumReport
from .recollections import KEEP_S
from .recollections import Recollection
from .registrars import EXPIRE_S
from .registrars import Registrar
from .servers import HttpServer
from .servers import LoopAsker
from .settings import Settings
from .storages import Identity
from .storages import open_storage
from .waits import Waits

PROPOSE_TIMEOUT_S = 3.0
TEND_S = 0.5
HAND_OVER_S = 0.3
HAND_OVER_TICK_S = 0.01
RETIRE_S = 1.0
RETIRE_TICK_S = 0.05
RECOVER_S = 1.0
READ_S = 0.9
READ_TICK_S = 0.01
DIRECTORY_THREADS = 8
IDENTITY_BYTES = 6


class ControlForm:
    """Let another set of paths and documents reach the control role."""

    def mount(self, control: "ControlDaemon") -> None:
        """Add handlers to the control role's listeners."""


class ControlDaemon(Daemon):
    """Keep the configuration with the other replicas."""

    def __init__(
        self, settings: Settings, form: ControlForm | None = None
    ) -> None:
        super().__init__(settings)
        self._form = form or ControlForm()

    def prepare(self) -> None:
        """Open the disk and mount the pages."""
        settings = self._settings
        assert settings.data_folder is not None
        try:
            self._storage = open_storage(settings.data_folder)
            identity = self._storage.identity()
            if identity is None:
                identity = Identity(
                    f"{settings.name}.{secrets.token_hex(IDENTITY_BYTES)}",
                    founding=settings.founding,
                )
                self._storage.keep_identity(identity)
            self._node: Node | None = None
            self._group = Group(
                settings, self._links, self._storage, identity, self._leader
            )
            if identity.group is not None:
                self._node = self._load()
        except StorageError as error:
            raise StartError(f"data_folder: {error}") from error
        self._problem: str | None = None
        self._follows = FollowServer(
            self._loop, lambda: self._node, self._flush_soon
        )
        self._waits = Waits(self._loop)
        self._led_term: int | None = None
        self._quorum_report = QuorumReport(self._loop.time())
        self._timer: asyncio.TimerHandle | None = None
        self._flush_due = False
        self._deliveries = Deliveries(
            self._links,
            self._find_member,
            self._take_replies,
            self._group.meet,
        )
        self._links.serve(DELIVER, self._on_deliver)
        self._links.serve(FOLLOW, self._follows.ask)
        self._ledger_clock = LedgerClock()
        self._links.serve(CLAIM, self._on_claim)
        self.registrar = Registrar(
            settings.grpc_address, self._in_contact, lambda: self._node
        )
        self._peers = PeerExchange(self._links, self.registrar)
        self._recollection = Recollection(self._storage.disk, self.registrar)
        self._recollection.load()
        self._http.mount(open_pages(ControlPages(self, self._asker)))
        self.add_listener(
            "directory_address", settings.directory_address, DIRECTORY_THREADS
        )
        self._form.mount(self)

    @property
    def http(self) -> HttpServer:
        """Give the listener for operators and endpoints."""
        return self._http

    @property
    def directory(self) -> HttpServer:
        """Give the listener for callers that ask for entries."""
        return self._listeners.get("directory_address", self._http)

    @property
    def settings(self) -> Settings:
        """Give the settings in force."""
        return self._settings

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """Give the loop that all state belongs to."""
        return self._loop

    @property
    def asker(self) -> LoopAsker:
        """Give the way to the loop for handlers."""
        return self._asker

    def begin(self) -> None:
        """Meet the other replicas, then start the replica's clock."""
        start_pages()
        self._tasks.append(self._loop.create_task(self._start()))
        self.every(TEND_S, self._tend)
        self._peers.start()
        self.every(EXPIRE_S, self._expire)
        self.every(KEEP_S, self._recollection.keep)

    def reload(self, settings: Settings) -> None:
        """Take the listed replicas from settings that have changed."""
        super().reload(settings)
        self._group.reload(settings)

    def _expire(self) -> None:
        self.registrar.expire()
        self._peers.meet()

    async def finish(self) -> None:
        """Hand the lead over and turn the entries away."""
        node = self._node
        if node is not None:
            node.replica.hand_over(self._loop.time())
            self._flush()
            end = self._loop.time() + HAND_OVER_S
            while node.replica.state == LEADER and self._loop.time() < end:
                await asyncio.sleep(HAND_OVER_TICK_S)
            await self._retire(node)
        if self._timer is not None:
            self._timer.cancel()
        self._follows.turn_away_all()

    async def _retire(self, node: Node) -> None:
        end = self._loop.time() + RETIRE_S
        while node.replica.is_dispensable and self._loop.time() < end:
            node.replica.retire()
            self._flush()
            await asyncio.sleep(RETIRE_TICK_S)

    def gauges(self) -> dict[str, float]:
        """Give what tells whether changes are taken and in force."""
        node = self._node
        if node is None:
            return {"leads": 0.0}
        leads = node.replica.state == LEADER
        found = {
            "leads": float(leads),
            "commit": float(node.replica.commit),
            "voters": float(len(node.replica.membership.voters)),
        }
        if leads:
            index = node.machine.tree.index
            applied = self._follows.applied.values()
            found["entries_behind"] = sum(one < index for one in applied)
        return found

    def close(self) -> None:
        """Close the pages and the disk."""
        self._peers.stop()
        close_pages()
        self._storage.close()

    async def propose(self, command: Command) -> Outcome:
        """Put a command into the log and wait for what became of it.

        The wait is for the log's place, so it works for every command.

        :raises NotLeaderError: ask the leader instead; nothing was done
        :raises TimeoutError: the outcome is not known
        """
        index, term = self._lead().propose(command)
        return await self._decision(index, term)

    async def change(self, change: Change) -> Answer:
        """Propose a change and wait for what became of it.

        :raises NotLeaderError: ask the leader instead
        :raises TimeoutError: the outcome is not known; resend the change
        """
        answer = await self.propose(change)
        assert isinstance(answer, Answer)
        log(
            Event.CHANGE_DECIDED,
            change_id=answer.change_id,
            outcome=answer.outcome,
            index=answer.index,
        )
        return answer

    async def reconfigure(
        self, wish: ReplicaWish, operator: str
    ) -> Membership:
        """Add, replace or remove a replica by name.

        :raises NotLeaderError: ask the leader instead
        :raises ReconfigurationError: it cannot be done now
        :raises TimeoutError: the outcome is not known
        """
        node = self._lead()
        replica = node.replica
        membership = wish.apply(
            replica.membership, self._group.waiting(replica.membership)
        )
        change = Reconfigure(
            membership, operator, wish.describe(), time.time()
        )
        index = replica.reconfigure(change, self._loop.time())
        await self._decision(index, replica.term)
        log(
            Event.REPLICAS_CHANGED,
            detail=wish.describe(),
            operator=operator,
        )
        return membership

    async def read(self) -> Tree:
        """Return the tree, confirmed as the newest by a majority.

        :raises NotLeaderError: ask the leader instead
        :raises TimeoutError: nobody can be sure now
        """
        node = self._lead()
        term = node.replica.term
        wanted = node.replica.begin_read()
        give_up_at = self._loop.time() + READ_S
        while not (node.replica.ready and node.replica.confirmed >= wanted):
            if self._loop.time() >= give_up_at:
                raise TimeoutError
            await asyncio.sleep(READ_TICK_S)
            if self._node is not node or node.replica.term != term:
                raise NotLeaderError(None)
        if node.replica.state != LEADER:
            raise NotLeaderError(self._leader_name())
        return node.machine.tree

    async def _on_claim(self, request: ClaimRequest) -> ClaimReply:
        try:
            term = self._lead().replica.term
            now = self._loop.time()
            elapsed_s = self._ledger_clock.elapsed_s(term, now)
            outcome = await self.propose(ClaimBatch(elapsed_s, request))
        except (NotLeaderError, TimeoutError):
            return ClaimReply(self._leader_name(), None)
        assert isinstance(outcome, ClaimAnswers)
        return ClaimReply(None, outcome.answers)

    @property
    def problem(self) -> str | None:
        """Say why the disk refuses, if it does."""
        return self._problem

    @property
    def machine(self) -> Machine:
        """Give the replicated state as applied here."""
        return self._node.machine if self._node is not None else Machine()

    def status(self) -> dict[str, Any]:
        """Describe this replica and the entries that follow it."""
        node = self._node
        if node is None:
            return describe_idle(self._settings.name, self._problem)
        index = self.machine.tree.index
        return {
            "name": self._settings.name,
            "state": node.replica.state,
            "leader": self._leader_name(),
            "problem": None,
            "term": node.replica.term,
            "commit": node.replica.commit,
            "snapshot": node.replica.log.snapshot.index,
            "index": index,
            "entries": {
                **self._follows.applied,
                **self.registrar.applied(),
            },
            "enrolled": sorted(self.machine.entries),
            "instances": self.registrar.instances,
            "in_force": self._in_force(index),
        }

    def replicas(self) -> dict[str, Any]:
        """Describe the group's members and who asks to be taken in."""
        node = self._node
        if node is None:
            return {"leader": None, "replicas": [], "waiting": []}
        now = self._loop.time()
        membership = node.replica.membership
        rows = []
        for member in membership.members:
            rows.append(describe_member(node.replica, member, now))
        return {
            "leader": self._leader_name(),
            "replicas": rows,
            "waiting": list(self._group.waiting(membership).values()),
        }

    def leader_address(self) -> str | None:
        """Give the address where operators reach the leader."""
        leader = self._leader()
        return leader.http_address if leader is not None else None

    async def _start(self) -> None:
        while self._node is None:
            try:
                await self._group.form()
                self._node = self._load()
            except StorageError as error:
                await self._fall_ill(error)
        self._arm()

    def _load(self) -> Node:
        return Node(
            identity=self._group.identity,
            stored=self._storage.load(self._group.genesis),
            store=self._storage,
            now=self._loop.time(),
            seed=secrets.randbits(32),
        )

    def _lead(self) -> Node:
        if self._node is None:
            raise NotLeaderError(None)
        if self._node.replica.state != LEADER:
            raise NotLeaderError(self._leader_name())
        return self._node

    def _leader(self) -> Member | None:
        if self._node is None:
            return None
        replica = self._node.replica
        return replica.membership.find(replica.leader)

    def _leader_name(self) -> str | None:
        leader = self._leader()
        return leader.name if leader is not None else None

    def _in_force(self, index: int) -> bool:
        if self._node is None:
            return False
        if self.registrar.lagging(index):
            return False
        return self._follows.in_force(index, self._node)

    async def _decision(self, index: int, term: int) -> Outcome:
        self._flush_soon()
        async with asyncio.timeout(PROPOSE_TIMEOUT_S):
            return await self._waits.decision(index, term)

    def _tick(self) -> None:
        self._timer = None
        if self._node is None:
            return
        self._node.replica.tick(self._loop.time())
        self._flush()

    def _arm(self) -> None:
        if self._node is None or self._stopping.is_set():
            return
        wake_at = self._node.replica.wake_at
        if self._timer is not None:
            if self._timer.when() <= wake_at:
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(wake_at, self._tick)

    def _flush_soon(self) -> None:
        # All proposals that arrive while a sync runs are flushed together
        # by the next one: group commit.
        if self._flush_due:
            return
        self._flush_due = True
        self._loop.call_soon(self._flush)

    def _flush(self) -> None:
        self._send(self._flush_node())

    def _flush_node(self) -> list[Message]:
        self._flush_due = False
        node = self._node
        if node is None:
            return []
        try:
            flushed = node.flush()
        except StorageError as error:
            self._node = None
            self._tasks.append(self._loop.create_task(self._recover(error)))
            return []
        self._settle(node, flushed)
        self._arm()
        return flushed.messages

    def _settle(self, node: Node, flushed: Flushed) -> None:
        for decided in flushed.decided:
            self._waits.decide(decided)
        if flushed.restored:
            self._waits.lose()
        self._follows.advance(node)
        if flushed.decided or flushed.restored:
            self.registrar.tell()
            self._peers.meet()
        leads = node.replica.state == LEADER
        self._report_lead(node.replica.term if leads else None)
        self._quorum_report.note(node.replica, self._loop.time())

    def _report_lead(self, term: int | None) -> None:
        if term == self._led_term:
            return
        self._led_term = term
        if term is None:
            log(Event.FOLLOWED)
        else:
            log(Event.LED, term=term)

    def _send(self, messages: list[Message]) -> None:
        if not messages:
            return
        group = self._group.group
        assert group is not None
        self._deliveries.send(group, messages)

    def _find_member(self, identity: str) -> Member | None:
        if self._node is None:
            return None
        return self._node.replica.membership.find(identity)

    def _take_replies(self, messages: list[Message]) -> None:
        self._receive(messages)
        if messages:
            self._flush()

    async def _on_deliver(self, delivery: Delivery) -> Delivery:
        group = self._group.group or ""
        if delivery.group != group or self._node is None:
            if group and delivery.group != group:
                log(Event.GROUP_DIFFERS, "error", group=delivery.group)
            return Delivery(group, [])
        self._receive(delivery.messages)
        source = delivery.messages[0].source
        back = []
        others = []
        for message in self._flush_node():
            if message.target == source:
                back.append(message)
            else:
                others.append(message)
        self._send(others)
        return Delivery(group, back)

    def _receive(self, messages: list[Message]) -> None:
        if self._node is None:
            return
        now = self._loop.time()
        for message in messages:
            self._node.replica.receive(message, now)

    async def _recover(self, error: StorageError) -> None:
        await self._fall_ill(error)
        while self._node is None:
            try:
                self._storage.recover()
                self._node = self._load()
            except StorageError as again:
                self._problem = str(again)
                await asyncio.sleep(RECOVER_S)
        self._problem = None
        log(Event.STORAGE_RECOVERED)
        self._arm()

    async def _fall_ill(self, error: StorageError) -> None:
        # What was promised in memory may not be on the disk. Standing
        # still until all is loaded from it again equals a crash, which
        # agreement survives; going on would not.
        self._problem = str(error)
        log(Event.STORAGE_FAILED, "error", problem=str(error))
        self._waits.lose()
        self._follows.reset()
        self._report_lead(None)
        await asyncio.sleep(RECOVER_S)

    async def _tend(self) -> None:
        node = self._node
        if node is None:
            return
        self._quorum_report.note(node.replica, self._loop.time())
        if node.replica.is_outside(self._loop.time()):
            await self._group.introduce(node.replica.membership.members)
        if not node.replica.ready:
            return
        self._follows.forget_silent(node)
        try:
            await self._change_group(node)
        except (NotLeaderError, ReconfigurationError, TimeoutError):
            # The next leader, or the next turn, does it.
            return

    async def _change_group(self, node: Node) -> None:
        waiting = self._group.waiting(node.replica.membership)
        listed = not self._settings.seeds
        wish = due_change(node.replica, waiting, self._loop.time(), listed)
        if wish is not None:
            await self.reconfigure(wish, "control")

    def _in_contact(self) -> bool:
        if self._node is None:
            return False
        return self._node.replica.in_contact(self._loop.time())
