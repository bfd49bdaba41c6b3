"""Test incremental updates of an entry's copy of the tree."""

from typing import Any

from nutmegchute_core.follow_protocol import FollowReply
from nutmegchute_core.patches import Patch
from nutmegchute_core.trees import ACCEPTED
from nutmegchute_core.trees import Change
from nutmegchute_core.trees import STEPS_KEPT
from nutmegchute_core.trees import Tree
from nutmegchute_daemon.trees import TreeCopy

TEAM = "lending"


def route(prefix: str) -> dict[str, Any]:
    """Build a route."""
    return {
        "host": "h",
        "path_prefix": prefix,
        "idempotent": True,
        "timeout_ms": 1000,
        "service": "desk",
    }


def apply_change(tree: Tree, index: int, **fields: Any) -> None:
    """Apply a change based on the current revision."""
    requested = Change(
        change_id=str(index),
        operator="ana",
        bases={TEAM: tree.revisions.get(TEAM, 0)},
        documents=fields.get("documents", {}),
        at_unix_s=0.0,
        patches=fields.get("patches", {}),
    )
    assert tree.apply(index, requested).outcome == ACCEPTED


def full_reply(tree: Tree, index: int) -> FollowReply:
    """Build the reply to an entry that has no tree yet."""
    return FollowReply(None, None, True, index, tree.revisions, tree.documents)


def build_tree_and_copy() -> tuple[Tree, TreeCopy]:
    """Build a tree of many routes and an up-to-date copy."""
    tree = Tree()
    routes = {f"r{n}": route(f"/{n}/") for n in range(50)}
    apply_change(
        tree, 3, documents={TEAM: {"services": {"desk": {}}, "routes": routes}}
    )
    copy = TreeCopy()
    assert copy.apply_reply(full_reply(tree, 3))
    return tree, copy


def patch(name: str, item: Any) -> dict[str, Patch]:
    """Build a patch of one route."""
    return {TEAM: Patch({"routes": {name: item}})}


def test_steps_yield_the_same_tree() -> None:
    """Guard against a copy that differs from the tree after steps."""
    tree, copy = build_tree_and_copy()
    apply_change(tree, 5, patches=patch("r1", route("/new/")))
    apply_change(tree, 9, patches=patch("r2", None))
    steps = tree.steps_since(copy.index)
    assert steps is not None and [one.index for one in steps] == [5, 9]
    assert copy.apply_reply(FollowReply(None, None, True, 9, steps=steps))
    assert copy.documents == tree.documents
    assert (copy.index, copy.revisions) == (9, tree.revisions)


def test_steps_with_a_gap_are_not_applied() -> None:
    """Guard against a step applied to a tree that lacks the one before."""
    tree, copy = build_tree_and_copy()
    apply_change(tree, 5, patches=patch("r1", None))
    apply_change(tree, 9, patches=patch("r2", None))
    steps = tree.steps_since(5)
    assert steps is not None
    assert not copy.apply_reply(FollowReply(None, None, True, 9, steps=steps))
    assert copy.index == 3


def test_applied_steps_are_skipped() -> None:
    """Guard against steps applied twice.

    A reply arrives after another replica's newer reply had some of the same
    steps.
    """
    tree, copy = build_tree_and_copy()
    apply_change(tree, 5, patches=patch("r1", None))
    assert copy.apply_reply(full_reply(tree, 5))
    apply_change(tree, 9, patches=patch("r2", None))
    steps = tree.steps_since(3)
    assert steps is not None
    assert copy.apply_reply(FollowReply(None, None, True, 9, steps=steps))
    assert copy.documents == tree.documents


def test_number_of_kept_steps_is_bounded() -> None:
    """Send whole branches to an entry that lags too far."""
    tree, copy = build_tree_and_copy()
    for index in range(10, 12 + STEPS_KEPT):
        apply_change(tree, index, patches=patch("r1", route(f"/x{index}/")))
    assert tree.steps_since(copy.index) is None
    assert tree.steps_since(tree.index - 1) is not None
