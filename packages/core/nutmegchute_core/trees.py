"""Keep the configuration tree: one branch, with its revision, per team."""

from typing import Any

import msgspec

from .errors import DeclarationError
from .rules import check_team
from .rules import check_tree

ACCEPTED = "accepted"
CONFLICT = "conflict"
INVALID = "invalid"
FORBIDDEN = "forbidden"


class Change(msgspec.Struct, frozen=True, tag=True):
    """Ask for new documents in one or more branches, all or none.

    ``bases`` names, for every branch changed, the revision the operator
    saw; ``None`` as a document removes the branch.
    """

    change_id: str
    operator: str
    bases: dict[str, int]
    documents: dict[str, Any]
    at_unix_s: float


class Answer(msgspec.Struct, frozen=True):
    """Tell an operator what became of a change."""

    change_id: str
    outcome: str
    index: int
    revisions: dict[str, int]
    detail: str = ""


class AuditRecord(msgspec.Struct, frozen=True):
    """Record who asked for what, from which revision, and the outcome."""

    index: int
    at_unix_s: float
    operator: str
    change_id: str
    outcome: str
    from_revisions: dict[str, int]
    to_revisions: dict[str, int]
    detail: str = ""


class Branch(msgspec.Struct):
    """Hold one team's document and how often it has changed."""

    revision: int
    document: Any


class Tree:
    """Apply changes in log order; every replica reaches the same tree."""

    __slots__ = ("_answers", "_audit", "_branches", "_index")

    def __init__(self) -> None:
        self._branches: dict[str, Branch] = {}
        self._answers: dict[str, Answer] = {}
        self._audit: list[AuditRecord] = []
        self._index = 0

    @property
    def index(self) -> int:
        """Give the log index of the last accepted change."""
        return self._index

    @property
    def audit(self) -> list[AuditRecord]:
        """List every change asked for, oldest first."""
        return self._audit

    @property
    def revisions(self) -> dict[str, int]:
        """Map each team to the revision of its branch."""
        return {
            team: branch.revision for team, branch in self._branches.items()
        }

    @property
    def documents(self) -> dict[str, Any]:
        """Map each team to its document."""
        found = {}
        for team, branch in self._branches.items():
            if branch.document is None:
                continue
            found[team] = branch.document
        return found

    def apply(self, index: int, change: Change) -> Answer:
        """Apply a committed change, or repeat the answer it got before."""
        known = self._answers.get(change.change_id)
        if known is not None:
            # A resent change was accepted once; applying it again would
            # either conflict with itself or overwrite a later change.
            return known
        before = self._pick(change.documents)
        answer = self._decide(index, change)
        self._answers[change.change_id] = answer
        record = AuditRecord(
            index=index,
            at_unix_s=change.at_unix_s,
            operator=change.operator,
            change_id=change.change_id,
            outcome=answer.outcome,
            from_revisions=before,
            to_revisions=self._pick(change.documents),
            detail=answer.detail,
        )
        self._audit.append(record)
        return answer

    def _decide(self, index: int, change: Change) -> Answer:
        for team in sorted(change.documents):
            current = self._revision(team)
            if change.bases.get(team, 0) == current:
                continue
            detail = f"{team} is at revision {current}"
            return self._answer(index, change, CONFLICT, detail)
        try:
            self._check(change)
        except DeclarationError as error:
            return self._answer(index, change, INVALID, str(error))
        for team, document in change.documents.items():
            branch = Branch(self._revision(team) + 1, document)
            self._branches[team] = branch
        self._index = index
        return self._answer(index, change, ACCEPTED, "")

    def _check(self, change: Change) -> None:
        merged = self.documents
        for team, document in change.documents.items():
            if document is None:
                merged.pop(team, None)
                continue
            check_team(team, document)
            merged[team] = document
        check_tree(merged)

    def _answer(
        self, index: int, change: Change, outcome: str, detail: str
    ) -> Answer:
        return Answer(
            change_id=change.change_id,
            outcome=outcome,
            index=index,
            revisions=self._pick(change.documents),
            detail=detail,
        )

    def _pick(self, teams: dict[str, Any]) -> dict[str, int]:
        return {team: self._revision(team) for team in sorted(teams)}

    def _revision(self, team: str) -> int:
        branch = self._branches.get(team)
        return branch.revision if branch is not None else 0
