"""Test that each form of a cut looks to a process as the pages say."""

import contextlib
import socket
import threading
from collections.abc import Iterator

import pytest
from nutmegchute_fakes.clusters import find_free_address
from nutmegchute_fakes.partitions import FORMS
from nutmegchute_fakes.partitions import HANG
from nutmegchute_fakes.partitions import Partitions
from nutmegchute_fakes.partitions import REFUSE_NEW
from nutmegchute_fakes.partitions import RESET
from nutmegchute_fakes.translations import translate
from platform_standins import wait_for

TIMEOUT_S = 10.0
SILENT_S = 0.3


class EchoServer:
    """Return what each connection sends."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        self._connections: list[socket.socket] = []
        self._listener = socket.create_server((host, int(port)))
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self) -> None:
        """Stop listening and close the connections."""
        for one in [self._listener, *self._connections]:
            with contextlib.suppress(OSError):
                one.shutdown(socket.SHUT_RDWR)
            one.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self._connections.append(connection)
            threading.Thread(
                target=self._echo, args=(connection,), daemon=True
            ).start()

    def _echo(self, connection: socket.socket) -> None:
        try:
            while data := connection.recv(100):
                connection.sendall(data)
        except OSError:
            return


class Peer:
    """Connect as a process with a host of its own."""

    def __init__(self, host: str, announced: str) -> None:
        self._address = (host, int(announced.rpartition(":")[2]))
        self.sock = self.connect()

    def connect(self) -> socket.socket:
        """Open a new connection."""
        return socket.create_connection(self._address, timeout=TIMEOUT_S)

    def echoes(self, sock: socket.socket) -> bool:
        """Return whether a connection carries data both ways."""
        sock.sendall(b"x")
        return sock.recv(1) == b"x"

    def is_refused(self) -> bool:
        """Return whether a new connection is refused."""
        try:
            self.connect().close()
        except ConnectionRefusedError:
            return True
        except ConnectionResetError:
            return False
        return False

    def is_new_reset(self) -> bool:
        """Return whether a new connection is opened and reset."""
        try:
            return is_reset(self.connect())
        except ConnectionResetError:
            # The reset came before the process took note of the opening.
            return True


@pytest.fixture
def partitions() -> Iterator[Partitions]:
    """Run no proxies yet."""
    found = Partitions()
    yield found
    found.stop()


@pytest.fixture
def server() -> Iterator[EchoServer]:
    """Run an upstream."""
    found = EchoServer(find_free_address())
    yield found
    found.stop()


@pytest.fixture
def peers(partitions: Partitions, server: EchoServer) -> list[Peer]:
    """Connect processes "cut", which is cut off, and "other"."""
    announced = partitions.add_proxy(server.address)
    found = [
        Peer(partitions.add_process(name), announced)
        for name in ("cut", "other")
    ]
    for one in found:
        assert one.echoes(one.sock)
    return found


def is_silent(sock: socket.socket) -> bool:
    """Return whether a connection is open and does not carry what is sent."""
    sock.sendall(b"x")
    sock.settimeout(SILENT_S)
    try:
        sock.recv(1)
    except TimeoutError:
        return True
    finally:
        sock.settimeout(TIMEOUT_S)
    return False


def is_reset(sock: socket.socket) -> bool:
    """Return whether a connection was reset."""
    try:
        sock.recv(1)
    except ConnectionResetError:
        return True
    return False


def test_hanging_connections_carry_nothing(
    partitions: Partitions, peers: list[Peer]
) -> None:
    """Guard against a hang that closes connections or lets data pass."""
    cut, other = peers
    partitions.cut(["cut"], HANG)
    new = cut.connect()
    assert is_silent(cut.sock)
    assert is_silent(new)
    assert other.echoes(other.sock)
    assert other.echoes(other.connect())
    partitions.heal()
    assert cut.sock.recv(1) == b"x"
    assert new.recv(1) == b"x"


def test_reset_ends_open_and_new_connections(
    partitions: Partitions, peers: list[Peer]
) -> None:
    """Guard against a reset that spares a connection of the process."""
    cut, other = peers
    partitions.cut(["cut"], RESET)
    assert is_reset(cut.sock)
    assert cut.is_new_reset()
    assert other.echoes(other.sock)
    assert other.echoes(other.connect())
    partitions.heal()
    assert cut.echoes(cut.connect())


def test_new_connections_are_refused_to_one_process(
    partitions: Partitions, peers: list[Peer]
) -> None:
    """Guard against new connections that are accepted, then reset."""
    cut, other = peers
    partitions.cut(["cut"], REFUSE_NEW)
    assert cut.is_refused()
    assert cut.echoes(cut.sock)
    assert other.echoes(other.connect())
    partitions.heal()
    assert cut.echoes(cut.connect())


def test_forms_follow_one_another(
    partitions: Partitions, peers: list[Peer]
) -> None:
    """Guard against connections that wait for the end of a former cut."""
    cut, _ = peers
    partitions.cut(["cut"], HANG)
    new = cut.connect()
    assert is_silent(new)
    partitions.cut(["cut"], RESET)
    assert is_reset(cut.sock)
    assert is_reset(new)
    partitions.cut(["cut"], REFUSE_NEW)
    assert cut.is_refused()
    partitions.cut(["cut"], HANG)
    assert is_silent(cut.connect())


@pytest.mark.parametrize("form", FORMS)
def test_ended_upstream_is_refused_until_it_is_back(
    partitions: Partitions, server: EchoServer, peers: list[Peer], form: str
) -> None:
    """Guard against a proxy that listens for an upstream that has ended."""
    cut, other = peers
    server.stop()
    wait_for(other.is_refused, "refusal to the other")
    wait_for(cut.is_refused, "refusal")
    partitions.cut(["cut"], form)
    assert cut.is_refused()
    back = EchoServer(server.address)
    wait_for(lambda: not other.is_refused(), "the upstream")
    assert cut.is_refused() == (form == REFUSE_NEW)
    assert other.echoes(other.connect())
    back.stop()


def test_process_reaches_its_own_host(
    partitions: Partitions,
    server: EchoServer,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against a process that is cut off by nothing."""
    monkeypatch.setattr(socket.socket, "connect", socket.socket.connect)
    announced = partitions.add_proxy(server.address)
    host = announced.rpartition(":")[0]
    own = partitions.add_process("cut")
    translate(host, own)
    peer = Peer(host, announced)
    assert peer.sock.getpeername()[0] == own
    partitions.cut(["cut"], REFUSE_NEW)
    assert peer.is_refused()
