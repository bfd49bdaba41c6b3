"""Identify the organisations that callers belong to."""

import secrets
from typing import Any

from nutmegchute_core.calls import Deny
from nutmegchute_core.organisations import Organisations
from nutmegchute_core.organisations import read_organisations

from .pending_calls import PendingCall
from .readers import AUTHORIZATION

SECRET_BYTES = 32
KEY_MISSING = "a key is required"
KEY_UNKNOWN = "the key is not valid"


class Identifier:
    """Check the keys of calls and name their organisations to upstreams.

    ``header`` is the header that names an organisation. Not thread-safe: use
    it on the event loop only.
    """

    __slots__ = ("_header", "_organisations", "_secret")

    def __init__(self, header: str) -> None:
        self._header = header
        self._secret = secrets.token_bytes(SECRET_BYTES)
        self._organisations = Organisations(self._secret)

    @property
    def organisations(self) -> Organisations:
        """Return the organisations and keys in force."""
        return self._organisations

    def configure(self, documents: dict[str, Any]) -> None:
        """Apply the organisations that a tree declares."""
        self._organisations = read_organisations(documents, self._secret)

    def identify(self, call: PendingCall, anonymous: bool) -> Deny | None:
        """Set a call's organisation; return why it is denied, or None.

        The key is removed from the request and the organisation's name added,
        whatever the caller sent in that header. Where no organisations are
        declared the request stays as it is.
        """
        if not self._organisations.required:
            return None
        key = call.arrival.key
        headers = call.request.headers
        headers.discard(AUTHORIZATION)
        headers.discard(self._header)
        if key is None:
            return None if anonymous else Deny(0, KEY_MISSING)
        organisation = self._organisations.find(key)
        if organisation is None:
            return Deny(0, KEY_UNKNOWN)
        call.organisation = organisation
        # Header values are written as Latin-1.
        headers[self._header] = organisation.name.encode().decode("latin-1")
        return None

    def is_valid(self, call: PendingCall) -> bool:
        """Return whether a call's key still belongs to its organisation."""
        if call.organisation is None or call.arrival.key is None:
            return True
        found = self._organisations.find(call.arrival.key)
        return found is not None and found.name == call.organisation.name
