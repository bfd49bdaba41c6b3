"""Run the router role: an entry that control tells all it needs.

Callers speak to hosts and paths; routes of the configuration say which
service a request goes to. Endpoints announce themselves to control.
"""

import asyncio
import random
import secrets

from nutmegchute_core.balancers import Balancer
from nutmegchute_core.budgets import ExtraLimit
from nutmegchute_core.budgets import MIN_BURST
from nutmegchute_core.calls import Refuse
from nutmegchute_core.calls import Reject
from nutmegchute_core.calls import Result
from nutmegchute_core.catalogs import Catalog
from nutmegchute_core.directories import EntryInfo
from nutmegchute_core.members import Announcement
from nutmegchute_core.members import Process
from nutmegchute_core.pauses import PauseDetector
from nutmegchute_core.probe_shares import CallRate
from nutmegchute_core.probe_shares import ProbeShare
from nutmegchute_core.replica_choosers import ReplicaChooser
from nutmegchute_core.routes import BUFFER_BYTES
from nutmegchute_core.routes import read_routes
from nutmegchute_core.routes import RouteTable
from nutmegchute_core.rules import CallerLimits
from nutmegchute_core.rules import read_limits
from nutmegchute_core.rules import read_services
from nutmegchute_core.sessions import WatchReply
from nutmegchute_core.sessions import WatchRequest

from .call_formats import CallFormat
from .callers import CallHandler
from .clocks import boot_time
from .connections import ConnectionPool
from .daemons import Daemon
from .dispatchers import Dispatcher
from .dispatchers import end_call
from .dispatchers import SWEEP_S
from .events import Event
from .events import log
from .exchanges import StrictRequest
from .pending_calls import PendingCall
from .probes import Prober
from .quarantines import QuarantineReporter
from .senders import Sender
from .settings import Settings
from .trees import TreeCopy
from .watchers import Watcher

DRAIN_TICK_S = 0.05
EXPIRE_S = 0.5
HEALTH_THREADS = 2
# A router that has just started has its configuration in a tenth of a second
# or two where control is there; calls are held so long, and not sent away.
UNCONFIGURED_HOLD_S = 0.6
UNCONFIGURED_RETRY_S = 0.2
LEAVING_RETRY_S = 0.1
# Of the time that a stop may take, this much is left for the last answers
# to be written and for the process to end.
STOP_MARGIN_S = 0.5
EVERYTHING = b"/"


class RouterDaemon(Daemon):
    """Stand between callers and upstreams, told by control."""

    def __init__(
        self, settings: Settings, call_format: CallFormat | None = None
    ) -> None:
        super().__init__(settings)
        self._format = call_format or CallFormat()

    def prepare(self) -> None:
        """Build the decisions' state and mount the callers' side."""
        settings = self._settings
        self._balancer = Balancer(
            secrets.randbits(32),
            settings.availability_zone,
            name=settings.name,
        )
        self._catalog = Catalog()
        self._tree = TreeCopy()
        self._table: RouteTable | None = None
        self._phase = random.random()
        self._members = -1
        self._entries = 1
        # Until a replica has counted all, this entry saves up hardly any
        # extra sends: with the first replica's few, each would take the
        # whole budget for its own.
        self._counted = False
        self._rate = CallRate()
        self._shares = ProbeShare()
        self._leaving = False
        # A replica in contact with the others has told what it knows.
        self._in_touch = False
        self._pause = PauseDetector(boot_time())
        # Calls that wait for word of control, and since when.
        self._held: list[tuple[float, PendingCall]] = []
        self._hold_until = boot_time() + UNCONFIGURED_HOLD_S
        self._watcher = Watcher(
            ReplicaChooser(
                settings.name,
                settings.availability_zone,
                settings.seeds,
                settings.grpc_address,
            ),
            self._links,
            self,
        )
        self._connections = ConnectionPool()
        self._processes: dict[str, Process] = {}
        self._replicas: list[str] = []
        self._handler = CallHandler(
            runner=self._runner,
            sender=Sender(self._connections, self._format),
            name=settings.name,
            body_bytes=settings.request_body_bytes,
            threads=settings.http_threads,
            call_format=self._format,
        )
        self._prober = Prober(
            self._runner, Sender(self._connections, self._format)
        )
        self._dispatcher = Dispatcher(
            balancer=self._balancer,
            metrics=self._metrics,
            hedge=self._handler.hedge,
            query_load=self._prober.enqueue,
            settle=_settle_nothing,
        )
        self._reporter = QuarantineReporter(
            self._links,
            lambda: self._replicas,
            self._dispatcher.apply_ruling,
        )
        self._dispatcher.on_reports = self._reporter.submit
        self._prober.on_result = self._dispatcher.record_probe
        self._handler.dispatcher = self
        self._handler.buffer_limit = self._buffer_bytes
        self._http.add_handler(EVERYTHING, self._handler)
        health = self.add_listener(
            "health_address", settings.health_address, HEALTH_THREADS
        )
        if health is not None:
            health.add_handler(EVERYTHING, self._answer_health)
        self._share_extra()
        self._share_inquiries()
        self._bound_warm_ups()

    def begin(self) -> None:
        """Start the periodic work."""
        self._watcher.start()
        self.every(SWEEP_S, self._sweep)
        self.every(EXPIRE_S, self._expire)
        self.every(0, self._reporter.run)

    def gauges(self) -> dict[str, float]:
        """Give what tells whether this entry can serve."""
        return {
            "in_flight": self._balancer.in_flight,
            "upstreams": len(self._catalog.live()),
            "entries": self._entries,
            "config_index": self._tree.index,
            "evacuated_zones": len(
                self._balancer.evacuations.availability_zones
            ),
        }

    @property
    def ready(self) -> bool:
        """Tell whether calls can be served here."""
        if self._leaving or self._table is None:
            return False
        return self._in_touch and self._catalog.has_synced

    async def finish(self) -> None:
        """Leave the directory, serve those who still come, end the calls."""
        self._leaving = True
        log(Event.DRAINING)
        self._watcher.renew()
        # Callers keep an answer of the directory for a while. Those who
        # come meanwhile are served; each answer closes its connection.
        self._http.disable_keep_alive()
        await asyncio.sleep(self._settings.send_on_s)
        # What comes later might not be answered in time any more. Other
        # entries can take it at once.
        self._handler.refusal_retry_s = LEAVING_RETRY_S
        self._handler.refusal = "entry is leaving"
        while self._handler.active:
            await asyncio.sleep(DRAIN_TICK_S)

    def cut(self) -> int:
        """End the calls in flight; return how many there were."""
        self._handler.refusal = "entry is stopping"
        self._dispatcher.end_all()
        return self._handler.active

    def close(self) -> None:
        """Let go of the helping threads."""
        self._watcher.stop()
        self._dispatcher.stop()
        self._prober.stop()

    def reload(self, settings: Settings) -> None:
        """Take seeds and limits from settings that have changed."""
        super().reload(settings)
        self._watcher.replace_seeds(settings.seeds)
        self._share_extra()
        self._share_inquiries()
        self._bound_warm_ups()

    def open_call(self, call: PendingCall) -> None:
        """Admit a call; its actions are queued on it."""
        self._rate.count(boot_time())
        self._look_for_pause()
        if self._must_hold():
            self._held.append((boot_time(), call))
            return
        self._route(call)

    def _must_hold(self) -> bool:
        """Tell whether calls wait for word of control."""
        now = boot_time()
        if not self._leaving and not self.ready and now < self._hold_until:
            return True
        return self._pause.is_holding(now)

    def _buffer_bytes(self, host: str, path: str) -> int:
        """Tell how much of a body to keep; worker threads call this.

        A table never changes once it is in force.
        """
        table = self._table
        route = None if table is None else table.find(host, path)
        return BUFFER_BYTES if route is None else route.buffer_bytes

    def _route(self, call: PendingCall) -> None:
        if self._table is None:
            refuse = Refuse(0, "no configuration yet", UNCONFIGURED_RETRY_S)
            end_call(call, refuse)
            return
        arrival = call.arrival
        route = self._table.find(arrival.host, arrival.path)
        if route is None:
            end_call(call, Reject(0, "no route covers this host and path"))
            return
        call.record.route = route.name
        call.record.service = route.choose()
        self._dispatcher.admit_with_rule(call, call.record.service, route.rule)

    def end_attempt(self, call: PendingCall, result: Result) -> None:
        """Take the end of an attempt."""
        self._dispatcher.end_attempt(call, result)

    def close_call(self, call: PendingCall) -> None:
        """Forget a call whose worker has written its answer."""
        self._dispatcher.close_call(call)
        self._log_call(call)

    def _log_call(self, call: PendingCall) -> None:
        record = call.record
        log(
            Event.CALL_ENDED,
            request=call.name,
            fingerprint=call.fingerprint,
            route=record.route,
            service=record.service,
            outcome=record.outcome,
            status=call.status,
            reason=record.reason,
            ms=record.ms,
            sends=[dict(send) for send in record.sends.values()],
            index=self._tree.index,
            known=self._catalog.version,
        )

    def end_instance(self, instance: str, address: str) -> None:
        """Take word that an instance has left its address."""
        if self._catalog.remove_instance(instance, address, boot_time()):
            log(Event.INSTANCE_GONE, instance=instance)
            self._update_upstreams()

    def build_request(self, hold_s: float) -> WatchRequest:
        """Build the question for a control replica."""
        word = EntryInfo(
            self._settings.name,
            self._settings.http_address,
            self._settings.availability_zone,
            not self.ready,
        )
        self._shares.reported = round(self._rate.per_s(boot_time()), 1)
        return WatchRequest(
            word,
            self._catalog.watermarks,
            self._tree.index,
            self._members,
            hold_s,
            self._shares.reported,
            self._balancer.quarantine_index,
            self._balancer.evacuations.index,
            self._balancer.warm_ups.digest,
        )

    def handle_reply(self, replica: str, reply: WatchReply) -> None:
        """Take a control replica's answer."""
        ready = self.ready
        # What was under way while this process stood still is old.
        stale = self._look_for_pause()
        if reply.current and not stale:
            self._pause.confirm_contact()
            self._in_touch = True
        self._members = max(self._members, reply.members)
        if reply.replicas is not None:
            self._watcher.update(reply.replicas)
            self._replicas = [one.address for one in reply.replicas]
        self._count(reply)
        if reply.group is not None:
            self._balancer.warm_ups.update_group(
                reply.group, self._loop.time()
            )
        # Before the tree: an entry that starts acts as soon as it has one.
        if reply.evacuations is not None:
            self._dispatcher.apply_evacuations(reply.evacuations)
        if reply.tree is not None and self._tree.apply_reply(reply.tree):
            self._apply()
        if reply.quarantine is not None:
            self._dispatcher.apply_quarantine(reply.quarantine)
        changed = self._catalog.refresh(reply.unreachable, boot_time())
        for source, delta in reply.deltas.items():
            changed |= self._catalog.apply(source, delta, boot_time())
        if changed:
            self._update_upstreams()
        if self.ready != ready:
            self._watcher.renew()
        self._release()

    def _count(self, reply: WatchReply) -> None:
        self._shares.set_total(reply.calls_per_s, reply.entries)
        self._entries = max(self._entries, reply.entries)
        self._counted |= reply.counted
        self._share_extra()
        self._share_inquiries()

    def _look_for_pause(self) -> bool:
        paused_s = self._pause.observe(boot_time())
        if paused_s is None:
            return False
        log(Event.PAUSED, "warning", paused_s=round(paused_s, 3))
        self._watcher.renew()
        return True

    def _release(self) -> None:
        if not self._held or self._must_hold():
            return
        held, self._held = self._held, []
        now = boot_time()
        for held_at, call in held:
            call.arrival.deduct_wait(now - held_at)
            self._route(call)

    def _apply(self) -> None:
        documents = self._tree.documents
        self._balancer.configure(read_services(documents), self._loop.time())
        # In one step, between two calls: worker threads that each took the
        # new routes by themselves would answer by old and new in turn.
        self._table = RouteTable(read_routes(documents, self._phase))
        self._limit_callers(read_limits(documents))
        log(
            Event.CONFIG_APPLIED,
            index=self._tree.index,
            revisions=self._tree.revisions,
        )
        self._update_upstreams()

    def _limit_callers(self, limits: CallerLimits) -> None:
        if limits.header_bytes is not None:
            self._http.limit_headers(limits.header_bytes)
        if limits.body_bytes is not None:
            self._http.limit_body(limits.body_bytes)
            self._handler.body_bytes = limits.body_bytes
        if limits.idle_s is not None:
            self._http.limit_idle(limits.idle_s)

    def _update_upstreams(self) -> None:
        live = self._catalog.live()
        self._drop_connections(live)
        now = self._loop.time()
        self._dispatcher.perform(self._balancer.update_upstreams(live, now))
        log(
            Event.ENDPOINTS_CHANGED,
            version=self._catalog.version,
            endpoints=len(live),
        )

    def _drop_connections(self, live: list[Announcement]) -> None:
        """Close what is kept open to processes that are no more.

        One that crashed behind a cut closed none of its connections. What
        is sent on such a connection is lost, and a call that must not run
        twice with it, though a later process serves at the address.
        """
        processes = {one.endpoint: one.process for one in live}
        for address, process in self._processes.items():
            if processes.get(address) != process:
                self._connections.close_idle(address)
        self._processes = processes

    def _share_inquiries(self) -> None:
        self._balancer.limit_inquiries(
            self._settings.probes_per_s, self._shares.share(self._entries)
        )

    def _bound_warm_ups(self) -> None:
        self._balancer.warm_ups.set_margin(
            self._settings.warm_up_overage, self._settings.warm_up_slack_per_s
        )

    def _share_extra(self) -> None:
        if not self._settings.extra_fixed:
            return
        limit = ExtraLimit(
            self._settings.extra_ratio, self._settings.extra_fixed
        )
        burst = limit.burst(self._entries) if self._counted else MIN_BURST
        self._balancer.limit_extra(limit.share, burst)

    def _sweep(self) -> None:
        self._look_for_pause()
        self._release()
        self._runner.run_deferred()
        self._dispatcher.sweep()
        self._connections.sweep()

    def _expire(self) -> None:
        if self._catalog.expire(boot_time()):
            self._update_upstreams()

    def _answer_health(self, http: StrictRequest) -> None:
        status = 200 if self.ready else 503
        http.begin(status, [("Content-Length", "0")])


def _settle_nothing(call: PendingCall, outcome: str) -> None:
    """Settle no claim: routes declare no idempotency keys."""
