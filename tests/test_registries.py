"""Test the registry of a control replica and the catalog of an entry."""

from nutmegchute_core.catalogs import Catalog
from nutmegchute_core.catalogs import ORPHAN_TTL_S
from nutmegchute_core.catalogs import SOURCE_TTL_S
from nutmegchute_core.histories import TOMBSTONE_TTL_S
from nutmegchute_core.members import Announcement
from nutmegchute_core.members import DRAINING
from nutmegchute_core.members import UP
from nutmegchute_core.registries import CHANGED
from nutmegchute_core.registries import ENDPOINT_LEASE_S
from nutmegchute_core.registries import FOREIGN
from nutmegchute_core.registries import OUTDATED
from nutmegchute_core.registries import Registry
from nutmegchute_core.registries import RENEWED
from nutmegchute_core.registries import RESTORED_TTL_S
from nutmegchute_core.registries import STALE

A = "10.0.0.1:80"
B = "10.0.0.2:80"


def announcement(
    instance: str,
    endpoint: str = A,
    state: str = UP,
    cold_s: float = 0.0,
    incarnation: int = 0,
) -> Announcement:
    """Build an instance's announcement."""
    return Announcement(
        service="prestamos",
        endpoint=endpoint,
        availability_zone="surco",
        slots=3,
        incarnation=incarnation,
        state=state,
        instance=instance,
        cold_s=cold_s,
    )


def deliver_delta(registry: Registry, catalog: Catalog, now: float) -> None:
    """Deliver the delta of one replica's registry to an entry."""
    name = str(registry.epoch)
    epoch, generation = catalog.watermark(name)
    catalog.apply(name, registry.since(epoch, generation, now), now)


def states(catalog: Catalog) -> dict[str, str]:
    """Map the live instances to their state."""
    return {one.instance: one.state for one in catalog.live()}


def test_late_announcements_change_nothing() -> None:
    """Use the newest announcement of an instance only.

    An endpoint drains, and an earlier announcement, delayed by a partition,
    arrives afterwards. Accepted, it would direct new calls to a process that
    is about to exit.
    """
    registry = Registry(1)
    assert registry.register(announcement("i1"), 4, 0.0) == CHANGED
    assert registry.register(announcement("i1"), 5, 1.0) == RENEWED
    assert (
        registry.register(announcement("i1", state=DRAINING), 7, 2.0)
        == CHANGED
    )
    assert registry.register(announcement("i1"), 6, 2.1) == STALE
    assert registry.register(announcement("i1"), 8, 2.2) == CHANGED
    assert registry.list_announcements(0.0)[0].state == DRAINING


def test_ended_instance_stays_ended() -> None:
    """Refuse announcements of an instance that has ended."""
    registry = Registry(1)
    registry.register(announcement("i1"), 1, 0.0)
    assert registry.end(("i1", 0), 1.0)
    assert not registry.end(("i1", 0), 1.1)
    assert registry.register(announcement("i1"), 9, 1.2) == STALE
    assert registry.register(announcement("i2"), 1, 1.3) == CHANGED


def test_end_before_any_announcement_is_kept() -> None:
    """Keep the end of an instance that announced itself elsewhere."""
    registry = Registry(1)
    assert registry.end(("i1", 0), 0.0)
    catalog = Catalog()
    other = Registry(2)
    other.register(announcement("i1"), 3, 0.0)
    deliver_delta(other, catalog, 0.0)
    assert states(catalog) == {"i1": UP}
    deliver_delta(registry, catalog, 0.1)
    assert states(catalog) == {}


def test_silent_instance_expires_and_may_return() -> None:
    """Expire a silent instance, and accept it when it announces again."""
    registry = Registry(1)
    catalog = Catalog()
    registry.register(announcement("i1"), 1, 0.0)
    deliver_delta(registry, catalog, 0.0)
    assert not registry.expire(ENDPOINT_LEASE_S)
    assert registry.expire(ENDPOINT_LEASE_S + 0.1)
    deliver_delta(registry, catalog, 6.0)
    assert states(catalog) == {}
    assert registry.register(announcement("i1"), 2, 7.0) == CHANGED
    deliver_delta(registry, catalog, 7.0)
    assert states(catalog) == {"i1": UP}


def test_deltas_carry_changes_only() -> None:
    """Send what changed since the generation held, else everything."""
    registry = Registry(7)
    registry.register(announcement("i1"), 1, 0.0)
    held = registry.generation
    registry.register(announcement("i2", B), 1, 0.0)
    delta = registry.since(7, held, 0.0)
    assert [one.instance for one in delta.present] == ["i2"]
    assert delta.base == held
    whole = registry.since(6, held, 0.0)
    assert (whole.base, len(whole.present)) == (0, 2)


def test_delta_with_another_base_is_not_applied() -> None:
    """Request everything if a delta's base is not what is held."""
    registry = Registry(7)
    registry.register(announcement("i1"), 1, 0.0)
    held = registry.generation
    registry.register(announcement("i2", B), 1, 0.0)
    catalog = Catalog()
    assert not catalog.apply("c", registry.since(7, held, 0.0), 0.0)
    assert catalog.watermark("c") == (0, 0)
    assert states(catalog) == {}


def test_draining_overrides_up_from_another_replica() -> None:
    """Keep an instance draining that another replica still reports as up.

    The endpoint moved from one replica to the other between two heartbeats;
    the first replica keeps its old announcement until the lease expires.
    """
    first = Registry(1)
    second = Registry(2)
    catalog = Catalog()
    first.register(announcement("i1"), 1, 0.0)
    second.register(announcement("i1", state=DRAINING), 2, 1.0)
    deliver_delta(second, catalog, 1.0)
    deliver_delta(first, catalog, 1.0)
    assert states(catalog) == {"i1": DRAINING}


def test_restarted_replica_removes_no_endpoint() -> None:
    """Keep the endpoints of a replica for a while after its restart.

    A control process is killed and starts with an empty registry. Its
    endpoints announce themselves again within two seconds; until then an
    entry that dropped them would have a third fewer upstreams.
    """
    catalog = Catalog()
    before = Registry(1)
    before.register(announcement("i1"), 1, 0.0)
    before.register(announcement("i2", B), 1, 0.0)
    catalog.apply("c", before.since(0, 0, 0.0), 0.0)
    after = Registry(2)
    catalog.apply("c", after.since(0, 0, 1.0), 1.0)
    assert states(catalog) == {"i1": UP, "i2": UP}
    after.register(announcement("i1"), 2, 2.0)
    catalog.apply("c", after.since(*catalog.watermark("c"), 2.0), 2.0)
    catalog.expire(1.0 + ORPHAN_TTL_S + 0.1)
    assert states(catalog) == {"i1": UP}


def test_endpoints_are_kept_while_no_replica_replies() -> None:
    """Keep all endpoints while all control replicas are down."""
    catalog = Catalog()
    registry = Registry(1)
    registry.register(announcement("i1"), 1, 0.0)
    deliver_delta(registry, catalog, 0.0)
    assert not catalog.expire(1000.0)
    assert states(catalog) == {"i1": UP}


def test_endpoints_of_a_silent_replica_expire() -> None:
    """Drop endpoints known from a silent replica only, if others reply."""
    catalog = Catalog()
    gone = Registry(1)
    gone.register(announcement("i1"), 1, 0.0)
    deliver_delta(gone, catalog, 0.0)
    other = Registry(2)
    other.register(announcement("i2", B), 1, 0.0)
    deliver_delta(other, catalog, SOURCE_TTL_S + 0.5)
    assert catalog.expire(SOURCE_TTL_S + 0.6)
    assert states(catalog) == {"i2": UP}


def test_newer_instance_owns_the_address() -> None:
    """Use the process that announced an address last.

    The endpoint crashed and another started at its address; the lease of
    the old one has not expired yet.
    """
    registry = Registry(1)
    catalog = Catalog()
    registry.register(announcement("i1"), 9, 0.0)
    deliver_delta(registry, catalog, 0.0)
    registry.register(announcement("i2"), 1, 1.0)
    deliver_delta(registry, catalog, 1.0)
    assert list(states(catalog)) == ["i2"]
    catalog.end(("i2", 0), 2.0)
    assert list(states(catalog)) == ["i1"]


def test_cold_time_is_sent_as_the_time_left() -> None:
    """Send the remaining cold time of an endpoint to a later watch."""
    registry = Registry(1)
    registry.register(announcement("i1", cold_s=3.0), 1, 0.0)
    delta = registry.since(0, 0, 2.0)
    assert delta.present[0].cold_s == 1.0
    assert registry.register(announcement("i1", cold_s=1.5), 2, 1.5) == RENEWED


def test_restarted_instance_is_another_process() -> None:
    """Start afresh with an instance that restarted under its name.

    The endpoint crashes while it drains and restarts under its name. Its
    sequence numbers restart and it accepts calls, whatever was received
    about the earlier process.
    """
    registry = Registry(1)
    catalog = Catalog()
    registry.register(
        announcement("i1", state=DRAINING, incarnation=5), 40, 0.0
    )
    deliver_delta(registry, catalog, 0.0)
    assert states(catalog) == {"i1": DRAINING}
    assert (
        registry.register(announcement("i1", incarnation=9), 1, 1.0) == CHANGED
    )
    deliver_delta(registry, catalog, 1.0)
    assert states(catalog) == {"i1": UP}
    assert catalog.live()[0].incarnation == 9


def test_late_messages_of_an_earlier_process_change_nothing() -> None:
    """Refuse messages of a process whose instance has restarted.

    A partition delays the heartbeat and the end of the earlier process. They
    arrive while the later one serves; accepted, they would remove it.
    """
    registry = Registry(1)
    registry.register(announcement("i1", incarnation=9), 1, 0.0)
    generation = registry.generation
    late = announcement("i1", state=DRAINING, incarnation=5)
    assert registry.register(late, 99, 1.0) == OUTDATED
    assert not registry.end(("i1", 5), 1.1)
    assert registry.is_superseded(("i1", 5))
    assert registry.generation == generation


def test_earlier_process_at_another_replica_is_ignored() -> None:
    """Use the later process, in whatever order replicas send both.

    The instance moved to another replica when it restarted. The first
    replica, or one that restarted and received a late heartbeat, still has
    the earlier process, at another address.
    """
    earlier = Registry(1)
    earlier.register(announcement("i1", B, incarnation=5), 7, 0.0)
    later = Registry(2)
    later.register(announcement("i1", A, incarnation=9), 1, 0.0)
    for order in ((earlier, later), (later, earlier)):
        catalog = Catalog()
        for registry in order:
            deliver_delta(registry, catalog, 1.0)
        assert [one.endpoint for one in catalog.live()] == [A]


def test_end_of_an_earlier_process_keeps_the_later() -> None:
    """Keep an instance whose earlier process ended at another replica."""
    catalog = Catalog()
    later = Registry(2)
    later.register(announcement("i1", incarnation=9), 1, 0.0)
    deliver_delta(later, catalog, 0.0)
    earlier = Registry(1)
    earlier.end(("i1", 5), 0.0)
    deliver_delta(earlier, catalog, 0.1)
    assert states(catalog) == {"i1": UP}


def test_end_of_a_later_process_ends_the_earlier_ones() -> None:
    """Use no process whose successor has already ended.

    An entry that has just started receives the end of the later process from
    one replica, and the earlier process, which crashed, from another.
    """
    catalog = Catalog()
    later = Registry(2)
    later.end(("i1", 9), 0.0)
    deliver_delta(later, catalog, 0.0)
    earlier = Registry(1)
    earlier.register(announcement("i1", incarnation=5), 7, 0.0)
    deliver_delta(earlier, catalog, 0.1)
    assert catalog.live() == []


def test_instance_that_moved_is_not_ended_at_its_old_address() -> None:
    """End only the process at the address that replied.

    An instance restarts at another address. A request still sent to the old
    address is answered there by another instance.
    """
    catalog = Catalog()
    earlier = Registry(1)
    earlier.register(announcement("i1", B, incarnation=5), 7, 0.0)
    later = Registry(2)
    later.register(announcement("i1", A, incarnation=9), 1, 0.0)
    deliver_delta(earlier, catalog, 0.0)
    deliver_delta(later, catalog, 0.0)
    assert catalog.remove_instance("i1", B, 1.0)
    assert [one.endpoint for one in catalog.live()] == [A]
    assert catalog.remove_instance("i1", A, 1.0)
    assert catalog.live() == []


def test_foreign_announcement_changes_no_endpoint() -> None:
    """Refuse an announcement that moves a running process.

    A process keeps its service and address. Another sender that uses its
    name would remove it from its service.
    """
    registry = Registry(1)
    registry.register(announcement("i1"), 1, 0.0)
    assert registry.register(announcement("i1", B), 2, 0.1) == FOREIGN
    assert registry.list_announcements(0.0) == [announcement("i1")]


def test_incarnation_is_pruned_with_its_process() -> None:
    """Remove the incarnation of an expired instance after a while.

    Most starts create a new name, so memory would grow without end.
    """
    registry = Registry(1)
    registry.register(announcement("i1", incarnation=9), 1, 0.0)
    registry.expire(ENDPOINT_LEASE_S + 1.0)
    assert registry.is_superseded(("i1", 5))
    registry.expire(ENDPOINT_LEASE_S + TOMBSTONE_TTL_S + 2.0)
    assert not registry.is_superseded(("i1", 5))


def test_restored_endpoints_are_kept_for_a_moment() -> None:
    """Serve endpoints known before a restart until they announce.

    All control replicas and entries lose power. Endpoints announce
    themselves one by one over two seconds; entries that knew the first few
    only would overload these with all calls.
    """
    registry = Registry(2)
    catalog = Catalog()
    registry.restore(announcement("i1"), 10.0)
    registry.restore(announcement("i2", B, state=DRAINING), 10.0)
    deliver_delta(registry, catalog, 10.0)
    assert states(catalog) == {"i1": UP, "i2": DRAINING}
    assert registry.register(announcement("i1"), 1, 11.0) == RENEWED
    registry.expire(10.0 + RESTORED_TTL_S + 0.1)
    deliver_delta(registry, catalog, 12.2)
    assert states(catalog) == {"i1": UP}
