"""Watch control replicas from an entry whose links are scripted."""

import asyncio
from typing import Any
from typing import cast

from nutmegchute_core.directories import EntryInfo
from nutmegchute_core.follow_protocol import FollowReply
from nutmegchute_core.replica_choosers import ReplicaChooser
from nutmegchute_core.sessions import WATCH_HOLD_S
from nutmegchute_core.sessions import WatchReply
from nutmegchute_core.sessions import WatchRequest
from nutmegchute_daemon.links import Links
from nutmegchute_daemon.watchers import FIRST_TIMEOUT_S
from nutmegchute_daemon.watchers import WATCH_MARGIN_S
from nutmegchute_daemon.watchers import Watcher
from virtual_time import run_virtual

RENEW_GAP_S = 0.1
ADDRESS = "10.1.0.1:7000"
ZONE = "surco"


class FakeLinks:
    """Return scripted replies and record the timeouts."""

    def __init__(self, *replies: WatchReply | None) -> None:
        self.replies = list(replies)
        self.opened: list[float] = []
        self.timeouts: list[float] = []
        self.dropped = 0
        self.done = asyncio.Event()

    async def open(self, address: str, timeout_s: float) -> bool:
        """Connect unless the next reply is None."""
        self.opened.append(timeout_s)
        if self.replies and self.replies[0] is None:
            self.replies.pop(0)
            return False
        return True

    async def send_request(
        self, address: str, method: Any, request: Any, timeout_s: float
    ) -> WatchReply | None:
        """Return the next reply; after the last one, block."""
        self.timeouts.append(timeout_s)
        if self.replies:
            return self.replies.pop(0)
        self.done.set()
        await asyncio.Event().wait()
        return None

    def failure(self, address: str) -> str:
        """Return the reason of a failure, which is always silence."""
        return "deadline_exceeded"

    def drop(self, address: str) -> None:
        """Count the closed connections."""
        self.dropped += 1


class FakeEntry:
    """Build requests and ignore replies."""

    def build_request(self, hold_s: float) -> WatchRequest:
        """Build a request without any state."""
        info = EntryInfo("r1", "10.1.0.9:80", ZONE)
        return WatchRequest(info, {}, 0, 0, hold_s)

    def handle_reply(self, replica: str, reply: WatchReply) -> None:
        """Ignore the reply."""

    def handle_tree(self, replica: str, tree: FollowReply) -> None:
        """Ignore the tree."""


def run_watcher(*replies: WatchReply | None) -> FakeLinks:
    """Run a watcher until all scripted replies are used."""

    async def run() -> FakeLinks:
        links = FakeLinks(*replies)
        chooser = ReplicaChooser("r1", ZONE, [ADDRESS])
        watcher = Watcher(chooser, cast(Links, links), FakeEntry())
        watcher.start()
        await links.done.wait()
        watcher.stop()
        return links

    return asyncio.run(run())


def test_first_connections_time_out_soon() -> None:
    """Retry connections after a short timeout until the first reply.

    After a power failure an entry may start before control does. Its first
    packet is lost and TCP resends it after a second; entries that waited for
    that had no configuration while others served.
    """
    links = run_watcher(None, None)
    assert links.opened == [FIRST_TIMEOUT_S] * 3
    assert links.dropped == 2


def test_timeout_of_a_held_request_includes_the_hold() -> None:
    """Add the hold to the timeout once a replica has replied."""
    reply = WatchReply({}, 1)
    links = run_watcher(None, reply, reply)
    held = WATCH_MARGIN_S + WATCH_HOLD_S
    assert links.opened == [FIRST_TIMEOUT_S] * 2
    assert links.timeouts == [WATCH_MARGIN_S, held, held]


def test_lost_replica_gets_the_usual_timeout() -> None:
    """Keep the usual timeout for a replica that has replied before."""
    reply = WatchReply({}, 1)
    links = run_watcher(reply, None)
    assert links.timeouts[-1] == WATCH_MARGIN_S
    assert links.dropped == 1


def test_slow_replica_keeps_its_first_connection() -> None:
    """Wait longer for the first reply of a replica that is connected.

    After a power failure a hundred entries send requests to a replica that
    has just started. Reconnecting after a fifth of a second would cost it as
    much as a reply, and no entry would get one.
    """
    links = run_watcher(WatchReply({}, 1))
    assert links.opened == [FIRST_TIMEOUT_S]
    assert links.timeouts[0] == WATCH_MARGIN_S
    assert links.dropped == 0


class SilentLinks(FakeLinks):
    """Answer the first request; later ones time out."""

    async def send_request(
        self, address: str, method: Any, request: Any, timeout_s: float
    ) -> WatchReply | None:
        """Return the first reply, then None after the timeout."""
        if self.replies:
            return self.replies.pop(0)
        await asyncio.sleep(timeout_s)
        return None


def test_renewed_requests_time_out_together() -> None:
    """A replica falls silent while the entry renews its request often.

    If each renewal had a timeout of its own, the entry would stay with the
    silent replica and keep an old configuration for as long as it renews.
    """

    async def run() -> None:
        links = SilentLinks(WatchReply({}, 1))
        chooser = ReplicaChooser("r1", ZONE, [ADDRESS])
        watcher = Watcher(chooser, cast(Links, links), FakeEntry())
        watcher.start()
        renewed_s = 0.0
        while renewed_s < WATCH_HOLD_S + WATCH_MARGIN_S + RENEW_GAP_S:
            await asyncio.sleep(RENEW_GAP_S)
            watcher.renew()
            renewed_s += RENEW_GAP_S
        watcher.stop()
        assert links.dropped == 1

    run_virtual(run())
