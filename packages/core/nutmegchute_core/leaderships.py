"""Replicate the log to the other members while this replica leads."""

from .incoming_snapshots import CHUNK_BYTES
from .logs import Log
from .memberships import Membership
from .messages import AppendReply
from .messages import AppendRequest
from .messages import InstallReply
from .messages import InstallRequest
from .messages import Message
from .progress import Progress
from .voters import next_voters

# A replica without contact for this long does not count as present; also
# the shortest time after which a follower without a leader campaigns.
ELECTION_TIMEOUT_S = 0.8
# A learner at most this many entries behind may be promoted.
CAUGHT_UP_ENTRIES = 64
# A stopping replica repeats its announcement; it expires so that a replica
# which has restarted meanwhile does not count as stopping.
LEAVING_TIMEOUT_S = 0.5


class Leadership:
    """Track the other members during one term and build their messages."""

    __slots__ = (
        "_confirmed_round",
        "_identity",
        "_log",
        "_peers",
        "_round",
        "_term",
    )

    def __init__(self, identity: str, term: int, log: Log, now: float) -> None:
        self._identity = identity
        self._term = term
        self._log = log
        self._peers: dict[str, Progress] = {}
        self._round = 0
        self._confirmed_round = 0
        self.track(now)

    @property
    def next_round(self) -> int:
        """Return the number of the next round of messages."""
        return self._round + 1

    @property
    def confirmed_round(self) -> int:
        """Return the last round of messages that a quorum acknowledged."""
        return self._confirmed_round

    def last_contact_at(self, identity: str) -> float | None:
        """Return when a replica last replied, if it is tracked."""
        progress = self._peers.get(identity)
        return progress.last_contact_at if progress is not None else None

    def match_index(self, identity: str) -> int | None:
        """Return the last index at which a replica's log matches this one."""
        progress = self._peers.get(identity)
        return progress.acked_index if progress is not None else None

    def track(self, now: float) -> None:
        """Start tracking new members."""
        for member in self._log.membership.members:
            identity = member.identity
            if identity == self._identity or identity in self._peers:
                continue
            self._peers[identity] = Progress(self._log.last_index + 1, now)

    def has_quorum(self, now: float) -> bool:
        """Return whether a quorum has replied within the election timeout."""
        recent = 0
        for voter in self._log.membership.voters:
            if voter == self._identity or self._is_recent(voter, now):
                recent += 1
        return recent >= self._log.membership.quorum

    def quorum_index(self) -> int:
        """Return the highest index that a quorum holds."""
        matches = {one: peer.acked_index for one, peer in self._peers.items()}
        return self._quorum_value(matches, self._log.last_index)

    def next_voters(self, now: float) -> Membership | None:
        """Return a membership with one voter changed, if one is due."""
        silent_s = {}
        caught_up = set()
        leaving = set()
        for identity, peer in self._peers.items():
            silent_s[identity] = now - peer.last_contact_at
            if now < peer.leaving_until:
                leaving.add(identity)
            if not peer.acked_index or not self._is_recent(identity, now):
                continue
            if peer.acked_index + CAUGHT_UP_ENTRIES >= self._log.last_index:
                caught_up.add(identity)
        return next_voters(self._log.membership, silent_s, caught_up, leaving)

    def mark_leaving(self, identity: str, now: float) -> None:
        """Record that a replica is about to stop."""
        peer = self._peers.get(identity)
        if peer is not None:
            peer.leaving_until = now + LEAVING_TIMEOUT_S

    def transfer_target(self, commit: int, now: float) -> str | None:
        """Return the most up-to-date voter with all committed entries."""
        best: str | None = None
        best_index = commit
        for voter in self._log.membership.voters:
            acked_index = self.match_index(voter)
            if acked_index is None or acked_index < best_index:
                continue
            if not self._is_recent(voter, now):
                continue
            best = voter
            best_index = acked_index
        return best

    def broadcast(self, commit: int) -> list[Message]:
        """Start a round and return a message for each member."""
        self._round += 1
        messages = []
        members = {one.identity for one in self._log.membership.members}
        for peer in list(self._peers):
            if peer in members:
                messages.append(self.next_message(peer, commit))
            else:
                del self._peers[peer]
        self._update_confirmed_round()
        return messages

    def next_message(self, peer: str, commit: int) -> Message:
        """Return the next entries, or the next chunk of the snapshot."""
        progress = self._peers[peer]
        previous_term = self._log.term_at(progress.next_index - 1)
        if previous_term is None or progress.install_offset is not None:
            return self._install_request(peer, progress)
        entries = self._log.batch(progress.next_index)
        request = AppendRequest(
            source=self._identity,
            target=peer,
            term=self._term,
            round=self._round,
            previous_index=progress.next_index - 1,
            previous_term=previous_term,
            entries=entries,
            commit=commit,
        )
        progress.next_index += len(entries)
        return request

    def handle_append_reply(self, reply: AppendReply, now: float) -> bool:
        """Record a reply; return whether to send the peer more now."""
        progress = self._record_reply(reply, now)
        if progress is None:
            return False
        if not reply.agreed:
            if reply.round <= progress.searched_until:
                # Sent before the search went on. Each of these replies would
                # start another search beside it.
                return False
            progress.searched_until = self._round
            self._round += 1
            progress.next_index = (
                max(progress.acked_index, reply.match_index) + 1
            )
            return True
        progress.install_offset = None
        progress.acked_index = max(progress.acked_index, reply.match_index)
        progress.next_index = max(
            progress.next_index, progress.acked_index + 1
        )
        return progress.next_index <= self._log.last_index

    def handle_install_reply(self, reply: InstallReply, now: float) -> bool:
        """Record a reply; return whether to send the peer more now."""
        progress = self._record_reply(reply, now)
        if progress is None:
            return False
        if reply.done:
            progress.install_offset = None
            progress.acked_index = max(progress.acked_index, reply.index)
            progress.next_index = progress.acked_index + 1
            return True
        if reply.index != self._log.snapshot.index:
            progress.install_offset = 0
            return True
        if progress.install_offset is None:
            return False
        # A duplicate reply must not start a second chain of chunks. If a
        # chunk is lost, the next heartbeat sends it again.
        moved = reply.received > progress.install_offset
        progress.install_offset = reply.received
        return moved

    def _install_request(self, peer: str, progress: Progress) -> Message:
        snapshot = self._log.snapshot
        offset = min(progress.install_offset or 0, len(snapshot.state))
        progress.install_offset = offset
        return InstallRequest(
            source=self._identity,
            target=peer,
            term=self._term,
            round=self._round,
            index=snapshot.index,
            snapshot_term=snapshot.term,
            membership=snapshot.membership,
            offset=offset,
            total=len(snapshot.state),
            piece=snapshot.state[offset : offset + CHUNK_BYTES],
        )

    def _record_reply(
        self, reply: AppendReply | InstallReply, now: float
    ) -> Progress | None:
        progress = self._peers.get(reply.source)
        if progress is None or reply.term != self._term:
            return None
        progress.last_contact_at = now
        progress.round = max(progress.round, reply.round)
        self._update_confirmed_round()
        return progress

    def _update_confirmed_round(self) -> None:
        rounds = {one: peer.round for one, peer in self._peers.items()}
        self._confirmed_round = self._quorum_value(rounds, self._round)

    def _quorum_value(self, values: dict[str, int], own: int) -> int:
        voters = self._log.membership.voters
        found = [
            own if voter == self._identity else values.get(voter, 0)
            for voter in voters
        ]
        return sorted(found)[len(voters) - self._log.membership.quorum]

    def _is_recent(self, identity: str, now: float) -> bool:
        last_contact_at = self.last_contact_at(identity)
        return (
            last_contact_at is not None
            and now - last_contact_at <= ELECTION_TIMEOUT_S
        )
