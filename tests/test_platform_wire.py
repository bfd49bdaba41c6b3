"""Drive the daemons by the platform's protocol over loopback."""

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
from nutmegchute_daemon.methods import FOLLOW
from nutmegchute_daemon.methods import PEER
from nutmegchute_daemon.methods import SEEN
from nutmegchute_daemon.methods import WATCH
from platform_standins import ask
from platform_standins import Endpoint
from platform_standins import HOST
from platform_standins import POOL
from platform_standins import Site
from platform_standins import wait_for

NAMES = itertools.count()


def route(name: str, kind: str, **values: Any) -> dict[str, Any]:
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


def whole(version: int, base: int, *routes: dict[str, Any]) -> dict[str, Any]:
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


LOAN = route("loan", "unsafe")
LOOK = route("look", "safe")


class Beats:
    """Announce endpoints again and again until told to stop."""

    def __init__(self, site: Site, *endpoints: Endpoint) -> None:
        self.site = site
        self.endpoints = list(endpoints)
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Announce no more."""
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stop.wait(0.4):
            for endpoint in self.endpoints:
                for number in range(len(self.site.controls)):
                    answer = endpoint.beat(self.site.control(number))
                    if answer is not None and answer.status == 200:
                        break


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    """Run three control replicas and two routers, configured."""
    found = Site(tmp_path, 3, 2)
    found.start_all()
    try:
        order = whole(1, 0, LOAN, LOOK)
        wait_for(lambda: _status(found.order("/Config.Replace", order)), "r1")
        yield found
    finally:
        found.stop()


def _status(answer: Any, wanted: int = 200) -> bool:
    return answer is not None and answer.status == wanted


def _name() -> str:
    return f"q{next(NAMES)}"


def _served(site: Site, number: int, path: str = "/look/1") -> Any:
    answer = site.request(path, _name(), number)
    return answer if _status(answer) else None


def _moved(site: Site, number: int) -> bool:
    answer = _served(site, number)
    return answer is not None and answer.data == b"i-2 /look/1"


def _all_served(site: Site) -> None:
    for number in range(2):
        wait_for(partial(_served, site, number), f"router {number}")


def test_calm_minute(site: Site) -> None:
    """Serve clients, operators and endpoints as the platform speaks.

    Requests reach an endpoint of their route's service once, with a name
    and a signature; unknown places are 404; a change is in force at every
    router and is read back at every replica.
    """
    desk = Endpoint("i-1", "desk")
    shelf = Endpoint("i-2", "shelf")
    beats = Beats(site, desk, shelf)
    try:
        _all_served(site)
        assert set(wait_for(site.resolve, "entries")) <= {
            site.router(0),
            site.router(1),
        }
        names = [_name() for _ in range(40)]
        for turn, name in enumerate(names):
            answer = site.request("/loan/a?x=1", name, turn % 2, "POST")
            assert answer.status == 200
            assert answer.data == b"i-1 /loan/a?x=1"
            assert answer.headers["Server-Signature"] == "i-1"
            assert answer.headers["Request-Id"] == name
        assert [desk.ran[name] for name in names] == [1] * 40
        assert site.request("/nowhere/", _name()).status == 404
        assert site.request("/look/", _name(), host="b.example").status == 404
        moved = {**LOOK, "service": "shelf"}
        order = {
            "version": "r5",
            "baseVersion": "r1",
            "upsert": {"virtualHosts": [{"hostname": HOST, "paths": [moved]}]},
        }
        for number in range(3):
            # The same order, to each replica: accepted once, then again.
            assert site.order("/Config.Update", order, number).status == 200
        for number in range(2):
            wait_for(partial(_moved, site, number), "the change in force")
        for number in range(3):
            url = f"http://{site.control(number)}/Config.Read"
            read = wait_for(partial(ask, "GET", url), "read").json()
            assert read["version"] == "r5"
        health = f"http://{site.routers[0]}:7004/readyz"
        assert ask("GET", health).status == 200
        text = ask("GET", f"http://{site.routers[0]}:7005/metrics").data
        assert b"nutmegchute_calls_total" in text
    finally:
        beats.stop()


def test_endpoint_that_fails(site: Site) -> None:
    """Tell clients the truth about what an endpoint did.

    Full, it did not run the request: 503. A lost answer may have run, so a
    loan is neither repeated nor called not run. The answer to another's
    request is nobody's.
    """
    desk = Endpoint("i-1", "desk")
    beats = Beats(site, desk)
    try:
        _all_served(site)
        for mode, status, ran in (("full", 503, 0), ("lose", 502, 1)):
            desk.mode = mode
            name = _name()
            answer = site.request("/loan/1", name, 0, "POST")
            assert answer.status == status, mode
            assert answer.headers["Request-Id"] == name
            assert desk.ran[name] == ran, mode
        desk.mode = "cross"
        name = _name()
        assert site.request("/loan/1", name, 1, "POST").status == 502
        assert desk.ran[name] == 1
    finally:
        beats.stop()


def test_bad_input_is_told_in_one_line(site: Site) -> None:
    """Refuse what cannot be read with its status and one reason.

    Nothing of it is taken, and the daemon goes on serving.
    """
    control = site.control()
    beat = f"http://{control}/Instances.Heartbeat/i-1"
    wrong = [
        ("POST", beat, "x" * 100000, 413),
        ("POST", beat, {"service": "desk"}, 400),
        ("POST", f"http://{control}/Config.Replace", {"version": 1}, 400),
        ("POST", f"http://{control}/Config.Update", "none", 400),
    ]
    for method, url, body, status in wrong:
        answer = ask(method, url, body)
        assert answer.status == status, url
        assert len(answer.json()["reason"].splitlines()) == 1
    back = whole(1, 1, LOAN)
    assert site.order("/Config.Replace", back).status == 400
    old = whole(9, 0, LOAN)
    assert site.order("/Config.Replace", old).status == 412
    url = f"http://{control}/Config.Read"
    assert ask("GET", url).json()["version"] == "r1"


def test_address_taken_over_by_another_process(site: Site) -> None:
    """Send nothing to a process that is not the one announced.

    An endpoint ends without a word and another service starts at its
    address. It refuses what is not for it, and the client's request did
    not run.
    """
    old = Endpoint("i-1", "desk")
    beats = Beats(site, old)
    try:
        _all_served(site)
        beats.stop()
        old.stop()
        new = Endpoint("i-9", "shelf", old.address)
        name = _name()
        answer = site.request("/loan/1", name, 0, "POST")
        assert answer.status == 503
        assert not new.ran
    finally:
        beats.stop()


def test_router_that_starts_holds_calls_for_a_moment(site: Site) -> None:
    """Serve a call that comes before the configuration does.

    A router is killed and starts again. It listens before it has asked
    control for routes and endpoints; callers that were sent away then would
    come back later than the answer takes.
    """
    desk = Endpoint("i-1", "desk")
    beats = Beats(site, desk)
    try:
        _all_served(site)
        site.kill(site.routers[0])
        site.start(site.routers[0], False)
        answer = wait_for(
            lambda: site.request("/look/1", _name(), 0), "listening"
        )
        assert answer.status == 200
    finally:
        beats.stop()


def test_endpoint_starts_again_under_its_name(site: Site) -> None:
    """Serve by the later process at once, whatever was heard before.

    An endpoint drains and ends, and starts again under its id and address
    with its numbers anew. What the earlier process sent comes after: it is
    not acknowledged, and the later one goes on serving.
    """
    earlier = Endpoint("i-1", "desk")
    assert _status(earlier.beat(site.control(0), born=1000, sequence=70))
    earlier.state = "draining"
    drain = partial(earlier.beat, site.control(0), born=1000, sequence=71)
    wait_for(lambda: _status(drain()), "acknowledged")
    earlier.stop()
    later = Endpoint("i-1", "desk", earlier.address)
    try:
        for control in range(3):
            answer = later.beat(site.control(control), born=2000)
            assert _status(answer)
        _all_served(site)
        for control in range(3):
            late = earlier.beat(site.control(control), born=1000, sequence=99)
            assert _status(late, 503)
        assert _status(_farewell(site, "i-1", {"born": 1000}), 503)
        _all_served(site)
        assert _status(_farewell(site, "i-1", {"born": 2000}))
        assert _status(site.request("/loan/1", _name(), 0, "POST"), 503)
    finally:
        later.stop()


def test_other_writers_name_no_endpoint(site: Site) -> None:
    """Refuse what another writer sends; the endpoints known hold.

    Heartbeats come with fields missing or of another type, with a state or
    service that nobody declared, or as bytes that cannot be read, some
    under the id of an endpoint that serves.
    """
    desk = Endpoint("i-1", "desk")
    beats = Beats(site, desk)
    try:
        _all_served(site)
        wrong: list[dict[str, Any]] = [
            {"state": "resting"},
            {"service": "nobody"},
            {"service": "shelf"},
            {"born": "now"},
            {"sequence": None},
            {"capacity": "many"},
            {"address": "127.0.0.1:9"},
        ]
        beats.stop()
        for control in range(3):
            assert _status(desk.beat(site.control(control)))
        for values in wrong:
            answer = desk.beat(site.control(0), **{"sequence": 99, **values})
            assert answer.status in (400, 503), values
        desk.instance = "i-77"
        for values in (wrong[0], wrong[1], wrong[3], wrong[4]):
            answer = desk.beat(site.control(0), **values)
            assert answer.status in (400, 503), values
        desk.instance = "i-1"
        for name in ("%ff%fe", "x" * 200, ""):
            url = f"http://{site.control(0)}/Instances.Heartbeat/{name}"
            assert _status(ask("POST", url, {}), 400)
        assert _status(_farewell(site, "i-1", [1, 2]), 400)
        for control in range(3):
            assert _status(desk.beat(site.control(control)))
        _all_served(site)
    finally:
        beats.stop()
        desk.stop()


def _noise(seed: int) -> list[bytes]:
    """Give bodies that no reader expects, the same ones for a seed."""
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


def test_zone_is_evacuated_and_taken_back(site: Site) -> None:
    """Guard against calls in an evacuated zone, also after all restart."""
    here = Endpoint("i-1", "desk")
    there = Endpoint("i-2", "desk")
    there.zone = "miraflores"
    beats = Beats(site, here, there)
    try:
        _all_served(site)
        # The answer may be lost: the same order comes at another replica.
        for number in range(3):
            wait_for(partial(_ordered, site, number, "Begin"), "the order")
        time.sleep(1.0)
        before = here.ran.total()
        everything = [*site.controls, *site.routers]
        for ip in everything:
            site.kill(ip)
        for ip in everything:
            site.start(ip, False)
        _all_served(site)
        for turn in range(20):
            wait_for(partial(_moved, site, turn % 2), "the other zone")
        assert here.ran.total() == before
        wait_for(partial(_ordered, site, 1, "Finish"), "the zone back")
        wait_for(lambda: _served(site, 0) and here.ran.total() > before, "it")
    finally:
        beats.stop()


def _evacuate(site: Site, number: int, verb: str, zone: str = "surco") -> Any:
    url = f"http://{site.control(number)}/Evacuations.{verb}/{zone}"
    return ask("POST", url)


def _ordered(site: Site, number: int, verb: str) -> bool:
    return _status(_evacuate(site, number, verb))


def test_order_about_no_zone_is_refused_clearly(site: Site) -> None:
    """Guard against an order that is taken for a name no zone can have."""
    for name in ("Surco", "%FF", "a%20b", "x" * 80, ""):
        answer = _evacuate(site, 0, "Begin", name)
        assert answer.status == 400, name
        assert b"zone" in answer.data
    url = f"http://{site.control(0)}/Evacuations.Begin/surco"
    assert ask("GET", url).status == 405


def test_any_bytes_at_any_call_change_nothing(site: Site) -> None:
    """Answer each call of the platform whatever its body is.

    Another writer, or a broken one, sends bytes to every path. Each gets a
    refusal with a reason; none is acknowledged, the daemon goes on and so
    do the endpoint and the configuration that it knows.
    """
    desk = Endpoint("i-1", "desk")
    beats = Beats(site, desk)
    try:
        _all_served(site)
        control = site.control(0)
        paths = [
            f"http://{control}/Instances.Heartbeat/i-1",
            f"http://{control}/Instances.Deregister/i-1",
            f"http://{control}/Config.Replace",
            f"http://{control}/Config.Update",
        ]
        for path in paths:
            for body in _noise(7):
                object_only = body.startswith(b"{") and b"born" not in body
                if object_only and "Deregister" in path:
                    # A farewell that does not tell its start is one.
                    continue
                answer = POOL.request("POST", path, body=body, redirect=False)
                assert answer.status in (307, 400, 413), (path, body[:40])
        for query in ("?zone=%ff", "?zone=%00&zone", "?%"):
            url = f"http://{site.controls[0]}:7003/resolve{query}"
            assert ask("GET", url).status == 200
        _all_served(site)
        read = f"http://{site.control(0)}/Config.Read"
        assert ask("GET", read).json()["version"] == "r1"
    finally:
        beats.stop()


def test_any_bytes_between_daemons_change_nothing(site: Site) -> None:
    """Refuse what another daemon's exchanges cannot be.

    A process of another version, or something else at that port, sends
    bytes to every method. Control and routers go on serving.
    """
    desk = Endpoint("i-1", "desk")
    beats = Beats(site, desk)
    methods = (DELIVER, FOLLOW, WATCH, CLAIM, INTRODUCE, PEER, SEEN)
    try:
        _all_served(site)
        for ip in site.controls:
            with grpc.insecure_channel(f"{ip}:7000") as channel:
                for method in methods:
                    call = channel.unary_unary(method.path)
                    for body in _noise(9):
                        with pytest.raises(grpc.RpcError) as raised:
                            call(body, timeout=5.0)
                        code = raised.value.code()
                        assert code == grpc.StatusCode.INVALID_ARGUMENT
        _all_served(site)
    finally:
        beats.stop()


def _farewell(site: Site, name: str, body: Any) -> Any:
    url = f"http://{site.control(0)}/Instances.Deregister/{name}"
    return ask("POST", url, body)


def test_drain_binds_while_an_entry_does_not_answer(site: Site) -> None:
    """Acknowledge a leaving although one entry is frozen; it heeds it.

    A router stands still with a question open. The endpoint that leaves
    gets its answer once the router is out of touch. The router wakes and
    hears of the leaving before it sends anything.
    """
    leaving = Endpoint("i-1", "desk")
    staying = Endpoint("i-2", "desk")
    beats = Beats(site, leaving, staying)
    try:
        _all_served(site)
        site.signal(site.routers[1], signal.SIGSTOP)
        leaving.state = "draining"
        wait_for(
            lambda: _status(leaving.beat(site.control(1))), "acknowledged"
        )
        before = sum(leaving.ran.values())
        for _ in range(20):
            assert _status(site.request("/look/1", _name(), 0))
        assert sum(leaving.ran.values()) == before
        site.signal(site.routers[1], signal.SIGCONT)
        wait_for(lambda: _served(site, 1), "awake")
        before = sum(leaving.ran.values())
        for _ in range(20):
            assert _status(site.request("/look/1", _name(), 1))
        assert sum(leaving.ran.values()) == before
        assert _status(leaving.leave(site.control(0)))
    finally:
        beats.stop()


def test_control_machine_without_its_disk(site: Site) -> None:
    """Take a replica with an empty folder in under a new identity.

    Its vote of before is forgotten with its disk. It comes back beside the
    others, is taken in and shows what was acknowledged; then another one
    is lost and the two of them still decide.
    """
    lost = site.controls[2]
    site.kill(lost)
    shutil.rmtree(site.data(lost))
    site.start(lost, False)
    url = f"http://{site.control(2)}/replicas"

    def back() -> bool:
        answer = ask("GET", url)
        rows = answer.json()["replicas"] if _status(answer) else []
        return len([one for one in rows if one["voter"]]) == 3

    wait_for(back, "three voters")
    site.kill(site.controls[1])
    order = whole(4, 1, LOOK)
    wait_for(
        lambda: _status(site.order("/Config.Replace", order, 2)), "decided"
    )


def test_five_replicas_of_which_three_are_seeds(tmp_path: Path) -> None:
    """Form a group of the seeds and let the others join it."""
    site = Site(tmp_path, 5, 1)
    site.start_all()
    url = f"http://{site.control(4)}/replicas"
    try:

        def whole_group() -> bool:
            answer = ask("GET", url)
            rows = answer.json()["replicas"] if _status(answer) else []
            return len([one for one in rows if one["voter"]]) == 5

        wait_for(whole_group, "five voters")
    finally:
        site.stop()


def test_router_before_its_first_configuration(tmp_path: Path) -> None:
    """Answer 503 where no configuration is known, never 404."""
    site = Site(tmp_path, 3, 1)
    site.start(site.routers[0], True)
    try:
        answer = wait_for(lambda: site.request("/look/1", _name()), "503")
        assert answer.status == 503
        assert float(answer.headers["Retry-After"]) > 0
        health = f"http://{site.routers[0]}:7004/readyz"
        assert ask("GET", health).status == 503
    finally:
        site.stop()


def test_stopping_router_serves_who_still_comes(site: Site) -> None:
    """Leave the directory at once and serve those who hold the address.

    The platform stops a router. Callers that asked the directory before
    still come for some seconds; each is answered by an endpoint or told
    that its request did not run, and the router ends by itself.
    """
    desk = Endpoint("i-1", "desk")
    beats = Beats(site, desk)
    try:
        _all_served(site)
        wait_for(lambda: len(site.resolve()) == 2, "both named")
        site.signal(site.routers[1], signal.SIGTERM)
        wait_for(lambda: site.resolve() == [site.router(0)], "gone")
        statuses = []
        process = site.processes[site.routers[1]]
        while process.poll() is None:
            answer = site.request("/look/1", _name(), 1)
            statuses.append(None if answer is None else answer.status)
            time.sleep(0.1)
        assert statuses[0] == 200
        assert set(statuses) <= {200, 503, None}
        assert process.returncode == 0
    finally:
        beats.stop()
