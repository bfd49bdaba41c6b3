"""Claim idempotency keys in the ledger, in batches."""

import asyncio
import hashlib
import secrets
from collections import deque
from collections.abc import Callable

from nutmegchute_core.claims import Claim
from nutmegchute_core.claims import ClaimAnswer
from nutmegchute_core.claims import ClaimReply
from nutmegchute_core.claims import ClaimRequest
from nutmegchute_core.claims import NOT_RUN
from nutmegchute_core.claims import Settlement

from .errors import DaemonError
from .events import Event
from .events import log
from .links import Links
from .links import Method
from .settings import Settings

CLAIM = Method("Ledger", "Claim", ClaimRequest, ClaimReply)

CLAIM_TIMEOUT_S = 1.0
ATTEMPT_TIMEOUT_S = 0.5
UNAVAILABLE_S = 0.5
RETRY_S = 0.05
MAX_BATCH = 512
MAX_PENDING = 4096
MAX_SETTLEMENTS = 16384
MAX_KEY_LENGTH = 255
DIGEST_BYTES = 16
TOKEN_BITS = 62

OnAnswer = Callable[[ClaimAnswer | None], None]


class InvalidKeyError(DaemonError):
    """Report an invalid idempotency key."""


def build_claim(
    service: str, key: str, method: str, target: str, body: bytes
) -> Claim:
    """Build the claim of one request.

    :raises InvalidKeyError: the key is empty, too long or not plain ASCII
    """
    is_plain = key.isascii() and key.isprintable()
    if not 0 < len(key) <= MAX_KEY_LENGTH or not is_plain:
        raise InvalidKeyError(
            f"the key must be 1 to {MAX_KEY_LENGTH} printable ASCII characters"
        )
    fingerprint = _digest(
        method.encode(), target.encode("utf-8", "surrogateescape"), body
    )
    return Claim(
        digest=_digest(service.encode("utf-8", "replace"), key.encode()),
        fingerprint=fingerprint,
        token=secrets.randbits(TOKEN_BITS),
    )


class LedgerClock:
    """Measure the time between a leader's batches by its own clock."""

    __slots__ = ("_at", "_term")

    def __init__(self) -> None:
        self._term = 0
        self._at = 0.0

    def elapsed_s(self, term: int, now: float) -> float:
        """Return the time since the last batch of this term, or 0.

        Time between two leaders is not counted, so that keys are kept
        longer, never shorter.
        """
        elapsed_s = now - self._at if term == self._term else 0.0
        self._term = term
        self._at = now
        return elapsed_s


class PendingClaim:
    """Hold a claim until it is answered or times out."""

    __slots__ = ("claim", "give_up_at", "on_answer")

    def __init__(
        self, claim: Claim, give_up_at: float, on_answer: OnAnswer
    ) -> None:
        self.claim = claim
        self.give_up_at = give_up_at
        self.on_answer = on_answer


class Claimer:
    """Send claims and settlements to the ledger, one request at a time.

    Claims made while a request is in flight share the next one, and thus one
    sync of the log. Not thread-safe: use it on the event loop only.
    """

    __slots__ = (
        "_links",
        "_loop",
        "_pending",
        "_replica_position",
        "_settings",
        "_settlements",
        "_unavailable_until",
        "_wake",
    )

    def __init__(
        self,
        settings: Settings,
        links: Links,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self._settings = settings
        self._links = links
        self._loop = loop
        self._pending: deque[PendingClaim] = deque()
        self._settlements: deque[Settlement] = deque()
        self._wake = asyncio.Event()
        self._replica_position = 0
        self._unavailable_until = 0.0

    @property
    def idle(self) -> bool:
        """Return whether no claim and no settlement is pending."""
        return not self._pending and not self._settlements

    def claim(self, claim: Claim, wait_s: float, on_answer: OnAnswer) -> None:
        """Submit a claim; ``on_answer`` gets None if it could not be made.

        Then the request must not be sent, and its caller may be answered
        that it did not run.
        """
        now = self._loop.time()
        if now < self._unavailable_until or len(self._pending) >= MAX_PENDING:
            on_answer(None)
            return
        give_up_at = now + min(wait_s, CLAIM_TIMEOUT_S)
        self._pending.append(PendingClaim(claim, give_up_at, on_answer))
        self._wake.set()

    def settle(self, settlement: Settlement) -> None:
        """Queue the outcome of a claimed request for the ledger."""
        if len(self._settlements) >= MAX_SETTLEMENTS:
            # Unsettled, the claim stays open, and callers that resend its
            # key get the outcome "unknown", which is never false.
            return
        self._settlements.append(settlement)
        self._wake.set()

    async def run(self) -> None:
        """Send one batch and pass on the answers of its claims."""
        if self.idle:
            self._wake.clear()
            await self._wake.wait()
        batch = self._next_batch()
        settlements = list(self._settlements)[:MAX_BATCH]
        request = ClaimRequest([one.claim for one in batch], settlements)
        give_up_at = max(
            (one.give_up_at for one in batch),
            default=self._loop.time() + CLAIM_TIMEOUT_S,
        )
        answers = await self._send(request, give_up_at)
        if answers is None:
            self._fail_batch(batch)
            return
        self._unavailable_until = 0.0
        for _ in settlements:
            self._settlements.popleft()
        for one, answer in zip(batch, answers, strict=True):
            one.on_answer(answer)

    def _next_batch(self) -> list[PendingClaim]:
        now = self._loop.time()
        batch: list[PendingClaim] = []
        while self._pending and len(batch) < MAX_BATCH:
            one = self._pending.popleft()
            if now < one.give_up_at:
                batch.append(one)
                continue
            one.on_answer(None)
        return batch

    def _fail_batch(self, batch: list[PendingClaim]) -> None:
        log(Event.LEDGER_UNREACHABLE, "warning", claims=len(batch))
        self._unavailable_until = self._loop.time() + UNAVAILABLE_S
        for one in batch:
            # The claim may be in the log all the same. Its request will not be
            # sent, so release the key.
            self.settle(Settlement(one.claim, NOT_RUN))
        failed = [*batch, *self._pending]
        self._pending.clear()
        for one in failed:
            one.on_answer(None)

    async def _send(
        self, request: ClaimRequest, give_up_at: float
    ) -> list[ClaimAnswer] | None:
        replicas = self._settings.control
        failures = 0
        while replicas and self._loop.time() < give_up_at:
            replica = replicas[self._replica_position % len(replicas)]
            left_s = give_up_at - self._loop.time()
            reply = await self._links.send_request(
                replica.grpc_address,
                CLAIM,
                request,
                min(ATTEMPT_TIMEOUT_S, left_s),
            )
            if reply is not None and reply.answers is not None:
                answers: list[ClaimAnswer] = reply.answers
                return answers
            failures += 1
            leader = reply.leader if reply is not None else None
            self._select_replica(leader, replica.name)
            if failures >= 2 * len(replicas):
                return None
            await asyncio.sleep(RETRY_S)
        return None

    def _select_replica(self, leader: str | None, tried: str) -> None:
        for position, replica in enumerate(self._settings.control):
            if replica.name == leader and leader != tried:
                self._replica_position = position
                return
        self._replica_position += 1


def _digest(*parts: bytes) -> bytes:
    state = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        state.update(len(part).to_bytes(8, "big"))
        state.update(part)
    return state.digest()
