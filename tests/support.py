"""Build rules, teams and announcements for tests."""

from typing import Any

from nutmegchute_core.calls import NOT_RUN
from nutmegchute_core.calls import Result
from nutmegchute_core.evidence import Evidence
from nutmegchute_core.evidence import REJECTED
from nutmegchute_core.members import Announcement


def rule(**values: Any) -> dict[str, Any]:
    """Build a rule's document."""
    document = {"name": "lookup", "idempotent": True, "reason": "a test"}
    document.update(values)
    return document


def team(**services: list[dict[str, Any]]) -> dict[str, Any]:
    """Build a team's document from rules by service."""
    return {
        "services": {
            name: {"slots": 2, "rules": rules}
            for name, rules in services.items()
        }
    }


def announcement(endpoint: str, **values: Any) -> Announcement:
    """Build an announcement of service "catalogo"."""
    fields: dict[str, Any] = {
        "service": "catalogo",
        "endpoint": endpoint,
        "availability_zone": "surco",
        "slots": 2,
        "incarnation": 1,
    }
    fields.update(values)
    return Announcement(**fields)


def build_result(
    call_id: int, attempt: int, outcome: str, *args: Any, **values: Any
) -> Result:
    """Build the result of an attempt; "not run" carries its evidence."""
    if outcome == NOT_RUN:
        values["evidence"] = Evidence(REJECTED, call_id, attempt)
    return Result(call_id, attempt, outcome, *args, **values)
