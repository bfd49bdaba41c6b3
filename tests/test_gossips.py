"""Exchange gossip between entries on virtual time."""

import asyncio
from typing import Any

import pytest
from nutmegchute_core.directories import Directory
from nutmegchute_core.directories import EntryInfo
from nutmegchute_core.limit_boards import LimitBoard
from nutmegchute_core.limit_boards import LimitUpdate
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
    """Deliver requests to the entries that are up and record them."""

    def __init__(self) -> None:
        self.handlers: dict[str, Any] = {}
        self.down: set[str] = set()
        self.requests: list[Gossip] = []


class FakeLinks:
    """Replace the links of one entry."""

    def __init__(self, network: Network, address: str) -> None:
        self._network = network
        self._address = address

    def serve(self, method: Any, handler: Any) -> None:
        """Register the handler of requests."""
        self._network.handlers[self._address] = handler

    async def send_request(
        self, address: str, method: Any, gossip: Gossip, timeout_s: float
    ) -> Gossip | None:
        """Send a request; an entry that is down does not reply."""
        self._network.requests.append(gossip)
        if address in self._network.down:
            return None
        reply: Gossip = await self._network.handlers[address](gossip)
        return reply


class Entry:
    """Hold the roster, directory and gossiper of one entry."""

    def __init__(self, network: Network, number: int) -> None:
        address = f"10.0.1.{number}:1"
        self.name = f"entry-{number}"
        self.roster = Roster(1000 * (number + 1))
        self.directory = Directory(EntryInfo(self.name, address, "surco"))
        self.live: list[Announcement] = []
        self.limits = LimitBoard(number + 1)
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
            limits=self.limits,
            on_change=self.record_live,
            on_limits=self.apply_limits,
        )

    def apply_limits(self, update: LimitUpdate) -> None:
        """Apply limits that another entry learned."""
        now = asyncio.get_running_loop().time()
        self.limits.apply(update.reports, now, is_own=False)

    def record_live(self, live: list[Announcement]) -> None:
        """Record the endpoints reported last."""
        self.live = live


class Simulation:
    """Run all entries on one virtual clock."""

    def __init__(self) -> None:
        self.now = 100.0
        self.network = Network()
        self.entries = [Entry(self.network, n) for n in range(ENTRIES)]

    async def run(self, seconds: float) -> None:
        """Tick every entry that is up."""
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            for entry in self.entries:
                if SEEDS[self.entries.index(entry)] in self.network.down:
                    continue
                entry.gossiper.tick()
            for _ in range(20):
                await asyncio.sleep(0)

    def usable(self, number: int) -> list[str]:
        """Return the names of the entries that one returns to callers."""
        usable = self.entries[number].directory.usable(self.now)
        return [info.name for info in usable]


@pytest.fixture
def simulation(monkeypatch: pytest.MonkeyPatch) -> Simulation:
    """Build three entries that gossip on virtual time."""
    found = Simulation()
    monkeypatch.setattr(gossips, "boot_time", lambda: found.now)
    return found


def test_pair_exchanges_once_per_period(simulation: Simulation) -> None:
    """Send one request per pair and period while nothing changes."""

    async def scenario() -> None:
        await simulation.run(3 * GOSSIP_S)
        simulation.network.requests.clear()
        await simulation.run(10 * GOSSIP_S)

    asyncio.run(scenario())
    pairs = ENTRIES * (ENTRIES - 1) // 2
    assert len(simulation.network.requests) <= pairs * 10
    assert len(simulation.network.requests) >= pairs * 8
    assert all(not one.message.changed for one in simulation.network.requests)


def test_change_is_sent_with_the_next_tick(simulation: Simulation) -> None:
    """Send a new endpoint and its drain without waiting for the period."""

    async def scenario() -> None:
        await simulation.run(3 * GOSSIP_S)
        for state in ("up", "draining"):
            announced = announcement(A, state=state)
            simulation.entries[0].roster.announce(announced, simulation.now)
            await simulation.run(2 * TICK_S)
            for entry in simulation.entries:
                assert [one.state for one in entry.live] == [state]

    asyncio.run(scenario())


def test_changed_limit_is_sent_once_to_each_entry(
    simulation: Simulation,
) -> None:
    """Guard against limits that entries pass on to one another for ever."""
    key = (A, "", 1)

    async def scenario() -> None:
        await simulation.run(3 * GOSSIP_S)
        begin = asyncio.get_running_loop().time() - 10.0
        for number, limit in enumerate((2.0, 0.5, None)):
            simulation.network.requests.clear()
            answered_at = begin + number
            simulation.entries[0].limits.record(key, limit, answered_at, True)
            await simulation.run(2 * TICK_S)
            for entry in simulation.entries:
                record = entry.limits.find(key)
                assert record is not None
                assert record.per_s == limit
            await simulation.run(3 * GOSSIP_S)
            sent = [one for one in simulation.network.requests if one.limits]
            assert len(sent) <= ENTRIES - 1

    asyncio.run(scenario())


def test_unreachable_entry_is_not_returned_to_callers(
    simulation: Simulation,
) -> None:
    """Omit an entry that did not reply until it replies again."""

    async def scenario() -> None:
        await simulation.run(3 * GOSSIP_S)
        assert simulation.usable(0) == ["entry-0", "entry-1", "entry-2"]
        simulation.network.down.add(SEEDS[2])
        await simulation.run(GOSSIP_S + 2 * TICK_S)
        assert simulation.usable(0) == ["entry-0", "entry-1"]
        simulation.network.down.clear()
        await simulation.run(2 * GOSSIP_S)
        assert simulation.usable(0) == ["entry-0", "entry-1", "entry-2"]

    asyncio.run(scenario())


def test_draining_entry_is_not_returned_to_callers(
    simulation: Simulation,
) -> None:
    """Send the drain to the other entries before the next period."""

    async def scenario() -> None:
        await simulation.run(3 * GOSSIP_S)
        simulation.entries[1].directory.drain()
        await simulation.run(2 * TICK_S)
        assert (
            simulation.usable(0)
            == simulation.usable(2)
            == ["entry-0", "entry-2"]
        )

    asyncio.run(scenario())
