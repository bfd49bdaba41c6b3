"""Stop an entry under load, in haste and against a hanging upstream."""

import signal
import threading
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import msgspec
import pytest
import urllib3
from nutmegchute_fakes import faulty_upstreams
from nutmegchute_fakes.callers import ANSWERED
from nutmegchute_fakes.callers import FakeCaller
from nutmegchute_fakes.callers import REFUSED
from nutmegchute_fakes.clusters import Cluster
from nutmegchute_fakes.clusters import OPERATOR_KEY
from nutmegchute_fakes.clusters import Process
from nutmegchute_fakes.demo import declaration
from nutmegchute_fakes.demo import declare
from nutmegchute_fakes.faulty_upstreams import FaultyUpstream
from urllib3.exceptions import HTTPError
from urllib3.exceptions import NewConnectionError

CALLERS = 6
SERVICE_MS = 50
KEEP_S = 1.0
DEADLINE_MS = 60000
GONE = "nobody listens"


@pytest.fixture
def build(tmp_path: Path) -> Iterator[Any]:
    """Build a replica and an entry with settings given by the test."""
    cluster = Cluster(tmp_path, ["surco"])

    def one(entries: int = 1, **extra: Any) -> Cluster:
        cluster.start(1, entries, entries_keep_s=KEEP_S, **extra)
        controls = [process.address for process in cluster.controls]
        document = declaration(DEADLINE_MS)
        declare(tmp_path, document, controls, OPERATOR_KEY)
        return cluster

    yield one
    cluster.stop()


def call(
    pool: urllib3.PoolManager, entry: Process, service: str = "catalogo"
) -> str:
    """Send a lookup and say what became of it."""
    url = f"http://{entry.address}/call/{service}/shelf"
    try:
        answer = pool.request("GET", url)
    except NewConnectionError:
        return GONE
    except HTTPError as error:
        return f"cut: {error}"
    return answer.headers.get("Nutmegchute-Outcome", ANSWERED)


def hang(cluster: Cluster) -> FaultyUpstream:
    """Announce an upstream that takes calls and never answers."""
    upstream = FaultyUpstream(faulty_upstreams.stay_silent)
    entry = cluster.entries[0]
    word = {
        "service": "catalogo",
        "endpoint": upstream.address,
        "availability_zone": "surco",
        "slots": 3,
        "incarnation": 1,
    }
    url = f"http://{entry.address}/announce"
    pool = urllib3.PoolManager(retries=False)

    def taken() -> bool:
        answer = pool.request("POST", url, body=msgspec.json.encode(word))
        return answer.status == 200

    cluster.wait_for("the announcement", taken)
    return upstream


def test_stop_under_load_cuts_nothing(build: Any) -> None:
    """Callers go on calling over kept connections while an entry stops.

    They ask for entries again when their answer is old, as callers must.
    Each call is answered or refused as not run, none is cut, and the
    entry ends by itself while they go on with the other one.
    """
    cluster = build(entries=2)
    entry = cluster.entries[0]
    cluster.add_upstream("catalogo", service_ms=SERVICE_MS)
    seeds = [one.address for one in cluster.entries]
    pool = urllib3.PoolManager(retries=False, timeout=20.0)
    for one in cluster.entries:
        cluster.wait_for("it", lambda e=one: call(pool, e) == ANSWERED)
    used = threading.Event()

    def keep_calling(number: int) -> set[str]:
        caller = FakeCaller(seeds)
        outcomes = set()
        count = 0
        while entry.running or count < 10:
            count += 1
            name = f"caller-{number}-{count}"
            shot = caller.shoot(name, "catalogo", "GET", "/shelf")
            outcomes.add(shot.outcome)
            if shot.entry == entry.address:
                used.set()
        return outcomes

    with ThreadPoolExecutor(CALLERS) as threads:
        runs = [threads.submit(keep_calling, n) for n in range(CALLERS)]
        assert used.wait(20.0)
        entry.signal(signal.SIGTERM)
        seen = set().union(*[run.result() for run in runs])
    assert seen <= {ANSWERED, REFUSED}
    assert ANSWERED in seen
    assert entry.wait() == 0


def test_address_is_served_while_callers_may_keep_it(build: Any) -> None:
    """A caller given the address just before connects after SIGTERM."""
    cluster = build()
    entry = cluster.entries[0]
    cluster.add_upstream("catalogo", service_ms=1)
    pool = urllib3.PoolManager(retries=False, timeout=20.0)
    cluster.wait_for("an upstream", lambda: call(pool, entry) == ANSWERED)
    entry.signal(signal.SIGTERM)
    cluster.wait_for(
        "the drain",
        lambda: (cluster.ask(entry) or {})["entry"]["draining"],
    )
    fresh = urllib3.PoolManager(retries=False, timeout=20.0)
    assert call(fresh, entry) == ANSWERED
    assert entry.wait() == 0


@pytest.mark.parametrize("by", ["second signal", "limit"])
def test_hanging_call_cannot_hold_the_stop_for_ever(
    build: Any, by: str
) -> None:
    """An upstream hangs with a call; the stop ends all the same.

    A second SIGTERM asks for it now, the limit does so by itself. The
    call was sent, so its caller is told "unknown", never "not run".
    """
    limit_s = KEEP_S + 0.5 if by == "limit" else 60.0
    cluster = build(shutdown_limit_s=limit_s)
    entry = cluster.entries[0]
    upstream = hang(cluster)
    pool = urllib3.PoolManager(retries=False, timeout=30.0)
    with ThreadPoolExecutor(1) as threads:
        hanging = threads.submit(call, pool, entry)
        cluster.wait_for("the call", lambda: upstream.requests)
        entry.signal(signal.SIGTERM)
        if by == "second signal":
            cluster.wait_for(
                "the drain",
                lambda: (cluster.ask(entry) or {})["entry"]["draining"],
            )
            entry.signal(signal.SIGTERM)
        assert hanging.result() == "unknown"
    assert entry.wait() == 0
    upstream.stop()
