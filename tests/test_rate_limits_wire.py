"""Test over loopback that endpoints get no more calls than they ask for."""

import itertools
import threading
import time
from collections.abc import Iterator
from functools import partial
from pathlib import Path
from typing import Any

import pytest
from platform_standins import Endpoint
from platform_standins import Site
from platform_standins import wait_for
from test_platform_wire import build_configuration
from test_platform_wire import HeartbeatSender
from test_platform_wire import LOAN
from test_platform_wire import LOOK

NAMES = itertools.count()
ROUTERS = 3
LIMIT_PER_S = 0.5
# The calls that an endpoint bears in any WINDOW_S once LEARN_S have passed
# since it first named its limit.
LEARN_S = 3.0
WINDOW_S = 4.0
MAX_CALLS = int(1.5 * LIMIT_PER_S * WINDOW_S + 5)
CALL_GAP_S = 0.05
HTTP_OK = 200


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    """Run a control replica and three routers with a configuration."""
    found = Site(tmp_path, 1, ROUTERS)
    found.start_all()
    try:
        configuration = build_configuration(1, 0, LOAN, LOOK)
        wait_for(partial(has_accepted, found, configuration), "r1")
        yield found
    finally:
        found.stop()


def has_accepted(site: Site, configuration: dict[str, Any]) -> bool:
    """Send a configuration; return whether control accepted it."""
    answer = site.post("/Config.Replace", configuration)
    return answer is not None and answer.status == HTTP_OK


def has_served(site: Site, router: int) -> bool:
    """Send a request to a router; return whether it was served."""
    answer = site.request("/look/1", f"limit-{next(NAMES)}", router)
    return answer is not None and answer.status == HTTP_OK


class Callers:
    """Send requests to every router, one after the other at each."""

    def __init__(self, site: Site) -> None:
        self.statuses: list[int] = []
        self._site = site
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number,))
            for number in range(ROUTERS)
        ]

    def run_for(self, seconds: float) -> None:
        """Send requests for a while."""
        for thread in self._threads:
            thread.start()
        time.sleep(seconds)
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, router: int) -> None:
        while not self._stop.wait(CALL_GAP_S):
            answer = self._site.request(
                "/look/1", f"limit-{next(NAMES)}", router
            )
            self.statuses.append(0 if answer is None else answer.status)


def max_in_window(arrivals: list[float], begin: float) -> int:
    """Return the most arrivals in any WINDOW_S from a time on."""
    times = sorted(at for at in arrivals if at >= begin)
    most = 0
    first = 0
    for last, at in enumerate(times):
        while at - times[first] > WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most


def test_routers_together_keep_to_an_endpoints_rate_limit(site: Site) -> None:
    """Guard against routers that each ignore a limit named in answers."""
    limited = Endpoint("i-1", "desk")
    free = Endpoint("i-2", "desk")
    heartbeats = HeartbeatSender(site, limited, free)
    try:
        for number in range(ROUTERS):
            wait_for(partial(has_served, site, number), f"router {number}")
        limited.headers = {"Server-Limit": str(LIMIT_PER_S)}
        named_at = time.monotonic()
        callers = Callers(site)
        callers.run_for(LEARN_S + 2 * WINDOW_S)
        assert max_in_window(limited.arrivals, named_at + LEARN_S) <= MAX_CALLS
        # The other endpoint has room for all calls.
        assert set(callers.statuses) == {HTTP_OK}
    finally:
        heartbeats.stop()
        limited.stop()
        free.stop()
