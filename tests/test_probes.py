"""Test that load queries without a free thread say nothing of endpoints."""

import queue
import threading
from collections.abc import Iterator
from typing import Any
from typing import cast

import pytest
from nutmegchute_core.calls import Probe
from nutmegchute_core.inquiries import QUERY_TIMEOUT_S
from nutmegchute_core.reachability import ANSWERED
from nutmegchute_core.reachability import LinkCheck
from nutmegchute_daemon import probes
from nutmegchute_daemon.connections import ConnectionPool
from nutmegchute_daemon.probes import MAX_PENDING
from nutmegchute_daemon.probes import PROBE_THREADS
from nutmegchute_daemon.probes import Prober
from nutmegchute_daemon.senders import Sender
from nutmegchute_daemon.servers import LoopRunner
from nutmegchute_fakes.faulty_upstreams import answer
from nutmegchute_fakes.faulty_upstreams import FaultyUpstream
from test_inquiries import build_balancer
from test_inquiries import queried
from test_inquiries import rule
from test_inquiries import SERVICE

WAIT_S = 10.0


class Runner:
    """Collect what the prober's threads report."""

    def __init__(self) -> None:
        self.results: queue.Queue[tuple[Any, ...]] = queue.Queue()

    def schedule(self, function: Any, *values: Any) -> None:
        """Keep the values of a report."""
        self.results.put(values)


class BusySender(Sender):
    """Hold all load queries until the release."""

    def __init__(self) -> None:
        super().__init__(ConnectionPool())
        self.release = threading.Event()
        self.held = threading.Semaphore(0)

    def send(self, *values: Any, **options: Any) -> Any:
        """Wait for the release, unless for a check of the links."""
        if not options["fresh"]:
            self.held.release()
            assert self.release.wait(2 * WAIT_S)
        return super().send(*values, **options)


class Harness:
    """Drive a prober whose threads are all in use."""

    def __init__(self) -> None:
        self.upstream = FaultyUpstream(answer)
        self.runner = Runner()
        self.sender = BusySender()
        self.prober = Prober(
            cast(LoopRunner, self.runner), self.sender, "/load"
        )
        self.prober.on_result = lambda *values: None
        self.prober.on_check = lambda *values: None
        self.queried = [self.query() for _ in range(PROBE_THREADS)]
        for _ in self.queried:
            assert self.sender.held.acquire(timeout=WAIT_S)

    def query(self) -> Probe:
        """Queue a load query."""
        probe = Probe("catalogo", self.upstream.address)
        self.prober.enqueue(probe)
        return probe


@pytest.fixture
def harness(monkeypatch: pytest.MonkeyPatch) -> Iterator[Harness]:
    """Yield a harness that is stopped at the end."""
    monkeypatch.setattr(probes, "MAX_WAIT_S", WAIT_S)
    found = Harness()
    yield found
    found.sender.release.set()
    found.prober.stop()
    found.upstream.stop()


def test_check_of_a_link_does_not_wait_for_load_queries(
    harness: Harness,
) -> None:
    """Guard against links taken as lost for want of a thread."""
    check = LinkCheck("catalogo", harness.upstream.address, "/")
    harness.prober.check(check)
    assert harness.runner.results.get(timeout=WAIT_S) == (check, ANSWERED)


def test_query_without_a_free_thread_is_untried_until_it_ends(
    harness: Harness,
) -> None:
    """Guard against silence of an endpoint that was not queried."""
    late = harness.query()
    assert harness.prober.pop_untried() == [late]
    harness.sender.release.set()
    for _ in [*harness.queried, late]:
        harness.runner.results.get(timeout=WAIT_S)
    assert harness.prober.pop_untried() == []


def test_dropped_query_is_untried(harness: Harness) -> None:
    """Guard against silence of an endpoint whose query was dropped."""
    queried = [harness.query() for _ in range(MAX_PENDING)]
    untried = harness.prober.pop_untried()
    assert set(untried) == set(queried)
    assert len(harness.prober.pop_untried()) < len(queried)


@pytest.mark.parametrize("is_tried", [True, False])
def test_only_a_query_that_was_tried_shows_a_silent_endpoint(
    is_tried: bool,
) -> None:
    """Guard against endpoints avoided because no thread was free."""
    balancer = build_balancer()
    _, (probe,) = balancer.arrive_with_rule(SERVICE, rule(), 5.0)
    assert isinstance(probe, Probe)
    if not is_tried:
        balancer.record_untried_probe(probe)
    now = 5.0 + QUERY_TIMEOUT_S
    assert queried(balancer.tick(now)) not in ([], [probe.endpoint])
    endpoint = balancer._pools[SERVICE].endpoints[probe.endpoint]
    assert endpoint.is_unreachable(now) == is_tried
