"""Test over loopback that "not run" is said only of requests that did not."""

import itertools
import threading
import time
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path

import pytest
from platform_standins import Endpoint
from platform_standins import Site
from platform_standins import wait_for
from test_platform_wire import build_configuration
from test_platform_wire import HeartbeatSender
from test_platform_wire import LOAN

ROUTERS = 2
CLIENTS = 8
REQUESTS = 400
DELAY_S = 0.3
HTTP_OK = 200
MISDIRECTED = 421
UNAVAILABLE = 503
# Statuses that promise that the request has not run and never will.
PROMISES = frozenset({408, MISDIRECTED, 429, UNAVAILABLE})


class Clients:
    """Send unsafe requests and keep the status that each was answered."""

    def __init__(self, site: Site) -> None:
        self.statuses: dict[str, int] = {}
        self._site = site
        self._names = itertools.count()

    def send(self, router: int) -> int:
        """Send a request to a router; return its status, 0 if unanswered."""
        name = f"loan-{next(self._names)}"
        answer = self._site.request("/loan/1", name, router, "POST")
        status = 0 if answer is None else answer.status
        self.statuses[name] = status
        return status

    def send_many(self, count: int) -> None:
        """Send requests to the routers in turn, several at once."""
        with ThreadPoolExecutor(CLIENTS) as threads:
            list(threads.map(self.send, [n % ROUTERS for n in range(count)]))

    def is_served(self, router: int) -> bool:
        """Return whether a router has a request run."""
        return self.send(router) == HTTP_OK


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    """Run a control replica and two routers with a configuration."""
    found = Site(tmp_path, 1, ROUTERS)
    found.start_all()
    try:
        configuration = build_configuration(1, 0, LOAN)
        wait_for(partial(_has_accepted, found, configuration), "r1")
        yield found
    finally:
        found.stop()


def _has_accepted(site: Site, configuration: object) -> bool:
    answer = site.post("/Config.Replace", configuration)
    return answer is not None and answer.status == HTTP_OK


def _count_breaks(
    clients: Clients, endpoints: list[Endpoint]
) -> tuple[Counter[int], int]:
    """Return the promises given for requests that ran, and the repeats."""
    ran: Counter[str] = Counter()
    for endpoint in endpoints:
        ran.update(endpoint.ran)
    broken: Counter[int] = Counter()
    for name, status in clients.statuses.items():
        if status in PROMISES and ran[name]:
            broken[status] += 1
    return broken, sum(runs > 1 for runs in ran.values())


def test_late_copies_of_rejections_are_not_believed(site: Site) -> None:
    """Guard against a copy that is taken for the answer to a request."""
    endpoints = [Endpoint(f"i-{n}", "desk") for n in range(3)]
    heartbeats = HeartbeatSender(site, *endpoints)
    clients = Clients(site)
    try:
        for number in range(ROUTERS):
            wait_for(partial(clients.is_served, number), f"router {number}")
        arrived = itertools.count()
        for endpoint in endpoints:
            endpoint.sheds = lambda name: next(arrived) % 2 == 0
            endpoint.repeats_rejections = True
        clients.send_many(REQUESTS)
        broken, repeats = _count_breaks(clients, endpoints)
        assert (dict(broken), repeats) == ({}, 0)
        assert sum(one.rejected[UNAVAILABLE] for one in endpoints) > 0
        assert HTTP_OK in clients.statuses.values()
    finally:
        heartbeats.stop()
        for endpoint in endpoints:
            endpoint.stop()


@pytest.mark.parametrize("spares_queries", [False, True])
def test_late_copies_of_misdirections_are_not_believed(
    site: Site, spares_queries: bool
) -> None:
    """Guard against a copy that also ends the instance that runs a request.

    An endpoint restarts at its address. The router learns of it from the
    first of several requests that are under way to the former instance. The
    copies come before the answers to load queries, or to calls alone.
    """
    former = Endpoint("i-1", "desk")
    # All requests are sent at once, none waits for a slot.
    former.capacity = CLIENTS
    latter = None
    heartbeats = HeartbeatSender(site, former)
    clients = Clients(site)
    try:
        wait_for(partial(clients.is_served, 0), "router")
        heartbeats.stop()
        former.stop()
        latter = Endpoint("i-2", "desk", former.address)
        latter.repeats_rejections = True
        latter.spares_queries = spares_queries
        # The connections stay open for the next requests.
        latter.headers = {"Keep_Alive": "timeout=60"}
        arrived = itertools.count()
        all_arrived, is_answered = threading.Event(), threading.Event()

        def delay(name: str) -> bool:
            # The first answer comes when all requests have arrived, and the
            # others when the router has acted on it.
            number = next(arrived)
            if number == CLIENTS - 1:
                all_arrived.set()
            if number == 0:
                all_arrived.wait(3 * DELAY_S)
                is_answered.set()
                return False
            is_answered.wait(3 * DELAY_S)
            time.sleep(DELAY_S)
            return False

        latter.sheds = delay
        with ThreadPoolExecutor(CLIENTS) as threads:
            list(threads.map(clients.send, [0] * CLIENTS))
        assert latter.rejected[MISDIRECTED] > 2
        latter.sheds = lambda name: False
        heartbeats = HeartbeatSender(site, latter)
        wait_for(lambda: clients.send(0) and latter.ran, "latter instance")
        # Ended by a copy, it would get no request until its next heartbeat.
        statuses = [clients.send(0) for _ in range(CLIENTS)]
        assert statuses == [HTTP_OK] * CLIENTS
        assert latter.repeated[MISDIRECTED] > 1
        broken, repeats = _count_breaks(clients, [former, latter])
        assert (dict(broken), repeats) == ({}, 0)
    finally:
        heartbeats.stop()
        former.stop()
        if latter is not None:
            latter.stop()
