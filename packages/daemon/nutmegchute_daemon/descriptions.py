"""Describe control replicas to operators."""

from typing import Any

from nutmegchute_core.memberships import Member
from nutmegchute_core.replicas import LEADER
from nutmegchute_core.replicas import Replica

TAKING_OVER = "taking-over"


def describe_idle(name: str, problem: str | None) -> dict[str, Any]:
    """Describe a replica that has not formed a group, or whose disk fails."""
    return {
        "name": name,
        "state": "forming" if problem is None else "storage-failed",
        "leader": None,
        "problem": problem,
        "index": 0,
        "in_force": False,
        "entries": {},
    }


def describe_state(replica: Replica) -> str:
    """Return the state shown for a replica.

    A leader is shown as such only once it is ready. Operators read from the
    leader, and one elected just after a start has applied nothing beyond its
    snapshot, so that it would show an empty tree.
    """
    if replica.state == LEADER and not replica.is_ready:
        return TAKING_OVER
    return replica.state


def describe_member(
    replica: Replica, member: Member, now: float
) -> dict[str, Any]:
    """Describe one member from a replica's point of view."""
    contact_at = replica.last_contact_at(member.identity)
    leads = member.identity == replica.leader
    kind = "voter" if member.voter else "learner"
    return {
        "name": member.name,
        "kind": "leader" if leads else kind,
        "identity": member.identity,
        "grpc_address": member.grpc_address,
        "http_address": member.http_address,
        "voter": member.voter,
        "match_index": replica.match_index(member.identity),
        "silent_s": None if contact_at is None else now - contact_at,
    }
