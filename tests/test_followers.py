"""Test what an entry acts on when control is slow, stale or unreachable."""

import asyncio
from collections.abc import Callable
from typing import Any

import pytest
from nutmegchute_core.follow_protocol import FollowReply
from nutmegchute_core.follow_protocol import FollowRequest
from nutmegchute_core.follow_protocol import RelayReply
from nutmegchute_core.follow_protocol import TREE_LEASE_S
from nutmegchute_core.follow_protocol import TreeLease
from nutmegchute_daemon import followers
from nutmegchute_daemon.followers import Follower
from nutmegchute_daemon.methods import FOLLOW
from nutmegchute_daemon.settings import Settings

CONTROL = ["127.0.0.1:11", "127.0.0.1:12", "127.0.0.1:13"]
ENTRIES = ["127.0.0.1:21", "127.0.0.1:22", "127.0.0.1:23"]


class FakeLinks:
    """Answer requests by a function of address and request."""

    def __init__(self, answer: Callable[[str, FollowRequest], Any]) -> None:
        self.answer = answer
        self.requests: list[tuple[str, FollowRequest]] = []

    def serve(self, method: Any, handler: Any) -> None:
        """Serve nothing."""

    async def send_request(
        self, address: str, method: Any, request: Any, timeout_s: float
    ) -> Any:
        """Answer at once."""
        self.requests.append((address, request))
        found = self.answer(address, request)
        if method is FOLLOW or isinstance(found, RelayReply):
            return found
        return None


class FollowerHarness:
    """Hold a follower, its fake links and a clock."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 1000.0
        self.trees: list[int] = []
        self.documents: list[Any] = []
        self.links = FakeLinks(lambda address, request: None)
        peers = [
            {
                "name": f"control-{number}",
                "grpc_address": address,
                "http_address": "127.0.0.1:1",
            }
            for number, address in enumerate(CONTROL, 1)
        ]
        settings = Settings(
            {
                "role": "entry",
                "name": "entry-1",
                "availability_zone": "surco",
                "http_address": "127.0.0.1:1",
                "grpc_address": ENTRIES[0],
                "control": peers,
                "entries": ENTRIES,
            }
        )
        monkeypatch.setattr(followers, "_clock", lambda: self.now)
        monkeypatch.setattr(followers, "RETRY_S", 0.0)
        self.follower = Follower(
            settings,
            self.links,  # type: ignore[arg-type]
            self.record_tree,
        )

    def record_tree(self, reply: FollowReply) -> None:
        """Record a tree that the entry applies."""
        self.trees.append(reply.index)
        self.documents.append(reply.documents)

    def follow(self, times: int = 1) -> None:
        """Send a number of requests."""

        async def run() -> None:
            for _ in range(times):
                await self.follower.follow()

        asyncio.run(run())


@pytest.fixture
def harness(monkeypatch: pytest.MonkeyPatch) -> FollowerHarness:
    """Build a follower whose requests get no reply."""
    return FollowerHarness(monkeypatch)


def always(reply: FollowReply) -> Callable[[str, FollowRequest], Any]:
    """Return a function that always returns one reply."""
    return lambda address, request: reply


def tree(index: int, current: bool = True) -> FollowReply:
    """Build a reply to a follow request."""
    return FollowReply("control-1", None, current, index, {}, {})


def test_only_current_replies_are_applied(harness: FollowerHarness) -> None:
    """Guard against the tree of an isolated replica, which may be stale."""
    harness.links.answer = lambda address, request: tree(5, current=False)
    harness.follow(3)
    assert harness.trees == []
    assert not harness.follower.may_route()


def test_lower_index_is_never_applied(harness: FollowerHarness) -> None:
    """Guard against going back to an older tree when replies are reordered."""
    harness.links.answer = lambda address, request: tree(5)
    harness.follow()
    harness.links.answer = lambda address, request: tree(4)
    harness.follow()
    assert harness.trees == [5]
    assert harness.follower.index == 5


def test_changed_branches_are_merged(harness: FollowerHarness) -> None:
    """Merge replies of changed branches, None for a removed one."""
    for index, documents in ((3, {"a": 1, "b": 1}), (5, {"b": None, "c": 2})):
        reply = FollowReply(
            leader="control-1",
            leader_address=None,
            current=True,
            index=index,
            revisions=dict.fromkeys(documents, index),
            documents=documents,
        )
        harness.links.answer = always(reply)
        harness.follow()
    assert harness.documents == [{"a": 1, "b": 1}, {"a": 1, "c": 2}]
    assert harness.follower.revisions == {"a": 3, "b": 5, "c": 5}


def test_hint_leads_to_the_leader(harness: FollowerHarness) -> None:
    """Send the next request to the leader that a replica names.

    The entry's settings need not list that leader.
    """
    leader = "127.0.0.1:99"

    def answer(address: str, request: FollowRequest) -> FollowReply:
        if address == leader:
            return tree(7)
        return FollowReply("control-9", leader, False)

    harness.links.answer = answer
    harness.follow(2)
    assert harness.follower.index == 7


def test_lease_starts_when_the_request_is_sent(
    harness: FollowerHarness,
) -> None:
    """Guard against a lease that outlasts the leader's, after a late reply."""

    def answer(address: str, request: FollowRequest) -> FollowReply:
        harness.now += 4.0
        return tree(5)

    harness.links.answer = answer
    harness.follow()
    harness.now += TREE_LEASE_S - 4.0 - 0.1
    assert harness.follower.has_lease
    harness.now += 0.2
    assert not harness.follower.has_lease


def test_request_is_not_held_when_the_lease_ends_soon(
    harness: FollowerHarness,
) -> None:
    """Guard against a lease that expires while its renewal is held."""
    harness.links.answer = lambda address, request: tree(5)
    harness.follow()
    harness.follow()
    assert harness.links.requests[-1][1].hold
    harness.now += TREE_LEASE_S - 1.0
    harness.follow()
    assert not harness.links.requests[-1][1].hold


def test_entry_cut_off_from_control_follows_through_another(
    harness: FollowerHarness,
) -> None:
    """Guard against an entry that stops though another can reach control.

    Control is unreachable for this entry only; another relays its requests.
    """

    def answer(address: str, request: FollowRequest) -> Any:
        if address == ENTRIES[2]:
            return RelayReply(tree(8))
        return None

    harness.links.answer = answer
    harness.follow(2)
    assert harness.follower.index == 8
    assert harness.follower.has_lease
    harness.now += 5.0
    harness.follow()
    relays = [one for one in harness.links.requests if one[0] in ENTRIES]
    assert relays[-1][0] == ENTRIES[2]
    harness.now += 5.0
    assert harness.follower.has_lease


def test_lost_control_does_not_stop_entries_together(
    harness: FollowerHarness,
) -> None:
    """Guard against an outage of all entries when control is down.

    The entries reach one another, and no change can be accepted without
    control, so all continue.
    """
    harness.links.answer = lambda address, request: tree(5)
    harness.follow()
    harness.links.answer = lambda address, request: (
        RelayReply(None) if address in ENTRIES else None
    )
    harness.now += TREE_LEASE_S + 1.0
    harness.follow()
    assert not harness.follower.has_lease
    assert harness.follower.may_route()


def test_isolated_entry_stops(harness: FollowerHarness) -> None:
    """Guard against calls routed by a stale tree.

    An entry that reaches neither control nor other entries refuses calls, as
    a newer tree may be in force; callers then use another entry.
    """
    harness.links.answer = lambda address, request: tree(5)
    harness.follow()
    harness.links.answer = lambda address, request: None
    harness.now += TREE_LEASE_S + 1.0
    harness.follow()
    assert not harness.follower.may_route()


@pytest.mark.parametrize(
    ("others", "leaderless", "acts"),
    [(0, 0, True), (1, 0, False), (1, 1, True), (15, 7, False), (15, 8, True)],
)
def test_more_than_half_of_all_entries_continue(
    others: int, leaderless: int, acts: bool
) -> None:
    """Guard against routing on both sides of a partition without a lease."""
    lease = TreeLease(others)
    for number in range(leaderless):
        lease.record_leaderless(f"entry-{number}", 100.0)
    assert lease.may_route(100.0) is acts
    assert lease.may_route(100.0 + TREE_LEASE_S + 1.0) is (others == 0)
