"""Run keyed requests at most once, whatever is lost or sent twice."""

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from nutmegchute_core.claims import Claim
from nutmegchute_core.claims import ClaimAnswer
from nutmegchute_core.claims import ClaimBatch
from nutmegchute_core.claims import ClaimRequest
from nutmegchute_core.claims import FIRST
from nutmegchute_core.claims import FULL
from nutmegchute_core.claims import MISMATCH
from nutmegchute_core.claims import NOT_RUN
from nutmegchute_core.claims import OPEN
from nutmegchute_core.claims import RAN
from nutmegchute_core.claims import Settlement
from nutmegchute_core.claims import UNKNOWN
from nutmegchute_core.ledgers import Ledger
from nutmegchute_core.ledgers import LedgerState
from nutmegchute_core.ledgers import MAX_KEPT_S
from nutmegchute_core.ledgers import MIN_KEPT_S


def claim(token: int, key: str = "atlas", request: str = "loan") -> Claim:
    """Build a claim."""
    return Claim(key.encode(), request.encode(), token)


def batch(
    claims: list[Claim],
    settlements: list[Settlement] | None = None,
    elapsed_s: float = 0.0,
) -> ClaimBatch:
    """Build a batch."""
    return ClaimBatch(elapsed_s, ClaimRequest(claims, settlements or []))


def ask(ledger: Ledger, one: Claim, elapsed_s: float = 0.0) -> ClaimAnswer:
    """Make one claim."""
    return ledger.apply(batch([one], elapsed_s=elapsed_s)).answers[0]


def settle(ledger: Ledger, one: Claim, outcome: str, status: int = 0) -> None:
    """Settle one claim."""
    ledger.apply(batch([], [Settlement(one, outcome, status)]))


@pytest.mark.parametrize(
    ("outcome", "status", "told"),
    [
        (RAN, 201, ClaimAnswer(RAN, 201)),
        (UNKNOWN, 0, ClaimAnswer(UNKNOWN)),
        (NOT_RUN, 0, ClaimAnswer(FIRST)),
        (None, 0, ClaimAnswer(OPEN)),
    ],
)
def test_a_resend_is_told_what_became_of_it(
    outcome: str | None, status: int, told: ClaimAnswer
) -> None:
    """Let a key run again only when it truly did not run."""
    ledger = Ledger()
    assert ask(ledger, claim(1)).outcome == FIRST
    if outcome is not None:
        settle(ledger, claim(1), outcome, status)
    assert ask(ledger, claim(2)) == told


def test_a_key_is_for_one_request() -> None:
    """Refuse a key that is used for another request."""
    ledger = Ledger()
    ask(ledger, claim(1))
    assert ask(ledger, claim(2, request="return")).outcome == MISMATCH


def test_a_given_up_claim_does_not_hold_the_key() -> None:
    """Free a key whose claim arrived after its entry had given up.

    The claim waits in a slow control replica; the entry tells its caller
    "not run" and says so to the next leader. Then the claim arrives. The
    caller's resend must run.
    """
    ledger = Ledger()
    settle(ledger, claim(1), NOT_RUN)
    assert ask(ledger, claim(1)).outcome == NOT_RUN
    assert ask(ledger, claim(2)).outcome == FIRST


def test_a_settled_claim_stays_settled() -> None:
    """Ignore settlements of claims that do not hold the key."""
    ledger = Ledger()
    ask(ledger, claim(1))
    settle(ledger, claim(2), NOT_RUN)
    assert ask(ledger, claim(3)).outcome == OPEN
    settle(ledger, claim(1), RAN, 200)
    settle(ledger, claim(1), NOT_RUN)
    assert ask(ledger, claim(3)) == ClaimAnswer(RAN, 200)


def test_a_full_ledger_forgets_nothing() -> None:
    """Refuse new keys rather than forget old ones; age frees them."""
    ledger = Ledger(most=2)
    ask(ledger, claim(1, "a"))
    ask(ledger, claim(2, "b"), elapsed_s=MIN_KEPT_S / 2)
    assert ask(ledger, claim(3, "c")).outcome == FULL
    settle(ledger, claim(4, "d"), NOT_RUN)
    assert len(ledger) == 2
    assert ask(ledger, claim(5, "a")).outcome == OPEN
    late = MIN_KEPT_S / 2 + 1
    assert ask(ledger, claim(3, "c"), elapsed_s=late).outcome == FIRST
    assert ask(ledger, claim(6, "b")).outcome == OPEN


def test_keys_are_kept_while_there_is_room() -> None:
    """Hold a key for long after KEPT_S, but not for ever."""
    ledger = Ledger(most=2)
    ask(ledger, claim(1, "a"))
    assert ask(ledger, claim(2, "a"), elapsed_s=MIN_KEPT_S * 4).outcome == OPEN
    late = MAX_KEPT_S + 1
    assert ask(ledger, claim(3, "a"), elapsed_s=late).outcome == FIRST
    assert len(ledger) == 1


def test_no_clock_makes_the_ledger_forget() -> None:
    """Count no time backwards."""
    ledger = Ledger()
    ask(ledger, claim(1), elapsed_s=10.0)
    ask(ledger, claim(2), elapsed_s=-1e9)
    assert ledger.snapshot().time_s == 10.0


class Books(RuleBasedStateMachine):
    """Run entries against a ledger whose requests are lost and doubled.

    The oracle counts what an upstream ran, per key.
    """

    @initialize()
    def start(self) -> None:
        """Start empty."""
        self.ledger = Ledger()
        self.token = 0
        self.late: list[ClaimBatch] = []
        self.sendable: list[Claim] = []
        self.ran: dict[bytes, int] = {}
        self.said_not_run: set[int] = set()
        self.ran_tokens: set[int] = set()

    def post(self, one: ClaimBatch, copies: int) -> list[ClaimAnswer]:
        """Deliver a batch and keep copies for a late arrival."""
        self.late.extend([one] * copies)
        return self.ledger.apply(one).answers

    @rule(
        key=st.sampled_from("abc"),
        copies=st.integers(0, 2),
        reply=st.sampled_from(["comes", "lost", "resent"]),
    )
    def call(self, key: str, copies: int, reply: str) -> None:
        """Let a caller send a key through some entry."""
        self.token += 1
        one = claim(self.token, key)
        answer = self.post(batch([one]), copies)[0]
        if reply == "resent":
            answer = self.post(batch([one]), 0)[0]
        if reply == "lost":
            self.said_not_run.add(one.token)
            self.late.append(batch([], [Settlement(one, NOT_RUN)]))
            return
        if answer.outcome == FIRST:
            self.sendable.append(one)

    @rule(
        place=st.integers(0, 9),
        runs=st.booleans(),
        told=st.booleans(),
        copies=st.integers(0, 1),
    )
    def finish(self, place: int, runs: bool, told: bool, copies: int) -> None:
        """End a call that holds its claim, or lose its entry."""
        if not self.sendable:
            return
        one = self.sendable.pop(place % len(self.sendable))
        if runs:
            self.ran[one.digest] = self.ran.get(one.digest, 0) + 1
            self.ran_tokens.add(one.token)
        if told:
            outcome = RAN if runs else NOT_RUN
            settlement = Settlement(one, outcome, 200 if runs else 0)
            self.post(batch([], [settlement]), copies)

    @rule(place=st.integers(0, 99))
    def arrive_late(self, place: int) -> None:
        """Deliver a batch that was under way."""
        if self.late:
            self.ledger.apply(self.late.pop(place % len(self.late)))

    @rule()
    def restart(self) -> None:
        """Load the ledger from its snapshot."""
        data = msgspec.msgpack.encode(self.ledger.snapshot())
        self.ledger = Ledger()
        self.ledger.restore(msgspec.msgpack.decode(data, type=LedgerState))

    @invariant()
    def at_most_once(self) -> None:
        """Find no key that ran twice and no false "not run"."""
        assert all(times == 1 for times in self.ran.values())
        assert not self.said_not_run & self.ran_tokens


Books.TestCase.settings = settings(
    max_examples=200, stateful_step_count=40, derandomize=True, deadline=None
)
TestBooks = Books.TestCase
