"""List the control replicas and change their membership."""

from typing import Any

from .errors import EXIT_DONE
from .errors import RefusedError
from .options import Options
from .tables import print_rows

ACCEPTED = "accepted"
WAITING = "waiting"


def run(options: Options) -> int:
    """Run the replicas command that was given."""
    if options.is_given("add"):
        return _send(
            options, {"action": "add", **_build_member(options, "NAME")}
        )
    if options.is_given("remove"):
        name = options.text("NAME")
        return _send(options, {"action": "remove", "name": name})
    if options.is_given("replace"):
        body = {"action": "replace", **_build_member(options, "NEW")}
        return _send(options, {**body, "replaces": options.text("NAME")})
    found = options.control().get("/replicas")
    rows = list(found["replicas"])
    for member in found["waiting"]:
        rows.append({**member, "kind": WAITING})
    columns = ["name", "kind", "grpc_address", "http_address", "match_index"]
    columns.append("silent_s")
    print_rows(rows, columns, options.json)
    return EXIT_DONE


def _build_member(options: Options, name: str) -> dict[str, str]:
    return {
        "name": options.text(name),
        "grpc_address": options.text("GRPC_ADDRESS"),
        "http_address": options.text("HTTP_ADDRESS"),
    }


def _send(options: Options, body: dict[str, Any]) -> int:
    # Without a wait, each replica is tried at most once: unlike a change, the
    # request has no id, and a resend after a lost answer would be refused
    # although the first was applied.
    answer = options.control().post("/replicas", body, 0.0)
    if answer["outcome"] != ACCEPTED:
        raise RefusedError(f"{answer['outcome']}: {answer['detail']}")
    print(answer["detail"] or "done")
    return EXIT_DONE
