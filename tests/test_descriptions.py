"""Test how control replicas are described to operators."""

import pytest
from nutmegchute_core.replicas import LEADER
from nutmegchute_core.trees import Change
from nutmegchute_daemon.descriptions import describe_state
from nutmegchute_daemon.descriptions import TAKING_OVER
from nutmegchute_fakes.replicas import SimulatedCluster
from support import rule
from support import team

STEP_S = 0.001


@pytest.mark.parametrize("seed", range(4))
def test_new_leader_is_not_shown_as_leader_until_ready(seed: int) -> None:
    """Operators must not be shown an empty tree right after a start."""
    cluster = SimulatedCluster(3, 1, seed)
    cluster.run(3.0)
    documents = {"lending": team(catalogo=[rule()])}
    cluster.change(Change("first", "operator", {"lending": 0}, documents, 0.0))
    cluster.run(1.0)
    leader = cluster.leader()
    assert leader is not None
    assert leader.node is not None
    index = leader.node.machine.tree.index
    assert index > 0
    for replica in cluster.replicas.values():
        replica.kill()
    for replica in cluster.replicas.values():
        replica.start()
    states = set()
    for _ in range(8000):
        cluster.run(STEP_S)
        for replica in cluster.replicas.values():
            node = replica.node
            if node is None:
                continue
            state = describe_state(node.replica)
            states.add(state)
            if state == LEADER:
                assert node.machine.tree.index == index
    assert {LEADER, TAKING_OVER} <= states
