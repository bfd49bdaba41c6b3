"""Identify the organisations that callers belong to."""

import hashlib
import secrets
from typing import Any

from nutmegchute_core.calls import Deny
from nutmegchute_core.organisations import list_keys
from nutmegchute_core.organisations import Organisation
from nutmegchute_core.organisations import Organisations
from nutmegchute_core.organisations import read_organisations

from .fingerprints import add_organisation
from .pending_calls import PendingCall
from .readers import AUTHORIZATION

SECRET_BYTES = 32
PROOF_BYTES = 16
KEY_MISSING = "a key is required"
KEY_UNCLEAR = "one key is required"
KEY_UNKNOWN = "the key is not valid"


def prove_key(key: bytes, token: str) -> str:
    """Return a text that shows a key to the entry with a token.

    It is worth nothing to others, unlike the key itself.
    """
    return hashlib.blake2b(
        key, digest_size=PROOF_BYTES, key=token.encode()
    ).hexdigest()


class Identifier:
    """Check the keys of calls and name their organisations to upstreams.

    ``header`` is the header that names an organisation, ``token`` that of
    this entry, by which other entries prove the keys of their callers. Not
    thread-safe: use it on the event loop only.
    """

    __slots__ = ("_header", "_organisations", "_proofs", "_secret", "_token")

    def __init__(self, header: str, token: str = "") -> None:
        self._header = header
        self._token = token
        self._secret = secrets.token_bytes(SECRET_BYTES)
        self._organisations = Organisations(self._secret)
        self._proofs: dict[str, Organisation] = {}

    @property
    def organisations(self) -> Organisations:
        """Return the organisations and keys in force."""
        return self._organisations

    def configure(self, documents: dict[str, Any]) -> None:
        """Apply the organisations that a tree declares."""
        self._organisations = read_organisations(documents, self._secret)
        self._proofs = {}
        if not self._token:
            return
        for key, organisation in list_keys(documents, self._organisations):
            self._proofs[prove_key(key, self._token)] = organisation

    def identify(self, call: PendingCall, anonymous: bool) -> Deny | None:
        """Set a call's organisation; return why it is denied, or None.

        The key is removed from the request and the organisation's name added,
        whatever the caller sent in that header. Where no organisations are
        declared the request stays as it is.
        """
        if not self._organisations.required:
            call.fingerprint = call.keyed_fingerprint
            return None
        arrival = call.arrival
        if arrival.key is None and arrival.key_proof is None:
            self._name(call, None)
            return None if anonymous else Deny(0, KEY_MISSING)
        if arrival.key == b"":
            return Deny(0, KEY_UNCLEAR)
        organisation = self._find(call)
        if organisation is None:
            return Deny(0, KEY_UNKNOWN)
        # A call that waited through a change is identified twice.
        if call.organisation is None:
            call.fingerprint = add_organisation(
                call.fingerprint, organisation.name
            )
        self._name(call, organisation)
        return None

    def knows(self, call: PendingCall) -> bool:
        """Return whether a call may be admitted that had an unknown key."""
        if not self._organisations.required:
            return True
        return self._find(call) is not None

    def confirm(self, call: PendingCall) -> bool:
        """Identify an admitted call anew; return whether its key is valid.

        A key may have moved to another organisation, which the call belongs
        to from then on. A call that was admitted while no keys were required
        may be sent, but without its key.
        """
        if not self._organisations.required:
            return True
        organisation = self._find(call)
        if organisation is None and call.organisation is not None:
            return False
        self._name(call, organisation)
        return True

    def _find(self, call: PendingCall) -> Organisation | None:
        """Return the organisation that the key of a call belongs to."""
        if call.arrival.key_proof is not None:
            return self._proofs.get(call.arrival.key_proof)
        key = call.arrival.key
        return self._organisations.find(key) if key else None

    def _name(
        self, call: PendingCall, organisation: Organisation | None
    ) -> None:
        # A copy, as a worker thread may be reading the headers.
        headers = call.request.headers.copy()
        headers.discard(AUTHORIZATION)
        headers.discard(self._header)
        # Servers that pass headers on as variables take both for one.
        headers.discard(self._header.replace("-", "_"))
        if organisation is not None:
            # Header values are written as Latin-1.
            name = organisation.name.encode().decode("latin-1")
            headers[self._header] = name
        call.request.headers = headers
        call.organisation = organisation
