"""Obtain permits for the calls of organisations with a quota, on an entry."""

import asyncio
import secrets
from collections.abc import Callable

from nutmegchute_core.calls import Lose
from nutmegchute_core.calls import Refuse
from nutmegchute_core.calls import Throttle
from nutmegchute_core.quota_ledgers import Admitted
from nutmegchute_core.quota_ledgers import Decision
from nutmegchute_core.quota_ledgers import Exceeded
from nutmegchute_core.quota_ledgers import Outgoing
from nutmegchute_core.quota_ledgers import QuotaLedger
from nutmegchute_core.quota_ledgers import TIMEOUT_S

from .clocks import boot_time
from .dispatchers import CALLER_CHECK_AGE_S
from .dispatchers import end_call
from .dispatchers import STOPPING_RETRY_S
from .events import Event
from .events import log
from .identities import Identifier
from .links import Links
from .methods import ASK
from .metrics import Metrics
from .pending_calls import PendingCall
from .settings import Settings
from .sockets import is_peer_closed

# An organisation near its quota reaches it many times a minute.
LOG_INTERVAL_S = 10.0
# Silences in succession after which a connection is opened anew: TCP
# retransmits on a connection that a partition broke only after seconds. The
# watched replica's connection is left to the watcher.
DROP_AFTER = 3
EXCEEDED_REASON = "the organisation's quota is used up"
UNCONFIRMED_REASON = "the organisation's quota cannot be confirmed"
STOPPING_REASON = "entry is stopping"

Admit = Callable[[], None]
EndCall = Callable[[PendingCall], None]


class Waiting:
    """Hold how to admit a call that waits for a permit, and since when.

    ``organisation`` is the one whose permit it waits for: the call may belong
    to another one after a change of the configuration.
    """

    __slots__ = ("admit", "organisation", "since")

    def __init__(self, admit: Admit, organisation: str, since: float) -> None:
        self.admit = admit
        self.organisation = organisation
        self.since = since


class QuotaClient:
    """Let calls wait for permits and carry the ledger's messages.

    ``replicas`` returns the gRPC addresses of the control replicas, the best
    first. ``deny`` ends a call whose key is no longer valid, ``on_refused``
    is called with each call that ends here without having run. Not
    thread-safe: use it on the event loop only.
    """

    __slots__ = (
        "_confirmed",
        "_counted",
        "_deny",
        "_ending",
        "_identifier",
        "_ledger",
        "_links",
        "_logged_at",
        "_loop",
        "_metrics",
        "_on_refused",
        "_pumping",
        "_replicas",
        "_silences",
        "_tasks",
        "_timer",
        "_waiting",
    )

    def __init__(
        self,
        *,
        settings: Settings,
        links: Links,
        metrics: Metrics,
        identifier: Identifier,
        replicas: Callable[[], list[str]],
        deny: EndCall,
        on_refused: EndCall,
    ) -> None:
        self._links = links
        self._metrics = metrics
        self._identifier = identifier
        self._replicas = replicas
        self._deny = deny
        self._on_refused = on_refused
        self._loop = asyncio.get_running_loop()
        self._ledger: QuotaLedger[PendingCall] = QuotaLedger(
            settings.name,
            secrets.randbits(32),
            replicas,
            settings.quota_terms.lifetime_s,
        )
        self._waiting: dict[PendingCall, Waiting] = {}
        # The event loop itself holds only weak references to tasks.
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._silences: dict[str, int] = {}
        self._confirmed = True
        # When each limited organisation was last logged to be at its quota.
        self._logged_at: dict[str, float] = {}
        self._counted = (0, 0, 0)
        self._pumping = False
        self._ending = False

    @property
    def waiting(self) -> int:
        """Return the number of calls that wait for a permit."""
        return len(self._waiting)

    def count_exhausted(self) -> int:
        """Return the number of organisations at their quota."""
        return self._ledger.count_exhausted(boot_time())

    def configure(self) -> None:
        """Apply the organisations that the identifier has in force."""
        by_name = self._identifier.organisations.by_name
        self._ledger.configure(by_name.values())
        for name in self._logged_at.keys() - by_name.keys():
            del self._logged_at[name]
        for call, waiting in list(self._waiting.items()):
            if not self._identifier.confirm(call):
                self._forget(call)
                self._on_refused(call)
                self._deny(call)
                continue
            if self._has_moved(call, waiting):
                self._forget(call)
                self._reopen(call, waiting)
        self._pump()

    def open(
        self, call: PendingCall, admit: Admit, is_late: bool = False
    ) -> None:
        """Call ``admit`` once the call has a valid permit, or end the call.

        A call that has one already keeps it. One that ``is_late`` cannot meet
        its objective any more.
        """
        organisation = call.organisation
        if organisation is None or not organisation.has_quota:
            admit()
            return
        now = boot_time()
        permit = call.permit
        if permit is not None:
            is_own = permit.organisation == organisation.name
            if is_own and permit.expires_at > now:
                admit()
                return
            # Expired, or the key has moved since.
            self.give_back(call)
        if self._ending:
            self._refuse_stopping(call)
            return
        self._waiting[call] = Waiting(admit, organisation.name, now)
        self._ledger.open(call, organisation.name, now, is_late)
        self._pump()

    def give_back(self, call: PendingCall) -> None:
        """Return the permit of a call that did not run."""
        permit, call.permit = call.permit, None
        if permit is None:
            return
        self._ledger.give_back(permit, boot_time())
        # Not at once: the dispatcher is carrying out actions.
        self._loop.call_soon(self._pump)

    def close_call(self, call: PendingCall) -> None:
        """Forget a call whose worker has stopped waiting."""
        if call in self._waiting:
            self._forget(call)

    def sweep(self) -> None:
        """End calls whose caller has disconnected; send what is due."""
        now = boot_time()
        for call, waiting in list(self._waiting.items()):
            if now - waiting.since < CALLER_CHECK_AGE_S:
                break
            # A claimed call continues without its caller.
            if call.claimed or not is_peer_closed(call.socket_number):
                continue
            self._metrics.count("abandoned")
            self._forget(call)
            end_call(call, Lose(0, "caller has gone"))
        self._pump()
        self._count()

    def end_all(self) -> None:
        """Refuse all calls that wait, and all later ones."""
        self._ending = True
        for call in list(self._waiting):
            self._forget(call)
            self._refuse_stopping(call)

    def stop(self) -> None:
        """Cancel the requests in flight."""
        if self._timer is not None:
            self._timer.cancel()
        for task in self._tasks:
            task.cancel()

    def _forget(self, call: PendingCall) -> None:
        waiting = self._waiting.pop(call)
        self._ledger.cancel(call, waiting.organisation)

    def _has_moved(self, call: PendingCall, waiting: Waiting) -> bool:
        """Return whether a call's key belongs to another organisation now."""
        if call.organisation is None:
            return True
        return call.organisation.name != waiting.organisation

    def _reopen(self, call: PendingCall, waiting: Waiting) -> None:
        """Let a call wait for a permit of its new organisation."""
        call.arrival.deduct_wait(boot_time() - waiting.since)
        self.open(call, waiting.admit)

    def _refuse_stopping(self, call: PendingCall) -> None:
        self._on_refused(call)
        end_call(call, Refuse(0, STOPPING_REASON, STOPPING_RETRY_S))

    def _pump(self) -> None:
        """Carry out what the ledger has decided.

        Entered again while a decision is carried out, it does nothing: the
        outermost call goes on until there is none left.
        """
        if self._pumping:
            return
        self._pumping = True
        try:
            while True:
                for outgoing in self._ledger.poll(boot_time()):
                    task = self._loop.create_task(self._send(outgoing))
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)
                decisions = self._ledger.pop_decisions()
                if not decisions:
                    self._schedule_wakeup()
                    return
                for decision in decisions:
                    self._carry_out(decision)
        finally:
            self._pumping = False

    def _schedule_wakeup(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        now = boot_time()
        at = self._ledger.next_wakeup(now)
        if at is not None:
            self._timer = self._loop.call_later(at - now, self._pump)

    async def _send(self, outgoing: Outgoing) -> None:
        address = outgoing.replica
        reply = await self._links.send_request(
            address, ASK, outgoing.request, TIMEOUT_S
        )
        now = boot_time()
        if reply is None:
            self._ledger.record_silence(outgoing, now)
            self._count_silence(address)
        else:
            self._ledger.record_reply(outgoing, reply, now)
            self._silences.pop(address, None)
            if reply.granting and not self._confirmed:
                self._confirmed = True
                log(Event.QUOTAS_CONFIRMED)
        self._pump()

    def _count_silence(self, address: str) -> None:
        replicas = self._replicas()
        for gone in self._silences.keys() - set(replicas):
            del self._silences[gone]
        self._silences[address] = self._silences.get(address, 0) + 1
        if self._silences[address] % DROP_AFTER:
            return
        if address not in replicas[:1]:
            self._links.drop(address)

    def _carry_out(self, decision: Decision[PendingCall]) -> None:
        call = decision.call
        waiting = self._waiting.pop(call, None)
        if isinstance(decision, Admitted):
            call.permit = decision.permit
        if waiting is None:
            # Ended by an earlier decision of the same batch.
            self.give_back(call)
            return
        if isinstance(decision, Admitted):
            self._admit(call, waiting)
            return
        self._on_refused(call)
        if isinstance(decision, Exceeded):
            self._throttle(call, decision)
            return
        self._metrics.count("permits_unconfirmed")
        if self._confirmed:
            self._confirmed = False
            log(Event.QUOTAS_UNCONFIRMED, "warning")
        refuse = Refuse(0, UNCONFIRMED_REASON, decision.retry_after_s)
        end_call(call, refuse)

    def _admit(self, call: PendingCall, waiting: Waiting) -> None:
        waited_s = boot_time() - waiting.since
        if not self._identifier.confirm(call):
            self.give_back(call)
            self._on_refused(call)
            self._deny(call)
            return
        if self._has_moved(call, waiting):
            self.give_back(call)
            self._reopen(call, waiting)
            return
        call.arrival.deduct_wait(waited_s)
        waiting.admit()

    def _throttle(
        self, call: PendingCall, decision: Exceeded[PendingCall]
    ) -> None:
        quota = decision.quota
        call.record.quota = {
            "rate_per_s": quota.rate_per_s,
            "burst": quota.burst,
            "replica": decision.replica,
            "age_ms": round(decision.age_s * 1000, 1),
        }
        now = boot_time()
        logged_at = self._logged_at.get(quota.name)
        if logged_at is None or now - logged_at >= LOG_INTERVAL_S:
            self._logged_at[quota.name] = now
            log(
                Event.QUOTA_REACHED,
                organisation=quota.name,
                rate_per_s=quota.rate_per_s,
                burst=quota.burst,
            )
        end_call(call, Throttle(0, EXCEEDED_REASON, decision.retry_after_s))

    def _count(self) -> None:
        """Add what the ledger counted since the last sweep to the metrics."""
        asked, granted, refused = self._ledger.counts
        before = self._counted
        self._counted = (asked, granted, refused)
        self._metrics.count("permits_asked", asked - before[0])
        self._metrics.count("permits_granted", granted - before[1])
        self._metrics.count("permits_refused", refused - before[2])
