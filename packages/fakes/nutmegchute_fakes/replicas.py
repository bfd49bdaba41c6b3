"""Simulate control replicas and entries on virtual time, with faults."""

import heapq
from collections.abc import Callable
from random import Random
from typing import Any

from nutmegchute_core.admissions import due_change
from nutmegchute_core.errors import CoreError
from nutmegchute_core.errors import NotLeaderError
from nutmegchute_core.follow_protocol import FollowReply
from nutmegchute_core.follow_protocol import FollowRequest
from nutmegchute_core.follow_protocol import TreeLease
from nutmegchute_core.formations import Formation
from nutmegchute_core.formations import Introduction
from nutmegchute_core.join_requests import JoinRequests
from nutmegchute_core.long_polls import LongPolls
from nutmegchute_core.machines import StateMachine
from nutmegchute_core.memberships import Member
from nutmegchute_core.memberships import Membership
from nutmegchute_core.memberships import MembershipChange
from nutmegchute_core.memberships import Reconfigure
from nutmegchute_core.messages import LogEntry
from nutmegchute_core.messages import Message
from nutmegchute_core.nodes import Node
from nutmegchute_core.replicas import LEADER
from nutmegchute_core.replicas import Replica
from nutmegchute_core.trees import Answer
from nutmegchute_core.trees import Change
from nutmegchute_daemon.errors import StorageError
from nutmegchute_daemon.storages import Identity
from nutmegchute_daemon.storages import Storage

from .disks import FakeDisk
from .disks import PowerCutError

INTRODUCE_S = 0.5
MEMBERSHIP_CHECK_S = 0.5
HAND_OVER_S = 0.3
RETIRE_S = 3.0
RETIRE_TICK_S = 0.1
RECOVER_S = 1.0
FOLLOW_S = 0.3
FOLLOW_TIMEOUT_S = 4.8
MAX_DELAY_S = 0.02


class OracleError(AssertionError):
    """Report a violated guarantee."""


class Oracle:
    """Record applied entries, leaders and answers, and check them."""

    def __init__(self) -> None:
        self.entries: dict[int, LogEntry] = {}
        self.leaders: dict[int, str] = {}
        self.recorded_answers: dict[str, Answer] = {}

    def record_entry(self, entry: LogEntry) -> None:
        """Check that every replica applies the same entry at an index."""
        known = self.entries.setdefault(entry.index, entry)
        if known != entry:
            raise OracleError(f"two entries at {entry.index}")

    def record_leader(self, term: int, identity: str) -> None:
        """Check that a term has one leader at most."""
        known = self.leaders.setdefault(term, identity)
        if known != identity:
            raise OracleError(f"two leaders in term {term}")

    def record_answer(self, answer: Answer) -> None:
        """Check that all answers to a change id are the same."""
        known = self.recorded_answers.setdefault(answer.change_id, answer)
        if known != answer:
            raise OracleError(f"two answers to {answer.change_id}")

    def replay(self) -> StateMachine:
        """Apply all entries in order and check the recorded answers."""
        machine = StateMachine()
        for index in sorted(self.entries):
            if index != machine.applied + 1:
                raise OracleError(f"entry {machine.applied + 1} is lost")
            outcome = machine.apply(self.entries[index])
            if not isinstance(outcome, Answer):
                continue
            known = self.recorded_answers.get(outcome.change_id, outcome)
            if known != outcome:
                raise OracleError(f"{outcome.change_id}: answers differ")
        for change_id, answer in self.recorded_answers.items():
            if answer.index not in self.entries:
                raise OracleError(f"{change_id} is lost")
        return machine


class FakeReplica:
    """Run one node as the control daemon does."""

    def __init__(
        self,
        cluster: "SimulatedCluster",
        name: str,
        seed: int,
        seeds: list[str],
    ) -> None:
        self._cluster = cluster
        self._seeds = seeds
        self._seed = seed
        self.name = name
        self.disk = FakeDisk(seed)
        self.node: Node | None = None
        self.up = False
        self.frozen_until = 0.0
        self.starts = 0
        self._wake_at = 0.0
        self._proposals: dict[int, tuple[int, Any]] = {}
        self._queries: dict[int, Callable[[FollowReply], None]] = {}
        self._long_polls = LongPolls()
        self._last_query_id = 0
        # Whether the supervisor will start it again after a failed start.
        self._restart_pending = False
        self._join_requests = JoinRequests()
        self._reported_leader = ""

    @property
    def is_leader(self) -> bool:
        """Return whether the replica considers itself the leader."""
        return self.node is not None and self.node.replica.state == LEADER

    def start(self) -> None:
        """Start from the state on the disk."""
        self.up = True
        self._restart_pending = False
        self.starts += 1
        try:
            self._open_identity()
        except PowerCutError:
            self.kill()
            return
        except StorageError:
            # As the daemon does: it ends, and its supervisor starts it again.
            self.kill()
            self._restart_pending = True
            self._cluster.after(RECOVER_S, self._restart)
            return
        self._guard(self._load)
        if not self.up:
            return
        self._introduce(self.starts)
        if self._cluster.auto_membership:
            self._check_membership(self.starts)

    def _restart(self) -> None:
        if self._restart_pending:
            self.start()

    def kill(self) -> None:
        """Stop at once; data that was not synced may be lost."""
        self.up = False
        self._restart_pending = False
        self.node = None
        self._proposals = {}
        self._queries = {}
        self._long_polls = LongPolls()
        self.disk.stop()

    def stop(self) -> None:
        """Stop in order, as the daemon does on a signal."""
        if self.node is None:
            self.kill()
            return
        self.node.replica.transfer_leadership(self._cluster.now)
        self._guard(self._flush)
        start = self.starts
        self._cluster.after(
            HAND_OVER_S, lambda: self._retire(start, self._cluster.now)
        )

    def _retire(self, start: int, since: float) -> None:
        if start != self.starts or not self.up or self.node is None:
            return
        replica = self.node.replica
        late = self._cluster.now - since >= RETIRE_S
        if late or not replica.should_retire:
            self.kill()
            return
        replica.retire(self._cluster.now)
        self._guard(self._flush)
        self._cluster.after(RETIRE_TICK_S, lambda: self._retire(start, since))

    def is_running(self) -> bool:
        """Return whether the process is up and not frozen."""
        return self.up and self._cluster.now >= self.frozen_until

    def propose(self, command: Any, on_reply: Callable[[Any], None]) -> None:
        """Propose a command; call back with the outcome once applied."""
        if self.node is None:
            raise NotLeaderError(None)
        index, term = self.node.propose(command)
        self._proposals[index] = (term, on_reply)
        self._guard(self._flush)

    def query(
        self, request: FollowRequest, on_reply: Callable[[FollowReply], None]
    ) -> None:
        """Handle a follow request of an entry."""
        if self.node is None:
            return
        self._last_query_id += 1
        query_id = self._last_query_id
        self._queries[query_id] = on_reply
        now = self._cluster.now
        reply = self._long_polls.enqueue(query_id, request, self.node, now)
        if reply is not None:
            self._queries.pop(query_id)(reply)
        self._guard(self._flush)

    def in_force(self, index: int) -> bool:
        """Return whether this leader reports an index as in force."""
        if self.node is None:
            return False
        return self._long_polls.in_force(index, self.node, self._cluster.now)

    def receive_from(self, message: Message, sender: "FakeReplica") -> None:
        """Handle a message; notify the sender if the identity is outdated."""
        if message.target != self._identity.identity:
            self._cluster.send(
                self.name, sender.name, lambda: sender.introduce_to(self.name)
            )
        self.receive(message)

    def receive(self, message: Message) -> None:
        """Handle a message from another replica."""
        if self.node is None:
            return
        self.node.replica.receive(message, self._cluster.now)
        self._guard(self._flush)

    def receive_introduction(
        self,
        introduction: Introduction,
        source: "FakeReplica",
        follow_referral: bool,
    ) -> None:
        """Handle an introduction and reply with this replica's own."""
        if not self.up:
            return
        self._formation.record(introduction)
        if introduction.group is not None:
            self._reported_leader = (
                introduction.leader or introduction.member.name
            )
        self._join_requests.record(introduction, self._cluster.now)
        own = self._own_introduction()
        self._cluster.send(
            self.name,
            source.name,
            lambda: source.receive_introduction_reply(own, follow_referral),
        )

    def receive_introduction_reply(
        self, introduction: Introduction, follow_referral: bool
    ) -> None:
        """Handle the reply to an introduction."""
        if not self.up:
            return
        self._formation.record(introduction)
        if follow_referral:
            self._send_introduction(introduction.leader, False)

    def replace(self, name: str) -> None:
        """Replace the member of a name by the replica waiting under it."""
        self._change_group(MembershipChange("replace", name))

    def _check_membership(self, start: int) -> None:
        if start != self.starts or not self.up:
            return
        self._cluster.after(
            MEMBERSHIP_CHECK_S, lambda: self._check_membership(start)
        )
        if self.node is None or not self.is_running():
            return
        replica = self.node.replica
        if not replica.is_ready:
            return
        wanted_change = due_change(
            replica, self._pending_joins(replica), self._cluster.now, False
        )
        if wanted_change is not None:
            self._change_group(wanted_change)

    def _change_group(self, wanted_change: MembershipChange) -> None:
        if self.node is None:
            return
        replica = self.node.replica
        try:
            membership = wanted_change.apply(
                replica.membership, self._pending_joins(replica)
            )
            change = Reconfigure(membership, "test", wanted_change.describe())
            replica.reconfigure(change, self._cluster.now)
        except CoreError:
            return
        self._guard(self._flush)

    def _pending_joins(self, replica: Replica) -> dict[str, Member]:
        return self._join_requests.pending(
            replica.membership, self._cluster.now
        )

    def _open_identity(self) -> None:
        self._storage = Storage(self.disk)  # type: ignore[arg-type]
        identity = self._storage.identity()
        if identity is None:
            identity = Identity(f"{self.name}.{self._seed}.{self.starts}")
            self._storage.save_identity(identity)
        self._identity = identity
        member = Member(identity.identity, self.name, self.name)
        self._formation = Formation(member, self._cluster.names)

    def _load(self) -> None:
        if self._identity.group is not None:
            self._start_node()
        else:
            self._form()

    def _start_node(self) -> None:
        founder = self._identity.genesis.find(self._identity.identity)
        genesis = self._identity.genesis if founder else Membership()
        self.node = Node(
            identity=self._identity.identity,
            stored=self._storage.load(genesis),
            store=self._storage,
            now=self._cluster.now,
            seed=self._seed + self.starts,
        )
        self._schedule_wake()

    def _form(self) -> None:
        found = self._formation.result()
        if found is None:
            return
        own = self._identity.identity
        self._identity = Identity(own, found.group, found.genesis)
        self._storage.save_identity(self._identity)
        self._start_node()

    def _introduce(self, start: int) -> None:
        if start != self.starts or not self.up:
            return
        self._cluster.after(INTRODUCE_S, lambda: self._introduce(start))
        if not self.is_running():
            return
        if self.node is None:
            self._guard(self._form)
        names = [*self._seeds, self._reported_leader]
        if self.node is not None:
            replica = self.node.replica
            if not replica.should_request_join(self._cluster.now):
                return
            names += [one.name for one in replica.membership.members]
        for name in dict.fromkeys(names):
            self._send_introduction(name, True)

    def introduce_to(self, name: str) -> None:
        """Introduce this replica to one that lost its disk."""
        if self.up:
            self._send_introduction(name, False)

    def _send_introduction(self, name: str, follow_referral: bool) -> None:
        if name in ("", self.name):
            return
        own = self._own_introduction()
        other = self._cluster.replicas[name]
        self._cluster.send(
            self.name,
            name,
            lambda: other.receive_introduction(own, self, follow_referral),
        )

    def _own_introduction(self) -> Introduction:
        member = Member(self._identity.identity, self.name, self.name)
        return Introduction(
            member,
            self._identity.group,
            self._identity.genesis,
            self._leader_name(),
        )

    def _leader_name(self) -> str:
        if self.node is None:
            return ""
        replica = self.node.replica
        leader = replica.membership.find(replica.leader)
        return leader.name if leader is not None else ""

    def _guard(self, action: Callable[[], None]) -> None:
        try:
            action()
        except PowerCutError:
            self.kill()
        except StorageError:
            # As the daemon does: stop, wait, then reload from the disk.
            self.node = None
            self._proposals = {}
            self._queries = {}
            self._long_polls = LongPolls()
            start = self.starts
            self._cluster.after(RECOVER_S, lambda: self._recover(start))

    def _recover(self, start: int) -> None:
        if start != self.starts or not self.up or self.node is not None:
            return

        def reload() -> None:
            self._storage.recover()
            self._start_node()

        self._guard(reload)

    def _schedule_wake(self) -> None:
        assert self.node is not None
        wake_at = max(self.node.replica.wake_at, self._cluster.now + 0.001)
        if self._wake_at and self._wake_at <= wake_at:
            return
        self._wake_at = wake_at
        start = self.starts
        self._cluster.at(wake_at, lambda: self._wake(wake_at, start))

    def _wake(self, scheduled_at: float, start: int) -> None:
        if scheduled_at != self._wake_at:
            return
        self._wake_at = 0.0
        if start != self.starts or self.node is None:
            if self.node is not None:
                self._schedule_wake()
            return
        if not self.is_running():
            self._wake_at = self.frozen_until
            until = self.frozen_until
            self._cluster.at(until, lambda: self._wake(until, start))
            return
        self.node.replica.tick(self._cluster.now)
        self._guard(self._flush)

    def _flush(self) -> None:
        node = self.node
        assert node is not None
        flushed = node.flush()
        oracle = self._cluster.oracle
        for decided in flushed.decided:
            oracle.record_entry(decided.entry)
            self._report_outcome(decided.entry, decided.outcome)
        if node.replica.state == LEADER:
            oracle.record_leader(node.replica.term, node.replica.identity)
        for message in flushed.messages:
            self._cluster.deliver(self.name, message)
        answers = self._long_polls.advance(node, self._cluster.now)
        for query_id, reply in answers.items():
            on_reply = self._queries.pop(query_id, None)
            if on_reply is not None:
                on_reply(reply)
        self._schedule_wake()

    def _report_outcome(self, entry: LogEntry, outcome: Any) -> None:
        proposal = self._proposals.pop(entry.index, None)
        if proposal is not None and proposal[0] == entry.term:
            proposal[1](outcome)


class FakeEntry:
    """Follow the tree as an entry does; check that it never regresses."""

    def __init__(
        self, cluster: "SimulatedCluster", name: str, entries: int
    ) -> None:
        self._cluster = cluster
        self.name = name
        self._others = entries - 1
        self.restart()
        self._follow()

    def restart(self) -> None:
        """Restart without any state."""
        self.index = 0
        self.lease = TreeLease(self._others)
        self.epoch = getattr(self, "epoch", 0) + 1
        self._min_index = self._cluster.in_force_index

    def _follow(self) -> None:
        self._cluster.after(FOLLOW_S, self._follow)
        names = list(self._cluster.replicas)
        target = self._cluster.random.choice(names)
        request = FollowRequest(self.name, self.index, hold=False)
        sent_at = self._cluster.now
        epoch = self.epoch

        def on_reply(reply: FollowReply) -> None:
            self._cluster.send(
                target,
                self.name,
                lambda: self._apply_reply(reply, sent_at, epoch),
            )

        replica = self._cluster.replicas[target]
        self._cluster.send(
            self.name, target, lambda: replica.query(request, on_reply)
        )

    def _apply_reply(
        self, reply: FollowReply, sent_at: float, epoch: int
    ) -> None:
        late = self._cluster.now - sent_at > FOLLOW_TIMEOUT_S
        if epoch != self.epoch or not reply.current or late:
            return
        self.lease.renew(sent_at)
        if reply.documents is None or reply.index <= self.index:
            return
        if reply.index < self._min_index:
            raise OracleError(
                f"{self.name} acts on {reply.index} after "
                f"{self._min_index} was in force"
            )
        self.index = reply.index


class SimulatedCluster:
    """Hold replicas, entries, a faulty network and a virtual clock.

    With ``auto_membership`` the leader changes the group by itself.
    """

    def __init__(
        self, size: int, entries: int, seed: int, auto_membership: bool = False
    ) -> None:
        self.auto_membership = auto_membership
        self._seed = seed
        self.random = Random(seed)
        self.now = 0.0
        self.names = [f"control-{n}" for n in range(1, size + 1)]
        self.oracle = Oracle()
        self.partitions: set[tuple[str, str]] = set()
        self.loss = 0.01
        self.duplication = 0.02
        self.in_force_index = 0
        self._events: list[tuple[float, int, Callable[[], Any]]] = []
        self._sequence = 0
        self.replicas = {
            name: FakeReplica(self, name, seed + number, self.names)
            for number, name in enumerate(self.names)
        }
        self.entries = [
            FakeEntry(self, f"entry-{n}", entries) for n in range(entries)
        ]
        for replica in self.replicas.values():
            replica.start()

    def add(self, seeds: list[str]) -> FakeReplica:
        """Start another replica with an empty disk and some seeds."""
        number = len(self.replicas)
        name = f"control-{number + 1}"
        replica = FakeReplica(self, name, self._seed + number, seeds)
        self.replicas[name] = replica
        replica.start()
        return replica

    def at(self, time: float, action: Callable[[], Any]) -> None:
        """Schedule an action at a time."""
        self._sequence += 1
        heapq.heappush(self._events, (time, self._sequence, action))

    def after(self, delay: float, action: Callable[[], Any]) -> None:
        """Schedule an action after a delay."""
        self.at(self.now + delay, action)

    def run(self, seconds: float) -> None:
        """Advance the clock, then check the invariants."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.step()
        self.now = end
        self.check()

    def step(self) -> None:
        """Run the next event."""
        time, _, action = heapq.heappop(self._events)
        self.now = max(self.now, time)
        action()

    def run_until(
        self, condition: Callable[[], bool], timeout_s: float
    ) -> bool:
        """Advance the clock until a condition holds or time is up."""
        end = self.now + timeout_s
        while self.now < end:
            if condition():
                return True
            self.run(0.1)
        return condition()

    def send(self, source: str, target: str, action: Any) -> None:
        """Run an action at a target; the network may lose or duplicate it."""
        if (
            source,
            target,
        ) in self.partitions or self.random.random() < self.loss:
            return
        copies = 2 if self.random.random() < self.duplication else 1
        for _ in range(copies):
            delay = self.random.uniform(0.0005, MAX_DELAY_S)
            self.after(delay, lambda: self._deliver(target, action))

    def deliver(self, source: str, message: Message) -> None:
        """Send a message to the replica with the target identity."""
        name = message.target.split(".")[0]
        replica = self.replicas.get(name)
        if replica is not None:
            sender = self.replicas[source]
            self.send(
                source, name, lambda: replica.receive_from(message, sender)
            )

    def leader(self) -> FakeReplica | None:
        """Return the leader of the highest term, if any."""
        found = None
        highest = 0
        for replica in self.replicas.values():
            node = replica.node
            if node is None or not replica.is_leader:
                continue
            if node.replica.term > highest:
                highest = node.replica.term
                found = replica
        return found

    def heal(self) -> None:
        """End all faults and start all replicas."""
        self.partitions = set()
        for replica in self.replicas.values():
            replica.frozen_until = 0.0
            replica.disk.full = False
            replica.disk.power_cut_after = None
            if not replica.up:
                replica.start()

    def change(self, change: Change) -> None:
        """Send a change to the leader; its answer may be lost."""
        replica = self.leader()
        if replica is None or not replica.is_running():
            return

        def on_reply(outcome: Any) -> None:
            assert isinstance(outcome, Answer)
            self.oracle.record_answer(outcome)

        try:
            replica.propose(change, on_reply)
        except NotLeaderError:
            return

    def check(self) -> None:
        """Check that no entry acts on a tree older than one in force."""
        for replica in self.replicas.values():
            node = replica.node
            if (
                node is None
                or not replica.is_leader
                or not replica.is_running()
            ):
                continue
            index = node.machine.tree.index
            if index <= self.in_force_index or not replica.in_force(index):
                continue
            self.in_force_index = index
        for entry in self.entries:
            if entry.index >= self.in_force_index or not entry.index:
                continue
            if entry.lease.has_lease(self.now):
                raise OracleError(
                    f"{entry.name} acts on {entry.index} while "
                    f"{self.in_force_index} is in force"
                )

    def _deliver(self, target: str, action: Callable[[], Any]) -> None:
        replica = self.replicas.get(target)
        if replica is None:
            action()
            return
        if not replica.up:
            return
        if not replica.is_running():
            self.at(
                replica.frozen_until, lambda: self._deliver(target, action)
            )
            return
        action()
