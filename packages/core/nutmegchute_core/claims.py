"""Define the messages by which entries claim idempotency keys."""

import msgspec

FIRST = "first"
OPEN = "open"
RAN = "ran"
NOT_RUN = "not-run"
UNKNOWN = "unknown"
MISMATCH = "mismatch"
FULL = "full"


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """Claim the exclusive right to send a request.

    ``digest`` identifies the service and the idempotency key,
    ``fingerprint`` the request. ``token`` is unique to the claim and
    identifies it when it is resent after a lost reply.
    """

    digest: bytes
    fingerprint: bytes
    token: int


class Settlement(msgspec.Struct, frozen=True, array_like=True):
    """Report the outcome of a claimed request: RAN, NOT_RUN or UNKNOWN."""

    claim: Claim
    outcome: str
    status: int = 0


class ClaimAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answer a claim.

    FIRST permits sending the request. OPEN: another claim holds the key and
    is not settled yet. RAN carries the HTTP status of the answer. MISMATCH:
    another request holds the key. FULL: the ledger has no room for the key.
    NOT_RUN and UNKNOWN: the outcome with which the key was settled.
    """

    outcome: str
    status: int = 0


class ClaimRequest(msgspec.Struct, frozen=True, array_like=True):
    """Hold the claims and settlements of one entry since its last request."""

    claims: list[Claim]
    settlements: list[Settlement]


class ClaimReply(msgspec.Struct, frozen=True):
    """Return the answers in the order of the claims, or name the leader."""

    leader: str | None
    answers: list[ClaimAnswer] | None


class ClaimBatch(msgspec.Struct, frozen=True, tag=True):
    """Apply one entry's request to the ledger.

    ``elapsed_s`` is the time since the same leader's last batch. The
    ledger's time is the sum of these, so that it cannot jump with a wall
    clock.
    """

    elapsed_s: float
    request: ClaimRequest


class ClaimAnswers(msgspec.Struct, frozen=True):
    """Hold the answers to a batch, in the order of its claims."""

    answers: list[ClaimAnswer]
