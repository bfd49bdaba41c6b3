"""Test the lookup of routes and the split of requests by weight."""

from collections import Counter
from typing import Any

import pytest
from nutmegchute_core.declarations import check_team
from nutmegchute_core.declarations import check_tree
from nutmegchute_core.errors import DeclarationError
from nutmegchute_core.routes import read_routes
from nutmegchute_core.routes import Route
from nutmegchute_core.routes import RouteTable


def route(**values: Any) -> dict[str, Any]:
    """Build the document of a route."""
    document = {
        "host": "loans.example",
        "path_prefix": "/",
        "idempotent": True,
        "timeout_ms": 1200,
        "objective_ms": 300,
        "service": "prestamos",
    }
    document.update(values)
    return {key: one for key, one in document.items() if one is not None}


def tree(**routes: Any) -> dict[str, Any]:
    """Build a tree with one team, two services and the given routes."""
    services: dict[str, Any] = {"prestamos": {}, "catalogo": {}}
    return {"lending": {"services": services, "routes": routes}}


def test_longest_prefix_of_the_host_wins() -> None:
    """Match the host regardless of case and port, and the longest prefix."""
    documents = tree(
        all=route(),
        loans=route(path_prefix="/loans/"),
        other=route(host="b.example", path_prefix="/loans/new/"),
    )
    table = RouteTable(read_routes(documents, 0.0))
    found = table.find("Loans.Example:8080", "/loans/new/1")
    assert found is not None and found.name == "loans"
    found = table.find("loans.example", "/else")
    assert found is not None and found.name == "all"
    assert table.find("b.example", "/loans/1") is None
    assert table.find("c.example", "/") is None


def test_route_sets_the_rule_of_its_requests() -> None:
    """Build the balancer's rule from the route's document."""
    document = route(idempotent=False, attempts=3, priority=1)
    rule = Route("loans", document, 0.0).rule
    assert (rule.deadline_s, rule.objective_s) == (1.2, 0.3)
    assert (rule.idempotent, rule.attempts) == (False, 3)
    assert rule.priority == "action"
    assert not rule.hedge


def test_split_holds_over_few_requests_at_many_entries() -> None:
    """Guard against a split that is off by 0.05 or more on a quiet route.

    Seventeen entries get 15 requests each. If all of them began with the
    heavier part, the lighter one would get too few requests.
    """
    split = [
        {"service": "prestamos", "weight": 90},
        {"service": "catalogo", "weight": 10},
    ]
    counts: Counter[str] = Counter()
    for entry in range(17):
        one = Route("r", route(service=None, split=split), entry / 17)
        for _ in range(15):
            counts[one.choose()] += 1
    assert abs(counts["catalogo"] / 255 - 0.1) < 0.05


def test_part_without_weight_gets_nothing() -> None:
    """Send nothing to a part of weight 0."""
    split = [
        {"service": "prestamos", "weight": 0},
        {"service": "catalogo", "weight": 5},
    ]
    one = Route("r", route(service=None, split=split), 0.0)
    assert {one.choose() for _ in range(50)} == {"catalogo"}


@pytest.mark.parametrize(
    "values",
    [
        {"path_prefix": "loans/"},
        {"timeout_ms": 0},
        {"idempotent": "yes"},
        {"service": None},
        {"split": [{"service": "catalogo", "weight": 1}]},
        {"attempts": 0},
    ],
)
def test_invalid_route_is_rejected(values: dict[str, Any]) -> None:
    """Reject a route whose document is invalid."""
    document = tree(bad=route(**values))["lending"]
    with pytest.raises(DeclarationError):
        check_team("lending", document)


def test_route_needs_a_declared_service() -> None:
    """Reject routes to undeclared services and duplicate routes."""
    with pytest.raises(DeclarationError, match="not declared"):
        check_tree(tree(lost=route(service="reservas")))
    with pytest.raises(DeclarationError, match="already"):
        check_tree(tree(a=route(), b=route(host="LOANS.example")))
    check_tree(tree(a=route(), b=route(path_prefix="/b/")))
