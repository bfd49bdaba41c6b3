"""Pass claims on idempotency keys between entries and the ledger."""

import msgspec

FIRST = "first"
OPEN = "open"
RAN = "ran"
NOT_RUN = "not-run"
UNKNOWN = "unknown"
MISMATCH = "mismatch"
FULL = "full"


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """Ask to be the only one to send a request.

    ``digest`` names service and idempotency key, ``fingerprint`` the
    request. ``token`` is the claim's own: a claim that is sent again
    after a lost reply is known by it.
    """

    digest: bytes
    fingerprint: bytes
    token: int


class Settlement(msgspec.Struct, frozen=True, array_like=True):
    """Tell what became of a claimed request: RAN, NOT_RUN or UNKNOWN."""

    claim: Claim
    outcome: str
    status: int = 0


class ClaimAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Tell a claim's entry what the ledger holds.

    FIRST lets it send. OPEN: another claim holds the key and has not been
    settled. RAN carries the answer's status. MISMATCH: the key belongs to
    another request. FULL: the ledger takes no more for now.
    """

    outcome: str
    status: int = 0


class ClaimRequest(msgspec.Struct, frozen=True, array_like=True):
    """Carry what one entry gathered since its last request."""

    claims: list[Claim]
    settlements: list[Settlement]


class ClaimReply(msgspec.Struct, frozen=True):
    """Give the claims' answers in order, or only name the leader."""

    leader: str | None
    answers: list[ClaimAnswer] | None


class ClaimBatch(msgspec.Struct, frozen=True, tag=True):
    """Hold one entry's request in the log.

    ``elapsed_s`` is the time since the same leader's last batch: the
    ledger's time is their sum, so no wall clock can make it jump.
    """

    elapsed_s: float
    request: ClaimRequest


class ClaimAnswers(msgspec.Struct, frozen=True):
    """Tell what became of a batch."""

    answers: list[ClaimAnswer]
