"""Define what endpoints ask of their callers in answers."""

from .members import ProcessKey


class Notice:
    """Hold what one answer of an endpoint asks of its callers.

    ``process`` gave the answer to a request sent at ``sent_at``, by the
    balancer's clock. ``rate_limit`` is the number of calls a
    second that it takes from all entries together, None if it named none.
    ``rest_s`` is the time for which it wants nothing from this entry, None
    if it did not ask for rest; ``is_leaving`` says that it ends soon.
    ``to_query`` says that it answered a load query, not a call.
    """

    __slots__ = (
        "is_leaving",
        "process",
        "rate_limit",
        "rest_s",
        "sent_at",
        "to_query",
    )

    def __init__(
        self,
        process: ProcessKey,
        sent_at: float,
        rate_limit: float | None = None,
        to_query: bool = False,
        rest_s: float | None = None,
        is_leaving: bool = False,
    ) -> None:
        self.process = process
        self.sent_at = sent_at
        self.rate_limit = rate_limit
        self.rest_s = rest_s
        self.is_leaving = is_leaving
        self.to_query = to_query
