"""Test that load queries without a free thread say nothing of endpoints."""

import queue
import threading
from collections.abc import Iterator
from typing import Any
from typing import cast

import pytest
from nutmegchute_core.calls import Probe
from nutmegchute_core.reachability import ANSWERED
from nutmegchute_core.reachability import LinkCheck
from nutmegchute_daemon.connections import ConnectionPool
from nutmegchute_daemon.probes import PROBE_THREADS
from nutmegchute_daemon.probes import Prober
from nutmegchute_daemon.senders import Sender
from nutmegchute_daemon.servers import LoopRunner
from nutmegchute_fakes.faulty_upstreams import answer
from nutmegchute_fakes.faulty_upstreams import FaultyUpstream

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
        if not options:
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
def harness() -> Iterator[Harness]:
    """Yield a harness that is stopped at the end."""
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
