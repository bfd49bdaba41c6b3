"""Test the output and the exit status of each command."""

from collections.abc import Callable
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest
from nutmegchute_cli.__main__ import main
from nutmegchute_core.organisations import mask_key
from nutmegchute_fakes.controls import ANSWER_LOST
from nutmegchute_fakes.controls import FakeControl
from nutmegchute_fakes.controls import REQUEST_LOST
from support import rule
from support import team

Run = Callable[..., tuple[int, str, str]]


@pytest.fixture
def control() -> Iterator[FakeControl]:
    """Run a fake control replica with two operators."""
    fake = FakeControl({"key-1": "ana", "key-2": "bo"})
    yield fake
    fake.stop()


@pytest.fixture
def run(
    control: FakeControl,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> Run:
    """Return a function that runs a command as operator ana.

    The function returns the exit status, the output and the errors.
    """
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
    """Show the old and the new value of the only difference."""
    assert run("apply", declare(tmp_path, 100))[0] == 0
    status, out, _ = run("plan", declare(tmp_path, 250))
    assert status == 0
    assert "lending: revision 1 -> 2" in out
    place = "services/lending/rules/lookup/deadline_ms"
    assert f"  ~ {place}: 100 -> 250\n" in out


def test_order_of_rules_is_a_difference(run: Run, tmp_path: Path) -> None:
    """Show a mere change of order, as the first matching rule applies."""
    rules = [rule(name="first"), rule(name="second")]
    path = tmp_path / "lending.json"
    path.write_bytes(msgspec.json.encode(team(lending=rules)))
    run("apply", str(tmp_path))
    path.write_bytes(msgspec.json.encode(team(lending=rules[::-1])))
    assert "rules (order)" in run("plan", str(tmp_path))[1]


def test_second_apply_reports_whether_in_force(
    run: Run, control: FakeControl, tmp_path: Path
) -> None:
    """Send nothing the second time, but report whether all is in force."""
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


def test_apply_again_after_lost_answer(
    run: Run, control: FakeControl, tmp_path: Path
) -> None:
    """Find an accepted change whose answer was lost, and not apply it twice.

    The change is accepted and the answer lost, so the first command exits
    with status 4.
    """
    folder = declare(tmp_path, 100)
    control.faults = [ANSWER_LOST]
    status, _, err = run("apply", folder, "--wait-s=0")
    assert status == 4
    assert "run the same command again" in err
    status, out, _ = run("apply", folder)
    assert (status, control.tree.revisions) == (0, {"lending": 1})
    assert "in force everywhere" in out


def test_resends_have_one_change_id(
    run: Run, control: FakeControl, tmp_path: Path
) -> None:
    """Resend a change with the same id, so that it is applied once.

    Two answers are lost before the deadline of the command.
    """
    control.faults = [ANSWER_LOST, ANSWER_LOST]
    assert run("apply", declare(tmp_path, 100))[0] == 0
    ids = {body["change_id"] for _, body in control.posts}
    assert (len(control.posts), len(ids)) == (3, 1)
    assert control.tree.revisions == {"lending": 1}


def test_nothing_done_differs_from_unknown(
    run: Run, control: FakeControl, tmp_path: Path
) -> None:
    """Exit with status 3, not 4, when nothing was proposed.

    A replica without a leader proposes no change.
    """
    control.faults = [REQUEST_LOST]
    status, _, err = run("apply", declare(tmp_path, 100), "--wait-s=0")
    assert status == 3
    assert "nothing was done" in err


def test_conflict_names_the_winner(
    run: Run, control: FakeControl, tmp_path: Path
) -> None:
    """Report who made the conflicting change, and what to do.

    Ana's change is based on revision 1; bo's change of the same revision is
    accepted first.
    """
    folder = declare(tmp_path, 100)
    run("apply", folder)
    stale = control.get_page("/tree")
    original_page = control.get_page

    def page_before_bo(path: str) -> Any:
        return stale if path == "/tree" else original_page(path)

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
    """Keep a branch without a file unless --remove is given.

    An incomplete checkout would otherwise remove a team's services.
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
    """Derive the change id from the operator, too, to record both."""
    folder = declare(tmp_path, 100)
    run("apply", folder)
    path = Path(folder)
    control.tree = type(control.tree)()
    run("apply", str(path), key="key-2")
    ids = [body["change_id"] for _, body in control.posts]
    assert ids[0] != ids[1]


def test_wrong_key_says_what_to_set(run: Run, tmp_path: Path) -> None:
    """Name the variable to set in the error message."""
    status, _, err = run("apply", declare(tmp_path, 100), key="wrong")
    assert status == 1
    assert "no operator has this key" in err
    assert "NUTMEGCHUTE_KEY" in err


def test_unreachable_control(run: Run, tmp_path: Path) -> None:
    """Exit with status 3 and print the addresses that were tried."""
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
def test_invalid_usage_has_its_status(
    run: Run, words: tuple[str, ...]
) -> None:
    """Exit with status 2 and an error message, without a traceback."""
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
def test_listings_print_json(
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
    """List the newest records of one team."""
    for deadline_ms in (100, 200, 300):
        run("apply", declare(tmp_path, deadline_ms))
    out = run("audit", "lending", "--limit=1", "--json")[1]
    records = msgspec.json.decode(out)
    assert [one["to_revisions"] for one in records] == [{"lending": 3}]
    assert msgspec.json.decode(run("audit", "other", "--json")[1]) == []


def test_status_without_leader(run: Run, control: FakeControl) -> None:
    """Exit with status 4 when there is no leader."""
    control.state = "follower"
    assert run("status")[0] == 4


def test_waiting_replicas_are_listed(run: Run, control: FakeControl) -> None:
    """List a replica that waits for an operator to add it."""
    control.replicas = [{"name": "control-1", "kind": "voter"}]
    control.waiting = [{"name": "control-4"}]
    rows = msgspec.json.decode(run("replicas", "--json")[1])
    assert [(row["name"], row["kind"]) for row in rows] == [
        ("control-1", "voter"),
        ("control-4", "waiting"),
    ]


def test_quarantine_is_lifted(run: Run, control: FakeControl) -> None:
    """List a quarantined request and lift its quarantine once."""
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


def test_evacuation_is_begun_and_finished(
    run: Run, control: FakeControl
) -> None:
    """Begin an evacuation twice, list it and finish it."""
    assert run("evacuations", "begin", "hall-a")[0] == 0
    assert run("evacuations", "begin", "hall-a")[0] == 0
    (row,) = msgspec.json.decode(run("evacuations", "list", "--json")[1])
    assert row["availability_zone"] == "hall-a"
    assert row["operator"] == "ana"
    assert "hall-a" in run("evacuations")[1]
    assert run("evacuations", "finish", "hall-a")[0] == 0
    assert msgspec.json.decode(run("evacuations", "--json")[1]) == []


def test_invalid_zone_is_refused(run: Run, control: FakeControl) -> None:
    """Refuse an evacuation of a name that no availability zone can have."""
    status, _, errors = run("evacuations", "begin", "Hall A")
    assert status == 1
    assert "availability zone" in errors
    assert msgspec.json.decode(run("evacuations", "--json")[1]) == []


def test_replicas_are_replaced(run: Run, control: FakeControl) -> None:
    """Send the name of the lost replica, and the new name and addresses."""
    words = ("replace", "control-1", "control-4")
    status, _, _ = run("replicas", *words, "10.0.0.4:1", "10.0.0.4:2")
    assert status == 0
    path, body = control.posts[-1]
    assert path == "/replicas"
    assert body["replaces"] == "control-1"
    assert body["name"] == "control-4"


def declare_keys(folder: Path, *keys: str) -> str:
    """Write one team's file with an organisation that has keys."""
    document = team(lending=[rule()])
    document["organisations"] = {"cusco": {"keys": list(keys)}}
    (folder / "lending.json").write_bytes(msgspec.json.encode(document))
    return str(folder)


def test_no_output_shows_a_key(
    run: Run, control: FakeControl, tmp_path: Path
) -> None:
    """Show which key of an organisation changes, and no key itself.

    Plans are pasted into reviews and kept by build systems.
    """
    keys = ["first-secret-key", "second-secret-key"]
    outputs = [run("plan", declare_keys(tmp_path, *keys[:1]))]
    outputs.append(run("apply", declare_keys(tmp_path, *keys[:1])))
    added = run("plan", declare_keys(tmp_path, *keys))
    assert mask_key(keys[0]) in added[1]
    assert mask_key(keys[1]) in added[1]
    outputs.append(added)
    outputs.append(run("plan", declare_keys(tmp_path, *keys), "--json"))
    outputs.append(run("apply", declare_keys(tmp_path, *keys)))
    outputs.append(run("plan", declare_keys(tmp_path, keys[1])))
    outputs.append(run("check", declare_keys(tmp_path, *keys)))
    outputs.append(run("check", declare_keys(tmp_path, f"{keys[0]} ")))
    outputs.append(run("plan", declare_keys(tmp_path, f"{keys[0]} ")))
    outputs.append(run("show"))
    outputs.append(run("show", "lending"))
    outputs.append(run("services"))
    outputs.append(run("audit", "--json"))
    (tmp_path / "lending.json").unlink()
    declare(tmp_path, 100, "other")
    outputs.append(run("plan", str(tmp_path), "--remove"))
    for status, out, err in outputs:
        assert status in (0, 2)
        for key in keys:
            assert key not in out + err
    document = control.tree.documents["lending"]
    assert document["organisations"]["cusco"]["keys"] == keys


def test_plan_without_an_operators_key_compares_masked_keys(
    run: Run, control: FakeControl, tmp_path: Path
) -> None:
    """Find a changed key where control masks the keys, and no other."""
    run("apply", declare_keys(tmp_path, "first", "second"))
    control.masks_keys = True
    out = run("plan", declare_keys(tmp_path, "first", "second"), key="")[1]
    assert "nothing to change" in out
    out = run("plan", declare_keys(tmp_path, "first", "third"), key="")[1]
    assert "~ organisations/cusco/keys" in out
    assert mask_key("third") in out
    shown = run("show", "lending", key="")[1]
    assert mask_key("second") in shown
