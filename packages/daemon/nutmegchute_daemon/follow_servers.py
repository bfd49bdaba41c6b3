"""Serve the long polls of entries that follow the tree."""

import asyncio
from collections.abc import Callable

import msgspec
from nutmegchute_core.follow_protocol import FollowReply
from nutmegchute_core.follow_protocol import FollowRequest
from nutmegchute_core.long_polls import LongPolls
from nutmegchute_core.nodes import Node

from .transfers import TreeOffers

UNKNOWN_LEADER = FollowReply(None, None, False)


class FollowServer:
    """Reply to each request when it is due, or redirect it.

    ``node`` returns the replica, None until it is loaded; ``flush_soon``
    schedules sending what a request has proposed. ``offers`` holds the trees
    that are too long for a reply.
    """

    __slots__ = (
        "_flush_soon",
        "_futures",
        "_last_id",
        "_long_polls",
        "_loop",
        "_node",
        "_offers",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        node: Callable[[], Node | None],
        flush_soon: Callable[[], None],
        offers: TreeOffers,
    ) -> None:
        self._loop = loop
        self._node = node
        self._flush_soon = flush_soon
        self._offers = offers
        self._long_polls = LongPolls()
        self._futures: dict[int, asyncio.Future[FollowReply]] = {}
        self._last_id = 0

    @property
    def applied(self) -> dict[str, int]:
        """Return the index in force at each entry following this replica."""
        return self._long_polls.progress.applied()

    async def handle_request(self, request: FollowRequest) -> FollowReply:
        """Return the reply to a request once it is due."""
        node = self._node()
        if node is None:
            return UNKNOWN_LEADER
        self._last_id += 1
        request_id = self._last_id
        now = self._loop.time()
        reply = self._long_polls.enqueue(request_id, request, node, now)
        self._flush_soon()
        if reply is not None:
            return reply
        future: asyncio.Future[FollowReply] = self._loop.create_future()
        self._futures[request_id] = future
        try:
            reply = await future
        finally:
            self._futures.pop(request_id, None)
        return await self._offer_documents(request, reply)

    def advance(self, node: Node) -> None:
        """Send the replies that are due."""
        self._send_replies(self._long_polls.advance(node, self._loop.time()))

    def in_force(self, index: int, node: Node) -> bool:
        """Return whether every live entry has applied an index."""
        return self._long_polls.in_force(index, node, self._loop.time())

    def withdraw_silent(self, node: Node) -> None:
        """Withdraw the entries that have long been silent."""
        self._long_polls.withdraw_silent(node, self._loop.time())

    def redirect_all(self) -> None:
        """Reply to every open request that another replica may lead."""
        self._send_replies(dict.fromkeys(self._futures, UNKNOWN_LEADER))

    def reset(self) -> None:
        """Redirect all requests and discard the progress of the entries."""
        self.redirect_all()
        self._long_polls = LongPolls()

    async def _offer_documents(
        self, request: FollowRequest, reply: FollowReply
    ) -> FollowReply:
        """Replace the documents of a reply by an offer if they are long."""
        if request.fetching is None or reply.documents is None:
            return reply
        # Without what differs between replies, so that replicas and requests
        # share one offer.
        tree = FollowReply(
            leader=None,
            leader_address=None,
            current=True,
            index=reply.index,
            revisions=reply.revisions,
            documents=reply.documents,
        )
        offer = await self._offers.offer(tree, request.index)
        if offer is None:
            return reply
        return msgspec.structs.replace(
            reply, revisions={}, documents=None, offer=offer
        )

    def _send_replies(self, replies: dict[int, FollowReply]) -> None:
        for request_id, reply in replies.items():
            future = self._futures.get(request_id)
            if future is not None and not future.done():
                future.set_result(reply)
