"""Stop the HTTP server while a caller has sent half of a request."""

import pytest
from nutmegchute_daemon.servers import HttpServer
from nutmegchute_daemon.servers import STOP_S
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
    assert given == [STOP_S]
