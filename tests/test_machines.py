"""Test snapshots of the replicated state machine."""

import msgspec
from nutmegchute_core.commands import Command
from nutmegchute_core.follow_protocol import Enroll
from nutmegchute_core.machines import MachineState
from nutmegchute_core.machines import StateMachine
from nutmegchute_core.memberships import Membership
from nutmegchute_core.memberships import Reconfigure
from nutmegchute_core.messages import LogEntry
from nutmegchute_core.trees import Answer
from nutmegchute_core.trees import Change
from nutmegchute_core.trees import Refusal
from support import rule
from support import team

DOCUMENT = team(catalogo=[rule()])
COMMANDS: list[Command] = [
    Change("a", "ana", {"lending": 0}, {"lending": DOCUMENT}, 1.0),
    Change("b", "ana", {"lending": 0}, {"lending": DOCUMENT}, 2.0),
    Refusal("c", "bo", ["lending"], "bo may not change lending", 3.0),
    Reconfigure(Membership(), "ana", "remove control-3", 4.0),
    Enroll("entry-1"),
]


def test_restored_machine_is_the_same() -> None:
    """A replica that starts from a snapshot answers as before.

    The snapshot must keep change ids, conflicts, refusals, membership
    changes and enrolled entries.
    """
    machine = StateMachine()
    for index, command in enumerate(COMMANDS, 1):
        machine.apply(LogEntry(1, index, command))
    data = msgspec.msgpack.encode(machine.snapshot())
    other = StateMachine()
    other.restore(msgspec.msgpack.decode(data, type=MachineState))
    assert other.snapshot() == machine.snapshot()
    assert [one.outcome for one in other.tree.audit] == [
        "accepted",
        "conflict",
        "forbidden",
        "accepted",
    ]
    assert other.entries == {"entry-1"}
    again = other.apply(LogEntry(2, 6, COMMANDS[0]))
    assert isinstance(again, Answer)
    assert (again.outcome, again.index) == ("accepted", 1)


def test_snapshot_is_unaffected_by_later_changes() -> None:
    """A snapshot that is being written keeps the state it captured."""
    machine = StateMachine()
    machine.apply(LogEntry(1, 1, COMMANDS[0]))
    state = machine.snapshot()
    before = msgspec.msgpack.encode(state)
    machine.apply(
        LogEntry(
            1,
            2,
            Change("d", "ana", {"lending": 1}, {"lending": None}, 5.0),
        )
    )
    assert msgspec.msgpack.encode(state) == before
