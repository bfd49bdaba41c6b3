"""Replicate one log among the control replicas with Raft."""

from random import Random

from .charts import load_chart
from .commands import Command
from .commands import NoOp
from .effects import Effects
from .errors import NotLeaderError
from .errors import ReconfigurationError
from .incoming_snapshots import IncomingSnapshot
from .leaderships import ELECTION_TIMEOUT_S
from .leaderships import Leadership
from .logs import Log
from .memberships import Membership
from .memberships import Reconfigure
from .messages import append_reply
from .messages import AppendReply
from .messages import AppendRequest
from .messages import HandOver
from .messages import HardState
from .messages import install_reply
from .messages import InstallReply
from .messages import InstallRequest
from .messages import LogEntry
from .messages import Message
from .messages import Retire
from .messages import Snapshot
from .messages import vote_reply
from .messages import VoteReply
from .messages import VoteRequest
from .voters import MIN_VOTERS

ELECTION_JITTER_S = 0.5
# A replica that has had no leader since its start campaigns sooner: after a
# power loss nobody leads, and the full election timeout would keep all
# entries without a configuration for a second. Where a leader exists, the
# other replicas deny the pre-vote. The jitter is several times the round
# trip of a vote (7 ms on a new connection, plus a sync), so that two
# replicas seldom campaign at once.
INITIAL_ELECTION_TIMEOUT_S = 0.02
INITIAL_ELECTION_JITTER_S = 0.1
HEARTBEAT_INTERVAL_S = 0.2
# After five missed heartbeats the leader has failed or is unreachable.
LEADER_CONTACT_S = 5 * HEARTBEAT_INTERVAL_S

FOLLOWER = "follower"
PRECANDIDATE = "precandidate"
CANDIDATE = "candidate"
LEADER = "leader"

# Why the state of a replica may be outdated.
WITHOUT_CONTACT = "without contact"
BEHIND_LEADER = "behind the leader"
NOTHING_COMMITTED = "nothing committed under this leader"

REPLICA_CHART = load_chart("replica")


class Replica:
    """Run the Raft protocol for one replica, without any I/O.

    Messages, proposals and the time go in; ``take_effects`` returns what
    is to be stored, sent and applied.
    """

    __slots__ = (
        "_append_due",
        "_applied_index",
        "_commit_index",
        "_election_at",
        "_hard_state",
        "_hard_state_dirty",
        "_has_had_leader",
        "_heartbeat_at",
        "_identity",
        "_incoming_snapshot",
        "_installed_snapshot",
        "_is_behind",
        "_leader",
        "_leader_contact_at",
        "_leadership",
        "_log",
        "_messages",
        "_random",
        "_state",
        "_term_start_index",
        "_unsaved_from",
        "_votes",
    )

    def __init__(
        self,
        identity: str,
        hard_state: HardState,
        log: Log,
        now: float,
        seed: int,
    ) -> None:
        self._identity = identity
        self._hard_state = hard_state
        self._log = log
        self._random = Random(seed)
        self._state = REPLICA_CHART.initial
        self._leader: str | None = None
        self._commit_index = log.snapshot.index
        self._applied_index = log.snapshot.index
        self._votes: set[str] = set()
        self._leadership: Leadership | None = None
        self._messages: list[Message] = []
        self._incoming_snapshot: IncomingSnapshot | None = None
        self._installed_snapshot: Snapshot | None = None
        self._unsaved_from: int | None = None
        self._hard_state_dirty = False
        self._append_due = False
        self._term_start_index = 0
        self._heartbeat_at = now
        self._leader_contact_at = now - ELECTION_TIMEOUT_S
        self._has_had_leader = False
        # Whether the leader had committed more than this replica holds.
        self._is_behind = False
        self._election_at = now
        self._reset_election(now)

    @property
    def identity(self) -> str:
        """Return the identity of this replica."""
        return self._identity

    @property
    def state(self) -> str:
        """Return the current state in the replica chart."""
        return self._state

    @property
    def leader(self) -> str | None:
        """Return the identity of this term's leader, if known."""
        return self._leader

    @property
    def term(self) -> int:
        """Return the current term."""
        return self._hard_state.term

    @property
    def commit_index(self) -> int:
        """Return the highest log index known to be committed."""
        return self._commit_index

    @property
    def last_index(self) -> int:
        """Return the index of the last log entry."""
        return self._log.last_index

    @property
    def log(self) -> Log:
        """Return the log of this replica."""
        return self._log

    @property
    def membership(self) -> Membership:
        """Return the newest membership in the log, committed or not."""
        return self._log.membership

    @property
    def votes(self) -> set[str]:
        """Return the identities that granted a vote in the latest campaign."""
        return set(self._votes)

    @property
    def is_ready(self) -> bool:
        """Return whether this leader committed an entry of its own term.

        Only then is it certain which entries of earlier terms are committed.
        """
        return (
            self._state == LEADER
            and self._commit_index >= self._term_start_index
        )

    @property
    def confirmed_round(self) -> int:
        """Return the last round of messages that a quorum acknowledged."""
        return self._leadership.confirmed_round if self._leadership else 0

    @property
    def wake_at(self) -> float:
        """Return the time of the next heartbeat or election timeout."""
        if self._state == LEADER:
            return self._heartbeat_at
        return self._election_at

    def should_request_join(self, now: float) -> bool:
        """Return whether this replica should request to join the group.

        The log of a replica that was removed while it was down still lists
        it as a member, so missing contact with a leader counts as well.
        """
        if self.membership.find(self._identity) is None:
            return True
        return not self.in_contact(now)

    def last_contact_at(self, identity: str) -> float | None:
        """Return when this leader last received a reply from a replica."""
        if self._leadership is None:
            return None
        return self._leadership.last_contact_at(identity)

    def in_contact(self, now: float) -> bool:
        """Return whether this replica is in contact with a quorum or leader.

        Without contact this replica's state may be stale.
        """
        if self._leadership is not None:
            return self._leadership.has_quorum(now)
        return self._leader is not None and (
            now - self._leader_contact_at <= LEADER_CONTACT_S
        )

    def is_current(self, now: float) -> bool:
        """Return whether this replica's state is that of the majority.

        A replica in contact with the leader may still look for the entries
        on which both agree, or receive a snapshot. A new leader does not know
        which entries of earlier terms are committed.
        """
        return not self.staleness(now)

    def staleness(self, now: float) -> str:
        """Return why this replica's state may be outdated, empty if not."""
        if not self.in_contact(now):
            return WITHOUT_CONTACT
        if self._is_behind:
            return BEHIND_LEADER
        if self._log.term_at(self._commit_index) != self.term:
            return NOTHING_COMMITTED
        return ""

    def match_index(self, identity: str) -> int | None:
        """Return the last index at which a replica's log matches this one."""
        if identity == self._identity:
            return self.last_index
        if self._leadership is None:
            return None
        return self._leadership.match_index(identity)

    def propose(self, command: Command) -> int:
        """Append a command and return its index.

        :raises NotLeaderError: this replica is not the leader
        """
        if self._state != LEADER:
            raise NotLeaderError(self._leader)
        self._append_due = True
        return self._append(command)

    def reconfigure(self, change: Reconfigure, now: float) -> int:
        """Propose a membership and return its index.

        :raises NotLeaderError: this replica is not the leader
        :raises ReconfigurationError: an earlier change is not committed
        """
        if self._state != LEADER:
            raise NotLeaderError(self._leader)
        # Two uncommitted changes, or one before this term's first commit,
        # can lead to two majorities that share no replica.
        if (
            self._log.membership_index > self._commit_index
            or not self.is_ready
        ):
            raise ReconfigurationError("an earlier change is under way")
        before = set(self.membership.voters)
        if len(before ^ set(change.membership.voters)) > 1:
            raise ReconfigurationError("only one voter may change at a time")
        if not change.membership.voters:
            raise ReconfigurationError("the last voter has to stay")
        index = self.propose(change)
        if self._leadership is not None:
            self._leadership.track(now)
        return index

    def begin_read(self) -> int:
        """Return the round whose confirmation makes a read linearizable.

        A leader that was deposed without noticing would answer with a
        stale tree; a quorum's replies to a later round rule that out.

        :raises NotLeaderError: this replica is not the leader
        """
        if self._leadership is None:
            raise NotLeaderError(self._leader)
        return self._leadership.next_round

    def transfer_leadership(self, now: float) -> None:
        """Request an immediate election by the most up-to-date follower.

        Otherwise each planned restart of a leader would leave the group
        without one for an election timeout, as a crash does.
        """
        if self._leadership is None:
            return
        best = self._leadership.transfer_target(self._commit_index, now)
        if best is not None:
            self._messages.append(HandOver(self._identity, best, self.term))

    @property
    def should_retire(self) -> bool:
        """Return whether to give up this replica's vote before it stops."""
        if not self._is_voter:
            # Until its demotion is committed, the others may need it.
            return self._was_voter
        membership = self.membership
        if membership.learners:
            return True
        return len(membership.voters) > MIN_VOTERS

    def retire(self, now: float) -> None:
        """Request that the leader replace this voter, which is stopping.

        Otherwise the loss of another replica's disk while this one is down
        would leave no majority, for ever if this one never returned. A leader
        transfers its leadership first. Callers repeat the call, since the
        message may be lost.
        """
        if self._leadership is not None:
            self.transfer_leadership(now)
            return
        if self._leader is None:
            return
        self._messages.append(Retire(self._identity, self._leader, self.term))

    def compact(self, state: bytes, trailing: int) -> Snapshot:
        """Replace the log up to the last applied entry by a snapshot."""
        term = self._log.term_at(self._applied_index)
        assert term is not None
        snapshot = Snapshot(
            index=self._applied_index,
            term=term,
            membership=self._log.membership_at(self._applied_index),
            state=state,
        )
        self._log.compact(snapshot, trailing)
        return snapshot

    def tick(self, now: float) -> None:
        """Send heartbeats, start elections or step down as time passes."""
        if self._leadership is not None:
            self._tick_leader(self._leadership, now)
            return
        if now < self._election_at:
            return
        if not self._may_stand:
            self._reset_election(now)
            return
        self._start_pre_vote(now)

    def receive(self, message: Message, now: float) -> None:
        """Handle one message from another replica."""
        if message.target != self._identity:
            # It is addressed to an earlier identity, whose disk was lost.
            return
        if isinstance(message, VoteRequest):
            self._on_vote_request(message, now)
            return
        granted = isinstance(message, VoteReply) and message.granted
        if message.term > self.term and not granted:
            self._adopt_term(message.term, now)
        if isinstance(message, VoteReply):
            self._on_vote_reply(message, now)
        elif isinstance(message, AppendRequest):
            self._on_append_request(message, now)
        elif isinstance(message, AppendReply):
            self._on_append_reply(message, now)
        elif isinstance(message, InstallRequest):
            self._on_install_request(message, now)
        elif isinstance(message, HandOver):
            self._on_hand_over(message, now)
        elif isinstance(message, Retire):
            self._on_retire(message, now)
        else:
            self._on_install_reply(message, now)

    def take_effects(self) -> Effects:
        """Return and clear the effects collected since the last call."""
        if self._leadership is not None and self._append_due:
            # Proposals since the last call share one message and one sync.
            self._broadcast(self._leadership)
            self._advance_commit(self._leadership)
        entries: list[LogEntry] = []
        if self._unsaved_from is not None:
            entries = self._log.entries_between(
                self._unsaved_from, self.last_index
            )
        effects = Effects(
            hard_state=self._hard_state if self._hard_state_dirty else None,
            snapshot=self._installed_snapshot,
            entries=entries,
            messages=self._messages,
            committed=self._log.entries_between(
                self._applied_index + 1, self._commit_index
            ),
        )
        self._unsaved_from = None
        self._hard_state_dirty = False
        self._installed_snapshot = None
        self._messages = []
        self._applied_index = self._commit_index
        return effects

    def _tick_leader(self, leadership: Leadership, now: float) -> None:
        if not leadership.has_quorum(now):
            # A leader partitioned from its quorum would go on accepting
            # proposals that cannot commit, while the others elect another.
            self._step_down("quorum_lost", now)
            return
        if now >= self._heartbeat_at:
            self._heartbeat_at = now + HEARTBEAT_INTERVAL_S
            self._adjust_voters(leadership, now)
            self._broadcast(leadership)

    def _adjust_voters(self, leadership: Leadership, now: float) -> None:
        if (
            self._log.membership_index > self._commit_index
            or not self.is_ready
        ):
            return
        membership = leadership.next_voters(now)
        if membership is None:
            return
        change = Reconfigure(
            membership=membership,
            operator="control",
            detail=membership.describe_votes(self.membership),
        )
        self.reconfigure(change, now)

    @property
    def _may_stand(self) -> bool:
        """Return whether this replica may stand for election.

        One whose demotion is not committed may have to: if it alone holds the
        newest entry, it denies all others its vote, which they may still
        need (Ongaro, "Consensus: Bridging Theory and Practice", 4.2.2).
        """
        return self._is_voter or self._was_voter

    @property
    def _is_voter(self) -> bool:
        """Return whether the newest membership gives this replica a vote."""
        return self._identity in self.membership.voters

    @property
    def _was_voter(self) -> bool:
        """Return whether the committed membership gave it a vote."""
        committed = self._log.membership_at(self._commit_index)
        return self._identity in committed.voters

    def _start_pre_vote(self, now: float) -> None:
        # A pre-vote, which does not raise the term, keeps a replica that was
        # partitioned or frozen from deposing a working leader.
        self._step("timeout")
        self._leader = None
        self._votes = {self._identity}
        self._reset_election(now)
        self._request_votes(self.term + 1, True)
        self._count_votes(now)

    def _on_hand_over(self, message: HandOver, now: float) -> None:
        expected = (FOLLOWER, message.term, message.source)
        if (self._state, self.term, self._leader) != expected:
            return
        if self._identity in self.membership.voters:
            self._start_election("handed_over", now)

    def _on_retire(self, message: Retire, now: float) -> None:
        if self._leadership is None:
            return
        self._leadership.mark_leaving(message.source, now)
        self._adjust_voters(self._leadership, now)

    def _start_election(self, event: str, now: float) -> None:
        self._step(event)
        self._set_hard_state(HardState(self.term + 1, self._identity))
        self._votes = {self._identity}
        self._reset_election(now)
        self._request_votes(self.term, False, event == "handed_over")
        self._count_votes(now)

    def _request_votes(
        self, term: int, pre: bool, handed_over: bool = False
    ) -> None:
        for voter in self.membership.voters:
            if voter == self._identity:
                continue
            self._messages.append(
                VoteRequest(
                    source=self._identity,
                    target=voter,
                    term=term,
                    last_index=self.last_index,
                    last_term=self._log.last_term,
                    pre=pre,
                    handed_over=handed_over,
                )
            )

    def _count_votes(self, now: float) -> None:
        votes = self._votes & set(self.membership.voters)
        if len(votes) < self.membership.quorum:
            return
        if self._state == PRECANDIDATE:
            self._start_election("would_win", now)
        else:
            self._become_leader(now)

    def _become_leader(self, now: float) -> None:
        self._step("win")
        self._leader = self._identity
        self._is_behind = False
        self._leadership = Leadership(
            self._identity, self.term, self._log, now
        )
        self._heartbeat_at = now + HEARTBEAT_INTERVAL_S
        self._term_start_index = self._append(NoOp())
        self._append_due = True

    def _on_vote_request(self, request: VoteRequest, now: float) -> None:
        leader_is_alive = now - self._leader_contact_at < ELECTION_TIMEOUT_S
        if not request.handed_over and (
            self._state == LEADER or leader_is_alive
        ):
            # A leader in contact with a quorum must not be deposed by a
            # replica that lost contact with it.
            self._messages.append(vote_reply(request, self.term, False))
            return
        if not request.pre and request.term > self.term:
            self._adopt_term(request.term, now)
        own_last = (self._log.last_term, self.last_index)
        up_to_date = (request.last_term, request.last_index) >= own_last
        if request.pre:
            granted = up_to_date and request.term > self.term
            term = request.term if granted else self.term
            self._messages.append(vote_reply(request, term, granted))
            return
        can_vote = self._hard_state.voted_for in (None, request.source)
        granted = request.term == self.term and up_to_date and can_vote
        if granted:
            self._set_hard_state(HardState(self.term, request.source))
            self._reset_election(now)
        self._messages.append(vote_reply(request, self.term, granted))

    def _on_vote_reply(self, reply: VoteReply, now: float) -> None:
        if not reply.granted:
            return
        if reply.pre:
            expected = (PRECANDIDATE, self.term + 1)
        else:
            expected = (CANDIDATE, self.term)
        if (self._state, reply.term) != expected:
            return
        self._votes.add(reply.source)
        self._count_votes(now)

    def _on_append_request(self, request: AppendRequest, now: float) -> None:
        agreed, match = False, 0
        if request.term >= self.term:
            self._record_leader_contact(request.source, now)
            agreed, match = self._accept_entries(request)
            self._is_behind = self._commit_index < request.commit
        self._messages.append(append_reply(request, self.term, agreed, match))

    def _accept_entries(self, request: AppendRequest) -> tuple[bool, int]:
        """Return whether the logs match, and the index up to which.

        On a mismatch the index is a hint from which the leader retries. It
        leaves out the whole term that differs, so that the search takes one
        round trip a term and not one an entry (Raft, section 5.3).
        """
        previous = request.previous_index
        if previous < self._log.snapshot.index:
            # The snapshot is committed, so the leader has its entries.
            return False, self._log.snapshot.index
        if self._log.term_at(previous) != request.previous_term:
            return False, max(
                self._log.last_before_term_of(previous), self._commit_index
            )
        self._merge(request.entries)
        match = previous + len(request.entries)
        self._commit_index = max(
            self._commit_index, min(request.commit, match)
        )
        return True, match

    def _on_append_reply(self, reply: AppendReply, now: float) -> None:
        leadership = self._leadership
        if leadership is None:
            return
        before = self._commit_index
        more = leadership.handle_append_reply(reply, now)
        self._advance_commit(leadership)
        self._send_more(reply.source, more)
        if before < self._log.membership_index <= self._commit_index:
            # Replacing a voter takes two changes; make the second at once.
            self._adjust_voters(leadership, now)

    def _on_install_request(self, request: InstallRequest, now: float) -> None:
        received, done = 0, False
        if request.term >= self.term:
            self._record_leader_contact(request.source, now)
            received, done = self._add_chunk(request)
            self._is_behind = not done
        self._messages.append(
            install_reply(request, self.term, received, done)
        )

    def _add_chunk(self, request: InstallRequest) -> tuple[int, bool]:
        """Return the number of bytes received, and whether that is all."""
        if self._log.term_at(request.index) == request.snapshot_term:
            # The log has all that the snapshot covers. Entries behind it may
            # be acknowledged and must stay.
            self._commit_index = max(self._commit_index, request.index)
        if request.index <= self._commit_index:
            self._incoming_snapshot = None
            return request.total, True
        if (
            self._incoming_snapshot is None
            or not self._incoming_snapshot.matches(request)
        ):
            self._incoming_snapshot = IncomingSnapshot(request)
        self._incoming_snapshot.add_chunk(request)
        snapshot = self._incoming_snapshot.completed()
        if snapshot is None:
            return self._incoming_snapshot.received, False
        self._log = Log(snapshot, [])
        self._unsaved_from = None
        self._commit_index = snapshot.index
        self._applied_index = snapshot.index
        self._installed_snapshot = snapshot
        self._incoming_snapshot = None
        return request.total, True

    def _on_install_reply(self, reply: InstallReply, now: float) -> None:
        leadership = self._leadership
        if leadership is None:
            return
        more = leadership.handle_install_reply(reply, now)
        self._advance_commit(leadership)
        self._send_more(reply.source, more)

    def _record_leader_contact(self, leader: str, now: float) -> None:
        if self._state in (PRECANDIDATE, CANDIDATE):
            self._step("leader_heard")
        self._leader = leader
        self._leader_contact_at = now
        self._has_had_leader = True
        self._reset_election(now)

    def _merge(self, entries: list[LogEntry]) -> None:
        for entry in entries:
            known = self._log.term_at(entry.index)
            if known == entry.term:
                continue
            if known is not None:
                assert entry.index > self._commit_index, (
                    "committed entry differs"
                )
                self._log.truncate(entry.index)
            self._log.append(entry)
            self._mark_unsaved(entry.index)

    def _advance_commit(self, leadership: Leadership) -> None:
        index = leadership.quorum_index()
        # An entry of an earlier term may still be overwritten although a
        # majority holds it; only entries of this term commit by counting.
        if (
            index <= self._commit_index
            or self._log.term_at(index) != self.term
        ):
            return
        was_ready = self.is_ready
        self._commit_index = index
        if not was_ready:
            # The followers' states count as outdated until they know.
            self._append_due = True
        removed = self._identity not in self.membership.voters
        if removed and self._log.membership_index <= index:
            self._broadcast(leadership)
            self._step("removed")
            self._leader = None

    def _append(self, command: Command) -> int:
        entry = LogEntry(self.term, self.last_index + 1, command)
        self._log.append(entry)
        self._mark_unsaved(entry.index)
        return entry.index

    def _broadcast(self, leadership: Leadership) -> None:
        self._append_due = False
        self._messages.extend(leadership.broadcast(self._commit_index))

    def _send_more(self, peer: str, more: bool) -> None:
        if more and self._leadership is not None:
            self._messages.append(
                self._leadership.next_message(peer, self._commit_index)
            )

    def _adopt_term(self, term: int, now: float) -> None:
        if self._state == LEADER:
            self._reset_election(now)
        self._step("higher_term")
        self._leader = None
        self._set_hard_state(HardState(term, None))

    def _step_down(self, event: str, now: float) -> None:
        self._step(event)
        self._leader = None
        self._reset_election(now)

    def _set_hard_state(self, hard_state: HardState) -> None:
        self._hard_state = hard_state
        self._hard_state_dirty = True

    def _mark_unsaved(self, index: int) -> None:
        if self._unsaved_from is None or index < self._unsaved_from:
            self._unsaved_from = index

    def _reset_election(self, now: float) -> None:
        timeout_s, jitter_s = (
            INITIAL_ELECTION_TIMEOUT_S,
            INITIAL_ELECTION_JITTER_S,
        )
        if self._has_had_leader:
            timeout_s, jitter_s = ELECTION_TIMEOUT_S, ELECTION_JITTER_S
        self._election_at = now + timeout_s + jitter_s * self._random.random()

    def _step(self, event: str) -> None:
        self._state = REPLICA_CHART.step(self._state, event)
        if self._state != LEADER:
            self._leadership = None
