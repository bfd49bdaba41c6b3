"""Build what is deployed."""

import os
import shutil
import subprocess
from pathlib import Path

ROOT = Path(__file__).parent.parent
SOURCES = ("packages/core", "packages/daemon", "platform", "deploy")
LONG_AGO_S = 1_000_000_000

# Stands for the interpreter: notes what it was asked to do.
PYTHON = """#!/bin/sh
echo "$@" >> {calls}
mkdir -p target/deps
"""


def build(checkout: Path, calls: Path) -> int:
    """Run the build; return how often it called the interpreter."""
    folder = checkout.parent / "bin"
    folder.mkdir(exist_ok=True)
    python = folder / "python3"
    python.write_text(PYTHON.format(calls=calls))
    python.chmod(0o755)
    calls.write_text("")
    path = f"{folder}{os.pathsep}{os.environ['PATH']}"
    subprocess.run(
        ["sh", "deploy/build.sh"],
        cwd=checkout,
        env={**os.environ, "PATH": path},
        check=True,
    )
    return len(calls.read_text().splitlines())


def test_changed_sources_are_built_whatever_their_times(
    tmp_path: Path,
) -> None:
    """Build anew where a source differs, also if it is older than the stamp.

    A checkout is copied together with what was built before, and its files
    bear the time of the copy's beginning. By their times all was built
    already, and the code of before was deployed in place of what is there.
    """
    checkout = tmp_path / "checkout"
    for source in SOURCES:
        shutil.copytree(
            ROOT / source,
            checkout / source,
            ignore=shutil.ignore_patterns("__pycache__", "*.egg-info"),
        )
    shutil.copy(ROOT / "constraints.txt", checkout)
    calls = tmp_path / "calls"
    assert build(checkout, calls) > 0
    assert build(checkout, calls) == 0
    changed = checkout / SOURCES[0] / "nutmegchute_core" / "peers.py"
    changed.write_text(changed.read_text() + "\n")
    os.utime(changed, (LONG_AGO_S, LONG_AGO_S))
    assert build(checkout, calls) > 0
    assert build(checkout, calls) == 0
