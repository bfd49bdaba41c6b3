"""Test the choice of the control replica that an entry watches."""

from nutmegchute_core.replica_choosers import AVOID_S
from nutmegchute_core.replica_choosers import ReplicaChooser
from nutmegchute_core.sessions import ReplicaInfo

FAR = ReplicaInfo("10.1.0.1:7000", "lima")
NEAR = ReplicaInfo("10.2.0.1:7000", "surco")
OTHER = ReplicaInfo("10.3.0.1:7000", "cusco")


def build_chooser() -> ReplicaChooser:
    """Build a chooser of three replicas with the near one active."""
    found = ReplicaChooser("r1", "surco", [FAR.address])
    assert found.choose(0.0) == FAR.address
    found.record_answer(FAR.address, True, 0.0)
    found.update([FAR, NEAR, OTHER])
    assert found.choose(0.0) == NEAR.address
    found.record_answer(NEAR.address, True, 0.0)
    return found


def test_replica_of_the_zone_is_preferred() -> None:
    """Switch to the replica of the own zone once it is known."""
    assert build_chooser().active == NEAR.address


def test_seed_with_a_similar_address_is_preferred() -> None:
    """Begin with the seed that is probably in the own zone.

    After a power failure every entry contacts a seed. A seed of another zone
    refers it elsewhere, and the replicas, which have just started, accept
    two connections per entry instead of one.
    """
    seeds = ["10.1.0.9:7000", "10.2.0.4:7000", "10.3.0.8:7000"]
    for number in range(9):
        found = ReplicaChooser(f"r{number}", "surco", seeds, "10.2.0.77:7000")
        assert found.choose(0.0) == "10.2.0.4:7000"
        found.record_failure("10.2.0.4:7000", 0.0)
        assert found.choose(0.0) in (seeds[0], seeds[2])


def test_another_replica_is_chosen_when_the_active_one_fails() -> None:
    """Switch to another replica at once, and back when the near one replies.

    The active replica freezes. Its entries must not rely on its last reply:
    drains are acknowledged without them two seconds later.
    """
    found = build_chooser()
    found.record_failure(NEAR.address, 1.0)
    assert found.active is None
    second = found.choose(1.0)
    assert second != NEAR.address
    found.record_answer(second, True, 1.0)
    assert found.choose(1.0 + AVOID_S / 2) == second
    assert found.choose(1.0 + AVOID_S) == NEAR.address
    assert found.active == second


def test_replica_out_of_contact_is_avoided() -> None:
    """Avoid a replica that replies but has no contact with a majority.

    It is partitioned from the other replicas and lacks drains and the newest
    configuration.
    """
    found = build_chooser()
    found.record_answer(NEAR.address, False, 1.0)
    assert found.active is None
    assert found.choose(1.0) != NEAR.address


def test_all_replicas_are_tried_in_turn_while_all_fail() -> None:
    """Retry each replica in turn while all of them are down."""
    found = build_chooser()
    chosen = []
    for number in range(6):
        address = found.choose(1.0 + number / 10)
        found.record_failure(address, 1.0 + number / 10)
        chosen.append(address)
    assert chosen[:3] == chosen[3:]
    assert len(set(chosen)) == 3


def test_entries_of_a_zone_without_replica_are_spread() -> None:
    """Spread the entries of a zone over the replicas of other zones."""
    counts: dict[str, int] = {}
    for number in range(60):
        found = ReplicaChooser(f"r{number}", "piura", [])
        found.update([FAR, NEAR, OTHER])
        address = found.choose(0.0)
        counts[address] = counts.get(address, 0) + 1
    assert len(counts) == 3
    assert min(counts.values()) >= 10


def test_removed_replica_is_not_chosen() -> None:
    """Drop an active replica that is no longer a member of the group."""
    found = build_chooser()
    found.update([FAR, OTHER])
    assert found.active is None
    assert found.choose(1.0) != NEAR.address


def test_new_seeds_are_tried_along_with_known_replicas() -> None:
    """Find a group that was replaced while this entry was partitioned."""
    found = build_chooser()
    found.set_seeds(["10.9.0.1:7000"])
    assert "10.9.0.1:7000" in found.addresses
