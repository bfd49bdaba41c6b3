"""Test that logs alone explain how a request was handled."""

import json
from pathlib import Path
from typing import Any

import pytest
from nutmegchute_cli.__main__ import main


def build_line(number: str, daemon: str, second: int, **fields: Any) -> str:
    """Build a log line with the prefix of a log collector."""
    entry = {
        "number": number,
        "daemon": daemon,
        "timestamp": f"2026-01-01T00:00:{second:02d}Z",
        **fields,
    }
    return f"{daemon} | {json.dumps(entry)}"


def build_call(request: str, **fields: Any) -> dict[str, Any]:
    """Build the fields of the log line of a call."""
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


def test_lost_request_is_explained(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Explain a request whose answer was lost.

    The router sent it once to an endpoint that had started to drain before.
    No answer arrived, so the request may have run.
    """
    router = tmp_path / "router.log"
    router.write_text(
        "\n".join(
            [
                build_line("NC3001", "router-1", 1, index=6),
                build_line("NC3001", "router-1", 2, index=7),
                build_line("NC3014", "router-1", 3, version=3, endpoints=9),
                build_line("NC3016", "router-1", 6, **build_call("q1")),
                build_line("NC3016", "router-1", 7, **build_call("q2")),
                "Traceback (most recent call last):",
                build_line("NC3014", "router-1", 8, version=4, endpoints=8),
            ]
        )
    )
    control = tmp_path / "control.log"
    control.write_text(
        build_line("NC2013", "control-1", 4, instance="i-1", state="draining")
        + "\n"
        + build_line("NC2014", "control-1", 9, instance="i-1")
    )
    assert main(["explain", "q1", str(router), str(control)]) == 0
    output = capsys.readouterr().out.splitlines()
    assert (
        "it may have run" in output[0] and "no upstream answered" in output[0]
    )
    assert "index=7" in output[1]
    assert "version=3" in output[2]
    assert "10.0.0.1:80" in output[3]
    assert "state=draining" in output[4]
    assert len(output) == 5


def test_quarantined_request_is_explained(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Show for a refused request the crash and the quarantine behind it."""
    router = tmp_path / "router.log"
    refused = build_call(
        "q1", outcome="refuse", reason="crashes", sends=[], fingerprint="f1"
    )
    router.write_text(build_line("NC3016", "router-2", 6, **refused))
    control = tmp_path / "control.log"
    control.write_text(
        "\n".join(
            [
                build_line(
                    "NC3021", "router-1", 3, fingerprint="f1", instance="i"
                ),
                build_line(
                    "NC3021", "router-1", 4, fingerprint="f2", instance="j"
                ),
                build_line("NC2021", "control-1", 5, fingerprint="f1"),
            ]
        )
    )
    assert main(["explain", "q1", str(router), str(control)]) == 0
    output = capsys.readouterr().out.splitlines()
    crash_lines = [one for one in output if "the same request" in one]
    assert len(crash_lines) == 2
    assert "NC3021" in crash_lines[0]
    assert "NC2021" in crash_lines[1]


def test_refusal_for_rests_is_explained(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Show for a refused request which endpoints asked its router for rest."""
    router = tmp_path / "router.log"
    refused = build_call("q1", outcome="refuse", reason="rests", sends=[])
    rest = {"endpoint": "10.0.0.1:80", "instance": "i-1", "source": "answer"}
    router.write_text(
        "\n".join(
            [
                build_line("NC3027", "router-2", 3, rest_s=2.0, **rest),
                build_line("NC3027", "router-1", 4, rest_s=1.0, **rest),
                build_line("NC3027", "router-2", 5, rest_s=3.0, **rest),
                build_line("NC3016", "router-2", 6, **refused),
            ]
        )
    )
    assert main(["explain", "q1", str(router)]) == 0
    output = capsys.readouterr().out.splitlines()
    asked = [one for one in output if "asked by an endpoint" in one]
    assert len(asked) == 1
    assert "rest_s=3.0" in asked[0]


def test_call_beyond_the_quota_is_explained(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guard against a 429 whose cause an operator has to guess."""
    router = tmp_path / "router.log"
    call = build_call(
        "q1",
        outcome="throttle",
        status=429,
        sends=[],
        organisation="cusco",
        quota={"rate_per_s": 4.0, "replica": "10.0.0.9:7", "age_ms": 12.5},
    )
    router.write_text(build_line("NC3016", "router-1", 6, **call))
    assert main(["explain", "q1", str(router)]) == 0
    output = capsys.readouterr().out
    assert "beyond its organisation's quota" in output
    assert "organisation cusco" in output
    assert "rate_per_s=4.0 replica=10.0.0.9:7 age_ms=12.5" in output


def test_call_passed_to_a_helper_is_explained(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guard against a call whose hop nobody can tell the reason of."""
    send = {"to": "10.0.0.2:81", "helper": "router-2", "outcome": "answered"}
    call = build_call("q1", outcome="finish", sends=[send])
    log = tmp_path / "router.log"
    log.write_text(
        "\n".join(
            [
                build_line("NC3032", "router-1", 1, failed=["10.0.0.1:80"]),
                build_line("NC3033", "router-2", 2, failed=[]),
                build_line("NC3016", "router-1", 3, **call),
                build_line("NC3033", "router-1", 4, failed=[]),
                build_line("NC3016", "router-1", 5, **build_call("q2")),
            ]
        )
    )
    assert main(["explain", "q1", str(log)]) == 0
    output = capsys.readouterr().out
    assert "links to endpoints" in output and "10.0.0.1:80" in output
    assert "helper=router-2" in output
    assert main(["explain", "q2", str(log)]) == 0
    assert "links to endpoints" not in capsys.readouterr().out


def test_line_of_a_helper_is_told_from_that_of_a_router(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guard against a helper's refusal that is read as the caller's answer."""
    log = tmp_path / "router.log"
    for relayed, line in (
        (False, "; the caller got 503"),
        (True, "; the router that passed it on got 503"),
    ):
        call = build_call("q1", sends=[], told=503, relayed=relayed)
        log.write_text(build_line("NC3016", "router-1", 6, **call))
        assert main(["explain", "q1", str(log)]) == 0
        assert line in capsys.readouterr().out


def test_unknown_request_is_a_usage_error(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Exit with status 2 when no line names the request."""
    path = tmp_path / "router.log"
    path.write_text(build_line("NC3016", "router-1", 6, **build_call("q1")))
    assert main(["explain", "q9", str(path)]) == 2
    assert main(["explain", "q9", str(tmp_path / "none")]) == 2
    assert "q9" in capsys.readouterr().err
