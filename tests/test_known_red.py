"""Test that KNOWN-RED.txt lists each test that CI leaves out."""

from pathlib import Path

ROOT = Path(__file__).parent.parent
MARK = "pytest.mark." + "known_red"


def test_every_marked_test_file_is_listed() -> None:
    """A mark that stays after its entry was removed would hide a test."""
    listed = (ROOT / "KNOWN-RED.txt").read_text()
    marked = [
        path.name
        for path in sorted((ROOT / "tests").glob("test_*.py"))
        if MARK in path.read_text()
    ]
    assert [name for name in marked if name not in listed] == []
