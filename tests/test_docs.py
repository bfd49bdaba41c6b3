"""Test that the documentation agrees with the programs."""

import re
import shlex
from pathlib import Path
from typing import Any

import nutmegchute_cli.__main__ as cli
import pytest
from docopt import docopt
from docopt import DocoptExit
from nutmegchute_core.declarations import LIMITS_SCHEMA
from nutmegchute_core.declarations import ORGANISATION_SCHEMA
from nutmegchute_core.declarations import ROUTE_SCHEMA
from nutmegchute_core.declarations import RULE_SCHEMA
from nutmegchute_core.declarations import SERVICE_SCHEMA

ROOT = Path(__file__).parent.parent
DOCS = ROOT / "docs"
PAGES = sorted(
    [*DOCS.rglob("*.rst"), *DOCS.rglob("*.md"), ROOT / "README.md"]
    + [ROOT / "examples" / "README.rst"]
)
COMMAND = re.compile(
    r"^ {2,}(?:\$ )?(nutmegchute [^.].*?)(?:  #.*)?$", re.MULTILINE
)
INLINE = re.compile(r"``(nutmegchute [a-z][^`]*)``")
TARGET = re.compile(r"(?:^ {2,}|`)make ([a-z.][\w/.-]*)", re.MULTILINE)


def test_every_command_parses() -> None:
    """The command line's usage accepts each command in the documentation.

    An operator who copies an outdated command loses time in an incident.
    """
    commands = []
    for path in PAGES:
        text = path.read_text()
        for command in COMMAND.findall(text):
            commands.append((path.name, command))
        for mention in INLINE.findall(text):
            assert mention.split()[1] in cli.COMMANDS, path.name
    assert len(commands) > 30
    for name, command in commands:
        assert _parses(command), f"{name}: {command}"


def test_check_detects_invalid_commands() -> None:
    """An unknown command, an unknown flag or a missing argument fails."""
    assert not _parses("nutmegchute frobnicate")
    assert not _parses("nutmegchute plan declarations --later")
    assert not _parses("nutmegchute replicas replace control-1")


def test_every_make_target_exists() -> None:
    """The Makefile has each target that the documentation names."""
    makefile = (ROOT / "Makefile").read_text()
    for path in PAGES:
        for target in TARGET.findall(path.read_text()):
            if target.startswith("bench-"):
                name = target.removeprefix("bench-").strip("-.")
                bench = ROOT / "benchmarks" / f"{name}.py"
                assert not name or bench.exists(), f"{path.name}: {target}"
                continue
            if target == ".venv/ready":
                continue
            known = rf"^{re.escape(target.rstrip('.'))}:"
            assert re.search(known, makefile, re.MULTILINE), (
                f"{path.name}: make {target}"
            )


def test_every_page_is_in_the_index() -> None:
    """The index lists each page, so that readers can find it."""
    index = (DOCS / "index.rst").read_text()
    for path in PAGES:
        if not path.is_relative_to(DOCS) or path.name == "index.rst":
            continue
        assert f"``{path.relative_to(DOCS)}``" in index, path.name


def test_every_referenced_page_exists() -> None:
    """Each page that the documentation refers to exists."""
    for path in PAGES:
        for name in re.findall(r"`([\w/]+\.(?:rst|md))`", path.read_text()):
            places = [DOCS / name, path.parent / name, ROOT / name]
            assert any(one.exists() for one in places), f"{path.name}: {name}"


@pytest.mark.parametrize(
    ("title", "schema"),
    [
        ("A service", SERVICE_SCHEMA),
        ("A rule", RULE_SCHEMA),
        ("A route", ROUTE_SCHEMA),
        ("An organisation", ORGANISATION_SCHEMA),
        ("Limits", LIMITS_SCHEMA),
    ],
)
def test_declarations_page_and_schema_agree(
    title: str, schema: dict[str, Any]
) -> None:
    """The page describes exactly the keys of each declaration."""
    text = (DOCS / "declarations.rst").read_text()
    section = text.split(f"\n{title}\n---")[1].split("\n---")[0]
    found = re.findall(r"^``(\w+)`` \((.+)\)$", section, re.MULTILINE)
    assert sorted(name for name, _ in found) == sorted(schema["properties"])
    required = [name for name, kind in found if kind == "required"]
    assert sorted(required) == sorted(schema.get("required", []))


def _parses(command: str) -> bool:
    arguments = shlex.split(command)[1:]
    try:
        docopt(cli.__doc__, arguments, default_help=False)
    except DocoptExit:
        return False
    return True
