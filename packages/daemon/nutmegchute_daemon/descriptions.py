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
    """Name what a replica is; a leader leads once it knows its own log.

    Operators read from the leader. One that has just been elected after a
    start has applied nothing since its snapshot, and would show an empty tree.
    """
    if replica.state == LEADER and not replica.is_ready:
        return TAKING_OVER
    return replica.state


def describe_member(
    replica: Replica, member: Member, now: float
) -> dict[str, Any]:
    """Describe one member as a replica knows it."""
    heard_at = replica.last_contact_at(member.identity)
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
        "silent_s": None if heard_at is None else now - heard_at,
    }
