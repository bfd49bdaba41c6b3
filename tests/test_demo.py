"""Test a deployment of real processes under load."""

from pathlib import Path

from nutmegchute_fakes.demo import Demo


def test_whole_path(tmp_path: Path) -> None:
    """Serve calls during a change and drains of an upstream and an entry."""
    assert Demo(tmp_path, requests=120).run()
