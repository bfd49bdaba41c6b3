"""Choose the control replica that an entry asks."""

from nutmegchute_core.replica_choosers import AVOID_S
from nutmegchute_core.replica_choosers import ReplicaChooser
from nutmegchute_core.sessions import ReplicaInfo

FAR = ReplicaInfo("10.1.0.1:7000", "lima")
NEAR = ReplicaInfo("10.2.0.1:7000", "surco")
OTHER = ReplicaInfo("10.3.0.1:7000", "cusco")


def at_home() -> ReplicaChooser:
    """Know three replicas and ask the near one."""
    found = ReplicaChooser("r1", "surco", [FAR.address])
    assert found.choose(0.0) == FAR.address
    found.record_answer(FAR.address, True, 0.0)
    found.update([FAR, NEAR, OTHER])
    assert found.choose(0.0) == NEAR.address
    found.record_answer(NEAR.address, True, 0.0)
    return found


def test_replica_of_the_zone_is_asked_first() -> None:
    """Move to the replica of the own zone once it is known."""
    assert at_home().active == NEAR.address


def test_seed_with_a_like_address_is_asked_first() -> None:
    """Begin with the seed that is most likely of the own zone.

    After a loss of power every entry asks a seed. One of another zone tells
    it where to ask, and a replica that has just started has two connections
    to take for each entry.
    """
    seeds = ["10.1.0.9:7000", "10.2.0.4:7000", "10.3.0.8:7000"]
    for number in range(9):
        found = ReplicaChooser(f"r{number}", "surco", seeds, "10.2.0.77:7000")
        assert found.choose(0.0) == "10.2.0.4:7000"
        found.record_failure("10.2.0.4:7000", 0.0)
        assert found.choose(0.0) in (seeds[0], seeds[2])


def test_another_replica_is_asked_when_the_home_is_silent() -> None:
    """Ask another replica at once, and the near one again when it is back.

    The home freezes. Its entries must not go on by what it told last: an
    endpoint that leaves is acknowledged two seconds later without them.
    """
    found = at_home()
    found.record_failure(NEAR.address, 1.0)
    assert found.active is None
    second = found.choose(1.0)
    assert second != NEAR.address
    found.record_answer(second, True, 1.0)
    assert found.choose(1.0 + AVOID_S / 2) == second
    assert found.choose(1.0 + AVOID_S) == NEAR.address
    assert found.active == second


def test_replica_out_of_contact_is_left() -> None:
    """Leave a home that answers but hears no majority.

    It is cut off from the other replicas and knows neither who leaves nor
    the newest configuration.
    """
    found = at_home()
    found.record_answer(NEAR.address, False, 1.0)
    assert found.active is None
    assert found.choose(1.0) != NEAR.address


def test_all_are_asked_in_turn_while_none_is_of_use() -> None:
    """Ask each replica again and again while control is lost."""
    found = at_home()
    asked = []
    for number in range(6):
        address = found.choose(1.0 + number / 10)
        found.record_failure(address, 1.0 + number / 10)
        asked.append(address)
    assert asked[:3] == asked[3:]
    assert len(set(asked)) == 3


def test_entries_of_a_zone_without_replica_spread() -> None:
    """Divide the entries of a zone among the replicas of others."""
    counts: dict[str, int] = {}
    for number in range(60):
        found = ReplicaChooser(f"r{number}", "piura", [])
        found.update([FAR, NEAR, OTHER])
        address = found.choose(0.0)
        counts[address] = counts.get(address, 0) + 1
    assert len(counts) == 3
    assert min(counts.values()) >= 10


def test_replica_that_was_removed_is_not_asked() -> None:
    """Forget a home that does not belong to the group any more."""
    found = at_home()
    found.update([FAR, OTHER])
    assert found.active is None
    assert found.choose(1.0) != NEAR.address


def test_other_seeds_are_tried_beside_the_replicas_known() -> None:
    """Find a group that was replaced while this entry was cut off."""
    found = at_home()
    found.set_seeds(["10.9.0.1:7000"])
    assert "10.9.0.1:7000" in found.addresses
