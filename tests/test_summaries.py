"""Test that a summary shows when requests failed, and why."""

import json
from pathlib import Path
from typing import Any

import pytest
from nutmegchute_cli.__main__ import main


def build_line(number: str, second: float, **fields: Any) -> str:
    """Build a log line of a router."""
    entry = {
        "number": number,
        "daemon": "router-1",
        "timestamp": f"2026-01-01T00:00:{second:06.3f}Z",
        **fields,
    }
    return json.dumps(entry)


def build_call(second: float, outcome: str, **fields: Any) -> str:
    """Build the log line of a call."""
    values = {
        "request": "q1",
        "outcome": outcome,
        "reason": "",
        "ms": 100.0,
        "sends": [],
        **fields,
    }
    return build_line("NC3016", second, **values)


def summarize_log(
    path: Path, capsys: pytest.CaptureFixture[str], *more: str
) -> list[dict[str, Any]]:
    """Return the rows of the summary of a log."""
    assert main(["summarize", str(path), "--json", *more]) == 0
    found: list[dict[str, Any]] = json.loads(capsys.readouterr().out)
    return found


def test_rows_show_refusals_and_slow_endpoints(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Show refused calls per time window, and the slowest endpoints.

    A router restarts and at first refuses calls, as it has no configuration.
    Later one endpoint takes five times as long as another.
    """
    path = tmp_path / "router.log"
    fast = [{"to": "a:1", "at_ms": 2.0, "ms": 60.0}]
    slow = [{"to": "b:1", "at_ms": 90.0, "ms": 300.0}]
    path.write_text(
        "\n".join(
            [
                build_line("NC1001", 1.0, role="router"),
                build_call(1.5, "refuse", reason="no configuration yet"),
                "not a line of ours",
                build_call(3.5, "finish", sends=fast),
                build_call(4.0, "finish", sends=slow),
            ]
        )
    )
    first, second = summarize_log(path, capsys)
    assert first["refused"] == 1
    assert first["reasons"] == "no configuration yet 1"
    assert first["daemons"] == "started 1"
    assert (second["from_s"], second["answered"]) == (2.0, 2)
    assert second["waited"] == 1
    assert second["slowest"] == "b:1 300 ms, a:1 60 ms"
    assert len(summarize_log(path, capsys, "--window-s=10")) == 1


def test_summary_is_printed_as_a_table(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Print a heading and a row for each time window."""
    path = tmp_path / "router.log"
    path.write_text(build_call(1.0, "lose", reason="no upstream answered"))
    assert main(["summarize", str(path)]) == 0
    heading, row = capsys.readouterr().out.splitlines()
    assert heading.split()[:2] == ["FROM_S", "CALLS"]
    assert "no upstream answered 1" in row


@pytest.mark.parametrize("more", [[], ["--window-s=0"]])
def test_log_without_daemon_lines_is_a_usage_error(
    tmp_path: Path, more: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    """Exit with status 2 and one line of error."""
    path = tmp_path / "empty.log"
    path.write_text("nothing\n")
    assert main(["summarize", str(path), *more]) == 2
    assert len(capsys.readouterr().err.splitlines()) == 1
