"""Name the headers and the gRPC methods, each in one place."""

from nutmegchute_core.fleets import FollowReply
from nutmegchute_core.fleets import FollowRequest
from nutmegchute_core.members import Gossip
from nutmegchute_core.replicas import Message

from .links import Method

ATTEMPT_HEADER = "Nutmegchute-Attempt"
DEADLINE_HEADER = "Nutmegchute-Deadline-Ms"
ENTRY_HEADER = "Nutmegchute-Entry"
KEY_HEADER = "Idempotency-Key"
LOAD_HEADER = "Nutmegchute-Load"
NOT_RUN_HEADER = "Nutmegchute-Not-Run"
OPERATOR_HEADER = "Nutmegchute-Operator"
OUTCOME_HEADER = "Nutmegchute-Outcome"

NOT_RUN = "not-run"
UNKNOWN = "unknown"

DELIVER = Method("Replication", "Deliver", Message, None)
FOLLOW = Method("Configuration", "Follow", FollowRequest, FollowReply)
EXCHANGE = Method("Membership", "Exchange", Gossip, Gossip)
