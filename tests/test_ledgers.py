"""Test that keyed requests run at most once despite loss and resends."""

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


def send(ledger: Ledger, one: Claim, elapsed_s: float = 0.0) -> ClaimAnswer:
    """Submit one claim and return its answer."""
    return ledger.apply(batch([one], elapsed_s=elapsed_s)).answers[0]


def settle(ledger: Ledger, one: Claim, outcome: str, status: int = 0) -> None:
    """Settle one claim."""
    ledger.apply(batch([], [Settlement(one, outcome, status)]))


@pytest.mark.parametrize(
    ("outcome", "status", "answer"),
    [
        (RAN, 201, ClaimAnswer(RAN, 201)),
        (UNKNOWN, 0, ClaimAnswer(UNKNOWN)),
        (NOT_RUN, 0, ClaimAnswer(FIRST)),
        (None, 0, ClaimAnswer(OPEN)),
    ],
)
def test_a_resend_gets_the_outcome_of_its_key(
    outcome: str | None, status: int, answer: ClaimAnswer
) -> None:
    """Let a request run again only when it is known not to have run."""
    ledger = Ledger()
    assert send(ledger, claim(1)).outcome == FIRST
    if outcome is not None:
        settle(ledger, claim(1), outcome, status)
    assert send(ledger, claim(2)) == answer


def test_a_key_of_another_request_is_a_mismatch() -> None:
    """Reject a key that another request holds."""
    ledger = Ledger()
    send(ledger, claim(1))
    assert send(ledger, claim(2, request="return")).outcome == MISMATCH


def test_a_claim_given_up_does_not_block_the_key() -> None:
    """Guard against a key blocked by a claim that its entry gave up.

    The claim is delayed in a slow control replica; the entry answers its
    caller "not run" and settles the claim so with the next leader. Then the
    claim arrives. The caller's resend must run.
    """
    ledger = Ledger()
    settle(ledger, claim(1), NOT_RUN)
    assert send(ledger, claim(1)).outcome == NOT_RUN
    assert send(ledger, claim(2)).outcome == FIRST


def test_a_settled_claim_stays_settled() -> None:
    """Ignore later settlements, and those of claims that lack the key."""
    ledger = Ledger()
    send(ledger, claim(1))
    settle(ledger, claim(2), NOT_RUN)
    assert send(ledger, claim(3)).outcome == OPEN
    settle(ledger, claim(1), RAN, 200)
    settle(ledger, claim(1), NOT_RUN)
    assert send(ledger, claim(3)) == ClaimAnswer(RAN, 200)


def test_a_full_ledger_evicts_only_old_keys() -> None:
    """Refuse new keys until the oldest is older than MIN_KEPT_S."""
    ledger = Ledger(max_records=2)
    send(ledger, claim(1, "a"))
    send(ledger, claim(2, "b"), elapsed_s=MIN_KEPT_S / 2)
    assert send(ledger, claim(3, "c")).outcome == FULL
    settle(ledger, claim(4, "d"), NOT_RUN)
    assert len(ledger) == 2
    assert send(ledger, claim(5, "a")).outcome == OPEN
    late = MIN_KEPT_S / 2 + 1
    assert send(ledger, claim(3, "c"), elapsed_s=late).outcome == FIRST
    assert send(ledger, claim(6, "b")).outcome == OPEN


def test_keys_are_kept_while_there_is_room() -> None:
    """Keep a key beyond MIN_KEPT_S, but not beyond MAX_KEPT_S."""
    ledger = Ledger(max_records=2)
    send(ledger, claim(1, "a"))
    assert (
        send(ledger, claim(2, "a"), elapsed_s=MIN_KEPT_S * 4).outcome == OPEN
    )
    late = MAX_KEPT_S + 1
    assert send(ledger, claim(3, "a"), elapsed_s=late).outcome == FIRST
    assert len(ledger) == 1


def test_negative_elapsed_time_is_ignored() -> None:
    """Guard against a ledger whose time goes backwards."""
    ledger = Ledger()
    send(ledger, claim(1), elapsed_s=10.0)
    send(ledger, claim(2), elapsed_s=-1e9)
    assert ledger.snapshot().time_s == 10.0


class LedgerMachine(RuleBasedStateMachine):
    """Claim and settle keys while messages are lost, delayed and duplicated.

    The oracle counts the runs of each key on the upstream.
    """

    @initialize()
    def start(self) -> None:
        """Start with an empty ledger."""
        self.ledger = Ledger()
        self.token = 0
        self.delayed: list[ClaimBatch] = []
        self.sendable: list[Claim] = []
        self.ran: dict[bytes, int] = {}
        self.reported_not_run: set[int] = set()
        self.ran_tokens: set[int] = set()

    def deliver(self, one: ClaimBatch, copies: int) -> list[ClaimAnswer]:
        """Apply a batch and keep copies of it for late delivery."""
        self.delayed.extend([one] * copies)
        return self.ledger.apply(one).answers

    @rule(
        key=st.sampled_from("abc"),
        copies=st.integers(0, 2),
        reply=st.sampled_from(["comes", "lost", "resent"]),
    )
    def call(self, key: str, copies: int, reply: str) -> None:
        """Claim a key for a new call."""
        self.token += 1
        one = claim(self.token, key)
        answer = self.deliver(batch([one]), copies)[0]
        if reply == "resent":
            answer = self.deliver(batch([one]), 0)[0]
        if reply == "lost":
            self.reported_not_run.add(one.token)
            self.delayed.append(batch([], [Settlement(one, NOT_RUN)]))
            return
        if answer.outcome == FIRST:
            self.sendable.append(one)

    @rule(
        position=st.integers(0, 9),
        runs=st.booleans(),
        settles=st.booleans(),
        copies=st.integers(0, 1),
    )
    def finish(
        self, position: int, runs: bool, settles: bool, copies: int
    ) -> None:
        """End a call that holds its claim; its entry may fail to settle it."""
        if not self.sendable:
            return
        one = self.sendable.pop(position % len(self.sendable))
        if runs:
            self.ran[one.digest] = self.ran.get(one.digest, 0) + 1
            self.ran_tokens.add(one.token)
        if settles:
            outcome = RAN if runs else NOT_RUN
            settlement = Settlement(one, outcome, 200 if runs else 0)
            self.deliver(batch([], [settlement]), copies)

    @rule(position=st.integers(0, 99))
    def deliver_late(self, position: int) -> None:
        """Deliver a delayed batch."""
        if self.delayed:
            self.ledger.apply(self.delayed.pop(position % len(self.delayed)))

    @rule()
    def restart(self) -> None:
        """Restore the ledger from its snapshot."""
        data = msgspec.msgpack.encode(self.ledger.snapshot())
        self.ledger = Ledger()
        self.ledger.restore(msgspec.msgpack.decode(data, type=LedgerState))

    @invariant()
    def at_most_once(self) -> None:
        """Check that no key ran twice and none reported "not run" ran."""
        assert all(times == 1 for times in self.ran.values())
        assert not self.reported_not_run & self.ran_tokens


LedgerMachine.TestCase.settings = settings(
    max_examples=200, stateful_step_count=40, derandomize=True, deadline=None
)
TestLedger = LedgerMachine.TestCase
