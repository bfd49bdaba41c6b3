"""Test what an operator sees of each command, and its exit status."""

from collections.abc import Callable
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest
from nutmegchute_cli.__main__ import main
from nutmegchute_fakes.controls import ANSWER_LOST
from nutmegchute_fakes.controls import FakeControl
from nutmegchute_fakes.controls import REQUEST_LOST
from support import rule
from support import team

Run = Callable[..., tuple[int, str, str]]


@pytest.fixture
def control() -> Iterator[FakeControl]:
    """Serve a control replica that knows two operators."""
    fake = FakeControl({"key-1": "ana", "key-2": "bo"})
    yield fake
    fake.stop()


@pytest.fixture
def run(
    control: FakeControl,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> Run:
    """Run a command as operator ana; give status, output and errors."""
    monkeypatch.setenv("NUTMEGCHUTE_CONTROL", control.address)

    def run_one(*words: str, key: str = "key-1") -> tuple[int, str, str]:
        monkeypatch.setenv("NUTMEGCHUTE_KEY", key)
        status = main(list(words))
        captured = capsys.readouterr()
        return status, captured.out, captured.err

    return run_one


def declare(folder: Path, deadline_ms: int, name: str = "lending") -> str:
    """Write one team's file; return the folder for the command line."""
    document = team(**{name: [rule(deadline_ms=deadline_ms)]})
    (folder / f"{name}.json").write_bytes(msgspec.json.encode(document))
    return str(folder)


def test_plan_names_each_place(run: Run, tmp_path: Path) -> None:
    """Show old and new value of the one place that differs."""
    assert run("apply", declare(tmp_path, 100))[0] == 0
    status, out, _ = run("plan", declare(tmp_path, 250))
    assert status == 0
    assert "lending: revision 1 -> 2" in out
    place = "services/lending/rules/lookup/deadline_ms"
    assert f"  ~ {place}: 100 -> 250\n" in out


def test_order_of_rules_is_a_difference(run: Run, tmp_path: Path) -> None:
    """Show a change of order alone: the first match wins."""
    rules = [rule(name="first"), rule(name="second")]
    path = tmp_path / "lending.json"
    path.write_bytes(msgspec.json.encode(team(lending=rules)))
    run("apply", str(tmp_path))
    path.write_bytes(msgspec.json.encode(team(lending=rules[::-1])))
    assert "rules (order)" in run("plan", str(tmp_path))[1]


def test_second_apply_reports_what_is_in_force(
    run: Run, control: FakeControl, tmp_path: Path
) -> None:
    """Send nothing the second time, and still say whether it is in force."""
    folder = declare(tmp_path, 100)
    assert "in force everywhere" in run("apply", folder)[1]
    status, out, _ = run("apply", folder)
    assert (status, len(control.posts)) == (0, 1)
    assert "nothing to change" in out
    assert "in force everywhere" in out
    control.in_force = False
    status, _, err = run("apply", folder, "--wait-s=0")
    assert status == 4
    assert "not yet in force" in err


def test_lost_answer_is_found_again(
    run: Run, control: FakeControl, tmp_path: Path
) -> None:
    """Lost answer is found again.

    The change is accepted and the answer lost, so the operator sees
    "may or may not". Running the same command must find the change in
    force and not apply it a second time.
    """
    folder = declare(tmp_path, 100)
    control.faults = [ANSWER_LOST]
    status, _, err = run("apply", folder, "--wait-s=0")
    assert status == 4
    assert "run the same command again" in err
    status, out, _ = run("apply", folder)
    assert (status, control.tree.revisions) == (0, {"lending": 1})
    assert "in force everywhere" in out


def test_lost_answer_is_resent_under_one_id(
    run: Run, control: FakeControl, tmp_path: Path
) -> None:
    """Lost answer is resent under one id.

    Two answers are lost while time is left. The command resends the
    same change id by itself and gets the first answer, applied once.
    """
    control.faults = [ANSWER_LOST, ANSWER_LOST]
    assert run("apply", declare(tmp_path, 100))[0] == 0
    ids = {body["change_id"] for _, body in control.posts}
    assert (len(control.posts), len(ids)) == (3, 1)
    assert control.tree.revisions == {"lending": 1}


def test_nothing_done_is_told_from_unknown(
    run: Run, control: FakeControl, tmp_path: Path
) -> None:
    """Nothing done is told from unknown.

    A replica without a leader proposes nothing: say "nothing was done"
    (status 3), not "may or may not" (status 4).
    """
    control.faults = [REQUEST_LOST]
    status, _, err = run("apply", declare(tmp_path, 100), "--wait-s=0")
    assert status == 3
    assert "nothing was done" in err


def test_conflict_names_the_winner(
    run: Run, control: FakeControl, tmp_path: Path
) -> None:
    """Conflict names the winner.

    Ana plans from revision 1; bo's change from the same revision gets
    there first. Ana is refused and told that bo won, and what to do.
    """
    folder = declare(tmp_path, 100)
    run("apply", folder)
    stale = control.get_page("/tree")
    mine = control.get_page

    def page_before_bo(path: str) -> Any:
        return stale if path == "/tree" else mine(path)

    run("apply", declare(tmp_path, 200), key="key-2")
    control.get_page = page_before_bo  # type: ignore[method-assign]
    status, _, err = run("apply", declare(tmp_path, 300))
    assert status == 1
    assert "bo changed lending first" in err
    assert "nutmegchute plan" in err
    assert control.tree.revisions == {"lending": 2}


def test_missing_file_removes_nothing(
    run: Run, control: FakeControl, tmp_path: Path
) -> None:
    """Missing file removes nothing.

    A checkout without one team's file must not take its services
    away; only --remove does.
    """
    declare(tmp_path, 100, "lending")
    run("apply", declare(tmp_path, 100, "shelves"))
    (tmp_path / "lending.json").unlink()
    assert (
        "lending: no file here"
        in run("apply", str(tmp_path))[1] + (run("plan", str(tmp_path))[1])
    )
    assert set(control.tree.documents) == {"lending", "shelves"}
    assert run("apply", str(tmp_path), "--remove")[0] == 0
    assert set(control.tree.documents) == {"shelves"}


def test_operators_with_equal_content_make_two_changes(
    run: Run, control: FakeControl, tmp_path: Path
) -> None:
    """Name the operator in the change id, so that each is recorded."""
    folder = declare(tmp_path, 100)
    run("apply", folder)
    stale = Path(folder)
    control.tree = type(control.tree)()
    run("apply", str(stale), key="key-2")
    ids = [body["change_id"] for _, body in control.posts]
    assert ids[0] != ids[1]


def test_wrong_key_says_what_to_set(run: Run, tmp_path: Path) -> None:
    """Name the variable that holds the key."""
    status, _, err = run("apply", declare(tmp_path, 100), key="wrong")
    assert status == 1
    assert "no operator has this key" in err
    assert "NUTMEGCHUTE_KEY" in err


def test_unreachable_control(run: Run, tmp_path: Path) -> None:
    """Give status 3 and the addresses that were tried."""
    status, _, err = run("status", "--control=127.0.0.1:9")
    assert status == 3
    assert "127.0.0.1:9" in err


@pytest.mark.parametrize(
    "words",
    [
        ("nonsense",),
        (),
        ("upstreams",),
        ("audit", "--limit=many"),
        ("apply", "no-such-folder"),
        ("show", "no-such-team"),
        ("services", "no-such-service"),
        ("status", "--control=:"),
    ],
)
def test_wrong_use_has_its_status(run: Run, words: tuple[str, ...]) -> None:
    """End with status 2 and a line on standard error, never a trace."""
    status, out, err = run(*words)
    assert status == 2
    assert out == ""
    assert err.strip()


@pytest.mark.parametrize(
    "words",
    [
        ("status",),
        ("entries",),
        ("services",),
        ("show",),
        ("show", "lending"),
        ("audit",),
        ("audit", "lending"),
        ("replicas",),
        ("plan",),
    ],
)
def test_listings_speak_json(
    run: Run, control: FakeControl, tmp_path: Path, words: tuple[str, ...]
) -> None:
    """Print one JSON document and nothing else with --json."""
    folder = declare(tmp_path, 100)
    run("apply", folder)
    control.entries = {"entry-1": 1}
    control.replicas = [{"name": "control-1", "kind": "voter"}]
    more = (folder,) if words == ("plan",) else ()
    status, out, _ = run(*words, *more, "--json")
    assert status == 0
    assert msgspec.json.decode(out)
    status, out, _ = run(*words, *more)
    assert status == 0
    assert out.strip()


def test_audit_is_filtered_and_limited(run: Run, tmp_path: Path) -> None:
    """List one team's records, the newest of them."""
    for deadline_ms in (100, 200, 300):
        run("apply", declare(tmp_path, deadline_ms))
    out = run("audit", "lending", "--limit=1", "--json")[1]
    records = msgspec.json.decode(out)
    assert [one["to_revisions"] for one in records] == [{"lending": 3}]
    assert msgspec.json.decode(run("audit", "other", "--json")[1]) == []


def test_status_without_leader(run: Run, control: FakeControl) -> None:
    """Tell by the exit status that nobody leads."""
    control.state = "follower"
    assert run("status")[0] == 4


def test_replicas_that_wait_are_listed(run: Run, control: FakeControl) -> None:
    """Show a newcomer, so that the operator can take it in."""
    control.replicas = [{"name": "control-1", "kind": "voter"}]
    control.waiting = [{"name": "control-4"}]
    rows = msgspec.json.decode(run("replicas", "--json")[1])
    assert [(row["name"], row["kind"]) for row in rows] == [
        ("control-1", "voter"),
        ("control-4", "waiting"),
    ]


def test_quarantine_is_lifted(run: Run, control: FakeControl) -> None:
    """List a request that crashes endpoints, and forget it once."""
    case = {
        "service": "desk",
        "fingerprint": "f1",
        "state": "quarantined",
        "left_s": 3600.0,
        "processes": ["i-1#0"],
    }
    control.quarantine = [case]
    assert msgspec.json.decode(run("quarantine", "--json")[1]) == [case]
    assert "f1" in run("quarantine")[1]
    assert run("quarantine", "lift", "desk", "f1")[0] == 0
    assert control.quarantine == []
    assert run("quarantine", "lift", "desk", "f1")[0] == 1


def test_zone_is_evacuated_and_taken_back(
    run: Run, control: FakeControl
) -> None:
    """Order an evacuation twice, list it, and take the zone back."""
    assert run("evacuations", "begin", "hall-a")[0] == 0
    assert run("evacuations", "begin", "hall-a")[0] == 0
    (row,) = msgspec.json.decode(run("evacuations", "list", "--json")[1])
    assert row["availability_zone"] == "hall-a"
    assert row["operator"] == "ana"
    assert "hall-a" in run("evacuations")[1]
    assert run("evacuations", "finish", "hall-a")[0] == 0
    assert msgspec.json.decode(run("evacuations", "--json")[1]) == []


def test_ill_formed_zone_is_wrong_use(run: Run, control: FakeControl) -> None:
    """Guard against an order that is taken though no zone can have it."""
    status, _, errors = run("evacuations", "begin", "Hall A")
    assert status == 1
    assert "availability zone" in errors
    assert msgspec.json.decode(run("evacuations", "--json")[1]) == []


def test_replicas_are_replaced(run: Run, control: FakeControl) -> None:
    """Send the lost name, the new name and its addresses."""
    words = ("replace", "control-1", "control-4")
    status, _, _ = run("replicas", *words, "10.0.0.4:1", "10.0.0.4:2")
    assert status == 0
    path, body = control.posts[-1]
    assert path == "/replicas"
    assert body["replaces"] == "control-1"
    assert body["name"] == "control-4"
