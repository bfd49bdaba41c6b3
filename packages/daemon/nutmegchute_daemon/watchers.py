"""Ask each control replica for what changed, on an entry."""

import asyncio
from traceback import format_exc
from typing import Protocol

from nutmegchute_core.sessions import WATCH_FAR_S
from nutmegchute_core.sessions import WATCH_NEAR_S
from nutmegchute_core.sessions import WatchReply
from nutmegchute_core.sessions import WatchRequest

from .events import Event
from .events import log
from .links import Links
from .methods import WATCH

# What a held question may take beyond the hold before its connection counts
# as silent and is opened anew: a way there and back and a busy replica.
WATCH_MARGIN_S = 0.6
# A replica that refuses connections is asked again after so long; it is back
# within a second of a restart.
RETRY_S = 0.15
# One that does not answer at all is asked more rarely as time goes on.
RETRY_MOST_S = 1.0
# Before a replica's first answer, which is not held, and for so many tries.
# After a loss of power an entry may be back before control is, and the first
# packet to a vm without power is lost: TCP sends it again after a second. In
# a margin as long as above entries stood 0.4 s without a configuration that
# others had.
FIRST_TIMEOUT_S = 0.2
FIRST_RETRY_S = 0.05
FIRST_TRIES = 20


class Asking(Protocol):
    """Describe the entry that watches."""

    @property
    def availability_zone(self) -> str:
        """Name the entry's availability zone."""

    def question(self, replica: str, hold_s: float) -> WatchRequest:
        """Build the question for a replica."""

    def hear(self, replica: str, reply: WatchReply) -> None:
        """Take a replica's answer."""


class Watcher:
    """Hold an open question at one control replica."""

    __slots__ = (
        "_address",
        "_asking",
        "_links",
        "_lost",
        "_pending",
        "_reached",
        "_task",
    )

    def __init__(self, address: str, links: Links, asking: Asking) -> None:
        self._address = address
        self._links = links
        self._asking = asking
        self._lost = False
        self._reached = False
        self._pending: asyncio.Task[WatchReply | None] | None = None
        self._task = asyncio.ensure_future(self._run())

    def poke(self) -> None:
        """Ask anew at once: this entry has something to say."""
        if self._pending is not None:
            self._pending.cancel()

    def stop(self) -> None:
        """Ask no more."""
        self._task.cancel()

    async def _run(self) -> None:
        hold_s = 0.0
        failures = 0
        while True:
            reply = await self._ask(hold_s, self._timeout_s(hold_s, failures))
            if reply is not None:
                self._reached = True
                near = reply.zone == self._asking.availability_zone
                hold_s = WATCH_NEAR_S if near else WATCH_FAR_S
                failures = 0
                self._report(lost=False)
                self._hear(reply)
                continue
            failures += 1
            hold_s = 0.0
            self._report(lost=True)
            self._links.drop(self._address)
            await asyncio.sleep(self._pause_s(failures))

    def _is_first(self, failures: int) -> bool:
        return not self._reached and failures <= FIRST_TRIES

    def _timeout_s(self, hold_s: float, failures: int) -> float:
        if self._is_first(failures):
            return FIRST_TIMEOUT_S
        return WATCH_MARGIN_S + hold_s

    def _pause_s(self, failures: int) -> float:
        if self._is_first(failures):
            return FIRST_RETRY_S
        return min(RETRY_MOST_S, RETRY_S * failures)

    def _hear(self, reply: WatchReply) -> None:
        try:
            self._asking.hear(self._address, reply)
        except Exception:
            # Were the watcher to end with it, this entry would keep its
            # configuration and endpoints for good and serve on by them.
            log(
                Event.WORD_FAILED,
                "error",
                address=self._address,
                trace=format_exc(),
            )

    async def _ask(self, hold_s: float, timeout_s: float) -> WatchReply | None:
        while True:
            request = self._asking.question(self._address, hold_s)
            self._pending = asyncio.ensure_future(
                self._links.ask(self._address, WATCH, request, timeout_s)
            )
            await asyncio.wait([self._pending])
            if not self._pending.cancelled():
                return self._pending.result()
            # Cancelled by a poke: the same question with other words.

    def _report(self, lost: bool) -> None:
        if lost == self._lost:
            return
        self._lost = lost
        if lost:
            log(Event.CONTROL_LOST, "warning", address=self._address)
        else:
            log(Event.CONTROL_REACHED, address=self._address)


class Watchers:
    """Watch every control replica known."""

    __slots__ = ("_asking", "_links", "_seeds", "_told", "_watchers")

    def __init__(self, seeds: list[str], links: Links, asking: Asking) -> None:
        self._seeds = seeds
        self._links = links
        self._asking = asking
        self._told: list[str] = []
        self._watchers: dict[str, Watcher] = {}

    @property
    def addresses(self) -> list[str]:
        """List the replicas that are watched."""
        return list(self._watchers)

    def start(self) -> None:
        """Begin with the replicas that the settings name."""
        self._watch(self._seeds)

    def seed(self, seeds: list[str]) -> None:
        """Take other seeds, from settings that have changed."""
        self._seeds = seeds
        self._watch([*self._told, *seeds])

    def update(self, replicas: list[str]) -> None:
        """Watch the replicas that the group consists of now."""
        self._told = replicas
        self._watch(replicas)

    def poke(self) -> None:
        """Ask every replica anew at once."""
        for watcher in self._watchers.values():
            watcher.poke()

    def stop(self) -> None:
        """Ask no more."""
        self._watch([])

    def _watch(self, addresses: list[str]) -> None:
        for address in list(self._watchers):
            if address not in addresses:
                self._watchers.pop(address).stop()
        for address in addresses:
            if address in self._watchers:
                continue
            self._watchers[address] = Watcher(
                address, self._links, self._asking
            )
