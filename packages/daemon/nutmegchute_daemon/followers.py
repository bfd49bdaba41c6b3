"""Follow the configuration that the control replicas store."""

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
from .transfers import TreeFetcher
from .trees import TreeCopy

# Above HOLD_S, for which the leader may hold a request.
TIMEOUT_S = HOLD_S + 0.8
RELAY_TIMEOUT_S = HOLD_S + 1.0
LEAVE_TIMEOUT_S = 0.5
PROBE_TIMEOUT_S = 1.0
RETRY_S = 0.1
IDLE_S = 2.0
# Time between two requests during a transfer, which keep the lease.
FETCHING_S = 0.5


class Follower:
    """Keep an entry's tree up to date; never apply an older one."""

    __slots__ = (
        "_entries",
        "_evacuations",
        "_fetcher",
        "_leader_address",
        "_lease",
        "_links",
        "_on_tree",
        "_quarantine",
        "_relay_address",
        "_replica_position",
        "_reported_lapsed",
        "_settings",
        "_tree",
        "on_evacuations",
        "on_quarantine",
    )

    def __init__(
        self,
        settings: Settings,
        links: Links,
        on_tree: Callable[[FollowReply], None],
    ) -> None:
        own_address = settings.grpc_address
        self._settings = settings
        self._links = links
        self._on_tree = on_tree
        self._fetcher = TreeFetcher(links, self._apply_fetched)
        self._entries = [one for one in settings.entries if one != own_address]
        self._lease = TreeLease(len(self._entries))
        self._leader_address: str | None = None
        self._relay_address: str | None = None
        self._replica_position = 0
        self._reported_lapsed = False
        self._tree = TreeCopy()
        # Called with changed quarantine cases.
        self.on_quarantine: Callable[[QuarantineUpdate], None]
        self._quarantine = 0
        # Called with changed evacuations of availability zones.
        self.on_evacuations: Callable[[EvacuationUpdate], None]
        self._evacuations = 0
        links.serve(RELAY, self._serve_relay)

    @property
    def index(self) -> int:
        """Return the log index of the tree in force on this entry."""
        return self._tree.index

    @property
    def revisions(self) -> dict[str, int]:
        """Return the revision of each team's branch in force here."""
        return self._tree.revisions

    @property
    def has_lease(self) -> bool:
        """Return whether a leader confirmed the tree within the lease."""
        return self._lease.has_lease(_clock())

    def may_route(self) -> bool:
        """Return whether calls may be routed by the current tree."""
        return self.index > 0 and self._lease.may_route(_clock())

    async def follow(self) -> None:
        """Send one request for a newer tree; the leader may hold it."""
        if not self._settings.control:
            await asyncio.sleep(IDLE_S)
            return
        address = self._leader_address or self._next_replica()
        relayed = self._relay_address is not None
        sent_at = _clock()
        reply = await self._links.send_request(
            address,
            FOLLOW,
            self._request(hold=not relayed, can_fetch=True),
            PROBE_TIMEOUT_S if relayed else TIMEOUT_S,
        )
        if reply is None:
            log(Event.CONFIG_UNREACHABLE, "warning", address=address)
        elif reply.current:
            self._leader_address = address
            self._relay_address = None
            self._apply(reply, sent_at)
            if reply.documents is not None:
                self._fetcher.discard()
            if reply.offer is not None:
                self._fetcher.handle_offer(address, reply.offer)
            await self._fetcher.wait(FETCHING_S)
            return
        hint = reply.leader_address if reply is not None else None
        self._leader_address = hint if hint != address else None
        self._report_lease()
        if relayed or not self.has_lease:
            await self._try_entries()
        await asyncio.sleep(RETRY_S)

    async def leave(self) -> None:
        """Notify the leader that this entry leaves."""
        if self._leader_address is None:
            return
        request = FollowRequest(self._settings.name, self.index, True)
        await self._links.send_request(
            self._leader_address, FOLLOW, request, LEAVE_TIMEOUT_S
        )

    async def _try_entries(self) -> None:
        # If only this entry is cut off from control, another entry can relay
        # its requests.
        if self._relay_address is not None:
            if await self._try_entry(self._relay_address, True):
                return
            self._relay_address = None
        await asyncio.gather(
            *[self._try_entry(one, False) for one in self._entries]
        )

    async def _try_entry(self, address: str, hold: bool) -> bool:
        sent_at = _clock()
        relay_reply: RelayReply | None = await self._links.send_request(
            address,
            RELAY,
            self._request(hold),
            RELAY_TIMEOUT_S if hold else PROBE_TIMEOUT_S,
        )
        if relay_reply is None:
            return False
        if relay_reply.reply is None:
            self._lease.record_leaderless(address, _clock())
            return False
        if not relay_reply.reply.current:
            return False
        self._relay_address = address
        self._apply(relay_reply.reply, sent_at)
        return True

    async def _serve_relay(self, request: FollowRequest) -> RelayReply:
        if self._leader_address is None or not self.has_lease:
            return RelayReply(None)
        reply = await self._links.send_request(
            self._leader_address,
            FOLLOW,
            request,
            TIMEOUT_S if request.hold else PROBE_TIMEOUT_S,
        )
        return RelayReply(reply or FollowReply(None, None, False))

    def _request(self, hold: bool, can_fetch: bool = False) -> FollowRequest:
        hold = hold and self._lease.may_hold(_clock())
        is_fetching = self._fetcher.is_fetching
        return FollowRequest(
            self._settings.name,
            self.index,
            hold=hold and not is_fetching,
            quarantine=self._quarantine,
            evacuations=self._evacuations,
            # A relay passes no parts on.
            fetching=is_fetching if can_fetch else None,
        )

    def _next_replica(self) -> str:
        replicas = self._settings.control
        self._replica_position += 1
        return replicas[self._replica_position % len(replicas)].grpc_address

    def _apply(self, reply: FollowReply, sent_at: float) -> None:
        # Before the tree: a starting entry routes calls once it has one.
        if reply.evacuations is not None:
            self._evacuations = reply.evacuations.index
            self.on_evacuations(reply.evacuations)
        self._apply_tree(reply)
        if reply.quarantine is not None:
            self._quarantine = reply.quarantine.index
            self.on_quarantine(reply.quarantine)
        self._lease.renew(sent_at)
        self._report_lease()

    def _apply_fetched(self, replica: str, tree: FollowReply) -> None:
        self._apply_tree(tree)

    def _apply_tree(self, reply: FollowReply) -> None:
        if not self._tree.apply_reply(reply):
            return
        self._on_tree(
            msgspec.structs.replace(
                reply,
                documents=self._tree.documents,
                revisions=self._tree.revisions,
            )
        )
        log(Event.CONFIG_APPLIED, index=self.index)

    def _report_lease(self) -> None:
        lapsed = not self.has_lease
        if lapsed == self._reported_lapsed or not self.index:
            return
        self._reported_lapsed = lapsed
        if lapsed:
            log(
                Event.LEASE_EXPIRED,
                "warning",
                lease_s=TREE_LEASE_S,
                acting=self.may_route(),
            )
        else:
            log(Event.LEASE_RENEWED)


def _clock() -> float:
    # Unlike the loop's clock, this one advances while the vm is suspended, so
    # that a lease expires on time.
    return time.clock_gettime(time.CLOCK_BOOTTIME)
