"""Run the commands of docs/operate.rst against real daemons."""

import contextlib
import io
import os
import subprocess
import time
from pathlib import Path
from typing import Any
from unittest import mock

import msgspec
from nutmegchute_cli.__main__ import main
from nutmegchute_fakes.clusters import Cluster
from nutmegchute_fakes.clusters import digest
from nutmegchute_fakes.clusters import OPERATOR_KEY

EXAMPLES = Path(__file__).parent.parent / "examples"
ZONES = ["miraflores", "san-isidro", "surco"]
OPERATORS = [
    {
        "name": "operator",
        "key_sha256": digest(OPERATOR_KEY),
        "branches": ["*"],
    }
]
WAIT_S = 30.0


class Operator:
    """Run commands against a deployment."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster

    def run(self, *arguments: str, entry: str = "") -> tuple[int, str]:
        """Run a command; return its exit status and output."""
        control = ",".join(one.address for one in self._cluster.controls)
        environment = {
            "NUTMEGCHUTE_CONTROL": control,
            "NUTMEGCHUTE_ENTRY": entry,
            "NUTMEGCHUTE_KEY": OPERATOR_KEY,
        }
        out = io.StringIO()
        with (
            mock.patch.dict(os.environ, environment),
            contextlib.redirect_stdout(out),
        ):
            status = main(list(arguments))
        return status, out.getvalue()

    def listing(self, *arguments: str, entry: str = "") -> Any:
        """Run a command with --json and return the decoded output."""
        status, out = self.run(*arguments, "--json", entry=entry)
        assert status == 0, arguments
        return msgspec.json.decode(out)


def test_apply_replace_and_drain(tmp_path: Path) -> None:
    """Apply declarations, list, replace a control replica and drain an entry.

    A control vm is lost with its disk. A new replica with an empty data
    folder waits, replaces the lost one by "replicas replace" and votes once
    it has caught up; the next change is applied. The daemon of the drained
    entry exits with status 0.
    """
    cluster = Cluster(tmp_path, ZONES)
    operator = Operator(cluster)
    try:
        cluster.start(3, 2, operators=OPERATORS, entries_keep_s=0.2)
        _declare(cluster, operator)
        _replace(cluster, operator)
        entry = cluster.entries[0]
        assert operator.run("drain", entry=entry.address)[0] == 0
        assert entry.wait() == 0
        left = operator.listing("entries", entry=cluster.entries[1].address)
        assert [row["name"] for row in left] == ["entry-2"]
    finally:
        cluster.stop()


def _declare(cluster: Cluster, operator: Operator) -> None:
    folder = str(EXAMPLES / "red-andina" / "declarations")
    assert operator.run("apply", folder)[0] == 0
    assert operator.run("apply", folder)[0] == 0
    cluster.add_upstream("prestamos")
    address = cluster.entries[0].address
    _until(lambda: operator.listing("upstreams", entry=address))
    assert operator.run("status")[0] == 0
    rules = {row["rule"] for row in operator.listing("services")}
    assert {"loan", "return", "shelf-lookup", "nightly-sync"} <= rules
    rows = operator.listing("entries")
    assert [row["name"] for row in rows] == ["entry-1", "entry-2"]
    trail = operator.listing("audit")
    assert [row["outcome"] for row in trail] == ["accepted"]


def _replace(cluster: Cluster, operator: Operator) -> None:
    lost = cluster.controls.pop()
    lost.kill()
    own = cluster.add_control("control-4")
    _until(lambda: "waiting" in _kinds(operator).values())
    arguments = ["control-3", "control-4", own["grpc_address"]]
    arguments.append(own["http_address"])
    _until(lambda: operator.run("status")[0] == 0)
    assert operator.run("replicas", "replace", *arguments)[0] == 0
    _until(lambda: _kinds(operator).get("control-4") == "voter")
    # A replica that sent a message recently is listed as waiting for some
    # seconds.
    assert _kinds(operator).get("control-3") in (None, "waiting")
    _until(lambda: "control-3" not in _kinds(operator))
    folder = str(EXAMPLES / "stillekilde" / "declarations")
    assert operator.run("apply", folder)[0] == 0


def _kinds(operator: Operator) -> dict[str, str]:
    return {row["name"]: row["kind"] for row in operator.listing("replicas")}


def _until(condition: Any) -> None:
    deadline = time.monotonic() + WAIT_S
    while not condition():
        if time.monotonic() > deadline:
            raise subprocess.TimeoutExpired("probe", WAIT_S)
        time.sleep(0.1)
