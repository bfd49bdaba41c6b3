"""Check invariants of one balancer under random events."""

from collections import Counter

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import invariant
from hypothesis.stateful import rule as step
from hypothesis.stateful import RuleBasedStateMachine
from nutmegchute_core.balancers import Balancer
from nutmegchute_core.budgets import EXTRA_SHARE
from nutmegchute_core.budgets import EXTRA_START
from nutmegchute_core.calls import Action
from nutmegchute_core.calls import ANSWERED
from nutmegchute_core.calls import Cancel
from nutmegchute_core.calls import Finish
from nutmegchute_core.calls import Lose
from nutmegchute_core.calls import LOST
from nutmegchute_core.calls import NOT_RUN
from nutmegchute_core.calls import Probe
from nutmegchute_core.calls import Refuse
from nutmegchute_core.calls import Result
from nutmegchute_core.calls import Send
from nutmegchute_core.members import DRAINING
from nutmegchute_core.members import UP
from nutmegchute_core.reachability import LinkCheck
from nutmegchute_core.rules import read_services
from support import announcement
from support import build_result
from support import rule

SLOTS = 2
PROBES_PER_S = 8.0
MOST_ENTRIES = 2
METHODS = ("GET", "POST", "PUT")
RULES = [
    rule(name="loan", method="POST", idempotent=False, priority="action"),
    rule(name="sync", method="PUT", priority="background"),
    rule(name="lookup", method="GET", hedge=True, deadline_ms=500),
]
ADDRESSES = [f"{number}:1" for number in range(20)]
STATES = (UP, DRAINING, "gone", "restarted")


class ModelCall:
    """Record the attempts and the outcome of one call."""

    def __init__(self, method: str, repeated: bool) -> None:
        self.method = method
        self.repeated = repeated
        self.sent: dict[int, tuple[str, int, int]] = {}
        self.out: set[int] = set()
        self.may_have_run = False
        self.ended: Action | None = None


class BalancerMachine(RuleBasedStateMachine):
    """Generate calls, answers, losses, probes and upstreams in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.balancer = Balancer(seed=3, availability_zone="surco")
        service = {
            "slots": SLOTS,
            "queue": 8,
            "probes_per_s": PROBES_PER_S,
            "most_entries": MOST_ENTRIES,
            "rules": RULES,
        }
        documents = {"lending": {"services": {"catalogo": service}}}
        self.services = read_services(documents)
        self.balancer.configure(self.services, 0.0)
        self.calls: dict[int, ModelCall] = {}
        self.live = dict.fromkeys(ADDRESSES[:3], (UP, 1))
        self.returns: Counter[str] = Counter()
        self.probes: list[float] = []
        self.extra = 0
        self.admitted = 0
        self.announce()

    def announce(self) -> None:
        """Send the live endpoints to the balancer."""
        found = [
            announcement(
                address, slots=SLOTS, state=state, incarnation=incarnation
            )
            for address, (state, incarnation) in self.live.items()
        ]
        self.perform(self.balancer.update_upstreams(found, self.now))

    def perform(self, actions: list[Action]) -> None:
        """Check each action and apply it to the model."""
        for action in actions:
            if isinstance(action, Probe):
                assert self.live[action.endpoint][0] == UP
                self.add_probe(action)
                continue
            if isinstance(action, LinkCheck):
                assert self.live[action.endpoint][0] == UP
                continue
            call = self.calls[action.call_id]
            if isinstance(action, Cancel):
                call.out.discard(action.attempt)
                call.may_have_run = True
                continue
            assert call.ended is None
            if isinstance(action, Send):
                self.check_send(call, action)
                continue
            call.ended = action
            if isinstance(action, Refuse):
                assert not call.may_have_run and not call.out
            elif isinstance(action, Lose):
                assert call.may_have_run and not call.out

    def add_probe(self, probe: Probe) -> None:
        """Record a probe."""
        self.probes.append(self.now)

    def check_send(self, call: ModelCall, send: Send) -> None:
        """Check that a send is allowed."""
        state, incarnation = self.live[send.endpoint]
        assert state == UP
        assert send.remaining_s > 0
        if call.sent:
            self.extra += 1
            assert not call.repeated
            assert send.endpoint not in {one[0] for one in call.sent.values()}
            if call.method == "POST":
                assert not call.out and not call.may_have_run
        lives = (incarnation, self.returns[send.endpoint])
        call.sent[send.attempt] = (send.endpoint, *lives)
        call.out.add(send.attempt)

    def open_attempts(self) -> list[tuple[int, int]]:
        """Return the attempts in flight."""
        return [
            (call_id, attempt)
            for call_id, call in self.calls.items()
            for attempt in sorted(call.out)
        ]

    @step(method=st.sampled_from(METHODS), attempt=st.integers(1, 2))
    def arrive(self, method: str, attempt: int) -> None:
        """Submit a call."""
        repeated = attempt > 1
        self.admitted += not repeated
        call_id, actions = self.balancer.arrive(
            "catalogo", method, "/", self.now, None, attempt
        )
        self.calls[call_id] = ModelCall(method, repeated)
        self.perform(actions)

    @step(
        pick=st.integers(0, 1000),
        outcome=st.sampled_from((ANSWERED, ANSWERED, NOT_RUN, LOST)),
        load=st.none() | st.integers(0, 20),
        failed=st.booleans(),
    )
    def end(
        self, pick: int, outcome: str, load: int | None, failed: bool
    ) -> None:
        """End an attempt."""
        found = self.open_attempts()
        if not found:
            return
        call_id, attempt = found[pick % len(found)]
        call = self.calls[call_id]
        call.out.discard(attempt)
        failed = failed and outcome == ANSWERED
        if outcome == LOST or failed:
            call.may_have_run = True
        result = build_result(call_id, attempt, outcome, 0.01, load, failed)
        actions = self.balancer.finish(result, self.now)
        if outcome == ANSWERED and not failed:
            assert isinstance(actions[0], Finish)
            assert actions[0].attempt == attempt
        self.perform(actions)

    @step(pick=st.integers(0, 1000))
    def abandon(self, pick: int) -> None:
        """Disconnect a caller."""
        found = [one for one, call in self.calls.items() if not call.ended]
        if not found:
            return
        call_id = found[pick % len(found)]
        actions = self.balancer.abandon(call_id, self.now)
        self.perform(actions)
        assert not self.calls.pop(call_id).out

    @step(address=st.sampled_from(ADDRESSES), state=st.sampled_from(STATES))
    def change(self, address: str, state: str) -> None:
        """Add, drain, remove or restart an endpoint."""
        _, incarnation = self.live.get(address, (UP, 0))
        if state == "gone":
            self.live.pop(address, None)
            self.returns[address] += 1
        elif state == "restarted":
            self.live[address] = (UP, incarnation + 1)
        else:
            self.live[address] = (state, max(1, incarnation))
        self.announce()

    @step()
    def all_arrive(self) -> None:
        """Announce more endpoints than one decision considers."""
        for address in ADDRESSES:
            self.live.setdefault(address, (UP, 1))
        self.announce()

    @step(address=st.sampled_from(ADDRESSES), load=st.none() | st.just(1))
    def probe(self, address: str, load: int | None) -> None:
        """End a probe, possibly one that was not sent."""
        self.perform(
            self.balancer.record_probe(
                "catalogo", address, load, 0.005, self.now
            )
        )

    @step(seconds=st.sampled_from((0.001, 0.05, 0.3, 3.0)))
    def wait(self, seconds: float) -> None:
        """Advance the time and run all wake-ups."""
        end = self.now + seconds
        while True:
            at = self.balancer.next_wakeup()
            if at is None or at > end:
                break
            self.now = max(self.now, at)
            self.perform(self.balancer.tick(self.now))
        self.now = end
        self.perform(self.balancer.tick(self.now))

    @step()
    def configure(self) -> None:
        """Apply the configuration again."""
        self.balancer.configure(self.services, self.now)

    @invariant()
    def slots_are_respected(self) -> None:
        """Check that no endpoint process has more attempts than slots.

        An endpoint whose lease expired is removed; if it comes back, it
        counts as another.
        """
        counts = Counter(
            call.sent[attempt]
            for call in self.calls.values()
            for attempt in call.out
        )
        assert max(counts.values(), default=0) <= SLOTS

    @invariant()
    def budgets_are_respected(self) -> None:
        """Check that extra sends and probes stay within their budgets."""
        most = EXTRA_START + EXTRA_SHARE * self.admitted
        assert self.extra <= most + 1e-6
        share = int(PROBES_PER_S / MOST_ENTRIES)
        for start in range(len(self.probes) - share):
            assert self.probes[start + share] - self.probes[start] >= 1.0

    @invariant()
    def counts_agree(self) -> None:
        """Check that model and balancer count the same open calls."""
        waiting = sum(not call.ended for call in self.calls.values())
        assert self.balancer.in_flight == waiting

    def teardown(self) -> None:
        """Check that every call has one outcome in the end."""
        for _ in range(3):
            self.wait(3.0)
            for call_id, attempt in self.open_attempts():
                self.calls[call_id].out.discard(attempt)
                self.calls[call_id].may_have_run = True
                result = Result(call_id, attempt, LOST, 1.0)
                self.perform(self.balancer.finish(result, self.now))
        assert all(call.ended for call in self.calls.values())
        assert self.balancer.in_flight == 0


BalancerMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=50
)
TestBalancer = BalancerMachine.TestCase


class QueryMachine(BalancerMachine):
    """Let endpoints report how long work takes, so that they are queried.

    Queries are answered late, twice, wrongly or never, while calls end, are
    hedged and abandoned.
    """

    def __init__(self) -> None:
        super().__init__()
        self.queries: list[str] = []
        self.balancer.limit_inquiries(1000.0, 1.0)

    def add_probe(self, probe: Probe) -> None:
        """Record a query that can be answered."""
        self.queries.append(probe.endpoint)

    @step(
        pick=st.integers(0, 1000),
        load=st.none() | st.integers(0, 6),
        stretch=st.sampled_from((1.0, 1.0, 5.0)),
        again=st.booleans(),
    )
    def answer(
        self, pick: int, load: int | None, stretch: float, again: bool
    ) -> None:
        """Answer a query."""
        if not self.queries:
            return
        index = pick % len(self.queries)
        address = self.queries[index] if again else self.queries.pop(index)
        self.perform(
            self.balancer.record_probe(
                "catalogo", address, load, 0.001, self.now, stretch
            )
        )

    @step(
        pick=st.integers(0, 1000),
        load=st.integers(0, 6),
        stretch=st.sampled_from((1.0, 5.0)),
    )
    def end_with_report(self, pick: int, load: int, stretch: float) -> None:
        """Answer an attempt with a load report."""
        found = self.open_attempts()
        if not found:
            return
        call_id, attempt = found[pick % len(found)]
        self.calls[call_id].out.discard(attempt)
        result = Result(
            call_id, attempt, ANSWERED, 0.01, load, stretch=stretch
        )
        self.perform(self.balancer.finish(result, self.now))


QueryMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=50
)
TestAsking = QueryMachine.TestCase
