"""Tell a request's story from logs alone."""

import json
from pathlib import Path
from typing import Any

import pytest
from nutmegchute_cli.__main__ import main


def line(number: str, daemon: str, second: int, **fields: Any) -> str:
    """Build a log line, with what a collector puts before it."""
    entry = {
        "number": number,
        "daemon": daemon,
        "timestamp": f"2026-01-01T00:00:{second:02d}Z",
        **fields,
    }
    return f"{daemon} | {json.dumps(entry)}"


def call(request: str, **fields: Any) -> dict[str, Any]:
    """Build the fields of a call's line."""
    return {
        "request": request,
        "route": "loan",
        "service": "desk",
        "outcome": "lose",
        "status": 0,
        "reason": "no upstream answered",
        "ms": 1200.5,
        "sends": [{"to": "10.0.0.1:80", "instance": "i-1", "outcome": "lost"}],
        "index": 7,
        "known": 3,
        **fields,
    }


def test_story_of_a_lost_request(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Tell a lost request from logs alone.

    A member asks why a loan was not confirmed. The router sent it once to
    an endpoint that control had heard draining a second before; its answer
    never came, and the router may not say that it did not run.
    """
    router = tmp_path / "router.log"
    router.write_text(
        "\n".join(
            [
                line("NC3001", "router-1", 1, index=6),
                line("NC3001", "router-1", 2, index=7),
                line("NC3014", "router-1", 3, version=3, endpoints=9),
                line("NC3016", "router-1", 6, **call("q1")),
                line("NC3016", "router-1", 7, **call("q2")),
                "Traceback (most recent call last):",
                line("NC3014", "router-1", 8, version=4, endpoints=8),
            ]
        )
    )
    control = tmp_path / "control.log"
    control.write_text(
        line("NC2013", "control-1", 4, instance="i-1", state="draining")
        + "\n"
        + line("NC2014", "control-1", 9, instance="i-1")
    )
    assert main(["explain", "q1", str(router), str(control)]) == 0
    told = capsys.readouterr().out.splitlines()
    assert "it may have run" in told[0] and "no upstream answered" in told[0]
    assert "index=7" in told[1]
    assert "version=3" in told[2]
    assert "10.0.0.1:80" in told[3]
    assert "state=draining" in told[4]
    assert len(told) == 5


def test_story_of_a_quarantined_request(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Tell from a refused request which endpoints it ended elsewhere."""
    router = tmp_path / "router.log"
    refused = call(
        "q1", outcome="refuse", reason="crashes", sends=[], fingerprint="f1"
    )
    router.write_text(line("NC3016", "router-2", 6, **refused))
    control = tmp_path / "control.log"
    control.write_text(
        "\n".join(
            [
                line("NC3021", "router-1", 3, fingerprint="f1", instance="i"),
                line("NC3021", "router-1", 4, fingerprint="f2", instance="j"),
                line("NC2021", "control-1", 5, fingerprint="f1"),
            ]
        )
    )
    assert main(["explain", "q1", str(router), str(control)]) == 0
    told = capsys.readouterr().out.splitlines()
    of_crashes = [one for one in told if "the same request" in one]
    assert len(of_crashes) == 2
    assert "NC3021" in of_crashes[0]
    assert "NC2021" in of_crashes[1]


def test_unknown_request(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Say that no line is there, with status 2."""
    path = tmp_path / "router.log"
    path.write_text(line("NC3016", "router-1", 6, **call("q1")))
    assert main(["explain", "q9", str(path)]) == 2
    assert main(["explain", "q9", str(tmp_path / "none")]) == 2
    assert "q9" in capsys.readouterr().err
