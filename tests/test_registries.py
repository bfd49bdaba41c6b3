"""Hear endpoints on control and merge their words on an entry."""

from nutmegchute_core.catalogs import Catalog
from nutmegchute_core.catalogs import ORPHAN_S
from nutmegchute_core.catalogs import SILENT_S
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


def word(
    instance: str,
    endpoint: str = A,
    state: str = UP,
    cold_s: float = 0.0,
    incarnation: int = 0,
) -> Announcement:
    """Build an instance's word."""
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


def tell(registry: Registry, catalog: Catalog, now: float) -> None:
    """Carry what is new from one replica to an entry."""
    name = str(registry.epoch)
    epoch, generation = catalog.watermark(name)
    catalog.apply(name, registry.since(epoch, generation, now), now)


def states(catalog: Catalog) -> dict[str, str]:
    """Map the live instances to their state."""
    return {one.instance: one.state for one in catalog.live()}


def test_late_words_change_nothing() -> None:
    """Heed the newest word of an instance only.

    An endpoint drains, and a word it sent before is held up by a partition
    and comes after. Taken as news, it would bring new calls to a process
    that is about to exit.
    """
    registry = Registry(1)
    assert registry.register(word("i1"), 4, 0.0) == CHANGED
    assert registry.register(word("i1"), 5, 1.0) == RENEWED
    assert registry.register(word("i1", state=DRAINING), 7, 2.0) == CHANGED
    assert registry.register(word("i1"), 6, 2.1) == STALE
    assert registry.register(word("i1"), 8, 2.2) == CHANGED
    assert registry.present(0.0)[0].state == DRAINING


def test_ended_instance_stays_ended() -> None:
    """Refuse words of an instance that said farewell."""
    registry = Registry(1)
    registry.register(word("i1"), 1, 0.0)
    assert registry.end(("i1", 0), 1.0)
    assert not registry.end(("i1", 0), 1.1)
    assert registry.register(word("i1"), 9, 1.2) == STALE
    assert registry.register(word("i2"), 1, 1.3) == CHANGED


def test_farewell_before_any_word_is_kept() -> None:
    """Remember the end of an instance that announced itself elsewhere."""
    registry = Registry(1)
    assert registry.end(("i1", 0), 0.0)
    catalog = Catalog()
    other = Registry(2)
    other.register(word("i1"), 3, 0.0)
    tell(other, catalog, 0.0)
    assert states(catalog) == {"i1": UP}
    tell(registry, catalog, 0.1)
    assert states(catalog) == {}


def test_silent_instance_lapses_and_may_come_back() -> None:
    """Drop a silent instance; it may be heard again."""
    registry = Registry(1)
    catalog = Catalog()
    registry.register(word("i1"), 1, 0.0)
    tell(registry, catalog, 0.0)
    assert not registry.expire(ENDPOINT_LEASE_S)
    assert registry.expire(ENDPOINT_LEASE_S + 0.1)
    tell(registry, catalog, 6.0)
    assert states(catalog) == {}
    assert registry.register(word("i1"), 2, 7.0) == CHANGED
    tell(registry, catalog, 7.0)
    assert states(catalog) == {"i1": UP}


def test_deltas_carry_changes_only() -> None:
    """Send what changed since the generation held, else everything."""
    registry = Registry(7)
    registry.register(word("i1"), 1, 0.0)
    held = registry.generation
    registry.register(word("i2", B), 1, 0.0)
    delta = registry.since(7, held, 0.0)
    assert [one.instance for one in delta.present] == ["i2"]
    assert delta.base == held
    whole = registry.since(6, held, 0.0)
    assert (whole.base, len(whole.present)) == (0, 2)


def test_delta_on_another_generation_is_not_applied() -> None:
    """Ask anew where a delta leads on from what is not held."""
    registry = Registry(7)
    registry.register(word("i1"), 1, 0.0)
    held = registry.generation
    registry.register(word("i2", B), 1, 0.0)
    catalog = Catalog()
    assert not catalog.apply("c", registry.since(7, held, 0.0), 0.0)
    assert catalog.watermark("c") == (0, 0)
    assert states(catalog) == {}


def test_draining_heard_once_holds_against_other_replicas() -> None:
    """Keep an instance draining that another replica still calls up.

    The endpoint moved from one replica to the other between two words; the
    first replica has its old word until it lapses there.
    """
    first = Registry(1)
    second = Registry(2)
    catalog = Catalog()
    first.register(word("i1"), 1, 0.0)
    second.register(word("i1", state=DRAINING), 2, 1.0)
    tell(second, catalog, 1.0)
    tell(first, catalog, 1.0)
    assert states(catalog) == {"i1": DRAINING}


def test_restarted_replica_takes_no_endpoint_away() -> None:
    """Hold what a replica told before its restart for a while.

    A control process is killed and starts with an empty registry. Its
    endpoints announce themselves anew within two seconds; until then an
    entry that forgot them would have a third fewer upstreams.
    """
    catalog = Catalog()
    before = Registry(1)
    before.register(word("i1"), 1, 0.0)
    before.register(word("i2", B), 1, 0.0)
    catalog.apply("c", before.since(0, 0, 0.0), 0.0)
    after = Registry(2)
    catalog.apply("c", after.since(0, 0, 1.0), 1.0)
    assert states(catalog) == {"i1": UP, "i2": UP}
    after.register(word("i1"), 2, 2.0)
    catalog.apply("c", after.since(*catalog.watermark("c"), 2.0), 2.0)
    catalog.expire(1.0 + ORPHAN_S + 0.1)
    assert states(catalog) == {"i1": UP}


def test_everything_holds_while_no_replica_answers() -> None:
    """Go on with what is known when all of control is lost."""
    catalog = Catalog()
    registry = Registry(1)
    registry.register(word("i1"), 1, 0.0)
    tell(registry, catalog, 0.0)
    assert not catalog.expire(1000.0)
    assert states(catalog) == {"i1": UP}


def test_silent_replica_is_left_behind_by_the_others() -> None:
    """Drop what only a replica told that is silent while others are not."""
    catalog = Catalog()
    gone = Registry(1)
    gone.register(word("i1"), 1, 0.0)
    tell(gone, catalog, 0.0)
    other = Registry(2)
    other.register(word("i2", B), 1, 0.0)
    tell(other, catalog, SILENT_S + 0.5)
    assert catalog.expire(SILENT_S + 0.6)
    assert states(catalog) == {"i2": UP}


def test_newer_instance_has_the_address() -> None:
    """Send to the process that came later to an address.

    The endpoint crashed and another started at its address; the old one is
    still vouched for until it lapses.
    """
    registry = Registry(1)
    catalog = Catalog()
    registry.register(word("i1"), 9, 0.0)
    tell(registry, catalog, 0.0)
    registry.register(word("i2"), 1, 1.0)
    tell(registry, catalog, 1.0)
    assert list(states(catalog)) == ["i2"]
    catalog.end(("i2", 0), 2.0)
    assert list(states(catalog)) == ["i1"]


def test_cold_start_is_told_as_what_is_left() -> None:
    """Tell an entry that asks later how long an endpoint is still slow."""
    registry = Registry(1)
    registry.register(word("i1", cold_s=3.0), 1, 0.0)
    delta = registry.since(0, 0, 2.0)
    assert delta.present[0].cold_s == 1.0
    assert registry.register(word("i1", cold_s=1.5), 2, 1.5) == RENEWED


def test_later_start_of_an_instance_is_another_process() -> None:
    """Begin anew with an instance that started again under its name.

    The endpoint crashes while it drains and starts again under its name.
    Its numbers begin anew and it takes calls, whatever was heard of the
    process before.
    """
    registry = Registry(1)
    catalog = Catalog()
    registry.register(word("i1", state=DRAINING, incarnation=5), 40, 0.0)
    tell(registry, catalog, 0.0)
    assert states(catalog) == {"i1": DRAINING}
    assert registry.register(word("i1", incarnation=9), 1, 1.0) == CHANGED
    tell(registry, catalog, 1.0)
    assert states(catalog) == {"i1": UP}
    assert catalog.live()[0].incarnation == 9


def test_earlier_start_that_comes_late_changes_nothing() -> None:
    """Refuse the words of a process whose instance has started again.

    A cut holds back the heartbeat and the farewell of the earlier process.
    They come when the later one serves; heeded, they would take it away.
    """
    registry = Registry(1)
    registry.register(word("i1", incarnation=9), 1, 0.0)
    generation = registry.generation
    late = word("i1", state=DRAINING, incarnation=5)
    assert registry.register(late, 99, 1.0) == OUTDATED
    assert not registry.end(("i1", 5), 1.1)
    assert registry.is_superseded(("i1", 5))
    assert registry.generation == generation


def test_earlier_start_told_by_another_replica_names_no_endpoint() -> None:
    """Hold to the later start, in whatever order replicas tell of both.

    The instance moved to another replica when it started again. The first
    replica, or one that restarted and heard a late word, has the earlier
    process still, at another address.
    """
    earlier = Registry(1)
    earlier.register(word("i1", B, incarnation=5), 7, 0.0)
    later = Registry(2)
    later.register(word("i1", A, incarnation=9), 1, 0.0)
    for order in ((earlier, later), (later, earlier)):
        catalog = Catalog()
        for registry in order:
            tell(registry, catalog, 1.0)
        assert [one.endpoint for one in catalog.live()] == [A]


def test_end_of_an_earlier_start_spares_the_later() -> None:
    """Keep an instance whose earlier process ended at another replica."""
    catalog = Catalog()
    later = Registry(2)
    later.register(word("i1", incarnation=9), 1, 0.0)
    tell(later, catalog, 0.0)
    earlier = Registry(1)
    earlier.end(("i1", 5), 0.0)
    tell(earlier, catalog, 0.1)
    assert states(catalog) == {"i1": UP}


def test_end_of_a_later_start_ends_the_earlier_ones() -> None:
    """Send nothing to a start whose successor has ended already.

    An entry that has just started hears from one replica that the later
    start has ended, and from another of the earlier one, which crashed.
    """
    catalog = Catalog()
    later = Registry(2)
    later.end(("i1", 9), 0.0)
    tell(later, catalog, 0.0)
    earlier = Registry(1)
    earlier.register(word("i1", incarnation=5), 7, 0.0)
    tell(earlier, catalog, 0.1)
    assert catalog.live() == []


def test_instance_that_moved_is_not_ended_at_its_old_address() -> None:
    """End only the process that was at the address which answered.

    An instance starts again at another address, and a request still goes
    to the old one, where somebody else says so.
    """
    catalog = Catalog()
    earlier = Registry(1)
    earlier.register(word("i1", B, incarnation=5), 7, 0.0)
    later = Registry(2)
    later.register(word("i1", A, incarnation=9), 1, 0.0)
    tell(earlier, catalog, 0.0)
    tell(later, catalog, 0.0)
    assert catalog.remove_instance("i1", B, 1.0)
    assert [one.endpoint for one in catalog.live()] == [A]
    assert catalog.remove_instance("i1", A, 1.0)
    assert catalog.live() == []


def test_foreign_word_changes_no_endpoint() -> None:
    """Refuse a word that moves a running process elsewhere.

    A process keeps its service and address. Another writer that uses its
    name would take it out of its service.
    """
    registry = Registry(1)
    registry.register(word("i1"), 1, 0.0)
    assert registry.register(word("i1", B), 2, 0.1) == FOREIGN
    assert registry.present(0.0) == [word("i1")]


def test_start_is_forgotten_with_its_process() -> None:
    """Hold no instance for ever: names are made anew at most starts."""
    registry = Registry(1)
    registry.register(word("i1", incarnation=9), 1, 0.0)
    registry.expire(ENDPOINT_LEASE_S + 1.0)
    assert registry.is_superseded(("i1", 5))
    registry.expire(ENDPOINT_LEASE_S + TOMBSTONE_TTL_S + 2.0)
    assert not registry.is_superseded(("i1", 5))


def test_recalled_endpoints_hold_for_a_moment() -> None:
    """Tell of endpoints known before a restart until they announce.

    All of control and every entry lose power. Endpoints announce themselves
    one by one over two seconds; until then entries that knew the first few
    only would crowd all calls onto these.
    """
    registry = Registry(2)
    catalog = Catalog()
    registry.restore(word("i1"), 10.0)
    registry.restore(word("i2", B, state=DRAINING), 10.0)
    tell(registry, catalog, 10.0)
    assert states(catalog) == {"i1": UP, "i2": DRAINING}
    assert registry.register(word("i1"), 1, 11.0) == RENEWED
    registry.expire(10.0 + RESTORED_TTL_S + 0.1)
    tell(registry, catalog, 12.2)
    assert states(catalog) == {"i1": UP}
