"""Read an endpoint's reports on the call and on itself from its answer."""

import time
from email.utils import parsedate_to_datetime
from math import nan

from nutmegchute_core.calls import Refusal
from nutmegchute_core.evidence import REJECTED
from urllib3 import HTTPHeaderDict
from urllib3.response import HTTPResponse

from .errors import DaemonError
from .protocols import ATTEMPT_ID_HEADER
from .protocols import DRAINING_HEADER
from .protocols import ENTRY_HEADER
from .protocols import LIMIT_HEADER
from .protocols import LOAD_HEADER
from .protocols import NOT_RUN_HEADER
from .protocols import OUTCOME_HEADER
from .protocols import RAN_STATUS_HEADER
from .protocols import RELAY_PREFIX

# No endpoint takes more calls a second; a higher limit is no limit.
MAX_RATE_LIMIT_PER_S = 1e6

# Rest of an endpoint whose Retry-After cannot be read, and the longest rest
# that is taken from a header; a longer one is an error.
UNREADABLE_REST_S = 1.0
MAX_REST_S = 600.0

# The statuses of an endpoint that sheds. "Not run" with any other status
# cannot be true.
SHED_STATUSES = frozenset({429, 503})

# How an answer names the request that it belongs to.
NAMES_REQUEST = "this request"
NAMES_ANOTHER = "another request"
NAMES_NONE = "no request"
NAMES_SEVERAL = "several requests"

# Headers that only the entry may send to a caller. Forwarded from an
# upstream, they would claim what the upstream cannot know.
ENTRY_HEADERS = frozenset(
    name.lower()
    for name in (
        ENTRY_HEADER,
        ATTEMPT_ID_HEADER,
        NOT_RUN_HEADER,
        OUTCOME_HEADER,
        RAN_STATUS_HEADER,
    )
)


class BrokenAnswerError(DaemonError):
    """Report an answer that broke off or cannot be trusted."""


class UnprovenRefusalError(BrokenAnswerError):
    """Report a refusal that does not prove that the call did not run."""


class AnswerFormat:
    """Read an endpoint's reports on the call and on itself from its answer.

    This class reads the product's own headers; another set of headers needs
    another class with the same methods.
    """

    __slots__ = ()

    # The header with which requests and answers name the attempt.
    name_header = ATTEMPT_ID_HEADER

    def read_evidence(
        self, sent: HTTPHeaderDict, response: HTTPResponse
    ) -> str:
        """Return the kind of evidence that the call did not run, or none.

        ``sent`` are the headers of the request that the answer follows on
        its connection.

        :raises UnprovenRefusalError: it says "not run" and names no request
        :raises BrokenAnswerError: it answers another request or reports
            what cannot be true
        """
        naming = self.naming(sent, response)
        if naming in (NAMES_ANOTHER, NAMES_SEVERAL):
            raise BrokenAnswerError(f"answer that names {naming}")
        if NOT_RUN_HEADER not in response.headers:
            return ""
        if response.status not in SHED_STATUSES:
            return ""
        if naming != NAMES_REQUEST:
            raise UnprovenRefusalError("refusal that names no request")
        return REJECTED

    def request_name(self, headers: HTTPHeaderDict) -> str | None:
        """Return the name that answers must repeat, None without one."""
        name: str | None = headers.get(self.name_header)
        return name

    def naming(self, sent: HTTPHeaderDict, response: HTTPResponse) -> str:
        """Return how the answer names its request.

        It is empty where neither has a name, as for load queries.
        """
        received = response.headers.getlist(self.name_header)
        return compare_names(self.request_name(sent), received)

    def is_misdirected(self, response: HTTPResponse) -> bool:
        """Return whether another process has the endpoint's address now."""
        return False

    def load(self, headers: HTTPHeaderDict) -> int | None:
        """Return the in-flight count that the endpoint reports."""
        load = headers.get(LOAD_HEADER, "")
        return int(load) if load.isdecimal() and len(load) < 10 else None

    def stretch(self, headers: HTTPHeaderDict) -> float | None:
        """Return the present service time as a multiple of the usual."""
        return None

    def cold_s(self, headers: HTTPHeaderDict) -> float | None:
        """Return how long the endpoint stays cold, in seconds."""
        return None

    def rate_limit(self, headers: HTTPHeaderDict) -> float | None:
        """Return the calls a second that the endpoint takes, if limited."""
        return read_rate_limit(headers.get(LIMIT_HEADER))

    def rest_s(self, response: HTTPResponse) -> float | None:
        """Return for how long the endpoint wants nothing from this entry.

        That is None unless the endpoint turned the request away and says
        when it may be sent again.
        """
        if response.status not in SHED_STATUSES:
            return None
        text = response.headers.get("retry-after")
        return None if text is None else read_rest_s(text, time.time())

    def refusal(self, response: HTTPResponse) -> Refusal | None:
        """Return why another entry refused a call, None for endpoints."""
        return None

    def is_leaving(self, headers: HTTPHeaderDict) -> bool:
        """Return whether the endpoint says that it ends soon."""
        return headers.get(DRAINING_HEADER) == "1"

    def is_forwarded(self, name: str) -> bool:
        """Return whether a header, in lower case, is forwarded to callers."""
        if name.startswith(RELAY_PREFIX):
            return False
        return name not in ENTRY_HEADERS


def compare_names(sent: str | None, received: list[str]) -> str:
    """Return how an answer names its request, by the ids that it has."""
    if not received:
        return "" if sent is None else NAMES_NONE
    if received == [""]:
        return NAMES_NONE
    if len(received) > 1:
        return NAMES_SEVERAL
    return NAMES_REQUEST if received[0] == sent else NAMES_ANOTHER


def read_rate_limit(text: str | None) -> float | None:
    """Return a limit in calls a second; None if there is no valid one."""
    if text is None:
        return None
    try:
        limit = float(text)
    except ValueError:
        return None
    return min(limit, MAX_RATE_LIMIT_PER_S) if limit >= 0 else None


def read_rest_s(text: str, now: float) -> float:
    """Return the seconds in a Retry-After header (RFC 9110, 10.2.3).

    ``now`` is the Unix time, for a header that holds a date. A fraction of a
    second is accepted.
    """
    try:
        rest_s = float(text)
    except ValueError:
        rest_s = _seconds_until(text, now)
    if not rest_s >= 0:
        return UNREADABLE_REST_S
    return min(rest_s, MAX_REST_S)


def _seconds_until(date: str, now: float) -> float:
    try:
        return max(0.0, parsedate_to_datetime(date).timestamp() - now)
    except (ValueError, OverflowError):
        return nan
