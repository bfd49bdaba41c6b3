"""Take reports of requests that crash endpoints, on the leader."""

import asyncio

from nutmegchute_core.errors import NotLeaderError
from nutmegchute_core.quarantines import CaseStatus
from nutmegchute_core.quarantines import Lift
from nutmegchute_core.quarantines import Lifted
from nutmegchute_core.quarantines import QuarantineBatch
from nutmegchute_core.quarantines import QuarantineReply
from nutmegchute_core.quarantines import QuarantineRequest
from nutmegchute_core.quarantines import Rulings

from .agreements import Agreement
from .claims import LedgerClock
from .events import Event
from .events import log
from .links import Links
from .quarantines import REPORT


class QuarantineServer:
    """Put entries' reports and operators' orders into the log."""

    __slots__ = ("_agreement", "_clock", "_loop")

    def __init__(self, agreement: Agreement, links: Links) -> None:
        self._agreement = agreement
        self._clock = LedgerClock()
        self._loop = asyncio.get_running_loop()
        links.serve(REPORT, self._take)

    async def lift(self, order: Lift) -> bool:
        """Forget a request that crashed endpoints; tell if it was known.

        :raises NotLeaderError: ask the leader instead
        :raises TimeoutError: the outcome is not known
        """
        outcome = await self._agreement.propose(order)
        assert isinstance(outcome, Lifted)
        if outcome.found:
            log(
                Event.QUARANTINE_LIFTED,
                service=order.service,
                fingerprint=order.fingerprint,
                operator=order.operator,
            )
        return outcome.found

    async def _take(self, request: QuarantineRequest) -> QuarantineReply:
        agreement = self._agreement
        try:
            elapsed_s = self._clock.elapsed_s(
                agreement.term, self._loop.time()
            )
            batch = QuarantineBatch(elapsed_s, request)
            outcome = await agreement.propose(batch)
        except (NotLeaderError, TimeoutError):
            leader = agreement.leader
            address = None if leader is None else leader.grpc_address
            return QuarantineReply(address, None)
        assert isinstance(outcome, Rulings)
        for one in outcome.quarantined:
            _report(one)
        return QuarantineReply(None, outcome.rulings)


def _report(case: CaseStatus) -> None:
    log(
        Event.QUARANTINED,
        "warning",
        service=case.service,
        fingerprint=case.fingerprint,
        processes=case.processes,
        lasts_s=case.left_s,
    )
