"""Test quotas in virtual time and the decisions of both sides."""

import itertools

import pytest
from nutmegchute_core.organisations import Organisation
from nutmegchute_core.quota_allocators import CONTACT_S
from nutmegchute_core.quota_allocators import JOIN_S
from nutmegchute_core.quota_allocators import QuotaAllocator
from nutmegchute_core.quota_ledgers import Admitted
from nutmegchute_core.quota_ledgers import Exceeded
from nutmegchute_core.quota_ledgers import MAX_STARTING_WAIT_S
from nutmegchute_core.quota_ledgers import QuotaLedger
from nutmegchute_core.quota_ledgers import Unconfirmed
from nutmegchute_core.quotas import QuotaAsk
from nutmegchute_core.quotas import QuotaGrant
from nutmegchute_core.quotas import QuotaReply
from nutmegchute_core.quotas import QuotaRequest
from nutmegchute_fakes.quotas import bound
from nutmegchute_fakes.quotas import ideal_admissions
from nutmegchute_fakes.quotas import max_in_window
from nutmegchute_fakes.quotas import max_within_window
from nutmegchute_fakes.quotas import organisation
from nutmegchute_fakes.quotas import Replica
from nutmegchute_fakes.quotas import Site
from nutmegchute_fakes.quotas import TERMS

SIZES = [(17, 1), (17, 2), (117, 1), (117, 2), (117, 3)]
SMALL = organisation("small", 2.2, 2.2)
LARGE = organisation("large", 422.0, 422.0)
LARGE_PER_S = 264.0
FULL_S = 10.0


def build_site(entries: int, seed: int, *quotas: Organisation) -> Site:
    """Build a site and let the buckets fill."""
    site = Site(entries, list(quotas), seed)
    site.run(FULL_S)
    return site


def share(site: Site, name: str, outcome: str) -> float:
    """Return which share of an organisation's calls had an outcome."""
    return site.outcomes[name, outcome] / max(1, len(site.offered[name]))


@pytest.mark.parametrize(("entries", "seed"), SIZES)
def test_small_organisation_is_served_below_its_quota(
    entries: int, seed: int
) -> None:
    """Guard against permits that are held where no calls arrive."""
    site = build_site(entries, seed, SMALL)
    site.load("small", 1.4, lambda at: 1.4)
    site.run(300.0)
    site.check_bound(SMALL)
    offered = site.offered["small"]
    assert share(site, "small", "admitted") >= 0.99
    assert site.outcomes["small", "admitted"] >= ideal_admissions(
        offered, SMALL
    )
    assert site.messages <= 2 * len(offered)


@pytest.mark.parametrize(("entries", "seed"), SIZES)
def test_surge_of_large_organisation_uses_its_quota(
    entries: int, seed: int
) -> None:
    """Guard against calls beyond the bound, and against an unused quota."""
    site = build_site(entries, seed, LARGE)
    peak = 6.3 * LARGE_PER_S
    begin = site.now + 5.0
    end = begin + 6.0
    site.load(
        "large", peak, lambda at: peak if begin <= at < end else LARGE_PER_S
    )
    site.run(5.0)
    before = site.outcomes["large", "admitted"]
    assert share(site, "large", "admitted") >= 0.99
    site.run(6.0)
    used = site.outcomes["large", "admitted"] - before
    site.run(5.0)
    assert used >= 0.9 * 6.0 * LARGE.rate_per_s
    site.check_bound(LARGE)
    assert min(site.retry_after) > 0
    assert max(site.waits) < 0.1


def test_exhausted_organisation_causes_few_requests() -> None:
    """Guard against requests that grow with the refused calls."""
    quota = organisation("small", 2.2, 2.2)
    site = build_site(312, 1, quota)
    site.load("small", 2000.0, lambda at: 2000.0)
    site.run(5.0)
    site.asked.clear()
    site.run(20.0)
    for times in site.asked.values():
        assert len(times) <= 1.3 * 200 * 20
    assert site.outcomes["small", "admitted"] >= 0.9 * 25 * 2.2
    site.check_bound(quota)


@pytest.mark.parametrize("entries", [17, 117])
def test_killed_entries_start_with_nothing(entries: int) -> None:
    """Guard against a burst for each entry that starts."""
    site = build_site(entries, 4, LARGE)
    site.load("large", 2000.0, lambda at: 2000.0)
    for _ in range(10):
        site.run(0.7)
        for number in range(entries):
            site.restart_entry(number)
            assert not site.ledgers[number].pop_decisions()
    site.run(5.0)
    site.check_bound(LARGE)


@pytest.mark.parametrize("frozen_s", [0.3, 0.6, 5.0])
def test_frozen_entries_do_not_use_old_permits(frozen_s: float) -> None:
    """Guard against permits used after others have used their quota."""
    site = build_site(17, 5, LARGE)
    # Near the quota, so that entries hold permits for expected calls.
    site.load("large", 400.0, lambda at: 400.0)
    for _ in range(6):
        site.run(1.0)
        for number in range(8):
            site.frozen[number] = []
        site.run(frozen_s)
        for number in range(8):
            site.resume(number)
    site.run(2.0)
    site.check_bound(LARGE)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_lost_and_replaced_replicas(seed: int) -> None:
    """Guard against a quota granted by both a lost replica and its heir."""
    site = build_site(117, seed, LARGE)
    site.load("large", 1200.0, lambda at: 1200.0)
    site.run(3.0)
    site.replicas["r0"].runs = False
    site.run(6.0)
    # Entries still reach it, but it has no contact with the others.
    cut = site.replicas["r1"]
    cut.in_contact = False
    site.run(CONTACT_S + 1.0)
    granting = cut.allocator.may_grant(site.now)
    assert not granting
    del site.replicas["r0"]
    site.replicas["r5"] = Replica(site, False)
    site.run(1.0)
    site.replicas["r5"].present = True
    site.run(JOIN_S - 1.0)
    assert not site.replicas["r5"].allocator.may_grant(site.now)
    site.run(2.0)
    assert site.replicas["r5"].allocator.may_grant(site.now)
    cut.in_contact = True
    site.run(10.0)
    site.check_bound(LARGE)
    # Of the quota of 422, at least 3 of 5 parts were granted throughout.
    admitted = site.outcomes["large", "admitted"]
    assert admitted >= 0.9 * LARGE.rate_per_s * 0.6 * 34
    assert not site.outcomes["large", "unconfirmed"]


def test_calls_below_quota_are_served_while_a_replica_is_silent() -> None:
    """Guard against a wait for the silent replica at each call."""
    site = build_site(17, 6, LARGE)
    site.load("large", 200.0, lambda at: 200.0)
    site.replicas["r2"].reachable = False
    site.run(20.0)
    assert share(site, "large", "admitted") >= 0.99
    late = [one for one in site.waits if one > 0.1]
    assert len(late) <= 0.05 * len(site.waits)


def test_without_replicas_calls_are_refused() -> None:
    """Guard against calls that wait for replicas which do not answer."""
    site = build_site(17, 7, SMALL)
    for replica in site.replicas.values():
        replica.runs = False
    site.load("small", 100.0, lambda at: 100.0)
    site.run(10.0)
    assert share(site, "small", "admitted") == 0
    assert share(site, "small", "unconfirmed") >= 0.98
    assert max(site.waits) <= 5 * 0.15 + 0.16
    assert sorted(site.waits)[len(site.waits) // 2] == 0
    for replica in site.replicas.values():
        replica.runs = True
    site.run(5.0)
    assert site.outcomes["small", "admitted"] > 0
    site.replicas.clear()
    site.run(5.0)
    site.check_bound(SMALL)


def test_changed_quotas_under_load() -> None:
    """Guard against a lowered quota that does not bind, or a stuck one."""
    site = build_site(117, 8, LARGE)
    site.load("large", 1200.0, lambda at: 1200.0)
    site.run(4.0)
    low = organisation("large", 10.0, 0.0)
    site.configure(low)
    lowered_at = site.now
    site.run(15.0)
    site.check_bound(low, lowered_at + TERMS.lifetime_s)
    site.configure(LARGE)
    before = site.outcomes["large", "admitted"]
    site.run(10.0)
    assert site.outcomes["large", "admitted"] - before >= 0.9 * 4220
    site.configure(organisation("large", 0.0, 0.0))
    decided = site.outcomes["large", "exceeded"]
    site.run(3.0)
    assert site.outcomes["large", "exceeded"] == decided
    assert site.outcomes["large", "unlimited"] > 3000
    site.check_bound(LARGE)


@pytest.mark.parametrize("seed", [1, 2])
def test_storm_of_changes(seed: int) -> None:
    """Guard against a burst of permits for each change or return."""
    site = build_site(17, seed, LARGE)
    site.load("large", 1200.0, lambda at: 1200.0)
    quotas = itertools.cycle([5.0, 422.0, None, 50.0, 422.0, 0.3])
    for _ in range(60):
        rate = next(quotas)
        if rate is None:
            site.configure()
        else:
            site.configure(organisation("large", rate, rate))
        site.run(site.random.uniform(0.05, 0.6))
    site.check_bound(LARGE)
    for ledger in site.ledgers:
        assert ledger.count_waiting() <= 2


@pytest.mark.parametrize(
    ("rate", "burst", "offered"),
    [(0.1, 0.0, 5.0), (0.5, 0.0, 20.0), (3.0, 0.0, 30.0), (50.0, 0.0, 300.0)],
)
def test_uncommon_quotas(rate: float, burst: float, offered: float) -> None:
    """Guard against fractions of a permit that are lost to rounding."""
    quota = organisation("odd", rate, burst)
    site = build_site(17, 9, quota)
    site.load("odd", offered, lambda at: offered)
    seconds = 200.0 if rate < 10 else 20.0
    site.run(seconds)
    site.check_bound(quota)
    assert site.outcomes["odd", "admitted"] >= 0.9 * rate * seconds


def test_huge_quota() -> None:
    """Guard against work or refusals that grow with the quota."""
    quota = organisation("huge", 1e9, 1e9)
    site = build_site(17, 9, quota)
    site.load("huge", 1000.0, lambda at: 1000.0)
    site.run(10.0)
    assert share(site, "huge", "admitted") >= 0.999
    assert site.messages < 0.5 * len(site.offered["huge"])


def build_allocator(
    *quotas: Organisation, replicas: int = 5
) -> QuotaAllocator:
    """Build the allocator of a replica that grants from 0.5 on."""
    allocator = QuotaAllocator(TERMS, 0.0)
    allocator.observe(True, True, False, 0.0)
    allocator.configure(quotas, replicas, 0.0)
    return allocator


def ask(
    allocator: QuotaAllocator, now: float, waiting: int, name: str = "large"
) -> int | None:
    """Return how many permits are granted, None if there is no grant."""
    allocator.observe(True, True, False, now)
    request = QuotaRequest("entry-1", [QuotaAsk(name, waiting, 0)])
    reply = allocator.grant(request, now)
    if not reply.grants:
        return None
    return reply.grants[0].granted


def test_replica_starts_empty_and_clamps_a_lowered_quota() -> None:
    """Guard against permits from before a start or a change."""
    allocator = build_allocator(LARGE)
    assert ask(allocator, 0.4, 1) is None
    # One fifth of 422 a second for 0.5 s.
    assert ask(allocator, 0.5, 1000) == 42
    for tenth in range(6, 40):
        allocator.observe(True, True, False, tenth / 10)
    allocator.configure([organisation("large", 10.0, 0.0)], 5, 4.0)
    assert ask(allocator, 4.0, 1000) == 2
    allocator.configure([organisation("other", 10.0, 0.0)], 5, 4.1)
    assert ask(allocator, 4.1, 1) is None
    # Not limited here: the entry's configuration is the older one.
    allocator.configure([organisation("large", 0.0, 0.0)], 5, 4.2)
    assert ask(allocator, 4.2, 1000) == 1000


def test_smaller_group_raises_the_parts_later() -> None:
    """Guard against parts that add up to more while a member leaves."""
    allocator = build_allocator(LARGE)
    times = [step / 2 for step in range(1, 60)]
    granted = []
    for at in times:
        if at == 5.0:
            allocator.configure([LARGE], 4, at)
        granted.append(ask(allocator, at, 1000) or 0)
    per_s = {int(at): 0 for at in times}
    for at, one in zip(times, granted, strict=True):
        per_s[int(at)] += one
    assert per_s[11] <= 422 / 5 + 1
    assert per_s[20] >= 422 / 4 - 1


def test_paused_replica_and_joining_learner() -> None:
    """Guard against grants on the strength of messages that waited."""
    allocator = build_allocator(LARGE)
    assert ask(allocator, 0.9, 1)
    # The process was paused, and its replacement may grant by now.
    assert ask(allocator, 20.0, 1) is None
    assert ask(allocator, 20.9, 1) is None
    assert ask(allocator, 21.6, 1)
    learner = QuotaAllocator(TERMS, 0.0)
    learner.configure([LARGE], 5, 0.0)
    learner.observe(True, True, True, 0.0)
    for tenth in range(80):
        learner.observe(True, True, True, tenth / 10)
        assert not learner.may_grant(tenth / 10)
    learner.observe(True, True, False, JOIN_S)
    assert learner.may_grant(JOIN_S)


def build_ledger(*quotas: Organisation) -> QuotaLedger[str]:
    """Build a ledger that asks replicas a and b."""
    ledger: QuotaLedger[str] = QuotaLedger(
        "entry-1", 1, lambda: ["a", "b"], TERMS.lifetime_s
    )
    ledger.configure(quotas)
    return ledger


def reply(name: str, granted: int, wait_s: float = 0.0) -> QuotaReply:
    """Build a reply for one organisation."""
    return QuotaReply([QuotaGrant(name, granted, wait_s)], 0.5, True)


def test_waiting_calls_are_batched_and_admitted_in_order() -> None:
    """Guard against a second message in flight and against overtaking."""
    ledger = build_ledger(SMALL, LARGE)
    ledger.open("x", "large", 1.0)
    (first,) = ledger.poll(1.0)
    for number in range(3):
        ledger.open(f"s{number}", "small", 1.0)
        ledger.open(f"l{number}", "large", 1.0)
    assert ledger.poll(1.0) == []
    ledger.cancel("s0", "small")
    ledger.record_reply(first, reply("large", 1), 1.001)
    # A pause of three times 1 ms keeps the replica free for other entries.
    assert ledger.poll(1.003) == []
    assert ledger.next_wakeup(1.003) == pytest.approx(1.004)
    (second,) = ledger.poll(1.0041)
    assert {one.organisation: one.waiting for one in second.request.asks} == {
        "small": 2,
        "large": 3,
    }
    ledger.record_reply(second, reply("large", 3), 1.005)
    admitted = [one.call for one in ledger.pop_decisions()]
    assert admitted == ["x", "l0", "l1", "l2"]
    # The other replica is asked for what has no grant.
    (third,) = ledger.poll(1.005)
    assert third.replica == "b"
    ledger.record_reply(third, reply("small", 0, 3.0), 1.006)
    refused = ledger.pop_decisions()
    assert [one.call for one in refused] == ["s1", "s2"]
    assert all(isinstance(one, Exceeded) for one in refused)
    assert ledger.count_exhausted(1.006) == 1
    assert ledger.count_waiting() == 0
    ledger.open("s9", "small", 1.02)
    (late,) = ledger.pop_decisions()
    assert isinstance(late, Exceeded)
    assert late.replica == "b"
    assert late.age_s == pytest.approx(0.014)
    # Callers return one after the other.
    assert late.retry_after_s > 1 / SMALL.rate_per_s


def test_permits_expire_and_are_given_back() -> None:
    """Guard against permits that outlive what the replica counts with."""
    ledger = build_ledger(LARGE)
    ledger.open("x", "large", 1.0)
    (first,) = ledger.poll(1.0)
    ledger.record_reply(first, reply("large", 2), 1.1)
    (admitted,) = ledger.pop_decisions()
    assert isinstance(admitted, Admitted)
    permit = admitted.permit
    assert permit is not None
    assert permit.expires_at == 1.5
    ledger.give_back(permit, 1.4)
    # One of the two permits at hand is left when both expire.
    ledger.open("y", "large", 1.49)
    assert len(ledger.pop_decisions()) == 1
    ledger.open("z", "large", 1.5)
    assert ledger.pop_decisions() == []
    assert ledger.count_waiting() == 1
    ledger.give_back(permit, 1.5)
    assert ledger.pop_decisions() == []
    ledger.configure([organisation("large", 0.0, 0.0)])
    (released,) = ledger.pop_decisions()
    assert isinstance(released, Admitted)
    assert released.permit is None


def test_silent_replicas_are_avoided_for_a_second() -> None:
    """Guard against waiting for the same silent replica at each call."""
    ledger = build_ledger(LARGE)
    ledger.open("x", "large", 1.0)
    (first,) = ledger.poll(1.0)
    assert first.replica == "a"
    ledger.record_silence(first, 1.15)
    (second,) = ledger.poll(1.15)
    assert second.replica == "b"
    ledger.record_silence(second, 1.3)
    (refused,) = ledger.pop_decisions()
    assert isinstance(refused, Unconfirmed)
    ledger.open("y", "large", 1.5)
    assert ledger.poll(1.5) == []
    assert isinstance(ledger.pop_decisions()[0], Unconfirmed)
    (probe,) = ledger.poll(2.15)
    assert (probe.replica, probe.request.asks) == ("a", [])
    ledger.open("z", "large", 2.15)
    assert isinstance(ledger.pop_decisions()[0], Unconfirmed)
    ledger.record_reply(probe, QuotaReply([], 0.5, True), 2.151)
    ledger.open("z", "large", 2.3)
    assert [one.replica for one in ledger.poll(2.3)] == ["a", "b"]


def test_calls_wait_for_replicas_that_start() -> None:
    """Guard against refusals in the half second after a power failure."""
    ledger = build_ledger(LARGE)
    ledger.open("x", "large", 1.0)
    for at in (1.0, 1.002):
        (outgoing,) = ledger.poll(at)
        ledger.record_reply(outgoing, QuotaReply([], 0.5, False), at + 0.001)
    assert ledger.pop_decisions() == []
    assert ledger.next_wakeup(1.003) is not None
    (probe, _) = ledger.poll(1.06)
    ledger.record_reply(probe, QuotaReply([], 0.5, True), 1.061)
    (outgoing,) = ledger.poll(1.09)
    ledger.record_reply(outgoing, reply("large", 1), 1.091)
    (decision,) = ledger.pop_decisions()
    assert isinstance(decision, Admitted)


def test_call_is_refused_while_replicas_keep_starting() -> None:
    """Guard against calls that wait until their deadline."""
    ledger = build_ledger(LARGE)
    ledger.open("x", "large", 1.0)
    at = 1.0
    while at < 1.0 + MAX_STARTING_WAIT_S:
        assert ledger.pop_decisions() == []
        for outgoing in ledger.poll(at):
            starting = QuotaReply([], 0.5, False)
            ledger.record_reply(outgoing, starting, at)
        at += 0.01
    ledger.poll(at)
    (decision,) = ledger.pop_decisions()
    assert isinstance(decision, Unconfirmed)


def test_late_calls_leave_permits_to_others_at_the_quota() -> None:
    """Guard against permits for calls that miss their objective anyway."""
    ledger = build_ledger(LARGE)
    ledger.open("late", "large", 1.0, is_late=True)
    (outgoing,) = ledger.poll(1.0)
    ledger.record_reply(outgoing, reply("large", 1), 1.001)
    assert isinstance(ledger.pop_decisions()[0], Admitted)
    ledger.open("x", "large", 2.0)
    for at in (2.0, 2.02):
        (outgoing,) = ledger.poll(at)
        ledger.record_reply(outgoing, reply("large", 0, 0.1), at + 0.001)
    assert isinstance(ledger.pop_decisions()[0], Exceeded)
    ledger.open("late", "large", 2.5, is_late=True)
    assert isinstance(ledger.pop_decisions()[0], Exceeded)
    ledger.open("early", "large", 2.5)
    assert ledger.poll(2.5)
    ledger.open("late again", "large", 3.2, is_late=True)
    assert ledger.pop_decisions() == []


def test_replica_counts_the_time_of_its_own_start() -> None:
    """Guard against refusing all that waited while the replica started.

    It has granted nothing since its process began.
    """
    allocator = QuotaAllocator(TERMS, 0.0)
    allocator.observe(True, True, False, 0.9)
    allocator.configure([LARGE], 5, 0.9)
    assert ask(allocator, 0.9, 1000) == int(0.9 * 422 / 5)


def test_new_organisation_starts_with_its_burst() -> None:
    """Guard against refusing the first calls; one that returns has none."""
    allocator = build_allocator(LARGE)
    for tenth in range(70):
        ask(allocator, tenth / 10, 0)
    new = organisation("new", 2.0, 5.0)
    allocator.configure([LARGE, new], 5, 7.0)
    assert ask(allocator, 7.0, 100, "new") == 3
    allocator.configure([LARGE], 5, 7.1)
    allocator.configure([LARGE, new], 5, 7.2)
    assert ask(allocator, 7.2, 100, "new") == 0


def test_replica_that_applies_its_log_late_grants_no_burst() -> None:
    """Guard against a second burst after a restart.

    The tree of a replica is empty until a leader confirms its log.
    """
    allocator = build_allocator()
    allocator.configure([LARGE], 5, 0.4)
    assert ask(allocator, 0.6, 1000) == int(0.6 * 422 / 5)


def test_bound_is_that_of_the_requirements() -> None:
    """Guard against a model that checks less than is required."""
    assert bound(LARGE) == pytest.approx((422 * 5 + 422) * 1.1 + 20)
    assert TERMS.lifetime_s == 0.5
    assert JOIN_S >= CONTACT_S + 4.0


def test_cancelled_call_has_no_decision() -> None:
    """Guard against a call that is admitted without a permit.

    Its key moves to another organisation while the quota of the first ends.
    """
    ledger = build_ledger(SMALL, LARGE)
    ledger.open("x", "small", 1.0)
    ledger.open("y", "small", 1.0)
    ledger.configure([LARGE])
    ledger.cancel("x", "small")
    ledger.open("x", "large", 1.0)
    assert [one.call for one in ledger.pop_decisions()] == ["y"]
    assert ledger.count_waiting() == 1


def test_changed_quota_ends_the_refusals_of_the_former_one() -> None:
    """Guard against 429 for calls within a quota that was raised."""
    ledger = build_ledger(SMALL)
    ledger.open("x", "small", 1.0)
    for at in (1.0, 1.002):
        (outgoing,) = ledger.poll(at)
        ledger.record_reply(outgoing, reply("small", 0, 0.5), at + 0.001)
    assert isinstance(ledger.pop_decisions()[0], Exceeded)
    ledger.configure([SMALL])
    ledger.open("y", "small", 1.01)
    assert isinstance(ledger.pop_decisions()[0], Exceeded)
    ledger.configure([organisation("small", 100.0, 100.0)])
    ledger.open("z", "small", 1.02, is_late=True)
    assert ledger.pop_decisions() == []
    assert ledger.count_waiting() == 1


def test_replica_that_left_while_starting_holds_no_calls() -> None:
    """Guard against calls that wait for a replica that is gone."""
    replicas = ["a"]
    ledger: QuotaLedger[str] = QuotaLedger(
        "entry-1", 1, lambda: replicas, TERMS.lifetime_s
    )
    ledger.configure([LARGE])
    ledger.open("x", "large", 1.0)
    (outgoing,) = ledger.poll(1.0)
    ledger.record_reply(outgoing, QuotaReply([], 0.5, False), 1.001)
    ledger.poll(2.0)
    assert isinstance(ledger.pop_decisions()[0], Unconfirmed)
    replicas[:] = ["b"]
    ledger.poll(3.0)
    ledger.open("y", "large", 3.0)
    (outgoing,) = ledger.poll(3.0)
    ledger.record_silence(outgoing, 3.15)
    (decision,) = ledger.pop_decisions()
    assert isinstance(decision, Unconfirmed)


@pytest.mark.parametrize("outage_s", [3.0, 6.0, 12.0])
def test_calls_that_outlast_their_permits_keep_to_the_bound(
    outage_s: float,
) -> None:
    """Guard against calls that wait at entries and are sent together.

    Permits are checked when calls are admitted. While endpoints take none,
    admitted calls wait for longer than a permit is valid.
    """
    site = build_site(17, 3, LARGE)
    site.load("large", 2000.0, lambda at: 2000.0)
    returns_at = site.now + 5.0 + outage_s
    begin = returns_at - outage_s
    site.run(10.0 + outage_s)
    calls = []
    for sent_at, at in zip(
        site.sent["large"], site.admitted["large"], strict=True
    ):
        calls.append((sent_at, at if at < begin else max(at, returns_at)))
    together = max_in_window(sorted(at for _, at in calls), TERMS.window_s)
    assert together > bound(LARGE)
    assert max_within_window(calls, TERMS.window_s) <= bound(LARGE)


def test_restarted_replica_that_catches_up_starts_empty() -> None:
    """Guard against a burst for each restart.

    The snapshot of a replica may be older than an organisation, which then
    looks new, but the former process may just have granted its burst.
    """
    allocator = QuotaAllocator(TERMS, 100.0)
    allocator.configure([], 5, 100.1)
    quota = organisation("large", 5.0, 100.0)
    for step in range(7):
        allocator.observe(True, True, False, 100.1 + step / 10)
    allocator.configure([quota], 5, 100.6)
    allocator.observe(True, True, False, 101.0)
    request = QuotaRequest("entry-1", [QuotaAsk("large", 50, 0)])
    (grant,) = allocator.grant(request, 101.0).grants
    assert grant.granted == 1
