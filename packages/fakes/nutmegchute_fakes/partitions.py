"""Cut single processes off from upstreams that run behind proxies.

Upstreams are announced at one host. ``translations.py`` runs each process
that may be cut off, and connects it to a host of its own in place of that
one. So the address at which a connection arrives names the process, and one
process can be refused connections while others open them.
"""

import asyncio
import contextlib
import socket
import struct
import sys
import threading
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Collection

from .reservations import RESERVATIONS

# Connections stay open and carry nothing; new ones open and carry nothing.
HANG = "hang"
# Open connections are reset, and so is each new one.
RESET = "reset"
# Open connections work, new ones are refused.
REFUSE_NEW = "refuse-new"
FORMS = (HANG, RESET, REFUSE_NEW)

BUFFER_BYTES = 65536
BACKLOG = 128
# Time between two checks whether an upstream listens again.
POLL_S = 0.05
START_TIMEOUT_S = 5.0
# No other program uses the network, so its ports are free.
FIRST_PORT = 10000
SHARED_HOST = 1


class Proxy:
    """Listen for one upstream, as long as that listens itself.

    Entries take a refused connection as a sign that an upstream has ended.
    """

    __slots__ = (
        "_is_open",
        "_lock",
        "_partitions",
        "_servers",
        "_task",
        "_upstream",
        "port",
    )

    def __init__(
        self, partitions: "Partitions", port: int, upstream: str
    ) -> None:
        self._partitions = partitions
        self._upstream = upstream
        self._is_open = True
        self._lock = asyncio.Lock()
        # Those that listen, by host.
        self._servers: dict[str, asyncio.Server] = {}
        self._task: asyncio.Task[None] | None = None
        self.port = port

    async def update(self) -> None:
        """Listen at each host to which connections are not refused."""
        async with self._lock:
            for host in self._partitions.hosts:
                is_refused = self._partitions.form_of(host) == REFUSE_NEW
                if not self._is_open or is_refused:
                    if host in self._servers:
                        self._servers.pop(host).close()
                    continue
                if host not in self._servers:
                    self._servers[host] = await asyncio.start_server(
                        self._accept, host, self.port, backlog=BACKLOG
                    )

    async def verify(self) -> None:
        """Refuse connections if the upstream does, until it listens again."""
        is_up = await self._is_up()
        if is_up or not self._is_open:
            return
        self._is_open = False
        await self.update()
        self._task = asyncio.ensure_future(self._reopen())

    def close(self) -> None:
        """Stop listening."""
        for server in self._servers.values():
            server.close()

    async def _reopen(self) -> None:
        while not await self._is_up():
            await asyncio.sleep(POLL_S)
        self._is_open = True
        await self.update()

    async def _is_up(self) -> bool:
        try:
            _, writer = await self._connect()
        except OSError:
            return False
        writer.close()
        return True

    async def _connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self._upstream.rpartition(":")
        return await asyncio.open_connection(host, int(port))

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # The streams of asyncio log an error if this is cancelled.
        with contextlib.suppress(asyncio.CancelledError):
            await self._serve(reader, writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        partitions = self._partitions
        host = writer.get_extra_info("sockname")[0]
        await partitions.wait_open(host)
        if partitions.form_of(host) == RESET:
            reset(writer)
            return
        try:
            onward = await self._connect()
        except OSError:
            await self.verify()
            reset(writer)
            return
        link = Link(partitions, self, host, [writer, onward[1]])
        if partitions.form_of(host) == RESET:
            link.reset()
            return
        partitions.add_link(link)
        try:
            await link.carry([reader, onward[0]])
        finally:
            partitions.remove_link(link)


class Link:
    """Carry the bytes of one connection, unless its process is cut off."""

    __slots__ = ("_partitions", "_proxy", "_tasks", "_writers", "host")

    def __init__(
        self,
        partitions: "Partitions",
        proxy: Proxy,
        host: str,
        writers: list[asyncio.StreamWriter],
    ) -> None:
        self._partitions = partitions
        self._proxy = proxy
        self._writers = writers
        self._tasks: list[asyncio.Task[None]] = []
        self.host = host

    async def carry(self, readers: list[asyncio.StreamReader]) -> None:
        """Carry bytes both ways until both sides are closed."""
        pairs = zip(readers, reversed(self._writers), strict=True)
        self._tasks = [
            asyncio.ensure_future(self._copy(reader, writer))
            for reader, writer in pairs
        ]
        await asyncio.wait(self._tasks)
        for writer in self._writers:
            writer.close()

    def reset(self) -> None:
        """Reset both sides."""
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            reset(writer)

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(BUFFER_BYTES):
                await self._partitions.wait_open(self.host)
                writer.write(data)
                await writer.drain()
        await self._partitions.wait_open(self.host)
        if writer is self._writers[0]:
            # The upstream closed; it may have ended.
            await self._proxy.verify()
        with contextlib.suppress(OSError):
            writer.write_eof()


class Partitions:
    """Run a proxy for each upstream and cut processes off from all of them."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._network = RESERVATIONS.take_network()
        # The host of each process, by its name.
        self._hosts: dict[str, str] = {}
        self._forms: dict[str, str] = {}
        self._proxies: list[Proxy] = []
        self._links: set[Link] = set()
        self._changed = asyncio.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    @property
    def hosts(self) -> list[str]:
        """Return the hosts at which connections may arrive."""
        return [self._shared_host, *self._hosts.values()]

    @property
    def _shared_host(self) -> str:
        return f"{self._network}.{SHARED_HOST}"

    def add_proxy(self, upstream: str) -> str:
        """Start a proxy to an upstream; return the address to announce.

        Connections to it from processes that were not added are never cut.
        """
        port = FIRST_PORT + len(self._proxies)
        self._call(lambda: self._add_proxy(port, upstream))
        return f"{self._shared_host}:{port}"

    def build_command(self, name: str, module: str) -> list[str]:
        """Return a command that runs a module as a process to be cut off."""
        return [
            sys.executable,
            "-m",
            "nutmegchute_fakes.translations",
            self._shared_host,
            self.add_process(name),
            module,
        ]

    def add_process(self, name: str) -> str:
        """Add a process that may be cut off; return its own host."""
        if name not in self._hosts:
            number = SHARED_HOST + 1 + len(self._hosts)
            host = f"{self._network}.{number}"
            self._call(lambda: self._add_host(name, host))
        return self._hosts[name]

    def cut(self, names: Collection[str], form: str) -> None:
        """Cut processes off from all upstreams, in one of FORMS."""
        hosts = [self._hosts[one] for one in names]
        self._call(lambda: self._cut(hosts, form))

    def heal(self, names: Collection[str] | None = None) -> None:
        """End the cut of some processes, of all by default."""
        names = list(self._hosts) if names is None else names
        hosts = [self._hosts[one] for one in names]
        self._call(lambda: self._heal(hosts))

    def stop(self) -> None:
        """Close every connection and end the proxies."""
        self._call(self._close)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    async def wait_open(self, host: str) -> None:
        """Wait while the connections to a host hang."""
        while self._forms.get(host) == HANG:
            await self._changed.wait()

    def form_of(self, host: str) -> str | None:
        """Return how connections to a host are cut, None if they are not."""
        return self._forms.get(host)

    def add_link(self, link: Link) -> None:
        """Add a connection that a cut may reset."""
        self._links.add(link)

    def remove_link(self, link: Link) -> None:
        """Remove a connection that is closed."""
        self._links.discard(link)

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_forever()

    def _call(self, function: Callable[[], Awaitable[None]]) -> None:
        async def call() -> None:
            await function()

        asyncio.run_coroutine_threadsafe(call(), self._loop).result(
            START_TIMEOUT_S
        )

    async def _add_proxy(self, port: int, upstream: str) -> None:
        proxy = Proxy(self, port, upstream)
        self._proxies.append(proxy)
        await proxy.update()

    async def _add_host(self, name: str, host: str) -> None:
        self._hosts[name] = host
        await self._update()

    async def _update(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        for proxy in self._proxies:
            await proxy.update()

    async def _cut(self, hosts: list[str], form: str) -> None:
        for host in hosts:
            self._forms[host] = form
        await self._update()
        if form != RESET:
            return
        for link in list(self._links):
            if link.host in hosts:
                link.reset()

    async def _heal(self, hosts: list[str]) -> None:
        for host in hosts:
            self._forms.pop(host, None)
        await self._update()

    async def _close(self) -> None:
        for proxy in self._proxies:
            proxy.close()
        for link in list(self._links):
            link.reset()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
