"""Replicate the configuration tree: per team, a branch with a revision."""

from collections import deque
from typing import Any

import msgspec
import xxhash

from .declarations import check_team
from .declarations import check_tree
from .errors import DeclarationError
from .patches import apply_patch
from .patches import Patch
from .patches import Step

ACCEPTED = "accepted"
CONFLICT = "conflict"
INVALID = "invalid"
FORBIDDEN = "forbidden"

# Nine days of answers at 1,100 changes a day. A change that is resent after
# its answer was evicted cannot apply twice: accepting it raised the
# revisions that it is based on, so it now conflicts.
ANSWERS_KEPT = 10_000
AUDIT_KEPT = 10_000
# Entries lag by a few changes at most; a burst has several a second.
STEPS_KEPT = 64


class Change(msgspec.Struct, frozen=True, tag=True):
    """Change one or more branches atomically.

    ``bases`` maps every changed branch to the revision that the operator
    started from; ``None`` as a document removes the branch. ``patches``
    changes parts of documents. ``numbers`` sets the next revision of a
    branch, which must be above the current one; by default a revision
    rises by one. ``checked`` means that every document was validated
    before it was proposed, so that replicas need not validate it again
    when they apply or replay the change.
    """

    change_id: str
    operator: str
    bases: dict[str, int]
    documents: dict[str, Any]
    at_unix_s: float
    checked: bool = False
    patches: dict[str, Patch] = {}
    numbers: dict[str, int] = {}

    @property
    def teams(self) -> list[str]:
        """Return the teams whose branches change, sorted."""
        return sorted({*self.documents, *self.patches})


class Refusal(msgspec.Struct, frozen=True, tag=True):
    """Record in the audit trail that a change was not authorized."""

    change_id: str
    operator: str
    teams: list[str]
    detail: str
    at_unix_s: float


class Answer(msgspec.Struct, frozen=True):
    """Report the outcome of a change to its operator."""

    change_id: str
    outcome: str
    index: int
    revisions: dict[str, int]
    detail: str = ""


class AuditRecord(msgspec.Struct, frozen=True):
    """Record a requested change, its operator, revisions and outcome."""

    index: int
    at_unix_s: float
    operator: str
    change_id: str
    outcome: str
    from_revisions: dict[str, int]
    to_revisions: dict[str, int]
    detail: str = ""


class Branch(msgspec.Struct, frozen=True):
    """Hold one team's document, its revision and the index of its change."""

    revision: int
    document: Any
    index: int = 0


class StoredAnswer(msgspec.Struct, frozen=True):
    """Hold the answer to a change and the digest of its content."""

    digest: str
    answer: Answer


class TreeState(msgspec.Struct, frozen=True):
    """Hold a tree as it is stored in snapshots."""

    index: int = 0
    branches: dict[str, Branch] = {}
    answers: list[StoredAnswer] = []
    audit: list[AuditRecord] = []


class Tree:
    """Apply changes in log order, so that all replicas hold the same tree."""

    __slots__ = ("_answers", "_audit", "_branches", "_index", "_steps")

    def __init__(self) -> None:
        # Not in snapshots: an entry that lacks a step gets whole branches.
        self._steps: deque[Step] = deque(maxlen=STEPS_KEPT)
        self._branches: dict[str, Branch] = {}
        self._answers: dict[str, StoredAnswer] = {}
        self._audit: deque[AuditRecord] = deque(maxlen=AUDIT_KEPT)
        self._index = 0

    @property
    def index(self) -> int:
        """Return the log index of the last accepted change."""
        return self._index

    @property
    def audit(self) -> list[AuditRecord]:
        """Return the last AUDIT_KEPT audit records, oldest first."""
        return list(self._audit)

    @property
    def revisions(self) -> dict[str, int]:
        """Return the revision of each team's branch."""
        return {
            team: branch.revision for team, branch in self._branches.items()
        }

    @property
    def documents(self) -> dict[str, Any]:
        """Return the document of each team."""
        found = {}
        for team, branch in self._branches.items():
            if branch.document is None:
                continue
            found[team] = branch.document
        return found

    def changed_since(self, index: int) -> dict[str, Branch]:
        """Return the branches that changed after an index, by team."""
        return {
            team: branch
            for team, branch in self._branches.items()
            if branch.index > index
        }

    def steps_since(self, index: int) -> list[Step] | None:
        """Return the changes after an index, None if some are evicted."""
        found = []
        for step in reversed(self._steps):
            if step.index <= index:
                break
            found.append(step)
        if not found or found[-1].after > index:
            return None
        return found[::-1]

    def apply(self, index: int, change: Change) -> Answer:
        """Apply a committed change; return the first answer to a duplicate."""
        digest = _digest(change)
        previous = self._answers.get(change.change_id)
        if previous is not None:
            # A resent change may have been accepted already: applied again,
            # it would conflict with itself or overwrite a later change.
            return self._answer_duplicate(index, change, previous, digest)
        before = self._revisions_of(change.teams)
        answer = self._decide(index, change)
        self._store_answer(StoredAnswer(digest, answer))
        self._record(index, change, answer, before)
        return answer

    def record_refusal(self, index: int, refusal: Refusal) -> None:
        """Record an unauthorized change in the audit trail."""
        revisions = {team: self._revision(team) for team in refusal.teams}
        self._audit.append(
            AuditRecord(
                index=index,
                at_unix_s=refusal.at_unix_s,
                operator=refusal.operator,
                change_id=refusal.change_id,
                outcome=FORBIDDEN,
                from_revisions=revisions,
                to_revisions=revisions,
                detail=refusal.detail,
            )
        )

    def add_audit_record(
        self, index: int, operator: str, detail: str, at_unix_s: float
    ) -> None:
        """Record an accepted operation that changes no branch."""
        self._audit.append(
            AuditRecord(
                index=index,
                at_unix_s=at_unix_s,
                operator=operator,
                change_id="",
                outcome=ACCEPTED,
                from_revisions={},
                to_revisions={},
                detail=detail,
            )
        )

    def snapshot(self) -> TreeState:
        """Return the tree as it is stored in snapshots."""
        return TreeState(
            index=self._index,
            branches=dict(self._branches),
            answers=list(self._answers.values()),
            audit=list(self._audit),
        )

    def restore(self, state: TreeState) -> None:
        """Replace the tree by a snapshot's."""
        self._index = state.index
        self._steps.clear()
        self._branches = dict(state.branches)
        self._answers = {
            stored.answer.change_id: stored for stored in state.answers
        }
        self._audit = deque(state.audit, AUDIT_KEPT)

    def _answer_duplicate(
        self, index: int, change: Change, previous: StoredAnswer, digest: str
    ) -> Answer:
        if previous.digest == digest:
            return previous.answer
        # Returning the first answer would report a change as accepted that
        # was never evaluated.
        detail = f"change id {change.change_id} was used for another change"
        answer = self._build_answer(index, change, INVALID, detail)
        self._record(index, change, answer, answer.revisions)
        return answer

    def _store_answer(self, stored: StoredAnswer) -> None:
        self._answers[stored.answer.change_id] = stored
        if len(self._answers) > ANSWERS_KEPT:
            del self._answers[next(iter(self._answers))]

    def _record(
        self,
        index: int,
        change: Change,
        answer: Answer,
        before: dict[str, int],
    ) -> None:
        self._audit.append(
            AuditRecord(
                index=index,
                at_unix_s=change.at_unix_s,
                operator=change.operator,
                change_id=change.change_id,
                outcome=answer.outcome,
                from_revisions=before,
                to_revisions=answer.revisions,
                detail=answer.detail,
            )
        )

    def _decide(self, index: int, change: Change) -> Answer:
        if not change.teams:
            return self._build_answer(
                index, change, INVALID, "names no branch"
            )
        for team in change.teams:
            current = self._revision(team)
            if change.bases.get(team, 0) == current:
                continue
            detail = f"{team} is at revision {current}"
            return self._build_answer(index, change, CONFLICT, detail)
        try:
            documents = self._check(change)
        except DeclarationError as error:
            return self._build_answer(index, change, INVALID, str(error))
        for team, document in documents.items():
            revision = change.numbers.get(team, self._revision(team) + 1)
            self._branches[team] = Branch(revision, document, index)
        self._steps.append(
            Step(
                index=index,
                after=self._index,
                documents=change.documents,
                patches=change.patches,
                revisions=self._revisions_of(change.teams),
            )
        )
        self._index = index
        return self._build_answer(index, change, ACCEPTED, "")

    def _check(self, change: Change) -> dict[str, Any]:
        """Validate a change and return the documents that result from it."""
        for team, number in change.numbers.items():
            current = self._revision(team)
            if number <= current:
                raise DeclarationError(
                    team, f"revision {number} is not above {current}"
                )
        merged = self.documents
        requested: dict[str, Any] = {}
        for team, document in change.documents.items():
            requested[team] = document
            if document is None:
                merged.pop(team, None)
                continue
            if not change.checked:
                check_team(team, document)
            merged[team] = document
        for team, patch in change.patches.items():
            if team not in merged:
                raise DeclarationError(team, "there is no such branch")
            document = apply_patch(merged[team], patch)
            check_team(team, document)
            requested[team] = merged[team] = document
        check_tree(merged)
        return requested

    def _build_answer(
        self, index: int, change: Change, outcome: str, detail: str
    ) -> Answer:
        return Answer(
            change_id=change.change_id,
            outcome=outcome,
            index=index,
            revisions=self._revisions_of(change.teams),
            detail=detail,
        )

    def _revisions_of(self, teams: list[str]) -> dict[str, int]:
        return {team: self._revision(team) for team in teams}

    def _revision(self, team: str) -> int:
        branch = self._branches.get(team)
        return branch.revision if branch is not None else 0


def passes_schema(documents: dict[str, Any]) -> bool:
    """Return whether every document is a valid branch of a team."""
    try:
        for team, document in documents.items():
            if document is not None:
                check_team(team, document)
    except DeclarationError:
        return False
    return True


def _digest(change: Change) -> str:
    requested: list[Any] = [change.operator, change.bases, change.documents]
    if change.patches or change.numbers:
        requested += [change.patches, change.numbers]
    data = msgspec.json.encode(requested, order="deterministic")
    return str(xxhash.xxh3_128_hexdigest(data))
