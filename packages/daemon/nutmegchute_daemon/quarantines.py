"""Tell control which requests may have crashed endpoints."""

import asyncio
from collections import deque
from collections.abc import Callable

from nutmegchute_core.quarantines import QuarantineReply
from nutmegchute_core.quarantines import QuarantineRequest
from nutmegchute_core.quarantines import Report
from nutmegchute_core.quarantines import Ruling
from nutmegchute_core.quarantines import TrialRequest

from .events import Event
from .events import log
from .links import Links
from .links import Method

REPORT = Method("Quarantine", "Report", QuarantineRequest, QuarantineReply)

ASK_S = 0.3
# A call that waits for a trial decides by itself after this.
GIVE_UP_S = 0.6
RETRY_S = 0.05
DOWN_S = 0.5
MOST_REPORTS = 256
MOST_WAITING = 4096

OnRuling = Callable[[TrialRequest, Ruling | None], None]


class QuarantineReporter:
    """Send reports to the leader, one request at a time, on the loop.

    ``replicas`` lists the gRPC addresses of the control replicas;
    ``on_ruling`` takes the answer to each trial request, None where there
    was none.
    """

    __slots__ = (
        "_down_until",
        "_leader",
        "_links",
        "_loop",
        "_on_ruling",
        "_replicas",
        "_turn",
        "_waiting",
        "_wake",
    )

    def __init__(
        self,
        links: Links,
        replicas: Callable[[], list[str]],
        on_ruling: OnRuling,
    ) -> None:
        self._links = links
        self._replicas = replicas
        self._on_ruling = on_ruling
        self._loop = asyncio.get_running_loop()
        self._waiting: deque[Report] = deque()
        self._wake = asyncio.Event()
        self._leader: str | None = None
        self._turn = 0
        self._down_until = 0.0

    def submit(self, reports: list[Report]) -> None:
        """Take reports to send; the loop calls this."""
        down = self._loop.time() < self._down_until
        for report in reports:
            full = len(self._waiting) >= MOST_WAITING
            if isinstance(report, TrialRequest) and (down or full):
                # A call waits for the answer, and there will be none.
                self._loop.call_soon(self._on_ruling, report, None)
            elif not full:
                self._waiting.append(report)
        self._wake.set()

    async def run(self) -> None:
        """Send what has gathered."""
        if not self._waiting:
            self._wake.clear()
            await self._wake.wait()
        batch = list(self._waiting)[:MOST_REPORTS]
        rulings = await self._ask(QuarantineRequest(batch))
        for _ in batch:
            self._waiting.popleft()
        if rulings is None:
            log(Event.QUARANTINE_UNREACHABLE, "warning", reports=len(batch))
            self._down_until = self._loop.time() + DOWN_S
            self._keep(batch)
            await asyncio.sleep(DOWN_S)
            return
        for report, ruling in zip(batch, rulings, strict=True):
            if isinstance(report, TrialRequest):
                self._on_ruling(report, ruling)

    def _keep(self, batch: list[Report]) -> None:
        """Send all again but what nobody waits for any more."""
        requests = [one for one in batch if isinstance(one, TrialRequest)]
        others = [one for one in batch if not isinstance(one, TrialRequest)]
        self._waiting.extendleft(reversed(others))
        for one in requests:
            self._on_ruling(one, None)

    async def _ask(self, request: QuarantineRequest) -> list[Ruling] | None:
        give_up_at = self._loop.time() + GIVE_UP_S
        while self._loop.time() < give_up_at:
            address = self._next()
            if address is None:
                return None
            left_s = give_up_at - self._loop.time()
            reply = await self._links.send_request(
                address, REPORT, request, min(ASK_S, left_s)
            )
            if reply is not None and reply.rulings is not None:
                self._leader = address
                rulings: list[Ruling] = reply.rulings
                return rulings
            self._leader = None if reply is None else reply.leader
            if self._leader is None:
                await asyncio.sleep(RETRY_S)
        return None

    def _next(self) -> str | None:
        if self._leader is not None:
            return self._leader
        replicas = self._replicas()
        if not replicas:
            return None
        self._turn += 1
        return replicas[self._turn % len(replicas)]
