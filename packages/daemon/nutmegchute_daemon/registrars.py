"""Register endpoints on a control replica and report them to entries."""

import asyncio
import secrets
from collections.abc import Callable

import msgspec
from nutmegchute_core.discovery import Discovery
from nutmegchute_core.follow_protocol import FollowReply
from nutmegchute_core.limit_boards import LimitReports
from nutmegchute_core.long_polls import quarantine_since
from nutmegchute_core.long_polls import tree_changes_since
from nutmegchute_core.members import Announcement
from nutmegchute_core.members import DRAINING
from nutmegchute_core.members import Process
from nutmegchute_core.nodes import Node
from nutmegchute_core.peers import Acknowledgement
from nutmegchute_core.peers import Confirmation
from nutmegchute_core.peers import PEER_HOLD_S
from nutmegchute_core.peers import PeerReply
from nutmegchute_core.peers import PeerRequest
from nutmegchute_core.registries import FOREIGN
from nutmegchute_core.registries import FULL
from nutmegchute_core.registries import OUTDATED
from nutmegchute_core.registries import STALE
from nutmegchute_core.sessions import ReplicaInfo
from nutmegchute_core.sessions import WATCH_HOLD_S
from nutmegchute_core.sessions import WatchReply
from nutmegchute_core.sessions import WatchRequest
from nutmegchute_core.transfers import Offer

from .clocks import boot_time
from .errors import DaemonError
from .events import Event
from .events import log
from .notifiers import BatchNotifier
from .notifiers import Notifier
from .refusals import Refusals
from .transfers import TreeOffers

EPOCH_BITS = 48
EXPIRE_S = 0.25
# An endpoint waits 1 s for the acknowledgement of its drain. A refusal within
# that time lets it try the next replica.
CONFIRM_TIMEOUT_S = 0.8
MAX_ENTRIES = 64
# Shortest time between two notifications of entries and replicas. Each costs
# an exchange with every entry: if 270 endpoints started within 2 s and each
# were reported at once, that would be 84,000 exchanges.
NOTIFY_GAP_S = 0.1
# The same for what an acknowledgement or a configuration change waits for.
URGENT_GAP_S = 0.02


# Reasons for which an announcement is refused and so not acknowledged.
REFUSALS = {
    FOREIGN: "this process has another service or address",
    FULL: "too many instances",
    OUTDATED: "a later start of this instance is known",
}


class NotConfirmedError(DaemonError):
    """Report that this replica can't acknowledge an endpoint's message."""


class Registrar:
    """Serve one replica's registry to endpoints, entries and replicas.

    ``in_contact`` returns whether the replica is in contact with a majority
    and holds what that has committed; ``node`` returns its node, None until
    it is loaded. ``offers`` holds the trees that are too long for a reply.
    """

    __slots__ = (
        "_changes",
        "_discovery",
        "_in_contact",
        "_node",
        "_offers",
        "_progress",
        "_refusals",
    )

    def __init__(
        self,
        own_address: str,
        in_contact: Callable[[], bool],
        node: Callable[[], Node | None],
        offers: TreeOffers,
    ) -> None:
        epoch = secrets.randbits(EPOCH_BITS)
        self._discovery = Discovery(own_address, epoch, boot_time())
        self._in_contact = in_contact
        self._node = node
        self._offers = offers
        self._refusals = Refusals()
        self._changes = BatchNotifier()
        self._progress = Notifier()

    @property
    def discovery(self) -> Discovery:
        """Return this replica's registry, entry sessions and peers."""
        return self._discovery

    @property
    def instance_count(self) -> int:
        """Return the number of instances registered here."""
        return len(self._discovery.registry)

    @property
    def entry_count(self) -> int:
        """Return the number of entries recently seen by any replica."""
        return self._discovery.count_entries(boot_time())

    def applied(self) -> dict[str, int]:
        """Map the entries that watch here to the tree index each applies."""
        return self._discovery.sessions.applied(boot_time())

    def has_entry_behind(self, index: int) -> bool:
        """Return whether a connected entry has a tree older than an index."""
        return self._discovery.has_lagging_entry(index, boot_time())

    def notify_long_polls(self) -> None:
        """Answer the held long polls soon: the tree or the group changed."""
        self._update_peers()
        self._changes.notify(URGENT_GAP_S)

    def expire(self) -> None:
        """Expire the instances and entries that have been silent too long."""
        now = boot_time()
        self._refusals.report(now)
        self._update_peers()
        if self._discovery.peers.detect_pause(now):
            log(Event.PAUSED, "warning")
        if self._discovery.expire(now):
            self._changes.notify(NOTIFY_GAP_S)

    def _update_peers(self) -> None:
        node = self._node()
        if node is None:
            return
        members = node.replica.membership.members
        addresses = [one.grpc_address for one in members]
        self._discovery.peers.update(addresses, boot_time())

    @property
    def generation(self) -> int:
        """Return the registry's generation, which counts its changes."""
        return self._discovery.registry.generation

    def list_announcements(self) -> list[Announcement]:
        """List the announcements registered here."""
        return self._discovery.registry.list_announcements(boot_time())

    def restore_endpoints(self, announcements: list[Announcement]) -> None:
        """Restore the endpoints saved before this start."""
        now = boot_time()
        for announcement in announcements:
            self._discovery.registry.restore(announcement, now)

    def record_refused(self, reason: str) -> None:
        """Count an announcement that is refused."""
        self._refusals.record(reason, boot_time())

    def _refuse(self, reason: str) -> NotConfirmedError:
        self.record_refused(reason)
        return NotConfirmedError(reason)

    def _is_declared(self, service: str) -> bool:
        """Return whether the configuration may declare a service.

        True also where this replica can't know the current configuration.
        """
        node = self._node()
        if node is None or not self._in_contact():
            return True
        documents = node.machine.tree.documents
        if not documents:
            return True
        return any(service in one["services"] for one in documents.values())

    async def announce(
        self, announcement: Announcement, sequence: int
    ) -> None:
        """Register an announcement; a return acknowledges it.

        :raises NotConfirmedError: not acknowledged; try another replica
        """
        now = boot_time()
        if (
            not self._in_contact()
            and not self._discovery.sessions.any_connected(now)
        ):
            raise NotConfirmedError("neither replicas nor entries in reach")
        known = self._discovery.registry.is_registered(announcement.process)
        if not known and not self._is_declared(announcement.service):
            # The sender is not one of our endpoints. Registering it would
            # end the process that has the same instance name.
            raise self._refuse("service is not declared")
        before = self._discovery.registry.generation
        outcome = self._discovery.registry.register(
            announcement, sequence, now
        )
        refusal = REFUSALS.get(outcome)
        if refusal is not None:
            raise self._refuse(refusal)
        if outcome != STALE and self._discovery.registry.generation != before:
            log(
                Event.INSTANCE_ANNOUNCED,
                instance=announcement.instance,
                incarnation=announcement.incarnation,
                service=announcement.service,
                endpoint=announcement.endpoint,
                state=announcement.state,
                sequence=sequence,
            )
            self._changes.notify(NOTIFY_GAP_S)
        if announcement.state == DRAINING:
            await self._confirm(announcement.process)

    async def end(self, instance: str, incarnation: int | None) -> None:
        """End a process that stops; a return acknowledges it.

        Without an incarnation, end the instance's latest known process.

        :raises NotConfirmedError: not acknowledged; try another replica
        """
        process = self._discovery.registry.latest(instance)
        if incarnation is not None:
            process = (instance, incarnation)
        if self._discovery.registry.is_superseded(process):
            # A partition delayed the message; the instance has restarted.
            raise self._refuse(REFUSALS[OUTDATED])
        if self._discovery.registry.end(process, boot_time()):
            log(
                Event.INSTANCE_STOPPED,
                instance=instance,
                incarnation=process[1],
            )
        await self._confirm(process)

    def nearest(self, zone: str) -> str | None:
        """Return the address of a reachable replica in a zone, if any.

        Endpoints that announce to a replica of their own availability zone
        cause no traffic between zones.
        """
        node = self._node()
        if node is None:
            return None
        discovery = self._discovery
        # A replaced replica stays listed for a while. Endpoints directed to
        # it would lose a second before each announcement arrives.
        reachable = {
            discovery.own_address,
            *discovery.peers.reachable_replicas(boot_time()),
        }
        for member in node.replica.membership.members:
            if member.availability_zone != zone:
                continue
            if member.grpc_address in reachable:
                return member.http_address
        return None

    def resolve(self, zone: str | None) -> list[str]:
        """Return the addresses of entries for a caller in a zone."""
        node = self._node()
        evacuated = () if node is None else node.machine.evacuations.zones
        return self._discovery.usable_entries(
            zone, MAX_ENTRIES, boot_time(), evacuated
        )

    async def handle_watch(self, request: WatchRequest) -> WatchReply:
        """Reply to an entry's watch, at once if there are changes."""
        discovery = self._discovery
        now = boot_time()
        known = discovery.sessions.generation
        discovery.record_watch(request, now)
        if discovery.sessions.generation != known:
            self._changes.notify(NOTIFY_GAP_S)
        self._progress.notify()
        hold_until = now + min(WATCH_HOLD_S, request.hold_s)
        try:
            while not self._has_changes(request):
                left_s = hold_until - boot_time()
                if left_s <= 0:
                    break
                await self._changes.wait(left_s)
            tree, offer = await self._find_tree_changes(request)
        except asyncio.CancelledError:
            # The connection ended, most likely because the entry stopped:
            # callers are not directed to it until it sends a new watch.
            discovery.sessions.close(request.entry.name)
            self._changes.notify(NOTIFY_GAP_S)
            raise
        discovery.sessions.record_answer(request.entry.name, boot_time())
        return msgspec.structs.replace(
            self._build_reply(request), tree=tree, offer=offer
        )

    async def handle_peer_request(self, request: PeerRequest) -> PeerReply:
        """Reply to another replica's poll, at once if there are changes."""
        discovery = self._discovery
        now = boot_time()
        discovery.peers.record_request(request, now)
        hold_until = now + min(PEER_HOLD_S, request.hold_s)
        while self._changes.pending or not discovery.has_peer_changes(request):
            left_s = hold_until - boot_time()
            if left_s <= 0:
                break
            await self._changes.wait(left_s)
        return discovery.build_reply(request, boot_time())

    async def handle_confirmation(
        self, confirmation: Confirmation
    ) -> Acknowledgement:
        """Record another replica's confirmation."""
        discovery = self._discovery
        discovery.peers.record_confirmation(
            confirmation, discovery.registry.epoch, boot_time()
        )
        self._progress.notify()
        return Acknowledgement()

    async def handle_limits(self, request: LimitReports) -> Acknowledgement:
        """Record the rate limits that an entry learned from endpoints."""
        if self._discovery.record_limits(request.reports, boot_time()):
            self._changes.notify(NOTIFY_GAP_S)
        return Acknowledgement()

    def handle_reply(self, address: str, reply: PeerReply) -> None:
        """Apply another replica's reply to a poll."""
        discovery = self._discovery
        awaited = reply.awaited_generation
        peer = discovery.peers.find(address)
        known = 0 if peer is None else peer.awaited_generation
        if discovery.apply_reply(address, reply, boot_time()):
            urgent = awaited > known
            self._changes.notify(URGENT_GAP_S if urgent else NOTIFY_GAP_S)
        self._progress.notify()

    async def wait_progress(self, timeout_s: float) -> None:
        """Wait until an entry or a replica reports the state it holds."""
        await self._progress.wait(timeout_s)

    async def _confirm(self, process: Process) -> None:
        """Wait until every connected entry has received a process's drain.

        After the acknowledgement no entry may call the process. One that
        has not received the drain would send calls to a process that is
        about to exit.

        :raises NotConfirmedError: an entry did not confirm in time, or this
            replica is not in contact with a majority
        """
        discovery = self._discovery
        generation = discovery.registry.generation_of(process)
        discovery.request_confirmation(generation)
        self._changes.notify(URGENT_GAP_S)
        deadline = boot_time() + CONFIRM_TIMEOUT_S
        while True:
            now = boot_time()
            discovery.peers.detect_pause(now)
            if not self._in_contact():
                # Entries across a partition have not received the drain.
                raise NotConfirmedError("no majority of replicas in reach")
            behind = discovery.unconfirmed(generation, now)
            if not behind:
                return
            if now >= deadline:
                log(
                    Event.DRAIN_UNCONFIRMED,
                    "warning",
                    instance=process[0],
                    behind=behind,
                )
                raise NotConfirmedError("not every entry has confirmed")
            await self._progress.wait(deadline - now)

    @property
    def _is_current(self) -> bool:
        """Return whether entries may rely on this replica's state."""
        if self._node() is None or not self._in_contact():
            return False
        return self._discovery.is_caught_up(boot_time())

    def _has_changes(self, request: WatchRequest) -> bool:
        if self._changes.pending:
            return False
        if self._discovery.has_changes(request, boot_time()):
            return True
        node = self._node()
        if node is None or not self._in_contact():
            # Replying lets the entry watch a replica that is in contact.
            return True
        if node.machine.tree.index > request.index and not request.fetching:
            return True
        if node.machine.quarantine.index > request.quarantine:
            return True
        if node.machine.evacuations.index > request.evacuations:
            return True
        return node.replica.log.membership_index > request.members

    def _should_refer(self, request: WatchRequest) -> bool:
        """Return whether to refer an entry to a replica in its own zone.

        A starting entry watches any seed. If seeds of other zones sent all
        endpoints, 250 entries would transfer 7.5 MB between zones after
        each loss of power.
        """
        if request.members >= 0:
            return False
        nearest = self.nearest(request.entry.availability_zone)
        return nearest is not None and not self._is_near(request)

    def _is_near(self, request: WatchRequest) -> bool:
        node = self._node()
        if node is None:
            return False
        for member in node.replica.membership.members:
            if member.grpc_address == self._discovery.own_address:
                zone = request.entry.availability_zone
                return member.availability_zone == zone
        return False

    async def _find_tree_changes(
        self, request: WatchRequest
    ) -> tuple[FollowReply | None, Offer | None]:
        """Return what an entry's tree lacks, or its offer if it is long."""
        node = self._node()
        if node is None or request.fetching or self._should_refer(request):
            return None, None
        if not self._in_contact():
            # Out of contact, this replica's tree may be outdated.
            return None, None
        tree = tree_changes_since(node, request.index, True)
        if tree is None or request.fetching is None:
            return tree, None
        offer = await self._offers.offer(tree, request.index)
        return (tree, None) if offer is None else (None, offer)

    def _build_reply(self, request: WatchRequest) -> WatchReply:
        discovery = self._discovery
        now = boot_time()
        should_refer = self._should_refer(request)
        reply = WatchReply(
            {} if should_refer else discovery.deltas(request, now),
            self.entry_count,
            members=request.members,
            unreachable=discovery.unreachable(request, now),
            calls_per_s=discovery.calls_per_s(now),
            current=self._is_current,
            counted=discovery.is_settled(now),
        )
        node = self._node()
        if node is None:
            return reply
        reply = msgspec.structs.replace(
            reply,
            members=max(node.replica.log.membership_index, request.members),
            replicas=_replicas_since(node, request.members),
        )
        if should_refer or not self._in_contact():
            return reply
        return msgspec.structs.replace(
            reply,
            quarantine=quarantine_since(node, request.quarantine),
            evacuations=node.machine.evacuations.since(request.evacuations),
            group=discovery.group(request.group, now),
            limits=discovery.limits_since(request.limits, now),
            helpers=discovery.helpers(request.entry, request.helpers, now),
        )


def _replicas_since(node: Node, known: int) -> list[ReplicaInfo] | None:
    """List the replicas; None if unchanged since a log index."""
    if node.replica.log.membership_index <= known:
        return None
    found = []
    for one in node.replica.membership.members:
        found.append(ReplicaInfo(one.grpc_address, one.availability_zone))
    return found
