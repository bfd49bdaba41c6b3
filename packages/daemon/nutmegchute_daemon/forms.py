"""Say which headers carry what decisions need of a call."""

from collections.abc import Callable

from urllib3 import HTTPHeaderDict

from .answers import AnswerForm
from .exchanges import StrictRequest
from .protocols import ATTEMPT_HEADER
from .protocols import DEADLINE_HEADER
from .readers import read_call
from .tickets import Ticket

# Tells, by host and path, how many bytes of a body are kept.
Kept = Callable[[str, str], int]


class CallForm(AnswerForm):
    """Read calls and write attempts in the product's own form."""

    __slots__ = ()

    def read(self, http: StrictRequest, body_bytes: int, kept: Kept) -> Ticket:
        """Read a call and open its ticket.

        ``body_bytes`` bounds its body; ``kept`` tells by host and path how
        much of one is read before the call is placed.

        :raises BadRequestError: it cannot be taken as it is
        :raises BadBodyError: its body cannot be read
        """
        path = http.uri.partition(b"?")[0].decode("latin-1")
        return read_call(http, body_bytes, kept("", path))

    def outgoing(
        self, ticket: Ticket, attempt: int, remaining_ms: int, instance: str
    ) -> HTTPHeaderDict:
        """Give the headers of one attempt."""
        headers = ticket.request.headers.copy()
        # A mark that ended here would let each of 16 layers retry anew:
        # one failing service at the bottom, 2 to the 16th calls to it.
        headers[ATTEMPT_HEADER] = str(max(ticket.arrival.attempt, attempt))
        headers[DEADLINE_HEADER] = str(remaining_ms)
        return headers

    def retry_after(self, delay_s: float) -> str:
        """Write when a refused caller should come back."""
        return str(max(1, round(delay_s)))

    def own_headers(self, http: StrictRequest) -> list[tuple[str, str]]:
        """Give the headers that an answer of this entry's own bears."""
        return []
