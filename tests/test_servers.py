"""Test the stop of the HTTP server and the start of its threads."""

import contextlib
import socket
import threading
import time

import pytest
from nutmegchute_daemon import exchanges
from nutmegchute_daemon.exchanges import DISCARD_BYTES
from nutmegchute_daemon.exchanges import StrictRequest
from nutmegchute_daemon.guards import Client
from nutmegchute_daemon.servers import HttpServer
from nutmegchute_daemon.servers import INITIAL_THREADS
from nutmegchute_daemon.servers import STOP_TIMEOUT_S
from nutmegchute_fakes.clusters import find_free_address

LONG_BODY = 4 * DISCARD_BYTES


def test_incomplete_request_does_not_delay_a_stop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Do not wait for workers that wait for the rest of a request.

    A caller sends half of a head and then nothing. If the server waited the
    library's five seconds for its worker, the process would exceed the time
    that its vm allows for a stop and be killed.
    """
    server = HttpServer(find_free_address(), 2)
    server.start()
    stop_workers = server._server.requests.stop
    timeouts: list[float] = []
    monkeypatch.setattr(server._server.requests, "stop", timeouts.append)
    server.stop()
    stop_workers(0)
    assert timeouts == [STOP_TIMEOUT_S]


def test_threads_are_started_on_demand() -> None:
    """Serve as many callers at once as the maximum number of threads.

    Each waiting caller holds a thread. The listener starts with a few and
    adds more as connections arrive.
    """
    max_threads = 3 * INITIAL_THREADS
    server = HttpServer(find_free_address(), max_threads)
    all_connected = threading.Barrier(max_threads + 1, timeout=10.0)

    def wait(http: StrictRequest) -> None:
        all_connected.wait()
        http.begin(200, [("Content-Length", "0")])

    server.add_handler(b"/", wait)
    server.start()
    host, _, port = server.address.rpartition(":")
    callers = []
    for _ in range(max_threads):
        caller = socket.create_connection((host, int(port)), timeout=10.0)
        caller.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        callers.append(caller)
    all_connected.wait()
    for caller in callers:
        assert caller.recv(100).startswith(b"HTTP/1.1 200")
        caller.close()
    server.stop()


def answer_empty(http: StrictRequest) -> None:
    """Answer without a body."""
    http.begin(200, [("Content-Length", "0")])


def connect(server: HttpServer) -> socket.socket:
    """Open a connection to a server."""
    host, _, port = server.address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=10.0)


def test_head_that_takes_too_long_is_refused() -> None:
    """Guard against a time-out for heads that is declared and not applied."""
    server = HttpServer(find_free_address(), 2)
    server.limit_header_time(0.0)
    server.add_handler(b"/", answer_empty)
    server.start()
    with connect(server) as client:
        client.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n")
        client.sendall(b"X: y\r\n")
        answer = b""
        while not answer:
            server.sweep()
            client.settimeout(0.1)
            with contextlib.suppress(TimeoutError):
                answer = client.recv(1000)
    server.stop()
    assert answer.startswith(b"HTTP/1.1 408")
    assert b"Nutmegchute-Outcome: not-run" in answer


def test_unread_body_is_discarded_in_pieces() -> None:
    """Guard against an unread body that is held as a whole."""
    server = HttpServer(find_free_address(), 2)
    server.limit_body(LONG_BODY)
    server.add_handler(b"/", answer_empty)
    server.start()
    head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"
    with connect(server) as client:
        client.sendall(head % DISCARD_BYTES + bytes(DISCARD_BYTES))
        assert b"Connection: close" not in client.recv(1000)
        # A longer one is answered at once, before it arrives.
        client.sendall(head % LONG_BODY)
        assert b"Connection: close" in client.recv(1000)
        assert client.recv(1000) == b""
    server.stop()


def test_oldest_idle_connection_is_closed_for_a_new_one() -> None:
    """Guard against callers refused for connections that nobody uses."""
    server = HttpServer(find_free_address(), 2)
    server.limit_connections(2)
    server.add_handler(b"/", answer_empty)
    server.start()
    request = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
    silent = [connect(server) for _ in range(2)]
    with connect(server) as client:
        client.sendall(request)
        assert client.recv(1000).startswith(b"HTTP/1.1 200")
    assert [one.recv(1) for one in silent] == [b"", b""]
    server.stop()


def test_unread_answer_does_not_delay_a_stop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against a stop that lasts as long as a client does not read."""
    monkeypatch.setattr(exchanges, "CALLER_TIMEOUT_S", 600.0)
    server = HttpServer(find_free_address(), 2)
    clients: list[Client] = []

    def answer(http: StrictRequest) -> None:
        clients.append(http.conn.client)
        http.begin(200, [("Content-Length", str(LONG_BODY))])
        http.write(bytes(LONG_BODY))

    server.add_handler(b"/", answer)
    server.start()
    with connect(server) as client:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        while not clients or not clients[0].is_kept_waiting(time.monotonic()):
            time.sleep(0.01)
        stopping = threading.Thread(target=server.stop, daemon=True)
        stopping.start()
        stopping.join(60.0)
        assert not stopping.is_alive()
