"""Test changes of the configuration tree."""

from typing import Any

import pytest
from nutmegchute_core import trees
from nutmegchute_core.trees import ACCEPTED
from nutmegchute_core.trees import Change
from nutmegchute_core.trees import CONFLICT
from nutmegchute_core.trees import INVALID
from nutmegchute_core.trees import Tree
from support import rule
from support import team


def build_change(change_id: str, base: int, document: Any) -> Change:
    """Build a change of the branch "lending"."""
    return Change(
        change_id=change_id,
        operator="ana",
        bases={"lending": base},
        documents={"lending": document},
        at_unix_s=0.0,
    )


def test_second_change_of_a_revision_conflicts() -> None:
    """Guard against lost updates.

    Two changes based on the same revision reach the log one after the
    other; accepting both would silently undo the first.
    """
    tree = Tree()
    first = tree.apply(1, build_change("a", 0, team(catalogo=[rule()])))
    second = tree.apply(2, build_change("b", 0, team(prestamos=[rule()])))
    assert (first.outcome, second.outcome) == (ACCEPTED, CONFLICT)
    assert "catalogo" in tree.documents["lending"]["services"]


def test_resent_change_gets_its_first_answer() -> None:
    """Guard against a second answer to a change whose answer was lost."""
    tree = Tree()
    document = team(catalogo=[rule()])
    first = tree.apply(1, build_change("a", 0, document))
    assert tree.apply(5, build_change("a", 0, document)) == first
    assert tree.revisions == {"lending": 1}


def test_change_id_of_another_change_is_rejected() -> None:
    """Guard against reporting a change as accepted that was never applied.

    Two changes have the same id; returning the first one's answer to the
    second would do so.
    """
    tree = Tree()
    tree.apply(1, build_change("a", 0, team(catalogo=[rule()])))
    second = tree.apply(2, build_change("a", 1, team(prestamos=[rule()])))
    assert second.outcome == INVALID
    assert "used for another change" in second.detail
    assert tree.revisions == {"lending": 1}


def test_change_resent_after_eviction_conflicts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against a change that applies twice.

    Its answer was evicted before the resend. Accepting it raised the
    revisions it is based on, so the resend conflicts and overwrites nothing.
    """
    monkeypatch.setattr(trees, "ANSWERS_KEPT", 1)
    tree = Tree()
    first = build_change("a", 0, team(catalogo=[rule()]))
    tree.apply(1, first)
    tree.apply(2, build_change("b", 1, team(prestamos=[rule()])))
    assert tree.apply(3, first).outcome == CONFLICT
    assert "prestamos" in tree.documents["lending"]["services"]


def test_several_branches_change_together_or_not_at_all() -> None:
    """Guard against a change applied in part.

    One of its two branches was changed by another operator meanwhile.
    """
    tree = Tree()
    tree.apply(1, build_change("a", 0, team(catalogo=[rule()])))
    both = Change(
        change_id="b",
        operator="ana",
        bases={"lending": 0, "syncing": 0},
        documents={
            "lending": team(catalogo=[rule()]),
            "syncing": team(nightly=[rule()]),
        },
        at_unix_s=0.0,
    )
    assert tree.apply(2, both).outcome == CONFLICT
    assert tree.revisions == {"lending": 1}
    assert sorted(tree.documents) == ["lending"]


def test_invalid_document_is_rejected_with_its_path() -> None:
    """Guard against an error that does not say where the document is wrong."""
    document = team(catalogo=[rule(deadline_ms=0)])
    answer = Tree().apply(1, build_change("a", 0, document))
    assert answer.outcome == INVALID
    assert "lending/services/catalogo/rules/0/deadline_ms" in answer.detail


def test_changed_since_returns_only_newer_branches() -> None:
    """Send an entry at an index the branches that changed after it."""
    tree = Tree()
    tree.apply(1, build_change("a", 0, team(catalogo=[rule()])))
    other = Change(
        "b", "ana", {"sync": 0}, {"sync": team(nightly=[rule()])}, 0.0
    )
    tree.apply(4, other)
    tree.apply(6, build_change("c", 1, None))
    assert sorted(tree.changed_since(0)) == ["lending", "sync"]
    assert sorted(tree.changed_since(1)) == ["lending", "sync"]
    assert tree.changed_since(4)["lending"].document is None
    assert tree.changed_since(6) == {}
