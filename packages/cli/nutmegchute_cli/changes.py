"""Plan and apply declarations."""

import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from nutmegchute_core.organisations import mask_document
from returns.result import Failure

from .clients import ControlClient
from .declarations import change_id
from .declarations import read_declarations
from .differences import compare
from .differences import Difference
from .errors import EXIT_DONE
from .errors import OutcomeUnknownError
from .errors import RefusedError
from .options import Options
from .tables import print_json

POLL_S = 0.05
ACCEPTED = "accepted"
CONFLICT = "conflict"


class Plan:
    """Compare a folder of declarations with a tree."""

    __slots__ = ("_bases", "_changed", "_is_masked", "_tree", "_without_file")

    def __init__(
        self, tree: dict[str, Any], documents: dict[str, Any], remove: bool
    ) -> None:
        self._tree = tree
        present = tree["documents"]
        self._without_file = sorted(set(present) - set(documents))
        self._changed: dict[str, Any] = {}
        # Without an operator's key, control masks the keys of callers.
        self._is_masked = tree.get("masked", False)
        for team, document in documents.items():
            shown = mask_document(document) if self._is_masked else document
            if present.get(team) != shown:
                self._changed[team] = document
        if remove:
            self._changed.update(dict.fromkeys(self._without_file))
        self._bases = {
            team: tree["revisions"].get(team, 0) for team in self._changed
        }

    @property
    def bases(self) -> dict[str, int]:
        """Return the current revision of each branch to change."""
        return self._bases

    @property
    def changed(self) -> dict[str, Any]:
        """Return the new document of each branch, None to remove it."""
        return self._changed

    @property
    def kept(self) -> list[str]:
        """Return the branches without a file that stay unchanged."""
        return [one for one in self._without_file if one not in self._changed]

    def differences(self, team: str) -> list[Difference]:
        """Return the differences in one branch, with masked keys."""
        before = self._tree["documents"].get(team)
        if not self._is_masked:
            before = mask_document(before)
        after = mask_document(self._changed[team])
        return compare(before or {}, after or {})


def plan(options: Options) -> int:
    """Print the changes that apply would make."""
    _print_plan(_read_plan(options, options.control()), options.json)
    return EXIT_DONE


def apply(options: Options) -> int:
    """Send the declarations and wait until they are in force."""
    client = options.control()
    planned = _read_plan(options, client)
    if not planned.changed:
        # A command that is repeated after a lost answer ends here. Its
        # change is in the tree already, but may not be in force yet.
        print("nothing to change: the tree holds these declarations")
        tree = client.get_from_leader("/tree")
        index = tree["index"] if tree is not None else 0
        return _wait_until_in_force(client, index, options.wait_s)
    _print_plan(planned, False)
    body = {
        "change_id": change_id(planned.bases, planned.changed, options.key),
        "bases": planned.bases,
        "documents": planned.changed,
    }
    answer = client.post("/changes", body, options.wait_s)
    if answer["outcome"] != ACCEPTED:
        raise RefusedError(_explain_refusal(client, answer, planned.changed))
    print(f"accepted: {_format_revisions(answer['revisions'])}")
    return _wait_until_in_force(client, answer["index"], options.wait_s)


def _read_plan(options: Options, client: ControlClient) -> Plan:
    declared = read_declarations(Path(options.text("FOLDER")))
    if isinstance(declared, Failure):
        raise declared.failure()
    return Plan(client.get("/tree"), declared.unwrap(), options.remove)


def _print_plan(planned: Plan, as_json: bool) -> None:
    if as_json:
        print_json(_build_plan_document(planned))
        return
    if not planned.changed:
        print("nothing to change")
    for team in sorted(planned.changed):
        base = planned.bases[team]
        suffix = "" if planned.changed[team] is not None else " (removed)"
        print(f"{team}: revision {base} -> {base + 1}{suffix}")
        for difference in planned.differences(team):
            print(f"  {difference}")
    for team in planned.kept:
        print(f"{team}: no file here, unchanged (--remove removes it)")


def _build_plan_document(planned: Plan) -> dict[str, Any]:
    changes = {}
    for team in planned.changed:
        changes[team] = {
            "base": planned.bases[team],
            "removed": planned.changed[team] is None,
            "differences": [
                one.as_dict() for one in planned.differences(team)
            ],
        }
    return {"changes": changes, "left_alone": planned.kept}


def _wait_until_in_force(
    client: ControlClient, index: int, wait_s: float
) -> int:
    deadline = time.monotonic() + wait_s
    while True:
        status = client.get_from_leader("/status")
        if status and status["index"] >= index and status["in_force"]:
            print("in force everywhere")
            return EXIT_DONE
        if time.monotonic() >= deadline:
            break
        time.sleep(POLL_S)
    raise OutcomeUnknownError(
        f"accepted, but not yet in force everywhere after {wait_s:g} s; "
        "see nutmegchute entries, and run the same command again"
    )


def _explain_refusal(
    client: ControlClient, answer: dict[str, Any], teams: Iterable[str]
) -> str:
    text = f"{answer['outcome']}: {answer['detail']}"
    if answer["outcome"] != CONFLICT:
        return text
    for record in reversed(client.get("/audit")):
        if record["outcome"] != ACCEPTED:
            continue
        shared = sorted(set(record["to_revisions"]) & set(teams))
        if not shared:
            continue
        return (
            f"{text}; {record['operator']} changed {', '.join(shared)} first "
            f"(change {record['change_id']}); merge that change, check "
            "nutmegchute plan, then apply again"
        )
    return f"{text}; check nutmegchute plan, then apply again"


def _format_revisions(revisions: dict[str, int]) -> str:
    parts = [f"{team} {number}" for team, number in sorted(revisions.items())]
    return ", ".join(parts)
