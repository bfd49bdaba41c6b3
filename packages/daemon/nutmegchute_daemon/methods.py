"""Name the gRPC methods that several roles speak.

Methods of control alone stand with what serves them: their messages bring
the whole of the control state with them.
"""

from nutmegchute_core.attendances import WatchReply
from nutmegchute_core.attendances import WatchRequest
from nutmegchute_core.fleets import FollowReply
from nutmegchute_core.fleets import FollowRequest
from nutmegchute_core.fleets import RelayReply

from .links import Method

FOLLOW = Method("Configuration", "Follow", FollowRequest, FollowReply)
RELAY = Method("Configuration", "Relay", FollowRequest, RelayReply)
WATCH = Method("Endpoints", "Watch", WatchRequest, WatchReply)
