"""Test evacuations of availability zones: orders, entries and callers."""

import msgspec
import pytest
from nutmegchute_core.balancers import Balancer
from nutmegchute_core.calls import Action
from nutmegchute_core.calls import NOT_RUN
from nutmegchute_core.calls import Refuse
from nutmegchute_core.calls import Result
from nutmegchute_core.calls import Send
from nutmegchute_core.directories import EntryInfo
from nutmegchute_core.errors import EvacuationError
from nutmegchute_core.evacuations import check_zone
from nutmegchute_core.evacuations import EvacuationOrder
from nutmegchute_core.evacuations import EvacuationOutcome
from nutmegchute_core.evacuations import EvacuationUpdate
from nutmegchute_core.machines import MachineState
from nutmegchute_core.machines import StateMachine
from nutmegchute_core.members import Announcement
from nutmegchute_core.messages import LogEntry
from nutmegchute_core.rules import read_services
from nutmegchute_core.sessions import choose_entries
from support import build_result
from support import rule
from support import team

SERVICE = "catalogo"
NEAR, FAR = "az-1", "az-2"


def endpoint(number: int, zone: str) -> Announcement:
    """Build an endpoint's announcement."""
    return Announcement(
        service=SERVICE,
        endpoint=f"10.0.0.{number}:80",
        availability_zone=zone,
        slots=2,
        incarnation=1,
        instance=f"i-{number}",
    )


def build_balancer(*zones: str) -> Balancer:
    """Build an entry's balancer with an endpoint in each named zone."""
    built = Balancer(seed=1, availability_zone=NEAR)
    document = team(**{SERVICE: [rule(attempts=3, hedge=True)]})
    built.configure(read_services({"lending": document}), 0.0)
    built.update_upstreams(
        [endpoint(number, zone) for number, zone in enumerate(zones, 1)], 0.0
    )
    return built


def sends(actions: list[Action]) -> list[Send]:
    """Return the send actions."""
    return [one for one in actions if isinstance(one, Send)]


def order_evacuation(
    machine: StateMachine, index: int, zone: str, evacuate: bool
) -> bool:
    """Apply an order; return whether it changed anything."""
    order = EvacuationOrder(zone, evacuate, "ana", float(index))
    outcome = machine.apply(LogEntry(1, index, order))
    assert isinstance(outcome, EvacuationOutcome)
    return outcome.changed


def test_orders_survive_a_snapshot_with_their_operators() -> None:
    """Guard against an evacuation lost when a replica restarts."""
    machine = StateMachine()
    assert order_evacuation(machine, 1, NEAR, True)
    assert order_evacuation(machine, 2, FAR, True)
    assert order_evacuation(machine, 3, FAR, False)
    data = msgspec.msgpack.encode(machine.snapshot())
    other = StateMachine()
    other.restore(msgspec.msgpack.decode(data, type=MachineState))
    assert other.snapshot() == machine.snapshot()
    (held,) = other.evacuations.evacuations
    assert (held.availability_zone, held.operator, held.at_unix_s) == (
        NEAR,
        "ana",
        1.0,
    )
    assert other.evacuations.since(0) == EvacuationUpdate(3, [NEAR])
    assert [one.detail for one in other.tree.audit] == [
        f"availability zone {NEAR} evacuated",
        f"availability zone {FAR} evacuated",
        f"availability zone {FAR} taken back",
    ]


def test_order_sent_again_changes_nothing() -> None:
    """Guard against a second audit record and a later time of the order."""
    machine = StateMachine()
    assert order_evacuation(machine, 1, NEAR, True)
    assert not order_evacuation(machine, 2, NEAR, True)
    assert machine.evacuations.index == 1
    assert machine.evacuations.evacuations[0].at_unix_s == 1.0
    assert order_evacuation(machine, 3, NEAR, False)
    assert not order_evacuation(machine, 4, NEAR, False)
    assert machine.evacuations.index == 3
    assert len(machine.tree.audit) == 2


def test_snapshot_without_evacuations_is_restored() -> None:
    """Guard against a replica that cannot load a snapshot of older code."""
    state = msgspec.to_builtins(StateMachine().snapshot())
    del state["evacuations"]
    StateMachine().restore(msgspec.convert(state, MachineState))


@pytest.mark.parametrize("name", ["", "Hall", "a b", "a/b", "a\n", "x" * 64])
def test_invalid_zone_name_is_rejected(name: str) -> None:
    """Guard against orders with an invalid name of an availability zone."""
    with pytest.raises(EvacuationError, match="availability zone"):
        check_zone(name)


def test_zone_without_endpoints_can_be_evacuated() -> None:
    """Guard against sends to endpoints that start in an evacuated zone."""
    check_zone("hall-9")
    balancer = build_balancer(FAR)
    balancer.apply_evacuations(EvacuationUpdate(5, ["hall-9"]), 0.0)
    balancer.update_upstreams([endpoint(1, "hall-9"), endpoint(2, FAR)], 1.0)
    for number in range(4):
        _, actions = balancer.arrive(SERVICE, "GET", "/a", 1.0 + number)
        for send in sends(actions):
            assert send.endpoint == "10.0.0.2:80"


def test_nothing_is_sent_to_an_evacuated_zone() -> None:
    """Guard against first sends, retries and hedges in an evacuated zone."""
    balancer = build_balancer(NEAR, FAR, NEAR, FAR)
    balancer.apply_evacuations(EvacuationUpdate(5, [NEAR]), 0.0)
    reached = []
    for number in range(30):
        now = number * 0.1
        call_id, actions = balancer.arrive(SERVICE, "GET", "/a", now)
        while sends(actions):
            send = sends(actions)[0]
            reached.append(send.endpoint)
            actions = balancer.tick(now + 0.09)
            for hedge in sends(actions):
                reached.append(hedge.endpoint)
            result = build_result(
                call_id, send.attempt, NOT_RUN, 0.01, shed=True
            )
            actions = balancer.finish(result, now + 0.09)
        balancer.abandon(call_id, now + 0.09)
    assert len(reached) > 30
    assert set(reached) == {"10.0.0.2:80", "10.0.0.4:80"}


def test_queued_calls_are_not_sent_to_a_zone_evacuated_meanwhile() -> None:
    """Guard against a call queued before the evacuation and sent after it."""
    balancer = build_balancer(NEAR, FAR)
    busy = {}
    for _ in range(6):
        call_id, actions = balancer.arrive(SERVICE, "GET", "/a", 0.0)
        for send in sends(actions):
            busy[call_id] = send
    assert 0 < len(busy) < 6
    later: list[Send] = []
    balancer.apply_evacuations(EvacuationUpdate(5, [NEAR]), 0.1)
    for call_id, send in busy.items():
        result = Result(call_id, send.attempt, "answered", 0.2)
        later += sends(balancer.finish(result, 0.2))
    assert {one.endpoint for one in later} == {"10.0.0.2:80"}


def test_service_without_another_zone_refuses_at_once() -> None:
    """Guard against calls queued until an evacuation ends."""
    balancer = build_balancer(NEAR, NEAR)
    sent = 0
    for _ in range(8):
        _, actions = balancer.arrive(SERVICE, "GET", "/a", 0.0)
        sent += len(sends(actions))
    assert sent < 8
    actions = balancer.apply_evacuations(EvacuationUpdate(5, [NEAR]), 0.1)
    refused = [one for one in actions if isinstance(one, Refuse)]
    assert len(refused) == 8 - sent
    pauses = set()
    for number in range(8):
        _, actions = balancer.arrive(SERVICE, "GET", "/a", 0.2 + number / 100)
        (refusal,) = actions
        assert isinstance(refusal, Refuse)
        assert "evacuated" in refusal.reason
        pauses.add(refusal.retry_after_s)
    assert len(pauses) == 8
    assert min(pauses) >= 0.5
    balancer.apply_evacuations(EvacuationUpdate(6, []), 1.0)
    _, actions = balancer.arrive(SERVICE, "GET", "/a", 1.0)
    assert not [one for one in actions if isinstance(one, Refuse)]


def test_older_update_is_ignored() -> None:
    """Guard against a replica that resumes with an outdated list."""
    balancer = build_balancer(NEAR, FAR)
    balancer.apply_evacuations(EvacuationUpdate(7, [NEAR]), 0.0)
    balancer.apply_evacuations(EvacuationUpdate(5, []), 0.1)
    balancer.update_upstreams([endpoint(1, NEAR), endpoint(2, FAR)], 0.2)
    _, actions = balancer.arrive(SERVICE, "GET", "/a", 0.3)
    assert [one.endpoint for one in sends(actions)] == ["10.0.0.2:80"]


def test_evacuations_apply_to_a_service_declared_later() -> None:
    """Guard against a configuration change that ends an evacuation."""
    balancer = build_balancer(NEAR, FAR)
    balancer.apply_evacuations(EvacuationUpdate(7, [NEAR]), 0.0)
    balancer.configure({}, 0.1)
    document = team(**{SERVICE: [rule()]})
    balancer.configure(read_services({"lending": document}), 0.2)
    balancer.update_upstreams([endpoint(1, NEAR), endpoint(2, FAR)], 0.2)
    _, actions = balancer.arrive(SERVICE, "GET", "/a", 0.3)
    assert [one.endpoint for one in sends(actions)] == ["10.0.0.2:80"]


def test_callers_get_entries_outside_evacuated_zones() -> None:
    """Guard against entries whose calls all cross zones."""
    entries = [
        EntryInfo(f"entry-{number}", f"10.1.0.{number}:80", zone)
        for number, zone in enumerate([NEAR, NEAR, NEAR, FAR, FAR])
    ]
    near = {one.address for one in entries[:3]}
    far = {one.address for one in entries[3:]}
    assert set(choose_entries(entries, NEAR, 4, 0)) == near
    assert set(choose_entries(entries, NEAR, 4, 0, [NEAR])) == far
    assert set(choose_entries(entries, FAR, 4, 0, [NEAR])) == far
    assert set(choose_entries(entries, NEAR, 9, 0, [NEAR, FAR])) == near
    remaining = [
        *entries[:3],
        *[msgspec.structs.replace(one, draining=True) for one in entries[3:]],
    ]
    assert set(choose_entries(remaining, NEAR, 4, 0, [NEAR])) == near
