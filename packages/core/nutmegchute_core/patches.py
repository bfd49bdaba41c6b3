"""Say what a change does to parts of the configuration tree."""

from typing import Any

import msgspec


class Patch(msgspec.Struct, frozen=True):
    """Replace, add or remove named items of a team's document.

    ``sections`` maps a section to its items by name; ``None`` as an item
    removes it. ``limits`` replaces the limits where it is given.
    """

    sections: dict[str, dict[str, Any]]
    limits: Any = None


class Step(msgspec.Struct, frozen=True):
    """Hold what one accepted change did to the tree.

    ``index`` is its place in the log, ``after`` that of the change before
    it; an entry that holds the tree of then can take the step alone.
    """

    index: int
    after: int
    documents: dict[str, Any]
    patches: dict[str, Patch]
    revisions: dict[str, int]


def apply_patch(document: dict[str, Any], patch: Patch) -> dict[str, Any]:
    """Return a document with some of its items replaced or removed."""
    changed = dict(document)
    if patch.limits is not None:
        changed["limits"] = patch.limits
    for section, items in patch.sections.items():
        kept = dict(changed.get(section, {}))
        for name, item in items.items():
            if item is None:
                kept.pop(name, None)
                continue
            kept[name] = item
        changed[section] = kept
    return changed
