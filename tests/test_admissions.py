"""Take control replicas in and leave lost ones out, without an operator."""

from nutmegchute_core.admissions import LEARNER_SILENT_S
from nutmegchute_core.admissions import next_change
from nutmegchute_core.memberships import Member
from nutmegchute_core.memberships import Membership


def member(name: str, boot: int = 1, voter: bool = True) -> Member:
    """Build a replica; each run has another identity."""
    return Member(f"{name}.{boot}", name, f"{name}:1", voter=voter)


THREE = Membership([member("a"), member("b"), member("c")])


def test_nothing_to_do() -> None:
    """Leave a group alone in which all is well, or one is silent."""
    assert next_change(THREE, {}, {"b.1": 0.1, "c.1": 0.1}) is None
    assert next_change(THREE, {}, {"b.1": 0.1, "c.1": 900.0}) is None


def test_replica_without_its_disk_takes_its_own_place() -> None:
    """Replace the identity whose folder is gone, once it is silent."""
    pending = {"c": member("c", 2)}
    assert next_change(THREE, pending, {"c.1": 0.5}) is None
    wish = next_change(THREE, pending, {"c.1": 1.5})
    assert wish is not None
    assert wish.apply(THREE, pending).voters == ["a.1", "b.1"]


def test_newcomer_is_taken_in_whoever_is_silent() -> None:
    """Let a replica that no seed list names learn, and not vote yet.

    It takes the vote of a silent one once it has caught up, not before.
    """
    pending = {"d": member("d")}
    for silent_s in ({"b.1": 0.1, "c.1": 0.1}, {"b.1": 3.0, "c.1": 0.1}):
        wish = next_change(THREE, pending, silent_s)
        assert wish is not None
        after = wish.apply(THREE, pending)
        assert after.voters == THREE.voters
        assert after.learners == ["d.1"]


def test_silent_learner_is_left_out() -> None:
    """Send endpoints and routers to no replica that is gone for good."""
    group = Membership([*THREE.members, member("d", voter=False)])
    assert next_change(group, {}, {"d.1": LEARNER_SILENT_S - 0.1}) is None
    wish = next_change(group, {}, {"d.1": LEARNER_SILENT_S})
    assert wish is not None
    assert wish.apply(group, {}) == THREE


def test_listed_replicas_come_and_go_by_an_operator() -> None:
    """Take in no new name and leave none out where an operator lists them.

    One that was off for long returns under its name, and would find
    itself a stranger. A lost disk is no such case: it returns by itself.
    """
    group = Membership([*THREE.members, member("d", voter=False)])
    silent_s = {"d.1": 900.0, "c.1": 1.5}
    pending = {"e": member("e")}
    assert next_change(group, pending, silent_s, operator_managed=True) is None
    pending["c"] = member("c", 2)
    wish = next_change(group, pending, silent_s, operator_managed=True)
    assert wish is not None and wish.name == "c"
