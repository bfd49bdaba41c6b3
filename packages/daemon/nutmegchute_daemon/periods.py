"""Do work again and again, for as long as a daemon runs."""

import asyncio
import inspect
from collections.abc import Awaitable
from collections.abc import Callable
from traceback import format_exc

from .events import Event
from .events import log

Work = Callable[[], Awaitable[None] | None]


async def repeat(period_s: float, work: Work) -> None:
    """Do some work every ``period_s`` seconds until cancelled."""
    while True:
        try:
            pending = work()
            if inspect.isawaitable(pending):
                await pending
        except Exception:
            # Were the task to end with it, control would take in no replica
            # any more, or a router drop no dead endpoint, without a line.
            log(
                Event.WORK_FAILED,
                "error",
                work=work.__qualname__,
                trace=format_exc(),
            )
        await asyncio.sleep(period_s)
