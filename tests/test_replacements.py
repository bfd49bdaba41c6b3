"""Replace control replicas by others, then lose a disk and all power."""

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

# A replica may be needed four seconds after its vm is back; loading the
# program takes one of them.
CATCH_UP_S = 3.0
DOWN_S = 0.6
# A vm is back while the others elect, and it meets them in the election.
VM_BACK_S = 0.51
# Routers wait without a configuration until a replica leads.
RECOVERY_S = 5.0


class Operator:
    """Change one branch again and again, and know what was accepted."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self._cluster = cluster
        self.accepted = 0

    def change(self) -> FakeReplica:
        """Have a change accepted; return the replica that said so."""
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

        def told() -> bool:
            nonlocal leader
            if change.change_id not in cluster.oracle.recorded_answers:
                leader = cluster.leader()
                cluster.change(change)
            return change.change_id in cluster.oracle.recorded_answers

        assert cluster.run_until(told, 10.0)
        assert (
            cluster.oracle.recorded_answers[change.change_id].outcome
            == ACCEPTED
        )
        assert leader is not None
        self.accepted += 1
        return leader


def is_ready(cluster: SimulatedCluster) -> bool:
    """Tell whether a leader knows all that was committed."""
    leader = cluster.leader()
    if leader is None or leader.node is None:
        return False
    return leader.node.replica.is_ready


def lose_disks_and_power(
    cluster: SimulatedCluster,
    lost: list[FakeReplica],
    removed: list[FakeReplica],
) -> None:
    """Lose all power and some disks; all but those gone return."""
    for replica in cluster.replicas.values():
        replica.kill()
    for replica in lost:
        replica.disk.wipe()
    cluster.run(DOWN_S)
    for replica in cluster.replicas.values():
        if replica not in removed:
            replica.start()


def check_recovered(cluster: SimulatedCluster, accepted: int) -> None:
    """Find a leader soon that knows every accepted change."""
    assert cluster.run_until(lambda: is_ready(cluster), RECOVERY_S), (
        "none leads"
    )
    leader = cluster.leader()
    assert leader is not None
    assert leader.node is not None
    assert leader.node.machine.tree.revisions == {"lending": accepted}
    cluster.oracle.replay()


@pytest.mark.parametrize("after_s", [0.5, 4.0, 8.0, 13.0])
@pytest.mark.parametrize("seed", range(4))
def test_replaced_replica_does_not_count(seed: int, after_s: float) -> None:
    """A replica is replaced by another, then a disk and all power are lost.

    Callers see every request refused for ever, and operators cannot read
    the configuration. The newcomer is taken in while the one that it
    replaces still runs, and this one then stops for good; it went on
    counting, so of four voters one was gone, one had lost what it knew, and
    two are no majority::

        20.86 NC2008 detail "add core-gujranwala-2"
        23.95 NC1002 daemon stopping (core-gujranwala-1)
        40.24 NC2004 replica "core-gujranwala-1" (core-faisalabad-1)

    A day like it, with the voters logged::

         4.98 NC2019 voters 4, majority 3 (core-lahore-2 taken in)
        44.32 NC2020 granted core-faisalabad-2, core-gujranwala-1
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
    """Leaders change before a replaced replica has been silent for long.

    The caller sees what the test above tells. Each new leader begins to
    count the silence anew, so the replaced replica still voted 22 seconds
    after it had stopped::

         9.77 NC1003 daemon stopped (core-faisalabad-1)
        23.43 NC2001 term 3 (core-faisalabad-2, after a loss of power)
        33.64 NC2004 replica "core-faisalabad-1" (core-lahore-1)
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
    """Name the members that the leader knows."""
    leader = cluster.leader()
    if leader is None or leader.node is None:
        return set()
    return {one.name for one in leader.node.replica.membership.members}


@pytest.mark.parametrize("seed", range(4))
def test_newcomer_is_told_of_one_follower_only(seed: int) -> None:
    """A newcomer's settings name a replica that does not lead.

    It introduces itself there, and the leader, which alone takes members
    in, never hears of it; the replica that it replaces is lost without a
    successor.
    """
    cluster = SimulatedCluster(3, entries=0, seed=seed, auto_membership=True)
    assert cluster.run_until(lambda: is_ready(cluster), 5.0)
    leader = cluster.leader()
    follower = next(
        one for one in cluster.replicas.values() if one is not leader
    )
    newcomer = cluster.add([follower.name])
    assert cluster.run_until(
        lambda: newcomer.name in member_names(cluster), CATCH_UP_S
    )


@pytest.mark.parametrize("seed", range(4))
def test_left_out_replica_comes_back(seed: int) -> None:
    """A replica is away so long that the group goes on without it.

    Its own log still says that it votes, so it waits for heartbeats that
    nobody sends, and counts for nobody. A lost disk later finds the group
    one replica short.
    """
    cluster = SimulatedCluster(3, entries=0, seed=seed, auto_membership=True)
    assert cluster.run_until(lambda: is_ready(cluster), 5.0)
    cluster.add(cluster.names)
    cluster.run(CATCH_UP_S)
    away = cluster.replicas[cluster.names[seed % 3]]
    away.kill()
    assert cluster.run_until(
        lambda: away.name not in member_names(cluster), 20.0
    )
    away.start()
    assert cluster.run_until(
        lambda: away.name in member_names(cluster), CATCH_UP_S
    )


def test_order_to_take_over_gets_lost() -> None:
    """A leader that is replaced stops, and nobody hears its order to lead.

    It went down as leader. The others noticed that after an election's
    silence, and then counted the silence of a replica that had said that
    it goes: a disk lost in these three seconds left no majority for ever.
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


@pytest.mark.parametrize("seed", [0, 1, 2, 8, 12])
def test_leader_without_its_disk_finds_its_successor(seed: int) -> None:
    """A leader loses its disk, and all that its settings list are gone.

    It is back while the others elect: whoever asks it for a vote sees that
    it has no group, introduces itself, and knows of no leader yet. Told of
    the group and of nobody in it, it would wait for ever, and the next
    loss would stop all changes.
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
        lead = leader.node.replica
        own = last.node.replica.identity
        last.receive(HandOver(lead.identity, own, lead.term))
        cluster.run(1.0)
    assert cluster.leader() is last
    lost = last.node.replica.identity
    last.kill()
    last.disk.wipe()
    cluster.run(VM_BACK_S)
    last.start()

    def votes() -> bool:
        leader = cluster.leader()
        if leader is None or leader.node is None:
            return False
        membership = leader.node.replica.membership
        member = membership.named(last.name)
        return member is not None and member.voter and member.identity != lost

    assert cluster.run_until(votes, CATCH_UP_S)


class FaultSequence:
    """Take replicas away and bring others, as many at once as are borne."""

    def __init__(self, size: int, seed: int) -> None:
        self.random = Random(seed)
        self.cluster = SimulatedCluster(
            size, entries=0, seed=seed, auto_membership=True
        )
        self.operator = Operator(self.cluster)
        self.removed: list[FakeReplica] = []
        self._max_failures = size // 2

    def run(self, steps: int) -> None:
        """Do things by chance; whoever returned is given time."""
        assert self.cluster.run_until(lambda: is_ready(self.cluster), 5.0)
        actions: list[Callable[[], None]] = [
            self.replace_planned,
            self.replace_lost,
            self.lose_disks,
            self.restart,
            self.roll,
            self.freeze,
            self.isolate,
            self.leave_behind,
            self.restart_behind_a_cut,
        ]
        for _ in range(steps):
            self.random.choice(actions)()
            self.cluster.run(CATCH_UP_S)
            self.operator.change()

    def present(self) -> list[FakeReplica]:
        """List the replicas that are not gone for good."""
        found = []
        for replica in self.cluster.replicas.values():
            if replica not in self.removed:
                found.append(replica)
        return found

    def pick_failing(self) -> list[FakeReplica]:
        """Choose replicas that may be lost at the same time."""
        count = self.random.randint(1, self._max_failures)
        return self.random.sample(self.present(), count)

    def add(self) -> None:
        """Start a vm with an empty disk that is told some members."""
        names = [one.name for one in self.present()]
        self.cluster.add(self.random.sample(names, min(3, len(names))))

    def replace_planned(self) -> None:
        """Start other vms first, then stop those that they replace."""
        failing = self.pick_failing()
        for _ in failing:
            self.add()
        self.cluster.run(CATCH_UP_S)
        for replica in failing:
            replica.stop()
        self.removed += failing

    def replace_lost(self) -> None:
        """Lose vms for good; others come later."""
        failing = self.pick_failing()
        for replica in failing:
            replica.kill()
        self.removed += failing
        self.cluster.run(self.random.choice([1.0, 2.0, 8.0]))
        for _ in failing:
            self.add()

    def lose_disks(self) -> None:
        """Lose disks with all that is on them."""
        failing = self.pick_failing()
        for replica in failing:
            replica.kill()
            replica.disk.wipe()
        self.cluster.run(self.random.choice([0.5, 3.0, 8.0]))
        for replica in failing:
            replica.start()

    def restart(self) -> None:
        """Stop replicas, or kill them, and start them again."""
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

    def roll(self) -> None:
        """Stop and start all in turn, without time between."""
        for replica in self.present():
            replica.stop()
            self.cluster.run(1.5)
            if replica.up:
                replica.kill()
            replica.start()

    def freeze(self) -> None:
        """Let replicas stand still and wake again."""
        for replica in self.pick_failing():
            replica.frozen_until = self.cluster.now + 6.0
        self.cluster.run(6.0)

    def isolate(self) -> None:
        """Cut replicas off from all others and join them again."""
        self.cut(self.pick_failing())
        self.cluster.run(self.random.choice([2.0, 9.0]))
        self.cluster.partitions = set()

    def leave_behind(self) -> None:
        """Lose a disk where changes are known, and join who missed them."""
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

    def restart_behind_a_cut(self) -> None:
        """Restart replicas that are cut off, and later all others."""
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
        """Cut replicas off from all others, and from one another."""
        for replica in replicas:
            for other in self.cluster.replicas:
                self.cluster.partitions.add((replica.name, other))
                self.cluster.partitions.add((other, replica.name))


@pytest.mark.parametrize("size", [3, 5])
@pytest.mark.parametrize("seed", range(int(os.environ.get("SEEDS", "12"))))
def test_no_series_leaves_a_group_short(seed: int, size: int) -> None:
    """Replacements, restarts, cuts and lost disks follow one another.

    At no moment more replicas are lost than the group has to bear, and
    whoever returns has four seconds. Then as many disks as it has to bear
    and all power are lost: callers must be served again, by a group that
    knows every accepted change.
    """
    sequence = FaultSequence(size, seed)
    sequence.run(8)
    lost = sequence.pick_failing()
    lose_disks_and_power(sequence.cluster, lost, sequence.removed)
    check_recovered(sequence.cluster, sequence.operator.accepted)
