"""Run the entry role: calls, announcements, gossip, configuration."""

import asyncio
import secrets
from typing import Any

import cherrypy
import msgspec
from nutmegchute_core.balancers import Balancer
from nutmegchute_core.calls import Action
from nutmegchute_core.calls import Lose
from nutmegchute_core.calls import Refuse
from nutmegchute_core.calls import Result
from nutmegchute_core.calls import Send
from nutmegchute_core.directories import Directory
from nutmegchute_core.directories import EntryWord
from nutmegchute_core.fleets import FollowReply
from nutmegchute_core.fleets import FollowRequest
from nutmegchute_core.members import Announcement
from nutmegchute_core.members import Gossip
from nutmegchute_core.members import LEASE_S
from nutmegchute_core.members import Members
from nutmegchute_core.rules import read_services

from .callers import CALL_PATH
from .callers import CallApplication
from .callers import Ticket
from .daemons import Daemon
from .events import Event
from .events import log
from .protocols import EXCHANGE
from .protocols import FOLLOW

TICK_S = 0.01
GOSSIP_S = 0.25
EXPIRE_S = 0.1
FOLLOW_TIMEOUT_S = 2.0
FOLLOW_RETRY_S = 0.1
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
        self._index = 0
        self._revisions: dict[str, int] = {}
        self._leader = 0
        self._links.serve(EXCHANGE, self._on_gossip)
        application = CallApplication(
            self, self._asker, settings.name, settings.request_body_bytes
        )
        self._http.mount(EntryPages(self))
        self._http.graft(application, CALL_PATH)

    def begin(self) -> None:
        """Start ticking, gossiping and following the configuration."""
        self.every(TICK_S, self._tick)
        self.every(EXPIRE_S, self._expire)
        self.every(GOSSIP_S, self._gossip)
        self.every(0, self._follow)

    async def finish(self) -> None:
        """Leave the directory, outlast every answer, end the calls."""
        self._directory.drain()
        log(Event.DRAINING)
        await self._gossip()
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
            "index": self._index,
            "revisions": self._revisions,
            "in_flight": self._balancer.in_flight,
            "upstreams": self._members.live(),
        }

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            ticket = self._tickets.get(action.call_id)
            if ticket is None:
                continue
            ticket.put(action)
            if isinstance(action, Send):
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

    def _word(self) -> Gossip:
        own = self._directory.own
        return Gossip(
            entry=own.name,
            address=own.address,
            availability_zone=own.availability_zone,
            draining=own.draining,
            vouches=self._members.vouches(self._loop.time()),
        )

    async def _gossip(self) -> None:
        word = self._word()
        own = self._settings.grpc_address
        asks = []
        for address in self._settings.entries:
            if address == own:
                continue
            asks.append(self._links.ask(address, EXCHANGE, word))
        for reply in await asyncio.gather(*asks):
            if reply is None:
                continue
            self._hear(reply)

    async def _on_gossip(self, gossip: Gossip) -> Gossip:
        self._hear(gossip)
        return self._word()

    def _hear(self, gossip: Gossip) -> None:
        now = self._loop.time()
        word = EntryWord(
            gossip.entry,
            gossip.address,
            gossip.availability_zone,
            gossip.draining,
        )
        self._directory.hear(word, now)
        if self._members.hear(gossip, now):
            self._update_upstreams()

    async def _follow(self) -> None:
        peers = self._settings.control
        if not peers:
            await asyncio.sleep(FOLLOW_TIMEOUT_S)
            return
        peer = peers[self._leader % len(peers)]
        request = FollowRequest(self._settings.name, self._index)
        reply = await self._links.ask(
            peer.grpc_address, FOLLOW, request, FOLLOW_TIMEOUT_S
        )
        if reply is None:
            log(Event.CONFIG_UNREACHABLE, "warning", replica=peer.name)
            self._leader += 1
            await asyncio.sleep(FOLLOW_RETRY_S)
            return
        if reply.leader != peer.name:
            self._turn_to(reply.leader)
            await asyncio.sleep(FOLLOW_RETRY_S)
            return
        self._apply(reply)

    def _turn_to(self, leader: str | None) -> None:
        for position, peer in enumerate(self._settings.control):
            if peer.name == leader:
                self._leader = position
                return
        self._leader += 1

    def _apply(self, reply: FollowReply) -> None:
        if reply.documents is None or reply.index <= self._index:
            return
        now = self._loop.time()
        self._balancer.configure(read_services(reply.documents), now)
        self._index = reply.index
        self._revisions = reply.revisions
        self._update_upstreams()
        log(Event.CONFIG_APPLIED, index=self._index)


class EntryPages:
    """Answer callers' and upstreams' questions over HTTP."""

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
