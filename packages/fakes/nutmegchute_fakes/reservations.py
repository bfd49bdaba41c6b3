"""Reserve loopback ports and networks across the processes of a machine."""

import contextlib
import fcntl
import os
import socket
import tempfile
import threading
from pathlib import Path
from random import SystemRandom

# Below the kernel's range for outgoing connections, so that no connection
# takes the port of a daemon while it restarts.
PORTS = (10000, 32000)
# 127.1.0 to 127.250.255; 127.0.0 is shared by all.
NETWORKS = (1 << 8, 251 << 8)
# Locks of networks follow those of ports in the file.
NETWORK_OFFSET = 1 << 16
MAX_TRIES = 1000

_RANDOM = SystemRandom()


class ReservationError(Exception):
    """Report that no port or network was free."""


class Reservations:
    """Lock one byte of a file for each port and network.

    The kernel releases the locks when the process ends. The file must not be
    opened a second time in a process: closing it would release them too.
    """

    __slots__ = ("_held", "_lock", "_path", "_pid", "_file")

    def __init__(self, path: Path) -> None:
        self._path = path
        self._lock = threading.Lock()
        self._held: set[int] = set()
        self._pid = 0
        self._file = -1

    def take_port(self) -> int:
        """Reserve and return a port on which nothing listens.

        :raises ReservationError: none was free
        """
        for _ in range(MAX_TRIES):
            port = _RANDOM.randrange(*PORTS)
            if self.take(port) and _is_free(port):
                return port
        raise ReservationError("no free port on loopback")

    def take_network(self) -> str:
        """Reserve and return the first three parts of a loopback network.

        :raises ReservationError: none was free
        """
        for _ in range(MAX_TRIES):
            number = _RANDOM.randrange(*NETWORKS)
            if self.take(NETWORK_OFFSET + number):
                return f"127.{number >> 8}.{number & 255}"
        raise ReservationError("no free network on loopback")

    def take(self, number: int) -> bool:
        """Reserve a number until the process ends; False if it is taken."""
        with self._lock:
            self._open()
            if number in self._held:
                return False
            with contextlib.suppress(BlockingIOError, PermissionError):
                flags = fcntl.LOCK_EX | fcntl.LOCK_NB
                fcntl.lockf(self._file, flags, 1, number)
                self._held.add(number)
                return True
            return False

    def _open(self) -> None:
        """Open the file, once in each process: a fork has no locks."""
        if self._pid == os.getpid():
            return
        self._pid = os.getpid()
        self._file = os.open(self._path, os.O_RDWR | os.O_CREAT, 0o600)


RESERVATIONS = Reservations(
    Path(tempfile.gettempdir()) / f"nutmegchute-reservations-{os.getuid()}"
)


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
