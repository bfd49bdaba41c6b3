"""Hold the pages to the programs that they describe."""

import re
import shlex
from pathlib import Path
from typing import Any

import nutmegchute_cli.__main__ as cli
import pytest
from docopt import docopt
from docopt import DocoptExit
from nutmegchute_core.declarations import LIMITS_SCHEMA
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


def test_every_command_is_understood() -> None:
    """Parse each command of the pages by the command line's own usage.

    The last listing of a page may be old; an operator who copies a command
    that no longer exists loses time when there is least of it.
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
        assert _understood(command), f"{name}: {command}"


def test_the_check_itself_can_fail() -> None:
    """Refuse a command, a flag or a word that is not there."""
    assert not _understood("nutmegchute frobnicate")
    assert not _understood("nutmegchute plan declarations --later")
    assert not _understood("nutmegchute replicas replace control-1")


def test_every_make_target_exists() -> None:
    """Find each target that the pages name in the Makefile."""
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
    """Link each page, so that a newcomer can find it."""
    index = (DOCS / "index.rst").read_text()
    for path in PAGES:
        if not path.is_relative_to(DOCS) or path.name == "index.rst":
            continue
        assert f"``{path.relative_to(DOCS)}``" in index, path.name


def test_every_page_named_is_there() -> None:
    """Lead a reader to no page that does not exist."""
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
        ("Limits", LIMITS_SCHEMA),
    ],
)
def test_declarations_page_and_schema_agree(
    title: str, schema: dict[str, Any]
) -> None:
    """Describe each key of a declaration, and none besides."""
    text = (DOCS / "declarations.rst").read_text()
    section = text.split(f"\n{title}\n---")[1].split("\n---")[0]
    found = re.findall(r"^``(\w+)`` \((.+)\)$", section, re.MULTILINE)
    assert sorted(name for name, _ in found) == sorted(schema["properties"])
    required = [name for name, kind in found if kind == "required"]
    assert sorted(required) == sorted(schema.get("required", []))


def _understood(command: str) -> bool:
    words = shlex.split(command)[1:]
    try:
        docopt(cli.__doc__, words, default_help=False)
    except DocoptExit:
        return False
    return True
