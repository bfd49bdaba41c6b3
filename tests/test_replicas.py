"""Test Raft on virtual time with lost, late and duplicate messages."""

from collections import deque

import msgspec
import pytest
from nutmegchute_core import nodes
from nutmegchute_core.commands import NoOp
from nutmegchute_core.errors import ReconfigurationError
from nutmegchute_core.follow_protocol import Enroll
from nutmegchute_core.follow_protocol import FollowReply
from nutmegchute_core.follow_protocol import FollowRequest
from nutmegchute_core.logs import Log
from nutmegchute_core.long_polls import LongPolls
from nutmegchute_core.machines import StateMachine
from nutmegchute_core.memberships import Member
from nutmegchute_core.memberships import Membership
from nutmegchute_core.memberships import Reconfigure
from nutmegchute_core.messages import AppendReply
from nutmegchute_core.messages import AppendRequest
from nutmegchute_core.messages import HandOver
from nutmegchute_core.messages import HardState
from nutmegchute_core.messages import InstallReply
from nutmegchute_core.messages import InstallRequest
from nutmegchute_core.messages import LogEntry
from nutmegchute_core.messages import Message
from nutmegchute_core.messages import Snapshot
from nutmegchute_core.messages import VoteReply
from nutmegchute_core.messages import VoteRequest
from nutmegchute_core.nodes import Node
from nutmegchute_core.nodes import StoredState
from nutmegchute_core.replicas import LEADER
from nutmegchute_core.replicas import Replica
from nutmegchute_core.trees import ACCEPTED
from nutmegchute_core.trees import Change
from nutmegchute_daemon.storages import Identity
from nutmegchute_daemon.storages import Storage
from nutmegchute_fakes.disks import FakeDisk
from nutmegchute_fakes.replicas import FakeEntry
from nutmegchute_fakes.replicas import SimulatedCluster
from support import rule
from support import team


def build_change(change_id: str, base: int, deadline_ms: int = 100) -> Change:
    """Build a change of the branch "lending"."""
    document = team(catalogo=[rule(deadline_ms=deadline_ms)])
    return Change(
        change_id, "ana", {"lending": base}, {"lending": document}, 0.0
    )


def wait_until_ready(
    cluster: SimulatedCluster, timeout_s: float = 20.0
) -> None:
    """Wait until a leader has committed an entry of its own term."""
    assert cluster.run_until(lambda: _ready(cluster), timeout_s)


def _ready(cluster: SimulatedCluster) -> bool:
    leader = cluster.leader()
    if leader is None or leader.node is None:
        return False
    return leader.node.replica.is_ready


def change_until_accepted(
    cluster: SimulatedCluster, change_id: str, base: int
) -> None:
    """Send a change until it is accepted."""

    def is_answered() -> bool:
        if change_id not in cluster.oracle.recorded_answers:
            cluster.change(build_change(change_id, base))
        return change_id in cluster.oracle.recorded_answers

    assert cluster.run_until(is_answered, 20.0)
    assert cluster.oracle.recorded_answers[change_id].outcome == ACCEPTED


@pytest.mark.parametrize("size", [1, 3, 5])
def test_group_forms_and_accepts(size: int) -> None:
    """Form one group from replicas with empty disks; accept a change."""
    cluster = SimulatedCluster(size, entries=2, seed=size)
    wait_until_ready(cluster)
    change_until_accepted(cluster, "a", 0)
    assert cluster.run_until(lambda: cluster.in_force_index > 0, 5.0)


@pytest.mark.parametrize("seed", range(5))
def test_leader_is_elected_soon_after_a_common_start(seed: int) -> None:
    """Elect a leader within 0.25 s after all replicas start at once.

    After a power loss entries refuse every call until a replica leads. With
    the full election timeout they were without a configuration for a third
    of a second longer.
    """
    cluster = SimulatedCluster(3, entries=0, seed=seed)
    wait_until_ready(cluster)
    for replica in cluster.replicas.values():
        replica.kill()
    cluster.run(1.0)
    for replica in cluster.replicas.values():
        replica.start()
    wait_until_ready(cluster, 0.25)


def test_partitioned_leader_steps_down() -> None:
    """No accepted change is lost when the leader is partitioned.

    The old leader steps down without a quorum, the others elect a new one,
    which accepts the change, and the old one gets it once it is back.
    """
    cluster = SimulatedCluster(3, entries=2, seed=1)
    wait_until_ready(cluster)
    old = cluster.leader()
    assert old is not None
    for other in [*cluster.names, "entry-0", "entry-1"]:
        cluster.partitions |= {(old.name, other), (other, old.name)}
    cluster.run(3.0)
    assert not old.is_leader
    change_until_accepted(cluster, "a", 0)
    cluster.partitions = set()
    cluster.run(3.0)
    assert old.node is not None
    assert old.node.machine.tree.revisions == {"lending": 1}


def test_returning_replica_does_not_depose_the_leader() -> None:
    """A replica that was isolated for long sends a pre-vote first.

    Without it, the replica's higher term would depose a leader that works,
    and operators would have to wait for an election.
    """
    cluster = SimulatedCluster(3, entries=0, seed=2)
    cluster.loss = 0.0
    wait_until_ready(cluster)
    leader = cluster.leader()
    assert leader is not None
    assert leader.node is not None
    term = leader.node.replica.term
    isolated = next(one for one in cluster.names if one != leader.name)
    for other in cluster.names:
        cluster.partitions |= {(isolated, other), (other, isolated)}
    cluster.run(10.0)
    cluster.partitions = set()
    cluster.run(5.0)
    assert cluster.leader() is leader
    assert leader.node.replica.term == term


def test_one_way_partition_does_not_depose_the_leader() -> None:
    """A replica receives from the others, but not from the leader.

    The others stay in contact with the leader and deny the pre-vote.
    """
    cluster = SimulatedCluster(3, entries=0, seed=3)
    cluster.loss = 0.0
    wait_until_ready(cluster)
    leader = cluster.leader()
    assert leader is not None
    assert leader.node is not None
    term = leader.node.replica.term
    isolated = next(one for one in cluster.names if one != leader.name)
    cluster.partitions = {(leader.name, isolated)}
    cluster.run(10.0)
    assert cluster.leader() is leader
    assert leader.node.replica.term == term


def test_stopping_leader_transfers_leadership_at_once() -> None:
    """A planned restart of the leader costs no election timeout.

    The most up-to-date follower starts an election at once, and the others
    vote for it although they were just in contact with the old leader.
    """
    cluster = SimulatedCluster(3, entries=0, seed=7)
    cluster.loss = 0.0
    wait_until_ready(cluster)
    old = cluster.leader()
    assert old is not None
    assert old.node is not None
    old.node.replica.transfer_leadership(cluster.now)
    cluster.run(0.3)
    new = cluster.leader()
    assert new is not None
    assert new is not old
    assert not old.is_leader


def test_transfer_of_an_earlier_term_is_ignored() -> None:
    """A leadership transfer that arrives in a later term has no effect."""
    cluster = SimulatedCluster(3, entries=0, seed=8)
    cluster.loss = 0.0
    wait_until_ready(cluster)
    leader = cluster.leader()
    assert leader is not None
    assert leader.node is not None
    term = leader.node.replica.term
    for name in cluster.names:
        replica = cluster.replicas[name]
        assert replica.node is not None
        target = replica.node.replica.identity
        late = HandOver(leader.node.replica.identity, target, term - 1)
        replica.receive(late)
    cluster.run(2.0)
    assert cluster.leader() is leader
    assert leader.node.replica.term == term


def test_deposed_leader_answers_no_read_as_current() -> None:
    """A leader freezes, is replaced, and resumes when a query is waiting.

    It considers itself the leader until it receives a message. With its
    answer a restarted entry would act on a tree older than the one in force.
    """
    cluster = SimulatedCluster(3, entries=1, seed=4)
    wait_until_ready(cluster)
    change_until_accepted(cluster, "a", 0)
    assert cluster.run_until(lambda: cluster.entries[0].index > 0, 5.0)
    old = cluster.leader()
    assert old is not None
    old.frozen_until = cluster.now + 60.0
    cluster.run(4.0)
    change_until_accepted(cluster, "b", 1)
    answers: list[FollowReply] = []
    old.frozen_until = cluster.now
    old.query(FollowRequest("entry-0", 0), answers.append)
    cluster.run(5.0)
    assert [one.current for one in answers] == [False]


@pytest.mark.parametrize("leader_dies", [False, True])
def test_silent_entry_delays_in_force_until_its_lease_ends(
    leader_dies: bool,
) -> None:
    """A change is accepted while an entry with a lease is cut off.

    The change may not be reported as in force before the lease has ended,
    not even by a new leader, which knows the entry from the log only.
    """
    cluster = SimulatedCluster(3, entries=2, seed=5)
    wait_until_ready(cluster)
    change_until_accepted(cluster, "a", 0)
    assert cluster.run_until(lambda: cluster.in_force_index > 0, 5.0)
    silent = cluster.entries[0]
    assert cluster.run_until(
        lambda: silent.lease.has_lease(cluster.now) and silent.index > 0,
        5.0,
    )
    for name in cluster.names:
        cluster.partitions |= {(silent.name, name), (name, silent.name)}
    if leader_dies:
        old = cluster.leader()
        assert old is not None
        old.kill()
        wait_until_ready(cluster)
    before = cluster.in_force_index
    change_until_accepted(cluster, "b", 1)
    assert silent.lease.has_lease(cluster.now)
    assert cluster.in_force_index == before
    assert cluster.run_until(lambda: cluster.in_force_index > before, 12.0)
    assert not silent.lease.has_lease(cluster.now)


def test_entry_gets_no_tree_before_it_is_enrolled() -> None:
    """A new entry can reach only a leader that was just partitioned.

    With a tree and a lease from it, the entry would act on them while a new
    leader, which does not know the entry, reports a newer tree as in force.
    """
    cluster = SimulatedCluster(3, entries=1, seed=6)
    wait_until_ready(cluster)
    change_until_accepted(cluster, "a", 0)
    old = cluster.leader()
    assert old is not None
    for name in cluster.names:
        if name == old.name:
            continue
        cluster.partitions |= {(old.name, name), (name, old.name)}
        cluster.partitions |= {("entry-new", name), (name, "entry-new")}
    cluster.entries.append(FakeEntry(cluster, "entry-new", 2))
    cluster.run(4.0)
    change_until_accepted(cluster, "b", 1)
    assert cluster.run_until(lambda: cluster.in_force_index > 0, 15.0)
    assert cluster.entries[-1].index == 0


MEMBERS = Membership([Member(name, name) for name in ("r1", "r2", "r3")])


def build_leader(entries: list[LogEntry]) -> Replica:
    """Make "r1" the leader of term 4 with the votes of "r2"."""
    log = Log(Snapshot(membership=MEMBERS), entries)
    replica = Replica("r1", HardState(3, None), log, 0.0, 1)
    replica.tick(5.0)
    replica.receive(VoteReply("r2", "r1", 4, True, True), 5.0)
    replica.receive(VoteReply("r2", "r1", 4, True, False), 5.0)
    replica.take_effects()
    assert replica.state == LEADER
    return replica


def acknowledge(replica: Replica, index: int) -> None:
    """Send a reply of "r2" whose log matches up to an index."""
    reply = AppendReply("r2", "r1", replica.term, 1, True, index)
    replica.receive(reply, 5.0)


def test_entry_of_an_earlier_term_is_not_committed_by_count() -> None:
    """An entry of term 2 may still be lost although a majority holds it.

    A third replica with an entry of term 3 could win the next election and
    overwrite it. It is safe once a later entry of this term is replicated.
    """
    replica = build_leader([LogEntry(2, 1, NoOp())])
    acknowledge(replica, 1)
    assert replica.commit_index == 0
    acknowledge(replica, 2)
    assert replica.commit_index == 2


class NoStore:
    """Store nothing."""

    def save(
        self, hard_state: HardState | None, entries: list[LogEntry]
    ) -> None:
        """Store nothing."""

    def install(self, snapshot: Snapshot) -> None:
        """Store nothing."""

    def compact(self, snapshot: Snapshot) -> None:
        """Store nothing."""


def test_new_leader_answers_reads_once_its_term_commits() -> None:
    """A new leader does not know yet that an entry in its log is committed.

    Its predecessor reported the change as in force and failed. A quorum
    confirms the new leader, but its state machine still lacks the change:
    an answer now would give a restarted entry the older tree.
    """
    entries = [
        LogEntry(1, 1, Enroll("e")),
        LogEntry(2, 2, build_change("a", 0)),
    ]
    stored = StoredState(
        HardState(3, None), Snapshot(membership=MEMBERS), entries
    )
    node = Node("r1", stored, NoStore(), 0.0, 1)
    replica = node.replica
    replica.tick(5.0)
    replica.receive(VoteReply("r2", "r1", 4, True, True), 5.0)
    replica.receive(VoteReply("r2", "r1", 4, True, False), 5.0)
    node.flush()
    long_polls = LongPolls()
    for request_id in (1, 2):
        node.machine.entries.add("e")
        long_polls.enqueue(
            request_id, FollowRequest("e", 0, hold=False), node, 5.0
        )
    replica.tick(5.5)
    node.flush()
    replica.receive(AppendReply("r2", "r1", 4, 9, False, 0), 5.5)
    node.flush()
    assert replica.confirmed_round >= 2
    assert long_polls.advance(node, 5.5) == {}
    acknowledge(replica, 3)
    node.flush()
    answers = long_polls.advance(node, 5.5)
    assert {one.index for one in answers.values()} == {2}


def test_message_for_a_lost_identity_is_ignored() -> None:
    """A vote request for a lost identity gets no reply from the new one."""
    log = Log(Snapshot(membership=MEMBERS), [])
    replica = Replica("r1", HardState(), log, 0.0, 1)
    replica.receive(VoteRequest("r2", "r1.lost", 1, 0, 0, False), 9.0)
    assert replica.take_effects().messages == []
    replica.receive(VoteRequest("r2", "r1", 1, 0, 0, False), 9.0)
    assert len(replica.take_effects().messages) == 1


def test_one_voter_changes_at_a_time() -> None:
    """Two changes at once could lead to disjoint majorities.

    Rejected are: any change before the leader's term has committed, a second
    one before the first has committed, and a change of two voters.
    """
    replica = build_leader([])
    smaller = Reconfigure(MEMBERS.without("r3"), "ana", "")
    with pytest.raises(ReconfigurationError, match="under way"):
        replica.reconfigure(smaller, 5.0)
    acknowledge(replica, 1)
    two = MEMBERS.without("r3").without("r2")
    with pytest.raises(ReconfigurationError, match="one voter"):
        replica.reconfigure(Reconfigure(two, "ana", ""), 5.0)
    replica.reconfigure(smaller, 5.0)
    with pytest.raises(ReconfigurationError, match="under way"):
        replica.reconfigure(smaller, 5.0)


def test_duplicate_snapshot_chunk_is_ignored() -> None:
    """The network duplicates chunks; the snapshot stays intact."""
    state = b"0123456789"
    log = Log(Snapshot(membership=MEMBERS), [])
    replica = Replica("r1", HardState(), log, 0.0, 1)
    for offset in (0, 4, 4, 0, 8):
        replica.receive(
            InstallRequest(
                source="r2",
                target="r1",
                term=1,
                round=1,
                index=7,
                snapshot_term=1,
                membership=MEMBERS,
                offset=offset,
                total=len(state),
                piece=state[offset : offset + 4],
            ),
            1.0,
        )
    snapshot = replica.take_effects().snapshot
    assert snapshot is not None
    assert snapshot.state == state
    assert replica.commit_index == 7


def install(
    replica: Replica, index: int, term: int, state: bytes = b"s"
) -> None:
    """Let a replica receive a snapshot in one chunk, in term 2."""
    replica.receive(
        InstallRequest(
            source="r2",
            target="r1",
            term=2,
            round=2,
            index=index,
            snapshot_term=term,
            membership=MEMBERS,
            offset=0,
            total=len(state),
            piece=state,
        ),
        1.0,
    )


def build_follower(last: int) -> Replica:
    """Build a follower that has acknowledged entries without a commit."""
    log = Log(Snapshot(membership=MEMBERS), [])
    replica = Replica("r1", HardState(), log, 0.0, 1)
    entries = [LogEntry(2, n, NoOp()) for n in range(1, last + 1)]
    replica.receive(AppendRequest("r2", "r1", 2, 1, 0, 0, entries, 0), 1.0)
    (reply,) = replica.take_effects().messages
    assert isinstance(reply, AppendReply) and reply.match_index == last
    return replica


@pytest.mark.parametrize("index", [7, 10])
def test_late_snapshot_keeps_acknowledged_entries(index: int) -> None:
    """Guard against the loss of entries that were committed by this replica.

    The leader counts them as held. If it fails, a replica without them must
    not be elected.
    """
    replica = build_follower(last=10)
    install(replica, index, term=2)
    effects = replica.take_effects()
    (reply,) = effects.messages
    assert isinstance(reply, InstallReply) and reply.done
    assert effects.snapshot is None
    assert [one.index for one in effects.committed] == list(
        range(1, index + 1)
    )
    assert (replica.last_index, replica.commit_index) == (10, index)
    replica.receive(VoteRequest("r3", "r1", 3, 9, 2, False), 9.0)
    (vote,) = replica.take_effects().messages
    assert isinstance(vote, VoteReply) and not vote.granted


def test_snapshot_replaces_entries_that_contradict_it() -> None:
    """Guard against entries that no leader has committed."""
    replica = build_follower(last=10)
    install(replica, 7, term=1)
    assert replica.take_effects().snapshot is not None
    assert (replica.last_index, replica.commit_index) == (7, 7)


def test_entries_behind_an_installed_snapshot_are_durable() -> None:
    """Entries acknowledged together with a snapshot were not on the disk."""
    disk = FakeDisk(1)
    storage = Storage(disk)  # type: ignore[arg-type]
    storage.save_identity(Identity("r1"))
    node = Node("r1", storage.load(Membership()), storage, 0.0, 1)
    state = msgspec.msgpack.encode(StateMachine().snapshot())
    install(node.replica, 7, term=2, state=state)
    entries = [LogEntry(2, index, NoOp()) for index in (8, 9)]
    node.replica.receive(
        AppendRequest("r2", "r1", 2, 2, 7, 2, entries, 0), 1.0
    )
    reply = node.flush().messages[-1]
    assert isinstance(reply, AppendReply) and reply.match_index == 9
    disk.crash()
    stored = Storage(disk).load(Membership())  # type: ignore[arg-type]
    assert stored.snapshot.index == 7
    assert stored.entries == entries


def build_entries(last_by_term: dict[int, int]) -> list[LogEntry]:
    """Build entries from the last index of each term."""
    entries: list[LogEntry] = []
    for term, last in last_by_term.items():
        first = len(entries) + 1
        entries += [LogEntry(term, n, NoOp()) for n in range(first, last + 1)]
    return entries


def build_replica(last_by_term: dict[int, int]) -> Replica:
    """Build replica "r2" with a log."""
    log = Log(Snapshot(membership=MEMBERS), build_entries(last_by_term))
    return Replica("r2", HardState(3), log, 0.0, 1)


def test_search_for_agreement_takes_a_round_trip_a_term() -> None:
    """A follower took seconds to agree, and served an old tree meanwhile.

    It had hundreds of entries that the new leader lacked. The search went
    back one entry a round trip, and each heartbeat started another one.
    """
    leader = build_leader(build_entries({1: 100, 3: 400}))
    follower = build_replica({1: 50, 2: 400})
    to_follower: deque[Message] = deque()
    to_leader: deque[Message] = deque()
    sent = rounds = 0
    while leader.match_index("r2") != leader.last_index and rounds < 500:
        rounds += 1
        now = 5.0 + 0.01 * rounds
        # The heartbeats and proposals of a leader come while it searches.
        leader.propose(NoOp())
        for message in leader.take_effects().messages:
            if message.target == "r2":
                sent += 1
                to_follower.append(message)
        while to_follower:
            follower.receive(to_follower.popleft(), now)
        to_leader.extend(follower.take_effects().messages)
        while to_leader:
            leader.receive(to_leader.popleft(), now)
    assert follower.last_index == leader.last_index
    # One term differs; the entries follow in two batches.
    assert rounds <= 5
    assert sent <= 2 * rounds


def test_replica_that_lacks_committed_entries_is_not_current() -> None:
    """Routers served an old tree of a replica that only heard its leader."""
    follower = build_replica({1: 5, 2: 9})
    assert not follower.is_current(1.0)
    follower.receive(AppendRequest("r1", "r2", 3, 1, 7, 1, [], 8), 1.0)
    assert follower.in_contact(1.0)
    assert not follower.is_current(1.0)
    entries = build_entries({1: 7, 3: 8})[5:]
    follower.receive(AppendRequest("r1", "r2", 3, 2, 5, 1, entries, 7), 1.1)
    assert not follower.is_current(1.1)
    follower.receive(AppendRequest("r1", "r2", 3, 2, 8, 3, [], 8), 1.1)
    assert follower.is_current(1.1)
    follower.receive(AppendRequest("r1", "r2", 3, 3, 8, 1, [], 9), 1.2)
    assert not follower.is_current(1.2)


def test_replica_that_receives_a_snapshot_is_not_current() -> None:
    """Routers served an old tree of a replica that had half a snapshot."""
    follower = build_follower(last=2)
    assert not follower.is_current(1.0)
    follower.receive(AppendRequest("r2", "r1", 2, 1, 2, 2, [], 2), 1.0)
    assert follower.is_current(1.0)
    for offset, is_current in ((0, False), (1, True)):
        follower.receive(
            InstallRequest("r2", "r1", 2, 2, 7, 2, MEMBERS, offset, 2, b"s"),
            1.0,
        )
        assert follower.is_current(1.0) == is_current


@pytest.mark.parametrize("size", [3, 5])
@pytest.mark.parametrize("seed", range(6))
def test_current_replica_has_every_accepted_change(
    seed: int, size: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A leader is elected and has committed nothing of its term yet.

    Neither it nor its followers know then what was accepted before. A router
    that starts would get the configuration of the last snapshot from them
    and refuse the requests of newer routes.
    """
    monkeypatch.setattr(nodes, "SNAPSHOT_ENTRIES", 3)
    cluster = SimulatedCluster(size, entries=0, seed=seed)
    wait_until_ready(cluster)
    for number in range(5):
        change_until_accepted(cluster, f"change-{number}", number)
    replicas = list(cluster.replicas.values())
    for replica in replicas:
        replica.kill()
    for replica in replicas:
        replica.start()
    end = cluster.now + 4.0
    current: set[str] = set()
    while cluster.now < end:
        cluster.step()
        for replica in replicas:
            node = replica.node
            if node is None or not node.replica.is_current(cluster.now):
                continue
            current.add(replica.name)
            assert node.machine.tree.revisions == {"lending": 5}
    assert current == set(cluster.names)


def build_demoted_replica() -> Replica:
    """Build a replica whose last entry, not committed, demotes itself."""
    before = Membership([Member(one, one) for one in "abcd"])
    change = Reconfigure(before.demoted("c"), "control", "c votes no more")
    log = Log(Snapshot(membership=before), [LogEntry(1, 1, change)])
    return Replica("c", HardState(1, None), log, 0.0, 1)


def test_replica_campaigns_until_its_demotion_is_committed() -> None:
    """A leader is lost for good while it demotes a replica.

    That replica alone has the newest entry, so it denies the others its
    vote, and they need it. If it did not stand itself, nobody would be
    elected ever again.
    """
    replica = build_demoted_replica()
    replica.tick(1.0)
    asked = [
        one.target
        for one in replica.take_effects().messages
        if isinstance(one, VoteRequest)
    ]
    assert asked == ["a", "b", "d"]


def test_demoted_replica_does_not_campaign() -> None:
    """A learner whose demotion is committed leaves elections to others."""
    replica = build_demoted_replica()
    request = AppendRequest("a", "c", 1, 1, 1, 1, [], 1)
    replica.receive(request, 0.0)
    replica.take_effects()
    replica.tick(9.0)
    assert replica.take_effects().messages == []


def test_replica_waits_until_its_demotion_is_committed() -> None:
    """A replica is told to stop and learns that its vote was given up.

    If the leader were lost before it has committed that, the others would
    need the replica, which had ended for good.
    """
    replica = build_demoted_replica()
    assert replica.should_retire
    replica.receive(AppendRequest("a", "c", 1, 1, 1, 1, [], 1), 0.0)
    assert not replica.should_retire
