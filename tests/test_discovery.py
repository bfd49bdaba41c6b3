"""Test discovery through one control replica per entry, on virtual time.

The daemons' own code runs here: watchers of entries, registrars and the
long polls between replicas. Consensus is replaced by a stub.
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
from nutmegchute_core.follow_protocol import FollowReply
from nutmegchute_core.members import Announcement
from nutmegchute_core.members import DRAINING
from nutmegchute_core.members import UP
from nutmegchute_core.memberships import Member
from nutmegchute_core.peers import GONE_AFTER_S
from nutmegchute_core.quarantines import Quarantine
from nutmegchute_core.replica_choosers import ReplicaChooser
from nutmegchute_core.sessions import WatchReply
from nutmegchute_core.sessions import WatchRequest
from nutmegchute_core.trees import Branch
from nutmegchute_daemon import peers as peers_module
from nutmegchute_daemon import registrars as registrars_module
from nutmegchute_daemon import watchers as watchers_module
from nutmegchute_daemon.links import Links
from nutmegchute_daemon.methods import FETCH
from nutmegchute_daemon.peers import PeerExchange
from nutmegchute_daemon.registrars import EXPIRE_S
from nutmegchute_daemon.registrars import NotConfirmedError
from nutmegchute_daemon.registrars import Registrar
from nutmegchute_daemon.transfers import TreeOffers
from nutmegchute_daemon.watchers import Watcher
from virtual_time import Network
from virtual_time import run_virtual
from virtual_time import VirtualLinks

HEARTBEAT_S = 1.5
# Within this time every connected entry applies an acknowledged drain and an
# accepted change.
BOUND_S = 2.0
# Within this time entries are connected again after a fault.
RECONNECT_S = 3.0
CONTACT_S = 1.0
CONTACT_TICK_S = 0.1
COMMIT_S = 0.005
ACKNOWLEDGE_S = 1.0
MAX_TRIES = 60


class Tree:
    """Stub the replicated tree: an index and one document."""

    def __init__(self) -> None:
        self.index = 1
        self.document: Any = None
        self.documents: dict[str, Any] = {}

    def steps_since(self, index: int) -> None:
        """Return None: the stub keeps no steps."""

    def changed_since(self, index: int) -> dict[str, Branch]:
        """Return the document's branch, if there is a document."""
        if self.document is None:
            return {}
        return {"desk": Branch(self.index, self.document, self.index)}


class Replica:
    """Run the registrar and peer exchange of one control replica."""

    def __init__(self, address: str, cluster: "Cluster") -> None:
        self.address = address
        self.tree = Tree()
        self.quarantine = Quarantine()
        self.evacuations = Evacuations()
        self._cluster = cluster
        self._contact_at = 0.0
        offers = TreeOffers()
        self.registrar = Registrar(
            address, self.in_contact, lambda: cast(Any, self._node()), offers
        )
        links = cast(Links, VirtualLinks(address, cluster.network))
        links.serve(FETCH, offers.handle_part)
        self.exchange = PeerExchange(links, self.registrar)
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the periodic tasks."""
        self.exchange.start()
        for period_s, function in (
            (EXPIRE_S, self._expire),
            (CONTACT_TICK_S, self._check_contact),
        ):
            self._tasks.append(
                asyncio.ensure_future(_repeat(period_s, function))
            )

    def stop(self) -> None:
        """Cancel all tasks."""
        self.exchange.stop()
        for task in self._tasks:
            task.cancel()

    def in_contact(self) -> bool:
        """Return whether a majority was reached within CONTACT_S."""
        now = asyncio.get_running_loop().time()
        return now - self._contact_at <= CONTACT_S

    def commit(self, index: int) -> None:
        """Apply a committed change."""
        self.tree.index = max(self.tree.index, index)
        self.tree.document = self._cluster.document
        self.registrar.notify_long_polls()

    def _node(self) -> SimpleNamespace:
        members = self._cluster.members
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
        self.exchange.update_peers()

    def _check_contact(self) -> None:
        if self._cluster.reaches_majority(self.address):
            self._contact_at = asyncio.get_running_loop().time()
            # The leader's next heartbeat brings changes missed in a partition.
            if self.tree.index < self._cluster.index:
                self.commit(self._cluster.index)


class Entry:
    """Run the watcher and catalog of one entry."""

    def __init__(self, name: str, zone: str, cluster: "Cluster") -> None:
        self.name = name
        self.zone = zone
        self.catalog = Catalog()
        self.index = 0
        self.went_back = False
        self.documents: dict[str, Any] = {}
        self._members = -1
        links = cast(Links, VirtualLinks(name, cluster.network))
        chooser = ReplicaChooser(name, zone, cluster.seeds)
        self.watcher = Watcher(chooser, links, self)

    def build_request(self, hold_s: float) -> WatchRequest:
        """Build the watch request."""
        info = EntryInfo(self.name, f"{self.name}:80", self.zone)
        watermarks = self.catalog.watermarks
        return WatchRequest(
            info, watermarks, self.index, self._members, hold_s
        )

    def handle_reply(self, replica: str, reply: WatchReply) -> None:
        """Apply a reply."""
        now = asyncio.get_running_loop().time()
        if reply.replicas is not None:
            self.watcher.update(reply.replicas)
            self._members = reply.members
        if reply.tree is not None:
            self.handle_tree(replica, reply.tree)
        self.catalog.refresh(reply.unreachable, now)
        for source, delta in reply.deltas.items():
            self.catalog.apply(source, delta, now)

    def handle_tree(self, replica: str, tree: FollowReply) -> None:
        """Apply a tree."""
        self.went_back |= tree.index < self.index
        self.index = max(self.index, tree.index)
        self.documents = tree.documents or {}

    def states(self) -> dict[str, str]:
        """Map the known endpoints to their state."""
        return {one.instance: one.state for one in self.catalog.live()}


class Endpoint:
    """Announce to one replica, and to the next if that fails."""

    def __init__(self, number: int, zone: str, cluster: "Cluster") -> None:
        self.name = f"i-{number}"
        self.drained_at: float | None = None
        self._number = number
        self._zone = zone
        self._cluster = cluster
        self._state = UP
        self._sequence = 0
        self._replica_number = number

    async def send_heartbeats(self) -> None:
        """Send heartbeats until the endpoint drains."""
        while self._state == UP:
            await self._announce()
            await asyncio.sleep(HEARTBEAT_S)

    async def drain(self) -> None:
        """Announce the drain until it is acknowledged."""
        self._state = DRAINING
        for _ in range(MAX_TRIES):
            if await self._announce():
                self.drained_at = asyncio.get_running_loop().time()
                return

    async def _announce(self) -> bool:
        self._sequence += 1
        announcement = Announcement(
            "desk",
            f"10.9.{self._number // 250}.{self._number % 250}:80",
            self._zone,
            3,
            0,
            state=self._state,
            instance=self.name,
        )
        replicas = self._cluster.replicas
        replica = replicas[self._replica_number % len(replicas)]
        if not self._cluster.is_frozen(replica.address):
            acknowledging = replica.registrar.announce(
                announcement, self._sequence
            )
            try:
                await asyncio.wait_for(acknowledging, ACKNOWLEDGE_S)
                return True
            except (NotConfirmedError, TimeoutError):
                pass
        self._replica_number += 1
        await asyncio.sleep(0.05)
        return False


class Cluster:
    """Hold replicas, entries and endpoints in zones."""

    def __init__(
        self, zones: int, entries: int, replicas: int, endpoints: int
    ) -> None:
        names = [f"zone-{number}" for number in range(zones)]
        self._cycle = itertools.cycle(names)
        zone_by_host = {}
        self.members = []
        for number in range(replicas):
            address = f"10.1.0.{number + 1}:7000"
            zone_by_host[address] = names[number % zones]
            self.members.append(
                Member(
                    identity=address,
                    name=address,
                    grpc_address=address,
                    http_address=f"http-{address}",
                    availability_zone=zone_by_host[address],
                )
            )
        self.seeds = [one.grpc_address for one in self.members[:3]]
        for number in range(entries):
            zone_by_host[f"entry-{number}"] = names[number % zones]
        self.network = Network(zone_by_host)
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
        # Index of the newest accepted change.
        self.index = 1
        self.document: Any = None

    async def start(self, settle_s: float) -> None:
        """Start everything and wait until it has settled."""
        for replica in self.replicas:
            replica.start()
        for entry in self.entries:
            entry.watcher.start()
        for endpoint in self.endpoints:
            task = asyncio.ensure_future(endpoint.send_heartbeats())
            self._tasks.append(task)
        await asyncio.sleep(settle_s)

    def stop(self) -> None:
        """Stop everything."""
        for replica in self.replicas:
            replica.stop()
        for entry in self.entries:
            entry.watcher.stop()
        for task in self._tasks:
            task.cancel()

    @property
    def now(self) -> float:
        """Return the virtual time in seconds."""
        return asyncio.get_running_loop().time()

    async def wait(self, for_s: float) -> None:
        """Let virtual time pass."""
        await asyncio.sleep(for_s)

    def freeze(self, address: str) -> None:
        """Freeze a replica."""
        self._frozen.add(address)
        self.network.stop(address)

    def heal(self) -> None:
        """End all faults."""
        self._frozen.clear()
        self.network.heal()

    def is_frozen(self, address: str) -> bool:
        """Return whether a replica is frozen."""
        return address in self._frozen

    def reaches_majority(self, address: str) -> bool:
        """Return whether a replica reaches a majority, itself included."""
        if address in self._frozen:
            return False
        reached = 0
        for member in self.members:
            other = member.name
            if other == address or self.network.is_open(address, other):
                reached += 1
        return 2 * reached > len(self.members)

    async def change(self, document: Any = None) -> int:
        """Commit a document at the replicas that reach a majority."""
        self.index += 1
        self.document = document
        await asyncio.sleep(COMMIT_S)
        for replica in self.replicas:
            if self.reaches_majority(replica.address):
                replica.commit(self.index)
        return self.index

    def check_drained(self, endpoint: Endpoint, entries: list[Entry]) -> None:
        """Assert that no given entry still has an endpoint as up."""
        for entry in entries:
            assert entry.states().get(endpoint.name) != UP, entry.name


async def _repeat(period_s: float, function: Any) -> None:
    while True:
        function()
        await asyncio.sleep(period_s)


@pytest.fixture(autouse=True)
def virtual_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """Replace the daemons' clock by the loop's time."""

    def now() -> float:
        return asyncio.get_event_loop().time()

    for module in (peers_module, registrars_module, watchers_module):
        monkeypatch.setattr(module, "boot_time", now)


def run_scenario(build: Any, scenario: Any) -> None:
    """Run a scenario in a new cluster on virtual time."""

    async def run() -> None:
        cluster = build()
        try:
            await scenario(cluster)
        finally:
            cluster.stop()
        await asyncio.sleep(0)

    run_virtual(run())


def build_small_cluster() -> Cluster:
    """Build five replicas, fifteen entries, ten endpoints in five zones."""
    return Cluster(zones=5, entries=15, replicas=5, endpoints=10)


def test_entries_get_all_endpoints_from_the_replica_of_their_zone() -> None:
    """Deliver every endpoint to every entry through one replica each."""

    async def scenario(cluster: Cluster) -> None:
        await cluster.start(4.0)
        expected = {one.name: UP for one in cluster.endpoints}
        for entry in cluster.entries:
            assert entry.states() == expected
        for replica in cluster.replicas:
            zone = next(
                one.availability_zone
                for one in cluster.members
                if one.name == replica.address
            )
            names = replica.registrar.applied()
            assert len(names) == 3
            for entry in cluster.entries:
                assert (entry.name in names) == (entry.zone == zone)
            usable = replica.registrar.resolve(zone)
            assert len(usable) == 3
            assert len(replica.registrar.resolve(None)) == 15
            assert replica.registrar.entry_count == 15

    run_scenario(build_small_cluster, scenario)


@pytest.mark.parametrize("place", range(5))
def test_acknowledged_drain_is_known_everywhere(
    place: int,
) -> None:
    """Acknowledge a drain once the entries of all replicas have it.

    An endpoint announces its drain to one replica while most entries watch
    others. An entry without it would send calls after the endpoint exits.
    """

    async def scenario(cluster: Cluster) -> None:
        await cluster.start(4.0)
        endpoint = cluster.endpoints[place]
        await endpoint.drain()
        assert endpoint.drained_at is not None
        cluster.check_drained(endpoint, cluster.entries)

    run_scenario(build_small_cluster, scenario)


@pytest.mark.parametrize("place", range(5))
def test_drain_while_a_replica_is_frozen(place: int) -> None:
    """Wait for the entries of a frozen replica until they watch another.

    A replica freezes, and right after that an endpoint drains elsewhere. The
    entries of the frozen replica still rely on it. If the drain were
    acknowledged without them, they would send calls to an exited process.
    """

    async def scenario(cluster: Cluster) -> None:
        await cluster.start(4.0)
        frozen = cluster.replicas[place]
        cluster.freeze(frozen.address)
        endpoint = cluster.endpoints[(place + 1) % 5]
        await endpoint.drain()
        assert endpoint.drained_at is not None
        cluster.check_drained(endpoint, cluster.entries)
        await asyncio.sleep(2.0)
        # The thawed replica is stale; no entry may return to it before it
        # has caught up.
        cluster.heal()
        other = cluster.endpoints[5 + (place + 1) % 5]
        await other.drain()
        for _ in range(40):
            await asyncio.sleep(0.1)
            cluster.check_drained(endpoint, cluster.entries)
            if other.drained_at is not None:
                cluster.check_drained(other, cluster.entries)

    run_scenario(build_small_cluster, scenario)


def test_entry_that_misses_its_reply_delays_no_drain() -> None:
    """Acknowledge a drain at the first replica despite a saturated link.

    An entry's link is full of long bodies, so that neither its replica's
    reply nor its next watch arrives in time. Among hundreds of entries there
    is always such a one; if it were waited for as long as the endpoint
    waits, no drain would ever be acknowledged.
    """

    async def scenario(cluster: Cluster) -> None:
        await cluster.start(4.0)
        slow = cluster.entries[0]
        for replica in cluster.replicas:
            cluster.network.cut(slow.name, replica.address)
        announcement = Announcement(
            "desk", "10.9.0.1:80", "zone-1", 3, 0, DRAINING, "i-1"
        )
        await cluster.replicas[1].registrar.announce(announcement, 10_000)
        cluster.check_drained(cluster.endpoints[1], cluster.entries[1:])

    run_scenario(build_small_cluster, scenario)


def test_replica_cut_off_from_one_peer_does_not_acknowledge_alone() -> None:
    """Acknowledge a drain only at replicas that reach all others.

    Two replicas do not reach each other; both reach the rest and their
    entries. Neither may ignore the other, which still has entries.
    """

    async def scenario(cluster: Cluster) -> None:
        await cluster.start(4.0)
        first, second = cluster.replicas[0], cluster.replicas[1]
        cluster.network.cut(first.address, second.address)
        await asyncio.sleep(5.0)
        announcement = Announcement(
            "desk", "10.9.0.0:80", "zone-0", 3, 0, DRAINING, "i-0"
        )
        with pytest.raises(NotConfirmedError):
            await first.registrar.announce(announcement, 10_000)
        endpoint = cluster.endpoints[0]
        await endpoint.drain()
        assert endpoint.drained_at is not None
        cluster.check_drained(endpoint, cluster.entries)

    run_scenario(build_small_cluster, scenario)


def test_entries_leave_a_replica_that_is_cut_off() -> None:
    """Watch another replica if the active one lost its majority.

    A replica is partitioned from the others but reaches its entries, and
    misses a change that is accepted meanwhile.
    """

    async def scenario(cluster: Cluster) -> None:
        await cluster.start(4.0)
        isolated = cluster.replicas[2]
        for other in cluster.replicas:
            if other is not isolated:
                cluster.network.cut(isolated.address, other.address)
        await asyncio.sleep(RECONNECT_S - BOUND_S)
        index = await cluster.change()
        await asyncio.sleep(BOUND_S)
        assert all(entry.index >= index for entry in cluster.entries)

    run_scenario(build_small_cluster, scenario)


def test_entries_return_when_their_replica_is_back() -> None:
    """Watch the zone's replica again soon after its freeze."""

    async def scenario(cluster: Cluster) -> None:
        await cluster.start(4.0)
        replica = cluster.replicas[3]
        before = set(replica.registrar.applied())
        cluster.freeze(replica.address)
        await asyncio.sleep(4.0)
        cluster.heal()
        await asyncio.sleep(4.0)
        assert set(replica.registrar.applied()) == before

    run_scenario(build_small_cluster, scenario)


def test_callers_get_the_entries_of_a_zone_from_any_replica() -> None:
    """Return all entries of a zone whose replica has failed."""

    async def scenario(cluster: Cluster) -> None:
        await cluster.start(4.0)
        cluster.freeze(cluster.replicas[1].address)
        await asyncio.sleep(4.0)
        for replica in cluster.replicas:
            if replica is not cluster.replicas[1]:
                assert len(replica.registrar.resolve("zone-1")) == 3

    run_scenario(build_small_cluster, scenario)


@pytest.mark.parametrize("seed", [*range(12), 365])
def test_guarantees_hold_under_random_faults(seed: int) -> None:
    """Keep the guarantees while replicas freeze or are partitioned.

    One fault follows another while endpoints drain and the configuration
    changes. Acknowledged drains and accepted changes bind every entry within
    two seconds, except in the three seconds after a fault.
    """
    random = Random(seed)

    async def scenario(cluster: Cluster) -> None:
        await cluster.start(4.0)
        loop = asyncio.get_running_loop()
        fault_at = -RECONNECT_S
        changes: list[tuple[float, int]] = []
        draining: list[Endpoint] = []
        remaining = list(cluster.endpoints)
        tasks = []
        for _ in range(160):
            await asyncio.sleep(0.1)
            now = loop.time()
            if random.random() < 0.03:
                fault_at = now
                _inject_fault(cluster, random)
            if random.random() < 0.05 and len(remaining) > 3:
                endpoint = remaining.pop(random.randrange(len(remaining)))
                draining.append(endpoint)
                tasks.append(asyncio.ensure_future(endpoint.drain()))
            if random.random() < 0.1:
                changes.append((now, await cluster.change()))
            for entry in cluster.entries:
                assert not entry.went_back
            if now - fault_at < RECONNECT_S:
                continue
            for accepted_at, index in changes:
                if now - accepted_at > BOUND_S:
                    assert min(one.index for one in cluster.entries) >= index
            for endpoint in draining:
                drained_at = endpoint.drained_at
                if drained_at is not None and now - drained_at > BOUND_S:
                    cluster.check_drained(endpoint, cluster.entries)
        cluster.heal()
        await asyncio.gather(*tasks)
        await asyncio.sleep(6.0)
        expected = {one.name: UP for one in remaining}
        for entry in cluster.entries:
            known = entry.states()
            ups = {one: UP for one, state in known.items() if state == UP}
            assert ups == expected

    run_scenario(build_small_cluster, scenario)


def _inject_fault(cluster: Cluster, random: Random) -> None:
    cluster.heal()
    kind = random.choice(["freeze", "cut off", "pair", "none"])
    one, other = random.sample(cluster.replicas, 2)
    if kind == "freeze":
        cluster.freeze(one.address)
    if kind == "pair":
        cluster.network.cut(one.address, other.address)
    if kind == "cut off":
        for third in cluster.replicas:
            if third is not one:
                cluster.network.cut(one.address, third.address)


def test_entry_starts_while_the_replica_of_its_zone_is_gone() -> None:
    """Get all endpoints from another replica if the nearest is down."""

    async def scenario(cluster: Cluster) -> None:
        cluster.freeze(cluster.replicas[1].address)
        await cluster.start(6.0)
        expected = {one.name: UP for one in cluster.endpoints}
        for entry in cluster.entries:
            assert entry.states() == expected

    run_scenario(build_small_cluster, scenario)


def test_endpoints_are_not_referred_to_a_silent_replica() -> None:
    """Refer endpoints to a replica of their zone only while it is reachable.

    A replaced replica is listed for some seconds more. Referred there by
    every reply, a draining endpoint would lose a second each time before it
    announces to another replica.
    """

    async def scenario(cluster: Cluster) -> None:
        await cluster.start(6.0)
        registering, other = cluster.replicas[:2]
        zone = cluster.members[1].availability_zone
        nearest = registering.registrar.nearest
        assert nearest(zone) == cluster.members[1].http_address
        cluster.freeze(other.address)
        await asyncio.sleep(GONE_AFTER_S)
        assert nearest(zone) is None
        own = cluster.members[0]
        assert nearest(own.availability_zone) == own.http_address

    run_scenario(build_small_cluster, scenario)


def test_hundreds_of_entries_cause_little_traffic() -> None:
    """Serve 270 endpoints to 312 entries with few messages and bytes.

    Everything starts at once and runs for thirty seconds. If each entry
    watched every replica, this would send about 41 MB between zones.
    """

    def build_large_cluster() -> Cluster:
        return Cluster(zones=5, entries=312, replicas=5, endpoints=270)

    async def scenario(cluster: Cluster) -> None:
        await cluster.start(30.0)
        expected = {one.name: UP for one in cluster.endpoints}
        for entry in cluster.entries:
            assert entry.states() == expected
        assert cluster.network.cross_zone_bytes < 4e6
        # One exchange per entry every 0.8 s, plus those of the start.
        assert cluster.network.messages < 2 * 312 * (30 / 0.8 + 40)
        endpoint = cluster.endpoints[7]
        before = cluster.network.messages
        await endpoint.drain()
        assert endpoint.drained_at is not None
        cluster.check_drained(endpoint, cluster.entries)
        assert cluster.network.messages - before < 312 * 6

    run_scenario(build_large_cluster, scenario)
