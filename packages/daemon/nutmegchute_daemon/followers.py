"""Follow the configuration that the control replicas keep."""

import asyncio
import time
from collections.abc import Callable

import msgspec
from nutmegchute_core.evacuations import EvacuationUpdate
from nutmegchute_core.follow_protocol import FollowReply
from nutmegchute_core.follow_protocol import FollowRequest
from nutmegchute_core.follow_protocol import HOLD_S
from nutmegchute_core.follow_protocol import RelayReply
from nutmegchute_core.follow_protocol import TREE_LEASE_S
from nutmegchute_core.follow_protocol import TreeLease
from nutmegchute_core.quarantines import QuarantineUpdate

from .events import Event
from .events import log
from .links import Links
from .methods import FOLLOW
from .methods import RELAY
from .settings import Settings
from .trees import TreeCopy

# The leader holds a question for HOLD_S at most.
TIMEOUT_S = HOLD_S + 0.8
RELAY_TIMEOUT_S = HOLD_S + 1.0
LEAVE_TIMEOUT_S = 0.5
PROBE_TIMEOUT_S = 1.0
RETRY_S = 0.1
IDLE_S = 2.0


class Follower:
    """Keep an entry at the newest tree, never at an older one."""

    __slots__ = (
        "_entries",
        "_lapsed",
        "_links",
        "_on_tree",
        "_relay",
        "_settings",
        "_lease",
        "_target",
        "_tree",
        "_turn",
        "on_evacuations",
        "on_quarantine",
        "_evacuations",
        "_quarantine",
    )

    def __init__(
        self,
        settings: Settings,
        links: Links,
        on_tree: Callable[[FollowReply], None],
    ) -> None:
        own = settings.grpc_address
        self._settings = settings
        self._links = links
        self._on_tree = on_tree
        self._entries = [one for one in settings.entries if one != own]
        self._lease = TreeLease(len(self._entries))
        self._target: str | None = None
        self._relay: str | None = None
        self._turn = 0
        self._lapsed = False
        self._tree = TreeCopy()
        # Takes the requests that may crash endpoints, where they changed.
        self.on_quarantine: Callable[[QuarantineUpdate], None]
        self._quarantine = 0
        # Takes the evacuated availability zones, where they changed.
        self.on_evacuations: Callable[[EvacuationUpdate], None]
        self._evacuations = 0
        links.serve(RELAY, self._on_relay)

    @property
    def index(self) -> int:
        """Give the log index of the tree in force here."""
        return self._tree.index

    @property
    def revisions(self) -> dict[str, int]:
        """Map each team to the revision in force here."""
        return self._tree.revisions

    @property
    def has_lease(self) -> bool:
        """Tell whether a leader confirmed the tree lately."""
        return self._lease.has_lease(_clock())

    def may_act(self) -> bool:
        """Tell whether calls may be sent by the tree at hand."""
        return self.index > 0 and self._lease.may_act(_clock())

    async def follow(self) -> None:
        """Ask once for a newer tree; the leader holds the question."""
        if not self._settings.control:
            await asyncio.sleep(IDLE_S)
            return
        address = self._target or self._next_replica()
        relayed = self._relay is not None
        asked_at = _clock()
        reply = await self._links.ask(
            address,
            FOLLOW,
            self._request(hold=not relayed),
            PROBE_TIMEOUT_S if relayed else TIMEOUT_S,
        )
        if reply is None:
            log(Event.CONFIG_UNREACHABLE, "warning", address=address)
        elif reply.current:
            self._target = address
            self._relay = None
            self._take(reply, asked_at)
            return
        hint = reply.leader_address if reply is not None else None
        self._target = hint if hint != address else None
        self._report_lease()
        if relayed or not self.has_lease:
            await self._ask_entries()
        await asyncio.sleep(RETRY_S)

    async def leave(self) -> None:
        """Tell the leader that this entry acts on no tree any more."""
        if self._target is None:
            return
        request = FollowRequest(self._settings.name, self.index, True)
        await self._links.ask(self._target, FOLLOW, request, LEAVE_TIMEOUT_S)

    async def _ask_entries(self) -> None:
        # Cut off from control, but not from the other entries, this entry
        # stays current through one of them.
        if self._relay is not None:
            if await self._ask_entry(self._relay, True):
                return
            self._relay = None
        await asyncio.gather(
            *[self._ask_entry(one, False) for one in self._entries]
        )

    async def _ask_entry(self, address: str, hold: bool) -> bool:
        asked_at = _clock()
        answer: RelayReply | None = await self._links.ask(
            address,
            RELAY,
            self._request(hold),
            RELAY_TIMEOUT_S if hold else PROBE_TIMEOUT_S,
        )
        if answer is None:
            return False
        if answer.reply is None:
            self._lease.record_leaderless(address, _clock())
            return False
        if not answer.reply.current:
            return False
        self._relay = address
        self._take(answer.reply, asked_at)
        return True

    async def _on_relay(self, request: FollowRequest) -> RelayReply:
        if self._target is None or not self.has_lease:
            return RelayReply(None)
        reply = await self._links.ask(
            self._target,
            FOLLOW,
            request,
            TIMEOUT_S if request.hold else PROBE_TIMEOUT_S,
        )
        return RelayReply(reply or FollowReply(None, None, False))

    def _request(self, hold: bool) -> FollowRequest:
        hold = hold and self._lease.may_hold(_clock())
        return FollowRequest(
            self._settings.name,
            self.index,
            hold=hold,
            quarantine=self._quarantine,
            evacuations=self._evacuations,
        )

    def _next_replica(self) -> str:
        replicas = self._settings.control
        self._turn += 1
        return replicas[self._turn % len(replicas)].grpc_address

    def _take(self, reply: FollowReply, asked_at: float) -> None:
        # Before the tree: an entry that starts acts as soon as it has one.
        if reply.evacuations is not None:
            self._evacuations = reply.evacuations.index
            self.on_evacuations(reply.evacuations)
        if self._tree.apply_reply(reply):
            self._on_tree(
                msgspec.structs.replace(
                    reply,
                    documents=self._tree.documents,
                    revisions=self._tree.revisions,
                )
            )
            log(Event.CONFIG_APPLIED, index=self.index)
        if reply.quarantine is not None:
            self._quarantine = reply.quarantine.index
            self.on_quarantine(reply.quarantine)
        self._lease.renew(asked_at)
        self._report_lease()

    def _report_lease(self) -> None:
        lapsed = not self.has_lease
        if lapsed == self._lapsed or not self.index:
            return
        self._lapsed = lapsed
        if lapsed:
            log(
                Event.LEASE_LAPSED,
                "warning",
                lease_s=TREE_LEASE_S,
                acting=self.may_act(),
            )
        else:
            log(Event.LEASE_RENEWED)


def _clock() -> float:
    # Unlike the loop's clock this one goes on while the vm is suspended: a
    # lease must not outlast its time because nobody counted it.
    return time.clock_gettime(time.CLOCK_BOOTTIME)
