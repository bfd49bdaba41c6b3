"""Test what the calls of an entry are answered when it stops."""

import asyncio
import socket

from nutmegchute_core.balancers import Balancer
from nutmegchute_core.calls import CallAction
from nutmegchute_core.calls import Lose
from nutmegchute_core.calls import NOT_RUN
from nutmegchute_core.calls import Refuse
from nutmegchute_core.calls import Send
from nutmegchute_core.claims import NOT_RUN as CLAIM_NOT_RUN
from nutmegchute_core.claims import UNKNOWN
from nutmegchute_core.rules import read_services
from nutmegchute_daemon.dispatchers import Dispatcher
from nutmegchute_daemon.metrics import Metrics
from nutmegchute_daemon.pending_calls import Arrival
from nutmegchute_daemon.pending_calls import PendingCall
from nutmegchute_daemon.senders import Request
from support import announcement
from support import build_result
from support import rule
from support import team
from urllib3 import HTTPHeaderDict
from virtual_time import run_virtual

RULES = [
    rule(name="sync", method="PUT", idempotent=False, priority="background"),
    rule(name="loan", method="POST", idempotent=False, priority="action"),
]
# The first endpoint has two slots.
SLOTS = 2


class Entry:
    """Drive a dispatcher whose workers do nothing by themselves."""

    def __init__(self, *endpoints: str) -> None:
        self.settled: list[str] = []
        # All calls come from one caller, which stays.
        self._connection, self._caller = socket.socketpair()
        self.balancer = Balancer(seed=1)
        services = read_services({"a": team(desk=RULES)})
        self.balancer.configure(services, 0.0)
        live = [announcement(one, service="desk") for one in endpoints]
        self.balancer.update_upstreams(live, 0.0)
        self.balancer.limit_extra_sends(0.2, 2.0)
        self.dispatcher = Dispatcher(
            balancer=self.balancer,
            metrics=Metrics(None, "entry-1"),
            hedge=lambda call, send, exchange: None,
            query_load=lambda probe: None,
            settle=lambda call, outcome: self.settled.append(outcome),
        )

    def open(
        self, method: str = "POST", needs_helper: bool = False
    ) -> PendingCall:
        """Admit a call."""
        call = PendingCall(
            Arrival("desk", method, "/", 2.0, 1),
            Request(method, "/", HTTPHeaderDict(), b""),
            self._connection.fileno(),
        )
        call.needs_helper = needs_helper
        self.dispatcher.admit(call, 2.0)
        return call


def actions_of(call: PendingCall) -> list[CallAction]:
    """Return the actions that wait for the call's worker."""
    found: list[CallAction] = []
    while True:
        action, _ = call.next_action(0.0)
        if action is None:
            return found
        found.append(action)


def test_stop_ends_each_call_by_what_its_attempts_did() -> None:
    """Guard against "not run" of a sent call, and "lost" of a waiting one."""

    async def run() -> None:
        entry = Entry("a:1")
        sent = [entry.open() for _ in range(SLOTS)]
        waiting = entry.open()
        entry.dispatcher.end_all()
        for call in sent:
            send, final = actions_of(call)
            assert isinstance(send, Send)
            assert isinstance(final, Lose)
            assert all(one.ended for one in call.exchanges.values())
        (final,) = actions_of(waiting)
        assert isinstance(final, Refuse)
        assert entry.settled == [UNKNOWN, UNKNOWN, CLAIM_NOT_RUN]
        assert entry.balancer.in_flight == 0
        entry.dispatcher.stop()

    run_virtual(run())


def test_stop_while_a_rejected_call_waits_for_its_retry() -> None:
    """Guard against "unknown" of a call whose rejection is true."""

    async def run() -> None:
        entry = Entry("a:1", "b:1")
        rejected = entry.open("PUT")
        (send,) = actions_of(rejected)
        assert isinstance(send, Send)
        # These go first.
        for _ in range(2 * SLOTS):
            entry.open()
        result = build_result(
            send.call_id, send.attempt, NOT_RUN, 0.01, shed=True
        )
        entry.dispatcher.end_attempt(rejected, result)
        assert actions_of(rejected) == []
        entry.dispatcher.end_all()
        (final,) = actions_of(rejected)
        assert isinstance(final, Refuse)
        entry.dispatcher.stop()

    run_virtual(run())


def test_call_for_a_helper_is_not_sent_to_an_endpoint() -> None:
    """Guard against loans sent without a claim when the links come back."""

    async def run() -> None:
        entry = Entry("a:1", "b:1")
        call = entry.open(needs_helper=True)
        await asyncio.sleep(3.0)
        (final,) = actions_of(call)
        assert isinstance(final, Refuse)
        entry.dispatcher.stop()

    run_virtual(run())
