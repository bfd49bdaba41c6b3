"""Exchange words between entries on virtual time."""

import asyncio
from typing import Any

import pytest
from nutmegchute_core.directories import Directory
from nutmegchute_core.directories import EntryInfo
from nutmegchute_core.members import Announcement
from nutmegchute_core.rosters import Roster
from nutmegchute_daemon import gossips
from nutmegchute_daemon.gossips import Gossip
from nutmegchute_daemon.gossips import GOSSIP_S
from nutmegchute_daemon.gossips import Gossiper
from nutmegchute_daemon.gossips import TICK_S
from nutmegchute_daemon.settings import Settings
from support import announcement

A = "10.0.0.1:80"
ENTRIES = 3
SEEDS = [f"10.0.1.{number}:2" for number in range(ENTRIES)]


class Network:
    """Carry words between the entries that are up, and count them."""

    def __init__(self) -> None:
        self.handlers: dict[str, Any] = {}
        self.down: set[str] = set()
        self.words: list[Gossip] = []


class FakeLinks:
    """Stand for one entry's links."""

    def __init__(self, network: Network, address: str) -> None:
        self._network = network
        self._address = address

    def serve(self, method: Any, handler: Any) -> None:
        """Answer by the handler."""
        self._network.handlers[self._address] = handler

    async def send_request(
        self, address: str, method: Any, word: Gossip, timeout_s: float
    ) -> Gossip | None:
        """Ask an entry; one that is down does not answer."""
        self._network.words.append(word)
        if address in self._network.down:
            return None
        answer: Gossip = await self._network.handlers[address](word)
        return answer


class Entry:
    """Hold one entry's membership."""

    def __init__(self, network: Network, number: int) -> None:
        address = f"10.0.1.{number}:1"
        self.name = f"entry-{number}"
        self.roster = Roster(1000 * (number + 1))
        self.directory = Directory(EntryInfo(self.name, address, "surco"))
        self.live: list[Announcement] = []
        links: Any = FakeLinks(network, SEEDS[number])
        settings = Settings(
            {
                "role": "entry",
                "name": self.name,
                "availability_zone": "surco",
                "http_address": address,
                "grpc_address": SEEDS[number],
                "entries": SEEDS,
            }
        )
        self.gossiper = Gossiper(
            settings=settings,
            links=links,
            members=self.roster,
            directory=self.directory,
            on_change=self.take,
        )

    def take(self, live: list[Announcement]) -> None:
        """Remember the endpoints reported last."""
        self.live = live


class Town:
    """Run all entries on one virtual clock."""

    def __init__(self) -> None:
        self.now = 100.0
        self.network = Network()
        self.entries = [Entry(self.network, n) for n in range(ENTRIES)]

    async def run(self, seconds: float) -> None:
        """Let the entries tick."""
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            for entry in self.entries:
                if SEEDS[self.entries.index(entry)] in self.network.down:
                    continue
                entry.gossiper.tick()
            for _ in range(20):
                await asyncio.sleep(0)

    def usable(self, number: int) -> list[str]:
        """Name the entries that one entry gives to callers."""
        words = self.entries[number].directory.usable(self.now)
        return [word.name for word in words]


@pytest.fixture
def town(monkeypatch: pytest.MonkeyPatch) -> Town:
    """Build three entries that gossip on virtual time."""
    found = Town()
    monkeypatch.setattr(gossips, "boot_time", lambda: found.now)
    return found


def test_a_pair_exchanges_once_in_a_period(town: Town) -> None:
    """Send at rest no more than a word a pair and period, and its answer."""

    async def scenario() -> None:
        await town.run(3 * GOSSIP_S)
        town.network.words.clear()
        await town.run(10 * GOSSIP_S)

    asyncio.run(scenario())
    pairs = ENTRIES * (ENTRIES - 1) // 2
    assert len(town.network.words) <= pairs * 10
    assert len(town.network.words) >= pairs * 8
    assert all(not word.vouch.changed for word in town.network.words)


def test_a_change_is_known_with_the_next_ticks(town: Town) -> None:
    """Pass on an arrival and a drain at once."""

    async def scenario() -> None:
        await town.run(3 * GOSSIP_S)
        for state in ("up", "draining"):
            word = announcement(A, state=state)
            town.entries[0].roster.announce(word, town.now)
            await town.run(2 * TICK_S)
            for entry in town.entries:
                assert [one.state for one in entry.live] == [state]

    asyncio.run(scenario())


def test_a_dead_entry_leaves_the_answers(town: Town) -> None:
    """Name an entry no more once it did not answer, until it does."""

    async def scenario() -> None:
        await town.run(3 * GOSSIP_S)
        assert town.usable(0) == ["entry-0", "entry-1", "entry-2"]
        town.network.down.add(SEEDS[2])
        await town.run(GOSSIP_S + 2 * TICK_S)
        assert town.usable(0) == ["entry-0", "entry-1"]
        town.network.down.clear()
        await town.run(2 * GOSSIP_S)
        assert town.usable(0) == ["entry-0", "entry-1", "entry-2"]

    asyncio.run(scenario())


def test_a_draining_entry_leaves_the_answers_at_once(town: Town) -> None:
    """Tell the others of the drain before the next period."""

    async def scenario() -> None:
        await town.run(3 * GOSSIP_S)
        town.entries[1].directory.drain()
        await town.run(2 * TICK_S)
        assert town.usable(0) == town.usable(2) == ["entry-0", "entry-2"]

    asyncio.run(scenario())
