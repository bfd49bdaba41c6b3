"""Meet the other control replicas: form a group, join it, be taken in."""

import asyncio
from collections.abc import Callable

from nutmegchute_core.formations import Formation
from nutmegchute_core.formations import Introduction
from nutmegchute_core.join_requests import JoinRequests
from nutmegchute_core.memberships import Member
from nutmegchute_core.memberships import Membership

from .events import Event
from .events import log
from .links import Links
from .links import Method
from .settings import Settings
from .storages import Identity
from .storages import Storage

INTRODUCE = Method("Replication", "Introduce", Introduction, Introduction)

FORM_PERIOD_S = 0.1
# A replica without power answers nothing; the others' answers do not wait
# for the end of its timeout.
ANSWER_TIMEOUT_S = 0.2


class Group:
    """Know this replica's identity and who introduced itself."""

    __slots__ = (
        "_formation",
        "_identity",
        "_introductions",
        "_join_requests",
        "_leader",
        "_links",
        "_member",
        "_reported_leader",
        "_settings",
        "_storage",
    )

    def __init__(
        self,
        settings: Settings,
        links: Links,
        storage: Storage,
        identity: Identity,
        leader: Callable[[], Member | None],
    ) -> None:
        self._leader = leader
        self._introductions: dict[str, asyncio.Task[None]] = {}
        # Where a member said last that the leader is; without one, where
        # this member is, which may know of one later.
        self._reported_leader = ""
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
        self._join_requests = JoinRequests()
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

    def reload(self, settings: Settings) -> None:
        """Take the listed replicas of settings that have changed."""
        self._settings = settings

    async def form(self) -> None:
        """Wait until a group is formed or joined, and remember it.

        :raises StorageError: the group could not be made durable
        """
        while self._identity.group is None:
            await self.introduce()
            found = self._formation.result()
            if found is None:
                await asyncio.sleep(FORM_PERIOD_S)
                continue
            self._save_identity(found)

    async def introduce(self, members: list[Member] | None = None) -> None:
        """Introduce this replica to all listed ones and to the leader.

        ``members`` are those that its own log knows: the listed ones may
        have been replaced since.
        """
        addresses = [*self._settings.replicas, self._reported_leader]
        for member in members or []:
            addresses.append(member.grpc_address)
        for address in addresses:
            self._start_introduction(address, refer=True)
        if self._introductions:
            await asyncio.wait(
                self._introductions.values(), timeout=ANSWER_TIMEOUT_S
            )

    def introduce_to(self, address: str) -> None:
        """Introduce this replica to one that has lost its disk.

        All that its settings list may have been replaced since; then it
        would ask in vain.
        """
        self._start_introduction(address, refer=False)

    def _start_introduction(self, address: str, refer: bool) -> None:
        if address in ("", self._member.grpc_address, *self._introductions):
            return
        task = asyncio.create_task(
            self._exchange_introductions(address, refer)
        )
        self._introductions[address] = task
        task.add_done_callback(
            lambda _: self._introductions.pop(address, None)
        )

    async def _exchange_introductions(self, address: str, refer: bool) -> None:
        reply = await self._links.send_request(
            address, INTRODUCE, self._own_introduction()
        )
        if reply is None:
            return
        self._formation.record(reply)
        if refer:
            # Once: two that take each other for the leader would refer to
            # one another without end.
            self._start_introduction(reply.leader, refer=False)

    def pending_joins(self, membership: Membership) -> dict[str, Member]:
        """Map names to the replicas that wait to become members."""
        now = asyncio.get_running_loop().time()
        return self._join_requests.pending(membership, now)

    def _save_identity(self, found: Introduction) -> None:
        identity = Identity(
            self.identity, found.group, found.genesis, self._identity.founding
        )
        self._storage.save_identity(identity)
        self._identity = identity
        founder = bool(self.genesis.members)
        event = Event.GROUP_FORMED if founder else Event.GROUP_JOINED
        log(event, group=found.group, identity=self.identity)

    async def _on_introduce(self, introduction: Introduction) -> Introduction:
        self._formation.record(introduction)
        if introduction.group is not None:
            leader = introduction.leader
            self._reported_leader = leader or introduction.member.grpc_address
        now = asyncio.get_running_loop().time()
        self._join_requests.record(introduction, now)
        return self._own_introduction()

    def _own_introduction(self) -> Introduction:
        leader = self._leader()
        return Introduction(
            member=self._member,
            group=self._identity.group,
            genesis=self._identity.genesis,
            leader="" if leader is None else leader.grpc_address,
        )
