"""Test the build of the deployment."""

import os
import shutil
import subprocess
from pathlib import Path

ROOT = Path(__file__).parent.parent
SOURCES = ("packages/core", "packages/daemon", "platform", "deploy")
LONG_AGO_S = 1_000_000_000

# Replaces the interpreter and records the arguments of each call.
PYTHON = """#!/bin/sh
echo "$@" >> {calls}
mkdir -p target/deps
"""


def run_build(checkout: Path, calls: Path) -> int:
    """Run the build; return the number of calls of the interpreter."""
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


def test_changed_sources_are_rebuilt_regardless_of_mtime(
    tmp_path: Path,
) -> None:
    """A changed source is rebuilt even if it is older than the build stamp.

    A checkout is copied together with an earlier build, and its files have
    the time at which the copy began. A build that compared times would deploy
    the earlier code instead of the sources in the checkout.
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
    assert run_build(checkout, calls) > 0
    assert run_build(checkout, calls) == 0
    changed = checkout / SOURCES[0] / "nutmegchute_core" / "peers.py"
    changed.write_text(changed.read_text() + "\n")
    os.utime(changed, (LONG_AGO_S, LONG_AGO_S))
    assert run_build(checkout, calls) > 0
    assert run_build(checkout, calls) == 0
