"""Simulate entries and endpoints that make demands, in virtual time.

Endpoints name rate limits, ask single entries for rest, or say that they
leave. The checks count what endpoints saw, load queries included.
"""

import heapq
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

from nutmegchute_core.balancers import Balancer
from nutmegchute_core.calls import Action
from nutmegchute_core.calls import ANSWERED
from nutmegchute_core.calls import Cancel
from nutmegchute_core.calls import Finish
from nutmegchute_core.calls import NOT_RUN
from nutmegchute_core.calls import Probe
from nutmegchute_core.calls import Refuse
from nutmegchute_core.calls import Result
from nutmegchute_core.calls import Send
from nutmegchute_core.entry_groups import EntryGroup
from nutmegchute_core.entry_groups import group_of
from nutmegchute_core.limit_boards import LimitBoard
from nutmegchute_core.limit_boards import LimitReport
from nutmegchute_core.members import Announcement
from nutmegchute_core.mirrors import NO_WATERMARK
from nutmegchute_core.mirrors import Watermark
from nutmegchute_core.notices import Notice
from nutmegchute_core.rate_limits import BY_OTHERS
from nutmegchute_core.reachability import ANSWERED as ANSWERED_CHECK
from nutmegchute_core.reachability import LinkCheck
from nutmegchute_core.rules import Rule
from nutmegchute_core.rules import Service
from support import build_result

SERVICE = "desk"
ZONES = ["az-1", "az-2", "az-3"]
SLOTS = 3
QUEUE = 6
WORK_S = 0.12
NETWORK_S = 0.001
QUERY_S = 0.002
# Longest time until a report reaches control, and a change the entries.
MAX_REPORT_S = 0.15
MAX_NEWS_S = 0.3
MAX_GROUP_S = 1.8
DEADLINE_S = 2.5
OBJECTIVE_S = 0.3
ATTEMPTS = 2
CALLER_RETRIES = 2
EXTRA_SHARE = 0.2
QUERIES_PER_S = 60.0
# When the groups of entries are settled and calls begin.
BEGIN_S = 3.0

WINDOW_S = 4.0
LEARN_S = 3.0
GRACE_S = 0.5


RULE = Rule(
    {
        "name": "look",
        "idempotent": True,
        "deadline_ms": DEADLINE_S * 1000,
        "objective_ms": OBJECTIVE_S * 1000,
        "attempts": ATTEMPTS,
    }
)


class Upstream:
    """Simulate one endpoint and record what reaches it."""

    def __init__(self, number: int, names_on_queries: bool) -> None:
        self.announcement = Announcement(
            service=SERVICE,
            endpoint=f"10.0.{number // 250}.{number % 250}:80",
            availability_zone=ZONES[number % 3],
            slots=SLOTS,
            incarnation=1,
            instance=f"i-{number}",
        )
        self.names_on_queries = names_on_queries
        self.limit: float | None = None
        self.is_leaving = False
        # When each entry first got an answer that says so.
        self.told_leaving: dict[str, float] = {}
        # Rest asked for by turning calls away, None to run them.
        self.rest_s: float | None = None
        # Begin and end of the rests asked for, by entry.
        self.rests: dict[str, list[tuple[float, float]]] = {}
        self.load = 0
        # Entry and time of each call and load query, and of each answer to a
        # call that named a limit.
        self.arrivals: list[tuple[str, float]] = []
        # Times of the calls among them.
        self.calls: list[float] = []
        self.told: dict[str, float] = {}
        # Entries that restarted or were cut off.
        self.excused: set[str] = set()

    @property
    def address(self) -> str:
        """Return the endpoint's address."""
        return self.announcement.endpoint


class Caller:
    """Hold one request of a caller, which retries where it is refused."""

    def __init__(self, now: float) -> None:
        self.deadline_at = now + DEADLINE_S
        self.arrived_at = now
        self.retries = 0


class Entry:
    """Hold one start of an entry."""

    def __init__(self, name: str, zone: str, seed: int) -> None:
        self.name = name
        self.zone = zone
        self.balancer = Balancer(seed, zone, name=name)
        self.is_cut = False
        # Replaced by a later start of the same entry.
        self.ended = False
        self.tick_at: float | None = None


class Model:
    """Simulate entries, endpoints and the news that control passes on."""

    def __init__(
        self,
        entries: int,
        upstreams: int,
        seed: int,
        names_on_queries: bool = True,
    ) -> None:
        self.now = 0.0
        self.random = Random(seed)
        self.outcomes: Counter[str] = Counter()
        self.retry_after_s: list[float] = []
        # Arrival and wait of each refused call.
        self.refusals: list[tuple[float, float]] = []
        self._callers: dict[tuple[Entry, int], Caller] = {}
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._count = 0
        self._board = LimitBoard(1)
        self.upstreams = {}
        for number in range(upstreams):
            upstream = Upstream(number, names_on_queries)
            self.upstreams[upstream.address] = upstream
        self._zones = {f"entry-{n}": ZONES[n % 3] for n in range(entries)}
        self.entries = [self._start_entry(name) for name in self._zones]

    def at(
        self, when: float, function: Callable[..., None], *args: Any
    ) -> None:
        """Schedule a function."""
        self._count += 1
        heapq.heappush(self._events, (when, self._count, function, args))

    def run(self, until: float) -> None:
        """Run until a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, function, args = heapq.heappop(self._events)
            function(*args)
        self.now = until

    def schedule_calls(self, per_s: float, until: float) -> None:
        """Schedule calls at random entries, from BEGIN_S on."""
        when = BEGIN_S
        while when < until:
            when += self.random.expovariate(per_s)
            self.at(when, self._call)

    def restart(self, number: int) -> None:
        """Restart an entry; it knows nothing but what control sends."""
        entry = self.entries[number]
        entry.ended = True
        for upstream in self.upstreams.values():
            upstream.excused.add(entry.name)
        self.entries[number] = self._start_entry(entry.name)

    def cut(self, number: int, seconds: float) -> None:
        """Cut an entry off from control for a while."""
        entry = self.entries[number]
        entry.is_cut = True
        for upstream in self.upstreams.values():
            upstream.excused.add(entry.name)
        self.at(self.now + seconds, self._reconnect, entry)

    def _reconnect(self, entry: Entry) -> None:
        entry.is_cut = False
        entry.balancer.groups.update(group_of(self._zones), self.now)

    def flap(self, upstreams: list[Upstream]) -> None:
        """Let endpoints vanish from the announcements for a moment."""
        gone = {one.address for one in upstreams}
        for entry in self.entries:
            self._announce(entry, gone)
            self.at(self.now + 0.1, self._announce, entry, set())

    def _announce(self, entry: Entry, gone: set[str]) -> None:
        if entry.ended:
            return
        live = [
            one.announcement
            for one in self.upstreams.values()
            if one.address not in gone
        ]
        actions = entry.balancer.update_upstreams(live, self.now)
        self._perform(entry, actions)

    def join(self) -> None:
        """Start another entry; the others are told a little later."""
        name = f"entry-{len(self.entries)}"
        self._zones[name] = ZONES[len(self.entries) % 3]
        self.entries.append(self._start_entry(name))
        group = group_of(self._zones)
        for entry in self.entries:
            delay_s = self.random.uniform(0.0, MAX_GROUP_S)
            self.at(self.now + delay_s, self._update_group, entry, group)

    def served_share(self) -> float:
        """Return the share of the ended calls that were answered."""
        return self.outcomes["answered"] / sum(self.outcomes.values())

    def _update_group(self, entry: Entry, group: EntryGroup) -> None:
        if not entry.is_cut:
            entry.balancer.groups.update(group, self.now)

    def _start_entry(self, name: str) -> Entry:
        entry = Entry(name, self._zones[name], self.random.getrandbits(32))
        balancer = entry.balancer
        balancer.configure({SERVICE: Service(SERVICE, {"slots": SLOTS})}, 0.0)
        balancer.groups.update(group_of(self._zones), self.now)
        balancer.limit_extra_sends(EXTRA_SHARE, 3.0)
        balancer.limit_inquiries(QUERIES_PER_S, 1 / len(self._zones))
        self._announce(entry, set())
        self._send_news(entry, NO_WATERMARK)
        return entry

    def _call(self, caller: Caller | None = None) -> None:
        caller = caller or Caller(self.now)
        entry = self.random.choice(self.entries)
        left_s = caller.deadline_at - self.now
        call_id, actions = entry.balancer.arrive_with_rule(
            SERVICE, RULE, self.now, left_s
        )
        self._callers[entry, call_id] = caller
        caller.arrived_at = self.now
        self._perform(entry, actions)

    def _perform(self, entry: Entry, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self.at(self.now + NETWORK_S, self._run, entry, action)
            elif isinstance(action, Probe):
                self.at(self.now + NETWORK_S, self._query, entry, action)
            elif isinstance(action, LinkCheck):
                self.at(self.now + NETWORK_S, self._check_link, entry, action)
            elif not isinstance(action, Cancel):
                self._end(entry, action)
        changes = entry.balancer.demands.rate_limits.pop_changes()
        learned = [one for one in changes if one.source != BY_OTHERS]
        if learned:
            delay_s = self.random.uniform(0.0, MAX_REPORT_S)
            reports = [one.report for one in learned]
            self.at(self.now + delay_s, self._report, entry, reports, self.now)
        at = entry.balancer.next_wakeup()
        if at is None:
            return
        if entry.tick_at is None or at < entry.tick_at:
            entry.tick_at = at
            self.at(max(at, self.now), self._tick, entry, at)

    def _tick(self, entry: Entry, at: float) -> None:
        if entry.ended or entry.tick_at != at:
            return
        entry.tick_at = None
        self._perform(entry, entry.balancer.tick(self.now))

    def _end(self, entry: Entry, action: Any) -> None:
        caller = self._callers.pop((entry, action.call_id), None)
        if caller is None:
            return
        if isinstance(action, Refuse):
            waited_s = self.now - caller.arrived_at
            self.refusals.append((caller.arrived_at, waited_s))
            self.retry_after_s.append(action.retry_after_s)
            self._try_again(caller, action.retry_after_s)
        elif isinstance(action, Finish):
            self.outcomes["answered"] += 1
        else:
            self.outcomes["lost"] += 1

    def _try_again(self, caller: Caller, pause_s: float) -> None:
        """Repeat a refused call, at most CALLER_RETRIES times."""
        left_s = caller.deadline_at - self.now
        pause_s = min(pause_s, left_s / 3)
        if caller.retries >= CALLER_RETRIES or left_s < WORK_S:
            self.outcomes["refused"] += 1
            return
        caller.retries += 1
        self.at(self.now + pause_s, self._call, caller)

    def _run(self, entry: Entry, send: Send) -> None:
        upstream = self.upstreams[send.endpoint]
        upstream.arrivals.append((entry.name, self.now))
        upstream.calls.append(self.now)
        if upstream.rest_s is not None or upstream.load >= SLOTS + QUEUE:
            self._answer(entry, send, upstream, NOT_RUN)
            return
        upstream.load += 1
        over = max(0, upstream.load - SLOTS)
        work_s = WORK_S * self.random.uniform(0.7, 1.3) * (1 + over / SLOTS)
        self.at(self.now + work_s, self._finish, entry, send, upstream)

    def _finish(self, entry: Entry, send: Send, upstream: Upstream) -> None:
        upstream.load -= 1
        self._answer(entry, send, upstream, ANSWERED)

    def _answer(
        self, entry: Entry, send: Send, upstream: Upstream, outcome: str
    ) -> None:
        result = build_result(
            call_id=send.call_id,
            attempt=send.attempt,
            outcome=outcome,
            latency_s=WORK_S,
            load=upstream.load,
            stretch=1.0,
            shed=outcome == NOT_RUN,
            notice=Notice(
                send.process_key,
                send.sent_at,
                upstream.limit,
                rest_s=upstream.rest_s,
                is_leaving=upstream.is_leaving,
            ),
        )
        if upstream.rest_s is not None:
            until = self.now + upstream.rest_s
            rests = upstream.rests.setdefault(entry.name, [])
            rests.append((self.now, until))
        self.at(self.now + NETWORK_S, self._receive, entry, result, upstream)

    def _receive(
        self, entry: Entry, result: Result, upstream: Upstream
    ) -> None:
        if entry.ended:
            return
        assert result.notice is not None
        if result.notice.rate_limit is not None:
            upstream.told.setdefault(entry.name, self.now)
        if result.notice.is_leaving:
            upstream.told_leaving.setdefault(entry.name, self.now)
        self._perform(entry, entry.balancer.finish(result, self.now))

    def _check_link(self, entry: Entry, check: LinkCheck) -> None:
        self.upstreams[check.endpoint].arrivals.append((entry.name, self.now))
        actions = entry.balancer.record_check(
            check.endpoint, ANSWERED_CHECK, self.now
        )
        self._perform(entry, actions)

    def _query(self, entry: Entry, probe: Probe) -> None:
        upstream = self.upstreams[probe.endpoint]
        upstream.arrivals.append((entry.name, self.now))
        limit = upstream.limit if upstream.names_on_queries else None
        notice = Notice(
            probe.process_key,
            probe.sent_at,
            limit,
            to_query=True,
            is_leaving=upstream.is_leaving,
        )
        self.at(self.now + QUERY_S, self._report_load, entry, upstream, notice)

    def _report_load(
        self, entry: Entry, upstream: Upstream, notice: Notice
    ) -> None:
        if entry.ended:
            return
        if notice.is_leaving:
            upstream.told_leaving.setdefault(entry.name, self.now)
        actions = entry.balancer.record_probe(
            SERVICE,
            upstream.address,
            upstream.load,
            QUERY_S,
            self.now,
            1.0,
            True,
            None,
            notice,
        )
        self._perform(entry, actions)

    def _report(
        self, entry: Entry, reports: list[LimitReport], sent_at: float
    ) -> None:
        """Pass an entry's reports to control, which passes on changes."""
        if entry.is_cut:
            self.at(self.now + 0.5, self._report, entry, reports, sent_at)
            return
        known = self._board.watermark
        delay_s = self.now - sent_at
        aged = []
        for report in reports:
            age_s = report.age_s + delay_s
            key = report.process_key
            aged.append(LimitReport(*key, report.per_s, age_s))
        if not self._board.apply(aged, self.now, is_own=True):
            return
        for other in self.entries:
            news_s = self.random.uniform(0.0, MAX_NEWS_S)
            self.at(self.now + news_s, self._send_news, other, known)

    def _send_news(self, entry: Entry, known: Watermark) -> None:
        if entry.ended:
            return
        if entry.is_cut:
            self.at(self.now + 0.5, self._send_news, entry, known)
            return
        update = self._board.since(known, self.now)
        if update is not None:
            actions = entry.balancer.apply_limits(update, self.now)
            self._perform(entry, actions)


def max_over_limit(upstream: Upstream, named_at: float, limit: float) -> float:
    """Return the most arrivals in any WINDOW_S beyond what a limit allows.

    Counted are entries that passed on an answer with the limit, from GRACE_S
    after it on, and not those that restarted or were cut off.
    """
    times = []
    for entry, at in upstream.arrivals:
        told_at = upstream.told.get(entry)
        if told_at is None or entry in upstream.excused:
            continue
        if at >= max(told_at + GRACE_S, named_at + LEARN_S):
            times.append(at)
    most = 0
    first = 0
    for last, at in enumerate(times):
        while at - times[first] > WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most - (1.5 * limit * WINDOW_S + 5)


def max_during_rest(upstream: Upstream) -> int:
    """Return the most arrivals from an entry during a rest it was asked for.

    Those of the first GRACE_S of the rest do not count.
    """
    most = 0
    for name, rests in upstream.rests.items():
        if name in upstream.excused:
            continue
        arrivals = [at for entry, at in upstream.arrivals if entry == name]
        for begin, end in rests:
            found = sum(begin + GRACE_S < at < end for at in arrivals)
            most = max(most, found)
    return most
