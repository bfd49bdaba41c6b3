"""Find the organisation that a caller's key belongs to."""

import hashlib
from typing import Any

# The section of a team's document that declares organisations.
SECTION = "organisations"
DEFAULT_PRIORITY = 0
DIGEST_BYTES = 16
# Hex digits of a key's digest that operators see. They tell two keys apart
# and are too few to confirm a guess of a random key.
MASK_DIGITS = 8


class Organisation:
    """Hold the quota and the priority of one organisation.

    ``rate_per_s`` is the number of calls a second that all entries together
    admit, 0 if it is not limited; ``burst`` may come on top of it at once.
    ``priority`` goes before that of the route; 0 is the most urgent.
    """

    __slots__ = ("_burst", "_name", "_priority", "_rate_per_s")

    def __init__(self, name: str, document: dict[str, Any]) -> None:
        self._name = name
        self._rate_per_s = float(document.get("rate_per_s", 0.0))
        self._burst = float(document.get("burst", 0.0))
        self._priority = int(document.get("priority", DEFAULT_PRIORITY))

    @property
    def name(self) -> str:
        """Return the name, as upstreams receive it."""
        return self._name

    @property
    def rate_per_s(self) -> float:
        """Return the calls a second that are admitted, 0 if unlimited."""
        return self._rate_per_s

    @property
    def burst(self) -> float:
        """Return the calls admitted at once on top of the rate."""
        return self._burst

    @property
    def priority(self) -> int:
        """Return the priority; 0 is the most urgent."""
        return self._priority

    @property
    def has_quota(self) -> bool:
        """Return whether the calls of this organisation are limited."""
        return self._rate_per_s > 0


class Organisations:
    """Hold the organisations and the keys that are in force.

    Keys are found by a keyed hash: comparing texts would take longer the
    more characters match, and tell a caller how far it guessed right.
    """

    __slots__ = ("_by_digest", "_by_name", "_required", "_secret")

    def __init__(self, secret: bytes, required: bool = False) -> None:
        self._secret = secret
        self._required = required
        self._by_digest: dict[bytes, Organisation] = {}
        self._by_name: dict[str, Organisation] = {}

    @property
    def required(self) -> bool:
        """Return whether calls need a key."""
        return self._required

    @property
    def by_name(self) -> dict[str, Organisation]:
        """Return the organisations by name."""
        return self._by_name

    def add(self, organisation: Organisation, keys: list[str]) -> None:
        """Add an organisation and its keys."""
        self._by_name[organisation.name] = organisation
        for key in keys:
            self._by_digest[self._digest(key.encode())] = organisation

    def find(self, key: bytes) -> Organisation | None:
        """Return the organisation that a key belongs to, if any."""
        return self._by_digest.get(self._digest(key))

    def _digest(self, key: bytes) -> bytes:
        return hashlib.blake2b(
            key, digest_size=DIGEST_BYTES, key=self._secret
        ).digest()


def mask_key(key: str) -> str:
    """Return a text by which an operator recognises a key."""
    digest = hashlib.sha256(key.encode()).hexdigest()
    return f"sha256:{digest[:MASK_DIGITS]}"


def mask_document(document: Any) -> Any:
    """Return a team's checked document with masked keys."""
    if not document or SECTION not in document:
        return document
    section = {}
    for name, organisation in document[SECTION].items():
        masked = dict(organisation)
        if "keys" in organisation:
            masked["keys"] = [mask_key(key) for key in organisation["keys"]]
        section[name] = masked
    return {**document, SECTION: section}


def mask_documents(documents: dict[str, Any]) -> dict[str, Any]:
    """Return the documents of a checked tree with masked keys."""
    return {team: mask_document(one) for team, one in documents.items()}


def list_organisations(documents: dict[str, Any]) -> list[Organisation]:
    """Return the organisations that a checked tree declares."""
    found = []
    for document in documents.values():
        for name, one in document.get("organisations", {}).items():
            found.append(Organisation(name, one))
    return found


def list_keys(
    documents: dict[str, Any], organisations: Organisations
) -> list[tuple[bytes, Organisation]]:
    """Return each key of a checked tree with its organisation."""
    found = []
    for team in sorted(documents):
        for name, one in documents[team].get(SECTION, {}).items():
            for key in one.get("keys", []):
                organisation = organisations.by_name[name]
                found.append((key.encode(), organisation))
    return found


def read_organisations(
    documents: dict[str, Any], secret: bytes
) -> Organisations:
    """Build the organisations that a checked tree declares."""
    sections = {}
    for team in sorted(documents):
        section = documents[team].get(SECTION)
        if section is not None:
            sections[team] = section
    found = Organisations(secret, bool(sections))
    for section in sections.values():
        for name, document in section.items():
            found.add(Organisation(name, document), document.get("keys", []))
    return found
