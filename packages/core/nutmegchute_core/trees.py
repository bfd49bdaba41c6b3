"""Keep the configuration tree: one branch, with its revision, per team."""

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

# Nine days at 1,100 changes a day. A change resent after its answer was
# forgotten cannot apply twice: when it was accepted, the revisions that
# it names rose, so it ends as a conflict.
ANSWERS_KEPT = 10_000
AUDIT_KEPT = 10_000
# Entries lag by a few changes at most; a storm has several a second.
STEPS_KEPT = 64


class Change(msgspec.Struct, frozen=True, tag=True):
    """Ask for new documents in one or more branches, all or none.

    ``bases`` names, for every branch changed, the revision the operator
    saw; ``None`` as a document removes the branch. ``patches`` changes
    parts of documents. ``numbers`` gives branches their next revision,
    which must be above the present one; without it revisions count by
    one. ``checked`` says that every document passed the schema before it
    was proposed, so that no replica spends that time again when it
    applies or replays the change.
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
        """Name the branches changed, in order."""
        return sorted({*self.documents, *self.patches})


class Refusal(msgspec.Struct, frozen=True, tag=True):
    """Record in the audit trail that a change was not let in."""

    change_id: str
    operator: str
    teams: list[str]
    detail: str
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


class Branch(msgspec.Struct, frozen=True):
    """Hold one team's document and how often it has changed."""

    revision: int
    document: Any
    index: int = 0


class Kept(msgspec.Struct, frozen=True):
    """Hold the answer to a change and the digest of what it asked."""

    digest: str
    answer: Answer


class TreeState(msgspec.Struct, frozen=True):
    """Hold a tree in the form that snapshots keep."""

    index: int = 0
    branches: dict[str, Branch] = {}
    answers: list[Kept] = []
    audit: list[AuditRecord] = []


class Tree:
    """Apply changes in log order; every replica reaches the same tree."""

    __slots__ = ("_answers", "_audit", "_branches", "_index", "_steps")

    def __init__(self) -> None:
        # Not part of the state: who lacks a step is sent whole branches.
        self._steps: deque[Step] = deque(maxlen=STEPS_KEPT)
        self._branches: dict[str, Branch] = {}
        self._answers: dict[str, Kept] = {}
        self._audit: deque[AuditRecord] = deque(maxlen=AUDIT_KEPT)
        self._index = 0

    @property
    def index(self) -> int:
        """Give the log index of the last accepted change."""
        return self._index

    @property
    def audit(self) -> list[AuditRecord]:
        """List the last AUDIT_KEPT changes asked for, oldest first."""
        return list(self._audit)

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

    def changed_since(self, index: int) -> dict[str, Branch]:
        """Map the teams whose branches changed after an index to them."""
        return {
            team: branch
            for team, branch in self._branches.items()
            if branch.index > index
        }

    def steps_since(self, index: int) -> list[Step] | None:
        """List the changes after an index; None: not all are kept."""
        found = []
        for step in reversed(self._steps):
            if step.index <= index:
                break
            found.append(step)
        if not found or found[-1].after > index:
            return None
        return found[::-1]

    def apply(self, index: int, change: Change) -> Answer:
        """Apply a committed change, or repeat the answer it got before."""
        digest = _digest(change)
        known = self._answers.get(change.change_id)
        if known is not None:
            # A resent change was accepted once; applying it again would
            # either conflict with itself or overwrite a later change.
            return self._repeat(index, change, known, digest)
        before = self._pick(change.teams)
        answer = self._decide(index, change)
        self._remember(Kept(digest, answer))
        self._record(index, change, answer, before)
        return answer

    def record_refusal(self, index: int, refusal: Refusal) -> None:
        """Put a change that was not let in on the audit trail."""
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
        """Put a change of the control replicas on the audit trail."""
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
        """Give the tree in the form that snapshots keep."""
        return TreeState(
            index=self._index,
            branches=dict(self._branches),
            answers=list(self._answers.values()),
            audit=list(self._audit),
        )

    def restore(self, state: TreeState) -> None:
        """Take a snapshot's tree in place of the present one."""
        self._index = state.index
        self._steps.clear()
        self._branches = dict(state.branches)
        self._answers = {kept.answer.change_id: kept for kept in state.answers}
        self._audit = deque(state.audit, AUDIT_KEPT)

    def _repeat(
        self, index: int, change: Change, known: Kept, digest: str
    ) -> Answer:
        if known.digest == digest:
            return known.answer
        # Giving the first answer here would tell an operator that a
        # change was accepted which nobody has looked at.
        detail = f"change id {change.change_id} was used for another change"
        answer = self._answer(index, change, INVALID, detail)
        self._record(index, change, answer, answer.revisions)
        return answer

    def _remember(self, kept: Kept) -> None:
        self._answers[kept.answer.change_id] = kept
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
            return self._answer(index, change, INVALID, "names no branch")
        for team in change.teams:
            current = self._revision(team)
            if change.bases.get(team, 0) == current:
                continue
            detail = f"{team} is at revision {current}"
            return self._answer(index, change, CONFLICT, detail)
        try:
            documents = self._check(change)
        except DeclarationError as error:
            return self._answer(index, change, INVALID, str(error))
        for team, document in documents.items():
            revision = change.numbers.get(team, self._revision(team) + 1)
            self._branches[team] = Branch(revision, document, index)
        self._steps.append(
            Step(
                index=index,
                after=self._index,
                documents=change.documents,
                patches=change.patches,
                revisions=self._pick(change.teams),
            )
        )
        self._index = index
        return self._answer(index, change, ACCEPTED, "")

    def _check(self, change: Change) -> dict[str, Any]:
        """Return the documents that the change asks for."""
        for team, number in change.numbers.items():
            current = self._revision(team)
            if number <= current:
                raise DeclarationError(
                    team, f"revision {number} is not above {current}"
                )
        merged = self.documents
        asked: dict[str, Any] = {}
        for team, document in change.documents.items():
            asked[team] = document
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
            asked[team] = merged[team] = document
        check_tree(merged)
        return asked

    def _answer(
        self, index: int, change: Change, outcome: str, detail: str
    ) -> Answer:
        return Answer(
            change_id=change.change_id,
            outcome=outcome,
            index=index,
            revisions=self._pick(change.teams),
            detail=detail,
        )

    def _pick(self, teams: list[str]) -> dict[str, int]:
        return {team: self._revision(team) for team in teams}

    def _revision(self, team: str) -> int:
        branch = self._branches.get(team)
        return branch.revision if branch is not None else 0


def passes_schema(documents: dict[str, Any]) -> bool:
    """Tell whether every document has the form of a team's branch."""
    try:
        for team, document in documents.items():
            if document is not None:
                check_team(team, document)
    except DeclarationError:
        return False
    return True


def _digest(change: Change) -> str:
    asked: list[Any] = [change.operator, change.bases, change.documents]
    if change.patches or change.numbers:
        asked += [change.patches, change.numbers]
    data = msgspec.json.encode(asked, order="deterministic")
    return str(xxhash.xxh3_128_hexdigest(data))
