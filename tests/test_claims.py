"""Test batches of claims and failure while the ledger is unavailable."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import pytest
from nutmegchute_core.claims import ClaimAnswer
from nutmegchute_core.claims import ClaimReply
from nutmegchute_core.claims import ClaimRequest
from nutmegchute_core.claims import FIRST
from nutmegchute_core.claims import NOT_RUN
from nutmegchute_core.claims import RAN
from nutmegchute_core.claims import Settlement
from nutmegchute_daemon.claims import build_claim
from nutmegchute_daemon.claims import Claimer
from nutmegchute_daemon.claims import InvalidKeyError
from nutmegchute_daemon.claims import LedgerClock
from nutmegchute_daemon.claims import MAX_KEY_LENGTH
from nutmegchute_daemon.settings import Settings

PEERS = [
    {
        "name": f"control-{n}",
        "grpc_address": f"10.0.0.{n}:1",
        "http_address": "10.0.0.1:2",
    }
    for n in (1, 2, 3)
]
LEADER = "control-2"


class FakeLinks:
    """Answer as three control replicas of which one leads, or none."""

    def __init__(self) -> None:
        self.requests: list[ClaimRequest] = []
        self.has_leader = True
        self.gate = asyncio.Event()
        self.gate.set()

    async def send_request(
        self,
        address: str,
        method: Any,
        request: ClaimRequest,
        timeout_s: float,
    ) -> ClaimReply | None:
        """Answer as a replica would."""
        await asyncio.sleep(0)
        if not self.has_leader:
            return ClaimReply(None, None)
        if address != PEERS[1]["grpc_address"]:
            return ClaimReply(LEADER, None)
        await self.gate.wait()
        self.requests.append(request)
        return ClaimReply(None, [ClaimAnswer(FIRST)] * len(request.claims))


class ClaimerHarness:
    """Hold a claimer and the answers of its claims."""

    def __init__(self) -> None:
        self.links = FakeLinks()
        settings = Settings(
            {
                "role": "entry",
                "name": "entry-1",
                "availability_zone": "surco",
                "http_address": "10.0.0.9:1",
                "grpc_address": "10.0.0.9:2",
                "control": PEERS,
            }
        )
        links: Any = self.links
        loop = asyncio.get_running_loop()
        self.claimer = Claimer(settings, links, loop)
        self.answers: list[ClaimAnswer | None] = []

    def claim(self, key: str) -> None:
        """Claim a key."""
        one = build_claim("prestamos", key, "POST", "/loans", b"")
        self.claimer.claim(one, 1.0, self.answers.append)


def run_scenario(scenario: Coroutine[Any, Any, None]) -> None:
    """Run a scenario on an event loop; fail it after 10 s."""
    asyncio.run(asyncio.wait_for(scenario, 10.0))


def test_claims_share_a_request() -> None:
    """Send the claims made while a request is in flight in one batch."""

    async def scenario() -> None:
        harness = ClaimerHarness()
        harness.links.gate.clear()
        harness.claim("a")
        first = asyncio.create_task(harness.claimer.run())
        for _ in range(20):
            await asyncio.sleep(0.01)
        for key in "bcdef":
            harness.claim(key)
        harness.links.gate.set()
        await first
        await harness.claimer.run()
        sizes = [len(request.claims) for request in harness.links.requests]
        assert sizes == [1, 5]
        assert harness.answers == [ClaimAnswer(FIRST)] * 6
        assert harness.claimer.idle

    run_scenario(scenario())


def test_without_a_leader_claims_fail_at_once() -> None:
    """Guard against keyed calls that wait while control has no quorum.

    A claim that was sent may be in the log, so it is released as soon
    as there is a leader; otherwise its key would stay claimed.
    """

    async def scenario() -> None:
        harness = ClaimerHarness()
        harness.links.has_leader = False
        harness.claim("a")
        await harness.claimer.run()
        assert harness.answers == [None]
        harness.claim("b")
        assert harness.answers == [None, None]
        harness.links.has_leader = True
        await harness.claimer.run()
        released = harness.links.requests[-1].settlements
        assert [one.outcome for one in released] == [NOT_RUN]
        harness.claim("c")
        await harness.claimer.run()
        assert harness.answers[2:] == [ClaimAnswer(FIRST)]

    run_scenario(scenario())


def test_settlements_wait_for_a_leader() -> None:
    """Guard against an outcome lost while there is no leader."""

    async def scenario() -> None:
        harness = ClaimerHarness()
        harness.links.has_leader = False
        one = build_claim("prestamos", "a", "POST", "/loans", b"")
        harness.claimer.settle(Settlement(one, RAN, 200))
        await harness.claimer.run()
        assert not harness.claimer.idle
        harness.links.has_leader = True
        await harness.claimer.run()
        assert harness.links.requests[-1].settlements[0].status == 200
        assert harness.claimer.idle

    run_scenario(scenario())


def test_digests_and_fingerprints_are_unique() -> None:
    """Guard against equal digests of keys of different services.

    Different requests must have different fingerprints as well.
    """
    one = build_claim("prestamos", "k", "POST", "/loans", b"atlas")
    again = build_claim("prestamos", "k", "POST", "/loans", b"atlas")
    assert (one.digest, one.fingerprint) == (again.digest, again.fingerprint)
    assert one.token != again.token
    for other in (
        build_claim("catalogo", "k", "POST", "/loans", b"atlas"),
        build_claim("prestamos", "l", "POST", "/loans", b"atlas"),
    ):
        assert one.digest != other.digest
    for other in (
        build_claim("prestamos", "k", "PUT", "/loans", b"atlas"),
        build_claim("prestamos", "k", "POST", "/loans?a", b"atlas"),
        build_claim("prestamos", "k", "POST", "/loan", b"satlas"),
    ):
        assert one.fingerprint != other.fingerprint


@pytest.mark.parametrize(
    "key", ["", "x" * (MAX_KEY_LENGTH + 1), "a\nb", "clé"]
)
def test_invalid_keys_are_rejected(key: str) -> None:
    """Accept only keys that every library forwards unchanged."""
    with pytest.raises(InvalidKeyError):
        build_claim("prestamos", key, "POST", "/loans", b"")


def test_ledger_clock_ignores_time_between_leaders() -> None:
    """Guard against keys evicted early after a change of leader."""
    clock = LedgerClock()
    assert clock.elapsed_s(1, 100.0) == 0.0
    assert clock.elapsed_s(1, 107.0) == 7.0
    assert clock.elapsed_s(2, 500.0) == 0.0
