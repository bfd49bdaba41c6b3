"""Test over loopback that entries let endpoints rest that ask them to."""

import time
from collections.abc import Iterator
from functools import partial
from pathlib import Path

import pytest
from nutmegchute_fakes.upstreams import DEMANDS_PATH
from nutmegchute_fakes.upstreams import SEEN_PATH
from platform_standins import Endpoint
from platform_standins import send_request
from platform_standins import Site
from platform_standins import wait_for
from test_departures import have_logged
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
REST_S = 3.0
# Requests that are under way when an endpoint asks for rest may still come.
GRACE_S = 0.5
MAX_REQUESTS = 2
RUN_S = 2.5


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


def test_routers_let_an_endpoint_rest(site: Site) -> None:
    """Guard against calls to an endpoint that rejects fast and looks idle."""
    resting = Endpoint("i-1", "desk")
    others = [Endpoint("i-2", "desk"), Endpoint("i-3", "desk")]
    heartbeats = HeartbeatSender(site, resting, *others)
    call = partial(call_router, site)
    try:
        for number in range(ROUTERS):
            wait_for(partial(has_served, call, number), f"router {number}")
        # Until the others are known, what rests cannot be sent elsewhere.
        logs = [site.log(ip) for ip in site.routers]
        wait_for(partial(have_logged, logs, '"endpoints": 3'), "all known")
        resting.rest = str(REST_S)
        resting.mode = "rest"
        begin = time.monotonic()
        callers = Callers(call)
        callers.run_for(RUN_S)
        disturbances = [at for at in resting.arrivals if at > begin + GRACE_S]
        assert len(disturbances) <= ROUTERS * MAX_REQUESTS
        # A router that has served little may send nothing again yet, so it
        # refuses the request by whose answer it is told.
        refused = [one for one in callers.statuses if one != HTTP_OK]
        assert len(refused) <= ROUTERS
    finally:
        heartbeats.stop()
        for endpoint in (resting, *others):
            endpoint.stop()


def test_entry_lets_an_upstream_rest(tmp_path: Path) -> None:
    """Guard against the same failure through the entries' own interface."""
    cluster = start_cluster(tmp_path, 1, 3)
    try:
        url = f"http://{cluster.upstreams[0].address}"
        send_request("POST", url + DEMANDS_PATH, {"rest_s": REST_S})
        begin = time.time()
        callers = Callers(partial(call_entry, cluster.entries), 1)
        callers.run_for(RUN_S)
        seen = send_request("GET", url + SEEN_PATH).json()
        disturbances = [at for at in seen if at > begin + GRACE_S]
        assert len(disturbances) <= MAX_REQUESTS
        assert callers.statuses.count(HTTP_OK) >= 0.95 * len(callers.statuses)
    finally:
        cluster.stop()
