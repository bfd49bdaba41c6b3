"""Test concurrent operators and lost answers against an oracle."""

import contextlib
import io
import os
import shutil
import tempfile
from pathlib import Path
from typing import Any
from unittest import mock

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import run_state_machine_as_test
from nutmegchute_cli.__main__ import main
from nutmegchute_core.trees import ACCEPTED
from nutmegchute_fakes.controls import ANSWER_LOST
from nutmegchute_fakes.controls import CONCURRENT_CHANGE
from nutmegchute_fakes.controls import FakeControl
from nutmegchute_fakes.controls import REQUEST_LOST
from support import rule as rule_document
from support import team

KEYS = {"key-1": "ana", "key-2": "bo"}
TEAMS = ("lending", "shelves")

keys = st.sampled_from(sorted(KEYS))
teams = st.sampled_from(TEAMS)
deadlines = st.integers(1, 3)
faults = st.lists(
    st.sampled_from([ANSWER_LOST, REQUEST_LOST, CONCURRENT_CHANGE]), max_size=2
)


def branch(name: str, deadline_ms: int) -> Any:
    """Build the branch of a team with one service of the same name."""
    return team(**{name: [rule_document(deadline_ms=deadline_ms)]})


class Operators(RuleBasedStateMachine):
    """Two operators edit and apply concurrently while answers are lost.

    The oracle checks what each exit status means. 0: the tree holds the
    declarations. 1 or 3: the operator changed nothing. 4: the same command,
    run again without faults, ends with 0.
    """

    def __init__(self) -> None:
        super().__init__()
        self.control = FakeControl(KEYS)
        self.folder = Path(tempfile.mkdtemp())
        self.edited: dict[tuple[str, str], int] = {}
        self.changed_concurrently = ""
        for key in KEYS:
            (self.folder / key).mkdir()

    def teardown(self) -> None:
        """Stop the control server and remove the checkouts."""
        self.control.stop()
        shutil.rmtree(self.folder)

    @rule(key=keys, name=teams, deadline_ms=deadlines)
    def edit(self, key: str, name: str, deadline_ms: int) -> None:
        """Write one team's file in one operator's checkout."""
        path = self.folder / key / f"{name}.json"
        path.write_bytes(msgspec.json.encode(branch(name, deadline_ms)))
        self.edited[key, name] = deadline_ms

    @rule(key=keys, plan=faults, name=teams, deadline_ms=deadlines)
    def apply(
        self, key: str, plan: list[str], name: str, deadline_ms: int
    ) -> None:
        """Apply one checkout with faults and check its exit status."""
        if not any(operator_key == key for operator_key, _ in self.edited):
            return
        self.control.faults = list(plan)
        self.changed_concurrently = ""
        self.control.concurrent_change = lambda: self.change_concurrently(
            name, deadline_ms
        )
        before = self.accepted_by(key)
        status = self.run(key)
        if status in (1, 3):
            assert self.accepted_by(key) == before
        if status == 4:
            self.control.faults = []
            status = self.run(key)
            assert status == 0
        if status == 0:
            self.check_in_tree(key)
        assert self.accepted_by(key) <= before + 1

    def change_concurrently(self, name: str, deadline_ms: int) -> None:
        """Change a branch between the command's read and its request."""
        self.changed_concurrently = name
        self.control.change("cy", name, branch(name, deadline_ms))

    @invariant()
    def each_revision_has_one_change(self) -> None:
        """Check that no resent change was accepted twice."""
        accepted = [
            one for one in self.control.tree.audit if one.outcome == ACCEPTED
        ]
        ids = [one.change_id for one in accepted]
        assert len(set(ids)) == len(ids)
        for name, revision in self.control.tree.revisions.items():
            changes = [one for one in accepted if name in one.to_revisions]
            assert len(changes) == revision

    def accepted_by(self, key: str) -> int:
        """Count the accepted changes of one operator."""
        return sum(
            one.outcome == ACCEPTED and one.operator == KEYS[key]
            for one in self.control.tree.audit
        )

    def check_in_tree(self, key: str) -> None:
        """Check that the tree holds every file of a checkout."""
        for (operator_key, name), deadline_ms in self.edited.items():
            # The command does not send a branch that already is as declared,
            # so another operator's change of it in between stands.
            if operator_key == key and name != self.changed_concurrently:
                wanted = branch(name, deadline_ms)
                assert self.control.tree.documents[name] == wanted

    def run(self, key: str) -> int:
        """Run apply as one operator, with no time for resends."""
        arguments = ["apply", str(self.folder / key), "--wait-s=0"]
        arguments.append(f"--control={self.control.address}")
        output = io.StringIO()
        with (
            mock.patch.dict(os.environ, {"NUTMEGCHUTE_KEY": key}),
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(output),
        ):
            return main(arguments)


def test_operators() -> None:
    """Run the state machine."""
    run_state_machine_as_test(
        Operators, settings=settings(max_examples=30, stateful_step_count=10)
    )


def test_change_of_a_branch_not_sent() -> None:
    """Guard against reverting another operator's change of a branch.

    Ana's file of lending is in force and she changes shelves. Between her
    read and her request, cy changes lending. Her change sends shelves only,
    so it is accepted and must not revert cy's change.
    """
    operators = Operators()
    try:
        operators.edit("key-1", "lending", 1)
        assert operators.run("key-1") == 0
        operators.edit("key-1", "shelves", 1)
        operators.control.faults = [CONCURRENT_CHANGE]
        operators.control.concurrent_change = lambda: (
            operators.change_concurrently("lending", 2)
        )
        assert operators.run("key-1") == 0
        documents = operators.control.tree.documents
        assert documents["lending"] == branch("lending", 2)
        assert documents["shelves"] == branch("shelves", 1)
    finally:
        operators.teardown()
