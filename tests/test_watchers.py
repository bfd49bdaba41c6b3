"""Ask control replicas for news, on an entry."""

import asyncio
from typing import Any
from typing import cast

from nutmegchute_core.directories import EntryInfo
from nutmegchute_core.replica_choosers import ReplicaChooser
from nutmegchute_core.sessions import WATCH_HOLD_S
from nutmegchute_core.sessions import WatchReply
from nutmegchute_core.sessions import WatchRequest
from nutmegchute_daemon.links import Links
from nutmegchute_daemon.watchers import FIRST_TIMEOUT_S
from nutmegchute_daemon.watchers import WATCH_MARGIN_S
from nutmegchute_daemon.watchers import Watcher

ADDRESS = "10.1.0.1:7000"
ZONE = "surco"


class FakeLinks:
    """Answer questions by a script and note how long each may take."""

    def __init__(self, *answers: WatchReply | None) -> None:
        self.answers = list(answers)
        self.opened: list[float] = []
        self.timeouts: list[float] = []
        self.dropped = 0
        self.done = asyncio.Event()

    async def open(self, address: str, timeout_s: float) -> bool:
        """Take the connection, unless the next answer is none."""
        self.opened.append(timeout_s)
        if self.answers and self.answers[0] is None:
            self.answers.pop(0)
            return False
        return True

    async def send_request(
        self, address: str, method: Any, request: Any, timeout_s: float
    ) -> WatchReply | None:
        """Give the next answer, then none for ever."""
        self.timeouts.append(timeout_s)
        if self.answers:
            return self.answers.pop(0)
        self.done.set()
        await asyncio.Event().wait()
        return None

    def drop(self, address: str) -> None:
        """Count the connections given up."""
        self.dropped += 1


class Asking:
    """Stand for an entry."""

    def build_request(self, hold_s: float) -> WatchRequest:
        """Build a question."""
        word = EntryInfo("r1", "10.1.0.9:80", ZONE)
        return WatchRequest(word, {}, 0, 0, hold_s)

    def handle_reply(self, replica: str, reply: WatchReply) -> None:
        """Take an answer."""


def play(*answers: WatchReply | None) -> FakeLinks:
    """Let a watcher ask until the script is over."""

    async def run() -> FakeLinks:
        links = FakeLinks(*answers)
        chooser = ReplicaChooser("r1", ZONE, [ADDRESS])
        watcher = Watcher(chooser, cast(Links, links), Asking())
        watcher.start()
        await links.done.wait()
        watcher.stop()
        return links

    return asyncio.run(run())


def test_first_questions_are_given_up_soon() -> None:
    """Open another connection soon while a replica has never answered.

    After a loss of power an entry starts before control has power again.
    Its first packet is lost and TCP sends it again after a second; entries
    that waited for that had no configuration while others served.
    """
    links = play(None, None)
    assert links.opened == [FIRST_TIMEOUT_S] * 3
    assert links.dropped == 2


def test_held_questions_are_given_the_time_they_are_held() -> None:
    """Wait out the hold of a replica that has answered before."""
    reply = WatchReply({}, 1)
    links = play(None, reply, reply)
    held = WATCH_MARGIN_S + WATCH_HOLD_S
    assert links.opened == [FIRST_TIMEOUT_S] * 2
    assert links.timeouts == [WATCH_MARGIN_S, held, held]


def test_lost_replica_is_not_asked_in_haste_for_ever() -> None:
    """Ask a replica that was reached once as one that may be cut off."""
    reply = WatchReply({}, 1)
    links = play(reply, None)
    assert links.timeouts[-1] == WATCH_MARGIN_S
    assert links.dropped == 1


def test_slow_replica_keeps_its_first_connection() -> None:
    """Wait for the first answer of a replica that took the connection.

    All power was lost, and a hundred entries ask a replica that has just
    started. Each that gave up after a fifth of a second and connected anew
    would cost it as much as an answer, and none would be answered.
    """
    links = play(WatchReply({}, 1))
    assert links.opened == [FIRST_TIMEOUT_S]
    assert links.timeouts[0] == WATCH_MARGIN_S
    assert links.dropped == 0
