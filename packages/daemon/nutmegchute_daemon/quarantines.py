"""Report to control which requests may have crashed endpoints."""

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

ATTEMPT_TIMEOUT_S = 0.3
# After this a call that waits for a trial is decided without control.
TOTAL_TIMEOUT_S = 0.6
RETRY_S = 0.05
UNAVAILABLE_S = 0.5
MAX_BATCH = 256
MAX_PENDING = 4096

OnRuling = Callable[[TrialRequest, Ruling | None], None]


class QuarantineReporter:
    """Send reports to the leader, one request at a time.

    ``replicas`` returns the gRPC addresses of the control replicas;
    ``on_ruling`` is called with the ruling on each trial request, or None if
    there is none. Not thread-safe: use it on the event loop only.
    """

    __slots__ = (
        "_leader",
        "_links",
        "_loop",
        "_on_ruling",
        "_pending",
        "_replica_position",
        "_replicas",
        "_unavailable_until",
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
        self._pending: deque[Report] = deque()
        self._wake = asyncio.Event()
        self._leader: str | None = None
        self._replica_position = 0
        self._unavailable_until = 0.0

    def submit(self, reports: list[Report]) -> None:
        """Queue reports, dropping any beyond MAX_PENDING."""
        unavailable = self._loop.time() < self._unavailable_until
        for report in reports:
            full = len(self._pending) >= MAX_PENDING
            if isinstance(report, TrialRequest) and (unavailable or full):
                # Its call waits for a ruling, which will not come.
                self._loop.call_soon(self._on_ruling, report, None)
            elif not full:
                self._pending.append(report)
        self._wake.set()

    async def run(self) -> None:
        """Send one batch of the pending reports."""
        if not self._pending:
            self._wake.clear()
            await self._wake.wait()
        batch = list(self._pending)[:MAX_BATCH]
        rulings = await self._send(QuarantineRequest(batch))
        for _ in batch:
            self._pending.popleft()
        if rulings is None:
            log(Event.QUARANTINE_UNREACHABLE, "warning", reports=len(batch))
            self._unavailable_until = self._loop.time() + UNAVAILABLE_S
            self._requeue(batch)
            await asyncio.sleep(UNAVAILABLE_S)
            return
        for report, ruling in zip(batch, rulings, strict=True):
            if isinstance(report, TrialRequest):
                self._on_ruling(report, ruling)

    def _requeue(self, batch: list[Report]) -> None:
        """Queue the batch again except its trial requests, which fail."""
        requests = [one for one in batch if isinstance(one, TrialRequest)]
        others = [one for one in batch if not isinstance(one, TrialRequest)]
        self._pending.extendleft(reversed(others))
        for one in requests:
            self._on_ruling(one, None)

    async def _send(self, request: QuarantineRequest) -> list[Ruling] | None:
        give_up_at = self._loop.time() + TOTAL_TIMEOUT_S
        while self._loop.time() < give_up_at:
            address = self._next_replica()
            if address is None:
                return None
            left_s = give_up_at - self._loop.time()
            reply = await self._links.send_request(
                address, REPORT, request, min(ATTEMPT_TIMEOUT_S, left_s)
            )
            if reply is not None and reply.rulings is not None:
                self._leader = address
                rulings: list[Ruling] = reply.rulings
                return rulings
            self._leader = None if reply is None else reply.leader
            if self._leader is None:
                await asyncio.sleep(RETRY_S)
        return None

    def _next_replica(self) -> str | None:
        if self._leader is not None:
            return self._leader
        replicas = self._replicas()
        if not replicas:
            return None
        self._replica_position += 1
        return replicas[self._replica_position % len(replicas)]
