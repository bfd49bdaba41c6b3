"""Say which headers carry what decisions need of a call."""

from collections.abc import Callable

from urllib3 import HTTPHeaderDict

from .answers import AnswerFormat
from .exchanges import StrictRequest
from .pending_calls import PendingCall
from .protocols import ATTEMPT_HEADER
from .protocols import DEADLINE_HEADER
from .readers import read_call

# Returns, for a host and a path, how many bytes of a body are buffered.
BufferLimit = Callable[[str, str], int]


class CallFormat(AnswerFormat):
    """Read calls and write attempts in the product's own form."""

    __slots__ = ()

    def read(
        self, http: StrictRequest, body_bytes: int, buffer_limit: BufferLimit
    ) -> PendingCall:
        """Read a call from a request.

        ``body_bytes`` limits its body; ``buffer_limit`` returns how many bytes
        of it are read before an endpoint is chosen.

        :raises BadRequestError: it cannot be taken as it is
        :raises BadBodyError: its body cannot be read
        """
        path = http.uri.partition(b"?")[0].decode("latin-1")
        return read_call(http, body_bytes, buffer_limit("", path))

    def attempt_headers(
        self, call: PendingCall, attempt: int, remaining_ms: int, instance: str
    ) -> HTTPHeaderDict:
        """Give the headers of one attempt."""
        headers = call.request.headers.copy()
        # A mark that ended here would let each of 16 layers retry anew:
        # one failing service at the bottom, 2 to the 16th calls to it.
        headers[ATTEMPT_HEADER] = str(max(call.arrival.attempt, attempt))
        headers[DEADLINE_HEADER] = str(remaining_ms)
        return headers

    def retry_after(self, delay_s: float) -> str:
        """Write when a refused caller should come back."""
        return str(max(1, round(delay_s)))

    def entry_headers(self, http: StrictRequest) -> list[tuple[str, str]]:
        """Give the headers that an answer of this entry's own bears."""
        return []
