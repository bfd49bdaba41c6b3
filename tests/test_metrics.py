"""Test the metrics page against the code, and the periodic report."""

import ast
import re
import socket
from pathlib import Path

import nutmegchute_daemon
from nutmegchute_daemon.metrics import CATALOGUE
from nutmegchute_daemon.metrics import Metrics
from nutmegchute_daemon.reports import REPORT_PERIOD_S
from nutmegchute_daemon.reports import Reporter

PAGE = Path(__file__).parent.parent / "docs" / "metrics.rst"
ENTRY = re.compile(
    r"^``([\w.]+)`` \((\w+), ([^)]+)\)\n((?:    .+\n)+)", re.MULTILINE
)
KINDS_BY_METHOD = {"count": "counter", "gauge": "gauge", "time_ms": "timer"}


def test_page_and_catalogue_agree() -> None:
    """The page lists each metric with its type, unit and alert."""
    found = {}
    for name, kind, unit, body in ENTRY.findall(PAGE.read_text()):
        found[name] = (kind, unit)
        assert "Alert:" in " ".join(body.split()), name
    assert found == CATALOGUE


def test_code_and_catalogue_agree() -> None:
    """The code sends exactly the metrics of the catalogue, by type."""
    assert _sent() == {name: kind for name, (kind, _) in CATALOGUE.items()}


def test_report_includes_loop_lag() -> None:
    """A loop blocked for 0.5 s is reported as 500 ms of lag."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as listener:
        listener.bind(("127.0.0.1", 0))
        listener.settimeout(5)
        port = listener.getsockname()[1]
        times = iter([0.0, REPORT_PERIOD_S + 0.5])
        metrics = Metrics(f"127.0.0.1:{port}", "entry-1")
        reporter = Reporter(
            metrics,
            lambda: {"in_flight": 3.0},
            lambda: next(times),
        )
        reporter.report()
        metrics.flush()
        lines = listener.recv(4096).decode().split("\n")
    assert len(lines) == 5
    assert "nutmegchute.entry-1.alive:1|g" in lines
    assert "nutmegchute.entry-1.loop_lag_ms:500.0|g" in lines
    assert "nutmegchute.entry-1.in_flight:3.0|g" in lines


def test_gauge_of_an_organisation_ends() -> None:
    """Guard against a gauge for every organisation that was ever large."""
    metrics = Metrics(None, "control-1")
    metrics.gauge("demand.Foo: 1.5", 3.0)
    line = 'nutmegchute_demand{organisation="Foo: 1.5"} 3.0'
    assert line in metrics.text().decode()
    metrics.gauge("demand.other", 1.0)
    for name in ("Foo: 1.5", "other", "absent"):
        metrics.remove_gauge(f"demand.{name}")
    assert "organisation=" not in metrics.text().decode()


def _sent() -> dict[str, str]:
    found: dict[str, str] = {}
    folder = Path(nutmegchute_daemon.__file__).parent
    for path in sorted(folder.glob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.FunctionDef) and node.name == "gauges":
                found.update(dict.fromkeys(_gauges(node), "gauge"))
            if not isinstance(node, ast.Call) or not node.args:
                continue
            function = node.func
            if not isinstance(function, ast.Attribute):
                continue
            receiver = ast.unparse(function.value)
            if function.attr in KINDS_BY_METHOD and receiver.endswith(
                "metrics"
            ):
                name = _name(node.args[0])
                if name:
                    found[name] = KINDS_BY_METHOD[function.attr]
    return found


def _gauges(function: ast.FunctionDef) -> list[str]:
    names: list[str] = []
    for node in ast.walk(function):
        if isinstance(node, ast.Dict):
            names.extend(
                ast.literal_eval(key) for key in node.keys if key is not None
            )
        if isinstance(node, ast.Assign):
            target = node.targets[0]
            if isinstance(target, ast.Subscript):
                names.append(ast.literal_eval(target.slice))
    return names


def _name(argument: ast.expr) -> str:
    """Return a metric's name as in the catalogue, {x.outcome} as OUTCOME.

    Return an empty string for a plain variable: it is a role's gauge, whose
    name comes from the role's own ``gauges``.
    """
    if isinstance(argument, ast.Constant):
        return str(argument.value)
    if not isinstance(argument, ast.JoinedStr):
        return ""
    parts = []
    for part in argument.values:
        if isinstance(part, ast.Constant):
            parts.append(str(part.value))
        elif isinstance(part, ast.FormattedValue):
            name = ast.unparse(part.value).rpartition(".")[2]
            parts.append(name.upper())
    return "".join(parts)
