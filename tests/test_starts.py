"""Load what a role needs and no more, as each start of a daemon does."""

import re
import subprocess
import sys
from pathlib import Path

import pytest

REQUIREMENTS = Path(__file__).parents[1] / "deploy" / "requirements.txt"

ROUTER = "nutmegchute_daemon.routers", "nutmegchute_platform.calls"
CONTROL = "nutmegchute_daemon.controls", "nutmegchute_platform.controls"

# Run in an interpreter of its own: loads modules where only the listed
# packages are to be had, and prints what is loaded then.
LOADER = """
import importlib, importlib.metadata, re, sys

kept = set(sys.argv[1].split(","))
missing = set()
for module, owners in importlib.metadata.packages_distributions().items():
    names = {re.sub("[-_.]+", "-", one).lower() for one in owners}
    if not names & kept and not module.startswith("nutmegchute"):
        missing.add(module)

class Missing:
    def find_spec(self, name, path=None, target=None):
        if name.partition(".")[0] in missing:
            raise ModuleNotFoundError(name)

sys.meta_path.insert(0, Missing())
for name in sys.argv[2:]:
    importlib.import_module(name)
print(*sys.modules)
"""


def loaded(*modules: str) -> set[str]:
    """Return the packages loaded with these modules on a vm."""
    listed = []
    for line in REQUIREMENTS.read_text().splitlines():
        if line and not line.startswith("#"):
            listed.append(re.sub("[-_.]+", "-", line).lower())
    done = subprocess.run(
        [sys.executable, "-c", LOADER, ",".join(listed), *modules],
        capture_output=True,
        text=True,
    )
    assert done.returncode == 0, done.stderr
    return {name.partition(".")[0] for name in done.stdout.split()}


@pytest.mark.parametrize("modules", [ROUTER, CONTROL])
def test_listed_packages_are_enough(modules: tuple[str, ...]) -> None:
    """Load a role where just the packages of the deployment are there."""
    assert "nutmegchute_core" in loaded(
        "nutmegchute_platform.__main__", *modules
    )


def test_router_loads_neither_pages_nor_schemas() -> None:
    """Come back soon after a loss of power.

    All vms lose power and callers wait; how long a router takes until it
    listens is mostly what it loads. Pages and the checks of declarations
    are control's, and took more than a third of a router's start.
    """
    found = loaded("nutmegchute_platform.__main__", *ROUTER)
    assert not found & {"cherrypy", "jsonschema", "rich"}
