"""Hold one call's life and the words passed between core and daemon."""

from .charts import Chart
from .charts import load_chart
from .rules import Rule

ANSWERED = "answered"
NOT_RUN = "not_run"
LOST = "lost"
CANCELLED = "cancelled"

CALL_CHART = load_chart("call")


class Send:
    """Order one send of a call to an endpoint."""

    __slots__ = (
        "attempt",
        "basis",
        "call_id",
        "endpoint",
        "instance",
        "remaining_s",
    )

    def __init__(
        self,
        call_id: int,
        attempt: int,
        endpoint: str,
        remaining_s: float,
        instance: str = "",
        basis: dict[str, float] | None = None,
    ) -> None:
        self.call_id = call_id
        self.attempt = attempt
        self.endpoint = endpoint
        self.remaining_s = remaining_s
        self.instance = instance
        # What the choice rested on, for the log.
        self.basis = basis or {}


class Refuse:
    """Order the final answer "not run" and when to come back."""

    __slots__ = ("call_id", "reason", "retry_after_s")

    def __init__(
        self, call_id: int, reason: str, retry_after_s: float
    ) -> None:
        self.call_id = call_id
        self.reason = reason
        self.retry_after_s = retry_after_s


class Reject:
    """Order the final answer that no route covers the request."""

    __slots__ = ("call_id", "reason")

    def __init__(self, call_id: int, reason: str) -> None:
        self.call_id = call_id
        self.reason = reason


class Lose:
    """Order the final answer "unknown": the call may have run."""

    __slots__ = ("call_id", "reason")

    def __init__(self, call_id: int, reason: str) -> None:
        self.call_id = call_id
        self.reason = reason


class Finish:
    """Say that the answer of one attempt is the call's answer."""

    __slots__ = ("attempt", "call_id")

    def __init__(self, call_id: int, attempt: int) -> None:
        self.call_id = call_id
        self.attempt = attempt


class Known:
    """Order the answer that the call's idempotency key was used before.

    ``outcome`` is one of the ledger's; ``status`` is that of the answer
    to the first request, where it ran.
    """

    __slots__ = ("call_id", "outcome", "status")

    def __init__(self, call_id: int, outcome: str, status: int) -> None:
        self.call_id = call_id
        self.outcome = outcome
        self.status = status


class Cancel:
    """Order that an attempt's connection be closed; it lost or nobody waits.

    The attempt still ends with a Result, whose outcome is CANCELLED.
    """

    __slots__ = ("attempt", "call_id")

    def __init__(self, call_id: int, attempt: int) -> None:
        self.call_id = call_id
        self.attempt = attempt


class Probe:
    """Order one question to an endpoint about its load, at a path."""

    __slots__ = ("endpoint", "path", "service")

    def __init__(self, service: str, endpoint: str, path: str = "/") -> None:
        self.service = service
        self.endpoint = endpoint
        self.path = path


CallAction = Send | Refuse | Reject | Lose | Finish | Known | Cancel
Action = CallAction | Probe


class Result:
    """Report how one attempt ended.

    ``load`` is the in-flight count the endpoint reported on its answer.
    ``stretch`` is how many times as long as usual work takes there now.
    ``failed`` marks an answer that says the endpoint itself is broken (a
    5xx status that is not "not run"). ``shed`` marks a "not run" that the
    endpoint said; without it the call did not reach the endpoint. ``loss``
    tells how a lost attempt was lost, ``crashed`` that the endpoint's process
    is known to have ended with it.
    """

    __slots__ = (
        "attempt",
        "call_id",
        "crashed",
        "failed",
        "latency_s",
        "load",
        "loss",
        "outcome",
        "shed",
        "stretch",
    )

    def __init__(
        self,
        call_id: int,
        attempt: int,
        outcome: str,
        latency_s: float,
        load: int | None = None,
        failed: bool = False,
        stretch: float | None = None,
        shed: bool = False,
        loss: str = "",
        crashed: bool = False,
    ) -> None:
        self.loss = loss
        self.crashed = crashed
        self.shed = shed
        self.stretch = stretch
        self.call_id = call_id
        self.attempt = attempt
        self.outcome = outcome
        self.latency_s = latency_s
        self.load = load
        self.failed = failed


class Call:
    """Track one call from its arrival to its single outcome."""

    __slots__ = (
        "_arrived_at",
        "_attempts",
        "_call_id",
        "_chart",
        "_deadline_at",
        "_is_retry",
        "_rule",
        "_sent_at",
        "_service",
        "_state",
        "alone",
        "fingerprint",
        "is_first_try",
        "may_have_run",
        "objective_at",
        "outstanding",
        "trial_token",
    )

    def __init__(
        self,
        call_id: int,
        service: str,
        rule: Rule,
        arrived_at: float,
        deadline_s: float,
        is_retry: bool = False,
        fingerprint: str = "",
    ) -> None:
        self._is_retry = is_retry
        self.fingerprint = fingerprint
        # The token by which a suspect may be sent once, or 0, and whether
        # only to an endpoint that runs nothing else.
        self.trial_token = 0
        self.alone = False
        self._chart: Chart = CALL_CHART
        self._call_id = call_id
        self._service = service
        self._rule = rule
        self._arrived_at = arrived_at
        self._deadline_at = arrived_at + deadline_s
        # Until when an answer is of full use.
        self.objective_at = arrived_at + rule.objective_s
        self._state = self._chart.initial
        self._attempts: dict[int, str] = {}
        self._sent_at: dict[int, float] = {}
        # Whether the caller is known not to have tried before.
        self.is_first_try = False
        self.may_have_run = False
        self.outstanding: set[int] = set()

    @property
    def call_id(self) -> int:
        """Give the number the daemon knows the call by."""
        return self._call_id

    @property
    def service(self) -> str:
        """Name the service called."""
        return self._service

    @property
    def rule(self) -> Rule:
        """Give the rule the call falls under."""
        return self._rule

    @property
    def key(self) -> tuple[str, str]:
        """Give what names the request at any entry."""
        return self._service, self.fingerprint

    @property
    def is_retry(self) -> bool:
        """Tell whether a layer above sends the call for a second time."""
        return self._is_retry

    @property
    def arrived_at(self) -> float:
        """Give when the call arrived, in seconds."""
        return self._arrived_at

    @property
    def deadline_at(self) -> float:
        """Give the time after which no answer is of use, in seconds."""
        return self._deadline_at

    @property
    def state(self) -> str:
        """Name the present state of the call chart."""
        return self._state

    @property
    def attempts(self) -> dict[int, str]:
        """Map each attempt's number to the endpoint it went to."""
        return self._attempts

    def step(self, event: str) -> None:
        """Follow the chart; ChartError says the event is not allowed."""
        self._state = self._chart.step(self._state, event)

    def sent_at(self, attempt: int) -> float:
        """Give when an attempt was sent, in seconds."""
        return self._sent_at[attempt]

    def record_send(self, endpoint: str, now: float) -> int:
        """Note a send and return its attempt number, from 1."""
        attempt = len(self._attempts) + 1
        self._attempts[attempt] = endpoint
        self._sent_at[attempt] = now
        self.outstanding.add(attempt)
        return attempt
