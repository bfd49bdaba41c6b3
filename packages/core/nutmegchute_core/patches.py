"""Change parts of the configuration tree."""

from typing import Any

import msgspec


class Patch(msgspec.Struct, frozen=True):
    """Add, replace or remove named items of a team's document.

    ``sections`` maps a section to its items by name; ``None`` as an item
    removes it. ``limits``, unless None, replaces the document's limits.
    """

    sections: dict[str, dict[str, Any]]
    limits: Any = None


class Step(msgspec.Struct, frozen=True):
    """Hold one accepted change as an incremental update of the tree.

    ``index`` is its log index, ``after`` that of the previous accepted
    change. An entry whose tree has index ``after`` or more can apply it.
    """

    index: int
    after: int
    documents: dict[str, Any]
    patches: dict[str, Patch]
    revisions: dict[str, int]


def apply_patch(document: dict[str, Any], patch: Patch) -> dict[str, Any]:
    """Return a copy of a document with a patch applied."""
    changed = dict(document)
    if patch.limits is not None:
        changed["limits"] = patch.limits
    for section, items in patch.sections.items():
        if section not in changed and _only_removes(items):
            # An empty section of organisations would require keys.
            continue
        merged = dict(changed.get(section, {}))
        for name, item in items.items():
            if item is None:
                merged.pop(name, None)
                continue
            merged[name] = item
        changed[section] = merged
    return changed


def _only_removes(items: dict[str, Any]) -> bool:
    return bool(items) and all(one is None for one in items.values())
