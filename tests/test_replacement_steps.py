"""Test a lost disk and a loss of all power at each step of a replacement."""

import math
import os
from random import Random

import pytest
from nutmegchute_core.trees import ACCEPTED
from nutmegchute_core.trees import Change
from nutmegchute_fakes.replicas import FakeReplica
from nutmegchute_fakes.replicas import SimulatedCluster
from support import rule
from support import team

CHANGE_S = 0.04
SETTLE_S = 2.0
LEAD_S = 1.5
AFTER_S = 0.4
DOWN_S = 0.6
RECOVERY_S = 8.0
# Events between two strikes: before the old replica is told to stop, and
# from then on.
EARLY_STRIDE = int(os.environ.get("EARLY_STRIDE", "150"))
STRIDE = int(os.environ.get("STRIDE", "15"))
MAX_EVENTS = 20_000

LEADER = "leader"
FOLLOWER = "follower"
NEW = "new"
# Size of the group, whether the replacement is planned, and whose disk is
# lost. Of three replicas not one more may be lost beside the old one.
CASES = [
    *[(size, True, one) for size in (3, 5) for one in (LEADER, FOLLOWER, NEW)],
    *[(5, False, one) for one in (LEADER, FOLLOWER, NEW)],
    (3, False, NEW),
]


class Writer:
    """Send one change after another, each until it is answered."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self._cluster = cluster
        self._send()

    @property
    def accepted(self) -> int:
        """Return the number of changes that were acknowledged."""
        answers = self._cluster.oracle.recorded_answers.values()
        return sum(one.outcome == ACCEPTED for one in answers)

    def _send(self) -> None:
        number = self.accepted
        document = team(catalogo=[rule(deadline_ms=number + 1)])
        self._cluster.change(
            Change(
                change_id=f"change-{number}",
                operator="ana",
                # Refused if an accepted change was lost.
                bases={"lending": number},
                documents={"lending": document},
                at_unix_s=0.0,
            )
        )
        self._cluster.after(CHANGE_S, self._send)


class Replacement:
    """Replace one replica while changes are made; strike at an event.

    ``planned`` starts the new replica first and then stops the old one, which
    otherwise loses power before.
    """

    def __init__(self, size: int, seed: int, planned: bool) -> None:
        self.cluster = SimulatedCluster(
            size, entries=0, seed=seed, auto_membership=True
        )
        self.cluster.run(SETTLE_S)
        self.is_struck = False
        self.is_told = not planned
        self.new: FakeReplica | None = None
        self.writer = Writer(self.cluster)
        self.cluster.run(0.5)
        self.old = self.cluster.replicas[self.cluster.names[seed % size]]
        if planned:
            self.new = self.cluster.add(self.cluster.names)
            self.cluster.after(LEAD_S, self._stop_old)
        else:
            self.old.kill()
            self.cluster.after(0.3, self._add)

    def _add(self) -> None:
        self.new = self.cluster.add(self.cluster.names)

    def _stop_old(self) -> None:
        self.is_told = True
        if not self.is_struck:
            self.old.stop()

    def find(self, victim: str) -> FakeReplica | None:
        """Return the replica that loses its disk, None if there is none."""
        leader = self.cluster.leader()
        if victim == NEW:
            return self.new
        if victim == LEADER:
            return leader
        for replica in self.cluster.replicas.values():
            if replica in (leader, self.old, self.new):
                continue
            return replica
        return None

    def run(self, events: int) -> None:
        """Run this many events."""
        for _ in range(events):
            self.cluster.step()

    @property
    def is_complete(self) -> bool:
        """Return whether the new replica votes and the old one has ended."""
        leader = self.cluster.leader()
        if leader is None or leader.node is None or self.old.up:
            return False
        if self.new is None:
            return False
        replica = leader.node.replica
        own = replica.membership.named(self.new.name)
        return own is not None and own.voter and replica.is_ready

    def find_strikes(self) -> list[int]:
        """Run to the end; return the events at which to strike."""
        told_at = 0
        count = 0
        end = math.inf
        while self.cluster.now < end and count < MAX_EVENTS:
            self.cluster.step()
            count += 1
            if not self.is_told:
                told_at = count
            if end == math.inf and self.is_complete:
                end = self.cluster.now + AFTER_S
        return [
            *range(0, told_at, EARLY_STRIDE),
            *range(told_at, count, STRIDE),
        ]


def strike(
    replacement: Replacement, lost: FakeReplica, random: Random
) -> None:
    """Lose all power at once, and one disk for good."""
    cluster = replacement.cluster
    replacement.is_struck = True
    returning = [one for one in cluster.replicas.values() if one.up]
    for replica in returning:
        replica.kill()
    lost.disk.wipe()
    cluster.run(DOWN_S)
    random.shuffle(returning)
    for replica in returning:
        replica.start()


def check_recovered(replacement: Replacement, accepted: int) -> None:
    """Check that the group accepts changes again and lost none."""
    cluster = replacement.cluster
    assert cluster.run_until(
        lambda: replacement.writer.accepted > accepted, RECOVERY_S
    ), "no change is accepted"
    cluster.oracle.replay()


@pytest.mark.parametrize(("size", "planned", "victim"), CASES)
@pytest.mark.parametrize("seed", range(int(os.environ.get("SEEDS", "3"))))
def test_power_lost_within_a_replacement(
    seed: int, size: int, planned: bool, victim: str
) -> None:
    """One disk and all power are lost at any step of a replacement.

    Every replica that is up loses power, also those that do not vote. If the
    old one had ended before it could be spared, or the new one counted before
    it could be relied on, the group would never have a majority again. The
    old one returns only if its process had not ended.
    """
    for number in Replacement(size, seed, planned).find_strikes():
        replacement = Replacement(size, seed, planned)
        replacement.run(number)
        lost = replacement.find(victim)
        if lost is None:
            continue
        accepted = replacement.writer.accepted
        strike(replacement, lost, Random(number))
        try:
            check_recovered(replacement, accepted)
        except AssertionError as error:
            raise AssertionError(f"strike at event {number}") from error
