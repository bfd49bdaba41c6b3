"""Wake coroutines on the event loop after a change."""

import asyncio


class Notifier:
    """Wake all waiting coroutines at each change."""

    __slots__ = ("_waiting",)

    def __init__(self) -> None:
        self._waiting: set[asyncio.Future[None]] = set()

    def notify(self) -> None:
        """Wake all waiting coroutines."""
        waiting, self._waiting = self._waiting, set()
        for future in waiting:
            if not future.done():
                future.set_result(None)

    async def wait(self, timeout_s: float) -> None:
        """Wait for a change or the timeout."""
        future = asyncio.get_running_loop().create_future()
        self._waiting.add(future)
        try:
            await asyncio.wait([future], timeout=timeout_s)
        finally:
            self._waiting.discard(future)


class BatchNotifier:
    """Collect changes, then wake all waiting coroutines at once."""

    __slots__ = ("_notified_at", "_notifier", "_timer")

    def __init__(self) -> None:
        self._notifier = Notifier()
        self._timer: asyncio.TimerHandle | None = None
        self._notified_at = 0.0

    @property
    def pending(self) -> bool:
        """Return whether a wake-up is scheduled."""
        return self._timer is not None

    def notify(self, gap_s: float) -> None:
        """Schedule a wake-up, at the earliest ``gap_s`` after the last one."""
        loop = asyncio.get_running_loop()
        due_at = max(loop.time(), self._notified_at + gap_s)
        if self._timer is not None:
            if self._timer.when() <= due_at:
                return
            self._timer.cancel()
        self._timer = loop.call_at(due_at, self._fire)

    async def wait(self, timeout_s: float) -> None:
        """Wait for a change or the timeout."""
        await self._notifier.wait(timeout_s)

    def _fire(self) -> None:
        self._timer = None
        self._notified_at = asyncio.get_running_loop().time()
        self._notifier.notify()
