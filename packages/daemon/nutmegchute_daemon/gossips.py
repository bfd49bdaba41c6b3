"""Exchange with the other entries what each has heard."""

import asyncio
from collections.abc import Callable

from nutmegchute_core.directories import Directory
from nutmegchute_core.directories import EntryWord
from nutmegchute_core.members import Gossip
from nutmegchute_core.members import Members

from .links import Links
from .protocols import EXCHANGE
from .settings import Settings


class Gossiper:
    """Spread this entry's word and hear the others'."""

    __slots__ = ("_directory", "_links", "_members", "_on_change", "_settings")

    def __init__(
        self,
        settings: Settings,
        links: Links,
        members: Members,
        directory: Directory,
        on_change: Callable[[], None],
    ) -> None:
        self._settings = settings
        self._links = links
        self._members = members
        self._directory = directory
        self._on_change = on_change
        links.serve(EXCHANGE, self._on_gossip)

    async def spread(self) -> None:
        """Exchange words with every other entry once."""
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

    def _word(self) -> Gossip:
        own = self._directory.own
        now = asyncio.get_running_loop().time()
        return Gossip(
            entry=own.name,
            address=own.address,
            availability_zone=own.availability_zone,
            draining=own.draining,
            vouches=self._members.vouches(now),
        )

    def _hear(self, gossip: Gossip) -> None:
        now = asyncio.get_running_loop().time()
        word = EntryWord(
            gossip.entry,
            gossip.address,
            gossip.availability_zone,
            gossip.draining,
        )
        self._directory.hear(word, now)
        if self._members.hear(gossip, now):
            self._on_change()
