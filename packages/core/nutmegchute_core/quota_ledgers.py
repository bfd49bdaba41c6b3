"""Keep, on an entry, the permits for calls and the calls that need one."""

import random
from collections import deque
from collections.abc import Callable
from collections.abc import Iterable
from math import inf
from typing import Generic
from typing import TypeVar

from .organisations import Organisation
from .probe_shares import CallRate
from .quotas import QuotaAsk
from .quotas import QuotaGrant
from .quotas import QuotaReply
from .quotas import QuotaRequest

# A request takes 1 to 3 ms between zones. Callers' objectives start at 0.5 s,
# so a silent replica must not use up more than a part of them.
TIMEOUT_S = 0.15
# A replica restarts within a second. It is then sent an empty request, and is
# asked again once it has answered: no call waits to find out.
AVOID_S = 1.0
# Pause after a reply, in multiples of the time that the reply took. Without
# it, replicas that take 1.5 ms for a message were kept so busy by 312 entries
# that they seemed silent, and calls below their quota were refused.
PAUSE_FACTOR = 3.0
# Limits of the time for which nothing is asked for an exhausted organisation.
# The upper one is above the 0.5 s that a replica names for want of tokens,
# as it names more if many entries ask: 312 entries would otherwise send one
# replica 624 requests a second for one organisation.
MIN_BLOCK_S = 0.05
MAX_BLOCK_S = 2.0
# A replica grants 0.5 s after its process began. Most of that has passed once
# it answers, so it is asked again soon.
STARTING_AVOID_S = 0.05
# How long a call waits at most while replicas answer that they start. Without
# it, 171 calls were refused in the 2 s after a power failure.
MAX_STARTING_WAIT_S = 0.4
# Calls that are late already are refused until the last answer that the quota
# is used up has this age. They would take the permits of calls that can still
# meet their objective: at 6 times the usual calls, half of the permits.
EXCEEDED_TTL_S = 1.0
UNCONFIRMED_RETRY_S = 0.2
# The longest time that spreading adds to a Retry-After. Deadlines are 3 to
# 5 s, and a caller does not return after its own.
MAX_SPREAD_S = 2.0

T = TypeVar("T")


class Permit:
    """Allow one call of an organisation until a time."""

    __slots__ = ("_expires_at", "_organisation")

    def __init__(self, organisation: str, expires_at: float) -> None:
        self._organisation = organisation
        self._expires_at = expires_at

    @property
    def organisation(self) -> str:
        """Return the organisation's name."""
        return self._organisation

    @property
    def expires_at(self) -> float:
        """Return the time from which the permit is not valid."""
        return self._expires_at


class Admitted(Generic[T]):
    """Admit a call, with its permit unless its organisation needs none."""

    __slots__ = ("call", "permit")

    def __init__(self, call: T, permit: Permit | None) -> None:
        self.call = call
        self.permit = permit


class Exceeded(Generic[T]):
    """Refuse a call beyond the quota of its organisation.

    ``replica`` answered last that it has no more, ``age_s`` ago.
    """

    __slots__ = ("age_s", "call", "quota", "replica", "retry_after_s")

    def __init__(
        self,
        call: T,
        quota: Organisation,
        retry_after_s: float,
        replica: str,
        age_s: float,
    ) -> None:
        self.call = call
        self.quota = quota
        self.retry_after_s = retry_after_s
        self.replica = replica
        self.age_s = age_s


class Unconfirmed(Generic[T]):
    """Refuse a call since no replica has answered."""

    __slots__ = ("call", "retry_after_s")

    def __init__(self, call: T) -> None:
        self.call = call
        self.retry_after_s = UNCONFIRMED_RETRY_S


Decision = Admitted[T] | Exceeded[T] | Unconfirmed[T]


class Outgoing:
    """Hold a request that is due and the replica to send it to.

    It ends with one call of ``record_reply`` or ``record_silence``.
    """

    __slots__ = ("replica", "request", "sent_at")

    def __init__(
        self, replica: str, request: QuotaRequest, sent_at: float
    ) -> None:
        self.replica = replica
        self.request = request
        self.sent_at = sent_at


class Account(Generic[T]):
    """Hold the permits, waiting calls and answers of one organisation."""

    __slots__ = (
        "answered_at",
        "answered_by",
        "blocked_until",
        "demand",
        "exceeded",
        "exceeded_at",
        "granted",
        "next_ahead",
        "next_retry_at",
        "permits",
        "pending",
        "quota",
        "remaining",
        "waiting",
        "wait_s",
    )

    def __init__(self, quota: Organisation) -> None:
        self.quota = quota
        # Expiry times, the earliest first.
        self.permits: deque[float] = deque()
        # Waiting calls in order of arrival, with its time.
        self.waiting: dict[T, float] = {}
        # Replicas that this round still has to ask; None between rounds.
        self.remaining: list[str] | None = None
        # The replica that has been asked, if one has.
        self.pending: str | None = None
        # Whether a replica has answered in this round that it has no more,
        # and the shortest time that one named.
        self.exceeded = False
        self.wait_s = inf
        self.blocked_until = -inf
        self.exceeded_at = -inf
        self.answered_by = ""
        self.answered_at = -inf
        self.next_retry_at = -inf
        # Before this time, no permits are asked without a waiting call.
        self.next_ahead = -inf
        self.demand = CallRate()
        self.granted = CallRate()

    def drop_expired(self, now: float) -> None:
        """Drop the permits that are no longer valid."""
        permits = self.permits
        while permits and permits[0] <= now:
            permits.popleft()

    def change_quota(self, quota: Organisation) -> None:
        """Apply the quota in force; refusals by another one end."""
        former, self.quota = self.quota, quota
        if (former.rate_per_s, former.burst) == (
            quota.rate_per_s,
            quota.burst,
        ):
            return
        self.blocked_until = -inf
        self.exceeded_at = -inf
        self.next_retry_at = -inf

    def discard(self, replica: str) -> None:
        """Ask a replica no more in this round."""
        if self.remaining and replica in self.remaining:
            self.remaining.remove(replica)

    def end_round(self) -> None:
        """Forget which replicas have been asked."""
        self.remaining = None
        self.exceeded = False
        self.wait_s = inf


class QuotaLedger(Generic[T]):
    """Decide which calls may run within the quotas of organisations.

    ``now`` is in seconds of a clock that also runs while the vm is suspended:
    what was granted before a suspension has expired after it. ``replicas``
    returns the addresses of the control replicas, the watched one first.
    """

    __slots__ = (
        "_accounts",
        "_asked",
        "_avoided",
        "_busy",
        "_decisions",
        "_entry",
        "_granted",
        "_held",
        "_lifetime_s",
        "_limited",
        "_due",
        "_random",
        "_ready_at",
        "_refused",
        "_replicas",
        "_starting",
    )

    def __init__(
        self,
        entry: str,
        seed: int,
        replicas: Callable[[], list[str]],
        lifetime_s: float,
    ) -> None:
        self._entry = entry
        self._random = random.Random(seed)
        self._replicas = replicas
        # Replicas name it in replies; until then it is that of the settings.
        self._lifetime_s = lifetime_s
        self._limited: dict[str, Organisation] = {}
        self._accounts: dict[str, Account[T]] = {}
        # Organisations for which a request is due, in order.
        self._due: dict[str, None] = {}
        self._busy: set[str] = set()
        # Organisations whose calls wait until a replica has started.
        self._held: dict[str, None] = {}
        # Avoided replicas that answered that they do not grant at present.
        self._starting: set[str] = set()
        # When a replica that has replied may get the next message.
        self._ready_at: dict[str, float] = {}
        self._avoided: dict[str, float] = {}
        self._decisions: list[Decision[T]] = []
        self._asked = 0
        self._granted = 0
        self._refused = 0

    @property
    def counts(self) -> tuple[int, int, int]:
        """Return how many permits were asked, granted and refused."""
        return self._asked, self._granted, self._refused

    def count_waiting(self) -> int:
        """Return the number of calls that wait for a permit."""
        return sum(len(one.waiting) for one in self._accounts.values())

    def count_exhausted(self, now: float) -> int:
        """Return the number of organisations that are at their quota."""
        accounts = self._accounts.values()
        return sum(one.blocked_until > now for one in accounts)

    def pop_decisions(self) -> list[Decision[T]]:
        """Return the decisions on calls since the last time."""
        decisions, self._decisions = self._decisions, []
        return decisions

    def configure(self, organisations: Iterable[Organisation]) -> None:
        """Apply the organisations in force.

        Calls of organisations that are gone, or no longer limited, are
        admitted without a permit; whether their key is valid is for the
        caller of this method to check.
        """
        self._limited = {one.name: one for one in organisations}
        for name, one in list(self._limited.items()):
            if not one.has_quota:
                del self._limited[name]
        for name in list(self._accounts):
            quota = self._limited.get(name)
            if quota is not None:
                self._accounts[name].change_quota(quota)
                continue
            account = self._accounts.pop(name)
            self._due.pop(name, None)
            for call in account.waiting:
                self._decisions.append(Admitted(call, None))

    def open(
        self, call: T, organisation: str, now: float, is_late: bool = False
    ) -> None:
        """Decide on a call, or let it wait for a decision.

        One that ``is_late`` cannot meet its objective any more.
        """
        account = self._find(organisation)
        if account is None:
            self._decisions.append(Admitted(call, None))
            return
        account.demand.count(now)
        account.drop_expired(now)
        if is_late and now - account.exceeded_at <= EXCEEDED_TTL_S:
            self._refuse(account, call, now)
            return
        if account.permits and not account.waiting:
            self._admit(account, call, now)
            self._ask_ahead(account, now)
            return
        if now < account.blocked_until:
            self._refuse(account, call, now)
            return
        account.waiting[call] = now
        self._due[organisation] = None
        if account.pending is None:
            self._advance(account, now)

    def cancel(self, call: T, organisation: str) -> None:
        """Forget a call that waits, or whose decision was not returned."""
        self._decisions = [one for one in self._decisions if one.call != call]
        account = self._accounts.get(organisation)
        if account is None:
            return
        account.waiting.pop(call, None)
        if not account.waiting and account.pending is None:
            account.end_round()

    def give_back(self, permit: Permit, now: float) -> None:
        """Return the permit of a call that did not run."""
        account = self._accounts.get(permit.organisation)
        if account is None or permit.expires_at <= now:
            return
        # Nearly always the earliest, and the deque is short.
        permits = sorted([*account.permits, permit.expires_at])
        account.permits = deque(permits)
        self._serve(account, now)

    def poll(self, now: float) -> list[Outgoing]:
        """Return the requests that are due now.

        Call this after each other method, and several times a second.
        """
        self._advance_held(now)
        asks: dict[str, list[QuotaAsk]] = {}
        for name in list(self._due):
            account = self._accounts[name]
            if account.pending is not None:
                continue
            replica = self._target(account, now)
            if replica is None:
                continue
            ask = self._build_ask(account, now)
            del self._due[name]
            if not ask.waiting and not ask.expected:
                continue
            account.pending = replica
            asks.setdefault(replica, []).append(ask)
            self._asked += ask.waiting + ask.expected
        found = []
        for replica in self._due_probes(now):
            asks.setdefault(replica, [])
        for replica, own in asks.items():
            self._busy.add(replica)
            request = QuotaRequest(self._entry, own)
            found.append(Outgoing(replica, request, now))
        return found

    def next_wakeup(self, now: float) -> float | None:
        """Return when ``poll`` may have a further request, if known."""
        if self._held:
            return now + STARTING_AVOID_S
        if not self._due:
            return None
        known = set(self._replicas())
        for gone in self._ready_at.keys() - known:
            del self._ready_at[gone]
        times = self._ready_at.values()
        return min((one for one in times if one > now), default=None)

    def record_reply(
        self, outgoing: Outgoing, reply: QuotaReply, now: float
    ) -> None:
        """Apply a replica's reply to a request."""
        if not reply.granting:
            # It is out of contact or has just started.
            self._starting.add(outgoing.replica)
            self._avoid(outgoing, now + STARTING_AVOID_S, now)
            return
        self._starting.discard(outgoing.replica)
        self._busy.discard(outgoing.replica)
        pause_s = PAUSE_FACTOR * (now - outgoing.sent_at)
        self._ready_at[outgoing.replica] = now + pause_s
        self._avoided.pop(outgoing.replica, None)
        self._lifetime_s = reply.lifetime_s
        expires_at = outgoing.sent_at + reply.lifetime_s
        grants = {one.organisation: one for one in reply.grants}
        for ask in outgoing.request.asks:
            account = self._accounts.get(ask.organisation)
            if account is None or account.pending != outgoing.replica:
                continue
            account.pending = None
            grant = grants.get(ask.organisation)
            if grant is None or (grant.granted and expires_at <= now):
                # Asked again, it would use up the quota for nothing.
                account.discard(outgoing.replica)
            else:
                self._record_grant(account, outgoing, ask, grant, now)
                account.permits.extend([expires_at] * grant.granted)
                self._granted += grant.granted
            self._serve(account, now)
            self._advance(account, now)

    def record_silence(self, outgoing: Outgoing, now: float) -> None:
        """Record that a replica did not reply."""
        self._starting.discard(outgoing.replica)
        self._avoid(outgoing, now + AVOID_S, now)

    def _avoid(self, outgoing: Outgoing, until: float, now: float) -> None:
        """Ask a replica no more before a time."""
        replica = outgoing.replica
        self._busy.discard(replica)
        self._avoided[replica] = until
        for ask in outgoing.request.asks:
            account = self._accounts.get(ask.organisation)
            if account is not None and account.pending == replica:
                account.pending = None
                self._advance(account, now)
        for name in list(self._due):
            account = self._accounts[name]
            if account.pending is None:
                self._advance(account, now)

    def _due_probes(self, now: float) -> list[str]:
        """Return the avoided replicas to send an empty request to."""
        if not self._avoided:
            return []
        for replica in self._avoided.keys() - set(self._replicas()):
            del self._avoided[replica]
            self._starting.discard(replica)
        due = []
        for replica, until in self._avoided.items():
            if until <= now and replica not in self._busy:
                due.append(replica)
        return due

    def _find(self, name: str) -> Account[T] | None:
        account = self._accounts.get(name)
        if account is None and name in self._limited:
            account = self._accounts[name] = Account(self._limited[name])
        return account

    def _admit(self, account: Account[T], call: T, now: float) -> None:
        permit = Permit(account.quota.name, account.permits.popleft())
        account.granted.count(now)
        self._decisions.append(Admitted(call, permit))

    def _serve(self, account: Account[T], now: float) -> None:
        """Give the permits at hand to the calls that wait longest."""
        account.drop_expired(now)
        while account.permits and account.waiting:
            call = next(iter(account.waiting))
            del account.waiting[call]
            self._admit(account, call, now)
        if not account.waiting and account.pending is None:
            account.end_round()

    def _refuse(self, account: Account[T], call: T, now: float) -> None:
        """Refuse a call beyond the quota.

        Callers return one after the other, at the rate at which this entry
        received permits: all at once they would be refused again.
        """
        blocked_s = account.blocked_until - now
        earliest = now + max(blocked_s, 1 / account.quota.rate_per_s)
        rate = max(account.granted.per_s(now), 1 / MAX_SPREAD_S)
        retry_at = max(earliest, account.next_retry_at)
        retry_at = min(retry_at, earliest + MAX_SPREAD_S)
        account.next_retry_at = retry_at + 1 / rate
        self._refused += 1
        self._decisions.append(
            Exceeded(
                call,
                account.quota,
                retry_at - now,
                account.answered_by,
                now - account.answered_at,
            )
        )

    def _ask_ahead(self, account: Account[T], now: float) -> None:
        """Ask for expected calls if the permits do not last for half."""
        if now < max(account.next_ahead, account.blocked_until):
            return
        if account.waiting or account.pending is not None:
            return
        if 2 * len(account.permits) < self._expected(account, now):
            account.next_ahead = now + self._lifetime_s / 4
            self._due[account.quota.name] = None

    def _expected(self, account: Account[T], now: float) -> int:
        return int(account.demand.per_s(now) * self._lifetime_s / 2)

    def _build_ask(self, account: Account[T], now: float) -> QuotaAsk:
        account.drop_expired(now)
        expected = self._expected(account, now) - len(account.permits)
        return QuotaAsk(
            account.quota.name, len(account.waiting), max(0, expected)
        )

    def _usable(self, account: Account[T]) -> list[str]:
        """Return the replicas that are left to ask in this round."""
        if account.remaining is None:
            account.remaining = self._order()
        return [one for one in account.remaining if one not in self._avoided]

    def _target(self, account: Account[T], now: float) -> str | None:
        """Return the replica to ask now, if any is ready.

        A call waits for the watched replica, but not for any of the others.
        """
        watched = self._replicas()[:1]
        for replica in self._usable(account):
            ready_at = self._ready_at.get(replica, -inf)
            if replica not in self._busy and ready_at <= now:
                return replica
            if replica in watched:
                return None
        return None

    def _order(self) -> list[str]:
        replicas = self._replicas()
        others = replicas[1:]
        self._random.shuffle(others)
        return [*replicas[:1], *others]

    def _record_grant(
        self,
        account: Account[T],
        outgoing: Outgoing,
        ask: QuotaAsk,
        grant: QuotaGrant,
        now: float,
    ) -> None:
        account.answered_by = outgoing.replica
        account.answered_at = now
        if grant.granted >= ask.waiting:
            return
        account.exceeded = True
        account.wait_s = min(account.wait_s, grant.wait_s)
        account.discard(outgoing.replica)

    def _may_hold(self, account: Account[T], now: float) -> bool:
        """Return whether calls wait until a replica has started."""
        if account.exceeded or not self._starting:
            return False
        since = next(iter(account.waiting.values()))
        return now - since < MAX_STARTING_WAIT_S

    def _advance_held(self, now: float) -> None:
        """Ask again for calls that waited for a replica, or refuse them."""
        held, self._held = self._held, {}
        for name in held:
            account = self._accounts.get(name)
            if account is not None and account.pending is None:
                self._advance(account, now)

    def _advance(self, account: Account[T], now: float) -> None:
        """Ask the next replica for waiting calls, or refuse them."""
        name = account.quota.name
        if not account.waiting:
            account.end_round()
            return
        if self._usable(account):
            self._due[name] = None
            return
        self._due.pop(name, None)
        if self._may_hold(account, now):
            self._held[name] = None
            account.end_round()
            return
        waiting = list(account.waiting)
        account.waiting.clear()
        if account.exceeded:
            account.exceeded_at = now
            block_s = min(max(account.wait_s, MIN_BLOCK_S), MAX_BLOCK_S)
            account.blocked_until = now + block_s
            for call in waiting:
                self._refuse(account, call, now)
        else:
            for call in waiting:
                self._decisions.append(Unconfirmed(call))
        account.end_round()
