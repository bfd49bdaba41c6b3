"""Make Hypothesis deterministic and mark the tests that are known to fail."""

from pathlib import Path

import pytest
from hypothesis import settings

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"

settings.register_profile(
    "same-verdict", derandomize=True, deadline=None, database=None
)
settings.load_profile("same-verdict")


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests that KNOWN-RED.txt lists."""
    listed = set()
    for line in KNOWN_RED.read_text().splitlines():
        if not line.startswith("#"):
            listed.add(line.partition("|")[0].strip())
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.known_red)
