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
FIRST_TIMEOUT_S = 0.2
RETRY_S = 0.1
RETRY_MOST_S = 0.5
# A confirmation is of no use once its receiver has given up waiting.
SEEN_TIMEOUT_S = 0.4
CONFIRM_TICK_S = 0.2


class PeerExchange:
    """Hold an open question at each other replica and confirm for it."""

    __slots__ = ("_asking", "_confirming", "_links", "_registrar", "_sending")

    def __init__(self, links: Links, registrar: Registrar) -> None:
        self._links = links
        self._registrar = registrar
        self._asking: dict[str, asyncio.Task[None]] = {}
        self._sending: dict[str, asyncio.Task[None]] = {}
        self._confirming: asyncio.Task[None] | None = None
        links.serve(WATCH, registrar.watch)
        links.serve(PEER, registrar.peer)
        links.serve(SEEN, registrar.seen)

    def start(self) -> None:
        """Begin to confirm."""
        self._confirming = asyncio.ensure_future(self._confirm())

    def stop(self) -> None:
        """Ask and confirm no more."""
        for task in self._asking.values():
            task.cancel()
        if self._confirming is not None:
            self._confirming.cancel()

    def meet(self) -> None:
        """Ask the replicas that there are now."""
        addresses = self._registrar.discovery.peers.addresses
        for address in list(self._asking):
            if address not in addresses:
                self._asking.pop(address).cancel()
        for address in addresses:
            asking = self._asking.get(address)
            if asking is None or asking.done():
                self._asking[address] = asyncio.ensure_future(
                    self._ask(address)
                )

    async def _ask(self, address: str) -> None:
        failures = 0
        hold_s = 0.0
        while True:
            request = self._registrar.discovery.build_request(
                address, hold_s, boot_time()
            )
            reply = None
            if hold_s or await self._links.open(address, FIRST_TIMEOUT_S):
                reply = await self._links.send_request(
                    address, PEER, request, hold_s + PEER_MARGIN_S
                )
            if reply is None:
                failures += 1
                hold_s = 0.0
                self._links.drop(address)
                await asyncio.sleep(min(RETRY_MOST_S, RETRY_S * failures))
                continue
            failures = 0
            hold_s = PEER_HOLD_S
            try:
                self._registrar.take(address, reply)
            except Exception:
                # Were the task to end with it, what announces there would
                # never again reach the entries that ask here.
                log(
                    Event.WORD_FAILED,
                    "error",
                    address=address,
                    trace=format_exc(),
                )
                await asyncio.sleep(RETRY_MOST_S)

    async def _confirm(self) -> None:
        while True:
            found = self._registrar.discovery.pending_confirmations(
                boot_time()
            )
            for address, seen in found.items():
                sending = self._sending.get(address)
                if sending is None or sending.done():
                    self._sending[address] = asyncio.ensure_future(
                        self._send(address, seen)
                    )
            await self._registrar.wait_seen(CONFIRM_TICK_S)

    async def _send(self, address: str, seen: Confirmation) -> None:
        done = await self._links.send_request(
            address, SEEN, seen, SEEN_TIMEOUT_S
        )
        if done is not None:
            self._registrar.discovery.record_acknowledged(address, seen)
