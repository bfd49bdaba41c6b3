"""Hold an entry's copy of the configuration tree."""

from typing import Any

from nutmegchute_core.follow_protocol import FollowReply
from nutmegchute_core.patches import apply_patch
from nutmegchute_core.patches import Step


class TreeCopy:
    """Take newer branches as they are told; never an older tree."""

    __slots__ = ("_documents", "_index", "_revisions")

    def __init__(self) -> None:
        self._documents: dict[str, Any] = {}
        self._revisions: dict[str, int] = {}
        self._index = 0

    @property
    def index(self) -> int:
        """Give the log index of the tree in force here."""
        return self._index

    @property
    def documents(self) -> dict[str, Any]:
        """Map each team to its document."""
        return self._documents

    @property
    def revisions(self) -> dict[str, int]:
        """Map each team to the revision in force here."""
        return self._revisions

    def apply_reply(self, reply: FollowReply) -> bool:
        """Take what changed; return whether it is newer."""
        if reply.index <= self._index:
            return False
        if reply.steps is not None:
            return self._take_steps(reply.steps)
        if reply.documents is None:
            return False
        self._replace(reply.documents, reply.revisions)
        self._index = reply.index
        return True

    def _take_steps(self, steps: list[Step]) -> bool:
        before = self._index
        for step in steps:
            if step.index <= self._index:
                continue
            if step.after > self._index:
                # A change between is not held; the next question gives it.
                break
            changed = dict(step.documents)
            for team, patch in step.patches.items():
                document = changed.get(team, self._documents.get(team))
                changed[team] = apply_patch(document or {}, patch)
            self._replace(changed, step.revisions)
            self._index = step.index
        return self._index > before

    def _replace(
        self, changed: dict[str, Any], revisions: dict[str, int]
    ) -> None:
        documents = {**self._documents, **changed}
        for team, document in changed.items():
            if document is None:
                del documents[team]
        self._documents = documents
        self._revisions = {**self._revisions, **revisions}
