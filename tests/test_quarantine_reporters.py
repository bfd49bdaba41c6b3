"""Check that reports reach the control replica that leads."""

import asyncio
from typing import Any
from typing import cast

from nutmegchute_core.quarantines import Crash
from nutmegchute_core.quarantines import QuarantineReply
from nutmegchute_core.quarantines import QuarantineRequest
from nutmegchute_core.quarantines import Ruling
from nutmegchute_core.quarantines import TrialRequest
from nutmegchute_core.quarantines import TRY
from nutmegchute_daemon.links import Links
from nutmegchute_daemon.quarantines import QuarantineReporter
from nutmegchute_daemon.quarantines import TOTAL_TIMEOUT_S
from nutmegchute_daemon.quarantines import UNAVAILABLE_S
from virtual_time import run_virtual

LEADER = "b:1"
CRASH = Crash("desk", "bad", "i-1#0", 0, 0.1)


class FakeLinks:
    """Reply as control replicas, of which one or none leads."""

    def __init__(self) -> None:
        self.has_leader = True
        self.accepted: list[QuarantineRequest] = []

    async def send_request(
        self, address: str, method: Any, request: Any, timeout_s: float
    ) -> QuarantineReply:
        """Accept a request to the leader, and redirect others to it."""
        await asyncio.sleep(0.002)
        if not self.has_leader:
            return QuarantineReply(None, None)
        if address != LEADER:
            return QuarantineReply(LEADER, None)
        self.accepted.append(request)
        return QuarantineReply(None, [Ruling(TRY)] * len(request.reports))


class Entry:
    """Run a reporter and record the rulings with their times."""

    def __init__(self) -> None:
        self.links = FakeLinks()
        self.rulings: list[tuple[float, str]] = []
        self.loop = asyncio.get_running_loop()
        self.reporter = QuarantineReporter(
            cast(Links, self.links),
            lambda: ["a:1", LEADER],
            self._record_ruling,
        )
        self.task = asyncio.ensure_future(self._run())

    def request_trial(self, token: int) -> None:
        """Request a trial."""
        request = TrialRequest("desk", "bad", token, 2.0)
        self.reporter.submit([request])

    def _record_ruling(
        self, request: TrialRequest, ruling: Ruling | None
    ) -> None:
        outcome = "none" if ruling is None else ruling.outcome
        self.rulings.append((self.loop.time(), outcome))

    async def _run(self) -> None:
        while True:
            await self.reporter.run()


def test_reports_reach_the_leader() -> None:
    """Follow the redirect to the leader and send later reports to it."""

    async def scenario() -> None:
        entry = Entry()
        entry.reporter.submit([CRASH])
        entry.request_trial(1)
        await asyncio.sleep(0.1)
        assert [outcome for _, outcome in entry.rulings] == [TRY]
        assert sum(len(one.reports) for one in entry.links.accepted) == 2
        entry.task.cancel()

    run_virtual(scenario())


def test_trial_request_without_a_leader_fails_soon() -> None:
    """Delay only the first trial request while there is no leader.

    Later calls that need a trial must not each wait for the timeout. Reports
    of crashes are kept meanwhile and reach the next leader.
    """

    async def scenario() -> None:
        entry = Entry()
        entry.links.has_leader = False
        entry.reporter.submit([CRASH])
        entry.request_trial(1)
        await asyncio.sleep(TOTAL_TIMEOUT_S + 0.1)
        assert [outcome for _, outcome in entry.rulings] == ["none"]
        requested_at = entry.loop.time()
        entry.request_trial(2)
        await asyncio.sleep(0.05)
        ruled_at, outcome = entry.rulings[-1]
        assert outcome == "none"
        assert ruled_at - requested_at < 0.01
        entry.links.has_leader = True
        await asyncio.sleep(2 * UNAVAILABLE_S)
        assert [one.reports for one in entry.links.accepted] == [[CRASH]]
        entry.request_trial(3)
        await asyncio.sleep(0.1)
        assert entry.rulings[-1][1] == TRY
        entry.task.cancel()

    run_virtual(scenario())
