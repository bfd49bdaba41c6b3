"""Take operators' orders about availability zones, on the leader."""

from nutmegchute_core.evacuations import EvacuationOrder
from nutmegchute_core.evacuations import EvacuationOutcome

from .agreements import Agreement
from .events import Event
from .events import log


class EvacuationServer:
    """Put orders to evacuate availability zones into the log."""

    __slots__ = ("_agreement",)

    def __init__(self, agreement: Agreement) -> None:
        self._agreement = agreement

    async def submit(self, order: EvacuationOrder) -> bool:
        """Give an order; tell if it changed anything.

        It cannot be lost any more when this returns, and every entry heeds
        it as soon as it has heard of it.

        :raises NotLeaderError: ask the leader instead
        :raises TimeoutError: the outcome is not known; send it again
        """
        outcome = await self._agreement.propose(order)
        assert isinstance(outcome, EvacuationOutcome)
        log(
            Event.EVACUATION_ORDERED,
            availability_zone=order.availability_zone,
            evacuate=order.evacuate,
            operator=order.operator,
            changed=outcome.changed,
        )
        return outcome.changed
