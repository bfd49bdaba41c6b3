"""Exchange calls between an entry that is cut off and its helpers.

A helper listens for such calls at an address of its own and accepts those
that bear its token, which only daemons of the deployment know. Callers and
upstreams cannot set these headers: entries drop them.
"""

import hmac
import secrets

from nutmegchute_core.calls import Refusal
from nutmegchute_core.calls import Relay
from nutmegchute_core.directories import NAMING_MARK
from nutmegchute_core.directories import RelayAddress
from nutmegchute_core.evidence import RELAYED
from urllib3 import HTTPHeaderDict
from urllib3.response import HTTPResponse

from .answers import AnswerFormat
from .answers import BrokenAnswerError
from .answers import NAMES_REQUEST
from .call_formats import CallFormat
from .exchanges import StrictRequest
from .identities import prove_key
from .pending_calls import PendingCall
from .protocols import ENTRY_HEADER
from .protocols import NOT_RUN
from .protocols import OUTCOME_HEADER
from .protocols import RELAY_CALL_HEADER
from .protocols import RELAY_CLAIMED_HEADER
from .protocols import RELAY_CONFIG_HEADER
from .protocols import RELAY_KEY_HEADER
from .protocols import RELAY_OUTCOME_HEADER
from .protocols import RELAY_PREFIX
from .protocols import RELAY_REASON_HEADER
from .protocols import RELAY_RETRY_HEADER
from .protocols import RELAY_TOKEN_HEADER
from .relay_ids import build_relay_id

# Values of RELAY_OUTCOME_HEADER besides "not-run" and "unknown": an answer
# for the caller, and calls that another helper may serve. One that is full
# may serve the next call.
ANSWERED = "answered"
ELSEWHERE = "elsewhere"
FULL = "full"
NOT_RUN_OUTCOMES = frozenset({NOT_RUN, ELSEWHERE, FULL})
RETRIED = "retried"
UNAVAILABLE = 503
FIRST_ERROR_STATUS = 400
# Status of a call whose idempotency key belongs to another request.
MISMATCHED = 422
TOKEN_BYTES = 12
ORIGIN_BYTES = 12


class RelayFormat(AnswerFormat):
    """Write calls to a helper and read what its answers say of them."""

    __slots__ = ("_calls", "_origin")

    name_header = RELAY_CALL_HEADER

    def __init__(self, calls: CallFormat) -> None:
        self._calls = calls
        # Tells the attempts of this process from those of all others.
        self._origin = secrets.token_urlsafe(ORIGIN_BYTES)

    def headers(
        self,
        call: PendingCall,
        relay: Relay,
        remaining_ms: int,
        config_index: int,
    ) -> HTTPHeaderDict:
        """Return the headers of a call that is passed on.

        A helper with an older configuration than ``config_index`` refuses it.
        """
        relay_id = build_relay_id(self._origin, relay.call_id, relay.attempt)
        # The first header, so that a helper that refuses a call before it has
        # read all of the head knows the id.
        headers = HTTPHeaderDict({RELAY_CALL_HEADER: relay_id})
        headers.extend(self._calls.relayed_headers(call, remaining_ms))
        headers[RELAY_TOKEN_HEADER] = relay.token
        headers[RELAY_CONFIG_HEADER] = str(config_index)
        if call.arrival.key is not None:
            headers[RELAY_KEY_HEADER] = prove_key(
                call.arrival.key, relay.token
            )
        if call.claimed:
            headers[RELAY_CLAIMED_HEADER] = "1"
        if relay.may_have_run:
            headers[RELAY_RETRY_HEADER] = RETRIED
        return headers

    def is_not_run(self, response: HTTPResponse) -> bool:
        """Return whether the helper says that the call did not run."""
        if response.headers.get(OUTCOME_HEADER) != NOT_RUN:
            return False
        outcome = response.headers.get(RELAY_OUTCOME_HEADER)
        if outcome is None:
            # The helper refused before it read the call.
            return response.status == UNAVAILABLE
        # An answer that contradicts itself shows nothing.
        return (
            outcome in NOT_RUN_OUTCOMES
            and response.status >= FIRST_ERROR_STATUS
        )

    def check(self, sent: HTTPHeaderDict, response: HTTPResponse) -> None:
        """Check that a helper answered this attempt and knows the outcome.

        :raises BrokenAnswerError: the call may or may not have run
        """
        if self.naming(sent, response) != NAMES_REQUEST:
            raise BrokenAnswerError("answer does not name this attempt")
        if self.is_not_run(response):
            return
        if response.headers.get(RELAY_OUTCOME_HEADER) != ANSWERED:
            raise BrokenAnswerError("outcome unknown to the helper")
        if response.headers.get(OUTCOME_HEADER) != NOT_RUN:
            return
        if response.status != MISMATCHED:
            raise BrokenAnswerError("answer that says that nothing ran")

    def read_evidence(
        self, sent: HTTPHeaderDict, response: HTTPResponse
    ) -> str:
        """Return the kind of evidence that the call did not run, or none.

        :raises BrokenAnswerError: the call may or may not have run
        """
        self.check(sent, response)
        return RELAYED if self.is_not_run(response) else ""

    def is_forwarded(self, name: str) -> bool:
        """Return whether a header, in lower case, is forwarded to callers."""
        if name.startswith(RELAY_PREFIX):
            return False
        return name != ENTRY_HEADER.lower()

    def refusal(self, response: HTTPResponse) -> Refusal:
        """Return why the helper refused a call."""
        headers = response.headers
        outcome = headers.get(RELAY_OUTCOME_HEADER, FULL)
        try:
            retry_after_s = float(headers.get(RELAY_RETRY_HEADER, "0"))
        except ValueError:
            retry_after_s = 0.0
        return Refusal(
            response.status,
            headers.get(RELAY_REASON_HEADER, ""),
            max(0.0, retry_after_s),
            elsewhere=outcome != NOT_RUN,
            brief=outcome == FULL,
        )


class RelayDoor:
    """Accept the calls that other entries pass on to this one."""

    __slots__ = ("address",)

    def __init__(self, address: str, token: str) -> None:
        self.address = RelayAddress(address, token)

    def admits(self, http: StrictRequest) -> bool:
        """Return whether a request bears the token of this entry."""
        token = http.inheaders.get(RELAY_TOKEN_HEADER.encode(), b"")
        return hmac.compare_digest(token, self.address.token.encode())

    def required_index(self, http: StrictRequest) -> int:
        """Return the index of the configuration that a call needs, or 0.

        Entries of an earlier build name none.
        """
        value = http.inheaders.get(RELAY_CONFIG_HEADER.encode(), b"")
        return int(value) if value.isdigit() else 0

    def describe(self, http: StrictRequest, call: PendingCall) -> None:
        """Record on a call what the entry that passed it on says of it."""
        headers = http.inheaders
        call.is_relayed = True
        proof = headers.get(RELAY_KEY_HEADER.encode())
        call.arrival.key_proof = None if proof is None else proof.decode()
        if RELAY_CLAIMED_HEADER.encode() in headers:
            call.claim = None
        if RELAY_RETRY_HEADER.encode() in headers:
            call.arrival.attempt = max(2, call.arrival.attempt)


def build_door(address: str | None) -> RelayDoor | None:
    """Build the door of an entry at an address, if it has one."""
    if address is None:
        return None
    token = NAMING_MARK + secrets.token_urlsafe(TOKEN_BYTES)
    return RelayDoor(address, token)


def describe_outcome(
    outcome: str, reason: str = "", retry_after_s: float = 0.0
) -> list[tuple[str, str]]:
    """Return the headers that tell the other entry what became of a call."""
    headers = [(RELAY_OUTCOME_HEADER, outcome)]
    if outcome in NOT_RUN_OUTCOMES:
        headers.append((RELAY_REASON_HEADER, reason))
        headers.append((RELAY_RETRY_HEADER, f"{retry_after_s:.3f}"))
    return headers
