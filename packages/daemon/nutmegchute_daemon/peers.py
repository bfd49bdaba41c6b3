"""Exchange, between control replicas, what announces and asks at each."""

import asyncio
from traceback import format_exc

from nutmegchute_core.peers import Confirmation
from nutmegchute_core.peers import PEER_HOLD_S

from .clocks import boot_time
from .events import Event
from .events import log
from .links import Links
from .methods import PEER
from .methods import SEEN
from .methods import WATCH
from .registrars import Registrar

# What a held question may take beyond the hold.
PEER_MARGIN_S = 0.5
# How long a connection to a replica that may be gone is waited for.
CONNECT_TIMEOUT_S = 0.2
RETRY_S = 0.1
MAX_RETRY_S = 0.5
# A confirmation is of no use once its receiver has given up waiting.
CONFIRMATION_TIMEOUT_S = 0.4
CONFIRM_PERIOD_S = 0.2


class PeerExchange:
    """Hold an open question at each other replica and confirm for it."""

    __slots__ = (
        "_confirm_task",
        "_confirmations",
        "_links",
        "_polls",
        "_registrar",
    )

    def __init__(self, links: Links, registrar: Registrar) -> None:
        self._links = links
        self._registrar = registrar
        self._polls: dict[str, asyncio.Task[None]] = {}
        self._confirmations: dict[str, asyncio.Task[None]] = {}
        self._confirm_task: asyncio.Task[None] | None = None
        links.serve(WATCH, registrar.handle_watch)
        links.serve(PEER, registrar.handle_peer_request)
        links.serve(SEEN, registrar.handle_confirmation)

    def start(self) -> None:
        """Begin to confirm."""
        self._confirm_task = asyncio.ensure_future(self._confirm())

    def stop(self) -> None:
        """Ask and confirm no more."""
        for task in self._polls.values():
            task.cancel()
        if self._confirm_task is not None:
            self._confirm_task.cancel()

    def update_peers(self) -> None:
        """Ask the replicas that there are now."""
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
                # Were the task to end with it, what announces there would
                # never again reach the entries that ask here.
                log(
                    Event.WORD_FAILED,
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
            for address, seen in found.items():
                confirmation = self._confirmations.get(address)
                if confirmation is None or confirmation.done():
                    self._confirmations[address] = asyncio.ensure_future(
                        self._send_confirmation(address, seen)
                    )
            await self._registrar.wait_progress(CONFIRM_PERIOD_S)

    async def _send_confirmation(
        self, address: str, seen: Confirmation
    ) -> None:
        done = await self._links.send_request(
            address, SEEN, seen, CONFIRMATION_TIMEOUT_S
        )
        if done is not None:
            self._registrar.discovery.record_acknowledged(address, seen)
