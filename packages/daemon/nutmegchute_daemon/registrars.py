"""Hear endpoints on a control replica and tell entries of them."""

import asyncio
import secrets
from collections.abc import Callable

import msgspec
from nutmegchute_core.discovery import Discovery
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
from nutmegchute_core.warmups import EntryGroup

from .clocks import boot_time
from .errors import DaemonError
from .events import Event
from .events import log
from .notifiers import BatchNotifier
from .notifiers import Notifier
from .refusals import Refusals

EPOCH_BITS = 48
EXPIRE_S = 0.25
# An endpoint waits a second until its leaving is acknowledged; it asks the
# next replica when this one says in time that it cannot do that.
CONFIRM_TIMEOUT_S = 0.8
MAX_ENTRIES = 64
# Entries and replicas are told at most once in so long of endpoints that
# came or fell silent, and sooner of what an acknowledgement or a change
# waits for. Each telling costs an exchange with every entry: 270 endpoints
# that come within two seconds would cost 84,000.
NOTIFY_GAP_S = 0.1
URGENT_GAP_S = 0.02


# Why an announcement is not taken, and so not acknowledged.
REFUSALS = {
    FOREIGN: "this process has another service or address",
    FULL: "too many instances",
    OUTDATED: "a later start of this instance is known",
}


class NotConfirmedError(DaemonError):
    """Say that this replica cannot vouch for what it was told."""


class Registrar:
    """Hold what one control replica knows of endpoints and entries.

    ``in_contact`` tells whether the replica has heard a majority of the
    others lately; ``node`` gives it once it is loaded.
    """

    __slots__ = (
        "_changes",
        "_discovery",
        "_in_contact",
        "_node",
        "_progress",
        "_refusals",
    )

    def __init__(
        self,
        own: str,
        in_contact: Callable[[], bool],
        node: Callable[[], Node | None],
    ) -> None:
        epoch = secrets.randbits(EPOCH_BITS)
        self._discovery = Discovery(own, epoch, boot_time())
        self._in_contact = in_contact
        self._node = node
        self._refusals = Refusals()
        self._changes = BatchNotifier()
        self._progress = Notifier()

    @property
    def discovery(self) -> Discovery:
        """Give what this replica knows of endpoints and entries."""
        return self._discovery

    @property
    def instance_count(self) -> int:
        """Count the instances that announce here."""
        return len(self._discovery.registry)

    @property
    def entry_count(self) -> int:
        """Count the entries heard of lately by any replica."""
        return self._discovery.count_entries(boot_time())

    def applied(self) -> dict[str, int]:
        """Map each entry that asks here to the tree it has in force."""
        return self._discovery.sessions.applied(boot_time())

    def has_entry_behind(self, index: int) -> bool:
        """Tell whether an entry in touch has an older tree in force."""
        return self._discovery.has_lagging_entry(index, boot_time())

    def notify_long_polls(self) -> None:
        """Wake the entries' questions: the tree or the group changed."""
        self._update_peers()
        self._changes.notify(URGENT_GAP_S)

    def expire(self) -> None:
        """Drop the instances and entries that have fallen silent."""
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
        """Count the changes of what announces here."""
        return self._discovery.registry.generation

    def present(self) -> list[Announcement]:
        """List what announces here."""
        return self._discovery.registry.present(boot_time())

    def restore_endpoints(self, announcements: list[Announcement]) -> None:
        """Take the endpoints that were known before this start."""
        now = boot_time()
        for announcement in announcements:
            self._discovery.registry.restore(announcement, now)

    def record_refused(self, reason: str) -> None:
        """Count what cannot be taken for an endpoint's word."""
        self._refusals.record(reason, boot_time())

    def _refuse(self, reason: str) -> NotConfirmedError:
        self.record_refused(reason)
        return NotConfirmedError(reason)

    def _is_declared(self, service: str) -> bool:
        """Tell whether a configuration in force may name a service."""
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
        """Take an instance's word; returning acknowledges it.

        :raises NotConfirmedError: ask another replica
        """
        now = boot_time()
        if (
            not self._in_contact()
            and not self._discovery.sessions.any_connected(now)
        ):
            raise NotConfirmedError("neither replicas nor entries in reach")
        known = self._discovery.registry.is_registered(announcement.process)
        if not known and not self._is_declared(announcement.service):
            # Whoever wrote this is no endpoint of ours. Taken, it would end
            # the process that has this instance's name.
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
                Event.INSTANCE_HEARD,
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
        """Take a process's farewell; returning acknowledges it.

        Without its incarnation it is that of the latest process known.

        :raises NotConfirmedError: ask another replica
        """
        process = self._discovery.registry.latest(instance)
        if incarnation is not None:
            process = (instance, incarnation)
        if self._discovery.registry.is_superseded(process):
            # Held up by a partition: the instance has started again.
            raise self._refuse(REFUSALS[OUTDATED])
        if self._discovery.registry.end(process, boot_time()):
            log(
                Event.INSTANCE_ENDED,
                instance=instance,
                incarnation=process[1],
            )
        await self._confirm(process)

    def nearest(self, zone: str) -> str | None:
        """Return the address of a replica in a zone, if one is heard.

        Endpoints that announce themselves within their availability zone
        send no bytes between zones.
        """
        node = self._node()
        if node is None:
            return None
        discovery = self._discovery
        # A replica that was replaced stays listed for a while. Endpoints
        # sent there would wait a second before each announcement arrives.
        heard = {
            discovery.own,
            *discovery.peers.reachable_replicas(boot_time()),
        }
        for member in node.replica.membership.members:
            if member.availability_zone != zone:
                continue
            if member.grpc_address in heard:
                return member.http_address
        return None

    def resolve(self, zone: str | None) -> list[str]:
        """Return the entries that a caller in a zone should use."""
        node = self._node()
        evacuated = () if node is None else node.machine.evacuations.zones
        return self._discovery.usable_entries(
            zone, MAX_ENTRIES, boot_time(), evacuated
        )

    async def handle_watch(self, request: WatchRequest) -> WatchReply:
        """Answer an entry's question, at once where there is news."""
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
        except asyncio.CancelledError:
            # Its connection is gone, most likely with the entry: callers
            # are not sent there until it asks again.
            discovery.sessions.close(request.entry.name)
            self._changes.notify(NOTIFY_GAP_S)
            raise
        discovery.sessions.record_answer(request.entry.name, boot_time())
        return self._build_reply(request)

    async def handle_peer_request(self, request: PeerRequest) -> PeerReply:
        """Answer another replica's question, at once where there is news."""
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

    async def handle_confirmation(self, seen: Confirmation) -> Acknowledgement:
        """Take another replica's confirmation."""
        discovery = self._discovery
        discovery.peers.record_confirmation(
            seen, discovery.registry.epoch, boot_time()
        )
        self._progress.notify()
        return Acknowledgement()

    def handle_reply(self, address: str, reply: PeerReply) -> None:
        """Take another replica's answer."""
        discovery = self._discovery
        wanted = reply.awaited_generation
        peer = discovery.peers.find(address)
        known = 0 if peer is None else peer.awaited_generation
        if discovery.apply_reply(address, reply, boot_time()):
            urgent = wanted > known
            self._changes.notify(URGENT_GAP_S if urgent else NOTIFY_GAP_S)
        self._progress.notify()

    async def wait_progress(self, timeout_s: float) -> None:
        """Wait until an entry or a replica has said what it knows."""
        await self._progress.wait(timeout_s)

    async def _confirm(self, process: Process) -> None:
        """Wait until each entry in touch knows that a process leaves.

        An acknowledged leaving binds all entries. One that does not know
        would send calls to a process that is about to exit.

        :raises NotConfirmedError: some entry did not say so in time
        """
        discovery = self._discovery
        generation = discovery.registry.changed_in(process)
        discovery.request_confirmation(generation)
        self._changes.notify(URGENT_GAP_S)
        give_up_at = boot_time() + CONFIRM_TIMEOUT_S
        while True:
            now = boot_time()
            discovery.peers.detect_pause(now)
            if not self._in_contact():
                # Entries on the other side of a cut know nothing of it.
                raise NotConfirmedError("no majority of replicas in reach")
            behind = discovery.unconfirmed(generation, now)
            if not behind:
                return
            if now >= give_up_at:
                log(
                    Event.DRAIN_UNCONFIRMED,
                    "warning",
                    instance=process[0],
                    behind=behind,
                )
                raise NotConfirmedError("not every entry has confirmed")
            await self._progress.wait(give_up_at - now)

    @property
    def _is_current(self) -> bool:
        """Tell whether entries can rely on what this replica says."""
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
            # The entry may find a replica that is in contact.
            return True
        if node.machine.tree.index > request.index:
            return True
        if node.machine.quarantine.index > request.quarantine:
            return True
        if node.machine.evacuations.index > request.evacuations:
            return True
        return node.replica.log.membership_index > request.members

    def _should_refer(self, request: WatchRequest) -> bool:
        """Tell whether an entry should first hear of a nearer replica.

        At its start it asks any seed. Told all endpoints by one of another
        zone, 250 entries would take 7.5 MB between zones after each loss
        of power.
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
            if member.grpc_address == self._discovery.own:
                zone = request.entry.availability_zone
                return member.availability_zone == zone
        return False

    def _entry_group(
        self, node: Node, request: WatchRequest
    ) -> EntryGroup | None:
        if not _bounds_warm_up(node):
            return None
        return self._discovery.group(request.group, boot_time())

    def _build_reply(self, request: WatchRequest) -> WatchReply:
        discovery = self._discovery
        now = boot_time()
        refers = self._should_refer(request)
        reply = WatchReply(
            {} if refers else discovery.deltas(request, now),
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
        if refers or not self._in_contact():
            # Out of contact it may know an old tree only.
            return reply
        return msgspec.structs.replace(
            reply,
            tree=tree_changes_since(node, request.index, True),
            quarantine=quarantine_since(node, request.quarantine),
            evacuations=node.machine.evacuations.since(request.evacuations),
            group=self._entry_group(node, request),
        )


def _bounds_warm_up(node: Node) -> bool:
    """Tell whether a service bounds the calls to its cold endpoints."""
    for document in node.machine.tree.documents.values():
        for service in document["services"].values():
            if "warm_up_per_s" in service:
                return True
    return False


def _replicas_since(node: Node, known: int) -> list[ReplicaInfo] | None:
    """List the replicas, if the group changed since a log index."""
    if node.replica.log.membership_index <= known:
        return None
    found = []
    for one in node.replica.membership.members:
        found.append(ReplicaInfo(one.grpc_address, one.availability_zone))
    return found
