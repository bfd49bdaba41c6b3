"""Test membership by leases and gossip under faults."""

from collections.abc import Callable

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from nutmegchute_core.members import Announcement
from nutmegchute_core.members import DRAINING
from nutmegchute_core.members import GOSSIP_LEASE_S
from nutmegchute_core.members import GossipMessage
from nutmegchute_core.members import LEASE_S
from nutmegchute_core.members import MAX_CHANGES
from nutmegchute_core.members import UP
from nutmegchute_core.rosters import ANNOUNCE_RETRY_S
from nutmegchute_core.rosters import CHANGED
from nutmegchute_core.rosters import FLOOR_S
from nutmegchute_core.rosters import FULL
from nutmegchute_core.rosters import MAX_ENDPOINTS
from nutmegchute_core.rosters import MAX_FLOORS
from nutmegchute_core.rosters import MAX_PEERS
from nutmegchute_core.rosters import PAUSED
from nutmegchute_core.rosters import RENEWED
from nutmegchute_core.rosters import Roster
from nutmegchute_core.rosters import STALE
from support import announcement

A = "10.0.0.1:80"


def exchange(one: Roster, other: Roster, now: float) -> GossipMessage:
    """Exchange messages between both, begun by "one"; return the reply."""
    other.receive("one", one.build_message("other", now), now)
    answer = other.build_message("one", now)
    one.receive("other", answer, now)
    return answer


def up_at(members: Roster, now: float) -> list[str]:
    """List the endpoints that may receive new calls."""
    return [one.endpoint for one in members.live(now) if one.state != DRAINING]


@pytest.fixture
def pair() -> tuple[Roster, Roster]:
    """Return two entries that have exchanged messages."""
    one, other = Roster(1000), Roster(2000)
    for _ in range(3):
        exchange(one, other, 0.0)
    return one, other


def test_unchanged_sets_send_no_announcements(
    pair: tuple[Roster, Roster],
) -> None:
    """Send no announcement while nothing changes."""
    one, other = pair
    for number in range(150):
        other.announce(announcement(f"10.0.0.1:{number + 1}"), 0.1)
    exchange(one, other, 0.1)
    assert len(up_at(one, 0.1)) == 150
    for number in range(150):
        other.announce(announcement(f"10.0.0.1:{number + 1}"), 0.5)
    message = exchange(one, other, 0.6)
    assert (message.changed, message.removed) == ([], [])


def test_drained_endpoint_stays_drained(pair: tuple[Roster, Roster]) -> None:
    """Keep an endpoint drained when a late "up" arrives.

    An endpoint announces itself to one entry, moves to another and drains
    there. The first entry still holds its lease, and a copy of its first
    announcement arrives late. Accepted, it would direct new calls to an
    upstream that is about to stop.
    """
    one, other = pair
    one.announce(announcement(A), 0.1)
    other.announce(announcement(A, state=DRAINING), 0.2)
    exchange(one, other, 0.3)
    assert up_at(one, 0.3) == up_at(other, 0.3) == []
    one.announce(announcement(A), 0.4)
    exchange(one, other, 0.5)
    assert up_at(one, 0.5) == up_at(other, 0.5) == []
    # Every "draining" lease has expired; only the floor keeps the state.
    for now in (1.4, 2.4, 3.4, 4.4):
        one.expire(now)
        exchange(one, other, now)
    assert one.live(4.4) == []
    one.expire(4.5)
    one.announce(announcement(A), 4.9)
    exchange(one, other, 5.0)
    assert up_at(one, 5.0) == up_at(other, 5.0) == []
    one.announce(announcement(A, incarnation=2), 5.1)
    exchange(one, other, 5.2)
    assert up_at(one, 5.2) == up_at(other, 5.2) == [A]


def test_delayed_message_restores_nothing(
    pair: tuple[Roster, Roster],
) -> None:
    """Ignore a message delayed until its endpoint has stopped.

    The message says "up"; the lease expires, a later message removes the
    endpoint, then the first arrives again. It acknowledges an older sequence
    than the last message did and is thus stale.
    """
    one, other = pair
    other.announce(announcement(A), 0.1)
    late = exchange(one, other, 0.2)
    assert late.changed
    exchange(one, other, LEASE_S + 0.3)
    assert up_at(one, LEASE_S + 0.3) == []
    one.receive("other", late, LEASE_S + 0.4)
    assert up_at(one, LEASE_S + 0.4) == []


def test_message_of_an_earlier_run_is_ignored(
    pair: tuple[Roster, Roster],
) -> None:
    """Ignore a message that an entry sent before it restarted."""
    one, other = pair
    other.announce(announcement(A), 0.1)
    one.build_message("other", 0.1)
    late = other.build_message("one", 0.1)
    again = Roster(3000)
    exchange(one, again, 1.0)
    exchange(one, again, 1.1)
    one.receive("other", late, 1.2)
    assert up_at(one, 1.2) == []


def test_partition_ends_new_calls(pair: tuple[Roster, Roster]) -> None:
    """Stop using the set of a partitioned entry.

    Without messages an entry cannot know whether the other's endpoints have
    drained. Calls would be sent to an upstream that has stopped.
    """
    one, other = pair
    other.announce(announcement(A), 0.1)
    exchange(one, other, 0.1)
    assert up_at(one, GOSSIP_LEASE_S) == [A]
    one.expire(GOSSIP_LEASE_S + 0.2)
    assert up_at(one, GOSSIP_LEASE_S + 0.2) == []


def test_endpoint_of_a_failed_entry_moves_to_another(
    pair: tuple[Roster, Roster],
) -> None:
    """Keep an endpoint that announces to another when its entry fails."""
    one, other = pair
    other.announce(announcement(A), 0.1)
    exchange(one, other, 0.1)
    one.announce(announcement(A), 1.1)
    for tenth in range(11, 60):
        now = tenth / 10
        one.expire(now)
        if tenth % 10 == 1:
            one.announce(announcement(A), now)
        assert up_at(one, now) == [A]


def test_restart_on_the_same_address(pair: tuple[Roster, Roster]) -> None:
    """Prefer the newer process; refuse late announcements of the older."""
    one, other = pair
    other.announce(announcement(A, incarnation=7, slots=2), 0.1)
    exchange(one, other, 0.1)
    one.announce(announcement(A, incarnation=8, slots=5), 0.2)
    exchange(one, other, 0.2)
    for members in pair:
        assert [u.slots for u in members.live(0.3)] == [5]
        old = announcement(A, incarnation=7)
        assert members.announce(old, 0.4) == STALE
        assert members.floor(old.key) == 8


def test_incarnation_floor_expires() -> None:
    """Refuse a lower incarnation until the floor expires.

    An endpoint derives its incarnation from a clock that was set back. It
    is refused as stale, and accepted after FLOOR_S.
    """
    members = Roster(1)
    members.announce(announcement(A, incarnation=10**9), 0.0)
    low = announcement(A, incarnation=5)
    now = 0.0
    while now < FLOOR_S:
        now += 0.5
        members.expire(now)
        assert members.announce(low, now) == STALE
    members.expire(now + 0.5)
    assert members.announce(low, now + 0.5) == CHANGED


def test_paused_entry_refuses_announcements() -> None:
    """Refuse announcements that may have been queued during a pause.

    The process is suspended while its socket holds an "up"; the endpoint
    drains at another entry and stops. Resumed, the entry would renew its
    lease.
    """
    members = Roster(1)
    members.expire(0.0)
    assert members.announce(announcement(A), 10.0) == PAUSED
    assert members.announce(announcement(A), 10.1) == PAUSED
    assert (
        members.announce(announcement(A), 10.0 + ANNOUNCE_RETRY_S) == CHANGED
    )


def test_wrong_digest_is_repaired(pair: tuple[Roster, Roster]) -> None:
    """Fetch the whole set when the digests differ."""
    one, other = pair
    other.announce(announcement(A), 0.1)
    exchange(one, other, 0.1)
    one._peers["other"].digest ^= 1
    exchange(one, other, 0.2)
    assert up_at(one, 0.2) == []
    exchange(one, other, 0.3)
    assert up_at(one, 0.3) == [A]


def test_whole_set_is_sent_to_a_peer_that_lags_too_far(
    pair: tuple[Roster, Roster],
) -> None:
    """Send the whole set when the peer lags too far."""
    one, other = pair
    for number in range(MAX_CHANGES + 5):
        other.announce(announcement(f"10.0.0.1:{number + 1}"), 0.1)
    answer = exchange(one, other, 0.2)
    assert answer.base == 0
    assert len(up_at(one, 0.2)) == MAX_CHANGES + 5


def test_memory_is_bounded() -> None:
    """Bound the number of endpoints, peers and floors."""
    members = Roster(1)
    for number in range(MAX_ENDPOINTS):
        address = f"10.0.{number // 1000}.1:{number + 1}"
        members.announce(announcement(address), 0.0)
    assert members.announce(announcement("10.9.9.9:1"), 0.0) == FULL
    first = announcement("10.0.0.1:1")
    assert members.announce(first, 0.0) == RENEWED
    for number in range(MAX_PEERS + 5):
        members.build_message(f"entry-{number}", 0.0)
    assert len(members._peers) == MAX_PEERS
    for number in range(MAX_FLOORS + 5):
        one = announcement(f"10.1.{number // 1000}.1:{number + 1}")
        members._raise_floor(one, 0.0)
    assert len(members._floors) == MAX_FLOORS


ENTRIES = ("entry-a", "entry-b", "entry-c")
STEP_S = 0.1
GOSSIP_STEPS = 5
RATE = 1.02
SPREAD_S = 1.0
LATE_S = 2.0
BOUND_S = (LEASE_S + GOSSIP_LEASE_S) * RATE**2 + SPREAD_S


class Endpoint:
    """Hold the true state of one upstream."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.incarnation = 1
        self.home = ENTRIES[0]
        self.state = "absent"
        self.since = 0.0
        self.announced_at = -1.0

    def announcement(self) -> Announcement:
        """Build the current announcement."""
        state = DRAINING if self.state == DRAINING else UP
        return announcement(
            self.address, incarnation=self.incarnation, state=state
        )


class Fleet(RuleBasedStateMachine):
    """Run three entries and four endpoints on virtual time.

    Clocks differ in offset and rate; messages are lost, duplicated,
    reordered and delayed; links are cut; entries restart; endpoints move,
    drain, fall silent and return. The oracle knows only what each endpoint
    did and when.
    """

    @initialize(
        rates=st.lists(
            st.sampled_from([1 / RATE, 1.0, RATE]), min_size=3, max_size=3
        )
    )
    def start(self, rates: list[float]) -> None:
        """Start the entries, each with its own clock."""
        self.now = 0.0
        self.step = 0
        self.epoch = 1
        self.clocks = {
            name: (1000.0 * place, rates[place])
            for place, name in enumerate(ENTRIES)
        }
        self.entries = {name: self.fresh() for name in ENTRIES}
        self.endpoints = [Endpoint(f"10.0.0.{n}:80") for n in range(1, 5)]
        self.cut: set[frozenset[str]] = set()
        self.calm_since = 0.0
        self.late: list[Callable[[], object]] = []
        self.restarted = dict.fromkeys(ENTRIES, 0.0)

    def fresh(self) -> Roster:
        """Build an entry that has just started."""
        self.epoch += 1000000
        return Roster(self.epoch)

    def clock(self, name: str) -> float:
        """Return the time by an entry's clock."""
        offset, rate = self.clocks[name]
        return offset + self.now * rate

    def run(self, steps: int, lossy: bool = False) -> None:
        """Advance the time with announcements and gossip."""
        for _ in range(steps):
            self.now += STEP_S
            self.step += 1
            for name in ENTRIES:
                self.entries[name].expire(self.clock(name))
            if self.step % GOSSIP_STEPS == 0:
                self.announce_all()
            if lossy:
                self.calm_since = self.now
            else:
                self.gossip_all()
            self.check()

    def announce_all(self) -> None:
        """Announce every endpoint that is not silent."""
        for endpoint in self.endpoints:
            if endpoint.state in ("absent", "silent"):
                continue
            home = self.entries[endpoint.home]
            found = endpoint.announcement()
            outcome = home.announce(found, self.clock(endpoint.home))
            assert outcome in (RENEWED, CHANGED)
            endpoint.announced_at = self.now
            if len(self.late) < 8:
                self.keep_late(endpoint.home, found)

    def keep_late(self, home: str, found: Announcement) -> None:
        """Keep a copy of an announcement for up to two seconds."""
        sent_at = self.now

        def arrive() -> None:
            if self.now - sent_at <= LATE_S:
                self.entries[home].announce(found, self.clock(home))

        self.late.append(arrive)

    def gossip_all(self) -> None:
        """Exchange messages between every connected pair."""
        if self.step % GOSSIP_STEPS:
            return
        for place, one in enumerate(ENTRIES):
            for other in ENTRIES[place + 1 :]:
                if frozenset((one, other)) not in self.cut:
                    self.exchange(one, other)

    def exchange(self, one: str, other: str, answered: bool = True) -> None:
        """Exchange messages of two entries; keep copies to deliver late."""
        request = self.entries[one].build_message(other, self.clock(one))
        self.deliver(other, one, request)
        answer = self.entries[other].build_message(one, self.clock(other))
        if answered:
            self.deliver(one, other, answer)
        if len(self.late) < 24:
            self.late.append(lambda: self.deliver(other, one, request))
            self.late.append(lambda: self.deliver(one, other, answer))

    def deliver(self, to: str, source: str, message: GossipMessage) -> None:
        """Deliver a message."""
        self.entries[to].receive(source, message, self.clock(to))

    @rule(steps=st.integers(1, 40))
    def pass_time(self, steps: int) -> None:
        """Run without faults."""
        self.run(steps)

    @rule(steps=st.integers(1, 40))
    def lose_messages(self, steps: int) -> None:
        """Lose every message for a while."""
        self.run(steps, lossy=True)

    @rule(place=st.integers(0, 3), home=st.sampled_from(ENTRIES))
    def arrive(self, place: int, home: str) -> None:
        """Start an endpoint, or restart it at its address."""
        endpoint = self.endpoints[place]
        endpoint.incarnation += 1
        endpoint.home = home
        self.set_state(endpoint, UP)

    @rule(place=st.integers(0, 3), home=st.sampled_from(ENTRIES))
    def move(self, place: int, home: str) -> None:
        """Move an endpoint to another entry."""
        self.endpoints[place].home = home
        self.calm_since = self.now

    @rule(place=st.integers(0, 3), announced=st.booleans())
    def drain(self, place: int, announced: bool) -> None:
        """Drain an endpoint."""
        endpoint = self.endpoints[place]
        if endpoint.state != UP:
            return
        self.set_state(endpoint, DRAINING)
        if announced:
            self.announce_all()

    @rule(place=st.integers(0, 3))
    def fall_silent(self, place: int) -> None:
        """Kill an endpoint."""
        endpoint = self.endpoints[place]
        if endpoint.state != "absent":
            self.set_state(endpoint, "silent")

    @rule(pair=st.sets(st.sampled_from(ENTRIES), min_size=2, max_size=2))
    def cut_link(self, pair: set[str]) -> None:
        """Cut the link of two entries, or restore it."""
        self.cut ^= {frozenset(pair)}
        self.calm_since = self.now

    @rule(name=st.sampled_from(ENTRIES))
    def restart_entry(self, name: str) -> None:
        """Restart an entry with an empty state."""
        self.entries[name] = self.fresh()
        self.restarted[name] = self.now
        self.calm_since = self.now

    @rule(count=st.integers(1, 24), backwards=st.booleans())
    def deliver_late(self, count: int, backwards: bool) -> None:
        """Deliver copies of earlier messages, in either order."""
        if backwards:
            self.late.reverse()
        for arrive in self.late[:count]:
            arrive()
        del self.late[:count]

    @rule(one=st.sampled_from(ENTRIES), other=st.sampled_from(ENTRIES))
    def half_exchange(self, one: str, other: str) -> None:
        """Lose the reply of one exchange."""
        if one != other and frozenset((one, other)) not in self.cut:
            self.exchange(one, other, answered=False)

    def set_state(self, endpoint: Endpoint, state: str) -> None:
        """Set the state of an endpoint."""
        endpoint.state = state
        endpoint.since = self.now
        self.calm_since = self.now

    @invariant()
    def check(self) -> None:
        """Compare every entry's view with the oracle."""
        for name in ENTRIES:
            now = self.clock(name)
            views = {one.endpoint: one for one in self.entries[name].live(now)}
            for endpoint in self.endpoints:
                self.check_one(endpoint, views.get(endpoint.address))

    def check_one(self, endpoint: Endpoint, view: Announcement | None) -> None:
        """Check one entry's view of one endpoint."""
        usable = view is not None and view.state == UP
        waited = self.now - endpoint.since
        calm = self.now - self.calm_since
        if endpoint.state == DRAINING and calm > SPREAD_S and not self.cut:
            assert not usable, (endpoint.address, "drains")
        if endpoint.state == UP:
            if calm > SPREAD_S + ANNOUNCE_RETRY_S and not self.cut:
                assert usable, (endpoint.address, "is not known everywhere")
        elif waited > BOUND_S + LATE_S:
            assert not usable, (endpoint.address, "gets new work")


Fleet.TestCase.settings = settings(
    max_examples=120, stateful_step_count=40, derandomize=True, deadline=None
)
TestFleet = Fleet.TestCase
