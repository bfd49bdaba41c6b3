"""Test replaced control replicas, followed by lost disks and power."""

import os
from collections.abc import Callable
from random import Random

import pytest
from nutmegchute_core.messages import HandOver
from nutmegchute_core.trees import ACCEPTED
from nutmegchute_core.trees import Change
from nutmegchute_fakes.replicas import FakeReplica
from nutmegchute_fakes.replicas import SimulatedCluster
from support import rule
from support import team

# A replica has to be ready four seconds after its vm is back; loading the
# program takes one of them.
CATCH_UP_S = 3.0
DOWN_S = 0.6
# The vm is back while the others hold an election.
VM_BACK_S = 0.51
# Routers have no configuration until a leader is elected.
RECOVERY_S = 5.0


class Operator:
    """Change one branch repeatedly and count the accepted changes."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self._cluster = cluster
        self.accepted = 0

    def change(self) -> FakeReplica:
        """Get a change accepted; return the leader that accepted it."""
        cluster = self._cluster
        base = self.accepted
        change = Change(
            change_id=f"change-{base}",
            operator="ana",
            bases={"lending": base},
            documents={"lending": team(catalogo=[rule(deadline_ms=base + 1)])},
            at_unix_s=0.0,
        )
        leader = cluster.leader()

        def is_answered() -> bool:
            nonlocal leader
            if change.change_id not in cluster.oracle.recorded_answers:
                leader = cluster.leader()
                cluster.change(change)
            return change.change_id in cluster.oracle.recorded_answers

        assert cluster.run_until(is_answered, 10.0)
        assert (
            cluster.oracle.recorded_answers[change.change_id].outcome
            == ACCEPTED
        )
        assert leader is not None
        self.accepted += 1
        return leader


def is_ready(cluster: SimulatedCluster) -> bool:
    """Return whether the leader has committed an entry of its term."""
    leader = cluster.leader()
    if leader is None or leader.node is None:
        return False
    return leader.node.replica.is_ready


def lose_disks_and_power(
    cluster: SimulatedCluster,
    lost: list[FakeReplica],
    removed: list[FakeReplica],
) -> None:
    """Lose all power and some disks; restart all but those removed."""
    for replica in cluster.replicas.values():
        replica.kill()
    for replica in lost:
        replica.disk.wipe()
    cluster.run(DOWN_S)
    for replica in cluster.replicas.values():
        if replica not in removed:
            replica.start()


def check_recovered(cluster: SimulatedCluster, accepted: int) -> None:
    """Check that a leader with every accepted change is elected in time."""
    assert cluster.run_until(lambda: is_ready(cluster), RECOVERY_S), (
        "no leader"
    )
    leader = cluster.leader()
    assert leader is not None
    assert leader.node is not None
    assert leader.node.machine.tree.revisions == {"lending": accepted}
    cluster.oracle.replay()


@pytest.mark.parametrize("after_s", [0.5, 4.0, 8.0, 13.0])
@pytest.mark.parametrize("seed", range(4))
def test_replaced_replica_does_not_count(seed: int, after_s: float) -> None:
    """A stopped replica that was replaced must not remain a voter.

    The new replica joins while the old one still runs, and the old one then
    stops for good. If it kept its vote and a disk and all power were lost,
    one of four voters would be gone, one would have lost its log, and the
    other two are no majority: every request would be refused for ever, and
    operators could not read the configuration.
    """
    cluster = SimulatedCluster(3, entries=0, seed=seed, auto_membership=True)
    assert cluster.run_until(lambda: is_ready(cluster), 5.0)
    operator = Operator(cluster)
    operator.change()
    cluster.add(cluster.names)
    cluster.run(CATCH_UP_S)
    removed = cluster.replicas[cluster.names[seed % 3]]
    removed.stop()
    cluster.run(after_s)
    lost = operator.change()
    lose_disks_and_power(cluster, [lost], [removed])
    check_recovered(cluster, operator.accepted)


@pytest.mark.parametrize("seed", range(4))
def test_replaced_replica_does_not_count_under_new_leaders(seed: int) -> None:
    """The leader changes before a replaced replica counts as silent.

    Each new leader measures the silence from its own election on, so a
    replaced replica was still a voter 22 seconds after it had stopped. With a
    lost disk and a power loss in that time, the group would never have a
    majority again.
    """
    cluster = SimulatedCluster(3, entries=0, seed=seed, auto_membership=True)
    assert cluster.run_until(lambda: is_ready(cluster), 5.0)
    operator = Operator(cluster)
    cluster.add(cluster.names)
    cluster.run(CATCH_UP_S)
    removed = cluster.replicas[cluster.names[seed % 3]]
    removed.stop()
    cluster.run(12.0)
    leader = operator.change()
    leader.kill()
    cluster.run(DOWN_S)
    leader.start()
    cluster.run(9.0)
    lost = operator.change()
    lose_disks_and_power(cluster, [lost], [removed])
    check_recovered(cluster, operator.accepted)


def member_names(cluster: SimulatedCluster) -> set[str]:
    """Return the names of the members, as the leader knows them."""
    leader = cluster.leader()
    if leader is None or leader.node is None:
        return set()
    return {one.name for one in leader.node.replica.membership.members}


@pytest.mark.parametrize("seed", range(4))
def test_new_replica_joins_through_a_follower(seed: int) -> None:
    """The settings of a new replica list a single follower.

    Only the leader admits members. If the follower did not refer the new
    replica to the leader, it would never join, and the group would lose the
    replica to be replaced without getting another.
    """
    cluster = SimulatedCluster(3, entries=0, seed=seed, auto_membership=True)
    assert cluster.run_until(lambda: is_ready(cluster), 5.0)
    leader = cluster.leader()
    follower = next(
        one for one in cluster.replicas.values() if one is not leader
    )
    new_replica = cluster.add([follower.name])
    assert cluster.run_until(
        lambda: new_replica.name in member_names(cluster), CATCH_UP_S
    )


@pytest.mark.parametrize("seed", range(4))
def test_removed_replica_rejoins(seed: int) -> None:
    """A replica that was removed while it was down rejoins the group.

    Its own log still lists it as a voter, so it would wait for heartbeats
    that no replica sends, and the group would have one replica too few when
    a disk is lost later.
    """
    cluster = SimulatedCluster(3, entries=0, seed=seed, auto_membership=True)
    assert cluster.run_until(lambda: is_ready(cluster), 5.0)
    cluster.add(cluster.names)
    cluster.run(CATCH_UP_S)
    removed = cluster.replicas[cluster.names[seed % 3]]
    removed.kill()
    assert cluster.run_until(
        lambda: removed.name not in member_names(cluster), 20.0
    )
    removed.start()
    assert cluster.run_until(
        lambda: removed.name in member_names(cluster), CATCH_UP_S
    )


def test_lost_leadership_transfer_is_repeated() -> None:
    """A leader that is replaced stops, and its transfer message is lost.

    If it stopped as the leader, the others would notice after an election
    timeout and then wait until it counts as silent, although it had announced
    its stop: a disk lost in these three seconds left no majority for ever.
    """
    cluster = SimulatedCluster(3, entries=0, seed=1, auto_membership=True)
    cluster.loss = 0.0
    assert cluster.run_until(lambda: is_ready(cluster), 5.0)
    operator = Operator(cluster)
    cluster.add(cluster.names)
    cluster.run(CATCH_UP_S)
    removed = cluster.leader()
    assert removed is not None
    partitions = {(removed.name, other) for other in cluster.replicas}
    cluster.partitions = set(partitions)
    removed.stop()
    cluster.run(0.1)
    cluster.partitions = set()
    cluster.run(1.5)
    lost = operator.change()
    lose_disks_and_power(cluster, [lost], [removed])
    check_recovered(cluster, operator.accepted)


@pytest.mark.parametrize("seed", range(4))
def test_stopping_replica_waits_for_a_slow_successor(seed: int) -> None:
    """A replica is told to stop while its successor is out of reach.

    If it ended with its vote, a disk and all power lost before the others
    call it silent would leave no majority for ever, although the vm was still
    there when its successor came back.
    """
    cluster = SimulatedCluster(3, entries=0, seed=seed, auto_membership=True)
    assert cluster.run_until(lambda: is_ready(cluster), 5.0)
    operator = Operator(cluster)
    new = cluster.add(cluster.names)
    cluster.run(CATCH_UP_S)
    others = [one for one in cluster.replicas if one != new.name]
    cluster.partitions = {(new.name, one) for one in others}
    cluster.run(1.0)
    removed = cluster.replicas[cluster.names[seed % 3]]
    removed.stop()
    cluster.run(1.5)
    cluster.partitions = set()
    cluster.run(0.5)
    lost = operator.change()
    lose_disks_and_power(cluster, [lost], [removed])
    check_recovered(cluster, operator.accepted)


@pytest.mark.parametrize("seed", [0, 1, 2, 8, 12])
def test_leader_that_lost_its_disk_finds_the_group(seed: int) -> None:
    """A leader loses its disk, and the others in its settings are gone.

    It is back while the others hold an election: a candidate that requests
    its vote finds that it has lost its identity and introduces itself, but
    knows no leader yet. Without the address of any member, the replica would
    wait for ever, and the next loss would stop all changes.
    """
    cluster = SimulatedCluster(3, entries=0, seed=seed, auto_membership=True)
    assert cluster.run_until(lambda: is_ready(cluster), 5.0)
    last = cluster.replicas[cluster.names[1]]
    for name in (cluster.names[0], cluster.names[2]):
        cluster.add(cluster.names)
        cluster.run(CATCH_UP_S)
        cluster.replicas[name].stop()
        cluster.run(CATCH_UP_S)
    leader = cluster.leader()
    assert leader is not None
    assert leader.node is not None
    assert last.node is not None
    if leader is not last:
        leading = leader.node.replica
        own = last.node.replica.identity
        last.receive(HandOver(leading.identity, own, leading.term))
        cluster.run(1.0)
    assert cluster.leader() is last
    lost = last.node.replica.identity
    last.kill()
    last.disk.wipe()
    cluster.run(VM_BACK_S)
    last.start()

    def is_voter_again() -> bool:
        leader = cluster.leader()
        if leader is None or leader.node is None:
            return False
        membership = leader.node.replica.membership
        member = membership.named(last.name)
        return member is not None and member.voter and member.identity != lost

    assert cluster.run_until(is_voter_again, CATCH_UP_S)


class FaultSequence:
    """Inject random faults, as many at once as the group tolerates."""

    def __init__(self, size: int, seed: int) -> None:
        self.random = Random(seed)
        self.cluster = SimulatedCluster(
            size, entries=0, seed=seed, auto_membership=True
        )
        self.operator = Operator(self.cluster)
        self.removed: list[FakeReplica] = []
        self._max_failures = size // 2

    def run(self, steps: int) -> None:
        """Run random actions, with time to catch up after each."""
        assert self.cluster.run_until(lambda: is_ready(self.cluster), 5.0)
        actions: list[Callable[[], None]] = [
            self.replace_planned,
            self.replace_lost,
            self.lose_disks,
            self.restart,
            self.restart_in_turn,
            self.freeze,
            self.isolate,
            self.lose_disk_with_recent_changes,
            self.restart_partitioned,
        ]
        for _ in range(steps):
            self.random.choice(actions)()
            self.cluster.run(CATCH_UP_S)
            self.operator.change()

    def present(self) -> list[FakeReplica]:
        """Return the replicas that are not gone for good."""
        found = []
        for replica in self.cluster.replicas.values():
            if replica not in self.removed:
                found.append(replica)
        return found

    def pick_failing(self) -> list[FakeReplica]:
        """Pick replicas that may fail at the same time."""
        count = self.random.randint(1, self._max_failures)
        return self.random.sample(self.present(), count)

    def add(self) -> None:
        """Start a replica with an empty disk and some members as seeds."""
        names = [one.name for one in self.present()]
        self.cluster.add(self.random.sample(names, min(3, len(names))))

    def replace_planned(self) -> None:
        """Start new replicas first, then stop those that they replace."""
        failing = self.pick_failing()
        for _ in failing:
            self.add()
        self.cluster.run(CATCH_UP_S)
        for replica in failing:
            replica.stop()
        self.removed += failing

    def replace_lost(self) -> None:
        """Lose replicas for good and start new ones later."""
        failing = self.pick_failing()
        for replica in failing:
            replica.kill()
        self.removed += failing
        self.cluster.run(self.random.choice([1.0, 2.0, 8.0]))
        for _ in failing:
            self.add()

    def lose_disks(self) -> None:
        """Lose disks; the replicas restart with empty ones."""
        failing = self.pick_failing()
        for replica in failing:
            replica.kill()
            replica.disk.wipe()
        self.cluster.run(self.random.choice([0.5, 3.0, 8.0]))
        for replica in failing:
            replica.start()

    def restart(self) -> None:
        """Stop or kill replicas and start them again."""
        failing = self.pick_failing()
        planned = self.random.random() < 0.5
        for replica in failing:
            if planned:
                replica.stop()
            else:
                replica.kill()
        self.cluster.run(self.random.choice([1.5, 4.0, 9.0]))
        for replica in failing:
            if replica.up:
                replica.kill()
            replica.start()

    def restart_in_turn(self) -> None:
        """Restart all replicas in turn, without a pause."""
        for replica in self.present():
            replica.stop()
            self.cluster.run(1.5)
            if replica.up:
                replica.kill()
            replica.start()

    def freeze(self) -> None:
        """Freeze replicas for six seconds."""
        for replica in self.pick_failing():
            replica.frozen_until = self.cluster.now + 6.0
        self.cluster.run(6.0)

    def isolate(self) -> None:
        """Partition replicas from all others for a while."""
        self.cut(self.pick_failing())
        self.cluster.run(self.random.choice([2.0, 9.0]))
        self.cluster.partitions = set()

    def lose_disk_with_recent_changes(self) -> None:
        """Lose a disk with recent changes while others have missed them."""
        cut_off = self.pick_failing()
        self.cut(cut_off)
        self.cluster.run(self.random.choice([2.0, 6.0]))
        self.operator.change()
        others = [one for one in self.present() if one not in cut_off]
        for replica in others:
            replica.kill()
        others[0].disk.wipe()
        self.cluster.partitions = set()
        self.cluster.run(self.random.choice([0.5, 3.0]))
        for replica in others:
            replica.start()

    def restart_partitioned(self) -> None:
        """Restart partitioned replicas, and later all others."""
        cut_off = self.pick_failing()
        self.cut(cut_off)
        self.cluster.run(self.random.choice([2.0, 7.0]))
        for replica in cut_off:
            replica.kill()
            replica.start()
        self.cluster.run(2.0)
        self.cluster.partitions = set()
        for replica in self.present():
            if replica not in cut_off:
                replica.kill()
                replica.start()

    def cut(self, replicas: list[FakeReplica]) -> None:
        """Partition replicas from all others and from one another."""
        for replica in replicas:
            for other in self.cluster.replicas:
                self.cluster.partitions.add((replica.name, other))
                self.cluster.partitions.add((other, replica.name))


@pytest.mark.parametrize("size", [3, 5])
@pytest.mark.parametrize("seed", range(int(os.environ.get("SEEDS", "12"))))
def test_group_recovers_after_fault_sequence(seed: int, size: int) -> None:
    """Replacements, restarts, partitions and lost disks follow one another.

    No more replicas fail at once than the group has to tolerate, and each one
    that returns has four seconds to catch up. Finally as many disks as the
    group tolerates and all power are lost: a leader with every accepted
    change must be elected.
    """
    sequence = FaultSequence(size, seed)
    sequence.run(8)
    lost = sequence.pick_failing()
    lose_disks_and_power(sequence.cluster, lost, sequence.removed)
    check_recovered(sequence.cluster, sequence.operator.accepted)
