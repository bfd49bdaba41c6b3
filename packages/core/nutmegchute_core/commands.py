"""Define the commands of the replicated log."""

import msgspec

from .claims import ClaimBatch
from .evacuations import EvacuationOrder
from .follow_protocol import Enroll
from .follow_protocol import Withdraw
from .memberships import Reconfigure
from .quarantines import Lift
from .quarantines import QuarantineBatch
from .trees import Change
from .trees import Refusal


class NoOp(msgspec.Struct, frozen=True, tag=True):
    """Start a leader's term, so that entries of earlier terms commit."""


Command = (
    Change
    | Refusal
    | Reconfigure
    | Enroll
    | Withdraw
    | ClaimBatch
    | QuarantineBatch
    | Lift
    | EvacuationOrder
    | NoOp
)
