"""Define what control replicas store and send to one another."""

import msgspec

from .commands import Command
from .memberships import Membership


class LogEntry(msgspec.Struct, frozen=True):
    """Hold one command with its term and index."""

    term: int
    index: int
    command: Command


class HardState(msgspec.Struct, frozen=True):
    """Hold the term and the vote, which must survive a restart."""

    term: int = 0
    voted_for: str | None = None


class Snapshot(msgspec.Struct, frozen=True):
    """Hold the state after all entries up to an index."""

    index: int = 0
    term: int = 0
    membership: Membership = Membership()
    state: bytes = b""


class VoteRequest(msgspec.Struct, frozen=True, tag=True):
    """Request a vote in a term, or a pre-vote."""

    source: str
    target: str
    term: int
    last_index: int
    last_term: int
    pre: bool
    handed_over: bool = False


class VoteReply(msgspec.Struct, frozen=True, tag=True):
    """Grant or deny a vote or pre-vote."""

    source: str
    target: str
    term: int
    granted: bool
    pre: bool


class AppendRequest(msgspec.Struct, frozen=True, tag=True):
    """Carry log entries to a member, or none as a heartbeat."""

    source: str
    target: str
    term: int
    round: int
    previous_index: int
    previous_term: int
    entries: list[LogEntry]
    commit: int


class AppendReply(msgspec.Struct, frozen=True, tag=True):
    """Report up to which index the logs match, or where to retry."""

    source: str
    target: str
    term: int
    round: int
    agreed: bool
    match_index: int


class InstallRequest(msgspec.Struct, frozen=True, tag=True):
    """Carry one chunk of a snapshot to a replica that lags far behind."""

    source: str
    target: str
    term: int
    round: int
    index: int
    snapshot_term: int
    membership: Membership
    offset: int
    total: int
    piece: bytes


class InstallReply(msgspec.Struct, frozen=True, tag=True):
    """Report how many bytes of the snapshot have been received."""

    source: str
    target: str
    term: int
    round: int
    index: int
    received: int
    done: bool


class HandOver(msgspec.Struct, frozen=True, tag=True):
    """Request an immediate election by a follower (leadership transfer)."""

    source: str
    target: str
    term: int


class Retire(msgspec.Struct, frozen=True, tag=True):
    """Notify the leader that this voter is about to stop."""

    source: str
    target: str
    term: int


Message = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | InstallRequest
    | InstallReply
    | HandOver
    | Retire
)


class Delivery(msgspec.Struct, frozen=True):
    """Carry messages between two replicas of a group."""

    group: str
    messages: list[Message]


def vote_reply(request: VoteRequest, term: int, granted: bool) -> VoteReply:
    """Build the reply to a vote request."""
    return VoteReply(
        source=request.target,
        target=request.source,
        term=term,
        granted=granted,
        pre=request.pre,
    )


def append_reply(
    request: AppendRequest, term: int, agreed: bool, match_index: int
) -> AppendReply:
    """Build the reply to an append request."""
    return AppendReply(
        source=request.target,
        target=request.source,
        term=term,
        round=request.round,
        agreed=agreed,
        match_index=match_index,
    )


def install_reply(
    request: InstallRequest, term: int, received: int, done: bool
) -> InstallReply:
    """Build the reply to a chunk of a snapshot."""
    return InstallReply(
        source=request.target,
        target=request.source,
        term=term,
        round=request.round,
        index=request.index,
        received=received,
        done=done,
    )
