"""Gather claims, and refuse at once when no ledger takes them."""

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
    """Be three control replicas of which one leads, or none."""

    def __init__(self) -> None:
        self.requests: list[ClaimRequest] = []
        self.leads = True
        self.gate = asyncio.Event()
        self.gate.set()

    async def ask(
        self,
        address: str,
        method: Any,
        request: ClaimRequest,
        timeout_s: float,
    ) -> ClaimReply | None:
        """Answer as a replica would."""
        await asyncio.sleep(0)
        if not self.leads:
            return ClaimReply(None, None)
        if address != PEERS[1]["grpc_address"]:
            return ClaimReply(LEADER, None)
        await self.gate.wait()
        self.requests.append(request)
        return ClaimReply(None, [ClaimAnswer(FIRST)] * len(request.claims))


class Scene:
    """Hold a claimer and what its claims were answered."""

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


def play(scenario: Coroutine[Any, Any, None]) -> None:
    """Run a scenario on a loop; one that hangs fails."""
    asyncio.run(asyncio.wait_for(scenario, 10.0))


def test_claims_share_a_request() -> None:
    """Send what gathered while the last request was under way at once."""

    async def scenario() -> None:
        scene = Scene()
        scene.links.gate.clear()
        scene.claim("a")
        first = asyncio.create_task(scene.claimer.run())
        for _ in range(20):
            await asyncio.sleep(0.01)
        for key in "bcdef":
            scene.claim(key)
        scene.links.gate.set()
        await first
        await scene.claimer.run()
        sizes = [len(request.claims) for request in scene.links.requests]
        assert sizes == [1, 5]
        assert scene.answers == [ClaimAnswer(FIRST)] * 6
        assert scene.claimer.idle

    play(scenario())


def test_without_a_leader_claims_fail_at_once() -> None:
    """Refuse keyed calls while control has no quorum, then go on.

    What was sent may be in a log all the same, so its release follows as
    soon as a leader is there: else the key would stay taken.
    """

    async def scenario() -> None:
        scene = Scene()
        scene.links.leads = False
        scene.claim("a")
        await scene.claimer.run()
        assert scene.answers == [None]
        scene.claim("b")
        assert scene.answers == [None, None]
        scene.links.leads = True
        await scene.claimer.run()
        released = scene.links.requests[-1].settlements
        assert [one.outcome for one in released] == [NOT_RUN]
        scene.claim("c")
        await scene.claimer.run()
        assert scene.answers[2:] == [ClaimAnswer(FIRST)]

    play(scenario())


def test_settlements_wait_for_a_leader() -> None:
    """Keep an outcome until the ledger has it."""

    async def scenario() -> None:
        scene = Scene()
        scene.links.leads = False
        one = build_claim("prestamos", "a", "POST", "/loans", b"")
        scene.claimer.settle(Settlement(one, RAN, 200))
        await scene.claimer.run()
        assert not scene.claimer.idle
        scene.links.leads = True
        await scene.claimer.run()
        assert scene.links.requests[-1].settlements[0].status == 200
        assert scene.claimer.idle

    play(scenario())


def test_keys_are_scoped_and_requests_told_apart() -> None:
    """Give equal digests only to the same key of the same service."""
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
def test_malformed_keys_are_refused(key: str) -> None:
    """Take only keys that every library passes on unchanged."""
    with pytest.raises(InvalidKeyError):
        build_claim("prestamos", key, "POST", "/loans", b"")


def test_the_ledger_clock_counts_one_leader() -> None:
    """Count no time between leaders."""
    clock = LedgerClock()
    assert clock.elapsed_s(1, 100.0) == 0.0
    assert clock.elapsed_s(1, 107.0) == 7.0
    assert clock.elapsed_s(2, 500.0) == 0.0
