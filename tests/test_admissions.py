"""Test which control replicas join and leave without an operator."""

from nutmegchute_core.admissions import LEARNER_SILENT_S
from nutmegchute_core.admissions import next_change
from nutmegchute_core.memberships import Member
from nutmegchute_core.memberships import Membership


def member(name: str, boot: int = 1, voter: bool = True) -> Member:
    """Build a replica; each boot has another identity."""
    return Member(f"{name}.{boot}", name, f"{name}:1", voter=voter)


THREE = Membership([member("a"), member("b"), member("c")])


def test_healthy_group_is_unchanged() -> None:
    """Change nothing while all reply, or one voter is silent."""
    assert next_change(THREE, {}, {"b.1": 0.1, "c.1": 0.1}) is None
    assert next_change(THREE, {}, {"b.1": 0.1, "c.1": 900.0}) is None


def test_replica_that_lost_its_disk_replaces_itself() -> None:
    """Replace the identity of a lost disk once it is silent."""
    pending = {"c": member("c", 2)}
    assert next_change(THREE, pending, {"c.1": 0.5}) is None
    change = next_change(THREE, pending, {"c.1": 1.5})
    assert change is not None
    assert change.apply(THREE, pending).voters == ["a.1", "b.1"]


def test_new_replica_joins_as_learner() -> None:
    """Admit a replica that no seed list names as a learner.

    Only once it has caught up may it replace a silent voter.
    """
    pending = {"d": member("d")}
    for silent_s in ({"b.1": 0.1, "c.1": 0.1}, {"b.1": 3.0, "c.1": 0.1}):
        change = next_change(THREE, pending, silent_s)
        assert change is not None
        after = change.apply(THREE, pending)
        assert after.voters == THREE.voters
        assert after.learners == ["d.1"]


def test_silent_learner_is_removed() -> None:
    """Remove lost learners: endpoints and routers are sent to members."""
    group = Membership([*THREE.members, member("d", voter=False)])
    assert next_change(group, {}, {"d.1": LEARNER_SILENT_S - 0.1}) is None
    change = next_change(group, {}, {"d.1": LEARNER_SILENT_S})
    assert change is not None
    assert change.apply(group, {}) == THREE


def test_operator_managed_group_keeps_its_names() -> None:
    """Add and remove no name where an operator lists the replicas.

    A replica that was off for long must still be a member when it returns.
    One that lost its disk still replaces its old identity by itself.
    """
    group = Membership([*THREE.members, member("d", voter=False)])
    silent_s = {"d.1": 900.0, "c.1": 1.5}
    pending = {"e": member("e")}
    assert next_change(group, pending, silent_s, operator_managed=True) is None
    pending["c"] = member("c", 2)
    change = next_change(group, pending, silent_s, operator_managed=True)
    assert change is not None and change.name == "c"
