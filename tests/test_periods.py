"""Test periodic work."""

import asyncio

import pytest
from nutmegchute_daemon import periods
from nutmegchute_daemon.events import Event
from nutmegchute_daemon.periods import repeat


@pytest.mark.parametrize("coroutine", [False, True])
def test_error_does_not_end_periodic_work(
    coroutine: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Periodic work that raises once is logged and called again.

    Control admits replicas by such work. If it ended silently, a lost replica
    would not be replaced, and the next loss would prevent all changes.
    """
    logged: list[tuple[Event, str]] = []

    def log(event: Event, level: str, work: str, trace: str) -> None:
        assert "KeyError: 'voter'" in trace
        logged.append((event, level))

    monkeypatch.setattr(periods, "log", log)
    done = 0
    again = asyncio.Event()

    def work() -> None:
        nonlocal done
        done += 1
        if done == 1:
            raise KeyError("voter")
        again.set()

    async def later() -> None:
        work()

    async def run() -> None:
        task = asyncio.create_task(repeat(0.0, later if coroutine else work))
        async with asyncio.timeout(5.0):
            await again.wait()
        task.cancel()

    asyncio.run(run())
    assert logged == [(Event.WORK_FAILED, "error")]
