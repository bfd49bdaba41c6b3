"""Follow the configuration that the control replicas keep."""

import asyncio
from collections.abc import Callable

from nutmegchute_core.fleets import FollowReply
from nutmegchute_core.fleets import FollowRequest

from .events import Event
from .events import log
from .links import Links
from .protocols import FOLLOW
from .settings import Settings

TIMEOUT_S = 2.0
RETRY_S = 0.1


class Follower:
    """Keep an entry at the newest tree, never at an older one."""

    __slots__ = (
        "_index",
        "_links",
        "_on_tree",
        "_revisions",
        "_settings",
        "_turn",
    )

    def __init__(
        self,
        settings: Settings,
        links: Links,
        on_tree: Callable[[FollowReply], None],
    ) -> None:
        self._settings = settings
        self._links = links
        self._on_tree = on_tree
        self._turn = 0
        self._index = 0
        self._revisions: dict[str, int] = {}

    @property
    def index(self) -> int:
        """Give the log index of the tree in force here."""
        return self._index

    @property
    def revisions(self) -> dict[str, int]:
        """Map each team to the revision in force here."""
        return self._revisions

    async def follow(self) -> None:
        """Ask once for a newer tree; the leader holds the question."""
        peers = self._settings.control
        if not peers:
            await asyncio.sleep(TIMEOUT_S)
            return
        peer = peers[self._turn % len(peers)]
        request = FollowRequest(self._settings.name, self._index)
        reply = await self._links.ask(
            peer.grpc_address, FOLLOW, request, TIMEOUT_S
        )
        if reply is None:
            log(Event.CONFIG_UNREACHABLE, "warning", replica=peer.name)
            self._turn += 1
            await asyncio.sleep(RETRY_S)
            return
        if reply.leader != peer.name:
            self._turn_to(reply.leader)
            await asyncio.sleep(RETRY_S)
            return
        self._apply(reply)

    def _turn_to(self, leader: str | None) -> None:
        for position, peer in enumerate(self._settings.control):
            if peer.name == leader:
                self._turn = position
                return
        self._turn += 1

    def _apply(self, reply: FollowReply) -> None:
        if reply.documents is None or reply.index <= self._index:
            return
        self._on_tree(reply)
        self._index = reply.index
        self._revisions = reply.revisions
        log(Event.CONFIG_APPLIED, index=self._index)
