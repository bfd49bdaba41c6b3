"""Run this vm's replica: its storage, messages and timers."""

import asyncio
import secrets
import time
from collections.abc import Callable
from collections.abc import Coroutine

from nutmegchute_core.admissions import due_change
from nutmegchute_core.claims import ClaimAnswers
from nutmegchute_core.claims import ClaimBatch
from nutmegchute_core.claims import ClaimReply
from nutmegchute_core.claims import ClaimRequest
from nutmegchute_core.commands import Command
from nutmegchute_core.errors import NotLeaderError
from nutmegchute_core.errors import ReconfigurationError
from nutmegchute_core.machines import Outcome
from nutmegchute_core.memberships import Member
from nutmegchute_core.memberships import Membership
from nutmegchute_core.memberships import MembershipChange
from nutmegchute_core.memberships import Reconfigure
from nutmegchute_core.messages import Delivery
from nutmegchute_core.messages import Message
from nutmegchute_core.nodes import FlushResult
from nutmegchute_core.nodes import Node
from nutmegchute_core.replicas import LEADER
from nutmegchute_core.trees import Answer
from nutmegchute_core.trees import Change
from nutmegchute_core.trees import Tree

from .claims import CLAIM
from .claims import LedgerClock
from .deliveries import DELIVER
from .deliveries import Deliveries
from .errors import StorageError
from .events import Event
from .events import log
from .follow_servers import FollowServer
from .groups import Group
from .links import Links
from .methods import FETCH
from .methods import FOLLOW
from .proposals import PendingProposals
from .quorums import QuorumReport
from .settings import Settings
from .storages import Identity
from .storages import open_storage
from .storages import Storage
from .transfers import TreeOffers

PROPOSE_TIMEOUT_S = 3.0
TRANSFER_TIMEOUT_S = 0.3
TRANSFER_PERIOD_S = 0.02
# A stop waits so long until the vote is given up, but no longer than a share
# of its time limit.
RETIRE_TIMEOUT_S = 3.0
RETIRE_SHARE = 0.6
RETIRE_PERIOD_S = 0.05
RECOVER_PERIOD_S = 1.0
READ_TIMEOUT_S = 0.9
READ_PERIOD_S = 0.01
IDENTITY_BYTES = 6

Spawn = Callable[[Coroutine[None, None, None]], None]


class Consensus:
    """Replicate one log with the other control replicas.

    ``spawn`` runs a coroutine until the daemon stops; ``on_change`` is called
    when log entries were applied or a snapshot was restored.
    """

    def __init__(
        self,
        settings: Settings,
        links: Links,
        spawn: Spawn,
        on_change: Callable[[], None],
        offers: TreeOffers,
    ) -> None:
        """Open the data folder and load the replica, if it has a group.

        :raises StorageError: the data folder cannot be read
        """
        self._loop = asyncio.get_running_loop()
        self._settings = settings
        self._spawn = spawn
        self._on_change = on_change
        self._node: Node | None = None
        assert settings.data_folder is not None
        self._storage = open_storage(settings.data_folder)
        identity = _open_identity(self._storage, settings)
        self._group = Group(
            settings, links, self._storage, identity, lambda: self.leader
        )
        if identity.group is not None:
            self._node = self._load()
        self._problem: str | None = None
        self._follow_server = FollowServer(
            self._loop, lambda: self._node, self._flush_soon, offers
        )
        self._proposals = PendingProposals(self._loop)
        self._leading_term: int | None = None
        self._quorum_report = QuorumReport(self._loop.time())
        self._stopping = False
        self._timer: asyncio.TimerHandle | None = None
        self._flush_due = False
        self._ledger_clock = LedgerClock()
        self._deliveries = Deliveries(
            links,
            self._find_member,
            self._receive_replies,
            self._group.introduce_to,
        )
        links.serve(DELIVER, self._on_deliver)
        links.serve(FETCH, offers.handle_part)
        links.serve(FOLLOW, self._follow_server.handle_request)
        links.serve(CLAIM, self._on_claim)

    @property
    def node(self) -> Node | None:
        """Return the replica's node, None until it is loaded."""
        return self._node

    @property
    def storage(self) -> Storage:
        """Return the storage of the data folder."""
        return self._storage

    @property
    def follow_server(self) -> FollowServer:
        """Return the server of the entries' long polls."""
        return self._follow_server

    @property
    def problem(self) -> str | None:
        """Return the storage error that stops the replica, if any."""
        return self._problem

    @property
    def leader(self) -> Member | None:
        """Return the leader, None if unknown to this replica."""
        if self._node is None:
            return None
        replica = self._node.replica
        return replica.membership.find(replica.leader)

    @property
    def leader_name(self) -> str | None:
        """Return the leader's name, None if unknown to this replica."""
        leader = self.leader
        return leader.name if leader is not None else None

    @property
    def term(self) -> int:
        """Return the term in which this replica leads.

        :raises NotLeaderError: this replica does not lead
        """
        return self._leading_node().replica.term

    def in_contact(self) -> bool:
        """Return whether this replica is in contact with a majority."""
        if self._node is None:
            return False
        return self._node.replica.in_contact(self._loop.time())

    def is_current(self) -> bool:
        """Return whether entries may rely on this replica's state."""
        if self._node is None:
            return False
        return self._node.replica.is_current(self._loop.time())

    def reload(self, settings: Settings) -> None:
        """Use the replicas listed in changed settings."""
        self._settings = settings
        self._group.reload(settings)

    def pending_joins(self) -> dict[str, Member]:
        """Return the replicas that request to join, by name."""
        if self._node is None:
            return {}
        return self._group.pending_joins(self._node.replica.membership)

    async def stop(self) -> None:
        """Transfer leadership, give up the vote and redirect the entries."""
        node = self._node
        if node is not None:
            await self._transfer_leadership(node)
            await self._retire(node)
        self._stopping = True
        if self._timer is not None:
            self._timer.cancel()
        self._follow_server.redirect_all()

    def close(self) -> None:
        """Close the data folder."""
        self._storage.close()

    async def propose(self, command: Command) -> Outcome:
        """Append a command to the log and return its outcome.

        The outcome is matched by log index, so this works for any command.

        :raises NotLeaderError: this replica does not lead, or another entry
            was committed at the index; the command has no effect
        :raises TimeoutError: the outcome is unknown
        """
        index, term = self._leading_node().propose(command)
        return await self._wait_outcome(index, term)

    async def change(self, change: Change) -> Answer:
        """Propose a change of the configuration and return the answer.

        :raises NotLeaderError: another replica leads, or none
        :raises TimeoutError: the outcome is unknown; resend the change
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
        self, requested: MembershipChange, operator: str
    ) -> Membership:
        """Add, replace or remove a replica by name.

        :raises NotLeaderError: another replica leads, or none
        :raises ReconfigurationError: the change is not possible now
        :raises TimeoutError: the outcome is unknown
        """
        node = self._leading_node()
        replica = node.replica
        membership = requested.apply(replica.membership, self.pending_joins())
        change = Reconfigure(
            membership, operator, requested.describe(), time.time()
        )
        index = replica.reconfigure(change, self._loop.time())
        await self._wait_outcome(index, replica.term)
        log(
            Event.REPLICAS_CHANGED,
            detail=requested.describe(),
            operator=operator,
        )
        return membership

    async def read(self) -> Tree:
        """Return the tree once a majority confirms that it is current.

        :raises NotLeaderError: another replica leads, or none
        :raises TimeoutError: no majority confirmed within READ_TIMEOUT_S
        """
        node = self._leading_node()
        term = node.replica.term
        read_round = node.replica.begin_read()
        deadline = self._loop.time() + READ_TIMEOUT_S
        while not (
            node.replica.is_ready
            and node.replica.confirmed_round >= read_round
        ):
            if self._loop.time() >= deadline:
                raise TimeoutError
            await asyncio.sleep(READ_PERIOD_S)
            if self._node is not node or node.replica.term != term:
                raise NotLeaderError(None)
        if node.replica.state != LEADER:
            raise NotLeaderError(self.leader_name)
        return node.machine.tree

    async def _on_claim(self, request: ClaimRequest) -> ClaimReply:
        try:
            now = self._loop.time()
            elapsed_s = self._ledger_clock.elapsed_s(self.term, now)
            outcome = await self.propose(ClaimBatch(elapsed_s, request))
        except (NotLeaderError, TimeoutError):
            return ClaimReply(self.leader_name, None)
        assert isinstance(outcome, ClaimAnswers)
        return ClaimReply(None, outcome.answers)

    async def start(self) -> None:
        """Form or join the group, then start the replica's timer."""
        while self._node is None:
            try:
                await self._group.form()
                self._node = self._load()
            except StorageError as error:
                await self._handle_storage_error(error)
        self._schedule_tick()

    def _load(self) -> Node:
        return Node(
            identity=self._group.identity,
            stored=self._storage.load(self._group.genesis),
            store=self._storage,
            now=self._loop.time(),
            seed=secrets.randbits(32),
        )

    def _leading_node(self) -> Node:
        if self._node is None:
            raise NotLeaderError(None)
        if self._node.replica.state != LEADER:
            raise NotLeaderError(self.leader_name)
        return self._node

    async def _transfer_leadership(self, node: Node) -> None:
        give_up_at = self._loop.time() + TRANSFER_TIMEOUT_S
        while node.replica.state == LEADER and self._loop.time() < give_up_at:
            node.replica.transfer_leadership(self._loop.time())
            self._flush()
            await asyncio.sleep(TRANSFER_PERIOD_S)

    async def _retire(self, node: Node) -> None:
        limit_s = self._settings.shutdown_limit_s * RETIRE_SHARE
        give_up_at = self._loop.time() + min(RETIRE_TIMEOUT_S, limit_s)
        while node.replica.should_retire and self._loop.time() < give_up_at:
            node.replica.retire(self._loop.time())
            self._flush()
            await asyncio.sleep(RETIRE_PERIOD_S)

    async def _wait_outcome(self, index: int, term: int) -> Outcome:
        self._flush_soon()
        async with asyncio.timeout(PROPOSE_TIMEOUT_S):
            return await self._proposals.wait(index, term)

    def _tick(self) -> None:
        self._timer = None
        if self._node is None:
            return
        self._node.replica.tick(self._loop.time())
        self._flush()

    def _schedule_tick(self) -> None:
        if self._node is None or self._stopping:
            return
        wake_at = self._node.replica.wake_at
        if self._timer is not None:
            if self._timer.when() <= wake_at:
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(wake_at, self._tick)

    def _flush_soon(self) -> None:
        # Group commit: the proposals that arrive during a sync are flushed
        # together by the next one.
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
            self._spawn(self._recover(error))
            return []
        self._handle_flushed(node, flushed)
        self._schedule_tick()
        return flushed.messages

    def _handle_flushed(self, node: Node, flushed: FlushResult) -> None:
        for decided in flushed.decided:
            self._proposals.resolve(decided)
        if flushed.restored:
            self._proposals.fail_all()
        self._follow_server.advance(node)
        if flushed.decided or flushed.restored:
            self._on_change()
        leads = node.replica.state == LEADER
        self._log_leadership(node.replica.term if leads else None)
        self._quorum_report.update(node.replica, self._loop.time())

    def _log_leadership(self, term: int | None) -> None:
        if term == self._leading_term:
            return
        self._leading_term = term
        if term is None:
            log(Event.LEADERSHIP_ENDED)
        else:
            log(Event.LEADERSHIP_GAINED, term=term)

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

    def _receive_replies(self, messages: list[Message]) -> None:
        self._receive(messages)
        if messages:
            self._flush()

    async def _on_deliver(self, delivery: Delivery) -> Delivery:
        group = self._group.group or ""
        if delivery.group != group or self._node is None:
            if group and delivery.group != group:
                log(Event.GROUP_DIFFERS, "error", group=delivery.group)
            return Delivery(group, [])
        if delivery.messages[0].target != self._group.identity:
            # The message is for the identity of a lost disk. The empty group
            # makes the sender introduce itself. Otherwise it would not learn
            # of the loss, and this replica might not find the leader: the
            # replicas that its settings list may all have been replaced.
            return Delivery("", [])
        self._receive(delivery.messages)
        source = delivery.messages[0].source
        replies = []
        others = []
        for message in self._flush_node():
            if message.target == source:
                replies.append(message)
            else:
                others.append(message)
        self._send(others)
        return Delivery(group, replies)

    def _receive(self, messages: list[Message]) -> None:
        if self._node is None:
            return
        now = self._loop.time()
        for message in messages:
            self._node.replica.receive(message, now)

    async def _recover(self, error: StorageError) -> None:
        await self._handle_storage_error(error)
        while self._node is None:
            try:
                self._storage.recover()
                self._node = self._load()
            except StorageError as retry_error:
                self._problem = str(retry_error)
                await asyncio.sleep(RECOVER_PERIOD_S)
        self._problem = None
        log(Event.STORAGE_RECOVERED)
        self._schedule_tick()

    async def _handle_storage_error(self, error: StorageError) -> None:
        # The state in memory may be ahead of the disk. Stopping until all
        # is reloaded from the disk is equivalent to a crash, which the
        # protocol tolerates; continuing is not safe.
        self._problem = str(error)
        log(Event.STORAGE_FAILED, "error", problem=str(error))
        self._proposals.fail_all()
        self._follow_server.reset()
        self._log_leadership(None)
        await asyncio.sleep(RECOVER_PERIOD_S)

    async def maintain(self) -> None:
        """Request to join if needed; as leader, change the group if due."""
        node = self._node
        if node is None:
            return
        self._quorum_report.update(node.replica, self._loop.time())
        if node.replica.should_request_join(self._loop.time()):
            await self._group.introduce(node.replica.membership.members)
        if not node.replica.is_ready:
            return
        self._follow_server.withdraw_silent(node)
        try:
            await self._change_membership(node)
        except (NotLeaderError, ReconfigurationError, TimeoutError):
            # The next leader or the next call retries.
            return

    async def _change_membership(self, node: Node) -> None:
        operator_managed = not self._settings.seeds
        now = self._loop.time()
        requested = due_change(
            node.replica, self.pending_joins(), now, operator_managed
        )
        if requested is not None:
            await self.reconfigure(requested, "control")


def _open_identity(storage: Storage, settings: Settings) -> Identity:
    """Load this replica's identity, or create it in an empty folder."""
    identity = storage.identity()
    if identity is None:
        identity = Identity(
            f"{settings.name}.{secrets.token_hex(IDENTITY_BYTES)}",
            founding=settings.founding,
        )
        storage.save_identity(identity)
    return identity
