"""Answer, on the leader, the entries that follow the tree."""

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

# An entry silent for so long is gone; it enrolls anew should it return.
FORGET_S = 3600.0


class PendingPoll:
    """Hold one entry's open question and what confirms its answer.

    ``wanted`` is the round a quorum must answer; None while the entry's
    enrolment is on its way, whose commit confirms as well.
    """

    __slots__ = ("hold_until", "request", "wanted")

    def __init__(
        self, request: FollowRequest, wanted: int | None, hold_until: float
    ) -> None:
        self.request = request
        self.wanted = wanted
        self.hold_until = hold_until


class LongPolls:
    """Take questions by ticket; advance gives the answers that are due."""

    __slots__ = ("_progress", "_open", "_term")

    def __init__(self) -> None:
        self._progress = EntryProgress(0.0)
        self._open: dict[int, PendingPoll] = {}
        self._term: int | None = None

    @property
    def progress(self) -> EntryProgress:
        """Give what this leader knows of the entries."""
        return self._progress

    def enqueue(
        self, ticket: int, request: FollowRequest, node: Node, now: float
    ) -> FollowReply | None:
        """Take a question; an answer at once says that none leads here."""
        self._observe(node, now)
        if self._term is None:
            return redirect(node)
        if request.leaving:
            node.propose(Withdraw(request.entry))
            self._progress.forget(request.entry)
            return redirect(node)
        self._progress.record(request, now)
        wanted: int | None = None
        if request.entry in node.machine.entries:
            wanted = node.replica.begin_read()
        else:
            # Enrolled before its first tree, it is known to every later
            # leader, which then waits for it or for its lease to lapse.
            node.propose(Enroll(request.entry))
        hold_until = now + HOLD_S if request.hold else now
        self._open[ticket] = PendingPoll(request, wanted, hold_until)
        return None

    def advance(self, node: Node, now: float) -> dict[int, FollowReply]:
        """Return the answers that are due, by ticket."""
        answers = self._observe(node, now)
        if not node.replica.is_ready:
            return answers
        for ticket, question in list(self._open.items()):
            if not self._is_confirmed(question, node):
                continue
            newer = _is_news(node, question.request)
            if not newer and now < question.hold_until:
                continue
            del self._open[ticket]
            answers[ticket] = _tell(node, question.request)
        return answers

    def in_force(self, index: int, node: Node, now: float) -> bool:
        """Tell whether no live entry still acts on an older index."""
        if not node.replica.is_ready or self._term != node.replica.term:
            return False
        return self._progress.in_force(index, node.machine.entries, now)

    def withdraw_silent(self, node: Node, now: float) -> None:
        """Withdraw the entries that have long been silent."""
        if not node.replica.is_ready or self._term != node.replica.term:
            return
        for entry in sorted(node.machine.entries):
            if self._progress.silence_s(entry, now) > FORGET_S:
                node.propose(Withdraw(entry))

    def _observe(self, node: Node, now: float) -> dict[int, FollowReply]:
        leads = node.replica.state == LEADER
        term = node.replica.term if leads else None
        if term == self._term:
            return {}
        self._term = term
        self._progress = EntryProgress(now)
        answers = {ticket: redirect(node) for ticket in self._open}
        self._open = {}
        return answers

    def _is_confirmed(self, question: PendingPoll, node: Node) -> bool:
        # A leader that was deposed without hearing of it would answer with
        # an older tree, and a restarted entry would act on it.
        if question.wanted is not None:
            return node.replica.confirmed_round >= question.wanted
        return question.request.entry in node.machine.entries


def redirect(node: Node) -> FollowReply:
    """Name the leader, as far as a replica that does not lead knows it."""
    leader = node.replica.membership.find(node.replica.leader)
    if leader is None or leader.identity == node.replica.identity:
        return FollowReply(None, None, False)
    return FollowReply(leader.name, leader.grpc_address, False)


def tree_changes_since(
    node: Node, known: int, by_steps: bool = False
) -> FollowReply | None:
    """Give what changed in the tree since an index; None: nothing.

    ``by_steps`` gives the changes themselves where they are kept.
    """
    tree = node.machine.tree
    if tree.index <= known:
        return None
    steps = tree.steps_since(known) if by_steps and known else None
    if steps is not None:
        return FollowReply(None, None, True, tree.index, steps=steps)
    changed = tree.changed_since(known)
    return FollowReply(
        leader=None,
        leader_address=None,
        current=True,
        index=tree.index,
        revisions={team: one.revision for team, one in changed.items()},
        documents={team: one.document for team, one in changed.items()},
    )


def _is_news(node: Node, request: FollowRequest) -> bool:
    machine = node.machine
    if machine.tree.index > request.index:
        return True
    if machine.evacuations.index > request.evacuations:
        return True
    return machine.quarantine.index > request.quarantine


def _tell(node: Node, request: FollowRequest) -> FollowReply:
    leader = node.replica.membership.find(node.replica.identity)
    name = leader.name if leader is not None else None
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


def quarantine_since(node: Node, known: int) -> QuarantineUpdate | None:
    """List the cases, if they changed since a log index."""
    quarantine = node.machine.quarantine
    return quarantine.since(known) if quarantine.index > known else None
