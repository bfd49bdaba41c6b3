"""Answer callers that ask which entries to use."""

import msgspec

ENTRY_LEASE_S = 3.0


class EntryWord(msgspec.Struct, frozen=True):
    """Describe one entry as callers may use it."""

    name: str
    address: str
    availability_zone: str
    draining: bool = False


class Directory:
    """Keep the entries heard of lately and choose a subset per caller."""

    __slots__ = ("_heard", "_self")

    def __init__(self, own: EntryWord) -> None:
        self._self = own
        self._heard: dict[str, tuple[EntryWord, float]] = {}

    def hear(self, word: EntryWord, now: float) -> None:
        """Take an entry's word about itself."""
        if word.name == self._self.name:
            return
        self._heard[word.name] = (word, now)

    def drain(self) -> None:
        """Mark this entry as leaving."""
        self._self = msgspec.structs.replace(self._self, draining=True)

    @property
    def own(self) -> EntryWord:
        """Describe this entry itself."""
        return self._self

    def usable(self, now: float) -> list[EntryWord]:
        """List the entries that callers may be given, by name."""
        words = [] if self._self.draining else [self._self]
        for word, heard_at in self._heard.values():
            if word.draining or now - heard_at > ENTRY_LEASE_S:
                continue
            words.append(word)
        return sorted(words, key=lambda word: word.name)

    def answer(
        self, availability_zone: str | None, most: int, turn: int, now: float
    ) -> list[EntryWord]:
        """Choose up to ``most`` entries, the caller's zone first.

        ``turn`` rotates the list so that callers spread evenly.
        """
        words = self.usable(now)
        if not words:
            return []
        start = turn % len(words)
        rotated = words[start:] + words[:start]
        rotated.sort(
            key=lambda word: word.availability_zone != availability_zone
        )
        return rotated[:most]
