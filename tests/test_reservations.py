"""Test that processes of one machine reserve distinct ports and networks."""

import os
import subprocess
import sys
from pathlib import Path

import pytest
from nutmegchute_fakes import reservations
from nutmegchute_fakes.reservations import Reservations

# Takes a port of a range of four and holds it until its input ends.
TAKE = """
import sys
from pathlib import Path
from nutmegchute_fakes import reservations
reservations.PORTS = (9600, 9604)
reservations.NETWORKS = (300, 304)
found = reservations.Reservations(Path(sys.argv[1]))
print(found.take_port(), found.take_network(), flush=True)
sys.stdin.read()
"""


@pytest.fixture
def path(tmp_path: Path) -> Path:
    """Return the path of a lock file of this test alone."""
    return tmp_path / "locks"


def start_taker(path: Path) -> subprocess.Popen[str]:
    """Start a process that reserves a port and a network."""
    return subprocess.Popen(
        [sys.executable, "-c", TAKE, str(path)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
    )


def test_processes_take_distinct_ports_and_networks(path: Path) -> None:
    """Guard against two test workers that start daemons at one port."""
    takers = [start_taker(path) for _ in range(4)]
    taken = []
    for taker in takers:
        assert taker.stdout is not None
        taken.append(taker.stdout.readline().split())
    for taker in takers:
        taker.communicate()
    assert sorted(port for port, _ in taken) == [
        "9600",
        "9601",
        "9602",
        "9603",
    ]
    assert len({network for _, network in taken}) == len(takers)


def test_number_is_free_again_after_its_process(path: Path) -> None:
    """Guard against a range that runs out as workers end."""
    found = Reservations(path)
    taker = start_taker(path)
    assert taker.stdout is not None
    port = int(taker.stdout.readline().split()[0])
    assert not found.take(port)
    taker.communicate()
    assert found.take(port)
    assert not found.take(port)


def test_fork_does_not_reserve_for_its_parent(path: Path) -> None:
    """Guard against a fork that draws the ports of its parent."""
    found = Reservations(path)
    assert found.take(reservations.PORTS[0])
    pid = os.fork()
    if not pid:
        os._exit(found.take(reservations.PORTS[0]))
    assert os.waitpid(pid, 0)[1] == 0
