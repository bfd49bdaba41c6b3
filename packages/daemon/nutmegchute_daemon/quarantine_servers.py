"""Handle reports of requests that crash endpoints, on the leader."""

import asyncio

from nutmegchute_core.errors import NotLeaderError
from nutmegchute_core.quarantines import CaseStatus
from nutmegchute_core.quarantines import Lift
from nutmegchute_core.quarantines import Lifted
from nutmegchute_core.quarantines import QuarantineBatch
from nutmegchute_core.quarantines import QuarantineReply
from nutmegchute_core.quarantines import QuarantineRequest
from nutmegchute_core.quarantines import Rulings

from .claims import LedgerClock
from .consensus import Consensus
from .events import Event
from .events import log
from .links import Links
from .quarantines import REPORT


class QuarantineServer:
    """Propose entries' reports and operators' orders to the log."""

    __slots__ = ("_clock", "_consensus", "_loop")

    def __init__(self, consensus: Consensus, links: Links) -> None:
        self._consensus = consensus
        self._clock = LedgerClock()
        self._loop = asyncio.get_running_loop()
        links.serve(REPORT, self._on_report)

    async def lift(self, order: Lift) -> bool:
        """Delete the case of a request; return whether there was one.

        :raises NotLeaderError: another replica leads, or none
        :raises TimeoutError: the outcome is unknown
        """
        outcome = await self._consensus.propose(order)
        assert isinstance(outcome, Lifted)
        if outcome.found:
            log(
                Event.QUARANTINE_LIFTED,
                service=order.service,
                fingerprint=order.fingerprint,
                operator=order.operator,
            )
        return outcome.found

    async def _on_report(self, request: QuarantineRequest) -> QuarantineReply:
        consensus = self._consensus
        try:
            elapsed_s = self._clock.elapsed_s(
                consensus.term, self._loop.time()
            )
            batch = QuarantineBatch(elapsed_s, request)
            outcome = await consensus.propose(batch)
        except (NotLeaderError, TimeoutError):
            leader = consensus.leader
            address = None if leader is None else leader.grpc_address
            return QuarantineReply(address, None)
        assert isinstance(outcome, Rulings)
        for one in outcome.quarantined:
            _log_quarantined(one)
        return QuarantineReply(None, outcome.rulings)


def _log_quarantined(case: CaseStatus) -> None:
    log(
        Event.QUARANTINED,
        "warning",
        service=case.service,
        fingerprint=case.fingerprint,
        processes=case.processes,
        lasts_s=case.left_s,
    )
