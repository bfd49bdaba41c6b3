"""Read what an endpoint's answer says of the call and of itself."""

from urllib3 import HTTPHeaderDict
from urllib3.response import HTTPResponse

from .errors import DaemonError
from .protocols import ENTRY_HEADER
from .protocols import LOAD_HEADER
from .protocols import NOT_RUN_HEADER
from .protocols import OUTCOME_HEADER
from .protocols import RAN_STATUS_HEADER

# An endpoint that sheds says so with one of these. "Not run" beside an
# answer of another kind cannot be true.
SHED_STATUSES = frozenset({429, 503})

# Only the entry says these to a caller; an upstream that says them would
# be believed about something it does not know.
OWN_HEADERS = frozenset(
    name.lower()
    for name in (
        ENTRY_HEADER,
        NOT_RUN_HEADER,
        OUTCOME_HEADER,
        RAN_STATUS_HEADER,
    )
)


class BrokenAnswerError(DaemonError):
    """Say that an answer ended before its end."""


class AnswerFormat:
    """Read what an endpoint's answer says of the call and of itself.

    This is the product's own form; another set of headers is another
    class with the same methods.
    """

    __slots__ = ()

    def not_run(self, response: HTTPResponse) -> bool:
        """Tell whether the answer says that the call did not run."""
        return (
            NOT_RUN_HEADER in response.headers
            and response.status in SHED_STATUSES
        )

    def check(self, sent: HTTPHeaderDict, response: HTTPResponse) -> None:
        """Look for signs that the answer is not that of what was sent.

        :raises BrokenAnswerError: it is another's, or promises what is false
        """

    def is_misdirected(self, response: HTTPResponse) -> bool:
        """Tell whether another process has the endpoint's address now."""
        return False

    def load(self, headers: HTTPHeaderDict) -> int | None:
        """Give the in-flight count that the endpoint reports."""
        load = headers.get(LOAD_HEADER, "")
        return int(load) if load.isdecimal() and len(load) < 10 else None

    def stretch(self, headers: HTTPHeaderDict) -> float | None:
        """Give how many times as long as usual work takes there now."""
        return None

    def cold_s(self, headers: HTTPHeaderDict) -> float | None:
        """Give for how many seconds more the endpoint is cold."""
        return None

    def is_forwarded(self, name: str) -> bool:
        """Tell whether a header, in small letters, is for the caller."""
        return name not in OWN_HEADERS
