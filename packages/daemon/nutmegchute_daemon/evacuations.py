"""Serve operators' orders to evacuate availability zones, on the leader."""

from nutmegchute_core.evacuations import EvacuationOrder
from nutmegchute_core.evacuations import EvacuationOutcome

from .consensus import Consensus
from .events import Event
from .events import log


class EvacuationServer:
    """Propose evacuation orders to the replicated log."""

    __slots__ = ("_consensus",)

    def __init__(self, consensus: Consensus) -> None:
        self._consensus = consensus

    async def submit(self, order: EvacuationOrder) -> bool:
        """Propose an order and return whether it changed anything.

        On return the order is committed; each entry applies it with its next
        update.

        :raises NotLeaderError: send the order to the leader
        :raises TimeoutError: the outcome is unknown; send the order again
        """
        outcome = await self._consensus.propose(order)
        assert isinstance(outcome, EvacuationOutcome)
        log(
            Event.EVACUATION_ORDERED,
            availability_zone=order.availability_zone,
            evacuate=order.evacuate,
            operator=order.operator,
            changed=outcome.changed,
        )
        return outcome.changed
