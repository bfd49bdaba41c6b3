"""Send long configurations over narrow links, on virtual time."""

from random import Random

import pytest
import test_discovery
from nutmegchute_core.members import UP
from test_discovery import BOUND_S
from test_discovery import Cluster
from test_discovery import run_scenario

# The clock of the daemons is virtual here as well.
virtual_clock = test_discovery.virtual_clock

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
