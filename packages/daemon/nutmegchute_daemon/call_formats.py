"""Read calls and write attempts with the headers that describe a call."""

from collections.abc import Callable

from urllib3 import HTTPHeaderDict

from .answers import AnswerFormat
from .exchanges import StrictRequest
from .pending_calls import PendingCall
from .protocols import ATTEMPT_HEADER
from .protocols import ATTEMPT_ID_HEADER
from .protocols import DEADLINE_HEADER
from .protocols import ORGANISATION_HEADER
from .readers import CALL_PATH
from .readers import read_call

# Returns, for a host and a path, how many bytes of a body are buffered.
BufferLimit = Callable[[str, str], int]


class CallFormat(AnswerFormat):
    """Read calls and write attempts with the product's own headers."""

    __slots__ = ()

    # The header that names the caller's organisation to upstreams.
    organisation_header = ORGANISATION_HEADER

    def read(
        self, http: StrictRequest, body_bytes: int, buffer_limit: BufferLimit
    ) -> PendingCall:
        """Read a call from a request.

        ``body_bytes`` limits its body; ``buffer_limit`` returns how many bytes
        of it are read before an endpoint is chosen.

        :raises BadRequestError: the request is malformed
        :raises BadBodyError: its body cannot be read
        """
        path = http.uri.partition(b"?")[0].decode("latin-1")
        return read_call(http, body_bytes, buffer_limit("", path))

    def attempt_headers(
        self, call: PendingCall, attempt: int, remaining_ms: int, instance: str
    ) -> HTTPHeaderDict:
        """Return the headers of one attempt."""
        headers = call.request.headers.copy()
        # If the attempt number were not forwarded, each of 16 layers could
        # retry: a failing service behind them would get 2 to the 16th calls.
        headers[ATTEMPT_HEADER] = str(max(call.arrival.attempt, attempt))
        headers[DEADLINE_HEADER] = str(remaining_ms)
        # Connections outlive calls but not the process that numbers these.
        headers[ATTEMPT_ID_HEADER] = f"{call.call_id}.{attempt}"
        return headers

    def relayed_headers(
        self, call: PendingCall, remaining_ms: int
    ) -> HTTPHeaderDict:
        """Return the headers of a call that another entry is to serve."""
        headers = call.request.headers.copy()
        headers[DEADLINE_HEADER] = str(remaining_ms)
        return headers

    def relayed_target(self, call: PendingCall) -> str:
        """Return the target of a call that another entry is to serve."""
        service = call.arrival.service
        return f"{CALL_PATH.decode()}{service}{call.request.target}"

    def retry_after(self, delay_s: float) -> str:
        """Format the delay after which a refused caller may retry."""
        return str(max(1, round(delay_s)))

    def entry_headers(self, http: StrictRequest) -> list[tuple[str, str]]:
        """Return the extra headers of answers made by this entry."""
        return []
