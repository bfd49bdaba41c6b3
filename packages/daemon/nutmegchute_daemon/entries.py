"""Run the entry role: calls, announcements, gossip, configuration."""

import asyncio
import secrets
from typing import Any

import cherrypy
import msgspec
from nutmegchute_core.balancers import Balancer
from nutmegchute_core.calls import Action
from nutmegchute_core.calls import Cancel
from nutmegchute_core.calls import Lose
from nutmegchute_core.calls import Probe
from nutmegchute_core.calls import Refuse
from nutmegchute_core.calls import Result
from nutmegchute_core.calls import Send
from nutmegchute_core.directories import Directory
from nutmegchute_core.directories import EntryWord
from nutmegchute_core.fleets import FollowReply
from nutmegchute_core.members import Announcement
from nutmegchute_core.members import LEASE_S
from nutmegchute_core.members import Members
from nutmegchute_core.rules import read_services

from .callers import CALL_PATH
from .callers import CallApplication
from .callers import Ticket
from .daemons import Daemon
from .drains import DrainPage
from .events import Event
from .events import log
from .followers import Follower
from .gossips import Gossiper

TICK_S = 0.01
GOSSIP_S = 0.25
EXPIRE_S = 0.1
DRAIN_TICK_S = 0.05
REFRESH_SHARE = 3


class EntryDaemon(Daemon):
    """Stand between callers and upstreams."""

    def prepare(self) -> None:
        """Build the decisions' state and mount the callers' side."""
        settings = self._settings
        own = EntryWord(
            settings.name, settings.http_address, settings.availability_zone
        )
        self._balancer = Balancer(secrets.randbits(32))
        self._members = Members()
        self._directory = Directory(own)
        self._tickets: dict[int, Ticket] = {}
        self._turn = 0
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
        pages = EntryPages(self)
        pages.drain = DrainPage(settings, self._asker, self.stop)
        self._http.mount(pages)
        self._http.graft(application, CALL_PATH)

    def begin(self) -> None:
        """Start ticking, gossiping and following the configuration."""
        self.every(TICK_S, self._tick)
        self.every(EXPIRE_S, self._expire)
        self.every(GOSSIP_S, self._gossiper.spread)
        self.every(0, self._follower.follow)

    def gauges(self) -> dict[str, float]:
        """Give what tells whether this entry can serve."""
        return {
            "in_flight": self._balancer.in_flight,
            "upstreams": len(self._members.live()),
            "entries": len(self._directory.usable(self._loop.time())),
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
        while self._balancer.in_flight:
            await asyncio.sleep(DRAIN_TICK_S)

    def open_call(
        self,
        ticket: Ticket,
        service: str,
        method: str,
        path: str,
        deadline_s: float | None,
    ) -> None:
        """Admit a call; its actions go to the ticket."""
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

    def announce(self, announcement: Announcement) -> float:
        """Take an endpoint's word; return the lease, in seconds."""
        if self._members.announce(announcement, self._loop.time()):
            log(
                Event.UPSTREAM_ANNOUNCED,
                service=announcement.service,
                endpoint=announcement.endpoint,
                state=announcement.state,
            )
            self._update_upstreams()
        return LEASE_S

    def usable_entries(self, zone: str | None) -> list[EntryWord]:
        """Choose the entries that a caller should use."""
        self._turn += 1
        return self._directory.answer(
            zone, self._settings.entries_answer, self._turn, self._loop.time()
        )

    def status(self) -> dict[str, Any]:
        """Describe this entry to an operator."""
        return {
            "entry": self._directory.own,
            "entries": self._directory.usable(self._loop.time()),
            "index": self._follower.index,
            "revisions": self._follower.revisions,
            "in_flight": self._balancer.in_flight,
            "upstreams": self._members.live(),
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
            if isinstance(action, Refuse):
                self._metrics.count("refused")
            elif isinstance(action, Lose):
                self._metrics.count("unknown")
                log(Event.CALL_LOST, "warning", reason=action.reason)

    def _tick(self) -> None:
        self._perform(self._balancer.tick(self._loop.time()))

    def _expire(self) -> None:
        if self._members.expire(self._loop.time()):
            self._update_upstreams()

    def _update_upstreams(self) -> None:
        now = self._loop.time()
        live = self._members.live()
        self._perform(self._balancer.update_upstreams(live, now))

    def _apply(self, reply: FollowReply) -> None:
        now = self._loop.time()
        assert reply.documents is not None
        self._balancer.configure(read_services(reply.documents), now)
        self._update_upstreams()


class EntryPages:
    """Answer callers' and upstreams' questions over HTTP."""

    drain: DrainPage

    def __init__(self, daemon: EntryDaemon) -> None:
        self._daemon = daemon
        self._asker = daemon._asker

    @cherrypy.expose
    def entries(self, availability_zone: str | None = None) -> bytes:
        """Name the entries to use and how long to keep the answer."""
        words = self._asker.ask(self._daemon.usable_entries, availability_zone)
        return _json(
            {
                "entries": words,
                "keep_s": self._daemon._settings.entries_keep_s,
            }
        )

    @cherrypy.expose
    def announce(self) -> bytes:
        """Take an upstream's announcement."""
        body = cherrypy.request.body.read(65536)
        try:
            announcement = msgspec.json.decode(body, type=Announcement)
        except msgspec.DecodeError as error:
            raise cherrypy.HTTPError(400, str(error)) from error
        lease_s = self._asker.ask(self._daemon.announce, announcement)
        return _json(
            {"lease_s": lease_s, "refresh_s": lease_s / REFRESH_SHARE}
        )

    @cherrypy.expose
    def status(self) -> bytes:
        """Describe this entry."""
        return _json(self._asker.ask(self._daemon.status))


def _json(value: Any) -> bytes:
    cherrypy.response.headers["Content-Type"] = "application/json"
    return msgspec.json.encode(value)
