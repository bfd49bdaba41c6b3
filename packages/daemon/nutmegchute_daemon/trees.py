"""Hold a copy of the configuration tree on an entry or a router."""

from typing import Any

from nutmegchute_core.follow_protocol import FollowReply
from nutmegchute_core.patches import apply_patch
from nutmegchute_core.patches import Step


class TreeCopy:
    """Apply the changes of newer replies; ignore older ones."""

    __slots__ = ("_documents", "_index", "_revisions")

    def __init__(self) -> None:
        self._documents: dict[str, Any] = {}
        self._revisions: dict[str, int] = {}
        self._index = 0

    @property
    def index(self) -> int:
        """Return the log index of the last change that was applied."""
        return self._index

    @property
    def documents(self) -> dict[str, Any]:
        """Return the document of each team."""
        return self._documents

    @property
    def revisions(self) -> dict[str, int]:
        """Return the revision of each team's branch."""
        return self._revisions

    def apply_reply(self, reply: FollowReply) -> bool:
        """Apply a reply's changes; return whether the tree is newer now."""
        if reply.index <= self._index:
            return False
        if reply.steps is not None:
            return self._apply_steps(reply.steps)
        if reply.documents is None:
            return False
        self._replace(reply.documents, reply.revisions)
        self._index = reply.index
        return True

    def _apply_steps(self, steps: list[Step]) -> bool:
        index_before = self._index
        for step in steps:
            if step.index <= self._index:
                continue
            if step.after > self._index:
                # A step is missing; the next reply will include it.
                break
            changed = dict(step.documents)
            for team, patch in step.patches.items():
                document = changed.get(team, self._documents.get(team))
                changed[team] = apply_patch(document or {}, patch)
            self._replace(changed, step.revisions)
            self._index = step.index
        return self._index > index_before

    def _replace(
        self, changed: dict[str, Any], revisions: dict[str, int]
    ) -> None:
        documents = {**self._documents, **changed}
        for team, document in changed.items():
            if document is None:
                del documents[team]
        self._documents = documents
        self._revisions = {**self._revisions, **revisions}
