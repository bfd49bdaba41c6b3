"""Fuzz groups of replicas and entries, and check their guarantees."""

from collections.abc import Callable
from random import Random
from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import run_state_machine_as_test
from nutmegchute_core import leaderships
from nutmegchute_core import nodes
from nutmegchute_core.errors import NotLeaderError
from nutmegchute_core.trees import Change
from nutmegchute_fakes.replicas import FakeReplica
from nutmegchute_fakes.replicas import SimulatedCluster
from support import rule as rule_document
from support import team

ENTRIES = 3
STORM_SEEDS = 20
REPLICA_NUMBERS = st.integers(0, 6)


class Group(RuleBasedStateMachine):
    """Break replicas, disks and the network while operators race."""

    size = 3

    def __init__(self) -> None:
        super().__init__()
        self.changes: list[Change] = []
        self.lost: str | None = None

    @initialize(seed=st.integers(0, 2**16))
    def begin(self, seed: int) -> None:
        """Start a group; kept small so that snapshots come often."""
        self.cluster = SimulatedCluster(self.size, ENTRIES, seed)
        self.cluster.run(3.0)

    def pick(self, number: int) -> FakeReplica:
        """Choose a replica."""
        names = self.cluster.names
        return self.cluster.replicas[names[number % len(names)]]

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 2.0, 4.0]))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.cluster.run(seconds)

    @rule(number=REPLICA_NUMBERS, both=st.booleans(), outwards=st.booleans())
    def isolate(self, number: int, both: bool, outwards: bool) -> None:
        """Cut a replica off, silently, in one direction or both."""
        name = self.pick(number).name
        entries = [entry.name for entry in self.cluster.entries]
        for other in [*self.cluster.names, *entries]:
            if both or outwards:
                self.cluster.partitions.add((name, other))
            if both or not outwards:
                self.cluster.partitions.add((other, name))

    @rule(number=REPLICA_NUMBERS, other=REPLICA_NUMBERS)
    def cut(self, number: int, other: int) -> None:
        """Cut one direction between two replicas."""
        pair = (self.pick(number).name, self.pick(other).name)
        self.cluster.partitions.add(pair)

    @rule()
    def heal(self) -> None:
        """Make the network whole."""
        self.cluster.partitions = set()

    @rule(number=REPLICA_NUMBERS, seconds=st.sampled_from([0.5, 1.5, 5.0]))
    def freeze(self, number: int, seconds: float) -> None:
        """Stop a process without a word; it does not notice."""
        self.pick(number).frozen_until = self.cluster.now + seconds

    @rule(number=REPLICA_NUMBERS, operations=st.integers(1, 12))
    def cut_power(self, number: int, operations: int) -> None:
        """Kill a replica at one of its next writes or syncs."""
        self.pick(number).disk.power_cut_after = operations

    @rule(number=REPLICA_NUMBERS)
    def kill(self, number: int) -> None:
        """Kill a replica now."""
        self.pick(number).kill()

    @rule()
    def hand_over(self) -> None:
        """Let the leader give the lead away."""
        leader = self.cluster.leader()
        if leader is not None and leader.node is not None:
            leader.node.replica.transfer_leadership(self.cluster.now)

    @rule()
    def start_all(self) -> None:
        """Start what is down."""
        for replica in self.cluster.replicas.values():
            if not replica.up:
                replica.start()

    @rule(number=REPLICA_NUMBERS, full=st.booleans())
    def fill_disk(self, number: int, full: bool) -> None:
        """Fill a disk or make room on it."""
        self.pick(number).disk.full = full

    @precondition(lambda self: self.lost is None)
    @rule(number=REPLICA_NUMBERS)
    def lose_disk(self, number: int) -> None:
        """Lose a disk; the replica returns with an empty one."""
        if not self.cluster.run_until(self.is_healthy, 4.0):
            return
        replica = self.pick(number)
        self.lost = replica.name
        replica.kill()
        replica.disk.wipe()
        replica.start()

    @rule()
    def repair(self) -> None:
        """Take the replica with the empty disk in again.

        Once it votes, a second disk may be lost.
        """
        leader = self.cluster.leader()
        if leader is not None and self.lost is not None:
            leader.replace(self.lost)
            self.cluster.run_until(self.is_healthy, 3.0)
        if self.is_healthy():
            self.lost = None

    @rule()
    def recover(self) -> None:
        """End all faults for a while."""
        self.cluster.heal()
        self.cluster.run_until(self.is_healthy, 6.0)

    @rule(seed=st.integers(0, 2**16), steps=st.sampled_from([10, 40]))
    def storm(self, seed: int, steps: int) -> None:
        """Let many faults follow one another, with changes between."""
        random = Random(seed)
        for _ in range(steps):
            self.act(random)
            for _ in range(random.randrange(4)):
                if random.random() < 0.3:
                    self.resend(random.randrange(1000))
                self.operate(random.random() < 0.2)
                self.cluster.run(random.choice([0.01, 0.05, 0.3]))
            self.cluster.run(random.choice([0.0, 0.3, 1.0, 2.0]))

    def act(self, random: Random) -> None:
        """Do one thing by chance."""
        number = random.randrange(7)
        actions: list[Callable[[], None]] = [
            lambda: self.isolate(number, random.random() < 0.5, number < 3),
            lambda: self.cut(number, random.randrange(7)),
            self.heal,
            lambda: self.freeze(number, random.choice([0.5, 1.5, 5.0])),
            lambda: self.cut_power(number, random.randint(1, 12)),
            lambda: self.kill(number),
            self.start_all,
            self.hand_over,
            lambda: self.fill_disk(number, random.random() < 0.4),
            lambda: self.restart_entry(number % ENTRIES),
            self.recover,
            self.recover,
            lambda: self.burst(20, number),
        ]
        if self.lost is None:
            actions.append(lambda: self.lose_disk(number))
        else:
            actions += [self.repair] * 3
        random.choice(actions)()

    @rule(stale=st.booleans())
    def operate(self, stale: bool) -> None:
        """Change a branch, perhaps from an older revision."""
        self.send(self.next_change(stale))

    @rule(number=st.integers(0, 1000))
    def resend(self, number: int) -> None:
        """Send an earlier change again; its answer may have been lost."""
        if self.changes:
            self.send(self.changes[number % len(self.changes)])

    @rule(count=st.sampled_from([20, 60]), number=REPLICA_NUMBERS)
    def burst(self, count: int, number: int) -> None:
        """Make many changes, then restart a replica."""
        for _ in range(count):
            self.send(self.next_change(False))
            self.cluster.run(0.02)
        replica = self.pick(number)
        replica.kill()
        replica.start()

    @rule(number=st.integers(0, ENTRIES - 1))
    def restart_entry(self, number: int) -> None:
        """Restart an entry, perhaps against an isolated replica."""
        self.cluster.entries[number].restart()

    def teardown(self) -> None:
        """End all faults; one list explains all that anybody was told."""
        if not hasattr(self, "cluster"):
            return
        cluster = self.cluster
        cluster.heal()
        cluster.run(4.0)
        for _ in range(20):
            self.repair()
            if self.lost is None and self.has_converged():
                break
            cluster.run(1.0)
        assert self.lost is None
        assert self.has_converged()
        final = cluster.oracle.replay()
        for replica in cluster.replicas.values():
            assert replica.node is not None
            tree = replica.node.machine.tree
            assert tree.snapshot() == final.tree.snapshot()

    def is_healthy(self) -> bool:
        """Tell whether every replica is there and votes.

        One that only learns yet does not count: a disk lost before its
        vote is the second of three, which no group survives.
        """
        leader = self.cluster.leader()
        if leader is None or leader.node is None:
            return False
        replica = leader.node.replica
        if (
            not replica.is_ready
            or replica.log.membership_index > replica.commit_index
        ):
            return False
        voters = set(replica.membership.voters)
        present = {
            one.node.replica.identity
            for one in self.cluster.replicas.values()
            if one.node is not None
        }
        return voters == present and len(voters) == self.size

    def has_converged(self) -> bool:
        """Tell whether every replica has applied the whole list."""
        last = max(self.cluster.oracle.entries, default=0)
        applied = {
            one.node.machine.applied if one.node is not None else -1
            for one in self.cluster.replicas.values()
        }
        return applied == {last}

    def next_change(self, stale: bool) -> Change:
        """Build a change on the leader's revision or the one before."""
        leader = self.cluster.leader()
        base = 0
        if leader is not None and leader.node is not None:
            revisions = leader.node.machine.tree.revisions
            base = revisions.get("lending", 0) - int(stale)
        number = len(self.changes)
        rules = [rule_document(deadline_ms=number + 1)]
        change = Change(
            change_id=f"change-{number}",
            operator="ana",
            bases={"lending": max(0, base)},
            documents={"lending": team(catalogo=rules)},
            at_unix_s=0.0,
        )
        self.changes.append(change)
        return change

    def send(self, change: Change) -> None:
        """Send a change to some replica that believes to lead."""
        leaders = [
            one for one in self.cluster.replicas.values() if one.is_leader
        ]
        if not leaders:
            return
        replica = self.cluster.random.choice(leaders)
        if not replica.is_running():
            return
        try:
            replica.propose(change, self.cluster.oracle.record_answer)
        except NotLeaderError:
            return


class GroupOfFive(Group):
    """Do the same to five replicas."""

    size = 5


@pytest.mark.parametrize(
    ("group", "examples"), [(Group, 40), (GroupOfFive, 15)]
)
def test_guarantees_hold_under_faults(
    group: type[Group], examples: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """No accepted change is lost, duplicated or reverted, whatever fails.

    Replicas are partitioned, frozen, killed at any write, run out of disk
    space, lose disks and are repaired; operators send concurrent changes and
    resend them. Afterwards one log explains every answer, every replica
    holds it, and no entry with a lease acted on a tree older than in force.
    """
    use_small_limits(monkeypatch)
    run_state_machine_as_test(
        group,
        settings=settings(
            max_examples=examples,
            stateful_step_count=12,
            derandomize=True,
            deadline=None,
            database=None,
        ),
    )


@pytest.mark.parametrize("group", [Group, GroupOfFive])
@pytest.mark.parametrize("seed", range(STORM_SEEDS))
def test_guarantees_hold_under_long_fault_sequences(
    group: type[Group], seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The same guarantees hold under long sequences of faults.

    The actions are chosen by a seed: a lost disk, its repair and the loss of
    a second replica need more steps than hypothesis draws.
    """
    use_small_limits(monkeypatch)
    machine = group()
    machine.begin(seed)
    machine.storm(seed, 80)
    machine.teardown()


def test_replica_that_lost_its_disk_rejoins_after_start_on_full_disk(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A disk full at the start must not keep a replica out for good."""
    use_small_limits(monkeypatch)
    machine = Group()
    machine.begin(28)
    machine.storm(12380, 40)
    machine.burst(20, 0)
    machine.recover()
    machine.teardown()


def use_small_limits(monkeypatch: pytest.MonkeyPatch) -> None:
    """Lower the limits, so that snapshots and chunks are frequent."""
    values: list[tuple[Any, str, int]] = [
        (nodes, "SNAPSHOT_ENTRIES", 30),
        (nodes, "TRAILING_ENTRIES", 8),
        (leaderships, "CHUNK_BYTES", 3000),
        (leaderships, "CAUGHT_UP_ENTRIES", 8),
    ]
    for module, name, value in values:
        monkeypatch.setattr(module, name, value)
