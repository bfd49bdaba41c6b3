"""Test that closing a connection shows its caller the true outcome."""

import io
import socket
from types import SimpleNamespace

import pytest
from nutmegchute_daemon.exchanges import CallerConnection
from nutmegchute_daemon.exchanges import StrictRequest

UNREAD = b"x" * 100000


def connect_caller() -> tuple[socket.socket, CallerConnection]:
    """Connect a caller whose request body will not be read."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        caller = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
    http = SimpleNamespace(
        peercreds_enabled=False, peercreds_resolve_enabled=False
    )
    caller.sendall(UNREAD)
    caller.shutdown(socket.SHUT_WR)
    return caller, CallerConnection(http, accepted)


def test_refusal_arrives_despite_an_unread_body() -> None:
    """Send the refusal of a body that is too large before the reset.

    Closing a socket with unread bytes resets the connection. If the caller
    got only the reset, it would have to treat the outcome as "unknown".
    """
    caller, connection = connect_caller()
    connection.wfile.write(b"refused")
    connection.close()
    with caller:
        assert caller.recv(100) == b"refused"
        assert caller.recv(100) == b""


def test_aborted_answer_ends_in_a_reset() -> None:
    """Reset the connection, as a clean close would look like the end."""
    caller, connection = connect_caller()
    connection.reset()
    connection.close()
    with caller, pytest.raises(ConnectionResetError):
        caller.recv(100)


@pytest.mark.parametrize("opened", [True, False])
@pytest.mark.parametrize(
    "status",
    [
        "408 Request Timeout",
        "413 Request Entity Too Large",
        "421 Misdirected Request",
        "429 Too Many Requests",
        "500 Internal Server Error",
        "503 Service Unavailable",
    ],
)
def test_server_promises_nothing_of_an_open_call(
    status: str, opened: bool
) -> None:
    """Guard against a status that says "not run" of a call that may run."""
    written = io.BytesIO()
    http = SimpleNamespace(protocol="HTTP/1.1", ssl_adapter=None)
    request = StrictRequest(http, SimpleNamespace(wfile=written))
    request.call_opened = opened
    request.simple_response(status)
    answer = written.getvalue().decode()
    outcome = "unknown" if opened else "not-run"
    assert f"Nutmegchute-Outcome: {outcome}\r\n" in answer
    told = int(answer.split(" ")[1])
    assert told == request.told
    if opened:
        assert told in (500, 502)
    else:
        assert answer.startswith(f"HTTP/1.1 {status}\r\n")
