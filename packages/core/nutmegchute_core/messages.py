"""Define what control replicas store and say to one another."""

import msgspec

from .commands import Command
from .memberships import Membership


class LogEntry(msgspec.Struct, frozen=True):
    """Hold one command at its place in the log."""

    term: int
    index: int
    command: Command


class HardState(msgspec.Struct, frozen=True):
    """Hold what a replica must remember through a restart."""

    term: int = 0
    voted_for: str | None = None


class Snapshot(msgspec.Struct, frozen=True):
    """Stand for all entries up to an index."""

    index: int = 0
    term: int = 0
    membership: Membership = Membership()
    state: bytes = b""


class VoteRequest(msgspec.Struct, frozen=True, tag=True):
    """Ask for a vote in a term, or only whether it would be given."""

    source: str
    target: str
    term: int
    last_index: int
    last_term: int
    pre: bool
    handed_over: bool = False


class VoteReply(msgspec.Struct, frozen=True, tag=True):
    """Grant or deny a vote."""

    source: str
    target: str
    term: int
    granted: bool
    pre: bool


class AppendRequest(msgspec.Struct, frozen=True, tag=True):
    """Send log entries, or none as a heartbeat."""

    source: str
    target: str
    term: int
    round: int
    previous_index: int
    previous_term: int
    entries: list[LogEntry]
    commit: int


class AppendReply(msgspec.Struct, frozen=True, tag=True):
    """Tell how far the follower's log agrees with the leader's."""

    source: str
    target: str
    term: int
    round: int
    agreed: bool
    match_index: int


class InstallRequest(msgspec.Struct, frozen=True, tag=True):
    """Send one piece of a snapshot to a replica far behind."""

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
    """Tell how many bytes of the snapshot have arrived."""

    source: str
    target: str
    term: int
    round: int
    index: int
    received: int
    done: bool


class HandOver(msgspec.Struct, frozen=True, tag=True):
    """Ask a follower to take the lead at once: this leader stops."""

    source: str
    target: str
    term: int


class Retire(msgspec.Struct, frozen=True, tag=True):
    """Tell the leader that this replica stops and need not vote."""

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
    """Carry messages of one group from one replica to another."""

    group: str
    messages: list[Message]


def vote_reply(request: VoteRequest, term: int, granted: bool) -> VoteReply:
    """Answer a question for a vote."""
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
    """Answer what log entries were sent."""
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
    """Answer a piece of a snapshot."""
    return InstallReply(
        source=request.target,
        target=request.source,
        term=term,
        round=request.round,
        index=request.index,
        received=received,
        done=done,
    )
