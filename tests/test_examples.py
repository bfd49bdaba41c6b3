"""Test the examples by ``nutmegchute check`` and their workloads."""

from pathlib import Path

import msgspec
import pytest
from nutmegchute_cli.__main__ import main
from nutmegchute_core.rules import read_services

EXAMPLES = Path(__file__).parent.parent / "examples"
ZONES = {
    "red-andina": {"miraflores", "san-isidro", "surco"},
    "stillekilde": {"hall-a", "hall-b", "hall-c"},
}

# Service, method, path, expected rule, idempotent, priority.
WORKLOADS = {
    "red-andina": [
        ("catalogo", "GET", "/shelves/9", "shelf-lookup", True, "interactive"),
        ("prestamos", "POST", "/loans", "loan", False, "action"),
        ("prestamos", "POST", "/returns", "return", False, "action"),
        ("catalogo", "PUT", "/sync/3", "nightly-sync", True, "background"),
    ],
    "stillekilde": [
        ("catalog", "GET", "/sessions", "browse", True, "interactive"),
        ("player", "GET", "/recordings/2", "fetch", True, "interactive"),
        ("catalog", "POST", "/purchases", "purchase", False, "action"),
        ("player", "PUT", "/progress/5", "save-progress", True, "action"),
    ],
}


@pytest.mark.parametrize("name", sorted(ZONES))
@pytest.mark.parametrize("part", ["declarations", "settings"])
def test_check_passes(
    name: str, part: str, capsys: pytest.CaptureFixture[str]
) -> None:
    """The check reports no error and no warning."""
    assert main(["check", str(EXAMPLES / name / part)]) == 0
    out = capsys.readouterr().out
    assert "ok" in out
    assert "warning" not in out


@pytest.mark.parametrize("name", sorted(ZONES))
def test_each_kind_of_request_has_its_rule(name: str) -> None:
    """Each request of the workloads matches the rule meant for it."""
    documents = {}
    for path in (EXAMPLES / name / "declarations").glob("*.json"):
        documents[path.stem] = msgspec.json.decode(path.read_bytes())
    services = read_services(documents)
    for service, method, path_, expected_rule, idempotent, kind in WORKLOADS[
        name
    ]:
        rule = services[service].rule_for(method, path_)
        assert rule is not None
        assert rule.name == expected_rule
        assert rule.idempotent == idempotent
        assert rule.priority == kind


@pytest.mark.parametrize("name", sorted(ZONES))
def test_every_zone_has_both_roles(name: str) -> None:
    """Each availability zone has a control replica and an entry."""
    for role in ("control", "entry"):
        found = set()
        for path in (EXAMPLES / name / "settings").glob(f"{role}-*.json"):
            settings = msgspec.json.decode(path.read_bytes())
            assert settings["role"] == role
            found.add(settings["availability_zone"])
        assert found == ZONES[name]


def test_check_finds_contradictory_settings(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """The check fails if settings files list different control replicas.

    Each file is valid by itself, but with different lists of replicas two
    majorities could form.
    """
    folder = EXAMPLES / "red-andina" / "settings"
    for zone in ("surco", "miraflores"):
        document = msgspec.json.decode(
            (folder / f"entry-{zone}.json").read_bytes()
        )
        if zone == "surco":
            document["control"] = document["control"][:2]
            document["http_address"] = "10.1.1.20:8101"
        path = tmp_path / f"entry-{zone}.json"
        path.write_bytes(msgspec.json.encode(document))
    assert main(["check", str(tmp_path), "--json"]) == 2
    rows = msgspec.json.decode(capsys.readouterr().out)
    details = [row["detail"] for row in rows if row["verdict"] == "wrong"]
    assert any(detail.startswith("control: differs") for detail in details)
    assert any("10.1.1.20:8101" in detail for detail in details)


def test_check_finds_an_invalid_declaration(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """The check names file, path and allowed value, with status 2."""
    (tmp_path / "lending.json").write_text('{"services": {"a": {"slots": 0}}}')
    (tmp_path / "torn.json").write_text('{"services": ')
    assert main(["check", str(tmp_path)]) == 2
    out = capsys.readouterr().out
    assert "lending/services/a/slots: 0 is less than the minimum" in out
    assert "not JSON" in out


def test_check_includes_routes(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """The check names a service that a route uses and none declares."""
    route = (
        '{"host": "a.example", "path_prefix": "/", "idempotent": true,'
        ' "timeout_ms": 900, "service": "%s"}'
    )
    path = tmp_path / "lending.json"
    text = '{"services": {"desk": {}}, "routes": {"all": %s}}'
    path.write_text(text % (route % "desk"))
    assert main(["check", str(tmp_path)]) == 0
    path.write_text(text % (route % "shelf"))
    assert main(["check", str(tmp_path)]) == 2
    assert "service 'shelf' is not declared" in capsys.readouterr().out
