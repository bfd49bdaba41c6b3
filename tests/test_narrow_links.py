"""Send long configurations over narrow links, on virtual time."""

import asyncio
from random import Random
from types import SimpleNamespace
from typing import Any
from typing import cast

import msgspec
import pytest
import test_discovery
from nutmegchute_core.evacuations import Evacuations
from nutmegchute_core.follow_protocol import FollowReply
from nutmegchute_core.members import UP
from nutmegchute_core.nodes import Node
from nutmegchute_core.quarantines import Quarantine
from nutmegchute_core.replicas import LEADER
from nutmegchute_core.transfers import Offer
from nutmegchute_daemon import followers
from nutmegchute_daemon.follow_servers import FollowServer
from nutmegchute_daemon.followers import Follower
from nutmegchute_daemon.links import Links
from nutmegchute_daemon.methods import FETCH
from nutmegchute_daemon.methods import FOLLOW
from nutmegchute_daemon.periods import repeat
from nutmegchute_daemon.settings import Settings
from nutmegchute_daemon.transfers import TreeFetcher
from nutmegchute_daemon.transfers import TreeOffers
from test_discovery import BOUND_S
from test_discovery import Cluster
from test_discovery import run_scenario
from test_discovery import Tree
from virtual_time import Network
from virtual_time import run_virtual
from virtual_time import VirtualLinks

# The clock of the daemons is virtual here as well.
virtual_clock = test_discovery.virtual_clock

ENCODER = msgspec.msgpack.Encoder()
# A link of 0.8 Mbit/s.
BYTES_PER_S = 100_000.0
DOCUMENT_BYTES = 300_000
# What the link needs for a document, and half as much again for the rest.
TRANSFER_S = 1.5 * DOCUMENT_BYTES / BYTES_PER_S
SETTLE_S = 4.0
# Shorter than a transfer.
CHANGE_PERIOD_S = 1.0
CHANGES = 12


def build_document(seed: int, size: int = DOCUMENT_BYTES) -> list[bytes]:
    """Build a document that cannot be compressed."""
    return [Random(seed).randbytes(size)]


def build_routes(routes: int) -> list[dict[str, Any]]:
    """Build a document of routes, which can be compressed."""
    names = Random(1)
    found = []
    for _ in range(routes):
        name = names.randbytes(8).hex()
        found.append(
            {
                "name": name,
                "host": f"{name[:6]}.example",
                "path": f"/{name[6:]}/",
                "service": "desk",
                "idempotent": True,
                "timeout_ms": 2000,
                "target_ms": 300,
                "priority": "lookup",
            }
        )
    return found


def build_cluster() -> Cluster:
    """Build three replicas and six entries on narrow links."""
    cluster = Cluster(zones=3, entries=6, replicas=3, endpoints=6)
    for entry in cluster.entries:
        cluster.network.limit(entry.name, BYTES_PER_S)
    return cluster


def test_long_configuration_arrives_over_narrow_links() -> None:
    """Guard against replies that are dropped unfinished, again and again."""

    async def scenario(cluster: Cluster) -> None:
        await cluster.start(SETTLE_S)
        index = await cluster.change(build_document(1))
        await cluster.wait(TRANSFER_S)
        for entry in cluster.entries:
            assert entry.index == index
            assert entry.documents == {"desk": build_document(1)}

    run_scenario(build_cluster, scenario)


@pytest.mark.parametrize("entries", [17, 117, 312])
def test_hundreds_of_entries_get_a_long_configuration_in_time(
    entries: int,
) -> None:
    """Guard against traffic that grows faster than the number of entries."""
    document = build_routes(1400)
    link_bytes_per_s = 3e6 / 8

    def build() -> Cluster:
        cluster = Cluster(zones=5, entries=entries, replicas=5, endpoints=50)
        for entry in cluster.entries:
            cluster.network.limit(entry.name, link_bytes_per_s)
        return cluster

    async def scenario(cluster: Cluster) -> None:
        await cluster.start(SETTLE_S)
        carried = cluster.network.carried_bytes
        carried.clear()
        index = await cluster.change(document)
        await cluster.wait(BOUND_S)
        total = 0
        for entry in cluster.entries:
            assert entry.index == index
            total += carried[entry.name]
        busiest = max(carried[one.name] for one in cluster.entries)
        print(f"{entries} entries: {total} bytes, {busiest} at one entry")
        assert busiest < len(ENCODER.encode(document))
        assert total < entries * len(ENCODER.encode(document)) / 2

    run_scenario(build, scenario)


def test_drain_passes_a_transfer() -> None:
    """Guard against drains that wait until a long transfer has ended."""

    async def scenario(cluster: Cluster) -> None:
        await cluster.start(SETTLE_S)
        await cluster.change(build_document(1))
        endpoint = cluster.endpoints[0]
        await cluster.wait(0.2)
        began_at = cluster.now
        await endpoint.drain()
        assert endpoint.drained_at is not None
        assert endpoint.drained_at - began_at < BOUND_S
        assert any(one.index < cluster.index for one in cluster.entries)
        cluster.check_drained(endpoint, cluster.entries)

    run_scenario(build_cluster, scenario)


def test_control_is_not_lost_during_a_transfer() -> None:
    """Guard against a transfer that keeps heartbeats off its link."""

    async def scenario(cluster: Cluster) -> None:
        await cluster.start(SETTLE_S)
        watched = [one.watcher.replicas[0] for one in cluster.entries]
        await cluster.change(build_document(1))
        ends_at = cluster.now + TRANSFER_S
        while cluster.now < ends_at:
            await cluster.wait(0.1)
            connected = 0
            for replica in cluster.replicas:
                connected += len(replica.registrar.applied())
            assert connected == len(cluster.entries)
        assert watched == [one.watcher.replicas[0] for one in cluster.entries]

    run_scenario(build_cluster, scenario)


def test_transfer_goes_on_at_another_replica() -> None:
    """Guard against a transfer that begins anew when its replica is lost."""

    async def scenario(cluster: Cluster) -> None:
        await cluster.start(SETTLE_S)
        await cluster.change(build_document(1))
        entry = cluster.entries[0]
        await cluster.wait(0.6 * TRANSFER_S)
        missing = entry.watcher.missing_bytes
        assert 0 < missing < DOCUMENT_BYTES / 2
        cluster.freeze(entry.watcher.replicas[0])
        while entry.index < cluster.index:
            assert entry.watcher.missing_bytes <= missing
            missing = entry.watcher.missing_bytes
            await cluster.wait(0.05)

    run_scenario(build_cluster, scenario)


def test_entry_of_an_earlier_build_gets_the_tree_in_its_reply() -> None:
    """Guard against offers to entries that cannot fetch them."""

    async def scenario(cluster: Cluster) -> None:
        await cluster.start(SETTLE_S)
        await cluster.change(build_document(1))
        await cluster.wait(BOUND_S)
        request = cluster.entries[0].build_request(0.0)
        assert request.fetching is None
        for replica in cluster.replicas:
            reply = await replica.registrar.handle_watch(request)
            assert reply.offer is None
            assert reply.tree is not None
            assert reply.tree.documents == {"desk": build_document(1)}

    run_scenario(build_cluster, scenario)


def test_starting_entries_get_many_endpoints_over_narrow_links() -> None:
    """Guard against endpoints that a starting entry never gets."""

    def build() -> Cluster:
        cluster = Cluster(zones=3, entries=3, replicas=5, endpoints=1200)
        for entry in cluster.entries:
            cluster.network.limit(entry.name, BYTES_PER_S)
        return cluster

    async def scenario(cluster: Cluster) -> None:
        for entry in cluster.entries:
            cluster.network.stop(entry.name)
        await cluster.start(SETTLE_S)
        cluster.network.heal()
        await cluster.wait(SETTLE_S)
        for entry in cluster.entries:
            assert len(entry.states()) == len(cluster.endpoints)

    run_scenario(build, scenario)


@pytest.mark.parametrize("seed", range(3))
def test_frequent_changes_do_not_starve_a_transfer(seed: int) -> None:
    """Guard against transfers that newer changes replace before their end."""

    async def scenario(cluster: Cluster) -> None:
        await cluster.start(SETTLE_S)
        entry = cluster.entries[0]
        known = entry.index
        for number in range(CHANGES):
            await cluster.change(build_document(seed * CHANGES + number))
            await cluster.wait(CHANGE_PERIOD_S)
        assert entry.index > known
        await cluster.wait(2 * TRANSFER_S)
        for one in cluster.entries:
            assert one.index == cluster.index
            assert not one.went_back
            assert set(one.states().values()) == {UP}

    run_scenario(build_cluster, scenario)


def test_interrupted_transfer_is_discarded_for_a_whole_tree() -> None:
    """Guard against a rest that is reported missing for ever."""

    async def run() -> None:
        network = Network({"entry-0": "surco", "10.1.0.1:1": "surco"})
        network.cut("entry-0", "10.1.0.1:1")
        links = cast(Links, VirtualLinks("entry-0", network))
        fetcher = TreeFetcher(links, lambda replica, tree: None)
        fetcher.handle_offer("10.1.0.1:1", Offer(7, b"digest", 100))
        fetcher.discard()
        assert fetcher.missing_bytes == 100
        await fetcher.wait(SETTLE_S)
        assert fetcher.missing_bytes == 100
        fetcher.discard()
        assert fetcher.missing_bytes == 0

    run_virtual(run())


class Leader:
    """Serve the tree to the entries that follow it; commit at once."""

    def __init__(self, address: str, network: Network) -> None:
        self.tree = Tree()
        self._address = address
        member = SimpleNamespace(
            name="control-1", identity="control-1", grpc_address=address
        )
        machine = SimpleNamespace(
            tree=self.tree,
            quarantine=Quarantine(),
            evacuations=Evacuations(),
            entries={"entry-0"},
        )
        replica = SimpleNamespace(
            state=LEADER,
            term=1,
            is_ready=True,
            identity="control-1",
            leader="control-1",
            membership=SimpleNamespace(find=lambda identity: member),
            begin_read=lambda: 1,
            confirmed_round=1,
        )
        self.node = cast(
            Node, SimpleNamespace(machine=machine, replica=replica)
        )
        offers = TreeOffers()
        self.server = FollowServer(
            asyncio.get_running_loop(), lambda: self.node, lambda: None, offers
        )
        links = VirtualLinks(address, network)
        links.serve(FETCH, offers.handle_part)
        links.serve(FOLLOW, self.server.handle_request)

    async def run(self) -> None:
        """Send the replies that are due."""
        while True:
            self.server.advance(self.node)
            await asyncio.sleep(0.01)

    def change(self, document: Any) -> int:
        """Commit a document; return its index."""
        self.tree.index += 1
        self.tree.document = document
        return self.tree.index


def test_following_entry_keeps_its_lease_during_a_transfer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against entries that stop since a long tree never arrives."""
    trees: list[FollowReply] = []

    async def run() -> None:
        loop = asyncio.get_running_loop()
        monkeypatch.setattr(followers, "_clock", loop.time)
        network = Network({"entry-0": "surco", "10.1.0.1:1": "surco"})
        network.limit("entry-0", BYTES_PER_S / 4)
        leader = Leader("10.1.0.1:1", network)
        links = cast(Links, VirtualLinks("entry-0", network))
        follower = Follower(build_entry_settings(), links, trees.append)
        tasks = [
            asyncio.ensure_future(leader.run()),
            asyncio.ensure_future(repeat(0, follower.follow)),
        ]
        await asyncio.sleep(SETTLE_S)
        index = leader.change(build_document(1))
        ends_at = loop.time() + 4 * TRANSFER_S
        while loop.time() < ends_at:
            assert follower.has_lease
            await asyncio.sleep(0.1)
        assert follower.index == index
        assert leader.server.in_force(index, leader.node)
        assert trees[-1].documents == {"desk": build_document(1)}
        for task in tasks:
            task.cancel()

    run_virtual(run())


def build_entry_settings() -> Settings:
    """Build the settings of an entry with one control replica."""
    return Settings(
        {
            "role": "entry",
            "name": "entry-0",
            "availability_zone": "surco",
            "http_address": "127.0.0.1:1",
            "grpc_address": "127.0.0.1:2",
            "control": [
                {
                    "name": "control-1",
                    "grpc_address": "10.1.0.1:1",
                    "http_address": "10.1.0.1:2",
                }
            ],
            "entries": ["127.0.0.1:2"],
        }
    )
