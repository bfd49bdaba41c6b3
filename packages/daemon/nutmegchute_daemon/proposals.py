"""Wait for proposed log entries to be committed and applied."""

import asyncio

from nutmegchute_core.errors import NotLeaderError
from nutmegchute_core.machines import Outcome
from nutmegchute_core.nodes import AppliedEntry


class PendingProposals:
    """Resolve the futures of proposals by log index."""

    __slots__ = ("_futures", "_loop")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._futures: dict[int, tuple[int, asyncio.Future[Outcome]]] = {}

    async def wait(self, index: int, term: int) -> Outcome:
        """Return the outcome of the entry proposed at an index.

        :raises NotLeaderError: another entry was committed at the index, so
            this one never will be
        :raises TimeoutError: the outcome is unknown
        """
        future: asyncio.Future[Outcome] = self._loop.create_future()
        self._futures[index] = (term, future)
        try:
            return await future
        finally:
            if self._futures.get(index) == (term, future):
                del self._futures[index]

    def resolve(self, applied: AppliedEntry) -> None:
        """Resolve the proposal at the index of an applied entry."""
        pending = self._futures.pop(applied.entry.index, None)
        if pending is None:
            return
        term, future = pending
        if future.done():
            return
        if term == applied.entry.term:
            future.set_result(applied.outcome)
        else:
            future.set_exception(NotLeaderError(None))

    def fail_all(self) -> None:
        """Fail all pending proposals, as their outcome is unknown."""
        for _, future in self._futures.values():
            if not future.done():
                future.set_exception(TimeoutError())
        self._futures = {}
