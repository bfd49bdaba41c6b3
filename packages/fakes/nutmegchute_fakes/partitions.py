"""Cut single processes off from upstreams that run behind proxies.

All processes share one loopback address, so a proxy finds the process that
opened a connection by the connection's port.
"""

import asyncio
import contextlib
import socket
import struct
import threading
from collections.abc import Callable
from collections.abc import Collection
from pathlib import Path

from .clusters import find_free_address

# Connections stay open and carry nothing.
HANG = "hang"
# Open connections are reset, and so is each new one.
RESET = "reset"
# Open connections work, new ones are reset.
REFUSE_NEW = "refuse-new"
FORMS = (HANG, RESET, REFUSE_NEW)

FindPids = Callable[[], Collection[int]]

BUFFER_BYTES = 65536
# Time between two checks whether an upstream listens again.
POLL_S = 0.05
START_TIMEOUT_S = 5.0
PROC = Path("/proc")
# Columns of /proc/net/tcp.
LOCAL_ADDRESS = 1
REMOTE_ADDRESS = 2
INODE = 9


class Proxy:
    """Listen for one upstream, as long as that listens itself.

    Entries take a refused connection as a sign that an upstream has ended.
    """

    __slots__ = ("_address", "_partitions", "_server", "_task", "_upstream")

    def __init__(
        self, partitions: "Partitions", address: str, upstream: str
    ) -> None:
        self._partitions = partitions
        self._address = address
        self._upstream = upstream
        self._server: asyncio.Server | None = None
        self._task: asyncio.Task[None] | None = None

    async def listen(self) -> None:
        """Accept connections."""
        host, _, port = self._address.rpartition(":")
        self._server = await asyncio.start_server(
            self._accept, host, int(port)
        )

    async def verify(self) -> None:
        """Refuse connections if the upstream does, until it listens again."""
        server, is_up = self._server, await self._is_up()
        if is_up or server is None or server is not self._server:
            return
        server.close()
        self._server = None
        self._task = asyncio.ensure_future(self._reopen())

    async def _reopen(self) -> None:
        while not await self._is_up():
            await asyncio.sleep(POLL_S)
        await self.listen()

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
        partitions = self._partitions
        pid = partitions.find_process(writer)
        if partitions.form_of(pid) in (RESET, REFUSE_NEW):
            reset(writer)
            return
        await partitions.wait_open(pid)
        try:
            onward = await self._connect()
        except OSError:
            await self.verify()
            reset(writer)
            return
        link = Link(partitions, self, pid, [writer, onward[1]])
        partitions.add_link(link)
        try:
            await link.carry([reader, onward[0]])
        finally:
            partitions.remove_link(link)


class Link:
    """Carry the bytes of one connection, unless its process is cut off."""

    __slots__ = ("_partitions", "_proxy", "_tasks", "_writers", "pid")

    def __init__(
        self,
        partitions: "Partitions",
        proxy: Proxy,
        pid: int,
        writers: list[asyncio.StreamWriter],
    ) -> None:
        self._partitions = partitions
        self._proxy = proxy
        self._writers = writers
        self._tasks: list[asyncio.Task[None]] = []
        self.pid = pid

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
                await self._partitions.wait_open(self.pid)
                writer.write(data)
                await writer.drain()
        await self._partitions.wait_open(self.pid)
        if writer is self._writers[0]:
            # The upstream closed; it may have ended.
            await self._proxy.verify()
        with contextlib.suppress(OSError):
            writer.write_eof()


class Partitions:
    """Run a proxy for each upstream and cut processes off from all of them."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._find_pids: FindPids = list
        self._forms: dict[int, str] = {}
        self._links: set[Link] = set()
        self._healed = asyncio.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def add_proxy(self, upstream: str) -> str:
        """Start a proxy to an upstream; return the proxy's address."""
        address = find_free_address()
        asyncio.run_coroutine_threadsafe(
            self._serve(address, upstream), self._loop
        ).result(START_TIMEOUT_S)
        return address

    def track(self, find_pids: FindPids) -> None:
        """Set how to find the processes that may be cut off."""
        self._find_pids = find_pids

    def cut(self, pids: Collection[int], form: str) -> None:
        """Cut processes off from all upstreams, in one of FORMS."""
        self._call(self._cut, pids, form)

    def heal(self, pids: Collection[int] | None = None) -> None:
        """End the cut of some processes, of all by default."""
        self._call(self._heal, pids)

    def stop(self) -> None:
        """Close every connection and end the proxies."""
        asyncio.run_coroutine_threadsafe(self._close(), self._loop).result(
            START_TIMEOUT_S
        )
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    async def wait_open(self, pid: int) -> None:
        """Wait while the connections of a process hang."""
        while self._forms.get(pid) == HANG:
            await self._healed.wait()

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_forever()

    def _call(self, function: object, *args: object) -> None:
        async def call() -> None:
            function(*args)  # type: ignore[operator]

        asyncio.run_coroutine_threadsafe(call(), self._loop).result(
            START_TIMEOUT_S
        )

    async def _serve(self, address: str, upstream: str) -> None:
        proxy = Proxy(self, address, upstream)
        await proxy.listen()

    def form_of(self, pid: int) -> str | None:
        """Return how a process is cut off, None if it is not."""
        return self._forms.get(pid)

    def find_process(self, writer: asyncio.StreamWriter) -> int:
        """Return the process that opened a connection, 0 if unknown."""
        return _find_process(
            writer.get_extra_info("peername")[1],
            writer.get_extra_info("sockname")[1],
            self._find_pids(),
        )

    def add_link(self, link: Link) -> None:
        """Add a connection that a cut may reset."""
        self._links.add(link)

    def remove_link(self, link: Link) -> None:
        """Remove a connection that is closed."""
        self._links.discard(link)

    def _cut(self, pids: Collection[int], form: str) -> None:
        for pid in pids:
            self._forms[pid] = form
        if form != RESET:
            return
        for link in list(self._links):
            if link.pid in pids:
                link.reset()

    def _heal(self, pids: Collection[int] | None) -> None:
        for pid in list(self._forms):
            if pids is None or pid in pids:
                del self._forms[pid]
        healed, self._healed = self._healed, asyncio.Event()
        healed.set()

    async def _close(self) -> None:
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


def _find_process(
    local_port: int, remote_port: int, pids: Collection[int]
) -> int:
    """Return the process that opened a connection, 0 if it is another."""
    inode = _find_inode(local_port, remote_port)
    if inode is None:
        return 0
    for pid in pids:
        if _has_socket(PROC / str(pid), inode):
            return pid
    return 0


def _find_inode(local_port: int, remote_port: int) -> str | None:
    """Return the inode of the socket that opened a connection."""
    local, remote = f":{local_port:04X}", f":{remote_port:04X}"
    for line in (PROC / "net" / "tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if not fields[LOCAL_ADDRESS].endswith(local):
            continue
        if fields[REMOTE_ADDRESS].endswith(remote):
            return fields[INODE]
    return None


def _has_socket(process: Path, inode: str) -> bool:
    wanted = f"socket:[{inode}]"
    with contextlib.suppress(OSError):
        for descriptor in (process / "fd").iterdir():
            with contextlib.suppress(OSError):
                if str(descriptor.readlink()) == wanted:
                    return True
    return False
