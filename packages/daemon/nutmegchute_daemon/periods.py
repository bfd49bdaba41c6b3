"""Run periodic work while a daemon runs."""

import asyncio
import inspect
from collections.abc import Awaitable
from collections.abc import Callable
from traceback import format_exc

from .events import Event
from .events import log

Work = Callable[[], Awaitable[None] | None]


async def repeat(period_s: float, work: Work) -> None:
    """Call a function, wait ``period_s`` seconds and repeat.

    Exceptions of the function are logged. Only a cancellation ends the loop.
    """
    while True:
        try:
            pending = work()
            if inspect.isawaitable(pending):
                await pending
        except Exception:
            # If the exception ended the task, control would silently stop
            # admitting replicas, or a router stop removing dead endpoints.
            log(
                Event.WORK_FAILED,
                "error",
                work=work.__qualname__,
                trace=format_exc(),
            )
        await asyncio.sleep(period_s)
