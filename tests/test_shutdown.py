"""Test the stop of an entry under load and with a hanging upstream."""

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
from nutmegchute_fakes.demo import apply_declaration
from nutmegchute_fakes.demo import build_declaration
from nutmegchute_fakes.faulty_upstreams import FaultyUpstream
from urllib3.exceptions import HTTPError
from urllib3.exceptions import NewConnectionError

CALLERS = 6
SERVICE_MS = 50
SLOW_SERVICE_MS = 1500
KEEP_S = 1.0
DEADLINE_MS = 60000
NOT_LISTENING = "no listener"


@pytest.fixture
def build(tmp_path: Path) -> Iterator[Any]:
    """Start a replica and entries with the settings of the test."""
    cluster = Cluster(tmp_path, ["surco"])

    def one(entries: int = 1, **extra: Any) -> Cluster:
        cluster.start(1, entries, entries_keep_s=KEEP_S, **extra)
        controls = [process.address for process in cluster.controls]
        document = build_declaration(DEADLINE_MS)
        apply_declaration(tmp_path, document, controls, OPERATOR_KEY)
        return cluster

    yield one
    cluster.stop()


def call(
    pool: urllib3.PoolManager, entry: Process, service: str = "catalogo"
) -> str:
    """Send a lookup and return its outcome."""
    url = f"http://{entry.address}/call/{service}/shelf"
    try:
        answer = pool.request("GET", url)
    except NewConnectionError:
        return NOT_LISTENING
    except HTTPError as error:
        return f"cut: {error}"
    return answer.headers.get("Nutmegchute-Outcome", ANSWERED)


def add_hanging_upstream(cluster: Cluster) -> FaultyUpstream:
    """Announce an upstream that accepts calls and never answers."""
    upstream = FaultyUpstream(faulty_upstreams.never_answer)
    entry = cluster.entries[0]
    announcement = {
        "service": "catalogo",
        "endpoint": upstream.address,
        "availability_zone": "surco",
        "slots": 3,
        "incarnation": 1,
    }
    url = f"http://{entry.address}/announce"
    pool = urllib3.PoolManager(retries=False)

    def is_accepted() -> bool:
        answer = pool.request(
            "POST", url, body=msgspec.json.encode(announcement)
        )
        return answer.status == 200

    cluster.wait_for("the announcement", is_accepted)
    return upstream


def test_stop_under_load_loses_no_call(build: Any) -> None:
    """Answer or refuse every call while an entry stops under load.

    Callers use persistent connections and refresh their list of entries when
    it expires. No call may be cut off or lost, and the entry must end by
    itself while the callers continue with the other one.
    """
    cluster = build(entries=2)
    entry = cluster.entries[0]
    cluster.add_upstream("catalogo", service_ms=SERVICE_MS)
    seeds = [one.address for one in cluster.entries]
    pool = urllib3.PoolManager(retries=False, timeout=20.0)
    for one in cluster.entries:
        cluster.wait_for("an answer", lambda e=one: call(pool, e) == ANSWERED)
    entry_used = threading.Event()

    def keep_calling(number: int) -> set[str]:
        caller = FakeCaller(seeds)
        outcomes = set()
        count = 0
        while entry.is_running or count < 10:
            count += 1
            name = f"caller-{number}-{count}"
            result = caller.call(name, "catalogo", "GET", "/shelf")
            outcomes.add(result.outcome)
            if result.entry == entry.address:
                entry_used.set()
        return outcomes

    with ThreadPoolExecutor(CALLERS) as threads:
        runs = [threads.submit(keep_calling, n) for n in range(CALLERS)]
        assert entry_used.wait(20.0)
        entry.signal(signal.SIGTERM)
        all_outcomes = set().union(*[run.result() for run in runs])
    assert all_outcomes <= {ANSWERED, REFUSED}
    assert ANSWERED in all_outcomes
    assert entry.wait() == 0


def test_address_is_served_while_callers_may_cache_it(build: Any) -> None:
    """Serve a caller that got the address just before SIGTERM."""
    cluster = build()
    entry = cluster.entries[0]
    cluster.add_upstream("catalogo", service_ms=1)
    pool = urllib3.PoolManager(retries=False, timeout=20.0)
    cluster.wait_for("an upstream", lambda: call(pool, entry) == ANSWERED)
    entry.signal(signal.SIGTERM)
    cluster.wait_for(
        "the drain",
        lambda: (cluster.fetch(entry) or {})["entry"]["draining"],
    )
    fresh = urllib3.PoolManager(retries=False, timeout=20.0)
    assert call(fresh, entry) == ANSWERED
    assert entry.wait() == 0


@pytest.mark.parametrize("by", ["interrupt", "limit"])
def test_hanging_call_does_not_block_the_stop(build: Any, by: str) -> None:
    """End the stop despite a call that hangs at its upstream.

    SIGINT during the stop or the shutdown limit ends it. The call was sent,
    so its outcome must be "unknown", never "not run".
    """
    limit_s = KEEP_S + 0.5 if by == "limit" else 60.0
    cluster = build(shutdown_limit_s=limit_s)
    entry = cluster.entries[0]
    upstream = add_hanging_upstream(cluster)
    pool = urllib3.PoolManager(retries=False, timeout=30.0)
    with ThreadPoolExecutor(1) as threads:
        hanging = threads.submit(call, pool, entry)
        cluster.wait_for("the call", lambda: upstream.requests)
        entry.signal(signal.SIGTERM)
        if by == "interrupt":
            cluster.wait_for(
                "the drain",
                lambda: (cluster.fetch(entry) or {})["entry"]["draining"],
            )
            entry.signal(signal.SIGINT)
        assert hanging.result() == "unknown"
    assert entry.wait() == 0
    upstream.stop()


def test_repeated_signal_cuts_no_call(build: Any) -> None:
    """A service manager repeats SIGTERM while calls are at work.

    The calls that the first signal left time for would end as "unknown".
    """
    cluster = build(shutdown_limit_s=20.0)
    entry = cluster.entries[0]
    cluster.add_upstream("catalogo", service_ms=SLOW_SERVICE_MS)
    pool = urllib3.PoolManager(retries=False, timeout=30.0)
    cluster.wait_for("an upstream", lambda: call(pool, entry) == ANSWERED)
    with ThreadPoolExecutor(1) as threads:
        slow = threads.submit(call, pool, entry)
        for _ in range(4):
            threading.Event().wait(0.2)
            entry.signal(signal.SIGTERM)
        assert slow.result() == ANSWERED
    assert entry.wait() == 0
