"""Name the headers and the gRPC methods, each in one place."""

from nutmegchute_core.attendances import WatchReply
from nutmegchute_core.attendances import WatchRequest
from nutmegchute_core.fleets import FollowReply
from nutmegchute_core.fleets import FollowRequest
from nutmegchute_core.fleets import RelayReply
from nutmegchute_core.formations import Introduction
from nutmegchute_core.messages import Delivery

from .links import Method

ATTEMPT_HEADER = "Nutmegchute-Attempt"
DEADLINE_HEADER = "Nutmegchute-Deadline-Ms"
ENTRY_HEADER = "Nutmegchute-Entry"
KEY_HEADER = "Idempotency-Key"
LOAD_HEADER = "Nutmegchute-Load"
NOT_RUN_HEADER = "Nutmegchute-Not-Run"
OPERATOR_HEADER = "Nutmegchute-Operator"
RAN_STATUS_HEADER = "Nutmegchute-Ran-Status"
SERVICE_KEY_HEADER = "Nutmegchute-Service-Key"
OUTCOME_HEADER = "Nutmegchute-Outcome"

NOT_RUN = "not-run"
UNKNOWN = "unknown"

DELIVER = Method("Replication", "Deliver", Delivery, Delivery)
INTRODUCE = Method("Replication", "Introduce", Introduction, Introduction)
FOLLOW = Method("Configuration", "Follow", FollowRequest, FollowReply)
RELAY = Method("Configuration", "Relay", FollowRequest, RelayReply)
WATCH = Method("Endpoints", "Watch", WatchRequest, WatchReply)
