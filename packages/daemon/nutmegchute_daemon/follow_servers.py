"""Hold the questions of entries that follow the tree."""

import asyncio
from collections.abc import Callable

from nutmegchute_core.follow_protocol import FollowReply
from nutmegchute_core.follow_protocol import FollowRequest
from nutmegchute_core.long_polls import LongPolls
from nutmegchute_core.nodes import Node

UNKNOWN_LEADER = FollowReply(None, None, False)


class FollowServer:
    """Answer each question once it is due, or turn it away.

    ``node`` gives the replica once it is loaded; ``flush_soon`` lets what
    a question has proposed go out.
    """

    __slots__ = (
        "_flush_soon",
        "_long_polls",
        "_loop",
        "_node",
        "_open",
        "_ticket",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        node: Callable[[], Node | None],
        flush_soon: Callable[[], None],
    ) -> None:
        self._loop = loop
        self._node = node
        self._flush_soon = flush_soon
        self._long_polls = LongPolls()
        self._open: dict[int, asyncio.Future[FollowReply]] = {}
        self._ticket = 0

    @property
    def applied(self) -> dict[str, int]:
        """Map each entry that asks here to the tree it has in force."""
        return self._long_polls.progress.applied()

    async def ask(self, request: FollowRequest) -> FollowReply:
        """Take a question and wait for its answer."""
        node = self._node()
        if node is None:
            return UNKNOWN_LEADER
        self._ticket += 1
        ticket = self._ticket
        now = self._loop.time()
        reply = self._long_polls.enqueue(ticket, request, node, now)
        self._flush_soon()
        if reply is not None:
            return reply
        future: asyncio.Future[FollowReply] = self._loop.create_future()
        self._open[ticket] = future
        try:
            return await future
        finally:
            self._open.pop(ticket, None)

    def advance(self, node: Node) -> None:
        """Give the answers that are due."""
        self._answer(self._long_polls.advance(node, self._loop.time()))

    def in_force(self, index: int, node: Node) -> bool:
        """Tell whether no live entry still acts on an older index."""
        return self._long_polls.in_force(index, node, self._loop.time())

    def withdraw_silent(self, node: Node) -> None:
        """Withdraw the entries that have long been silent."""
        self._long_polls.withdraw_silent(node, self._loop.time())

    def redirect_all(self) -> None:
        """Answer every open question: ask another replica."""
        self._answer(dict.fromkeys(self._open, UNKNOWN_LEADER))

    def reset(self) -> None:
        """Turn all away and forget what is known of entries."""
        self.redirect_all()
        self._long_polls = LongPolls()

    def _answer(self, answers: dict[int, FollowReply]) -> None:
        for ticket, reply in answers.items():
            future = self._open.get(ticket)
            if future is not None and not future.done():
                future.set_result(reply)
