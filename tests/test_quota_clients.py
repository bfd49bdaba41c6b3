"""Test that calls which wait for permits end in every case, once."""

import asyncio
import socket
from collections.abc import Callable
from typing import Any
from typing import cast

import pytest
from nutmegchute_core.balancers import Balancer
from nutmegchute_core.calls import Lose
from nutmegchute_core.calls import LOST
from nutmegchute_core.calls import NOT_RUN
from nutmegchute_core.calls import Refuse
from nutmegchute_core.calls import Send
from nutmegchute_core.calls import Throttle
from nutmegchute_core.quota_ledgers import MAX_STARTING_WAIT_S
from nutmegchute_core.quotas import QuotaGrant
from nutmegchute_core.quotas import QuotaReply
from nutmegchute_core.quotas import QuotaRequest
from nutmegchute_core.rules import read_services
from nutmegchute_daemon import quota_clients
from nutmegchute_daemon.call_formats import CallFormat
from nutmegchute_daemon.dispatchers import Dispatcher
from nutmegchute_daemon.identities import Identifier
from nutmegchute_daemon.links import Links
from nutmegchute_daemon.metrics import Metrics
from nutmegchute_daemon.pending_calls import Arrival
from nutmegchute_daemon.pending_calls import PendingCall
from nutmegchute_daemon.quota_clients import QuotaClient
from nutmegchute_daemon.senders import Request
from nutmegchute_daemon.settings import Settings
from support import announcement
from support import build_result
from support import rule
from support import team
from urllib3 import HTTPHeaderDict
from virtual_time import run_virtual

LIMITED = {"keys": ["k1"], "rate_per_s": 5.0, "burst": 5.0}


class FakeLinks:
    """Grant a number of permits, after a delay."""

    def __init__(self) -> None:
        self.delay_s = 0.01
        self.permits = 0
        self.granting = True

    async def send_request(
        self, _: str, method: Any, request: QuotaRequest, timeout_s: float
    ) -> QuotaReply:
        """Reply as a control replica."""
        await asyncio.sleep(self.delay_s)
        grants = []
        for ask in request.asks:
            granted = min(ask.waiting, self.permits)
            self.permits -= granted
            grants.append(QuotaGrant(ask.organisation, granted, 0.2))
        return QuotaReply(grants, 0.5, self.granting)


class Entry:
    """Run a client and record what becomes of calls."""

    def __init__(self) -> None:
        self.links = FakeLinks()
        self.identifier = Identifier(CallFormat.organisation_header)
        self.metrics = Metrics(None, "entry-1")
        self.admitted: list[PendingCall] = []
        self.denied: list[PendingCall] = []
        self.refused: list[PendingCall] = []
        values = {"name": "entry-1", "role": "entry"}
        self.client = QuotaClient(
            settings=Settings(values),
            links=cast(Links, self.links),
            metrics=self.metrics,
            identifier=self.identifier,
            replicas=lambda: ["a"],
            deny=self.denied.append,
            on_refused=self.refused.append,
        )
        self.configure(LIMITED)

    def configure(self, organisation: dict[str, Any] | None) -> None:
        """Apply an organisation, or none."""
        section = {} if organisation is None else {"small": organisation}
        self.identifier.configure({"team": {"organisations": section}})
        self.client.configure()

    def open(self, socket_number: int = -1) -> PendingCall:
        """Open a call of the organisation."""
        call = PendingCall(
            Arrival("desk", "GET", "/", 2.0, 1, key=b"k1"),
            Request("GET", "/", HTTPHeaderDict(), b""),
            socket_number,
        )
        assert self.identifier.identify(call, False) is None
        self.client.open(call, lambda: self.admitted.append(call))
        return call


def play(
    monkeypatch: pytest.MonkeyPatch,
    scenario: Callable[[Entry], Any],
) -> None:
    """Run a scenario in virtual time; no call may be left."""

    async def run() -> None:
        loop = asyncio.get_running_loop()
        monkeypatch.setattr(quota_clients, "boot_time", loop.time)
        entry = Entry()
        await scenario(entry)
        assert entry.client.waiting == 0

    run_virtual(run())


def last_action(call: PendingCall) -> Any:
    """Return the only action of a call."""
    action, _ = call.next_action(0.0)
    assert call.next_action(0.0)[0] is None
    return action


def test_permit_admits_one_call(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against calls that are admitted without a permit."""

    async def scenario(entry: Entry) -> None:
        entry.links.permits = 1
        first, second = entry.open(), entry.open()
        await asyncio.sleep(0.1)
        assert entry.admitted == [first]
        assert first.arrival.deadline_s == pytest.approx(1.99)
        refusal = last_action(second)
        assert isinstance(refusal, Throttle)
        assert refusal.retry_after_s > 0
        assert second.record.quota is not None
        assert entry.refused == [second]
        # The first ends without having been sent.
        entry.client.give_back(first)
        third = entry.open()
        assert entry.admitted == [first, third]
        entry.client.give_back(first)
        assert isinstance(last_action(entry.open()), Throttle)

    play(monkeypatch, scenario)


def test_unconfirmed_call_is_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against 429 where nobody knows what is left of the quota."""

    async def scenario(entry: Entry) -> None:
        entry.links.granting = False
        call = entry.open()
        await asyncio.sleep(0.1)
        assert last_action(call) is None
        await asyncio.sleep(MAX_STARTING_WAIT_S)
        assert isinstance(last_action(call), Refuse)

    play(monkeypatch, scenario)


def test_changes_decide_waiting_calls(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against calls that wait for a quota that is gone."""

    async def scenario(entry: Entry) -> None:
        entry.links.delay_s = 0.1
        freed = entry.open()
        entry.configure({**LIMITED, "rate_per_s": 0})
        assert entry.admitted == [freed]
        entry.configure(LIMITED)
        for change in ({**LIMITED, "keys": ["k2"]}, None):
            withdrawn = entry.open()
            entry.configure(change)
            assert entry.denied.pop() is withdrawn
            entry.configure(LIMITED)
        entry.links.permits = 9
        await asyncio.sleep(0.5)
        assert entry.admitted == [freed]

    play(monkeypatch, scenario)


def test_gone_caller_and_shutdown(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against waiting calls that are left behind."""

    async def scenario(entry: Entry) -> None:
        entry.links.delay_s = 0.14
        ours, theirs = socket.socketpair()
        gone = entry.open(ours.fileno())
        closed = entry.open(ours.fileno())
        entry.client.close_call(closed)
        theirs.close()
        await asyncio.sleep(0.12)
        entry.client.sweep()
        assert isinstance(last_action(gone), Lose)
        waiting = entry.open(ours.fileno())
        entry.client.end_all()
        late = entry.open(ours.fileno())
        for call in (waiting, late):
            assert isinstance(last_action(call), Refuse)
        entry.links.permits = 9
        await asyncio.sleep(0.5)
        assert entry.admitted == []
        entry.client.stop()
        ours.close()

    play(monkeypatch, scenario)


def test_moved_call_needs_a_permit_of_its_organisation(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against a permit of the organisation that had the key before."""

    async def scenario(entry: Entry) -> None:
        entry.links.permits = 1
        call = entry.open()
        await asyncio.sleep(0.1)
        assert entry.admitted == [call]
        large = {"large": LIMITED, "small": {**LIMITED, "keys": ["k2"]}}
        entry.identifier.configure({"team": {"organisations": large}})
        entry.client.configure()
        assert entry.identifier.confirm(call)
        entry.client.open(call, lambda: entry.admitted.append(call))
        await asyncio.sleep(0.1)
        assert entry.admitted == [call]
        assert isinstance(last_action(call), Throttle)

    play(monkeypatch, scenario)


def test_moved_call_waits_when_the_former_quota_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against the admission of a call that has moved meanwhile."""

    async def scenario(entry: Entry) -> None:
        entry.links.delay_s = 0.1
        call = entry.open()
        large = {"large": LIMITED}
        entry.identifier.configure({"team": {"organisations": large}})
        entry.client.configure()
        assert entry.admitted == []
        await asyncio.sleep(1.0)
        assert entry.admitted == []
        assert isinstance(last_action(call), Throttle)

    play(monkeypatch, scenario)


@pytest.mark.parametrize("outcome", [NOT_RUN, LOST])
def test_permit_returns_if_no_endpoint_ran_the_call(outcome: str) -> None:
    """Guard against permits that are lost with calls that were shed."""

    async def run() -> None:
        balancer = Balancer(seed=1)
        services = read_services({"a": team(desk=[rule(idempotent=False)])})
        balancer.configure(services, 0.0)
        balancer.update_upstreams([announcement("a:1", service="desk")], 0.0)
        dispatcher = Dispatcher(
            balancer=balancer,
            metrics=Metrics(None, "entry-1"),
            hedge=lambda call, send, exchange: None,
            query_load=lambda probe: None,
            settle=lambda call, outcome: None,
        )
        returned: list[PendingCall] = []
        dispatcher.on_not_run = returned.append
        connection, _caller = socket.socketpair()
        call = PendingCall(
            Arrival("desk", "GET", "/", 2.0, 1, key=b"k1"),
            Request("GET", "/", HTTPHeaderDict(), b""),
            connection.fileno(),
        )
        dispatcher.admit(call, 2.0)
        await asyncio.sleep(0.1)
        send, _ = call.next_action(0.0)
        assert isinstance(send, Send)
        result = build_result(
            send.call_id, send.attempt, outcome, 0.01, shed=True
        )
        dispatcher.end_attempt(call, result)
        action = last_action(call)
        assert isinstance(action, Refuse if outcome == NOT_RUN else Lose)
        assert returned == ([call] if outcome == NOT_RUN else [])
        dispatcher.stop()

    run_virtual(run())
