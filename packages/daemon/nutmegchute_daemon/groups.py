"""Meet the other control replicas: form a group, join it, be taken in."""

import asyncio

from nutmegchute_core.formations import Formation
from nutmegchute_core.formations import Introduction
from nutmegchute_core.memberships import Member
from nutmegchute_core.memberships import Membership
from nutmegchute_core.outsiders import Outsiders

from .events import Event
from .events import log
from .links import Links
from .links import Method
from .settings import Settings
from .storages import Identity
from .storages import Storage

INTRODUCE = Method("Replication", "Introduce", Introduction, Introduction)

FORM_S = 0.1


class Group:
    """Know this replica's identity and who introduced itself."""

    __slots__ = (
        "_formation",
        "_identity",
        "_links",
        "_member",
        "_outsiders",
        "_settings",
        "_storage",
    )

    def __init__(
        self,
        settings: Settings,
        links: Links,
        storage: Storage,
        identity: Identity,
    ) -> None:
        self._settings = settings
        self._links = links
        self._storage = storage
        self._identity = identity
        self._member = Member(
            identity=identity.identity,
            name=settings.name,
            grpc_address=settings.grpc_address,
            http_address=settings.http_address,
            availability_zone=settings.availability_zone,
        )
        # Not by the settings of this start: a replica that was killed
        # between its first start and the group's forming must still found.
        founders = settings.replicas if identity.founding else []
        self._formation = Formation(self._member, founders)
        self._outsiders = Outsiders()
        links.serve(INTRODUCE, self._on_introduce)

    @property
    def identity(self) -> str:
        """Give this replica's identity."""
        return self._identity.identity

    @property
    def group(self) -> str | None:
        """Name the group, once formed or joined."""
        return self._identity.group

    @property
    def genesis(self) -> Membership:
        """Give the membership this replica's log began with."""
        genesis = self._identity.genesis
        founder = genesis.find(self.identity) is not None
        return genesis if founder else Membership()

    async def form(self) -> None:
        """Wait until a group is formed or joined, and remember it.

        :raises StorageError: the group could not be made durable
        """
        while self._identity.group is None:
            await self.introduce()
            found = self._formation.result()
            if found is None:
                await asyncio.sleep(FORM_S)
                continue
            self._keep(found)

    async def introduce(self) -> None:
        """Introduce this replica to all listed ones."""
        asks = []
        for address in self._settings.replicas:
            if address == self._settings.grpc_address:
                continue
            asks.append(self._links.ask(address, INTRODUCE, self._word()))
        for reply in await asyncio.gather(*asks):
            if reply is not None:
                self._formation.hear(reply)

    def waiting(self, membership: Membership) -> dict[str, Member]:
        """Map names to the replicas that wait to become members."""
        now = asyncio.get_running_loop().time()
        return self._outsiders.waiting(membership, now)

    def _keep(self, found: Introduction) -> None:
        identity = Identity(
            self.identity, found.group, found.genesis, self._identity.founding
        )
        self._storage.keep_identity(identity)
        self._identity = identity
        founder = bool(self.genesis.members)
        event = Event.GROUP_FORMED if founder else Event.GROUP_JOINED
        log(event, group=found.group, identity=self.identity)

    async def _on_introduce(self, introduction: Introduction) -> Introduction:
        self._formation.hear(introduction)
        now = asyncio.get_running_loop().time()
        self._outsiders.hear(introduction, now)
        return self._word()

    def _word(self) -> Introduction:
        return Introduction(
            member=self._member,
            group=self._identity.group,
            genesis=self._identity.genesis,
        )
