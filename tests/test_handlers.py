"""Test that an exception in a page is logged and not shown."""

import time

import cherrypy
import pytest
import urllib3
from nutmegchute_daemon.applications import close_pages
from nutmegchute_daemon.applications import open_pages
from nutmegchute_daemon.events import configure_logs
from nutmegchute_daemon.servers import HttpServer
from nutmegchute_fakes.clusters import find_free_address

LOG_WAIT_S = 5.0


class BrokenPages:
    """Serve two pages, which fail in the two possible ways."""

    @cherrypy.expose
    def broken(self) -> bytes:
        """Raise an unexpected exception."""
        raise ValueError("the inside of the program")

    @cherrypy.expose
    def refused(self) -> bytes:
        """Refuse the request."""
        raise cherrypy.HTTPError(403, "ana may not change <lending>")


def test_refusals_are_shown_and_exceptions_logged(
    capfd: pytest.CaptureFixture[str],
) -> None:
    """The text of a refusal is shown, that of an exception is logged.

    An operator gets a refusal unchanged, as plain text. An unexpected
    exception gives the operator status 500 without its text. It is logged as
    NC3006 with its trace, as nothing else would record the cause.
    """
    sink = configure_logs("info", "entry-1")
    address = find_free_address()
    server = HttpServer(address, 2)
    server.mount(open_pages(BrokenPages()))
    server.start()
    pool = urllib3.PoolManager(retries=False)
    try:
        broken = pool.request("GET", f"http://{address}/broken")
        refused = pool.request("GET", f"http://{address}/refused")
    finally:
        pool.clear()
        server.stop()
        close_pages()
    assert (refused.status, refused.data.strip()) == (
        403,
        b"ana may not change <lending>",
    )
    assert broken.status == 500
    assert b"the inside" not in broken.data
    sink.close()
    # The thread that writes may import a library first, longer than the sink
    # waits for it when it is closed.
    out = ""
    until = time.monotonic() + LOG_WAIT_S
    while "the inside" not in out and time.monotonic() < until:
        out += capfd.readouterr().out
        time.sleep(0.01)
    assert "NC3006" in out
    assert "the inside of the program" in out
