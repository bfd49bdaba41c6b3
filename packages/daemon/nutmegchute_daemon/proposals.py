"""Hold what waits for the log's decisions."""

import asyncio

from nutmegchute_core.errors import NotLeaderError
from nutmegchute_core.machines import Outcome
from nutmegchute_core.nodes import AppliedEntry


class PendingProposals:
    """Resolve futures by their place in the log."""

    __slots__ = ("_loop", "_places")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._places: dict[int, tuple[int, asyncio.Future[Outcome]]] = {}

    async def wait(self, index: int, term: int) -> Outcome:
        """Wait for what became of the entry proposed at a place.

        :raises NotLeaderError: another entry took the place, so this one
            never happened
        """
        future: asyncio.Future[Outcome] = self._loop.create_future()
        self._places[index] = (term, future)
        try:
            return await future
        finally:
            if self._places.get(index) == (term, future):
                del self._places[index]

    def resolve(self, decided: AppliedEntry) -> None:
        """Tell the waiter of a place what was decided there."""
        waiting = self._places.pop(decided.entry.index, None)
        if waiting is None:
            return
        term, future = waiting
        if future.done():
            return
        if term == decided.entry.term:
            future.set_result(decided.outcome)
        else:
            future.set_exception(NotLeaderError(None))

    def fail_all(self) -> None:
        """End all waits; their outcome is not known."""
        for _, future in self._places.values():
            if not future.done():
                future.set_exception(TimeoutError())
        self._places = {}
