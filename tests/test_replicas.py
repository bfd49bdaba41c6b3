"""Test agreement on virtual time, with lost, late and doubled messages."""

import pytest
from nutmegchute_core.trees import ACCEPTED
from nutmegchute_core.trees import Change
from nutmegchute_fakes.replicas import World
from support import rule
from support import team


def change(change_id: str, base: int, deadline_ms: int = 100) -> Change:
    """Build a change of the branch "lending"."""
    document = team(catalogo=[rule(deadline_ms=deadline_ms)])
    return Change(
        change_id, "ana", {"lending": base}, {"lending": document}, 0.0
    )


def settle(world: World, most: float = 20.0) -> None:
    """Wait until a leader has committed in its own term."""
    assert world.run_until(lambda: _ready(world), most)


def _ready(world: World) -> bool:
    leader = world.leader()
    if leader is None or leader.node is None:
        return False
    return leader.node.replica.ready


def accept(world: World, change_id: str, base: int) -> None:
    """Send a change until it is accepted."""

    def told() -> bool:
        if change_id not in world.oracle.told:
            world.change(change(change_id, base))
        return change_id in world.oracle.told

    assert world.run_until(told, 20.0)
    assert world.oracle.told[change_id].outcome == ACCEPTED


@pytest.mark.parametrize("size", [1, 3, 5])
def test_group_forms_and_accepts(size: int) -> None:
    """Replicas with empty disks form one group and accept a change."""
    world = World(size, entries=2, seed=size)
    settle(world)
    accept(world, "a", 0)
    assert world.run_until(lambda: world.in_force_index > 0, 5.0)


def test_cut_leader_gives_up_and_the_rest_goes_on() -> None:
    """A silent cut of the leader loses no accepted change.

    The operator sees the change accepted by the new leader: the old one
    is cut off, steps down without a quorum, and the others elect.
    """
    world = World(3, entries=2, seed=1)
    settle(world)
    old = world.leader()
    assert old is not None
    for other in [*world.names, "entry-0", "entry-1"]:
        world.cuts |= {(old.name, other), (other, old.name)}
    world.run(3.0)
    assert not old.leads
    accept(world, "a", 0)
    world.cuts = set()
    world.run(3.0)
    assert old.node is not None
    assert old.node.machine.tree.revisions == {"lending": 1}
