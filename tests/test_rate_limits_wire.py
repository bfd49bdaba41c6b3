"""Test over loopback that endpoints get no more calls than they ask for."""

import itertools
import threading
import time
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from functools import partial
from pathlib import Path
from typing import Any

import pytest
from nutmegchute_fakes.clusters import Cluster
from nutmegchute_fakes.clusters import OPERATOR_KEY
from nutmegchute_fakes.clusters import Process
from nutmegchute_fakes.demo import apply_declaration
from nutmegchute_fakes.demo import build_declaration
from nutmegchute_fakes.upstreams import DEMANDS_PATH
from nutmegchute_fakes.upstreams import SEEN_PATH
from platform_standins import Endpoint
from platform_standins import send_request
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


def call_router(site: Site, router: int) -> int:
    """Send a request to a router; return its status, 0 without an answer."""
    answer = site.request("/look/1", f"limit-{next(NAMES)}", router)
    return 0 if answer is None else answer.status


def send_call(entries: list[Process], number: int) -> Any:
    """Send a call to an entry; return its answer, None without one."""
    url = f"http://{entries[number].address}/call/prestamos/shelf"
    return send_request("GET", url)


def call_entry(entries: list[Process], number: int) -> int:
    """Send a call to an entry; return its status, 0 without an answer."""
    answer = send_call(entries, number)
    return 0 if answer is None else answer.status


def has_served(call: Callable[[int], int], entry: int) -> bool:
    """Return whether an entry serves a call."""
    return call(entry) == HTTP_OK


def lists_all(cluster: Cluster, entry: Process) -> bool:
    """Return whether an entry knows every upstream."""
    status = cluster.fetch(entry)
    if status is None:
        return False
    return len(status["upstreams"]) == len(cluster.upstreams)


def start_cluster(
    folder: Path,
    entries: int,
    upstreams: int,
    zones: Iterable[str] = ("miraflores", "surco"),
) -> Cluster:
    """Start entries and upstreams, and wait until every entry serves."""
    cluster = Cluster(folder, list(zones))
    cluster.start(3, entries, entries_keep_s=1.0)
    controls = [one.address for one in cluster.controls]
    declaration = build_declaration(2000)
    apply_declaration(folder, declaration, controls, OPERATOR_KEY)
    for _ in range(upstreams):
        cluster.add_upstream("prestamos")
    call = partial(call_entry, cluster.entries)
    for number, entry in enumerate(cluster.entries):
        cluster.wait_for(entry.name, partial(lists_all, cluster, entry))
        wait_for(partial(has_served, call, number), f"entry {number}")
    return cluster


class Callers:
    """Send requests to every entry, one after the other at each.

    ``call`` sends one to the entry of a number and returns its status. As a
    context, requests are sent until its end.
    """

    def __init__(
        self, call: Callable[[int], int], entries: int = ROUTERS
    ) -> None:
        self.statuses: list[int] = []
        self._call = call
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number,))
            for number in range(entries)
        ]

    def __enter__(self) -> None:
        for thread in self._threads:
            thread.start()

    def __exit__(self, *_: object) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def run_for(self, seconds: float) -> None:
        """Send requests for a while."""
        with self:
            time.sleep(seconds)

    def _run(self, entry: int) -> None:
        while not self._stop.wait(CALL_GAP_S):
            self.statuses.append(self._call(entry))


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
    call = partial(call_router, site)
    try:
        for number in range(ROUTERS):
            wait_for(partial(has_served, call, number), f"router {number}")
        limited.headers = {"Server-Limit": str(LIMIT_PER_S)}
        named_at = time.monotonic()
        callers = Callers(call)
        callers.run_for(LEARN_S + 2 * WINDOW_S)
        assert max_in_window(limited.arrivals, named_at + LEARN_S) <= MAX_CALLS
        # The other endpoint has room for all calls.
        assert set(callers.statuses) == {HTTP_OK}
    finally:
        heartbeats.stop()
        limited.stop()
        free.stop()


def test_entries_together_keep_to_an_upstreams_rate_limit(
    tmp_path: Path,
) -> None:
    """Guard against the same failure through the entries' own interface."""
    cluster = start_cluster(tmp_path, ROUTERS, 2)
    try:
        limited = cluster.upstreams[0]
        url = f"http://{limited.address}"
        send_request("POST", url + DEMANDS_PATH, {"limit": LIMIT_PER_S})
        named_at = time.time()
        callers = Callers(partial(call_entry, cluster.entries))
        callers.run_for(LEARN_S + 2 * WINDOW_S)
        seen = send_request("GET", url + SEEN_PATH).json()
        assert max_in_window(seen, named_at + LEARN_S) <= MAX_CALLS
        assert set(callers.statuses) == {HTTP_OK}
    finally:
        cluster.stop()
