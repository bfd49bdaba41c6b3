"""Test the daemons over loopback with the platform's protocol."""

import itertools
import random
import shutil
import signal
import threading
import time
from collections.abc import Iterator
from functools import partial
from pathlib import Path
from typing import Any

import grpc
import pytest
from nutmegchute_daemon.claims import CLAIM
from nutmegchute_daemon.deliveries import DELIVER
from nutmegchute_daemon.groups import INTRODUCE
from nutmegchute_daemon.methods import FETCH
from nutmegchute_daemon.methods import FOLLOW
from nutmegchute_daemon.methods import PEER
from nutmegchute_daemon.methods import SEEN
from nutmegchute_daemon.methods import WATCH
from platform_standins import Endpoint
from platform_standins import HOST
from platform_standins import POOL
from platform_standins import send_request
from platform_standins import Site
from platform_standins import wait_for

NAMES = itertools.count()


def build_route(name: str, kind: str, **values: Any) -> dict[str, Any]:
    """Build a route."""
    return {
        "name": name,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 2000,
        "targetLatencyMs": 300,
        "priority": 1,
        "service": "desk",
        "maxAttempts": 2,
        **values,
    }


def build_configuration(
    version: int, base: int, *routes: dict[str, Any]
) -> dict[str, Any]:
    """Build a complete configuration."""
    return {
        "version": f"r{version}",
        "baseVersion": f"r{base}",
        "services": [
            {"name": name, "healthPath": "/healthz", "maxConnections": 99}
            for name in ("desk", "shelf")
        ],
        "limits": {"maxBodyBytes": 1000000},
        "virtualHosts": [{"hostname": HOST, "paths": list(routes)}],
    }


LOAN = build_route("loan", "unsafe")
LOOK = build_route("look", "safe")


class HeartbeatSender:
    """Send heartbeats of endpoints until stopped."""

    def __init__(self, site: Site, *endpoints: Endpoint) -> None:
        self.site = site
        self.endpoints = list(endpoints)
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stop sending heartbeats."""
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stop.wait(0.4):
            for endpoint in self.endpoints:
                for number in range(len(self.site.controls)):
                    answer = endpoint.send_heartbeat(self.site.control(number))
                    if answer is not None and answer.status == 200:
                        break


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    """Run three control replicas and two routers with a configuration."""
    found = Site(tmp_path, 3, 2)
    found.start_all()
    try:
        configuration = build_configuration(1, 0, LOAN, LOOK)
        wait_for(
            lambda: _has_status(found.post("/Config.Replace", configuration)),
            "r1",
        )
        yield found
    finally:
        found.stop()


def _has_status(answer: Any, expected: int = 200) -> bool:
    return answer is not None and answer.status == expected


def _next_name() -> str:
    return f"q{next(NAMES)}"


def _try_request(site: Site, number: int, path: str = "/look/1") -> Any:
    answer = site.request(path, _next_name(), number)
    return answer if _has_status(answer) else None


def _is_served_by_second(site: Site, number: int) -> bool:
    answer = _try_request(site, number)
    return answer is not None and answer.data == b"i-2 /look/1"


def _wait_until_served(site: Site) -> None:
    for number in range(2):
        wait_for(partial(_try_request, site, number), f"router {number}")


def test_normal_operation(site: Site) -> None:
    """Serve clients, operators and endpoints by the platform's protocol.

    Each request reaches one endpoint of its route's service once, and its
    answer carries request id and signature. An unknown host or path gets a
    404. A change takes effect at every router and is returned by every
    replica.
    """
    desk = Endpoint("i-1", "desk")
    shelf = Endpoint("i-2", "shelf")
    heartbeats = HeartbeatSender(site, desk, shelf)
    try:
        _wait_until_served(site)
        assert set(wait_for(site.resolve, "entries")) <= {
            site.router(0),
            site.router(1),
        }
        names = [_next_name() for _ in range(40)]
        for turn, name in enumerate(names):
            answer = site.request("/loan/a?x=1", name, turn % 2, "POST")
            assert answer.status == 200
            assert answer.data == b"i-1 /loan/a?x=1"
            assert answer.headers["Server-Signature"] == "i-1"
            assert answer.headers["Request-Id"] == name
        assert [desk.ran[name] for name in names] == [1] * 40
        assert site.request("/nowhere/", _next_name()).status == 404
        assert (
            site.request("/look/", _next_name(), host="b.example").status
            == 404
        )
        moved = {**LOOK, "service": "shelf"}
        update = {
            "version": "r5",
            "baseVersion": "r1",
            "upsert": {"virtualHosts": [{"hostname": HOST, "paths": [moved]}]},
        }
        for number in range(3):
            # Each replica acknowledges the same request, applied once.
            assert site.post("/Config.Update", update, number).status == 200
        for number in range(2):
            wait_for(
                partial(_is_served_by_second, site, number),
                "the change in force",
            )
        for number in range(3):
            url = f"http://{site.control(number)}/Config.Read"
            read = wait_for(partial(send_request, "GET", url), "read").json()
            assert read["version"] == "r5"
        health = f"http://{site.routers[0]}:7004/readyz"
        assert send_request("GET", health).status == 200
        text = send_request(
            "GET", f"http://{site.routers[0]}:7005/metrics"
        ).data
        assert b"nutmegchute_calls_total" in text
    finally:
        heartbeats.stop()


def test_status_after_endpoint_failure(site: Site) -> None:
    """Answer with a status that matches what the endpoint did.

    A full endpoint did not run the request: 503. When the answer is lost, the
    request may have run: an unsafe one gets a 502 and is not retried. An
    answer to another request is never forwarded.
    """
    desk = Endpoint("i-1", "desk")
    heartbeats = HeartbeatSender(site, desk)
    try:
        _wait_until_served(site)
        for mode, status, ran in (("full", 503, 0), ("lose", 502, 1)):
            desk.mode = mode
            name = _next_name()
            answer = site.request("/loan/1", name, 0, "POST")
            assert answer.status == status, mode
            assert answer.headers["Request-Id"] == name
            assert desk.ran[name] == ran, mode
        desk.mode = "cross"
        name = _next_name()
        assert site.request("/loan/1", name, 1, "POST").status == 502
        assert desk.ran[name] == 1
    finally:
        heartbeats.stop()


def test_invalid_request_gets_one_line_reason(site: Site) -> None:
    """Refuse an invalid request with its status and one line of reason.

    The configuration stays the same, and the daemon continues to serve.
    """
    control = site.control()
    heartbeat_url = f"http://{control}/Instances.Heartbeat/i-1"
    wrong = [
        ("POST", heartbeat_url, "x" * 100000, 413),
        ("POST", heartbeat_url, {"service": "desk"}, 400),
        ("POST", f"http://{control}/Config.Replace", {"version": 1}, 400),
        ("POST", f"http://{control}/Config.Update", "none", 400),
    ]
    for method, url, body, status in wrong:
        answer = send_request(method, url, body)
        assert answer.status == status, url
        assert len(answer.json()["reason"].splitlines()) == 1
    same_version = build_configuration(1, 1, LOAN)
    assert site.post("/Config.Replace", same_version).status == 400
    outdated_base = build_configuration(9, 0, LOAN)
    assert site.post("/Config.Replace", outdated_base).status == 412
    url = f"http://{control}/Config.Read"
    assert send_request("GET", url).json()["version"] == "r1"


def test_address_reused_by_another_process(site: Site) -> None:
    """Run no request at a process that was not announced.

    An endpoint ends without deregistering and another service starts at its
    address. It refuses requests for the old process, and the client gets a
    503: its request did not run.
    """
    old = Endpoint("i-1", "desk")
    heartbeats = HeartbeatSender(site, old)
    try:
        _wait_until_served(site)
        heartbeats.stop()
        old.stop()
        new = Endpoint("i-9", "shelf", old.address)
        name = _next_name()
        answer = site.request("/loan/1", name, 0, "POST")
        assert answer.status == 503
        assert not new.ran
    finally:
        heartbeats.stop()


def test_long_configuration_reaches_running_and_starting_routers(
    site: Site,
) -> None:
    """Guard against trees that daemons offer and cannot fetch."""
    heartbeats = HeartbeatSender(site, Endpoint("i-1", "desk"))
    routes = [build_route(f"look-{number}", "safe") for number in range(600)]
    try:
        _wait_until_served(site)
        configuration = build_configuration(2, 1, LOOK, *routes)
        assert _has_status(site.post("/Config.Replace", configuration))
        for number in range(2):
            wait_for(
                partial(_try_request, site, number, "/look-599/"),
                "long configuration",
            )
        site.kill(site.routers[0])
        site.start(site.routers[0], False)
        wait_for(
            lambda: _try_request(site, 0, "/look-599/"), "after its start"
        )
    finally:
        heartbeats.stop()


def test_starting_router_queues_calls(site: Site) -> None:
    """Serve a call that arrives before the configuration.

    A router is killed and starts again. It listens before it has received
    routes and endpoints from control. Calls refused in that time would be
    retried later than they could have been answered.
    """
    desk = Endpoint("i-1", "desk")
    heartbeats = HeartbeatSender(site, desk)
    try:
        _wait_until_served(site)
        site.kill(site.routers[0])
        site.start(site.routers[0], False)
        answer = wait_for(
            lambda: site.request("/look/1", _next_name(), 0), "listening"
        )
        assert answer.status == 200
    finally:
        heartbeats.stop()


def test_endpoint_restarts_under_its_id(site: Site) -> None:
    """Serve by the later process at once, whatever the earlier one sends.

    An endpoint drains and ends, and starts again under its id and address
    with new sequence numbers. Messages of the earlier process that arrive
    afterwards are not acknowledged, and the later one continues to serve.
    """
    earlier = Endpoint("i-1", "desk")
    assert _has_status(
        earlier.send_heartbeat(site.control(0), born=1000, sequence=70)
    )
    earlier.state = "draining"
    drain = partial(
        earlier.send_heartbeat, site.control(0), born=1000, sequence=71
    )
    wait_for(lambda: _has_status(drain()), "acknowledged")
    earlier.stop()
    later = Endpoint("i-1", "desk", earlier.address)
    try:
        for control in range(3):
            answer = later.send_heartbeat(site.control(control), born=2000)
            assert _has_status(answer)
        _wait_until_served(site)
        for control in range(3):
            late = earlier.send_heartbeat(
                site.control(control), born=1000, sequence=99
            )
            assert _has_status(late, 503)
        assert _has_status(_deregister(site, "i-1", {"born": 1000}), 503)
        _wait_until_served(site)
        assert _has_status(_deregister(site, "i-1", {"born": 2000}))
        assert _has_status(
            site.request("/loan/1", _next_name(), 0, "POST"), 503
        )
    finally:
        later.stop()


def test_invalid_heartbeats_change_no_endpoint(site: Site) -> None:
    """Refuse invalid heartbeats and keep the known endpoints.

    The heartbeats lack fields, have fields of a wrong type or an undeclared
    state or service, or cannot be decoded; some carry the id of an endpoint
    that serves.
    """
    desk = Endpoint("i-1", "desk")
    heartbeats = HeartbeatSender(site, desk)
    try:
        _wait_until_served(site)
        wrong: list[dict[str, Any]] = [
            {"state": "resting"},
            {"service": "nobody"},
            {"service": "shelf"},
            {"born": "now"},
            {"sequence": None},
            {"capacity": "many"},
            {"address": "127.0.0.1:9"},
        ]
        heartbeats.stop()
        for control in range(3):
            assert _has_status(desk.send_heartbeat(site.control(control)))
        for values in wrong:
            answer = desk.send_heartbeat(
                site.control(0), **{"sequence": 99, **values}
            )
            assert answer.status in (400, 503), values
        desk.instance = "i-77"
        for values in (wrong[0], wrong[1], wrong[3], wrong[4]):
            answer = desk.send_heartbeat(site.control(0), **values)
            assert answer.status in (400, 503), values
        desk.instance = "i-1"
        for name in ("%ff%fe", "x" * 200, ""):
            url = f"http://{site.control(0)}/Instances.Heartbeat/{name}"
            assert _has_status(send_request("POST", url, {}), 400)
        assert _has_status(_deregister(site, "i-1", [1, 2]), 400)
        for control in range(3):
            assert _has_status(desk.send_heartbeat(site.control(control)))
        _wait_until_served(site)
    finally:
        heartbeats.stop()
        desk.stop()


def _malformed_bodies(seed: int) -> list[bytes]:
    """Return malformed request bodies, the same ones for a seed."""
    draw = random.Random(seed)
    pieces = [
        b"{}",
        b"[]",
        b"null",
        b'"x"',
        b"[" * 5000,
        b'{"a":' * 2000,
        b'{"version":"r5","services":7}',
        b'{"version":"r5","virtualHosts":[null],"services":[]}',
        b'{"born":[],"service":{},"state":0}',
        b"\xff\xfe\x00",
    ]
    for _ in range(20):
        size = draw.randrange(1, 400)
        pieces.append(draw.randbytes(size))
    return pieces


def test_zone_evacuation_survives_restarts(site: Site) -> None:
    """Send no calls to an evacuated zone, also after all daemons restart."""
    here = Endpoint("i-1", "desk")
    there = Endpoint("i-2", "desk")
    there.zone = "miraflores"
    heartbeats = HeartbeatSender(site, here, there)
    try:
        _wait_until_served(site)
        # After a lost answer the same order is sent to another replica.
        for number in range(3):
            wait_for(
                partial(_order_evacuation, site, number, "Begin"),
                "evacuation begun",
            )
        time.sleep(1.0)
        before = here.ran.total()
        everything = [*site.controls, *site.routers]
        for ip in everything:
            site.kill(ip)
        for ip in everything:
            site.start(ip, False)
        _wait_until_served(site)
        for turn in range(20):
            wait_for(
                partial(_is_served_by_second, site, turn % 2), "the other zone"
            )
        assert here.ran.total() == before
        wait_for(
            partial(_order_evacuation, site, 1, "Finish"),
            "evacuation finished",
        )
        wait_for(
            lambda: _try_request(site, 0) and here.ran.total() > before,
            "zone served",
        )
    finally:
        heartbeats.stop()


def _evacuate(site: Site, number: int, verb: str, zone: str = "surco") -> Any:
    url = f"http://{site.control(number)}/Evacuations.{verb}/{zone}"
    return send_request("POST", url)


def _order_evacuation(site: Site, number: int, verb: str) -> bool:
    return _has_status(_evacuate(site, number, verb))


def test_order_with_invalid_zone_is_refused(site: Site) -> None:
    """Refuse an order for a name that no availability zone can have."""
    for name in ("Surco", "%FF", "a%20b", "x" * 80, ""):
        answer = _evacuate(site, 0, "Begin", name)
        assert answer.status == 400, name
        assert b"zone" in answer.data
    url = f"http://{site.control(0)}/Evacuations.Begin/surco"
    assert send_request("GET", url).status == 405


def test_any_bytes_at_any_call_change_nothing(site: Site) -> None:
    """Refuse malformed bodies on every path of the platform's API.

    A faulty client sends arbitrary bytes. None is acknowledged, the daemon
    continues to serve, and endpoints and configuration stay the same.
    """
    desk = Endpoint("i-1", "desk")
    heartbeats = HeartbeatSender(site, desk)
    try:
        _wait_until_served(site)
        control = site.control(0)
        paths = [
            f"http://{control}/Instances.Heartbeat/i-1",
            f"http://{control}/Instances.Deregister/i-1",
            f"http://{control}/Config.Replace",
            f"http://{control}/Config.Update",
        ]
        for path in paths:
            for body in _malformed_bodies(7):
                object_only = body.startswith(b"{") and b"born" not in body
                if object_only and "Deregister" in path:
                    # A deregistration without a start time is valid.
                    continue
                answer = POOL.request("POST", path, body=body, redirect=False)
                assert answer.status in (307, 400, 413), (path, body[:40])
        for query in ("?zone=%ff", "?zone=%00&zone", "?%"):
            url = f"http://{site.controls[0]}:7003/resolve{query}"
            assert send_request("GET", url).status == 200
        _wait_until_served(site)
        read = f"http://{site.control(0)}/Config.Read"
        assert send_request("GET", read).json()["version"] == "r1"
    finally:
        heartbeats.stop()


def test_any_bytes_between_daemons_change_nothing(site: Site) -> None:
    """Refuse malformed messages on every gRPC method.

    A daemon of another version, or another program, sends arbitrary bytes.
    Control and routers continue to serve.
    """
    desk = Endpoint("i-1", "desk")
    heartbeats = HeartbeatSender(site, desk)
    methods = (DELIVER, FETCH, FOLLOW, WATCH, CLAIM, INTRODUCE, PEER, SEEN)
    try:
        _wait_until_served(site)
        for ip in site.controls:
            with grpc.insecure_channel(f"{ip}:7000") as channel:
                for method in methods:
                    call = channel.unary_unary(method.path)
                    for body in _malformed_bodies(9):
                        with pytest.raises(grpc.RpcError) as raised:
                            call(body, timeout=5.0)
                        code = raised.value.code()
                        assert code == grpc.StatusCode.INVALID_ARGUMENT
        _wait_until_served(site)
    finally:
        heartbeats.stop()


def _deregister(site: Site, name: str, body: Any) -> Any:
    url = f"http://{site.control(0)}/Instances.Deregister/{name}"
    return send_request("POST", url, body)


def test_drain_binds_while_an_entry_does_not_answer(site: Site) -> None:
    """Acknowledge a drain while a router is paused; it obeys the drain later.

    A router is paused while its request to control is open. The heartbeat of
    the draining endpoint is acknowledged once the router is out of contact.
    When it resumes, the router learns of the drain before it sends any call.
    """
    leaving = Endpoint("i-1", "desk")
    staying = Endpoint("i-2", "desk")
    heartbeats = HeartbeatSender(site, leaving, staying)
    try:
        _wait_until_served(site)
        site.signal(site.routers[1], signal.SIGSTOP)
        leaving.state = "draining"
        wait_for(
            lambda: _has_status(leaving.send_heartbeat(site.control(1))),
            "acknowledged",
        )
        before = sum(leaving.ran.values())
        for _ in range(20):
            assert _has_status(site.request("/look/1", _next_name(), 0))
        assert sum(leaving.ran.values()) == before
        site.signal(site.routers[1], signal.SIGCONT)
        wait_for(lambda: _try_request(site, 1), "resumed")
        before = sum(leaving.ran.values())
        for _ in range(20):
            assert _has_status(site.request("/look/1", _next_name(), 1))
        assert sum(leaving.ran.values()) == before
        assert _has_status(leaving.deregister(site.control(0)))
    finally:
        heartbeats.stop()


def test_control_replica_loses_its_disk(site: Site) -> None:
    """Admit a replica with an empty data folder under a new identity.

    Its earlier votes were lost with its disk. It becomes a voter again
    without any command; then another replica is killed, and the remaining
    two still accept a change.
    """
    lost = site.controls[2]
    site.kill(lost)
    shutil.rmtree(site.data(lost))
    site.start(lost, False)
    url = f"http://{site.control(2)}/replicas"

    def has_three_voters() -> bool:
        answer = send_request("GET", url)
        rows = answer.json()["replicas"] if _has_status(answer) else []
        return len([one for one in rows if one["voter"]]) == 3

    wait_for(has_three_voters, "three voters")
    site.kill(site.controls[1])
    configuration = build_configuration(4, 1, LOOK)
    wait_for(
        lambda: _has_status(site.post("/Config.Replace", configuration, 2)),
        "accepted",
    )


def test_five_replicas_of_which_three_are_seeds(tmp_path: Path) -> None:
    """Form a group of the three seeds, which the other two join."""
    site = Site(tmp_path, 5, 1)
    site.start_all()
    url = f"http://{site.control(4)}/replicas"
    try:

        def are_all_voters() -> bool:
            answer = send_request("GET", url)
            rows = answer.json()["replicas"] if _has_status(answer) else []
            return len([one for one in rows if one["voter"]]) == 5

        wait_for(are_all_voters, "five voters")
    finally:
        site.stop()


def test_router_before_its_first_configuration(tmp_path: Path) -> None:
    """Answer 503, not 404, while no configuration is known."""
    site = Site(tmp_path, 3, 1)
    site.start(site.routers[0], True)
    try:
        answer = wait_for(lambda: site.request("/look/1", _next_name()), "503")
        assert answer.status == 503
        assert float(answer.headers["Retry-After"]) > 0
        health = f"http://{site.routers[0]}:7004/readyz"
        assert send_request("GET", health).status == 503
    finally:
        site.stop()


def test_stopping_router_serves_late_callers(site: Site) -> None:
    """Leave the directory at once and serve callers that cached the address.

    The platform stops a router. Callers with a cached address still send
    requests for some seconds; each is answered by an endpoint or gets a 503,
    as it did not run, and the router ends by itself.
    """
    desk = Endpoint("i-1", "desk")
    heartbeats = HeartbeatSender(site, desk)
    try:
        _wait_until_served(site)
        wait_for(lambda: len(site.resolve()) == 2, "both listed")
        site.signal(site.routers[1], signal.SIGTERM)
        wait_for(lambda: site.resolve() == [site.router(0)], "delisted")
        statuses = []
        process = site.processes[site.routers[1]]
        while process.poll() is None:
            answer = site.request("/look/1", _next_name(), 1)
            statuses.append(None if answer is None else answer.status)
            time.sleep(0.1)
        assert statuses[0] == 200
        assert set(statuses) <= {200, 503, None}
        assert process.returncode == 0
    finally:
        heartbeats.stop()
