"""List daemons, endpoints, declarations and audit records."""

import datetime
from typing import Any

from nutmegchute_core.organisations import mask_documents

from .errors import EXIT_DONE
from .errors import EXIT_UNKNOWN
from .errors import UsageError
from .options import Options
from .tables import print_json
from .tables import print_rows

CHANGE_ID_CHARACTERS = 8
# Requests all records that the replicas keep, as they are filtered here.
AUDIT_PATH = "/audit?limit=100000"


def status(options: Options) -> int:
    """List the control replicas; return EXIT_UNKNOWN without a leader."""
    rows = []
    has_leader = False
    for address, found in options.control().statuses().items():
        found = found or {"state": "silent"}
        has_leader = has_leader or found["state"] == "leader"
        rows.append({"address": address, **found})
    columns = ["address", "name", "state", "term", "commit", "in_force"]
    print_rows(rows, columns, options.json)
    return EXIT_DONE if has_leader else EXIT_UNKNOWN


def entries(options: Options) -> int:
    """List the entries that control or, if given, one entry knows."""
    if options.has_entry:
        found = options.entry().get("/status")
        columns = ["name", "address", "availability_zone", "draining"]
        print_rows(found["entries"], columns, options.json)
        return EXIT_DONE
    found = options.control().get("/status")
    rows = []
    for name, applied in sorted(found["entries"].items()):
        current = applied >= found["index"]
        rows.append({"name": name, "index": applied, "current": current})
    print_rows(rows, ["name", "index", "current"], options.json)
    return EXIT_DONE


def upstreams(options: Options) -> int:
    """List the live endpoints that one entry knows."""
    rows = []
    for row in options.entry().get("/status")["upstreams"]:
        if options.text("SERVICE") in ("", row["service"]):
            rows.append(row)
    rows.sort(key=lambda row: (row["service"], row["endpoint"]))
    columns = ["service", "endpoint", "availability_zone", "state", "slots"]
    print_rows(rows, columns, options.json)
    return EXIT_DONE


def services(options: Options) -> int:
    """List the declared services, one line per rule."""
    documents = options.control().get("/tree")["documents"]
    wanted = options.text("SERVICE")
    rows = []
    for team in sorted(documents):
        for name, service in sorted(documents[team]["services"].items()):
            if wanted in ("", name):
                rows.extend(_build_rule_rows(team, name, service))
    if wanted and not rows:
        raise UsageError(f"no service {wanted!r}; see nutmegchute services")
    columns = ["team", "service", "rule", "method", "path_prefix"]
    columns += ["idempotent", "priority", "deadline_ms"]
    print_rows(rows, columns, options.json)
    return EXIT_DONE


def show(options: Options) -> int:
    """Print the tree or one branch, always as JSON."""
    tree = options.control().get("/tree")
    if not tree.get("masked"):
        tree["documents"] = mask_documents(tree["documents"])
    team = options.text("TEAM")
    if not team:
        print_json(tree)
        return EXIT_DONE
    if team not in tree["documents"]:
        raise UsageError(f"no branch {team!r}; see nutmegchute show")
    print_json(tree["documents"][team])
    return EXIT_DONE


def audit(options: Options) -> int:
    """List changes and their operators, newest last."""
    wanted = options.text("TEAM")
    rows = []
    for record in options.control().get(AUDIT_PATH):
        if not wanted or wanted in record.get("to_revisions", {}):
            rows.append(record)
    rows = rows[-options.limit :] if options.limit else rows
    if options.json:
        print_json(rows)
        return EXIT_DONE
    columns = ["at", "index", "operator", "outcome", "branches", "change"]
    columns.append("detail")
    print_rows([_build_audit_row(row) for row in rows], columns, False)
    return EXIT_DONE


def _build_rule_rows(
    team: str, name: str, service: dict[str, Any]
) -> list[dict[str, Any]]:
    rows = []
    for rule in service["rules"]:
        row = {"team": team, "service": name, **rule}
        row["rule"] = row.pop("name")
        rows.append(row)
    return rows


def _build_audit_row(record: dict[str, Any]) -> dict[str, Any]:
    at = datetime.datetime.fromtimestamp(record["at_unix_s"], tz=datetime.UTC)
    before = record.get("from_revisions", {})
    after = record.get("to_revisions", {})
    branches = []
    for team in sorted(after):
        branches.append(f"{team} {before.get(team, 0)}->{after[team]}")
    return {
        **record,
        "at": at.strftime("%Y-%m-%dT%H:%M:%SZ"),
        "branches": ", ".join(branches) or None,
        "change": record["change_id"][:CHANGE_ID_CHARACTERS],
        "detail": record.get("detail") or None,
    }
