"""Form or join the group of control replicas by introductions."""

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
# A replica without power never answers. The others' answers must not wait
# for the timeout of the request to it.
ANSWER_TIMEOUT_S = 0.2


class Group:
    """Introduce this replica to others and form or join their group."""

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
        # Address of the leader as a member last reported it. If the member
        # knew none, its own address, since it may know one later.
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
        # From the stored identity, not from the settings of this start: a
        # replica killed after its first start and before the group formed
        # must still be a founder.
        founders = settings.replicas if identity.founding else []
        self._formation = Formation(self._member, founders)
        self._join_requests = JoinRequests()
        links.serve(INTRODUCE, self._on_introduce)

    @property
    def identity(self) -> str:
        """Return this replica's identity."""
        return self._identity.identity

    @property
    def group(self) -> str | None:
        """Return the group's id, None until formed or joined."""
        return self._identity.group

    @property
    def genesis(self) -> Membership:
        """Return the initial membership of this replica's log.

        It is empty on a replica that joined later.
        """
        genesis = self._identity.genesis
        is_founder = genesis.find(self.identity) is not None
        return genesis if is_founder else Membership()

    def reload(self, settings: Settings) -> None:
        """Use the replicas listed in changed settings."""
        self._settings = settings

    async def form(self) -> None:
        """Wait until a group is formed or joined, and save it.

        :raises StorageError: the group could not be saved
        """
        while self._identity.group is None:
            await self.introduce()
            found = self._formation.result()
            if found is None:
                await asyncio.sleep(FORM_PERIOD_S)
                continue
            self._save_identity(found)

    async def introduce(self, members: list[Member] | None = None) -> None:
        """Introduce this replica to all listed replicas and the leader.

        ``members`` are the members in its own log: the listed replicas may
        all have been replaced.
        """
        addresses = [*self._settings.replicas, self._reported_leader]
        for member in members or []:
            addresses.append(member.grpc_address)
        for address in addresses:
            self._start_introduction(address, follow_referral=True)
        if self._introductions:
            await asyncio.wait(
                self._introductions.values(), timeout=ANSWER_TIMEOUT_S
            )

    def introduce_to(self, address: str) -> None:
        """Introduce this replica to one that has lost its disk.

        The replicas listed in that one's settings may all have been
        replaced, so that it could not find the group by itself.
        """
        self._start_introduction(address, follow_referral=False)

    def _start_introduction(self, address: str, follow_referral: bool) -> None:
        if address in ("", self._member.grpc_address, *self._introductions):
            return
        task = asyncio.create_task(
            self._exchange_introductions(address, follow_referral)
        )
        self._introductions[address] = task
        task.add_done_callback(
            lambda _: self._introductions.pop(address, None)
        )

    async def _exchange_introductions(
        self, address: str, follow_referral: bool
    ) -> None:
        reply = await self._links.send_request(
            address, INTRODUCE, self._own_introduction()
        )
        if reply is None:
            return
        self._formation.record(reply)
        if follow_referral:
            # Once only: two replicas that take each other for the leader
            # would refer to each other without end.
            self._start_introduction(reply.leader, follow_referral=False)

    def pending_joins(self, membership: Membership) -> dict[str, Member]:
        """Return the replicas that request to join, by name."""
        now = asyncio.get_running_loop().time()
        return self._join_requests.pending(membership, now)

    def _save_identity(self, found: Introduction) -> None:
        identity = Identity(
            self.identity, found.group, found.genesis, self._identity.founding
        )
        self._storage.save_identity(identity)
        self._identity = identity
        is_founder = bool(self.genesis.members)
        event = Event.GROUP_FORMED if is_founder else Event.GROUP_JOINED
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
