"""Close callers' connections so that they see what is true."""

import socket
from types import SimpleNamespace

import pytest
from nutmegchute_daemon.exchanges import CallerConnection

UNREAD = b"x" * 100000


def accept() -> tuple[socket.socket, CallerConnection]:
    """Connect a caller that has sent what nobody will read."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        caller = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
    http = SimpleNamespace(
        peercreds_enabled=False, peercreds_resolve_enabled=False
    )
    caller.sendall(UNREAD)
    caller.shutdown(socket.SHUT_WR)
    return caller, CallerConnection(http, accepted)


def test_refusal_outlives_a_body_nobody_reads() -> None:
    """A body that is too large is refused before it is read.

    The end of the answer leaves before the reset that the unread bytes
    cause; else the caller would lose the refusal with the connection and
    would have to call it "unknown".
    """
    caller, connection = accept()
    connection.wfile.write(b"refused")
    connection.close()
    with caller:
        assert caller.recv(100) == b"refused"
        assert caller.recv(100) == b""


def test_cut_answer_ends_in_a_reset() -> None:
    """An answer that only its close ends must not seem to end well."""
    caller, connection = accept()
    connection.reset()
    connection.close()
    with caller, pytest.raises(ConnectionResetError):
        caller.recv(100)
