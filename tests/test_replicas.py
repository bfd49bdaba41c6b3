"""Test agreement on virtual time, without disk or network."""

from nutmegchute_core.replicas import HardState
from nutmegchute_core.replicas import LEADER
from nutmegchute_core.replicas import LogEntry
from nutmegchute_core.replicas import Replica
from nutmegchute_core.trees import Change
from support import rule
from support import team

NAMES = ["r1", "r2", "r3"]


class Group:
    """Run replicas with a network that delivers at once."""

    def __init__(self) -> None:
        self.now = 0.0
        self.cut: set[str] = set()
        self.committed: dict[str, list[LogEntry]] = {n: [] for n in NAMES}
        self.replicas = {
            name: Replica(name, NAMES, HardState(), [], 0.0, seed)
            for seed, name in enumerate(NAMES)
        }

    def run(self, seconds: float) -> None:
        """Let time pass in steps of 50 ms."""
        end = self.now + seconds
        while self.now < end:
            self.now += 0.05
            for replica in self.replicas.values():
                replica.tick(self.now)
            self._settle()

    def leaders(self) -> list[Replica]:
        """List the replicas that believe to lead."""
        return [r for r in self.replicas.values() if r.state == LEADER]

    def _settle(self) -> None:
        busy = True
        while busy:
            busy = False
            for name, replica in self.replicas.items():
                effects = replica.drain()
                self.committed[name].extend(effects.committed)
                for message in effects.messages:
                    if {message.source, message.target} & self.cut:
                        continue
                    busy = True
                    target = self.replicas[message.target]
                    target.receive(message, self.now)


def test_cut_leader_gives_up_and_the_rest_goes_on() -> None:
    """A silent cut of the leader loses no accepted change.

    The operator sees the change accepted by the new leader: the old one
    is cut off, steps down without a quorum, and the others elect.
    """
    group = Group()
    group.run(3.0)
    (old,) = group.leaders()
    group.cut = {old.name}
    group.run(3.0)
    (new,) = group.leaders()
    assert new.name != old.name
    change = Change("a", "ana", {}, {"lending": team(catalogo=[rule()])}, 0)
    index = new.propose(change, group.now)
    group.run(1.0)
    assert new.commit >= index
    assert old.commit < index
    group.cut = set()
    group.run(2.0)
    logs = list(group.committed.values())
    assert logs[0] == logs[1] == logs[2]
    assert change in [entry.command for entry in logs[0]]
