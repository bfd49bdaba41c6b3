"""Run an event loop on virtual time and daemons on a simulated network."""

import asyncio
import selectors
from collections import Counter
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

import msgspec
from nutmegchute_daemon.links import Method

SAME_ZONE_DELAY_S = 0.0002
CROSS_ZONE_DELAY_S = 0.0009
# Headers of an exchange, both ways: HTTP/2 frames, TCP and IP.
OVERHEAD_BYTES = 400

_ENCODER = msgspec.msgpack.Encoder()


class VirtualSelector(selectors.DefaultSelector):
    """Advance the virtual time where the loop would wait."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> Any:
        """Advance the time by the timeout and return what is ready."""
        if timeout is not None and timeout > 0:
            self.now += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Use the virtual time of the selector."""

    def __init__(self) -> None:
        self._virtual = VirtualSelector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual.now


def run_virtual(main: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine to its end on virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(main)


class Network:
    """Deliver messages between hosts, with cut links and frozen hosts."""

    def __init__(self, zones: dict[str, str]) -> None:
        self._zones = zones
        self._handlers: dict[tuple[str, str], Any] = {}
        self._cut: set[frozenset[str]] = set()
        self._stopped: set[str] = set()
        # Bytes per second of the limited links, and what occupies them.
        self._rates: dict[str, float] = {}
        self._busy: dict[str, asyncio.Lock] = {}
        self._changed = asyncio.Event()
        self.messages = 0
        # With headers, by the host that sends or receives them.
        self.carried_bytes: Counter[str] = Counter()
        self.cross_zone_bytes = 0

    def cut(self, one: str, other: str) -> None:
        """Delay all messages between two hosts until ``heal``."""
        self._cut.add(frozenset((one, other)))

    def stop(self, host: str) -> None:
        """Freeze a host: delay all messages from and to it."""
        self._stopped.add(host)

    def limit(self, host: str, bytes_per_s: float) -> None:
        """Limit the rate of a host's link, which has no limit otherwise."""
        self._rates[host] = bytes_per_s
        self._busy[host] = asyncio.Lock()

    def heal(self) -> None:
        """End all cuts and freezes; deliver the delayed messages."""
        self._cut.clear()
        self._stopped.clear()
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def is_open(self, one: str, other: str) -> bool:
        """Return whether two hosts reach each other."""
        if one in self._stopped or other in self._stopped:
            return False
        return frozenset((one, other)) not in self._cut

    def serve(
        self, host: str, method: Method, handler: Callable[[Any], Any]
    ) -> None:
        """Register the handler of a method at a host."""
        self._handlers[host, method.path] = handler

    async def carry(self, source: str, target: str, data: bytes) -> None:
        """Deliver a message from one host to another."""
        while not self.is_open(source, target):
            await self._changed.wait()
        self.messages += 1
        is_same_zone = self._zones[source] == self._zones[target]
        if not is_same_zone:
            self.cross_zone_bytes += len(data) + OVERHEAD_BYTES // 2
        size = len(data) + OVERHEAD_BYTES // 2
        for host in (source, target):
            self.carried_bytes[host] += size
            if host not in self._rates:
                continue
            async with self._busy[host]:
                await asyncio.sleep(size / self._rates[host])
        await asyncio.sleep(
            SAME_ZONE_DELAY_S if is_same_zone else CROSS_ZONE_DELAY_S
        )

    async def exchange(
        self, source: str, target: str, method: Method, request: Any
    ) -> Any:
        """Send an encoded request; return the decoded reply."""
        handler = self._handlers[target, method.path]
        data = _ENCODER.encode(request)
        await self.carry(source, target, data)
        answering = asyncio.ensure_future(handler(method.decode_request(data)))
        try:
            await asyncio.wait([answering])
        except asyncio.CancelledError:
            # The client closed its connection; the server sees that only
            # if the link is open.
            if self.is_open(source, target):
                answering.cancel()
            raise
        reply = _ENCODER.encode(answering.result())
        await self.carry(target, source, reply)
        return method.decode_reply(reply)


class VirtualLinks:
    """Replace the links of one host."""

    def __init__(self, host: str, network: Network) -> None:
        self._host = host
        self._network = network

    def serve(
        self, method: Method, handler: Callable[[Any], Awaitable[Any]]
    ) -> None:
        """Register the handler of a method."""
        self._network.serve(self._host, method, handler)

    async def send_request(
        self, address: str, method: Method, request: Any, timeout_s: float
    ) -> Any | None:
        """Send a request to another host; return None on a timeout."""
        exchange = self._network.exchange(self._host, address, method, request)
        try:
            return await asyncio.wait_for(exchange, timeout_s)
        except TimeoutError:
            return None

    async def open(self, address: str, timeout_s: float) -> bool:
        """Return whether the other host is reachable."""
        if self._network.is_open(self._host, address):
            return True
        await asyncio.sleep(timeout_s)
        return self._network.is_open(self._host, address)

    def failure(self, address: str) -> str:
        """Return the reason of a failure, which is always silence."""
        return "deadline_exceeded"

    def drop(self, address: str) -> None:
        """Close the connection, which has no state here."""
