"""Hold the long polls of entries that follow the tree, on the leader."""

import msgspec

from .follow_protocol import Enroll
from .follow_protocol import EntryProgress
from .follow_protocol import FollowReply
from .follow_protocol import FollowRequest
from .follow_protocol import HOLD_S
from .follow_protocol import Withdraw
from .nodes import Node
from .quarantines import QuarantineUpdate
from .replicas import LEADER

# Silence after which an entry is withdrawn; it enrolls again if it returns.
WITHDRAW_AFTER_S = 3600.0


class PendingPoll:
    """Hold one entry's request until its reply is confirmed and due.

    ``read_round`` is the round that a quorum must acknowledge. It is None
    for an entry that is being enrolled: the commit of its enrolment confirms
    the leader as well.
    """

    __slots__ = ("hold_until", "read_round", "request")

    def __init__(
        self, request: FollowRequest, read_round: int | None, hold_until: float
    ) -> None:
        self.request = request
        self.read_round = read_round
        self.hold_until = hold_until


class LongPolls:
    """Hold requests by id until their replies are due."""

    __slots__ = ("_polls", "_progress", "_term")

    def __init__(self) -> None:
        self._progress = EntryProgress(0.0)
        self._polls: dict[int, PendingPoll] = {}
        self._term: int | None = None

    @property
    def progress(self) -> EntryProgress:
        """Return the progress of the entries, as known to this leader."""
        return self._progress

    def enqueue(
        self, request_id: int, request: FollowRequest, node: Node, now: float
    ) -> FollowReply | None:
        """Add a request; return a redirect unless it is held here."""
        self._update_term(node, now)
        if self._term is None:
            return redirect(node)
        if request.leaving:
            node.propose(Withdraw(request.entry))
            self._progress.forget(request.entry)
            return redirect(node)
        self._progress.record(request, now)
        read_round: int | None = None
        if request.entry in node.machine.entries:
            read_round = node.replica.begin_read()
        else:
            # Enrolled before it gets its first tree, the entry is known to
            # every later leader, which waits for it or for its lease to
            # expire before it reports a change in force.
            node.propose(Enroll(request.entry))
        hold_until = now + HOLD_S if request.hold else now
        self._polls[request_id] = PendingPoll(request, read_round, hold_until)
        return None

    def advance(self, node: Node, now: float) -> dict[int, FollowReply]:
        """Return the replies that are due, by request id."""
        replies = self._update_term(node, now)
        if not node.replica.is_ready:
            return replies
        for request_id, poll in list(self._polls.items()):
            if not self._is_confirmed(poll, node):
                continue
            has_changes = _has_changes(node, poll.request)
            if not has_changes and now < poll.hold_until:
                continue
            del self._polls[request_id]
            replies[request_id] = _build_reply(node, poll.request)
        return replies

    def in_force(self, index: int, node: Node, now: float) -> bool:
        """Return whether every live entry has applied an index."""
        if not node.replica.is_ready or self._term != node.replica.term:
            return False
        return self._progress.in_force(index, node.machine.entries, now)

    def withdraw_silent(self, node: Node, now: float) -> None:
        """Withdraw the entries silent for more than WITHDRAW_AFTER_S."""
        if not node.replica.is_ready or self._term != node.replica.term:
            return
        for entry in sorted(node.machine.entries):
            if self._progress.silence_s(entry, now) > WITHDRAW_AFTER_S:
                node.propose(Withdraw(entry))

    def _update_term(self, node: Node, now: float) -> dict[int, FollowReply]:
        leads = node.replica.state == LEADER
        term = node.replica.term if leads else None
        if term == self._term:
            return {}
        self._term = term
        self._progress = EntryProgress(now)
        replies = {request_id: redirect(node) for request_id in self._polls}
        self._polls = {}
        return replies

    def _is_confirmed(self, poll: PendingPoll, node: Node) -> bool:
        # A leader that was deposed without noticing would reply with an older
        # tree, and a restarted entry would act on it.
        if poll.read_round is not None:
            return node.replica.confirmed_round >= poll.read_round
        return poll.request.entry in node.machine.entries


def redirect(node: Node) -> FollowReply:
    """Return a reply that names the leader, if this replica knows it."""
    leader = node.replica.membership.find(node.replica.leader)
    if leader is None or leader.identity == node.replica.identity:
        return FollowReply(None, None, False)
    return FollowReply(leader.name, leader.grpc_address, False)


def tree_changes_since(
    node: Node, after: int, by_steps: bool = False
) -> FollowReply | None:
    """Return the changes of the tree after an index, None if there are none.

    ``by_steps`` returns steps in place of whole branches where they are kept.
    """
    tree = node.machine.tree
    if tree.index <= after:
        return None
    steps = tree.steps_since(after) if by_steps and after else None
    if steps is not None:
        return FollowReply(None, None, True, tree.index, steps=steps)
    changed = tree.changed_since(after)
    return FollowReply(
        leader=None,
        leader_address=None,
        current=True,
        index=tree.index,
        revisions={team: one.revision for team, one in changed.items()},
        documents={team: one.document for team, one in changed.items()},
    )


def _has_changes(node: Node, request: FollowRequest) -> bool:
    machine = node.machine
    if machine.tree.index > request.index and not request.fetching:
        return True
    if machine.evacuations.index > request.evacuations:
        return True
    return machine.quarantine.index > request.quarantine


def _build_reply(node: Node, request: FollowRequest) -> FollowReply:
    leader = node.replica.membership.find(node.replica.identity)
    name = leader.name if leader is not None else None
    reply = None
    if not request.fetching:
        reply = tree_changes_since(node, request.index)
    if reply is None:
        reply = FollowReply(name, None, True, node.machine.tree.index)
    quarantine = quarantine_since(node, request.quarantine)
    return msgspec.structs.replace(
        reply,
        leader=name,
        quarantine=quarantine,
        evacuations=node.machine.evacuations.since(request.evacuations),
    )


def quarantine_since(node: Node, after: int) -> QuarantineUpdate | None:
    """Return the quarantine cases if they changed after a log index."""
    quarantine = node.machine.quarantine
    return quarantine.since(after) if quarantine.index > after else None
