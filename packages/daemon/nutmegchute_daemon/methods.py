"""Define the gRPC methods that several roles use.

Methods used only between control replicas are defined where they are served:
importing their messages would import the whole control state.
"""

from nutmegchute_core.follow_protocol import FollowReply
from nutmegchute_core.follow_protocol import FollowRequest
from nutmegchute_core.follow_protocol import RelayReply
from nutmegchute_core.limit_boards import LimitReports
from nutmegchute_core.peers import Acknowledgement
from nutmegchute_core.peers import Confirmation
from nutmegchute_core.peers import PeerReply
from nutmegchute_core.peers import PeerRequest
from nutmegchute_core.quotas import QuotaReply
from nutmegchute_core.quotas import QuotaRequest
from nutmegchute_core.sessions import WatchReply
from nutmegchute_core.sessions import WatchRequest
from nutmegchute_core.transfers import PartReply
from nutmegchute_core.transfers import PartRequest

from .links import Method

FOLLOW = Method("Configuration", "Follow", FollowRequest, FollowReply)
RELAY = Method("Configuration", "Relay", FollowRequest, RelayReply)
FETCH = Method("Configuration", "Fetch", PartRequest, PartReply)
WATCH = Method("Endpoints", "Watch", WatchRequest, WatchReply)
PEER = Method("Endpoints", "Peer", PeerRequest, PeerReply)
REPORT_LIMITS = Method(
    "Endpoints", "ReportLimits", LimitReports, Acknowledgement
)
ASK = Method("Quotas", "Ask", QuotaRequest, QuotaReply)
SEEN = Method("Endpoints", "Seen", Confirmation, Acknowledgement)
