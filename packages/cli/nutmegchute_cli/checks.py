"""Check settings and declarations without starting anything."""

from pathlib import Path
from typing import Any

import msgspec
from nutmegchute_core.declarations import check_team
from nutmegchute_core.declarations import check_tree
from nutmegchute_core.errors import DeclarationError
from nutmegchute_daemon.settings import read_settings
from nutmegchute_daemon.settings import Settings
from returns.result import Failure

from .errors import EXIT_DONE
from .errors import EXIT_USAGE
from .errors import UsageError
from .options import Options
from .tables import print_rows

OK = "ok"
WARNING = "warning"
WRONG = "wrong"


class Findings:
    """Collect the findings about each file."""

    __slots__ = ("_rows",)

    def __init__(self) -> None:
        self._rows: list[dict[str, Any]] = []

    @property
    def rows(self) -> list[dict[str, Any]]:
        """Return the findings in order, each a row of the output."""
        return self._rows

    @property
    def has_errors(self) -> bool:
        """Return whether any file has an error."""
        return any(row["verdict"] == WRONG for row in self._rows)

    def add(self, path: object, verdict: str, detail: str | None) -> None:
        """Add one finding."""
        self._rows.append(
            {"file": str(path), "verdict": verdict, "detail": detail}
        )


def check(options: Options) -> int:
    """Check files and folders; a document with a role holds settings."""
    findings = Findings()
    daemons: dict[Path, Settings] = {}
    for argument in options.texts("PATH"):
        documents: dict[str, Any] = {}
        for path in _list_files(Path(argument)):
            _check_file(path, findings, daemons, documents)
        _check_branches(argument, documents, findings)
    _check_deployment(daemons, findings)
    print_rows(findings.rows, ["verdict", "file", "detail"], options.json)
    return EXIT_USAGE if findings.has_errors else EXIT_DONE


def _list_files(path: Path) -> list[Path]:
    if not path.is_dir():
        return [path]
    found = sorted(path.glob("*.json"))
    if not found:
        raise UsageError(f"{path}: no JSON files (*.json) here")
    return found


def _check_file(
    path: Path,
    findings: Findings,
    daemons: dict[Path, Settings],
    documents: dict[str, Any],
) -> None:
    try:
        document = msgspec.json.decode(path.read_bytes())
    except OSError as error:
        findings.add(path, WRONG, error.strerror)
        return
    except msgspec.DecodeError as error:
        findings.add(path, WRONG, f"not JSON: {error}")
        return
    if isinstance(document, dict) and "role" in document:
        _check_settings(path, findings, daemons)
        return
    try:
        check_team(path.stem, document)
    except DeclarationError as error:
        findings.add(path, WRONG, str(error))
        return
    documents[path.stem] = document
    findings.add(path, OK, f"declarations of team {path.stem}")


def _check_settings(
    path: Path, findings: Findings, daemons: dict[Path, Settings]
) -> None:
    result = read_settings(path)
    if isinstance(result, Failure):
        line = str(result.failure()).removeprefix(f"{path}: ")
        findings.add(path, WRONG, line)
        return
    settings = result.unwrap()
    daemons[path] = settings
    findings.add(path, OK, f"settings of {settings.role} {settings.name}")
    for warning in settings.warnings():
        findings.add(path, WARNING, warning)


def _check_branches(
    argument: str, documents: dict[str, Any], findings: Findings
) -> None:
    try:
        check_tree(documents)
    except DeclarationError as error:
        findings.add(argument, WRONG, str(error))


def _check_deployment(
    daemons: dict[Path, Settings], findings: Findings
) -> None:
    """Find conflicts between the settings of several daemons."""
    owners: dict[str, Path] = {}
    control: dict[str, list[str]] = {}
    for path, settings in daemons.items():
        for identifier in (
            f"name {settings.name}",
            f"address {settings.http_address}",
            f"address {settings.grpc_address}",
        ):
            first = owners.setdefault(identifier, path)
            if first != path:
                findings.add(
                    path, WRONG, f"{identifier}: also used in {first}"
                )
        peers = sorted(
            f"{peer.name} {peer.grpc_address}" for peer in settings.control
        )
        control[str(path)] = peers
    first_path = next(iter(control), "")
    for other, peers in control.items():
        # Replicas with different member lists count different majorities:
        # they could elect two leaders, which could both accept a change.
        if peers != control[first_path]:
            findings.add(other, WRONG, f"control: differs from {first_path}")
