"""Operate nutmegchute.

Usage:
  nutmegchute status [--control=ADDRESSES]
  nutmegchute plan FOLDER [--control=ADDRESSES]
  nutmegchute apply FOLDER [--control=ADDRESSES] [--wait-s=S]
  nutmegchute show [--control=ADDRESSES]
  nutmegchute audit [--control=ADDRESSES]
  nutmegchute -h | --help

Options:
  --control=ADDRESSES  Control replicas' HTTP addresses, separated by
                       commas; else the variable NUTMEGCHUTE_CONTROL.
  --wait-s=S           Seconds to wait for "in force" [default: 12].

The operator's key is taken from the variable NUTMEGCHUTE_KEY.

Exit statuses: 0 done, 1 refused or conflict, 2 wrong use or declaration,
3 not reachable, 4 outcome not known or not yet in force.
"""

import os
import sys
import time
from pathlib import Path
from typing import Any

import msgspec
from docopt import docopt

from .clients import ControlClient
from .declarations import change_id
from .declarations import read_declarations
from .errors import CliError
from .errors import OutcomeUnknownError
from .errors import UnreachableError

EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
EXIT_UNKNOWN = 4

POLL_S = 0.05


def main() -> int:
    """Run one command and return its exit status."""
    arguments = docopt(__doc__)
    control = arguments["--control"] or os.environ.get(
        "NUTMEGCHUTE_CONTROL", ""
    )
    if not control:
        return _fail("name the control replicas with --control", EXIT_USAGE)
    key = os.environ.get("NUTMEGCHUTE_KEY", "")
    client = ControlClient(control.split(","), key)
    try:
        return _run(arguments, client)
    except UnreachableError as error:
        return _fail(str(error), EXIT_UNREACHABLE)
    except OutcomeUnknownError as error:
        return _fail(str(error), EXIT_UNKNOWN)
    except CliError as error:
        return _fail(str(error), EXIT_REFUSED)


def _run(arguments: dict[str, Any], client: ControlClient) -> int:
    for name in ("status", "audit"):
        if arguments[name]:
            return _show(client.get(f"/{name}"))
    if arguments["show"]:
        return _show(client.get("/tree"))
    declared = read_declarations(Path(arguments["FOLDER"]))
    documents = declared.value_or(None)
    if documents is None:
        return _fail(str(declared.failure()), EXIT_USAGE)
    tree = client.get_from_leader("/tree") or client.get("/tree")
    changed = _difference(tree, documents)
    if arguments["plan"]:
        return _plan(tree, changed)
    return _apply(client, tree, changed, float(arguments["--wait-s"]))


def _difference(
    tree: dict[str, Any], documents: dict[str, Any]
) -> dict[str, Any]:
    changed: dict[str, Any] = {}
    for team, document in documents.items():
        if tree["documents"].get(team) != document:
            changed[team] = document
    return changed


def _plan(tree: dict[str, Any], changed: dict[str, Any]) -> int:
    if not changed:
        print("nothing to change")
    for team in changed:
        revision = tree["revisions"].get(team, 0)
        print(f"{team}: revision {revision} -> {revision + 1}")
    return EXIT_DONE


def _apply(
    client: ControlClient,
    tree: dict[str, Any],
    changed: dict[str, Any],
    wait_s: float,
) -> int:
    if not changed:
        print("nothing to change")
        return EXIT_DONE
    bases = {team: tree["revisions"].get(team, 0) for team in changed}
    body = {
        "change_id": change_id(bases, changed),
        "bases": bases,
        "documents": changed,
    }
    answer = client.change(body)
    if answer["outcome"] != "accepted":
        return _fail(f"{answer['outcome']}: {answer['detail']}", EXIT_REFUSED)
    print(f"accepted: {answer['revisions']}")
    return _wait(client, answer["index"], wait_s)


def _wait(client: ControlClient, index: int, wait_s: float) -> int:
    deadline = time.monotonic() + wait_s
    while time.monotonic() < deadline:
        status = client.get_from_leader("/status")
        if status and status["index"] >= index and status["in_force"]:
            print("in force everywhere")
            return EXIT_DONE
        time.sleep(POLL_S)
    return _fail(
        f"accepted, but not yet in force everywhere after {wait_s} s; "
        "see nutmegchute status",
        EXIT_UNKNOWN,
    )


def _show(value: Any) -> int:
    print(msgspec.json.format(msgspec.json.encode(value)).decode())
    return EXIT_DONE


def _fail(message: str, status: int) -> int:
    print(message, file=sys.stderr)
    return status


if __name__ == "__main__":
    sys.exit(main())
