"""Test what an entry acts on when control is far, late or gone."""

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
    """Answer questions by a function of address and request."""

    def __init__(self, answer: Callable[[str, FollowRequest], Any]) -> None:
        self.answer = answer
        self.asked: list[tuple[str, FollowRequest]] = []

    def serve(self, method: Any, handler: Any) -> None:
        """Serve nothing."""

    async def ask(
        self, address: str, method: Any, request: Any, timeout_s: float
    ) -> Any:
        """Answer at once."""
        self.asked.append((address, request))
        found = self.answer(address, request)
        if method is FOLLOW or isinstance(found, RelayReply):
            return found
        return None


class Rig:
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
            self.take,
        )

    def take(self, reply: FollowReply) -> None:
        """Note a tree that the entry acts on."""
        self.trees.append(reply.index)
        self.documents.append(reply.documents)

    def follow(self, times: int = 1) -> None:
        """Ask so many times."""

        async def run() -> None:
            for _ in range(times):
                await self.follower.follow()

        asyncio.run(run())


@pytest.fixture
def rig(monkeypatch: pytest.MonkeyPatch) -> Rig:
    """Build a follower that nobody answers."""
    return Rig(monkeypatch)


def scripted(reply: FollowReply) -> Callable[[str, FollowRequest], Any]:
    """Give one answer always."""
    return lambda address, request: reply


def tree(index: int, current: bool = True) -> FollowReply:
    """Build a leader's answer."""
    return FollowReply("control-1", None, current, index, {}, {})


def test_only_current_answers_are_acted_on(rig: Rig) -> None:
    """An isolated replica answers with a tree that may be old."""
    rig.links.answer = lambda address, request: tree(5, current=False)
    rig.follow(3)
    assert rig.trees == []
    assert not rig.follower.may_act()


def test_lower_index_is_never_applied(rig: Rig) -> None:
    """Answers overtake one another; the entry only goes forward."""
    rig.links.answer = lambda address, request: tree(5)
    rig.follow()
    rig.links.answer = lambda address, request: tree(4)
    rig.follow()
    assert rig.trees == [5]
    assert rig.follower.index == 5


def test_changed_branches_are_merged(rig: Rig) -> None:
    """Only changed branches travel; a removed one comes as None."""
    for index, documents in ((3, {"a": 1, "b": 1}), (5, {"b": None, "c": 2})):
        reply = FollowReply(
            leader="control-1",
            leader_address=None,
            current=True,
            index=index,
            revisions=dict.fromkeys(documents, index),
            documents=documents,
        )
        rig.links.answer = scripted(reply)
        rig.follow()
    assert rig.documents == [{"a": 1, "b": 1}, {"a": 1, "c": 2}]
    assert rig.follower.revisions == {"a": 3, "b": 5, "c": 5}


def test_hint_leads_to_the_leader(rig: Rig) -> None:
    """A replica that follows names the leader, which is asked next.

    The leader may be a replica that the entry's settings do not list.
    """
    leader = "127.0.0.1:99"

    def answer(address: str, request: FollowRequest) -> FollowReply:
        if address == leader:
            return tree(7)
        return FollowReply("control-9", leader, False)

    rig.links.answer = answer
    rig.follow(2)
    assert rig.follower.index == 7


def test_lease_counts_from_the_question(rig: Rig) -> None:
    """The answer comes late; the leader counts from the question as well."""

    def answer(address: str, request: FollowRequest) -> FollowReply:
        rig.now += 4.0
        return tree(5)

    rig.links.answer = answer
    rig.follow()
    rig.now += TREE_LEASE_S - 4.0 - 0.1
    assert rig.follower.has_lease
    rig.now += 0.2
    assert not rig.follower.has_lease


def test_question_is_not_held_when_the_lease_is_short(rig: Rig) -> None:
    """After a lost question the renewal must not be held past its end."""
    rig.links.answer = lambda address, request: tree(5)
    rig.follow()
    rig.follow()
    assert rig.links.asked[-1][1].hold
    rig.now += TREE_LEASE_S - 1.0
    rig.follow()
    assert not rig.links.asked[-1][1].hold


def test_cut_entry_follows_through_another(rig: Rig) -> None:
    """Control is out of reach for this entry alone.

    Another entry passes its question on, so it stays current and goes on.
    """

    def answer(address: str, request: FollowRequest) -> Any:
        if address == ENTRIES[2]:
            return RelayReply(tree(8))
        return None

    rig.links.answer = answer
    rig.follow(2)
    assert rig.follower.index == 8
    assert rig.follower.has_lease
    rig.now += 5.0
    rig.follow()
    relays = [one for one in rig.links.asked if one[0] in ENTRIES]
    assert relays[-1][0] == ENTRIES[2]
    rig.now += 5.0
    assert rig.follower.has_lease


def test_lost_control_does_not_stop_entries_together(rig: Rig) -> None:
    """All of control is down; the entries reach one another.

    Nothing newer can be accepted without control, so all go on.
    """
    rig.links.answer = lambda address, request: tree(5)
    rig.follow()
    rig.links.answer = lambda address, request: (
        RelayReply(None) if address in ENTRIES else None
    )
    rig.now += TREE_LEASE_S + 1.0
    rig.follow()
    assert not rig.follower.has_lease
    assert rig.follower.may_act()


def test_isolated_entry_stops(rig: Rig) -> None:
    """An entry that reaches neither control nor entries is cut off.

    Elsewhere a newer tree may be in force: it refuses, and callers go to
    an entry that knows.
    """
    rig.links.answer = lambda address, request: tree(5)
    rig.follow()
    rig.links.answer = lambda address, request: None
    rig.now += TREE_LEASE_S + 1.0
    rig.follow()
    assert not rig.follower.may_act()


@pytest.mark.parametrize(
    ("others", "reached", "acts"),
    [(0, 0, True), (1, 0, False), (1, 1, True), (15, 7, False), (15, 8, True)],
)
def test_more_than_half_of_all_entries_go_on(
    others: int, reached: int, acts: bool
) -> None:
    """Two halves of a cut network never both go on without a lease."""
    lease = TreeLease(others)
    for number in range(reached):
        lease.record_leaderless(f"entry-{number}", 100.0)
    assert lease.may_act(100.0) is acts
    assert lease.may_act(100.0 + TREE_LEASE_S + 1.0) is (others == 0)
