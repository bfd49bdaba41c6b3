"""Define calls and the actions and results that core and daemon exchange."""

from typing import Any

from .charts import Chart
from .charts import load_chart
from .evidence import Evidence
from .evidence import UNSENT
from .members import ProcessKey
from .notices import Notice
from .organisations import Organisation
from .reachability import LinkCheck
from .rules import Rule

ANSWERED = "answered"
NOT_RUN = "not_run"
LOST = "lost"
CANCELLED = "cancelled"
# Loss of an attempt whose connection the endpoint closed.
CLOSED = "closed"
# Loss of an attempt whose caller did not send the rest of the body.
CUT_SHORT = "body cut short"

CALL_CHART = load_chart("call")


class Send:
    """Send one attempt of a call to an endpoint."""

    __slots__ = (
        "attempt",
        "basis",
        "call_id",
        "endpoint",
        "process_key",
        "remaining_s",
        "sent_at",
    )

    def __init__(
        self,
        call_id: int,
        attempt: int,
        endpoint: str,
        remaining_s: float,
        process_key: ProcessKey | None = None,
        basis: dict[str, Any] | None = None,
        sent_at: float = 0.0,
    ) -> None:
        self.call_id = call_id
        self.attempt = attempt
        self.endpoint = endpoint
        self.remaining_s = remaining_s
        self.process_key = process_key or (endpoint, "", 0)
        # By the balancer's clock, in seconds.
        self.sent_at = sent_at
        # The data behind the choice of endpoint, for the log.
        self.basis = basis or {}

    @property
    def instance(self) -> str:
        """Return the name of the endpoint's instance, empty if unnamed."""
        return self.process_key[1]


class Relay(Send):
    """Send a call to another entry, which serves it.

    ``token`` shows that entry who sends it. ``may_have_run`` says that an
    endpoint may have run the call, so that it counts as a retry.
    """

    __slots__ = ("may_have_run", "token")

    def __init__(
        self,
        call_id: int,
        attempt: int,
        endpoint: str,
        remaining_s: float,
        basis: dict[str, Any],
        sent_at: float,
        token: str,
        may_have_run: bool,
    ) -> None:
        super().__init__(
            call_id,
            attempt,
            endpoint,
            remaining_s,
            basis=basis,
            sent_at=sent_at,
        )
        self.token = token
        self.may_have_run = may_have_run


class Refusal:
    """Hold why a helper refused a call, as its answer says.

    ``elsewhere`` says that the reason lies at this helper alone, ``brief``
    that it may serve the next call.
    """

    __slots__ = ("brief", "elsewhere", "reason", "retry_after_s", "status")

    def __init__(
        self,
        status: int,
        reason: str,
        retry_after_s: float,
        elsewhere: bool = False,
        brief: bool = False,
    ) -> None:
        self.brief = brief
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s
        self.elsewhere = elsewhere


class Refuse:
    """Answer "not run", with the time to wait before a retry.

    ``ahead`` is about how many queued calls went before a call of an
    organisation, ``priority`` that of the organisation; None for others.
    ``elsewhere`` says that another entry may serve the call at once.
    """

    __slots__ = (
        "ahead",
        "call_id",
        "elsewhere",
        "priority",
        "reason",
        "retry_after_s",
    )

    def __init__(
        self, call_id: int, reason: str, retry_after_s: float
    ) -> None:
        self.call_id = call_id
        self.reason = reason
        self.retry_after_s = retry_after_s
        self.ahead: int | None = None
        self.priority: int | None = None
        self.elsewhere = False


class Reject:
    """Answer that no route matches the request."""

    __slots__ = ("call_id", "reason")

    def __init__(self, call_id: int, reason: str) -> None:
        self.call_id = call_id
        self.reason = reason


class Deny:
    """Answer that the caller's key is not valid."""

    __slots__ = ("call_id", "reason")

    def __init__(self, call_id: int, reason: str) -> None:
        self.call_id = call_id
        self.reason = reason


class Throttle:
    """Answer that the quota of the caller's organisation is used up."""

    __slots__ = ("call_id", "reason", "retry_after_s")

    def __init__(
        self, call_id: int, reason: str, retry_after_s: float
    ) -> None:
        self.call_id = call_id
        self.reason = reason
        self.retry_after_s = retry_after_s


class Lose:
    """Answer "unknown": the call may have run."""

    __slots__ = ("call_id", "reason")

    def __init__(self, call_id: int, reason: str) -> None:
        self.call_id = call_id
        self.reason = reason


class Finish:
    """Return the answer of one attempt to the caller."""

    __slots__ = ("attempt", "call_id")

    def __init__(self, call_id: int, attempt: int) -> None:
        self.call_id = call_id
        self.attempt = attempt


class Known:
    """Answer that the call's idempotency key has been used before.

    ``outcome`` is the outcome in the ledger; ``status`` is the status of
    the answer to the first request, if it ran.
    """

    __slots__ = ("call_id", "outcome", "status")

    def __init__(self, call_id: int, outcome: str, status: int) -> None:
        self.call_id = call_id
        self.outcome = outcome
        self.status = status


class Cancel:
    """Close the connection of an attempt whose answer is not needed.

    The attempt still ends with a Result, whose outcome is CANCELLED.
    """

    __slots__ = ("attempt", "call_id")

    def __init__(self, call_id: int, attempt: int) -> None:
        self.call_id = call_id
        self.attempt = attempt


class Probe:
    """Request an endpoint's load report at a path.

    ``is_fresh`` requests it over a new connection: there the answer is known
    to be that of the query even if it does not name it.
    """

    __slots__ = (
        "endpoint",
        "is_fresh",
        "path",
        "process_key",
        "sent_at",
        "service",
    )

    def __init__(
        self,
        service: str,
        endpoint: str,
        path: str = "/",
        process_key: ProcessKey | None = None,
        sent_at: float = 0.0,
        is_fresh: bool = False,
    ) -> None:
        self.is_fresh = is_fresh
        self.sent_at = sent_at
        self.service = service
        self.endpoint = endpoint
        self.path = path
        self.process_key = process_key or (endpoint, "", 0)


# The final answers that say "not run".
UnrunAction = Refuse | Throttle | Deny | Reject
CallAction = Send | UnrunAction | Lose | Finish | Known | Cancel
Action = CallAction | Probe | LinkCheck


class Result:
    """Report how one attempt ended.

    ``load`` is the number of calls in flight that the endpoint reported.
    ``stretch`` is the present service time there as a multiple of the
    usual. ``failed`` marks an answer that shows a broken endpoint (a 5xx
    status other than "not run"). ``shed`` marks a "not run" sent by the
    endpoint; without it the call did not reach the endpoint. ``loss`` says
    how an attempt was lost or why no connection could be opened, ``reused``
    that it used a connection that was open before it, ``crashed`` that the
    endpoint's process is known to have ended with it. ``notice`` is what the
    endpoint's answer asks of its callers, None without an answer.
    ``refusal`` is that of a helper, None without one. ``status`` is that of
    the answer, 0 without one; ``naming`` says whether the answer names the
    request. ``carried`` is the number of requests that the connection had
    carried before, None without a connection, ``strays`` that of late answers
    to them which came before this one. ``evidence`` shows that the
    attempt did not run, None without such evidence.
    """

    __slots__ = (
        "attempt",
        "call_id",
        "carried",
        "crashed",
        "evidence",
        "failed",
        "latency_s",
        "load",
        "loss",
        "naming",
        "notice",
        "outcome",
        "refusal",
        "reused",
        "shed",
        "status",
        "strays",
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
        notice: Notice | None = None,
        reused: bool = False,
        refusal: Refusal | None = None,
        status: int = 0,
        naming: str = "",
        carried: int | None = None,
        evidence: Evidence | None = None,
        strays: int = 0,
    ) -> None:
        self.evidence = evidence
        self.strays = strays
        self.status = status
        self.naming = naming
        self.carried = carried
        self.refusal = refusal
        self.notice = notice
        self.loss = loss
        self.reused = reused
        self.crashed = crashed
        self.shed = shed
        self.stretch = stretch
        self.call_id = call_id
        self.attempt = attempt
        self.outcome = outcome
        self.latency_s = latency_s
        self.load = load
        self.failed = failed

    @property
    def reached(self) -> bool:
        """Return whether the endpoint answered at all."""
        if self.outcome == ANSWERED or self.shed:
            return True
        return self.notice is not None

    @property
    def shows_unrun(self) -> bool:
        """Return whether evidence shows that this attempt did not run."""
        if self.outcome not in (NOT_RUN, CANCELLED) or self.evidence is None:
            return False
        return self.evidence.names(self.call_id, self.attempt)

    @property
    def is_untried(self) -> bool:
        """Return whether the attempt ended before it could fail.

        No thread was free for it, the body could not be sent again, or no
        time was left. It says nothing about its endpoint.
        """
        if not self.shows_unrun or self.loss:
            return False
        return self.evidence is not None and self.evidence.kind == UNSENT


class Call:
    """Track one call from its arrival to its single outcome.

    Each attempt may have run, until evidence of its own shows otherwise.
    """

    __slots__ = (
        "_arrived_at",
        "_attempts",
        "_call_id",
        "_chart",
        "_deadline_at",
        "_is_retry",
        "_may_have_run",
        "_outstanding",
        "_rule",
        "_sent_at",
        "_service",
        "_state",
        "alone",
        "fingerprint",
        "helpers",
        "is_first_try",
        "is_relayed",
        "is_withdrawn",
        "objective_at",
        "organisation",
        "requery_pending",
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
        organisation: Organisation | None = None,
    ) -> None:
        self._is_retry = is_retry
        # The organisation of the caller, None where calls need no key.
        self.organisation = organisation
        # Whether the caller's key is no longer valid: no further sends.
        self.is_withdrawn = False
        self.fingerprint = fingerprint
        # A suspect's token for one trial, or 0; alone restricts the trial
        # to an endpoint with no other calls.
        self.trial_token = 0
        self.alone = False
        self._chart: Chart = CALL_CHART
        self._call_id = call_id
        self._service = service
        self._rule = rule
        self._arrived_at = arrived_at
        self._deadline_at = arrived_at + deadline_s
        # An answer after this time misses the rule's latency objective.
        self.objective_at = arrived_at + rule.objective_s
        self._state = self._chart.initial
        self._attempts: dict[int, str] = {}
        self._sent_at: dict[int, float] = {}
        # Whether the caller is known not to have sent the request before.
        self.is_first_try = False
        # Whether an attempt has ended without evidence that it did not run.
        self._may_have_run = False
        self._outstanding: set[int] = set()
        # Whether another entry, which is cut off, passed the call on.
        self.is_relayed = False
        # Names of the entries that the call was passed to.
        self.helpers: list[str] = []
        # Whether a timer will query endpoints again for the queued call.
        self.requery_pending = False

    @property
    def call_id(self) -> int:
        """Return the call's id, shared with the daemon."""
        return self._call_id

    @property
    def service(self) -> str:
        """Return the name of the service called."""
        return self._service

    @property
    def rule(self) -> Rule:
        """Return the rule that applies to the call."""
        return self._rule

    @property
    def key(self) -> tuple[str, str]:
        """Return the request's key, the same at every entry."""
        return self._service, self.fingerprint

    @property
    def is_retry(self) -> bool:
        """Return whether a layer in front is already retrying the call."""
        return self._is_retry

    @property
    def arrived_at(self) -> float:
        """Return when the call arrived, in seconds."""
        return self._arrived_at

    @property
    def deadline_at(self) -> float:
        """Return the time after which an answer is useless, in seconds."""
        return self._deadline_at

    @property
    def state(self) -> str:
        """Return the current state of the state machine."""
        return self._state

    @property
    def attempts(self) -> dict[int, str]:
        """Return the endpoint of each attempt, by attempt number."""
        return self._attempts

    @property
    def outstanding(self) -> frozenset[int]:
        """Return the attempts whose end is not known."""
        return frozenset(self._outstanding)

    @property
    def may_have_run(self) -> bool:
        """Return whether an attempt that has ended may have run."""
        return self._may_have_run

    @property
    def is_unrun(self) -> bool:
        """Return whether no attempt has run or can still run.

        Only then may the caller be told so, and may a call that is not
        idempotent be sent again.
        """
        return not self._may_have_run and not self._outstanding

    def step(self, event: str) -> None:
        """Apply an event; raise ChartError if the state does not allow it."""
        self._state = self._chart.step(self._state, event)

    def enter_relay(self) -> None:
        """Apply the events that lead to a send, from any open state."""
        if self._state == "admitted":
            self.step("queue")
        elif self._state == "sent":
            self.step("retry")
        self.step("send")

    def sent_at(self, attempt: int) -> float:
        """Return when an attempt was sent, in seconds."""
        return self._sent_at[attempt]

    def record_send(self, endpoint: str, now: float) -> int:
        """Record a send and return its attempt number, counted from 1."""
        attempt = len(self._attempts) + 1
        self._attempts[attempt] = endpoint
        self._sent_at[attempt] = now
        self._outstanding.add(attempt)
        return attempt

    def end_attempt(self, result: Result) -> None:
        """Record how an outstanding attempt ended.

        "Not run" without the evidence of this attempt becomes a loss.
        """
        self._outstanding.remove(result.attempt)
        if result.shows_unrun:
            return
        self._may_have_run = True
        if result.outcome == NOT_RUN:
            result.outcome = LOST
            result.shed = False

    def cancel_attempts(self) -> list[int]:
        """Record that the outstanding attempts are cancelled; return them.

        Nothing shows that the endpoints do not run them.
        """
        cancelled = sorted(self._outstanding)
        self._outstanding.clear()
        if cancelled:
            self._may_have_run = True
        return cancelled
