"""Run the entry role: calls, announcements, gossip, configuration."""

import asyncio
import random
import secrets
from typing import Any

from nutmegchute_core.balancers import Balancer
from nutmegchute_core.calls import Action
from nutmegchute_core.calls import Cancel
from nutmegchute_core.calls import Finish
from nutmegchute_core.calls import Known
from nutmegchute_core.calls import Lose
from nutmegchute_core.calls import Probe
from nutmegchute_core.calls import Refuse
from nutmegchute_core.calls import Result
from nutmegchute_core.calls import Send
from nutmegchute_core.claims import ClaimAnswer
from nutmegchute_core.claims import FIRST
from nutmegchute_core.claims import FULL
from nutmegchute_core.claims import NOT_RUN
from nutmegchute_core.claims import RAN
from nutmegchute_core.claims import Settlement
from nutmegchute_core.claims import UNKNOWN
from nutmegchute_core.directories import Directory
from nutmegchute_core.directories import EntryWord
from nutmegchute_core.fleets import FollowReply
from nutmegchute_core.members import Announcement
from nutmegchute_core.members import Members
from nutmegchute_core.rules import read_services
from nutmegchute_core.rules import Rule
from nutmegchute_core.rules import Service

from .announcements import Announcements
from .callers import CALL_PATH
from .callers import CallApplication
from .callers import Ticket
from .claims import Claimer
from .daemons import Daemon
from .drains import DrainPage
from .events import Event
from .events import log
from .followers import Follower
from .gossips import Gossiper
from .gossips import TICK_S as GOSSIP_TICK_S
from .pages import EntryPages

TICK_S = 0.01
DRAIN_TICK_S = 0.05
RETRY_S = 0.5
SETTLE_S = 2.0


class EntryDaemon(Daemon):
    """Stand between callers and upstreams."""

    def prepare(self) -> None:
        """Build the decisions' state and mount the callers' side."""
        settings = self._settings
        own = EntryWord(
            settings.name, settings.http_address, settings.availability_zone
        )
        self._balancer = Balancer(secrets.randbits(32))
        self._members = Members(secrets.randbits(48))
        self._announcements = Announcements(self._members)
        self._directory = Directory(own, random.random())
        self._tickets: dict[int, Ticket] = {}
        self._services: dict[str, Service] = {}
        self._claimer = Claimer(settings, self._links, self._loop)
        self._claiming = 0
        self._follower = Follower(settings, self._links, self._apply)
        self._gossiper = Gossiper(
            settings=settings,
            links=self._links,
            members=self._members,
            directory=self._directory,
            on_change=self._update_upstreams,
        )
        application = CallApplication(
            self, self._asker, settings.name, settings.request_body_bytes
        )
        pages = EntryPages(self, self._asker, settings.entries_keep_s)
        pages.drain = DrainPage(settings, self._asker, self.stop)
        self._http.mount(pages)
        self._http.graft(application, CALL_PATH)

    def begin(self) -> None:
        """Start ticking, gossiping and following the configuration."""
        self.every(TICK_S, self._tick)
        self.every(GOSSIP_TICK_S, self._gossiper.tick)
        self.every(0, self._follower.follow)
        self.every(0, self._claimer.run)

    def gauges(self) -> dict[str, float]:
        """Give what tells whether this entry can serve."""
        now = self._loop.time()
        return {
            "in_flight": self._balancer.in_flight,
            "upstreams": len(self._members.live(now)),
            "entries": len(self._directory.usable(now)),
            "config_index": self._follower.index,
        }

    async def finish(self) -> None:
        """Leave the directory, outlast every answer, end the calls."""
        self._directory.drain()
        log(Event.DRAINING)
        await self._gossiper.spread()
        # A caller may have been given this address a moment ago and may
        # keep it that long; closing earlier would refuse its connection.
        await asyncio.sleep(self._settings.entries_keep_s)
        while self._balancer.in_flight or self._claiming:
            await asyncio.sleep(DRAIN_TICK_S)
        await self._settle_all()
        await self._follower.leave()

    def open_call(
        self,
        ticket: Ticket,
        service: str,
        method: str,
        path: str,
        deadline_s: float | None,
    ) -> None:
        """Admit a call; its actions go to the ticket."""
        if not self._follower.may_act():
            # The tree at hand may have been replaced elsewhere; another
            # entry may know.
            ticket.put(Refuse(0, "configuration not confirmed", RETRY_S))
            return
        rule = self._claimed_rule(ticket, service, method, path)
        if rule is None:
            self._admit(ticket, service, method, path, deadline_s)
            return
        started_at = self._loop.time()
        wait_s = min(rule.deadline_s, deadline_s or rule.deadline_s)

        def answered(answer: ClaimAnswer | None) -> None:
            self._claiming -= 1
            if not self._may_send(ticket, answer):
                return
            left_s = wait_s - (self._loop.time() - started_at)
            self._admit(ticket, service, method, path, max(0.0, left_s))

        self._claiming += 1
        assert ticket.claim is not None
        self._claimer.claim(ticket.claim, wait_s, answered)

    def _claimed_rule(
        self, ticket: Ticket, service: str, method: str, path: str
    ) -> Rule | None:
        if ticket.claim is None or service not in self._services:
            return None
        rule = self._services[service].rule_for(method, path)
        if rule is None or rule.idempotent:
            return None
        ticket.claimed = True
        return rule

    def _may_send(self, ticket: Ticket, answer: ClaimAnswer | None) -> bool:
        if answer is None or answer.outcome in (FULL, NOT_RUN):
            ticket.put(Refuse(0, "ledger takes no claim", RETRY_S))
            return False
        if answer.outcome != FIRST:
            ticket.put(Known(0, answer.outcome, answer.status))
            return False
        if self._follower.may_act():
            return True
        self._settle(ticket, NOT_RUN)
        ticket.put(Refuse(0, "configuration not confirmed", RETRY_S))
        return False

    def _settle(self, ticket: Ticket, outcome: str) -> None:
        if not ticket.claimed or ticket.claim is None:
            return
        status = ticket.status if outcome == RAN else 0
        self._claimer.settle(Settlement(ticket.claim, outcome, status))

    async def _settle_all(self) -> None:
        give_up_at = self._loop.time() + SETTLE_S
        while not self._claimer.idle and self._loop.time() < give_up_at:
            await asyncio.sleep(DRAIN_TICK_S)

    def _admit(
        self,
        ticket: Ticket,
        service: str,
        method: str,
        path: str,
        deadline_s: float | None,
    ) -> None:
        now = self._loop.time()
        call_id, actions = self._balancer.arrive(
            service, method, path, now, deadline_s
        )
        ticket.call_id = call_id
        self._tickets[call_id] = ticket
        self._metrics.count("calls")
        self._perform(actions)

    def end_attempt(self, result: Result) -> None:
        """Take the end of an attempt."""
        self._metrics.count(f"attempts.{result.outcome}")
        self._metrics.time_ms("attempt", result.latency_s * 1000)
        self._perform(self._balancer.finish(result, self._loop.time()))

    def announce(
        self, announcement: Announcement, key: str
    ) -> dict[str, float]:
        """Take an endpoint's word; return its lease.

        :raises AnnouncementError: it was not taken
        """
        now = self._loop.time()
        lease = self._announcements.take(announcement, key, now)
        self._gossiper.refresh()
        return lease

    def usable_entries(self, zone: str | None) -> list[EntryWord]:
        """Choose the entries that a caller should use."""
        return self._directory.answer(
            zone, self._settings.entries_answer, self._loop.time()
        )

    def status(self) -> dict[str, Any]:
        """Describe this entry to an operator."""
        return {
            "entry": self._directory.own,
            "entries": self._directory.usable(self._loop.time()),
            "index": self._follower.index,
            "revisions": self._follower.revisions,
            "in_flight": self._balancer.in_flight,
            "upstreams": self._members.live(self._loop.time()),
        }

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Probe):
                continue
            ticket = self._tickets.get(action.call_id)
            if ticket is None:
                continue
            ticket.put(action)
            if isinstance(action, (Send, Cancel)):
                continue
            del self._tickets[action.call_id]
            if isinstance(action, Finish):
                self._settle(ticket, RAN)
            if isinstance(action, Refuse):
                self._settle(ticket, NOT_RUN)
                self._metrics.count("refused")
            elif isinstance(action, Lose):
                self._settle(ticket, UNKNOWN)
                self._metrics.count("unknown")
                log(Event.CALL_LOST, "warning", reason=action.reason)

    def _tick(self) -> None:
        self._perform(self._balancer.tick(self._loop.time()))

    def _update_upstreams(self, live: list[Announcement]) -> None:
        now = self._loop.time()
        self._perform(self._balancer.update_upstreams(live, now))

    def _apply(self, reply: FollowReply) -> None:
        now = self._loop.time()
        assert reply.documents is not None
        services = self._services = read_services(reply.documents)
        self._balancer.configure(services, now)
        self._announcements.configure(services)
        self._update_upstreams(self._members.live(now))
