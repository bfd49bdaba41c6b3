"""Claim requests in the ledger, many at a time."""

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

CLAIM_S = 1.0
ASK_S = 0.5
DOWN_S = 0.5
RETRY_S = 0.05
MAX_BATCH = 512
MAX_WAITING = 4096
MAX_SETTLEMENTS = 16384
MAX_KEY_LENGTH = 255
DIGEST_BYTES = 16
TOKEN_BITS = 62

OnAnswer = Callable[[ClaimAnswer | None], None]


class InvalidKeyError(DaemonError):
    """Say that an idempotency key cannot be taken."""


def build_claim(
    service: str, key: str, method: str, target: str, body: bytes
) -> Claim:
    """Build the claim of one request.

    :raises KeyFormError: the key is empty, too long or not plain ASCII
    """
    plain = key.isascii() and key.isprintable()
    if not 0 < len(key) <= MAX_KEY_LENGTH or not plain:
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
    """Measure the time between a leader's batches, by its own clock."""

    __slots__ = ("_at", "_term")

    def __init__(self) -> None:
        self._term = 0
        self._at = 0.0

    def elapsed_s(self, term: int, now: float) -> float:
        """Give the time since the last batch of this term, or 0.

        What passed between two leaders is not counted: keys are kept
        longer then, never shorter.
        """
        elapsed_s = now - self._at if term == self._term else 0.0
        self._term = term
        self._at = now
        return elapsed_s


class Waiting:
    """Hold a claim until its answer comes or its time is over."""

    __slots__ = ("claim", "give_up_at", "on_answer")

    def __init__(
        self, claim: Claim, give_up_at: float, on_answer: OnAnswer
    ) -> None:
        self.claim = claim
        self.give_up_at = give_up_at
        self.on_answer = on_answer


class Claimer:
    """Send claims and settlements to the ledger, one request at a time.

    While a request is under way the next ones gather, so that the log's
    sync is shared by all of them. The whole lives on the loop.
    """

    __slots__ = (
        "_down_until",
        "_links",
        "_loop",
        "_settings",
        "_settlements",
        "_turn",
        "_waiting",
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
        self._waiting: deque[Waiting] = deque()
        self._settlements: deque[Settlement] = deque()
        self._wake = asyncio.Event()
        self._turn = 0
        self._down_until = 0.0

    @property
    def idle(self) -> bool:
        """Tell whether nothing waits for the ledger."""
        return not self._waiting and not self._settlements

    def claim(self, claim: Claim, wait_s: float, on_answer: OnAnswer) -> None:
        """Ask for a claim; None as answer says that it was not made.

        Then the request must not be sent, and its caller may be told so.
        """
        now = self._loop.time()
        if now < self._down_until or len(self._waiting) >= MAX_WAITING:
            on_answer(None)
            return
        give_up_at = now + min(wait_s, CLAIM_S)
        self._waiting.append(Waiting(claim, give_up_at, on_answer))
        self._wake.set()

    def settle(self, settlement: Settlement) -> None:
        """Record what became of a claimed request."""
        if len(self._settlements) >= MAX_SETTLEMENTS:
            # Left unsettled, a claim reads "unknown": never false.
            return
        self._settlements.append(settlement)
        self._wake.set()

    async def run(self) -> None:
        """Send one gathered request and tell its claims' answers."""
        if self.idle:
            self._wake.clear()
            await self._wake.wait()
        waiting = self._take()
        settlements = list(self._settlements)[:MAX_BATCH]
        request = ClaimRequest([one.claim for one in waiting], settlements)
        give_up_at = max(
            (one.give_up_at for one in waiting),
            default=self._loop.time() + CLAIM_S,
        )
        answers = await self._ask(request, give_up_at)
        if answers is None:
            self._fail(waiting)
            return
        self._down_until = 0.0
        for _ in settlements:
            self._settlements.popleft()
        for one, answer in zip(waiting, answers, strict=True):
            one.on_answer(answer)

    def _take(self) -> list[Waiting]:
        now = self._loop.time()
        waiting: list[Waiting] = []
        while self._waiting and len(waiting) < MAX_BATCH:
            one = self._waiting.popleft()
            if now < one.give_up_at:
                waiting.append(one)
                continue
            one.on_answer(None)
        return waiting

    def _fail(self, waiting: list[Waiting]) -> None:
        log(Event.LEDGER_UNREACHABLE, "warning", claims=len(waiting))
        self._down_until = self._loop.time() + DOWN_S
        for one in waiting:
            # The claim may be in the log all the same. Its request is not
            # sent any more, so the key must not stay taken.
            self.settle(Settlement(one.claim, NOT_RUN))
        everyone = [*waiting, *self._waiting]
        self._waiting.clear()
        for one in everyone:
            one.on_answer(None)

    async def _ask(
        self, request: ClaimRequest, give_up_at: float
    ) -> list[ClaimAnswer] | None:
        peers = self._settings.control
        refused = 0
        while peers and self._loop.time() < give_up_at:
            peer = peers[self._turn % len(peers)]
            left_s = give_up_at - self._loop.time()
            reply = await self._links.ask(
                peer.grpc_address, CLAIM, request, min(ASK_S, left_s)
            )
            if reply is not None and reply.answers is not None:
                answers: list[ClaimAnswer] = reply.answers
                return answers
            refused += 1
            leader = reply.leader if reply is not None else None
            self._turn_to(leader, peer.name)
            if refused >= 2 * len(peers):
                return None
            await asyncio.sleep(RETRY_S)
        return None

    def _turn_to(self, leader: str | None, asked: str) -> None:
        for place, peer in enumerate(self._settings.control):
            if peer.name == leader and leader != asked:
                self._turn = place
                return
        self._turn += 1


def _digest(*parts: bytes) -> bytes:
    state = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        state.update(len(part).to_bytes(8, "big"))
        state.update(part)
    return state.digest()
