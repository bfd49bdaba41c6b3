"""Exchange registries and entry sessions between control replicas."""

import asyncio
from traceback import format_exc

from nutmegchute_core.peers import Confirmation
from nutmegchute_core.peers import PEER_HOLD_S

from .clocks import boot_time
from .events import Event
from .events import log
from .links import Links
from .methods import PEER
from .methods import REPORT_LIMITS
from .methods import SEEN
from .methods import WATCH
from .registrars import Registrar

# Time allowed for a long poll beyond its hold.
PEER_MARGIN_S = 0.5
# Timeout of connecting to a replica that may be gone.
CONNECT_TIMEOUT_S = 0.2
RETRY_S = 0.1
MAX_RETRY_S = 0.5
# Later than this, the receiver no longer waits for the confirmation.
CONFIRMATION_TIMEOUT_S = 0.4
CONFIRM_PERIOD_S = 0.2


class PeerExchange:
    """Poll every other replica and send it the confirmations it awaits."""

    __slots__ = (
        "_confirm_task",
        "_confirmation_tasks",
        "_links",
        "_polls",
        "_registrar",
    )

    def __init__(self, links: Links, registrar: Registrar) -> None:
        self._links = links
        self._registrar = registrar
        self._polls: dict[str, asyncio.Task[None]] = {}
        self._confirmation_tasks: dict[str, asyncio.Task[None]] = {}
        self._confirm_task: asyncio.Task[None] | None = None
        links.serve(WATCH, registrar.handle_watch)
        links.serve(PEER, registrar.handle_peer_request)
        links.serve(SEEN, registrar.handle_confirmation)
        links.serve(REPORT_LIMITS, registrar.handle_limits)

    def start(self) -> None:
        """Start sending confirmations."""
        self._confirm_task = asyncio.ensure_future(self._confirm())

    def stop(self) -> None:
        """Stop polling and sending confirmations."""
        for task in self._polls.values():
            task.cancel()
        if self._confirm_task is not None:
            self._confirm_task.cancel()

    def update_peers(self) -> None:
        """Poll each current peer; stop polling removed ones."""
        addresses = self._registrar.discovery.peers.addresses
        for address in list(self._polls):
            if address not in addresses:
                self._polls.pop(address).cancel()
        for address in addresses:
            poll = self._polls.get(address)
            if poll is None or poll.done():
                self._polls[address] = asyncio.ensure_future(
                    self._poll(address)
                )

    async def _poll(self, address: str) -> None:
        failures = 0
        hold_s = 0.0
        while True:
            request = self._registrar.discovery.build_request(
                address, hold_s, boot_time()
            )
            reply = None
            if hold_s or await self._links.open(address, CONNECT_TIMEOUT_S):
                reply = await self._links.send_request(
                    address, PEER, request, hold_s + PEER_MARGIN_S
                )
            if reply is None:
                failures += 1
                hold_s = 0.0
                self._links.drop(address)
                await asyncio.sleep(min(MAX_RETRY_S, RETRY_S * failures))
                continue
            failures = 0
            hold_s = PEER_HOLD_S
            try:
                self._registrar.handle_reply(address, reply)
            except Exception:
                # If this ended the task, the endpoints registered at that
                # replica would no longer reach the entries that watch here.
                log(
                    Event.REPLY_FAILED,
                    "error",
                    address=address,
                    trace=format_exc(),
                )
                await asyncio.sleep(MAX_RETRY_S)

    async def _confirm(self) -> None:
        while True:
            found = self._registrar.discovery.pending_confirmations(
                boot_time()
            )
            for address, confirmation in found.items():
                running = self._confirmation_tasks.get(address)
                if running is None or running.done():
                    self._confirmation_tasks[address] = asyncio.ensure_future(
                        self._send_confirmation(address, confirmation)
                    )
            await self._registrar.wait_progress(CONFIRM_PERIOD_S)

    async def _send_confirmation(
        self, address: str, confirmation: Confirmation
    ) -> None:
        done = await self._links.send_request(
            address, SEEN, confirmation, CONFIRMATION_TIMEOUT_S
        )
        if done is not None:
            self._registrar.discovery.record_acknowledged(
                address, confirmation
            )
