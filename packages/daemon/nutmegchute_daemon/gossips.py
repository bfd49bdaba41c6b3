"""Exchange live endpoints and entry states with the other entries."""

import asyncio
from collections.abc import Callable

import msgspec
from nutmegchute_core.directories import Directory
from nutmegchute_core.directories import EntryInfo
from nutmegchute_core.limit_boards import LimitBoard
from nutmegchute_core.limit_boards import LimitUpdate
from nutmegchute_core.members import Announcement
from nutmegchute_core.members import GossipMessage
from nutmegchute_core.mirrors import NO_WATERMARK
from nutmegchute_core.mirrors import Watermark
from nutmegchute_core.rosters import Roster

from .clocks import boot_time
from .links import Links
from .links import Method
from .settings import Settings

GOSSIP_S = 1.0
TICK_S = 0.05
TIE_BREAK_S = 2 * TICK_S
TIMEOUT_S = 0.5


class Gossip(msgspec.Struct, frozen=True, array_like=True):
    """Carry one entry's state to another.

    ``demand`` maps availability zones to their callers' recent lookups of
    entries; ``message`` carries the endpoints that announce to the sender.
    ``limits`` carries the rate limits that it learned from answers and the
    receiver lacks; ``held_limits`` is the watermark up to which it holds the
    receiver's, None from an entry that does not know of limits.
    """

    entry: EntryInfo
    grpc_address: str
    demand: dict[str, float]
    message: GossipMessage
    limits: LimitUpdate | None = None
    held_limits: Watermark | None = None


EXCHANGE = Method("Membership", "Exchange", Gossip, Gossip)


class Gossiper:
    """Exchange this entry's state with that of the other entries.

    Each pair of entries exchanges messages every GOSSIP_S; whichever is due
    first sends the request. A change of the own set is sent at the next tick.
    """

    __slots__ = (
        "_directory",
        "_exchanged_at",
        "_links",
        "_limits",
        "_limits_held",
        "_limits_known",
        "_live_version",
        "_members",
        "_names",
        "_on_change",
        "_on_limits",
        "_sent_state",
        "_settings",
        "_tasks",
    )

    def __init__(
        self,
        settings: Settings,
        links: Links,
        members: Roster,
        directory: Directory,
        limits: LimitBoard,
        on_change: Callable[[list[Announcement]], None],
        on_limits: Callable[[LimitUpdate], None],
    ) -> None:
        self._settings = settings
        self._links = links
        self._members = members
        self._directory = directory
        self._limits = limits
        # By entry: the watermark of its limits held here, and that of the
        # limits of this entry held there.
        self._limits_held: dict[str, Watermark] = {}
        self._limits_known: dict[str, Watermark] = {}
        self._on_change = on_change
        self._on_limits = on_limits
        self._exchanged_at: dict[str, float] = {}
        self._names: dict[str, str] = {}
        self._sent_state = self._state()
        self._live_version: tuple[object, ...] = ()
        self._tasks: set[asyncio.Task[None]] = set()
        links.serve(EXCHANGE, self._on_gossip)

    def tick(self) -> None:
        """Expire leases and start the exchanges that are due."""
        now = boot_time()
        self._members.expire(now)
        self._directory.expire(now)
        state = self._state()
        urgent = state != self._sent_state
        self._sent_state = state
        for address in self._peers():
            due_at = self._exchanged_at.get(address, 0.0) + GOSSIP_S
            if self._settings.grpc_address > address:
                # Both entries of a pair are due at the same time; without
                # this delay each would send a request to the other.
                due_at += TIE_BREAK_S
            if urgent or now >= due_at:
                self._start_exchange(address, now)
        self.refresh()

    def _state(self) -> tuple[object, ...]:
        """Return a value whose changes are sent at once."""
        return (
            self._members.generation,
            self._directory.own_entry.draining,
            self._directory.own_entry.cut_off,
            self._limits.own_watermark,
        )

    def refresh(self) -> None:
        """Pass the live endpoints to ``on_change`` if they have changed."""
        now = boot_time()
        current = self._members.version(now)
        if current == self._live_version:
            return
        self._live_version = current
        self._on_change(self._members.live(now))

    async def exchange_all(self) -> None:
        """Exchange messages with every other entry once."""
        await asyncio.gather(*map(self._exchange, self._peers()))

    def _peers(self) -> list[str]:
        own_address = self._settings.grpc_address
        return [one for one in self._settings.entries if one != own_address]

    def _start_exchange(self, address: str, now: float) -> None:
        self._exchanged_at[address] = now
        task = asyncio.create_task(self._exchange(address))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _exchange(self, address: str) -> None:
        gossip = self._build_gossip(self._names.get(address, ""))
        reply = await self._links.send_request(
            address, EXCHANGE, gossip, TIMEOUT_S
        )
        if reply is not None:
            self._receive(reply)
            return
        # The entry's vm may be down: stop returning it to callers. If only
        # the connection failed, the next exchange adds the entry again.
        self._directory.remove(self._names.get(address, ""))

    async def _on_gossip(self, gossip: Gossip) -> Gossip:
        self._receive(gossip)
        return self._build_gossip(gossip.entry.name)

    def _build_gossip(self, peer_name: str) -> Gossip:
        now = boot_time()
        known = self._limits_known.get(peer_name)
        limits = None
        if known is not None:
            loop_now = asyncio.get_running_loop().time()
            limits = self._limits.since(known, loop_now, own_only=True)
        return Gossip(
            entry=self._directory.own_entry,
            grpc_address=self._settings.grpc_address,
            demand=self._directory.demand(now),
            message=self._members.build_message(peer_name, now),
            limits=limits,
            held_limits=self._limits_held.get(peer_name, NO_WATERMARK),
        )

    def _receive(self, gossip: Gossip) -> None:
        now = boot_time()
        name = gossip.entry.name
        self._names[gossip.grpc_address] = name
        self._receive_limits(name, gossip)
        valid_at = self._members.receive(name, gossip.message, now)
        if valid_at is None:
            # One of the two entries is new to the other, so the age of this
            # message is unknown. That of the next one will be known; make
            # its exchange due at once.
            self._exchanged_at.pop(gossip.grpc_address, None)
            return
        self._exchanged_at[gossip.grpc_address] = now
        self._directory.update(gossip.entry, gossip.demand, valid_at)
        self.refresh()

    def _receive_limits(self, name: str, gossip: Gossip) -> None:
        if gossip.held_limits is None:
            self._limits_known.pop(name, None)
        else:
            self._limits_known[name] = gossip.held_limits
        if gossip.limits is not None:
            self._limits_held[name] = gossip.limits.watermark
            self._on_limits(gossip.limits)
