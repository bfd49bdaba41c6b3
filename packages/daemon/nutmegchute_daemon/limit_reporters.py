"""Report to control the rate limits that endpoints named in answers."""

import asyncio
from collections.abc import Callable

from nutmegchute_core.limit_boards import LimitBoard
from nutmegchute_core.limit_boards import LimitReport
from nutmegchute_core.limit_boards import LimitReports
from nutmegchute_core.members import ProcessKey

from .events import Event
from .events import log
from .links import Links
from .methods import REPORT_LIMITS

TIMEOUT_S = 0.5
RETRY_S = 0.2
# Changes are collected for this long, as several answers of one moment may
# name the same limit.
BATCH_S = 0.02


class LimitReporter:
    """Send changed limits to a control replica until one accepts them.

    ``replicas`` returns the gRPC addresses of the control replicas, the best
    first. Not thread-safe: use it on the event loop only.
    """

    __slots__ = (
        "_board",
        "_failures",
        "_links",
        "_loop",
        "_pending",
        "_replicas",
        "_wake",
    )

    def __init__(
        self,
        board: LimitBoard,
        links: Links,
        replicas: Callable[[], list[str]],
    ) -> None:
        self._board = board
        self._links = links
        self._replicas = replicas
        self._loop = asyncio.get_running_loop()
        # Ordered by the first change that has not been reported.
        self._pending: dict[ProcessKey, None] = {}
        # Failures since the last report that was accepted.
        self._failures = 0
        self._wake = asyncio.Event()

    def submit(self, processes: list[ProcessKey]) -> None:
        """Queue the limits of processes to be reported."""
        for key in processes:
            self._pending[key] = None
        self._wake.set()

    async def run(self) -> None:
        """Send the pending changes once."""
        if not self._pending:
            self._wake.clear()
            await self._wake.wait()
            await asyncio.sleep(BATCH_S)
        pending, self._pending = self._pending, {}
        if await self._send(self._build_reports(pending)):
            self._failures = 0
            return
        self._pending = {**pending, **self._pending}
        if not self._failures:
            processes = len(self._pending)
            log(Event.LIMITS_UNREPORTED, "warning", processes=processes)
        self._failures += 1
        await asyncio.sleep(RETRY_S)

    async def _send(self, reports: list[LimitReport]) -> bool:
        replicas = self._replicas()
        if not replicas:
            return False
        address = replicas[self._failures % len(replicas)]
        reply = await self._links.send_request(
            address, REPORT_LIMITS, LimitReports(reports), TIMEOUT_S
        )
        return reply is not None

    def _build_reports(
        self, pending: dict[ProcessKey, None]
    ) -> list[LimitReport]:
        now = self._loop.time()
        reports = []
        for key in pending:
            record = self._board.find(key)
            if record is None:
                continue
            age_s = now - record.observed_at
            reports.append(LimitReport(*key, record.per_s, age_s))
        return reports
