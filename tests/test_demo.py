"""Test the whole path with real processes."""

from pathlib import Path

from nutmegchute_fakes.demo import Demo


def test_whole_path(tmp_path: Path) -> None:
    """Serve calls while a change, an upstream's and an entry's drain run."""
    assert Demo(tmp_path, requests=120).run()
