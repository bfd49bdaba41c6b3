"""Hold an entry's copy of the configuration tree."""

from typing import Any

from nutmegchute_core.fleets import FollowReply


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

    def take(self, reply: FollowReply) -> bool:
        """Take what changed; return whether it is newer."""
        if reply.documents is None or reply.index <= self._index:
            return False
        documents = {**self._documents, **reply.documents}
        for team, document in reply.documents.items():
            if document is None:
                del documents[team]
        self._documents = documents
        self._revisions = {**self._revisions, **reply.revisions}
        self._index = reply.index
        return True
