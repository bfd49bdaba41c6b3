"""Run the entry role: calls, announcements, gossip, configuration."""

import asyncio
import secrets
from typing import Any

from nutmegchute_core.balancers import Balancer
from nutmegchute_core.calls import Probe
from nutmegchute_core.directories import Directory
from nutmegchute_core.directories import EntryWord
from nutmegchute_core.fleets import FollowReply
from nutmegchute_core.members import Announcement
from nutmegchute_core.members import LEASE_S
from nutmegchute_core.members import Members
from nutmegchute_core.rules import read_services

from .callers import CALL_PATH
from .callers import CallHandler
from .connections import Connections
from .daemons import Daemon
from .desks import CallDesk
from .desks import SWEEP_S
from .events import Event
from .events import log
from .followers import Follower
from .gossips import Gossiper
from .pages import EntryPages
from .probes import Prober
from .senders import Sender

GOSSIP_S = 0.25
EXPIRE_S = 0.1
DRAIN_TICK_S = 0.05


class EntryDaemon(Daemon):
    """Stand between callers and upstreams."""

    def prepare(self) -> None:
        """Build the decisions' state and mount the callers' side."""
        settings = self._settings
        own = EntryWord(
            settings.name, settings.http_address, settings.availability_zone
        )
        self._balancer = Balancer(
            secrets.randbits(32), settings.availability_zone
        )
        self._members = Members()
        self._directory = Directory(own)
        self._turn = 0
        self._follower = Follower(settings, self._links, self._apply)
        self._gossiper = Gossiper(
            settings=settings,
            links=self._links,
            members=self._members,
            directory=self._directory,
            on_change=self._update_upstreams,
        )
        self._connections = Connections()
        self._handler = CallHandler(
            asker=self._asker,
            sender=Sender(self._connections),
            name=settings.name,
            body_bytes=settings.request_body_bytes,
            threads=settings.http_threads,
        )
        self._prober = Prober(self._tell_probe)
        self._desk = CallDesk(
            self._balancer,
            self._metrics,
            self._handler.hedge,
            self._prober.ask,
        )
        self._handler.desk = self._desk
        self._http.mount(
            EntryPages(self, self._asker, settings.entries_keep_s)
        )
        self._http.handle(CALL_PATH, self._handler)

    def begin(self) -> None:
        """Start the periodic work: gossip, configuration, sweeps."""
        self.every(SWEEP_S, self._sweep)
        self.every(EXPIRE_S, self._expire)
        self.every(GOSSIP_S, self._gossiper.spread)
        self.every(0, self._follower.follow)

    async def finish(self) -> None:
        """Leave the directory, outlast every answer, end the calls."""
        self._directory.drain()
        log(Event.DRAINING)
        await self._gossiper.spread()
        # A caller may have been given this address a moment ago and may
        # keep it that long; closing earlier would refuse its connection.
        await asyncio.sleep(self._settings.entries_keep_s)
        # Nobody should come any more. Who does is sent away with "not
        # run", and each connection ends with the answer it waits for.
        self._http.close_politely()
        self._handler.refusal = "entry is leaving"
        while self._handler.active:
            await asyncio.sleep(DRAIN_TICK_S)

    def close(self) -> None:
        """Let go of the helping threads."""
        self._desk.stop()
        self._prober.stop()

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

    def _sweep(self) -> None:
        self._desk.sweep()
        self._connections.sweep()

    def _tell_probe(
        self, probe: Probe, load: int | None, latency_s: float
    ) -> None:
        self._asker.tell(self._take_probe, probe, load, latency_s)

    def _take_probe(
        self, probe: Probe, load: int | None, latency_s: float
    ) -> None:
        self._metrics.count("probes")
        actions = self._balancer.take_probe(
            probe.service, probe.endpoint, load, latency_s, self._loop.time()
        )
        self._desk.perform(actions)

    def _expire(self) -> None:
        if self._members.expire(self._loop.time()):
            self._update_upstreams()

    def _update_upstreams(self) -> None:
        now = self._loop.time()
        live = self._members.live()
        self._desk.perform(self._balancer.update_upstreams(live, now))

    def _apply(self, reply: FollowReply) -> None:
        now = self._loop.time()
        assert reply.documents is not None
        self._balancer.configure(read_services(reply.documents), now)
        self._update_upstreams()
