"""Test changes of the configuration tree."""

from typing import Any

from nutmegchute_core.trees import ACCEPTED
from nutmegchute_core.trees import Change
from nutmegchute_core.trees import CONFLICT
from nutmegchute_core.trees import INVALID
from nutmegchute_core.trees import Tree
from support import rule
from support import team


def change(change_id: str, base: int, document: Any) -> Change:
    """Build a change of the branch "lending"."""
    return Change(
        change_id=change_id,
        operator="ana",
        bases={"lending": base},
        documents={"lending": document},
        at_unix_s=0.0,
    )


def test_equal_revisions_race_and_one_wins() -> None:
    """Two operators start from revision 0; the second learns so.

    The second sees "conflict" naming the present revision; both changes
    were based on the same revision and reached the log one after the
    other, and taking both would silently undo the first.
    """
    tree = Tree()
    first = tree.apply(1, change("a", 0, team(catalogo=[rule()])))
    second = tree.apply(2, change("b", 0, team(prestamos=[rule()])))
    assert (first.outcome, second.outcome) == (ACCEPTED, CONFLICT)
    assert "catalogo" in tree.documents["lending"]["services"]


def test_resent_change_gets_its_first_answer() -> None:
    """An operator whose answer was lost asks again and learns it."""
    tree = Tree()
    document = team(catalogo=[rule()])
    first = tree.apply(1, change("a", 0, document))
    assert tree.apply(5, change("a", 0, document)) == first
    assert tree.revisions == {"lending": 1}


def test_wrong_document_names_the_place() -> None:
    """A wrong declaration is refused and its place named."""
    document = team(catalogo=[rule(deadline_ms=0)])
    answer = Tree().apply(1, change("a", 0, document))
    assert answer.outcome == INVALID
    assert "lending/services/catalogo/rules/0/deadline_ms" in answer.detail
