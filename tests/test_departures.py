"""Test that endpoints get no calls once their answers say that they leave."""

import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import pytest
from demand_model import BEGIN_S
from demand_model import Model
from demand_model import NETWORK_S
from nutmegchute_core.endpoints import WARM_UP_S
from nutmegchute_daemon.events import Event
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
from test_rate_limits_wire import call_router
from test_rate_limits_wire import Callers
from test_rate_limits_wire import has_accepted
from test_rate_limits_wire import has_served
from test_rate_limits_wire import HTTP_OK
from test_rate_limits_wire import lists_all
from test_rate_limits_wire import NAMES
from test_rate_limits_wire import send_call
from test_rate_limits_wire import start_cluster

ROUTERS = 3
DRAIN_S = 2.0
LEAVES_AT_S = BEGIN_S + 2.0
# When endpoints vanish from the announcements for a moment. One that is back
# gets hardly a call for WARM_UP_S, whether or not it is known to leave.
FLAPS_S = (0.5, 1.5, 2.5 + WARM_UP_S)
END_S = LEAVES_AT_S + 4.0 + 2 * WARM_UP_S
# Entries, endpoints and calls a second of a small and a large deployment.
SIZES = [(17, 17, 90.0), (312, 142, 300.0)]


@pytest.mark.parametrize("size", SIZES)
def test_leaving_endpoints_get_no_calls_from_entries_told(
    size: tuple[int, int, float],
) -> None:
    """Guard against announcements that still call a leaving endpoint up."""
    entries, upstreams, calls_per_s = size
    model = Model(entries, upstreams, 1)
    model.schedule_calls(calls_per_s, END_S)
    leaving = list(model.upstreams.values())[:3]

    def leave() -> None:
        for upstream in leaving:
            upstream.is_leaving = True

    model.at(LEAVES_AT_S, leave)
    for pause_s in FLAPS_S:
        model.at(LEAVES_AT_S + pause_s, model.flap, leaving)
    model.run(END_S)
    for upstream in leaving:
        for entry, at in upstream.arrivals:
            told_at = upstream.told_leaving.get(entry, END_S)
            # What was sent before the answer may still arrive.
            assert at < told_at + NETWORK_S
    assert model.served_share() > 0.99


class Recorder:
    """Send requests to entries and record which endpoint answered them."""

    def __init__(self, send: Callable[[int], Any]) -> None:
        self._send = send
        self._answers: list[tuple[int, bytes]] = []

    def call(self, entry: int) -> int:
        """Send a request to an entry; return its status, 0 unanswered."""
        answer = self._send(entry)
        if answer is None:
            return 0
        self._answers.append((entry, answer.data))
        return int(answer.status)

    def max_answers_by(self, endpoint: str) -> int:
        """Return the most answers of an endpoint through any one entry."""
        name = endpoint.encode()
        found = Counter(entry for entry, body in self._answers if name in body)
        return max(found.values(), default=0)


def have_logged(logs: list[Path], text: str) -> bool:
    """Return whether every entry has logged a line with a text."""
    return all(text in log.read_text() for log in logs)


def wait_until_told(logs: list[Path]) -> None:
    """Wait until every entry has an answer that says its endpoint leaves.

    No one else tells an entry, and it may prefer other endpoints for a while.
    """
    number = Event.ENDPOINT_LEAVING.number
    wait_for(partial(have_logged, logs, number), "every entry is told")


def test_routers_stop_calling_an_endpoint_that_leaves(tmp_path: Path) -> None:
    """Guard against calls that are lost with an endpoint that ends."""
    site = Site(tmp_path, 1, ROUTERS)
    site.start_all()
    logs = [site.log(ip) for ip in site.routers]
    leaving, staying = Endpoint("i-1", "desk"), Endpoint("i-2", "desk")
    heartbeats = HeartbeatSender(site, leaving)
    recorder = Recorder(
        lambda router: site.request("/look/1", f"q-{next(NAMES)}", router)
    )
    try:
        configuration = build_configuration(1, 0, LOAN, LOOK)
        wait_for(partial(has_accepted, site, configuration), "r1")
        for number in range(ROUTERS):
            served = partial(has_served, partial(call_router, site), number)
            wait_for(served, f"router {number}")
        heartbeats.endpoints.append(staying)
        wait_for(partial(have_logged, logs, '"endpoints": 2'), "both known")
        leaving.headers = {"Server-Leaving": "1"}
        callers = Callers(recorder.call)
        with callers:
            wait_until_told(logs)
            told_at = time.monotonic()
            time.sleep(DRAIN_S + 2.0)
        late = [at for at in leaving.arrivals if at > told_at + DRAIN_S]
        assert late == []
        # A router is told by the first answer, before its caller gets that.
        assert recorder.max_answers_by(leaving.instance) <= 1
        assert set(callers.statuses) == {HTTP_OK}
    finally:
        heartbeats.stop()
        leaving.stop()
        staying.stop()
        site.stop()


def test_entries_stop_calling_an_upstream_that_leaves(tmp_path: Path) -> None:
    """Guard against the same failure through the entries' own interface."""
    # An entry of another zone would hardly call the leaving upstream.
    cluster = start_cluster(tmp_path, ROUTERS, 1, ["surco"])
    try:
        logs = [tmp_path / f"{entry.name}.log" for entry in cluster.entries]
        leaving = cluster.upstreams[0].address
        cluster.add_upstream("prestamos")
        for entry in cluster.entries:
            cluster.wait_for(entry.name, partial(lists_all, cluster, entry))
        demands = {"draining": True}
        send_request("POST", f"http://{leaving}{DEMANDS_PATH}", demands)
        recorder = Recorder(partial(send_call, cluster.entries))
        callers = Callers(recorder.call)
        with callers:
            wait_until_told(logs)
            told_at = time.time()
            time.sleep(DRAIN_S + 2.0)
        seen = send_request("GET", f"http://{leaving}{SEEN_PATH}").json()
        assert [at for at in seen if at > told_at + DRAIN_S] == []
        assert recorder.max_answers_by(leaving) <= 1
        assert set(callers.statuses) == {HTTP_OK}
    finally:
        cluster.stop()
