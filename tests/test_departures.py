"""Test that endpoints get no calls once their answers say that they leave."""

import time
from functools import partial
from pathlib import Path

import pytest
from demand_model import BEGIN_S
from demand_model import Model
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
from test_rate_limits_wire import call_entry
from test_rate_limits_wire import call_router
from test_rate_limits_wire import Callers
from test_rate_limits_wire import has_accepted
from test_rate_limits_wire import has_served
from test_rate_limits_wire import HTTP_OK
from test_rate_limits_wire import start_cluster

ROUTERS = 3
DRAIN_S = 2.0
LEAVES_AT_S = BEGIN_S + 2.0
END_S = LEAVES_AT_S + 6.0
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
    for turn in range(6):
        model.at(LEAVES_AT_S + 0.5 + turn, model.flap, leaving)
    model.run(END_S)
    for upstream in leaving:
        for entry, at in upstream.arrivals:
            told_at = upstream.told_leaving.get(entry, END_S)
            # A call sent just before the answer may still arrive.
            assert at <= told_at + 0.01
    assert model.served_share() > 0.99


def test_routers_stop_calling_an_endpoint_that_leaves(tmp_path: Path) -> None:
    """Guard against calls that are lost with an endpoint that ends."""
    site = Site(tmp_path, 1, ROUTERS)
    site.start_all()
    endpoints = [Endpoint("i-1", "desk"), Endpoint("i-2", "desk")]
    heartbeats = HeartbeatSender(site, *endpoints)
    call = partial(call_router, site)
    try:
        configuration = build_configuration(1, 0, LOAN, LOOK)
        wait_for(partial(has_accepted, site, configuration), "r1")
        for number in range(ROUTERS):
            wait_for(partial(has_served, call, number), f"router {number}")
        leaving = endpoints[0]
        leaving.headers = {"Server-Leaving": "1"}
        begin = time.monotonic()
        callers = Callers(call)
        callers.run_for(DRAIN_S + 2.0)
        late = [at for at in leaving.arrivals if at > begin + DRAIN_S]
        assert late == []
        assert set(callers.statuses) == {HTTP_OK}
    finally:
        heartbeats.stop()
        for endpoint in endpoints:
            endpoint.stop()
        site.stop()


def test_entries_stop_calling_an_upstream_that_leaves(tmp_path: Path) -> None:
    """Guard against the same failure through the entries' own interface."""
    cluster = start_cluster(tmp_path, ROUTERS, 2)
    try:
        url = f"http://{cluster.upstreams[0].address}"
        send_request("POST", url + DEMANDS_PATH, {"draining": True})
        begin = time.time()
        callers = Callers(partial(call_entry, cluster.entries))
        callers.run_for(DRAIN_S + 2.0)
        seen = send_request("GET", url + SEEN_PATH).json()
        assert [at for at in seen if at > begin + DRAIN_S] == []
        assert set(callers.statuses) == {HTTP_OK}
    finally:
        cluster.stop()
