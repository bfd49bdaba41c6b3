"""Send reports to whichever control replica leads."""

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
from nutmegchute_daemon.quarantines import DOWN_S
from nutmegchute_daemon.quarantines import GIVE_UP_S
from nutmegchute_daemon.quarantines import QuarantineReporter
from virtual_time import run_virtual

LEADER = "b:1"
CRASH = Crash("desk", "bad", "i-1#0", 0, 0.1)


class FakeLinks:
    """Answer for control replicas, of which one leads or none."""

    def __init__(self) -> None:
        self.leads = True
        self.taken: list[QuarantineRequest] = []

    async def send_request(
        self, address: str, method: Any, request: Any, timeout_s: float
    ) -> QuarantineReply:
        """Take a request where the leader is asked."""
        await asyncio.sleep(0.002)
        if not self.leads:
            return QuarantineReply(None, None)
        if address != LEADER:
            return QuarantineReply(LEADER, None)
        self.taken.append(request)
        return QuarantineReply(None, [Ruling(TRY)] * len(request.reports))


class Entry:
    """Run a reporter and note what it was answered, and when."""

    def __init__(self) -> None:
        self.links = FakeLinks()
        self.answers: list[tuple[float, str]] = []
        self.loop = asyncio.get_running_loop()
        self.reporter = QuarantineReporter(
            cast(Links, self.links), lambda: ["a:1", LEADER], self._take
        )
        self.task = asyncio.ensure_future(self._run())

    def ask(self, token: int) -> None:
        """Ask for a trial."""
        request = TrialRequest("desk", "bad", token, 2.0)
        self.reporter.submit([request])

    def _take(self, request: TrialRequest, ruling: Ruling | None) -> None:
        outcome = "none" if ruling is None else ruling.outcome
        self.answers.append((self.loop.time(), outcome))

    async def _run(self) -> None:
        while True:
            await self.reporter.run()


def test_reports_find_the_leader() -> None:
    """Follow the way to the leader, and stay there."""

    async def play() -> None:
        entry = Entry()
        entry.reporter.submit([CRASH])
        entry.ask(1)
        await asyncio.sleep(0.1)
        assert [outcome for _, outcome in entry.answers] == [TRY]
        assert sum(len(one.reports) for one in entry.links.taken) == 2
        entry.task.cancel()

    run_virtual(play())


def test_calls_do_not_wait_for_control_that_is_away() -> None:
    """Guard against a suspect's call that waits for each try anew.

    Reports of crashes are kept meanwhile and reach the next leader.
    """

    async def play() -> None:
        entry = Entry()
        entry.links.leads = False
        entry.reporter.submit([CRASH])
        entry.ask(1)
        await asyncio.sleep(GIVE_UP_S + 0.1)
        assert [outcome for _, outcome in entry.answers] == ["none"]
        asked_at = entry.loop.time()
        entry.ask(2)
        await asyncio.sleep(0.05)
        answered_at, outcome = entry.answers[-1]
        assert outcome == "none"
        assert answered_at - asked_at < 0.01
        entry.links.leads = True
        await asyncio.sleep(2 * DOWN_S)
        assert [one.reports for one in entry.links.taken] == [[CRASH]]
        entry.ask(3)
        await asyncio.sleep(0.1)
        assert entry.answers[-1][1] == TRY
        entry.task.cancel()

    run_virtual(play())
