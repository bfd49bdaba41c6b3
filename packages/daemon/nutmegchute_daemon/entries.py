"""Run the entry role: calls, announcements, gossip, configuration."""

import asyncio
import random
import secrets
from functools import partial
from typing import Any

from nutmegchute_core.balancers import Balancer
from nutmegchute_core.balancers import WITHDRAWN
from nutmegchute_core.calls import Deny
from nutmegchute_core.calls import Known
from nutmegchute_core.calls import Refuse
from nutmegchute_core.calls import Result
from nutmegchute_core.claims import ClaimAnswer
from nutmegchute_core.claims import FIRST
from nutmegchute_core.claims import FULL
from nutmegchute_core.claims import NOT_RUN
from nutmegchute_core.claims import RAN
from nutmegchute_core.claims import Settlement
from nutmegchute_core.directories import Directory
from nutmegchute_core.directories import EntryInfo
from nutmegchute_core.directories import PublicEntry
from nutmegchute_core.directories import publish
from nutmegchute_core.entry_groups import group_of
from nutmegchute_core.follow_protocol import FollowReply
from nutmegchute_core.helpers import choose_helpers
from nutmegchute_core.limit_boards import LimitUpdate
from nutmegchute_core.members import Announcement
from nutmegchute_core.replica_choosers import ReplicaChooser
from nutmegchute_core.rosters import Roster
from nutmegchute_core.rules import read_services
from nutmegchute_core.rules import Rule
from nutmegchute_core.rules import Service

from .announcements import ANNOUNCE_PATH
from .announcements import AnnouncementHandler
from .announcements import Announcements
from .applications import close_pages
from .applications import open_pages
from .applications import start_pages
from .body_pacers import BodyPacer
from .call_formats import CallFormat
from .callers import CallHandler
from .claims import Claimer
from .clocks import boot_time
from .connections import ConnectionPool
from .daemons import Daemon
from .dispatchers import Dispatcher
from .dispatchers import SWEEP_S
from .drains import DrainPage
from .events import Event
from .events import log
from .followers import Follower
from .gossips import Gossiper
from .gossips import TICK_S as GOSSIP_TICK_S
from .identities import Identifier
from .identities import KEY_UNKNOWN
from .pages import EntryPages
from .pending_calls import PendingCall
from .probes import LOAD_PATH
from .probes import Prober
from .quarantines import QuarantineReporter
from .quota_clients import QuotaClient
from .readers import CALL_PATH
from .relays import build_door
from .senders import Sender

DRAIN_TICK_S = 0.05
# Network delay of a directory's answer and of the last call based on it.
KEEP_MARGIN_S = 0.5
RETRY_S = 0.5
SETTLE_TIMEOUT_S = 2.0


class EntryDaemon(Daemon):
    """Route calls to the upstreams that announce to this or other entries."""

    def prepare(self) -> None:
        """Build the balancer and mount the handlers of calls and pages."""
        settings = self._settings
        door = build_door(settings.relay_address)
        own_info = EntryInfo(
            settings.name,
            settings.http_address,
            settings.availability_zone,
            relay=None if door is None else door.address,
        )
        self._balancer = Balancer(
            secrets.randbits(32),
            settings.availability_zone,
            name=settings.name,
        )
        self._balancer.warm_ups.set_margin(
            settings.warm_up_overage, settings.warm_up_slack_per_s
        )
        self._members = Roster(secrets.randbits(48))
        self._announcements = Announcements(self._members)
        self._directory = Directory(own_info, random.random())
        self._services: dict[str, Service] = {}
        self._identifier = Identifier(
            CallFormat.organisation_header,
            "" if door is None else door.address.token,
        )
        self._claimer = Claimer(settings, self._links, self._loop)
        self._open_claims = 0
        self._follower = Follower(settings, self._links, self._apply_documents)
        self._gossiper = Gossiper(
            settings=settings,
            links=self._links,
            members=self._members,
            directory=self._directory,
            limits=self._balancer.demands.rate_limits.board,
            on_change=self._update_upstreams,
            on_limits=self._apply_limits,
        )
        self._connections = ConnectionPool()
        self._pacer = BodyPacer(settings.link_mbit_per_s)
        self._handler = CallHandler(
            runner=self._runner,
            sender=Sender(self._connections, pacer=self._pacer),
            name=settings.name,
            body_bytes=settings.request_body_bytes,
            threads=settings.http_threads,
            relay_connections=self._connections,
        )
        self._prober = Prober(
            self._runner, Sender(self._connections), LOAD_PATH
        )
        self._dispatcher = Dispatcher(
            balancer=self._balancer,
            metrics=self._metrics,
            hedge=self._handler.hedge,
            query_load=self._prober.enqueue,
            settle=self._settle,
        )
        self._prober.on_result = self._dispatcher.record_probe
        self._follower.on_quarantine = self._dispatcher.apply_quarantine
        self._follower.on_evacuations = self._dispatcher.apply_evacuations
        self._reporter = QuarantineReporter(
            self._links,
            lambda: [one.grpc_address for one in self._settings.control],
            self._dispatcher.apply_ruling,
        )
        self._dispatcher.on_reports = self._reporter.submit
        # The next gossip carries the limits; see Gossiper.
        self._dispatcher.on_limits = lambda processes: None
        self._quotas = QuotaClient(
            settings=settings,
            links=self._links,
            metrics=self._metrics,
            identifier=self._identifier,
            replicas=self._order_replicas,
            deny=lambda call: self._deny(call, Deny(0, KEY_UNKNOWN)),
            on_refused=lambda call: self._settle(call, NOT_RUN),
        )
        self._dispatcher.on_not_run = self._quotas.give_back
        self._dispatcher.check_link = self._prober.check
        self._dispatcher.pop_untried_queries = self._prober.pop_untried
        self._dispatcher.on_links = self._report_links
        self._prober.on_check = self._dispatcher.record_check
        self._handler.dispatcher = self
        self._handler.config_index = lambda: self._follower.index
        pages = EntryPages(self, self._runner, settings.entries_keep_s)
        pages.drain = DrainPage(settings, self._runner, self.stop)
        self._http.mount(open_pages(pages))
        self._http.add_handler(CALL_PATH, self._handler)
        self._relays = self.add_relay_listener(door, self._handler)
        announce = AnnouncementHandler(self._runner, self.announce)
        self._http.add_handler(ANNOUNCE_PATH, announce)

    def start_tasks(self) -> None:
        """Start the periodic work: sweeps, gossip, configuration."""
        start_pages()
        self.run_every(SWEEP_S, self._sweep)
        self.run_every(GOSSIP_TICK_S, self._gossiper.tick)
        self.run_every(0, self._follower.follow)
        self.run_every(0, self._claimer.run)
        self.run_every(0, self._reporter.run)

    def gauges(self) -> dict[str, float]:
        """Return the gauges that show whether this entry can serve."""
        now = boot_time()
        return {
            "in_flight": self._balancer.in_flight,
            "upstreams": len(self._members.live(now)),
            "entries": len(self._directory.usable(now)),
            "config_index": self._follower.index,
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

    async def finish(self) -> None:
        """Leave the directory, wait out cached answers, finish the calls."""
        self._directory.drain()
        log(Event.DRAINING)
        limit_s = self._settings.shutdown_limit_s
        self._dispatcher.end_at(self._loop.time() + limit_s)
        await self._gossiper.exchange_all()
        # A caller may have just received this address and may cache it for
        # that long; closing earlier would refuse its connection.
        await asyncio.sleep(self._settings.entries_keep_s + KEEP_MARGIN_S)
        # No more calls are expected. Any that arrive are refused as not
        # run, and each connection is closed after its pending answer.
        self._http.disable_keep_alive()
        self._handler.refusal = "entry is leaving"
        while self._handler.active or self._open_claims:
            await asyncio.sleep(DRAIN_TICK_S)
        await self._settle_all()
        await self._follower.leave()

    def abort(self) -> int:
        """End the calls in flight; return how many there were."""
        self._handler.refusal = "entry is stopping"
        self._http.disable_keep_alive()
        self._quotas.end_all()
        self._dispatcher.end_all()
        return self._handler.active

    def close(self) -> None:
        """Close the pages and stop the dispatcher and the prober."""
        close_pages()
        self._quotas.stop()
        self._dispatcher.stop()
        self._prober.stop()

    def open_call(self, call: PendingCall) -> None:
        """Admit a call; its actions are queued on it."""
        if not self._follower.may_route():
            # The tree may have been superseded; another entry may have one
            # that is confirmed.
            call.put(Refuse(0, "configuration not confirmed", RETRY_S))
            return
        denial = self._identifier.identify(call, self._is_anonymous(call))
        if denial is not None:
            self._deny(call, denial)
            return
        if self._is_passed_on(call):
            self._admit(call)
            return
        self._quotas.open(
            call, partial(self._admit, call), self._is_late(call)
        )

    def _is_late(self, call: PendingCall) -> bool:
        """Return whether a call cannot meet its objective any more."""
        arrival = call.arrival
        service = self._services.get(arrival.service)
        if service is None:
            return False
        rule = service.rule_for(arrival.method, arrival.path)
        return rule is not None and self._balancer.is_late(
            arrival.service, rule, arrival.deadline_s
        )

    def _admit(self, call: PendingCall) -> None:
        """Admit a call that may run within its organisation's quota."""
        if not self._follower.may_route():
            self._quotas.give_back(call)
            call.put(Refuse(0, "configuration not confirmed", RETRY_S))
            return
        rule = self._claimed_rule(call)
        if rule is None:
            self._dispatcher.admit(call, call.arrival.deadline_s)
            return
        if self._is_passed_on(call):
            call.needs_helper = True
            self._dispatcher.admit(call, call.arrival.deadline_s)
            return
        call.claimed = True
        started_at = self._loop.time()
        wait_s = call.arrival.min_deadline_s(rule.deadline_s)

        def on_answer(answer: ClaimAnswer | None) -> None:
            self._open_claims -= 1
            if not self._check_claim(call, answer):
                self._quotas.give_back(call)
                return
            if not self._identifier.confirm(call):
                # The key was withdrawn while the claim was under way.
                self._quotas.give_back(call)
                self._settle(call, NOT_RUN)
                self._metrics.count("withdrawn")
                call.put(Deny(0, WITHDRAWN))
                return
            # The permit may have expired during the claim.
            self._quotas.open(call, admit)

        def admit() -> None:
            left_s = wait_s - (self._loop.time() - started_at)
            self._dispatcher.admit(call, max(0.0, left_s))

        self._open_claims += 1
        assert call.claim is not None
        self._claimer.claim(call.claim, wait_s, on_answer)

    def _is_passed_on(self, call: PendingCall) -> bool:
        """Return whether a helper will take a call, with all checks of it."""
        if call.is_relayed or not self._balancer.is_cut_off:
            return False
        return self._balancer.has_helper(self._loop.time())

    def _order_replicas(self) -> list[str]:
        """Return the control replicas, spread over the entries."""
        settings = self._settings
        addresses = [one.grpc_address for one in settings.control]
        return ReplicaChooser(
            settings.name,
            settings.availability_zone,
            addresses,
            settings.grpc_address,
        ).addresses

    def _is_anonymous(self, call: PendingCall) -> bool:
        """Return whether a call needs no key."""
        arrival = call.arrival
        service = self._services.get(arrival.service)
        if service is None:
            return False
        rule = service.rule_for(arrival.method, arrival.path)
        return rule is not None and rule.anonymous

    def _deny(self, call: PendingCall, denial: Deny) -> None:
        """Answer a call without a valid key."""
        if denial.reason == KEY_UNKNOWN and not self._follower.has_lease:
            # A newer configuration may have the key.
            call.put(Refuse(0, "keys are not up to date", RETRY_S))
            return
        self._metrics.count("denied")
        call.put(denial)

    def _claimed_rule(self, call: PendingCall) -> Rule | None:
        arrival = call.arrival
        if call.claim is None or arrival.service not in self._services:
            return None
        service = self._services[arrival.service]
        rule = service.rule_for(arrival.method, arrival.path)
        if rule is None or rule.idempotent:
            return None
        return rule

    def _check_claim(
        self, call: PendingCall, answer: ClaimAnswer | None
    ) -> bool:
        if answer is None or answer.outcome in (FULL, NOT_RUN):
            call.put(Refuse(0, "ledger takes no claim", RETRY_S))
            return False
        if answer.outcome != FIRST:
            call.put(Known(0, answer.outcome, answer.status))
            return False
        if self._follower.may_route():
            return True
        self._settle(call, NOT_RUN)
        call.put(Refuse(0, "configuration not confirmed", RETRY_S))
        return False

    def _settle(self, call: PendingCall, outcome: str) -> None:
        if not call.claimed or call.claim is None:
            return
        status = call.status if outcome == RAN else 0
        self._claimer.settle(Settlement(call.claim, outcome, status))

    async def _settle_all(self) -> None:
        give_up_at = self._loop.time() + SETTLE_TIMEOUT_S
        while not self._claimer.idle and self._loop.time() < give_up_at:
            await asyncio.sleep(DRAIN_TICK_S)

    def end_attempt(self, call: PendingCall, result: Result) -> None:
        """Record the end of an attempt."""
        self._dispatcher.end_attempt(call, result)

    def close_call(self, call: PendingCall) -> None:
        """Remove a call whose worker has written its answer."""
        self._quotas.close_call(call)
        self._dispatcher.close_call(call)

    def end_instance(self, instance: str, address: str) -> None:
        """Do nothing: endpoints that announce to entries have no names."""

    def announce(
        self, announcement: Announcement, key: str
    ) -> dict[str, float]:
        """Record an endpoint's announcement; return its lease.

        :raises AnnouncementError: it is refused
        """
        now = boot_time()
        lease = self._announcements.record(announcement, key, now)
        self._gossiper.refresh()
        return lease

    def usable_entries(self, zone: str | None) -> list[PublicEntry]:
        """Choose the entries that a caller should use."""
        chosen = self._directory.choose(
            zone,
            self._settings.entries_answer,
            boot_time(),
            self._balancer.evacuations.availability_zones,
        )
        return [publish(one) for one in chosen]

    def status(self) -> dict[str, Any]:
        """Return the state of this entry for operators."""
        return {
            "entry": publish(self._directory.own_entry),
            "entries": [
                publish(one) for one in self._directory.usable(boot_time())
            ],
            "index": self._follower.index,
            "revisions": self._follower.revisions,
            "in_flight": self._balancer.in_flight,
            "upstreams": self._members.live(boot_time()),
        }

    def _sweep(self) -> None:
        self._update_group()
        self._runner.run_deferred()
        self._quotas.sweep()
        self._dispatcher.sweep()
        self._connections.sweep()

    def _report_links(self) -> None:
        """Tell the other entries whether this one reaches endpoints."""
        self._directory.set_cut_off(self._balancer.is_cut_off)

    def _update_group(self) -> None:
        """Update the group of entries that share the cold endpoints."""
        zones = {}
        entries = self._directory.usable(boot_time())
        self._balancer.update_helpers(
            choose_helpers(
                self._settings.name, self._settings.availability_zone, entries
            )
        )
        for info in entries:
            zones[info.name] = info.availability_zone
        self._balancer.groups.update(group_of(zones), self._loop.time())

    def _update_upstreams(self, live: list[Announcement]) -> None:
        now = self._loop.time()
        self._dispatcher.perform(self._balancer.update_upstreams(live, now))

    def _apply_limits(self, update: LimitUpdate) -> None:
        self._dispatcher.apply_limits(update)

    def _apply_documents(self, reply: FollowReply) -> None:
        now = self._loop.time()
        assert reply.documents is not None
        services = self._services = read_services(reply.documents)
        self._balancer.configure(services, now)
        self._announcements.configure(services)
        self._identifier.configure(reply.documents)
        self._dispatcher.withdraw(self._identifier.confirm)
        self._quotas.configure()
        self._update_upstreams(self._members.live(boot_time()))
