"""Agree on one log among the control replicas."""

from random import Random

import msgspec

from .charts import load_chart
from .commands import Command
from .commands import NoOp
from .errors import NotLeaderError

ELECTION_S = 0.6
HEARTBEAT_S = 0.1
BATCH = 256

FOLLOWER = "follower"
CANDIDATE = "candidate"
LEADER = "leader"

REPLICA_CHART = load_chart("replica")


class LogEntry(msgspec.Struct, frozen=True):
    """Hold one command at its place in the log."""

    term: int
    index: int
    command: Command


class HardState(msgspec.Struct, frozen=True):
    """Hold what a replica must remember through a restart."""

    term: int = 0
    voted_for: str | None = None


class VoteRequest(msgspec.Struct, frozen=True, tag=True):
    """Ask for a vote in a term."""

    source: str
    target: str
    term: int
    last_index: int
    last_term: int


class VoteReply(msgspec.Struct, frozen=True, tag=True):
    """Grant or deny a vote."""

    source: str
    target: str
    term: int
    granted: bool


class AppendRequest(msgspec.Struct, frozen=True, tag=True):
    """Send log entries, or none as a heartbeat."""

    source: str
    target: str
    term: int
    previous_index: int
    previous_term: int
    entries: list[LogEntry]
    commit: int


class AppendReply(msgspec.Struct, frozen=True, tag=True):
    """Tell how far the follower's log agrees with the leader's."""

    source: str
    target: str
    term: int
    agreed: bool
    match_index: int


Message = VoteRequest | VoteReply | AppendRequest | AppendReply


class Effects:
    """List what the driver must do, in this order.

    First make ``hard_state`` and ``entries`` durable (``entries`` replace
    all that the log held from the first one's index on), then send
    ``messages``, then apply ``committed``.
    """

    __slots__ = ("committed", "entries", "hard_state", "messages")

    def __init__(
        self,
        hard_state: HardState | None,
        entries: list[LogEntry],
        messages: list[Message],
        committed: list[LogEntry],
    ) -> None:
        self.hard_state = hard_state
        self.entries = entries
        self.messages = messages
        self.committed = committed


class Replica:
    """Take messages, proposals and time; give effects."""

    __slots__ = (
        "_applied",
        "_commit",
        "_election_at",
        "_hard_state",
        "_heard",
        "_heartbeat_at",
        "_leader",
        "_log",
        "_match",
        "_messages",
        "_name",
        "_next",
        "_peers",
        "_random",
        "_state",
        "_state_dirty",
        "_unsaved_from",
        "_votes",
    )

    def __init__(
        self,
        name: str,
        voters: list[str],
        hard_state: HardState,
        log: list[LogEntry],
        now: float,
        seed: int,
    ) -> None:
        self._name = name
        self._peers = [voter for voter in voters if voter != name]
        self._hard_state = hard_state
        self._log = log
        self._random = Random(seed)
        self._state = REPLICA_CHART.initial
        self._leader: str | None = None
        self._commit = 0
        self._applied = 0
        self._votes: set[str] = set()
        self._next: dict[str, int] = {}
        self._match: dict[str, int] = {}
        self._heard: dict[str, float] = {}
        self._messages: list[Message] = []
        self._unsaved_from: int | None = None
        self._state_dirty = False
        self._heartbeat_at = now
        self._election_at = now
        self._reset_election(now)

    @property
    def name(self) -> str:
        """Name the replica."""
        return self._name

    @property
    def state(self) -> str:
        """Name the present state of the replica chart."""
        return self._state

    @property
    def leader(self) -> str | None:
        """Name the leader last heard of in this term."""
        return self._leader

    @property
    def term(self) -> int:
        """Give the current term."""
        return self._hard_state.term

    @property
    def commit(self) -> int:
        """Give the last index known to be committed."""
        return self._commit

    @property
    def last_index(self) -> int:
        """Give the index of the last log entry."""
        return len(self._log)

    def propose(self, command: Command, now: float) -> int:
        """Append a command and return its index.

        :raises NotLeaderError: another replica, or none, leads
        """
        if self._state != LEADER:
            raise NotLeaderError(self._leader)
        index = self._append(command)
        for peer in self._peers:
            self._send_append(peer)
        self._advance_commit()
        return index

    def tick(self, now: float) -> None:
        """Act on time: heartbeats, elections, a lost quorum."""
        if self._state == LEADER:
            self._tick_leader(now)
            return
        if now >= self._election_at:
            self._campaign(now)

    def receive(self, message: Message, now: float) -> None:
        """Take one message from another replica."""
        if message.term > self.term:
            self._follow(message.term, None)
        if isinstance(message, VoteRequest):
            self._on_vote_request(message, now)
        elif isinstance(message, VoteReply):
            self._on_vote_reply(message, now)
        elif isinstance(message, AppendRequest):
            self._on_append_request(message, now)
        else:
            self._on_append_reply(message, now)

    def drain(self) -> Effects:
        """Take the effects gathered since the last call."""
        entries: list[LogEntry] = []
        if self._unsaved_from is not None:
            entries = self._log[self._unsaved_from - 1 :]
        hard_state = self._hard_state if self._state_dirty else None
        effects = Effects(
            hard_state=hard_state,
            entries=entries,
            messages=self._messages,
            committed=self._log[self._applied : self._commit],
        )
        self._unsaved_from = None
        self._state_dirty = False
        self._messages = []
        self._applied = self._commit
        return effects

    def _tick_leader(self, now: float) -> None:
        recent = 1
        for peer in self._peers:
            if now - self._heard.get(peer, now) <= ELECTION_S:
                recent += 1
        if recent < self._quorum():
            # Cut off silently, this replica would go on answering while
            # the others elect: without a quorum's recent replies it
            # steps down and refuses.
            self._step("quorum_lost")
            self._leader = None
            self._reset_election(now)
            return
        if now >= self._heartbeat_at:
            self._heartbeat_at = now + HEARTBEAT_S
            for peer in self._peers:
                self._send_append(peer)

    def _campaign(self, now: float) -> None:
        self._step("timeout")
        self._leader = None
        self._save(HardState(self.term + 1, self._name))
        self._votes = {self._name}
        self._reset_election(now)
        if len(self._votes) >= self._quorum():
            self._lead(now)
            return
        for peer in self._peers:
            self._messages.append(
                VoteRequest(
                    source=self._name,
                    target=peer,
                    term=self.term,
                    last_index=self.last_index,
                    last_term=self._term_at(self.last_index),
                )
            )

    def _lead(self, now: float) -> None:
        self._step("win")
        self._leader = self._name
        self._next = dict.fromkeys(self._peers, self.last_index + 1)
        self._match = dict.fromkeys(self._peers, 0)
        self._heard = dict.fromkeys(self._peers, now)
        self._heartbeat_at = now
        self._append(NoOp())
        self._advance_commit()

    def _on_vote_request(self, request: VoteRequest, now: float) -> None:
        mine = (self._term_at(self.last_index), self.last_index)
        fresh = (request.last_term, request.last_index) >= mine
        free = self._hard_state.voted_for in (None, request.source)
        granted = request.term == self.term and fresh and free
        if granted and self._state != LEADER:
            self._save(HardState(self.term, request.source))
            self._reset_election(now)
        self._messages.append(
            VoteReply(self._name, request.source, self.term, granted)
        )

    def _on_vote_reply(self, reply: VoteReply, now: float) -> None:
        if self._state != CANDIDATE or reply.term != self.term:
            return
        if reply.granted:
            self._votes.add(reply.source)
        if len(self._votes) >= self._quorum():
            self._lead(now)

    def _on_append_request(self, request: AppendRequest, now: float) -> None:
        if request.term < self.term:
            self._reply_append(request, False, 0)
            return
        if self._state == CANDIDATE:
            self._step("leader_heard")
        self._leader = request.source
        self._reset_election(now)
        previous = request.previous_index
        known = previous <= self.last_index
        if not known or self._term_at(previous) != request.previous_term:
            self._reply_append(
                request, False, min(self.last_index, previous - 1)
            )
            return
        self._merge(request.entries)
        match = previous + len(request.entries)
        self._commit = max(self._commit, min(request.commit, match))
        self._reply_append(request, True, match)

    def _on_append_reply(self, reply: AppendReply, now: float) -> None:
        if self._state != LEADER or reply.term != self.term:
            return
        peer = reply.source
        self._heard[peer] = now
        if not reply.agreed:
            self._next[peer] = max(1, reply.match_index + 1)
            self._send_append(peer)
            return
        self._match[peer] = max(self._match[peer], reply.match_index)
        self._next[peer] = max(self._next[peer], reply.match_index + 1)
        self._advance_commit()
        if self._next[peer] <= self.last_index:
            self._send_append(peer)

    def _merge(self, entries: list[LogEntry]) -> None:
        for entry in entries:
            if entry.index <= self.last_index:
                if self._term_at(entry.index) == entry.term:
                    continue
                del self._log[entry.index - 1 :]
            self._log.append(entry)
            self._mark_unsaved(entry.index)

    def _advance_commit(self) -> None:
        matches = sorted([self.last_index, *self._match.values()])
        index = matches[len(matches) - self._quorum()]
        # An entry of an earlier term may still be overwritten although a
        # majority holds it; only one of the own term commits by count.
        if index > self._commit and self._term_at(index) == self.term:
            self._commit = index

    def _append(self, command: Command) -> int:
        entry = LogEntry(self.term, self.last_index + 1, command)
        self._log.append(entry)
        self._mark_unsaved(entry.index)
        return entry.index

    def _send_append(self, peer: str) -> None:
        start = self._next[peer]
        entries = self._log[start - 1 : start - 1 + BATCH]
        self._messages.append(
            AppendRequest(
                source=self._name,
                target=peer,
                term=self.term,
                previous_index=start - 1,
                previous_term=self._term_at(start - 1),
                entries=entries,
                commit=self._commit,
            )
        )
        self._next[peer] = start + len(entries)

    def _reply_append(
        self, request: AppendRequest, agreed: bool, match: int
    ) -> None:
        self._messages.append(
            AppendReply(
                source=self._name,
                target=request.source,
                term=self.term,
                agreed=agreed,
                match_index=match,
            )
        )

    def _follow(self, term: int, leader: str | None) -> None:
        self._step("higher_term")
        self._leader = leader
        self._save(HardState(term, None))

    def _save(self, hard_state: HardState) -> None:
        self._hard_state = hard_state
        self._state_dirty = True

    def _mark_unsaved(self, index: int) -> None:
        if self._unsaved_from is None or index < self._unsaved_from:
            self._unsaved_from = index

    def _reset_election(self, now: float) -> None:
        self._election_at = now + ELECTION_S * (1 + self._random.random())

    def _step(self, event: str) -> None:
        self._state = REPLICA_CHART.step(self._state, event)

    def _term_at(self, index: int) -> int:
        return self._log[index - 1].term if index else 0

    def _quorum(self) -> int:
        return (len(self._peers) + 1) // 2 + 1
