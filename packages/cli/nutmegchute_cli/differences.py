"""Tell documents apart, place by place."""

from typing import Any

import msgspec

ADDED = "+"
REMOVED = "-"
CHANGED = "~"

VALUE_CHARACTERS = 60


class Difference:
    """Name one place and what stands there before and after."""

    __slots__ = ("_after", "_before", "_kind", "_place")

    def __init__(self, kind: str, place: str, before: Any, after: Any) -> None:
        self._kind = kind
        self._place = place
        self._before = before
        self._after = after

    @property
    def kind(self) -> str:
        """Give one of ADDED, REMOVED and CHANGED."""
        return self._kind

    @property
    def place(self) -> str:
        """Name the place as a path."""
        return self._place

    def as_dict(self) -> dict[str, Any]:
        """Return the difference as JSON shows it."""
        return {
            "kind": self._kind,
            "place": self._place,
            "before": self._before,
            "after": self._after,
        }

    def __str__(self) -> str:
        """Return the difference as one line."""
        head = f"{self._kind} {self._place}: "
        if self._kind == ADDED:
            return head + _short(self._after)
        if self._kind == REMOVED:
            return head + _short(self._before)
        return f"{head}{_short(self._before)} -> {_short(self._after)}"


def compare(before: Any, after: Any, place: str = "") -> list[Difference]:
    """List every place where two documents differ."""
    # Not by ==, in which true equals 1: a plan would hide that change.
    if _encode(before) == _encode(after):
        return []
    if isinstance(before, dict) and isinstance(after, dict):
        return _compare_maps(before, after, place)
    if _named(before) and _named(after):
        return _compare_named(before, after, place)
    return [Difference(CHANGED, place or "(all)", before, after)]


def _compare_maps(
    before: dict[str, Any], after: dict[str, Any], place: str
) -> list[Difference]:
    found: list[Difference] = []
    for key in sorted(before.keys() | after.keys()):
        below = f"{place}/{key}" if place else key
        if key not in before:
            found.append(Difference(ADDED, below, None, after[key]))
            continue
        if key not in after:
            found.append(Difference(REMOVED, below, before[key], None))
            continue
        found.extend(compare(before[key], after[key], below))
    return found


def _compare_named(
    before: list[dict[str, Any]], after: list[dict[str, Any]], place: str
) -> list[Difference]:
    old = {one["name"]: one for one in before}
    new = {one["name"]: one for one in after}
    found = _compare_maps(old, new, place)
    # The first rule that matches a request wins, so an order that alone
    # changes can still change what happens to a loan.
    kept_before = [name for name in old if name in new]
    kept_after = [name for name in new if name in old]
    if kept_before != kept_after:
        found.append(
            Difference(CHANGED, f"{place} (order)", list(old), list(new))
        )
    return found


def _named(value: Any) -> bool:
    """Tell whether a list can be compared by its items' names."""
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


def _short(value: Any) -> str:
    text = msgspec.json.encode(value).decode()
    if len(text) <= VALUE_CHARACTERS:
        return text
    return text[: VALUE_CHARACTERS - 3] + "..."
