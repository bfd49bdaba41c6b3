"""Run the router role: an entry that receives all its state from control.

Callers send requests to hosts and paths, which the configuration's routes
map to services. Endpoints announce themselves to control.
"""

import asyncio
import random
import secrets
from functools import partial
from math import inf

from nutmegchute_core.balancers import Balancer
from nutmegchute_core.budgets import ExtraLimit
from nutmegchute_core.budgets import MIN_BURST
from nutmegchute_core.calls import Deny
from nutmegchute_core.calls import Refuse
from nutmegchute_core.calls import Reject
from nutmegchute_core.calls import Result
from nutmegchute_core.catalogs import Catalog
from nutmegchute_core.directories import EntryInfo
from nutmegchute_core.follow_protocol import FollowReply
from nutmegchute_core.members import Announcement
from nutmegchute_core.members import Process
from nutmegchute_core.mirrors import NO_WATERMARK
from nutmegchute_core.pauses import PauseDetector
from nutmegchute_core.probe_shares import CallRate
from nutmegchute_core.probe_shares import ProbeShare
from nutmegchute_core.replica_choosers import ReplicaChooser
from nutmegchute_core.routes import BUFFER_BYTES
from nutmegchute_core.routes import read_routes
from nutmegchute_core.routes import Route
from nutmegchute_core.routes import RouteTable
from nutmegchute_core.rules import CallerLimits
from nutmegchute_core.rules import read_limits
from nutmegchute_core.rules import read_services
from nutmegchute_core.sessions import WatchReply
from nutmegchute_core.sessions import WatchRequest

from .body_pacers import BodyPacer
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
from .identities import Identifier
from .identities import KEY_UNKNOWN
from .limit_reporters import LimitReporter
from .pending_calls import PendingCall
from .probes import Prober
from .quarantines import QuarantineReporter
from .quota_clients import QuotaClient
from .relays import build_door
from .senders import Sender
from .settings import Settings
from .trees import TreeCopy
from .watchers import Watcher

DRAIN_TICK_S = 0.05
EXPIRE_S = 0.5
HEALTH_THREADS = 2
# If control is up, a router has its configuration 0.1 to 0.2 s after its
# start. Until then, but no longer than this, calls are held and not refused.
UNCONFIGURED_HOLD_S = 0.6
UNCONFIGURED_RETRY_S = 0.2
LEAVING_RETRY_S = 0.1
# Age of the last reply from control up to which an unknown key is denied. A
# watch is held for 0.8 s.
KEYS_FRESH_S = 1.2
# The most that the gauge of this age shows, also before the first reply.
MAX_CONTROL_AGE_S = 3600.0
# How long a call with an unknown key waits for a newer configuration. A key
# may be used as soon as control has accepted it; routers whose replica
# follows the leader have it a heartbeat of 0.2 s later, 0.35 s on busy vms.
KEY_WAIT_S = 0.4
# One in so many worker threads may wait so; further unknown keys are denied
# at once, so that guesses do not keep valid calls out.
KEY_WAIT_DIVISOR = 8
# Part of the time limit of a stop that is reserved for late answers.
STOP_MARGIN_S = 0.5
ALL_PATHS = b"/"


class RouterDaemon(Daemon):
    """Route calls by the configuration and endpoints that control sends."""

    def __init__(
        self, settings: Settings, call_format: CallFormat | None = None
    ) -> None:
        super().__init__(settings)
        self._format = call_format or CallFormat()

    def prepare(self) -> None:
        """Build the balancer and mount the handlers of calls and health."""
        settings = self._settings
        self._balancer = Balancer(
            secrets.randbits(32),
            settings.availability_zone,
            name=settings.name,
        )
        self._catalog = Catalog()
        self._tree = TreeCopy()
        self._table: RouteTable | None = None
        self._door = build_door(settings.relay_address)
        self._identifier = Identifier(
            self._format.organisation_header,
            "" if self._door is None else self._door.address.token,
        )
        self._phase = random.random()
        self._membership_index = -1
        self._entry_count = 1
        # Whether a replica's count of entries was complete. Until then the
        # burst of extra sends is MIN_BURST: a replica that has just started
        # counts few entries, and each entry would use the whole budget.
        self._counted = False
        self._rate = CallRate()
        self._shares = ProbeShare()
        self._leaving = False
        # Whether a replica in contact with the others has replied.
        self._in_contact = False
        self._contact_at = -inf
        # Calls with an unknown key that wait for a newer configuration, by
        # the time at which they arrived.
        self._unknown: dict[PendingCall, float] = {}
        self._max_unknown = max(1, settings.http_threads // KEY_WAIT_DIVISOR)
        self._pause = PauseDetector(boot_time())
        # Calls held until control replies, each with the time it arrived.
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
        self._pacer = BodyPacer(settings.link_mbit_per_s)
        self._processes: dict[str, Process] = {}
        self._replicas: list[str] = []
        self._handler = CallHandler(
            runner=self._runner,
            sender=Sender(self._connections, self._format, pacer=self._pacer),
            name=settings.name,
            body_bytes=settings.request_body_bytes,
            threads=settings.http_threads,
            call_format=self._format,
            relay_connections=self._connections,
        )
        self._prober = Prober(
            self._runner, Sender(self._connections, self._format)
        )
        self._dispatcher = Dispatcher(
            balancer=self._balancer,
            metrics=self._metrics,
            hedge=self._handler.hedge,
            query_load=self._prober.enqueue,
            settle=_ignore_settlement,
        )
        self._reporter = QuarantineReporter(
            self._links,
            lambda: self._replicas,
            self._dispatcher.apply_ruling,
        )
        self._dispatcher.on_reports = self._reporter.submit
        self._limits_watermark = NO_WATERMARK
        self._limit_reporter = LimitReporter(
            self._balancer.demands.rate_limits.board,
            self._links,
            lambda: self._watcher.replicas,
        )
        self._dispatcher.on_limits = self._limit_reporter.submit
        self._quotas = QuotaClient(
            settings=settings,
            links=self._links,
            metrics=self._metrics,
            identifier=self._identifier,
            replicas=lambda: self._watcher.replicas,
            deny=lambda call: self._deny(call, Deny(0, KEY_UNKNOWN)),
            on_refused=_ignore_refusal,
        )
        self._dispatcher.on_not_run = self._quotas.give_back
        self._dispatcher.check_link = self._prober.check
        self._dispatcher.pop_untried_queries = self._prober.pop_untried
        self._dispatcher.on_links = self._report_links
        self._prober.on_check = self._dispatcher.record_check
        self._prober.on_result = self._dispatcher.record_probe
        self._handler.dispatcher = self
        self._handler.buffer_limit = self._buffer_bytes
        self._handler.config_index = lambda: self._tree.index
        self._http.add_handler(ALL_PATHS, self._handler)
        self._relays = self.add_relay_listener(self._door, self._handler)
        health = self.add_listener(
            "health_address", settings.health_address, HEALTH_THREADS
        )
        if health is not None:
            health.add_handler(ALL_PATHS, self._answer_health)
        self._limit_extra_sends()
        self._limit_inquiries()
        self._limit_warm_ups()

    def start_tasks(self) -> None:
        """Start the watcher and the periodic work."""
        self._watcher.start()
        self.run_every(SWEEP_S, self._sweep)
        self.run_every(EXPIRE_S, self._expire)
        self.run_every(0, self._reporter.run)
        self.run_every(0, self._limit_reporter.run)

    def gauges(self) -> dict[str, float]:
        """Return the gauges that show whether this entry can serve."""
        return {
            "in_flight": self._balancer.in_flight,
            "upstreams": len(self._catalog.live()),
            "entries": self._entry_count,
            "config_index": self._tree.index,
            "config_missing_bytes": self._watcher.missing_bytes,
            "control_age_s": min(
                MAX_CONTROL_AGE_S, boot_time() - self._contact_at
            ),
            "limited": self._balancer.count_limited(),
            "permits_waiting": self._quotas.waiting,
            "organisations_at_quota": self._quotas.count_exhausted(),
            "cut_off": float(self._balancer.is_cut_off),
            "relayed_in_flight": self._balancer.relayed_in_flight,
            "resting": self._balancer.count_resting(self._loop.time()),
            "waiting": self._balancer.count_waiting(),
            "waiting_organisations": (
                self._balancer.count_waiting_organisations()
            ),
            "evacuated_zones": len(
                self._balancer.evacuations.availability_zones
            ),
        }

    @property
    def ready(self) -> bool:
        """Return whether callers should come here.

        While this entry reaches no endpoint they should use others, if there
        are any.
        """
        if self._is_cut_off and self._balancer.has_helper(self._loop.time()):
            return False
        return self._can_serve

    @property
    def _is_cut_off(self) -> bool:
        return self._balancer.is_cut_off

    @property
    def _can_serve(self) -> bool:
        if self._leaving or self._table is None:
            return False
        return self._in_contact and self._catalog.has_synced

    async def finish(self) -> None:
        """Leave the directory, serve late callers, finish the calls."""
        self._leaving = True
        log(Event.DRAINING)
        self._watcher.renew()
        # Callers cache the directory's answer for a while. Calls that arrive
        # meanwhile are served; each answer closes its connection.
        self._http.disable_keep_alive()
        if self._relays is not None:
            self._relays.disable_keep_alive()
        limit_s = self._settings.shutdown_limit_s - STOP_MARGIN_S
        self._dispatcher.end_at(self._loop.time() + limit_s)
        await asyncio.sleep(min(self._settings.send_on_s, limit_s))
        # Later calls might not be answered before the stop. They are
        # refused, as other entries can serve them at once.
        self._handler.refusal_retry_s = LEAVING_RETRY_S
        self._handler.refusal = "entry is leaving"
        while self._handler.active:
            await asyncio.sleep(DRAIN_TICK_S)

    def abort(self) -> int:
        """End the calls in flight; return how many there were."""
        self._handler.refusal = "entry is stopping"
        self._quotas.end_all()
        self._dispatcher.end_all()
        return self._handler.active

    def close(self) -> None:
        """Stop the watcher, the dispatcher and the prober."""
        self._watcher.stop()
        self._quotas.stop()
        self._dispatcher.stop()
        self._prober.stop()

    def reload(self, settings: Settings) -> None:
        """Apply the seeds and limits of changed settings."""
        super().reload(settings)
        self._watcher.replace_seeds(settings.seeds)
        self._limit_extra_sends()
        self._limit_inquiries()
        self._limit_warm_ups()
        self._pacer.set_rate(settings.link_mbit_per_s)

    def open_call(self, call: PendingCall) -> None:
        """Admit or hold a call; its actions are queued on it."""
        if not self._is_cut_off:
            # Helpers count the calls that they serve for this entry.
            self._rate.count(boot_time())
        self._detect_pause()
        if self._is_holding():
            self._held.append((boot_time(), call))
            return
        self._route(call)

    def _is_holding(self) -> bool:
        """Return whether calls are held until control replies."""
        now = boot_time()
        starting = not self._leaving and not self._can_serve
        if starting and now < self._hold_until:
            return True
        return self._pause.is_holding(now)

    def _buffer_bytes(self, host: str, path: str) -> int:
        """Return how many bytes of a body to buffer, for the call's route.

        Called by worker threads: a table never changes once in force.
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
        denial = self._identifier.identify(call, route.rule.anonymous)
        if denial is not None:
            self._deny(call, denial)
            return
        call.record.route = route.name
        admit = partial(self._admit, call, route, self._table)
        if self._is_passed_on(call):
            # The helper obtains the permit.
            admit()
            return
        is_late = self._balancer.is_late(
            route.first_service, route.rule, call.arrival.deadline_s
        )
        self._quotas.open(call, admit, is_late)

    def _is_passed_on(self, call: PendingCall) -> bool:
        """Return whether a helper will take a call, with all checks of it."""
        if call.is_relayed or not self._is_cut_off:
            return False
        return self._balancer.has_helper(self._loop.time())

    def _admit(
        self, call: PendingCall, route: Route, table: RouteTable
    ) -> None:
        """Admit a call that may run within its organisation's quota."""
        if table is not self._table:
            # The configuration changed while the call waited for a permit.
            self._quotas.give_back(call)
            self._route(call)
            return
        call.record.service = route.choose()
        self._dispatcher.admit_with_rule(call, call.record.service, route.rule)

    def _deny(self, call: PendingCall, denial: Deny) -> None:
        """Answer a call without a valid key, at once or after a wait."""
        if denial.reason != KEY_UNKNOWN or not self._keys_are_fresh:
            self._end_denied(call, denial)
            return
        if len(self._unknown) >= self._max_unknown:
            self._end_denied(call, denial)
            return
        self._unknown[call] = boot_time()
        self._loop.call_later(KEY_WAIT_S, self._end_wait, call, denial)

    @property
    def _keys_are_fresh(self) -> bool:
        return boot_time() - self._contact_at <= KEYS_FRESH_S

    def _end_wait(self, call: PendingCall, denial: Deny) -> None:
        if self._unknown.pop(call, None) is not None:
            self._end_denied(call, denial)

    def _end_denied(self, call: PendingCall, denial: Deny) -> None:
        if denial.reason == KEY_UNKNOWN and not self._keys_are_fresh:
            # A newer configuration may have the key.
            reason = "keys are not up to date"
            end_call(call, Refuse(0, reason, UNCONFIGURED_RETRY_S))
            return
        self._metrics.count("denied")
        end_call(call, denial)

    def _route_known(self) -> None:
        """Route the waiting calls whose key a new configuration has."""
        for call, arrived_at in list(self._unknown.items()):
            if not self._identifier.knows(call):
                continue
            del self._unknown[call]
            call.arrival.deduct_wait(boot_time() - arrived_at)
            self._route(call)

    def end_attempt(self, call: PendingCall, result: Result) -> None:
        """Record the end of an attempt."""
        self._dispatcher.end_attempt(call, result)

    def close_call(self, call: PendingCall) -> None:
        """Remove and log a call whose worker has written its answer."""
        self._quotas.close_call(call)
        self._dispatcher.close_call(call)
        self._log_call(call)

    def _log_call(self, call: PendingCall) -> None:
        record = call.record
        organisation = call.organisation
        log(
            Event.CALL_ENDED,
            request=call.name,
            fingerprint=call.fingerprint,
            route=record.route,
            service=record.service,
            organisation="" if organisation is None else organisation.name,
            quota=record.quota,
            outcome=record.outcome,
            status=call.status,
            told=record.told,
            relayed=call.is_relayed,
            reason=record.reason,
            left_ms=record.left_ms,
            ahead=record.ahead,
            priority=record.priority,
            ms=record.ms,
            sends=[dict(send) for send in record.sends.values()],
            index=self._tree.index,
            known=self._catalog.version,
        )

    def end_instance(self, instance: str, address: str) -> None:
        """Remove an instance that has left its address."""
        if self._catalog.remove_instance(instance, address, boot_time()):
            log(Event.INSTANCE_GONE, instance=instance)
            self._update_upstreams()

    def build_request(self, hold_s: float) -> WatchRequest:
        """Build the next request to a control replica."""
        info = EntryInfo(
            self._settings.name,
            self._settings.http_address,
            self._settings.availability_zone,
            not self._can_serve,
            self._is_cut_off,
            None if self._door is None else self._door.address,
        )
        self._shares.reported = round(self._rate.per_s(boot_time()), 1)
        return WatchRequest(
            info,
            self._catalog.watermarks,
            self._tree.index,
            self._membership_index,
            hold_s,
            self._shares.reported,
            self._balancer.quarantine_index,
            self._balancer.evacuations.index,
            self._balancer.groups.digest,
            self._limits_watermark,
            self._balancer.helpers_digest,
        )

    def handle_reply(self, replica: str, reply: WatchReply) -> None:
        """Apply a control replica's reply."""
        ready = self._can_serve
        # A reply that was in flight while this process was paused is stale.
        stale = self._detect_pause()
        if reply.current and not stale:
            self._pause.confirm_contact()
            self._in_contact = True
            self._contact_at = boot_time()
        self._membership_index = max(self._membership_index, reply.members)
        if reply.replicas is not None:
            self._watcher.update(reply.replicas)
            self._replicas = [one.address for one in reply.replicas]
        self._apply_totals(reply)
        if reply.group is not None:
            self._balancer.groups.update(reply.group, self._loop.time())
        # Before the tree: a starting entry routes calls once it has one.
        if reply.evacuations is not None:
            self._dispatcher.apply_evacuations(reply.evacuations)
        if reply.tree is not None and self._tree.apply_reply(reply.tree):
            self._apply_tree(replica)
        if reply.quarantine is not None:
            self._dispatcher.apply_quarantine(reply.quarantine)
        if reply.helpers is not None:
            self._balancer.update_helpers(reply.helpers)
        if reply.limits is not None:
            self._limits_watermark = reply.limits.watermark
            self._dispatcher.apply_limits(reply.limits)
        changed = self._catalog.refresh(reply.unreachable, boot_time())
        for source, delta in reply.deltas.items():
            changed |= self._catalog.apply(source, delta, boot_time())
        if changed:
            self._update_upstreams()
        if self._can_serve != ready:
            self._watcher.renew()
        self._release_held()

    def handle_tree(self, replica: str, tree: FollowReply) -> None:
        """Apply the changes of the tree that were fetched from a replica."""
        ready = self._can_serve
        if self._tree.apply_reply(tree):
            self._apply_tree(replica)
        if self._can_serve != ready:
            self._watcher.renew()
        self._release_held()

    def _report_links(self) -> None:
        """Tell control whether this entry reaches endpoints."""
        self._watcher.renew()

    def _apply_totals(self, reply: WatchReply) -> None:
        self._shares.set_total(reply.calls_per_s, reply.entries)
        self._entry_count = max(self._entry_count, reply.entries)
        self._counted |= reply.counted
        self._limit_extra_sends()
        self._limit_inquiries()

    def _detect_pause(self) -> bool:
        paused_s = self._pause.observe(boot_time())
        if paused_s is None:
            return False
        log(Event.PAUSED, "warning", paused_s=round(paused_s, 3))
        self._watcher.renew()
        return True

    def _release_held(self) -> None:
        if not self._held or self._is_holding():
            return
        held, self._held = self._held, []
        now = boot_time()
        for held_at, call in held:
            call.arrival.deduct_wait(now - held_at)
            self._route(call)

    def _apply_tree(self, replica: str) -> None:
        documents = self._tree.documents
        self._balancer.configure(read_services(documents), self._loop.time())
        # Replaced in one step, between two calls: if each worker thread
        # loaded the new routes by itself, answers would alternate between
        # old and new routes.
        self._table = RouteTable(read_routes(documents, self._phase))
        self._identifier.configure(documents)
        self._dispatcher.withdraw(self._identifier.confirm)
        self._quotas.configure()
        self._route_known()
        self._limit_callers(read_limits(documents))
        log(
            Event.CONFIG_APPLIED,
            index=self._tree.index,
            revisions=self._tree.revisions,
            replica=replica,
        )
        self._update_upstreams()

    def _limit_callers(self, limits: CallerLimits) -> None:
        if limits.header_bytes is not None:
            self._http.limit_headers(limits.header_bytes)
        if limits.body_bytes is not None:
            self._http.limit_body(limits.body_bytes)
            self._handler.body_bytes = limits.body_bytes
        if limits.header_s is not None:
            self._http.limit_header_time(limits.header_s)
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
        """Close the connections to processes that have ended.

        A process that crashed during a partition closed none of them. A
        request sent on such a connection is lost, and so is a call that
        must not run twice, even if a later process serves at the address.
        """
        processes = {one.endpoint: one.process for one in live}
        for address, process in self._processes.items():
            if processes.get(address) != process:
                self._connections.close_idle(address)
        self._processes = processes

    def _limit_inquiries(self) -> None:
        self._balancer.limit_inquiries(
            self._settings.probes_per_s, self._shares.share(self._entry_count)
        )

    def _limit_warm_ups(self) -> None:
        self._balancer.warm_ups.set_margin(
            self._settings.warm_up_overage, self._settings.warm_up_slack_per_s
        )

    def _limit_extra_sends(self) -> None:
        if not self._settings.extra_fixed:
            return
        limit = ExtraLimit(
            self._settings.extra_ratio, self._settings.extra_fixed
        )
        burst = limit.burst(self._entry_count) if self._counted else MIN_BURST
        self._balancer.limit_extra_sends(limit.share, burst)

    def _sweep(self) -> None:
        self._detect_pause()
        self._release_held()
        self._runner.run_deferred()
        self._quotas.sweep()
        self._dispatcher.sweep()
        self._connections.sweep()

    def _expire(self) -> None:
        if self._catalog.expire(boot_time()):
            self._update_upstreams()

    def _answer_health(self, http: StrictRequest) -> None:
        status = 200 if self.ready else 503
        http.begin(status, [("Content-Length", "0")])


def _ignore_refusal(call: PendingCall) -> None:
    """Do nothing: routes declare no idempotency keys to settle."""


def _ignore_settlement(call: PendingCall, outcome: str) -> None:
    """Do nothing: routes declare no idempotency keys to settle."""
