"""Stop the HTTP server in time, and start its threads as needed."""

import socket
import threading

import pytest
from nutmegchute_daemon.exchanges import StrictRequest
from nutmegchute_daemon.servers import HttpServer
from nutmegchute_daemon.servers import INITIAL_THREADS
from nutmegchute_daemon.servers import STOP_TIMEOUT_S
from nutmegchute_fakes.clusters import free_address


def test_half_a_request_does_not_hold_up_a_stop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Close the connection of a worker that waits for half a request.

    A caller sends half of a head and goes quiet; its worker waits for the
    rest. With the library's own five seconds of waiting for that worker the
    process outlived what its vm grants, and was killed.
    """
    server = HttpServer(free_address(), 2)
    server.start()
    stop_workers = server._server.requests.stop
    given: list[float] = []
    monkeypatch.setattr(server._server.requests, "stop", given.append)
    server.stop()
    stop_workers(0)
    assert given == [STOP_TIMEOUT_S]


def test_threads_are_started_as_connections_need_them() -> None:
    """Serve as many callers at once as there may be threads.

    Callers that wait hold a thread each. The listener begins with a few and
    starts more for the connections that come, up to the most.
    """
    most = 3 * INITIAL_THREADS
    server = HttpServer(free_address(), most)
    all_here = threading.Barrier(most + 1, timeout=10.0)

    def wait(http: StrictRequest) -> None:
        all_here.wait()
        http.begin(200, [("Content-Length", "0")])

    server.add_handler(b"/", wait)
    server.start()
    host, _, port = server.address.rpartition(":")
    callers = []
    for _ in range(most):
        caller = socket.create_connection((host, int(port)), timeout=10.0)
        caller.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        callers.append(caller)
    all_here.wait()
    for caller in callers:
        assert caller.recv(100).startswith(b"HTTP/1.1 200")
        caller.close()
    server.stop()
