"""Hear endpoints on a control replica and tell entries of them."""

import asyncio
import secrets
from collections.abc import Callable

import msgspec
from nutmegchute_core.fleets import FollowReply
from nutmegchute_core.followings import news_since
from nutmegchute_core.members import Announcement
from nutmegchute_core.members import DRAINING
from nutmegchute_core.members import Process
from nutmegchute_core.nodes import Node
from nutmegchute_core.registries import FOREIGN
from nutmegchute_core.registries import FULL
from nutmegchute_core.registries import OUTDATED
from nutmegchute_core.registries import Registry
from nutmegchute_core.registries import STALE
from nutmegchute_core.sessions import EntrySessions
from nutmegchute_core.sessions import WATCH_FAR_S
from nutmegchute_core.sessions import WatchReply
from nutmegchute_core.sessions import WatchRequest

from .clocks import boot_time
from .errors import DaemonError
from .events import Event
from .events import log

EPOCH_BITS = 48
EXPIRE_S = 0.25
# An endpoint waits a second for the word that its leaving is known; it asks
# the next replica when this one says in time that it cannot give it.
CONFIRM_S = 0.8
# A replica that has just started does not know the entries yet. Naming only
# those that were quickest would send them the callers of all.
GATHER_S = 0.7
MOST_ENTRIES = 64
# A writer that goes wrong may send many words a second; one line in so many
# seconds tells of all.
REFUSALS_TOLD_S = 10.0


# Why a word is not taken, and so not acknowledged.
REFUSALS = {
    FOREIGN: "this process has another service or address",
    FULL: "too many instances",
    OUTDATED: "a later start of this instance is known",
}


class NotConfirmedError(DaemonError):
    """Say that this replica cannot vouch for what it was told."""


class News:
    """Wake all that wait whenever there is something new."""

    __slots__ = ("_waiting",)

    def __init__(self) -> None:
        self._waiting: set[asyncio.Future[None]] = set()

    def tell(self) -> None:
        """Wake everybody."""
        waiting, self._waiting = self._waiting, set()
        for future in waiting:
            if not future.done():
                future.set_result(None)

    async def wait(self, timeout_s: float) -> None:
        """Wait for news, at most so long."""
        future = asyncio.get_running_loop().create_future()
        self._waiting.add(future)
        try:
            await asyncio.wait([future], timeout=timeout_s)
        finally:
            self._waiting.discard(future)


class Refusals:
    """Log words that were refused, however many come, in one line a while."""

    __slots__ = ("_count", "_reason", "_told_at")

    def __init__(self) -> None:
        self._count = 0
        self._reason = ""
        self._told_at = -REFUSALS_TOLD_S

    def note(self, reason: str, now: float) -> None:
        """Count one; the first after a while is logged at once."""
        self._count += 1
        self._reason = reason
        self.tell(now)

    def tell(self, now: float) -> None:
        """Log what was counted, if it is time."""
        if not self._count or now - self._told_at < REFUSALS_TOLD_S:
            return
        log(
            Event.WORDS_REFUSED,
            "warning",
            words=self._count,
            reason=self._reason,
        )
        self._told_at = now
        self._count = 0


class Registrar:
    """Hold what one control replica knows of endpoints and entries.

    ``in_contact`` tells whether the replica has heard a majority of the
    others lately; ``node`` gives it once it is loaded.
    """

    __slots__ = (
        "_sessions",
        "_in_contact",
        "_news",
        "_node",
        "_refusals",
        "_registry",
        "_seen",
        "_started_at",
        "_zone",
    )

    def __init__(
        self,
        zone: str,
        in_contact: Callable[[], bool],
        node: Callable[[], Node | None],
    ) -> None:
        self._zone = zone
        self._in_contact = in_contact
        self._node = node
        self._registry = Registry(secrets.randbits(EPOCH_BITS))
        self._sessions = EntrySessions()
        self._refusals = Refusals()
        self._news = News()
        self._seen = News()
        self._started_at = boot_time()

    @property
    def instances(self) -> int:
        """Count the instances that announce here."""
        return len(self._registry)

    @property
    def entries(self) -> int:
        """Count the entries heard of lately."""
        return self._sessions.count(boot_time())

    def applied(self) -> dict[str, int]:
        """Map each entry in touch to the tree that it has in force."""
        return self._sessions.applied(boot_time())

    def lagging(self, index: int) -> bool:
        """Tell whether an entry in touch has an older tree in force."""
        return any(one < index for one in self.applied().values())

    def tell(self) -> None:
        """Wake the entries' questions: the tree or the group changed."""
        self._news.tell()

    def expire(self) -> None:
        """Drop the instances that have fallen silent."""
        self._refusals.tell(boot_time())
        if self._registry.expire(boot_time()):
            self._news.tell()

    @property
    def generation(self) -> int:
        """Count the changes of what announces here."""
        return self._registry.generation

    def present(self) -> list[Announcement]:
        """List what announces here."""
        return self._registry.present(boot_time())

    def recall(self, announcements: list[Announcement]) -> None:
        """Take the endpoints that were known before this start."""
        now = boot_time()
        for announcement in announcements:
            self._registry.recall(announcement, now)

    def note_refused(self, reason: str) -> None:
        """Count what cannot be taken for an endpoint's word."""
        self._refusals.note(reason, boot_time())

    def _refuse(self, reason: str) -> NotConfirmedError:
        self.note_refused(reason)
        return NotConfirmedError(reason)

    def _declared(self, service: str) -> bool:
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
        if not self._in_contact() and not self._sessions.any_open(now):
            raise NotConfirmedError("neither replicas nor entries in reach")
        known = self._registry.knows(announcement.process)
        if not known and not self._declared(announcement.service):
            # Whoever wrote this is no endpoint of ours. Taken, it would end
            # the process that has this instance's name.
            raise self._refuse("service is not declared")
        before = self._registry.generation
        outcome = self._registry.take(announcement, sequence, now)
        refusal = REFUSALS.get(outcome)
        if refusal is not None:
            raise self._refuse(refusal)
        if outcome != STALE and self._registry.generation != before:
            log(
                Event.INSTANCE_HEARD,
                instance=announcement.instance,
                incarnation=announcement.incarnation,
                service=announcement.service,
                endpoint=announcement.endpoint,
                state=announcement.state,
                sequence=sequence,
            )
            self._news.tell()
        if announcement.state == DRAINING:
            await self._confirm(announcement.process)

    async def end(self, instance: str, incarnation: int | None) -> None:
        """Take a process's farewell; returning acknowledges it.

        Without its incarnation it is that of the latest process known.

        :raises NotConfirmedError: ask another replica
        """
        process = self._registry.latest(instance)
        if incarnation is not None:
            process = (instance, incarnation)
        if self._registry.outdated(process):
            # Held up by a partition: the instance has started again.
            raise self._refuse(REFUSALS[OUTDATED])
        if self._registry.end(process, boot_time()):
            log(
                Event.INSTANCE_ENDED,
                instance=instance,
                incarnation=process[1],
            )
            self._news.tell()
        await self._confirm(process)

    def nearest(self, zone: str) -> str | None:
        """Return the address of a replica in a zone, if there is one.

        Endpoints that announce themselves within their availability zone
        send no bytes between zones.
        """
        node = self._node()
        if node is None:
            return None
        for member in node.replica.membership.members:
            if member.availability_zone == zone:
                return member.http_address
        return None

    def resolve(self, zone: str | None) -> list[str]:
        """Return the entries that a caller in a zone should use."""
        now = boot_time()
        if now - self._started_at < GATHER_S:
            return []
        return self._sessions.usable(zone, MOST_ENTRIES, now)

    async def watch(self, request: WatchRequest) -> WatchReply:
        """Answer an entry's question, at once where there is news."""
        name = request.entry.name
        seen = request.generation
        if request.epoch != self._registry.epoch:
            seen = 0
        now = boot_time()
        self._sessions.hear(
            request.entry,
            seen,
            request.index,
            request.hold_s,
            now,
            request.calls_per_s,
        )
        self._seen.tell()
        hold_until = now + min(WATCH_FAR_S, request.hold_s)
        try:
            while not self._has_news(request):
                left_s = hold_until - boot_time()
                if left_s <= 0:
                    break
                await self._news.wait(left_s)
        except asyncio.CancelledError:
            # Its connection is gone, most likely with the entry: callers
            # are not sent there until it asks again.
            self._sessions.close(name)
            raise
        self._sessions.answered(name, boot_time())
        return self._reply(request)

    async def _confirm(self, process: Process) -> None:
        """Wait until each entry in touch knows that a process leaves.

        An acknowledged leaving binds all entries. One that missed the word
        would send calls to a process that is about to exit.

        :raises NotConfirmedError: some entry did not say so in time
        """
        generation = self._registry.generation
        give_up_at = boot_time() + CONFIRM_S
        while True:
            now = boot_time()
            if not self._in_contact():
                # Entries on the other side of a cut know nothing of it.
                raise NotConfirmedError("no majority of replicas in reach")
            behind = self._sessions.behind(generation, now)
            if not behind:
                return
            if now >= give_up_at:
                log(
                    Event.DRAIN_UNCONFIRMED,
                    "warning",
                    instance=process[0],
                    entries=behind,
                )
                raise NotConfirmedError("not every entry has confirmed")
            await self._seen.wait(give_up_at - now)

    def _has_news(self, request: WatchRequest) -> bool:
        mark = (self._registry.epoch, self._registry.generation)
        if (request.epoch, request.generation) != mark:
            return True
        node = self._node()
        if node is None or not self._in_contact():
            return False
        if node.machine.tree.index > request.index:
            return True
        return node.replica.log.membership_index > request.members

    def _reply(self, request: WatchRequest) -> WatchReply:
        registry = self._registry
        delta = None
        if (request.epoch, request.generation) != (
            registry.epoch,
            registry.generation,
        ):
            delta = registry.since(
                request.epoch, request.generation, boot_time()
            )
        reply = WatchReply(
            delta,
            self.entries,
            members=request.members,
            zone=self._zone,
            calls_per_s=self._sessions.calls_per_s(boot_time()),
        )
        node = self._node()
        if node is None or not self._in_contact():
            return reply
        tree: FollowReply | None = news_since(node, request.index, True)
        members = node.replica.log.membership_index
        replicas = None
        if members > request.members:
            membership = node.replica.membership
            replicas = [one.grpc_address for one in membership.members]
        return msgspec.structs.replace(
            reply,
            tree=tree,
            members=max(members, request.members),
            replicas=replicas,
        )
