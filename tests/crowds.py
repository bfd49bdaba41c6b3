"""Open many requests that do not end, and measure the daemon under them."""

import contextlib
import resource
import socket
import threading
import time
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import msgspec
from platform_standins import HOST
from platform_standins import POOL

MIB = 1024 * 1024
MB = 1000 * 1000
PIECE = bytes(MIB)
SAMPLE_S = 0.05
SEND_TIMEOUT_S = 60.0
SETTLE_S = 15.0
REOPEN_S = 0.1
POLL_S = 0.2
JOIN_S = 30.0
PAGE_BYTES = resource.getpagesize()

# Returns the pieces of one request.
Pieces = Callable[[], Iterable[bytes]]


def build_head(method: str, path: str, *lines: str) -> bytes:
    """Return the head of a request."""
    text = "\r\n".join([f"{method} {path} HTTP/1.1", f"Host: {HOST}", *lines])
    return text.encode() + b"\r\n\r\n"


def known_length(head: list[str], size: int) -> Iterator[bytes]:
    """Yield a request with a length, all but the last byte of it."""
    yield build_head(*head, f"Content-Length: {size}")
    yield from _fill(size - 1)


def one_chunk(head: list[str], size: int) -> Iterator[bytes]:
    """Yield a request of one chunk, all but the last byte of it."""
    yield build_head(*head, "Transfer-Encoding: chunked")
    yield f"{size:x}\r\n".encode()
    yield from _fill(size - 1)


def many_chunks(head: list[str], size: int) -> Iterator[bytes]:
    """Yield a request in chunks of 64 KiB that does not end."""
    yield build_head(*head, "Transfer-Encoding: chunked")
    chunk = b"10000\r\n" + bytes(65536) + b"\r\n"
    for _ in range(size // 65536 - 1):
        yield chunk


def tiny_chunks(head: list[str], size: int) -> Iterator[bytes]:
    """Yield a request in chunks of one byte that does not end."""
    yield build_head(*head, "Transfer-Encoding: chunked")
    for _ in range(size // len(PIECE)):
        yield b"1\r\n.\r\n" * 2048


def _fill(size: int) -> Iterator[bytes]:
    for _ in range(size // len(PIECE)):
        yield PIECE
    yield PIECE[: size % len(PIECE)]


def pad_document(document: Any, size: int) -> bytes:
    """Return a document as JSON of a size, with blanks."""
    return msgspec.json.encode(document).ljust(size)


def upload(address: str, name: str, body: bytes, chunked: bool) -> int:
    """Send a call with a long body; return the status of its answer."""
    headers = {"Host": HOST, "Request-Id": name}
    if chunked:
        headers["Transfer-Encoding"] = "chunked"
    data = iter([body]) if chunked else body
    url = f"http://{address}/loan/1"
    timeout = SEND_TIMEOUT_S
    return POOL.request(
        "POST", url, body=data, headers=headers, timeout=timeout
    ).status


def run_at_once(functions: Sequence[Callable[[], int]]) -> list[int]:
    """Call functions on threads of their own and return their results."""
    with ThreadPoolExecutor(len(functions)) as pool:
        tasks = [pool.submit(one) for one in functions]
        return [one.result() for one in tasks]


class Crowd:
    """Keep requests open that stop short of their end.

    Each member opens its request again when its connection is closed.
    """

    def __init__(
        self, address: str, members: int, pieces: Pieces, reads: bool = True
    ) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._pieces = pieces
        self._reads = reads
        self._stopping = threading.Event()
        self._sent = [threading.Event() for _ in range(members)]
        self._threads = []
        for sent in self._sent:
            thread = threading.Thread(target=self._run, args=(sent,))
            thread.daemon = True
            thread.start()
            self._threads.append(thread)

    def wait_sent(self) -> None:
        """Wait until the members have sent their requests or were refused.

        Those that the daemon neither reads nor refuses do not count.
        """
        until = time.monotonic() + SETTLE_S
        for sent in self._sent:
            sent.wait(max(0.0, until - time.monotonic()))

    def stop(self) -> None:
        """Close all connections."""
        self._stopping.set()
        for thread in self._threads:
            thread.join(JOIN_S)

    def _run(self, sent: threading.Event) -> None:
        while not self._stopping.is_set():
            with contextlib.suppress(OSError):
                self._send(sent)
            sent.set()
            self._stopping.wait(REOPEN_S)

    def _send(self, sent: threading.Event) -> None:
        with socket.socket() as sock:
            if not self._reads:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.settimeout(SEND_TIMEOUT_S)
            sock.connect((self._host, self._port))
            sock.settimeout(POLL_S)
            for piece in self._pieces():
                self._send_piece(sock, piece)
            sent.set()
            while not self._stopping.is_set():
                if not self._reads:
                    self._stopping.wait(POLL_S)
                    continue
                with contextlib.suppress(TimeoutError):
                    if not sock.recv(65536):
                        return

    def _send_piece(self, sock: socket.socket, piece: bytes) -> None:
        left = memoryview(piece)
        while left and not self._stopping.is_set():
            with contextlib.suppress(TimeoutError):
                left = left[sock.send(left) :]


class Meter:
    """Measure the memory and the descriptors of a daemon at their peak.

    ``local`` is the address where it listens, or its IP address if that is
    its alone; ``peers`` are addresses that only it connects to.
    """

    def __init__(
        self, pid: int, local: str, peers: Iterable[str] = ()
    ) -> None:
        self._folder = Path(f"/proc/{pid}")
        encode = _encode_address if ":" in local else _encode_ip
        self._local = encode(local)
        self._peers = {_encode_address(one) for one in peers}
        self.memory_bytes = 0
        self.open_files = 0
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    @property
    def peak_mb(self) -> float:
        """Return the memory, unread and unsent bytes included, in MB."""
        return self.memory_bytes / MB

    def stop(self) -> None:
        """Stop measuring."""
        self._stopping.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopping.wait(SAMPLE_S):
            with contextlib.suppress(OSError, IndexError):
                self._sample()

    def _sample(self) -> None:
        pages = int((self._folder / "statm").read_text().split()[1])
        memory = pages * PAGE_BYTES + self._read_queues()
        self.memory_bytes = max(self.memory_bytes, memory)
        files = sum(1 for _ in (self._folder / "fd").iterdir())
        self.open_files = max(self.open_files, files)

    def _read_queues(self) -> int:
        """Return the bytes in the buffers of the daemon's connections."""
        found = 0
        lines = (self._folder / "net" / "tcp").read_text().splitlines()
        for line in lines[1:]:
            fields = line.split()
            listening = fields[3] == "0A"
            if listening:
                continue
            is_own = fields[1].startswith(self._local)
            if is_own or fields[2] in self._peers:
                unsent, _, unread = fields[4].partition(":")
                found += int(unsent, 16) + int(unread, 16)
        return found


def _encode_ip(ip: str) -> str:
    return "".join(f"{int(one):02X}" for one in reversed(ip.split(".")))


def _encode_address(address: str) -> str:
    ip, _, port = address.rpartition(":")
    return f"{_encode_ip(ip)}:{int(port):04X}"
