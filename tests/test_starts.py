"""Test which packages each role imports at its start."""

import re
import subprocess
import sys
from pathlib import Path

import pytest

REQUIREMENTS = Path(__file__).parents[1] / "deploy" / "requirements.txt"

ROUTER = "nutmegchute_daemon.routers", "nutmegchute_platform.calls"
CONTROL = "nutmegchute_daemon.controls", "nutmegchute_platform.controls"

# Runs in a separate interpreter: imports modules with only the listed packages
# available, and prints the names of all imported modules.
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


def imported_packages(*modules: str) -> set[str]:
    """Return the packages that importing these modules imports on a vm."""
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
def test_deployed_packages_suffice(modules: tuple[str, ...]) -> None:
    """Each role starts with only the packages of the deployment."""
    assert "nutmegchute_core" in imported_packages(
        "nutmegchute_platform.__main__", *modules
    )


def test_router_imports_neither_pages_nor_schemas() -> None:
    """A router imports no libraries for pages and schemas.

    After a power failure of all vms, callers wait until routers listen, which
    mostly takes the time of their imports. Only control needs pages and the
    validation of declarations, which took more than a third of the start.
    """
    found = imported_packages("nutmegchute_platform.__main__", *ROUTER)
    assert not found & {"cherrypy", "jsonschema", "rich"}
