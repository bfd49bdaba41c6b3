"""Check the order in which signals reach the processes of a soak."""

import signal
import time
from typing import Any
from typing import cast

import pytest
from nutmegchute_fakes.clusters import Cluster
from nutmegchute_fakes.faults import Fault
from nutmegchute_fakes.faults import FaultInjector
from nutmegchute_fakes.faults import SERIES
from nutmegchute_fakes.faults import SERIES_FORMS
from nutmegchute_fakes.partitions import Partitions


class FakeProcess:
    """Note the signals and restarts of a process."""

    name = "entry-1"
    is_running = True

    def __init__(self) -> None:
        self.signals: list[signal.Signals] = []
        self.restarts = 0
        self.started = time.monotonic()
        self.signalled_at: list[float] = []

    def signal(self, number: signal.Signals) -> None:
        """Note a signal; SIGTERM and SIGKILL end the process."""
        self.signals.append(number)
        self.signalled_at.append(time.monotonic() - self.started)
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.is_running = False

    def restart(self) -> None:
        """Note a restart."""
        self.restarts += 1
        self.is_running = True


class FakeCluster:
    """Hold one entry."""

    def __init__(self) -> None:
        self.entries = [FakeProcess()]
        self.controls: list[Any] = []
        self.upstreams: list[Any] = []


@pytest.mark.parametrize("form", SERIES_FORMS)
def test_process_gets_a_whole_series_before_its_restart(form: str) -> None:
    """Guard against repairs that cut a series of signals short."""
    cluster = FakeCluster()
    process = cluster.entries[0]
    injector = FaultInjector(
        cast(Cluster, cluster),
        [Fault(0.0, "entry", 0, SERIES, 0.1, form)],
        lambda: None,
        cast(Partitions, None),
    )
    injector.run()
    assert process.signals == [number for _, number in SERIES_FORMS[form]]
    for at_s, (after_s, _) in zip(
        process.signalled_at, SERIES_FORMS[form], strict=True
    ):
        assert at_s >= after_s
    assert process.restarts == 1
