"""Tell entries of endpoints through one replica each, on virtual time.

The daemons' own exchanges run here: watchers of entries, registrars and the
replicas' questions to each other. Agreement is stood in for.
"""

import asyncio
import itertools
from random import Random
from types import SimpleNamespace
from typing import Any
from typing import cast

import pytest
from nutmegchute_core.catalogs import Catalog
from nutmegchute_core.directories import EntryInfo
from nutmegchute_core.evacuations import Evacuations
from nutmegchute_core.members import Announcement
from nutmegchute_core.members import DRAINING
from nutmegchute_core.members import UP
from nutmegchute_core.memberships import Member
from nutmegchute_core.peers import GONE_AFTER_S
from nutmegchute_core.quarantines import Quarantine
from nutmegchute_core.replica_choosers import ReplicaChooser
from nutmegchute_core.sessions import WatchReply
from nutmegchute_core.sessions import WatchRequest
from nutmegchute_daemon import peers as peers_module
from nutmegchute_daemon import registrars as registrars_module
from nutmegchute_daemon import watchers as watchers_module
from nutmegchute_daemon.links import Links
from nutmegchute_daemon.peers import PeerExchange
from nutmegchute_daemon.registrars import EXPIRE_S
from nutmegchute_daemon.registrars import NotConfirmedError
from nutmegchute_daemon.registrars import Registrar
from nutmegchute_daemon.watchers import Watcher
from virtual_time import Network
from virtual_time import run_virtual
from virtual_time import VirtualLinks

HEARTBEAT_S = 1.5
# Within this time an acknowledged leaving is heeded and an accepted change
# in force, by every entry in touch.
BOUND_S = 2.0
# Entries are in touch this long after what disturbed them.
TOUCH_S = 3.0
CONTACT_S = 1.0
CONTACT_TICK_S = 0.1
COMMIT_S = 0.005
ACKNOWLEDGE_S = 1.0
MOST_TRIES = 60


class Tree:
    """Stand for the replicated tree: an index and nothing else."""

    def __init__(self) -> None:
        self.index = 1
        self.documents: dict[str, Any] = {}

    def steps_since(self, index: int) -> None:
        """Keep no steps."""

    def changed_since(self, index: int) -> dict[str, Any]:
        """Give no branches."""
        return {}


class Replica:
    """Run one control replica's registrar and exchange."""

    def __init__(self, address: str, world: "World") -> None:
        self.address = address
        self.tree = Tree()
        self.quarantine = Quarantine()
        self.evacuations = Evacuations()
        self._world = world
        self._contact_at = 0.0
        self.registrar = Registrar(
            address, self.in_contact, lambda: cast(Any, self._node())
        )
        links = cast(Links, VirtualLinks(address, world.network))
        self.exchange = PeerExchange(links, self.registrar)
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Begin the periodic work."""
        self.exchange.start()
        for period_s, function in (
            (EXPIRE_S, self._expire),
            (CONTACT_TICK_S, self._look_around),
        ):
            self._tasks.append(
                asyncio.ensure_future(_every(period_s, function))
            )

    def stop(self) -> None:
        """End what runs."""
        self.exchange.stop()
        for task in self._tasks:
            task.cancel()

    def in_contact(self) -> bool:
        """Tell whether a majority was reached lately."""
        now = asyncio.get_running_loop().time()
        return now - self._contact_at <= CONTACT_S

    def commit(self, index: int) -> None:
        """Take a committed change."""
        self.tree.index = max(self.tree.index, index)
        self.registrar.tell()

    def _node(self) -> SimpleNamespace:
        members = self._world.members
        return SimpleNamespace(
            machine=SimpleNamespace(
                tree=self.tree,
                quarantine=self.quarantine,
                evacuations=self.evacuations,
            ),
            replica=SimpleNamespace(
                membership=SimpleNamespace(members=members),
                log=SimpleNamespace(membership_index=1),
            ),
        )

    def _expire(self) -> None:
        self.registrar.expire()
        self.exchange.meet()

    def _look_around(self) -> None:
        if self._world.reaches_majority(self.address):
            self._contact_at = asyncio.get_running_loop().time()
            # The leader's next heartbeat brings what was missed in a cut.
            if self.tree.index < self._world.index:
                self.commit(self._world.index)


class Entry:
    """Run one entry's watcher and catalog."""

    def __init__(self, name: str, zone: str, world: "World") -> None:
        self.name = name
        self.zone = zone
        self.catalog = Catalog()
        self.index = 0
        self.went_back = False
        self._members = -1
        links = cast(Links, VirtualLinks(name, world.network))
        chooser = ReplicaChooser(name, zone, world.seeds)
        self.watcher = Watcher(chooser, links, self)

    def question(self, hold_s: float) -> WatchRequest:
        """Build the question."""
        word = EntryInfo(self.name, f"{self.name}:80", self.zone)
        marks = self.catalog.watermarks
        return WatchRequest(word, marks, self.index, self._members, hold_s)

    def hear(self, replica: str, reply: WatchReply) -> None:
        """Take an answer."""
        now = asyncio.get_running_loop().time()
        if reply.replicas is not None:
            self.watcher.update(reply.replicas)
            self._members = reply.members
        if reply.tree is not None:
            self.went_back |= reply.tree.index < self.index
            self.index = max(self.index, reply.tree.index)
        self.catalog.refresh(reply.unreachable, now)
        for source, delta in reply.deltas.items():
            self.catalog.apply(source, delta, now)

    def states(self) -> dict[str, str]:
        """Map the endpoints that are known to their state."""
        return {one.instance: one.state for one in self.catalog.live()}


class Endpoint:
    """Announce at one replica and at the next where that fails."""

    def __init__(self, number: int, zone: str, world: "World") -> None:
        self.name = f"i-{number}"
        self.left_at: float | None = None
        self._number = number
        self._zone = zone
        self._world = world
        self._state = UP
        self._sequence = 0
        self._place = number

    async def live(self) -> None:
        """Announce again and again."""
        while self._state == UP:
            await self._announce()
            await asyncio.sleep(HEARTBEAT_S)

    async def leave(self) -> None:
        """Announce that it leaves until that is acknowledged."""
        self._state = DRAINING
        for _ in range(MOST_TRIES):
            if await self._announce():
                self.left_at = asyncio.get_running_loop().time()
                return

    async def _announce(self) -> bool:
        self._sequence += 1
        word = Announcement(
            "desk",
            f"10.9.{self._number // 250}.{self._number % 250}:80",
            self._zone,
            3,
            0,
            state=self._state,
            instance=self.name,
        )
        replicas = self._world.replicas
        replica = replicas[self._place % len(replicas)]
        if not self._world.is_frozen(replica.address):
            taking = replica.registrar.announce(word, self._sequence)
            try:
                await asyncio.wait_for(taking, ACKNOWLEDGE_S)
                return True
            except (NotConfirmedError, TimeoutError):
                pass
        self._place += 1
        await asyncio.sleep(0.05)
        return False


class World:
    """Hold replicas, entries and endpoints in zones."""

    def __init__(
        self, zones: int, entries: int, replicas: int, endpoints: int
    ) -> None:
        names = [f"zone-{number}" for number in range(zones)]
        self._cycle = itertools.cycle(names)
        homes = {}
        self.members = []
        for number in range(replicas):
            address = f"10.1.0.{number + 1}:7000"
            homes[address] = names[number % zones]
            self.members.append(
                Member(
                    identity=address,
                    name=address,
                    grpc_address=address,
                    http_address=f"http-{address}",
                    availability_zone=homes[address],
                )
            )
        self.seeds = [one.grpc_address for one in self.members[:3]]
        for number in range(entries):
            homes[f"entry-{number}"] = names[number % zones]
        self.network = Network(homes)
        self._frozen: set[str] = set()
        self.replicas = [Replica(one.name, self) for one in self.members]
        self.entries = [
            Entry(f"entry-{number}", names[number % zones], self)
            for number in range(entries)
        ]
        self.endpoints = [
            Endpoint(number, names[number % zones], self)
            for number in range(endpoints)
        ]
        self._tasks: list[asyncio.Task[None]] = []
        # The newest change that was accepted.
        self.index = 1

    async def start(self, settle_s: float) -> None:
        """Start everything and wait."""
        for replica in self.replicas:
            replica.start()
        for entry in self.entries:
            entry.watcher.start()
        for endpoint in self.endpoints:
            task = asyncio.ensure_future(endpoint.live())
            self._tasks.append(task)
        await asyncio.sleep(settle_s)

    def stop(self) -> None:
        """End everything."""
        for replica in self.replicas:
            replica.stop()
        for entry in self.entries:
            entry.watcher.stop()
        for task in self._tasks:
            task.cancel()

    def freeze(self, address: str) -> None:
        """Let a replica stand still."""
        self._frozen.add(address)
        self.network.stop(address)

    def heal(self) -> None:
        """End all disturbances."""
        self._frozen.clear()
        self.network.heal()

    def is_frozen(self, address: str) -> bool:
        """Tell whether a replica stands still."""
        return address in self._frozen

    def reaches_majority(self, address: str) -> bool:
        """Tell whether a replica reaches more than half of all."""
        if address in self._frozen:
            return False
        reached = 0
        for member in self.members:
            other = member.name
            if other == address or self.network.is_open(address, other):
                reached += 1
        return 2 * reached > len(self.members)

    async def change(self) -> int:
        """Accept a change at the replicas that reach a majority."""
        self.index += 1
        await asyncio.sleep(COMMIT_S)
        for replica in self.replicas:
            if self.reaches_majority(replica.address):
                replica.commit(self.index)
        return self.index

    def check_left(self, endpoint: Endpoint, entries: list[Entry]) -> None:
        """Find no entry in touch that would still send to an endpoint."""
        for entry in entries:
            assert entry.states().get(endpoint.name) != UP, entry.name


async def _every(period_s: float, function: Any) -> None:
    while True:
        function()
        await asyncio.sleep(period_s)


@pytest.fixture(autouse=True)
def virtual_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """Give the daemons the loop's time."""

    def now() -> float:
        return asyncio.get_event_loop().time()

    for module in (peers_module, registrars_module, watchers_module):
        monkeypatch.setattr(module, "boot_time", now)


def play(world_of: Any, story: Any) -> None:
    """Run a story in a world on virtual time."""

    async def run() -> None:
        world = world_of()
        try:
            await story(world)
        finally:
            world.stop()
        await asyncio.sleep(0)

    run_virtual(run())


def small() -> World:
    """Build five replicas, fifteen entries, ten endpoints in five zones."""
    return World(zones=5, entries=15, replicas=5, endpoints=10)


def test_every_entry_asks_the_replica_of_its_zone_and_knows_all() -> None:
    """Know every endpoint at every entry through one replica each."""

    async def story(world: World) -> None:
        await world.start(4.0)
        expected = {one.name: UP for one in world.endpoints}
        for entry in world.entries:
            assert entry.states() == expected
        for replica in world.replicas:
            zone = next(
                one.availability_zone
                for one in world.members
                if one.name == replica.address
            )
            names = replica.registrar.applied()
            assert len(names) == 3
            for entry in world.entries:
                assert (entry.name in names) == (entry.zone == zone)
            usable = replica.registrar.resolve(zone)
            assert len(usable) == 3
            assert len(replica.registrar.resolve(None)) == 15
            assert replica.registrar.entries == 15

    play(small, story)


@pytest.mark.parametrize("place", range(5))
def test_leaving_is_known_everywhere_when_it_is_acknowledged(
    place: int,
) -> None:
    """Acknowledge a leaving at one replica once entries of all know it.

    An endpoint says at one replica that it leaves. Entries ask others; one
    that had not heard would send it calls after it has exited.
    """

    async def story(world: World) -> None:
        await world.start(4.0)
        endpoint = world.endpoints[place]
        await endpoint.leave()
        assert endpoint.left_at is not None
        world.check_left(endpoint, world.entries)

    play(small, story)


@pytest.mark.parametrize("place", range(5))
def test_leaving_while_a_replica_is_frozen(place: int) -> None:
    """Wait for the entries of a frozen replica until they ask another.

    A replica freezes, and right after that an endpoint leaves elsewhere.
    The frozen one's entries still rely on it. Were the leaving acknowledged
    without them, they would send calls to a process that has exited.
    """

    async def story(world: World) -> None:
        await world.start(4.0)
        frozen = world.replicas[place]
        world.freeze(frozen.address)
        endpoint = world.endpoints[(place + 1) % 5]
        await endpoint.leave()
        assert endpoint.left_at is not None
        world.check_left(endpoint, world.entries)
        await asyncio.sleep(2.0)
        # Thawed, it has old news; nobody goes back to it before it knows.
        world.heal()
        other = world.endpoints[5 + (place + 1) % 5]
        await other.leave()
        for _ in range(40):
            await asyncio.sleep(0.1)
            world.check_left(endpoint, world.entries)
            if other.left_at is not None:
                world.check_left(other, world.entries)

    play(small, story)


def test_entry_that_does_not_get_its_answer_holds_no_leaving_up() -> None:
    """Acknowledge a leaving at the first replica that is asked.

    An entry's link is full of long bodies, so that neither its replica's
    answer nor its next question gets through in time. With hundreds of
    entries there is always such a one; were each waited for as long as the
    endpoint waits, none of its tries would ever be acknowledged.
    """

    async def story(world: World) -> None:
        await world.start(4.0)
        slow = world.entries[0]
        for replica in world.replicas:
            world.network.cut(slow.name, replica.address)
        word = Announcement(
            "desk", "10.9.0.1:80", "zone-1", 3, 0, DRAINING, "i-1"
        )
        await world.replicas[1].registrar.announce(word, 10_000)
        world.check_left(world.endpoints[1], world.entries[1:])

    play(small, story)


def test_replica_cut_from_one_other_does_not_acknowledge_alone() -> None:
    """Leave it to others to acknowledge what one replica cannot tell.

    Two replicas do not reach each other; both reach the rest and their
    entries. Neither may disregard the other: it still has entries.
    """

    async def story(world: World) -> None:
        await world.start(4.0)
        first, second = world.replicas[0], world.replicas[1]
        world.network.cut(first.address, second.address)
        await asyncio.sleep(5.0)
        word = Announcement(
            "desk", "10.9.0.0:80", "zone-0", 3, 0, DRAINING, "i-0"
        )
        with pytest.raises(NotConfirmedError):
            await first.registrar.announce(word, 10_000)
        endpoint = world.endpoints[0]
        await endpoint.leave()
        assert endpoint.left_at is not None
        world.check_left(endpoint, world.entries)

    play(small, story)


def test_entries_leave_a_replica_that_is_cut_off() -> None:
    """Ask another replica where the own one hears no majority.

    A replica is cut off from the others and reaches its entries. A change
    is accepted meanwhile that it does not hear of.
    """

    async def story(world: World) -> None:
        await world.start(4.0)
        alone = world.replicas[2]
        for other in world.replicas:
            if other is not alone:
                world.network.cut(alone.address, other.address)
        await asyncio.sleep(TOUCH_S - BOUND_S)
        index = await world.change()
        await asyncio.sleep(BOUND_S)
        assert all(entry.index >= index for entry in world.entries)

    play(small, story)


def test_entries_return_when_their_replica_is_back() -> None:
    """Ask the zone's replica again soon after its freeze."""

    async def story(world: World) -> None:
        await world.start(4.0)
        replica = world.replicas[3]
        before = set(replica.registrar.applied())
        world.freeze(replica.address)
        await asyncio.sleep(4.0)
        world.heal()
        await asyncio.sleep(4.0)
        assert set(replica.registrar.applied()) == before

    play(small, story)


def test_callers_get_the_entries_of_a_zone_from_any_replica() -> None:
    """Name all entries of a zone whose replica is gone."""

    async def story(world: World) -> None:
        await world.start(4.0)
        world.freeze(world.replicas[1].address)
        await asyncio.sleep(4.0)
        for replica in world.replicas:
            if replica is not world.replicas[1]:
                assert len(replica.registrar.resolve("zone-1")) == 3

    play(small, story)


@pytest.mark.parametrize("seed", [*range(12), 365])
def test_promises_hold_under_random_faults(seed: int) -> None:
    """Keep the promises to callers while replicas freeze and are cut off.

    Faults come one after the other, endpoints leave and the configuration
    changes at any moment. What is acknowledged binds every entry within two
    seconds, but for those disturbed within the last three.
    """
    random = Random(seed)

    async def story(world: World) -> None:
        await world.start(4.0)
        loop = asyncio.get_running_loop()
        disturbed_at = -TOUCH_S
        changes: list[tuple[float, int]] = []
        leaving: list[Endpoint] = []
        stay = list(world.endpoints)
        tasks = []
        for _ in range(160):
            await asyncio.sleep(0.1)
            now = loop.time()
            if random.random() < 0.03:
                disturbed_at = now
                _disturb(world, random)
            if random.random() < 0.05 and len(stay) > 3:
                endpoint = stay.pop(random.randrange(len(stay)))
                leaving.append(endpoint)
                tasks.append(asyncio.ensure_future(endpoint.leave()))
            if random.random() < 0.1:
                changes.append((now, await world.change()))
            for entry in world.entries:
                assert not entry.went_back
            if now - disturbed_at < TOUCH_S:
                continue
            for accepted_at, index in changes:
                if now - accepted_at > BOUND_S:
                    assert min(one.index for one in world.entries) >= index
            for endpoint in leaving:
                left_at = endpoint.left_at
                if left_at is not None and now - left_at > BOUND_S:
                    world.check_left(endpoint, world.entries)
        world.heal()
        await asyncio.gather(*tasks)
        await asyncio.sleep(6.0)
        expected = {one.name: UP for one in stay}
        for entry in world.entries:
            known = entry.states()
            ups = {one: UP for one, state in known.items() if state == UP}
            assert ups == expected

    play(small, story)


def _disturb(world: World, random: Random) -> None:
    world.heal()
    kind = random.choice(["freeze", "cut off", "pair", "none"])
    one, other = random.sample(world.replicas, 2)
    if kind == "freeze":
        world.freeze(one.address)
    if kind == "pair":
        world.network.cut(one.address, other.address)
    if kind == "cut off":
        for third in world.replicas:
            if third is not one:
                world.network.cut(one.address, third.address)


def test_entry_starts_while_the_replica_of_its_zone_is_gone() -> None:
    """Learn all from another replica where the nearest does not answer."""

    async def story(world: World) -> None:
        world.freeze(world.replicas[1].address)
        await world.start(6.0)
        expected = {one.name: UP for one in world.endpoints}
        for entry in world.entries:
            assert entry.states() == expected

    play(small, story)


def test_endpoints_are_sent_to_no_replica_that_is_silent() -> None:
    """Name a replica of the endpoint's zone only while it is heard.

    A replaced replica is listed for some seconds more. Sent there with
    each heartbeat, an endpoint that leaves loses a second every time
    before it tells another replica.
    """

    async def story(world: World) -> None:
        await world.start(6.0)
        asked, other = world.replicas[:2]
        zone = world.members[1].availability_zone
        nearest = asked.registrar.nearest
        assert nearest(zone) == world.members[1].http_address
        world.freeze(other.address)
        await asyncio.sleep(GONE_AFTER_S)
        assert nearest(zone) is None
        own = world.members[0]
        assert nearest(own.availability_zone) == own.http_address

    play(small, story)


def test_hundreds_of_entries_are_told_little() -> None:
    """Tell 312 entries of 270 endpoints with few messages and bytes.

    Everything starts at once and runs for thirty seconds. With a question
    of each entry at each replica this took some 41 MB between zones.
    """

    def large() -> World:
        return World(zones=5, entries=312, replicas=5, endpoints=270)

    async def story(world: World) -> None:
        await world.start(30.0)
        expected = {one.name: UP for one in world.endpoints}
        for entry in world.entries:
            assert entry.states() == expected
        assert world.network.far_bytes < 4e6
        # An exchange each 0.8 s for each entry, and what the start takes.
        assert world.network.messages < 2 * 312 * (30 / 0.8 + 40)
        endpoint = world.endpoints[7]
        before = world.network.messages
        await endpoint.leave()
        assert endpoint.left_at is not None
        world.check_left(endpoint, world.entries)
        assert world.network.messages - before < 312 * 6

    play(large, story)
