"""Exchange with the other entries what each has heard."""

import asyncio
from collections.abc import Callable

import msgspec
from nutmegchute_core.directories import Directory
from nutmegchute_core.directories import EntryInfo
from nutmegchute_core.members import Announcement
from nutmegchute_core.members import GossipMessage
from nutmegchute_core.rosters import Roster

from .clocks import boot_time
from .links import Links
from .links import Method
from .settings import Settings

GOSSIP_S = 1.0
TICK_S = 0.05
YIELD_S = 2 * TICK_S
TIMEOUT_S = 0.5


class Gossip(msgspec.Struct, frozen=True, array_like=True):
    """Carry one entry's word to another.

    ``demand`` maps availability zones to the callers that asked lately.
    """

    word: EntryInfo
    grpc_address: str
    demand: dict[str, float]
    vouch: GossipMessage


EXCHANGE = Method("Membership", "Exchange", Gossip, Gossip)


class Gossiper:
    """Spread this entry's word and hear the others'.

    A pair of entries exchanges words every GOSSIP_S, by whichever of the
    two is first; a change of the own set goes out with the next tick.
    """

    __slots__ = (
        "_directory",
        "_exchanged",
        "_links",
        "_members",
        "_names",
        "_on_change",
        "_settings",
        "_spread",
        "_stamp",
        "_tasks",
    )

    def __init__(
        self,
        settings: Settings,
        links: Links,
        members: Roster,
        directory: Directory,
        on_change: Callable[[list[Announcement]], None],
    ) -> None:
        self._settings = settings
        self._links = links
        self._members = members
        self._directory = directory
        self._on_change = on_change
        self._exchanged: dict[str, float] = {}
        self._names: dict[str, str] = {}
        self._spread = (members.generation, False)
        self._stamp: tuple[object, ...] = ()
        self._tasks: set[asyncio.Task[None]] = set()
        links.serve(EXCHANGE, self._on_gossip)

    def tick(self) -> None:
        """Expire what lapsed and exchange with the entries that are due."""
        now = boot_time()
        self._members.expire(now)
        self._directory.expire(now)
        state = (self._members.generation, self._directory.own.draining)
        urgent = state != self._spread
        self._spread = state
        for address in self._peers():
            due_at = self._exchanged.get(address, 0.0) + GOSSIP_S
            if self._settings.grpc_address > address:
                # Both are due at the same moment, time after time; without
                # this each would ask the other.
                due_at += YIELD_S
            if urgent or now >= due_at:
                self._start(address, now)
        self.refresh()

    def refresh(self) -> None:
        """Report the live endpoints when they have changed."""
        now = boot_time()
        stamp = self._members.version(now)
        if stamp == self._stamp:
            return
        self._stamp = stamp
        self._on_change(self._members.live(now))

    async def spread(self) -> None:
        """Exchange words with every other entry once."""
        await asyncio.gather(*map(self._exchange, self._peers()))

    def _peers(self) -> list[str]:
        own = self._settings.grpc_address
        return [one for one in self._settings.entries if one != own]

    def _start(self, address: str, now: float) -> None:
        self._exchanged[address] = now
        task = asyncio.create_task(self._exchange(address))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _exchange(self, address: str) -> None:
        gossip = self._gossip(self._names.get(address, ""))
        reply = await self._links.send_request(
            address, EXCHANGE, gossip, TIMEOUT_S
        )
        if reply is not None:
            self._hear(reply)
            return
        # Callers must not be sent to a vm that is gone; should only the
        # link be cut, the next exchange takes the entry in again.
        self._directory.remove(self._names.get(address, ""))

    async def _on_gossip(self, gossip: Gossip) -> Gossip:
        self._hear(gossip)
        return self._gossip(gossip.word.name)

    def _gossip(self, peer_name: str) -> Gossip:
        now = boot_time()
        return Gossip(
            word=self._directory.own,
            grpc_address=self._settings.grpc_address,
            demand=self._directory.demand(now),
            vouch=self._members.build_message(peer_name, now),
        )

    def _hear(self, gossip: Gossip) -> None:
        now = boot_time()
        name = gossip.word.name
        self._names[gossip.grpc_address] = name
        dated_at = self._members.receive(name, gossip.vouch, now)
        if dated_at is None:
            # The other entry is new to this one, or the other way round:
            # only the next exchange can be dated, so it comes at once.
            self._exchanged.pop(gossip.grpc_address, None)
            return
        self._exchanged[gossip.grpc_address] = now
        self._directory.update(gossip.word, gossip.demand, dated_at)
        self.refresh()
