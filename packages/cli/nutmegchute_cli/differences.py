"""Compare documents."""

from typing import Any

import msgspec

ADDED = "+"
REMOVED = "-"
CHANGED = "~"

MAX_VALUE_CHARACTERS = 60


class Difference:
    """Hold one place and its values before and after."""

    __slots__ = ("_after", "_before", "_kind", "_place")

    def __init__(self, kind: str, place: str, before: Any, after: Any) -> None:
        self._kind = kind
        self._place = place
        self._before = before
        self._after = after

    @property
    def kind(self) -> str:
        """Return the kind of the difference: ADDED, REMOVED or CHANGED."""
        return self._kind

    @property
    def place(self) -> str:
        """Return the path of the place in the document."""
        return self._place

    def as_dict(self) -> dict[str, Any]:
        """Return the difference for the JSON output."""
        return {
            "kind": self._kind,
            "place": self._place,
            "before": self._before,
            "after": self._after,
        }

    def __str__(self) -> str:
        """Return the difference as one line."""
        prefix = f"{self._kind} {self._place}: "
        if self._kind == ADDED:
            return prefix + _shorten(self._after)
        if self._kind == REMOVED:
            return prefix + _shorten(self._before)
        return f"{prefix}{_shorten(self._before)} -> {_shorten(self._after)}"


def compare(before: Any, after: Any, place: str = "") -> list[Difference]:
    """Return every difference between two documents."""
    # With ==, True equals 1, and a plan would not show that change.
    if _encode(before) == _encode(after):
        return []
    if isinstance(before, dict) and isinstance(after, dict):
        return _compare_maps(before, after, place)
    if _has_unique_names(before) and _has_unique_names(after):
        return _compare_named(before, after, place)
    return [Difference(CHANGED, place or "(all)", before, after)]


def _compare_maps(
    before: dict[str, Any], after: dict[str, Any], place: str
) -> list[Difference]:
    found: list[Difference] = []
    for key in sorted(before.keys() | after.keys()):
        child = f"{place}/{key}" if place else key
        if key not in before:
            found.append(Difference(ADDED, child, None, after[key]))
            continue
        if key not in after:
            found.append(Difference(REMOVED, child, before[key], None))
            continue
        found.extend(compare(before[key], after[key], child))
    return found


def _compare_named(
    before: list[dict[str, Any]], after: list[dict[str, Any]], place: str
) -> list[Difference]:
    old = {one["name"]: one for one in before}
    new = {one["name"]: one for one in after}
    found = _compare_maps(old, new, place)
    # The first rule that matches a request applies, so a change of order
    # alone can change how requests are handled.
    kept_before = [name for name in old if name in new]
    kept_after = [name for name in new if name in old]
    if kept_before != kept_after:
        found.append(
            Difference(CHANGED, f"{place} (order)", list(old), list(new))
        )
    return found


def _has_unique_names(value: Any) -> bool:
    """Return whether a value is a list of items with unique names."""
    if not isinstance(value, list):
        return False
    names = []
    for one in value:
        if not isinstance(one, dict) or "name" not in one:
            return False
        names.append(one["name"])
    return len(set(names)) == len(names)


def _encode(value: Any) -> bytes:
    return msgspec.json.encode(value, order="deterministic")


def _shorten(value: Any) -> str:
    text = msgspec.json.encode(value).decode()
    if len(text) <= MAX_VALUE_CHARACTERS:
        return text
    return text[: MAX_VALUE_CHARACTERS - 3] + "..."
