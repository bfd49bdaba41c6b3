"""Translate the platform's documents and words, and keep them in place."""

import ast
import contextlib
from functools import partial as partial_of
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from nutmegchute_core.errors import DeclarationError
from nutmegchute_core.members import DRAINING
from nutmegchute_core.routes import read_routes
from nutmegchute_core.trees import ACCEPTED
from nutmegchute_core.trees import CONFLICT
from nutmegchute_core.trees import INVALID
from nutmegchute_core.trees import Tree
from nutmegchute_platform.configurations import read_partial
from nutmegchute_platform.configurations import read_version
from nutmegchute_platform.configurations import read_whole
from nutmegchute_platform.configurations import TEAM
from nutmegchute_platform.configurations import write_whole
from nutmegchute_platform.endpoints import read_farewell
from nutmegchute_platform.endpoints import read_heartbeat

ROOT = Path(__file__).parent.parent
# Words of the platform that only its folder may know.
WORDS = (
    "Not-Executed",
    "Server-Signature",
    "Target-Instance",
    "Instance-Load",
    "virtualHosts",
    "pathPrefix",
    "trafficSplit",
    "baseVersion",
    "heartbeatIntervalMs",
    "NUTMEGCHUTE_BOOT",
)

ROUTE = {
    "name": "r-loan",
    "pathPrefix": "/loans/",
    "kind": "unsafe",
    "timeoutMs": 1500,
    "targetLatencyMs": 400,
    "priority": 1,
    "service": "desk",
    "maxAttempts": 2,
}
SPLIT = {
    "name": "r-look",
    "pathPrefix": "/look/",
    "kind": "safe",
    "timeoutMs": 1200,
    "targetLatencyMs": 300,
    "priority": 2,
    "trafficSplit": [
        {"service": "desk", "weight": 90},
        {"service": "shelf", "weight": 10},
    ],
    "maxAttempts": 2,
}
WHOLE: dict[str, Any] = {
    "version": "r7",
    "services": [
        {
            "name": name,
            "healthPath": "/healthz",
            "maxConnections": 260,
            "protocol": "h1",
            "tls": False,
        }
        for name in ("desk", "shelf")
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "baseVersion": 0,
    "virtualHosts": [{"hostname": "a.example", "paths": [ROUTE, SPLIT]}],
}


def json_values() -> st.SearchStrategy[Any]:
    """Give documents that use the platform's names with any content."""
    names = st.sampled_from(
        [
            "born",
            "service",
            "services",
            "state",
            "sequence",
            "virtualHosts",
            "paths",
            "version",
            "kind",
            "name",
        ]
    )
    plain = st.none() | st.booleans() | st.integers() | st.text(max_size=5)
    return st.recursive(
        plain | st.floats(allow_nan=False, allow_infinity=False),
        lambda inner: (
            st.lists(inner, max_size=4)
            | st.dictionaries(names, inner, max_size=6)
        ),
        max_leaves=20,
    )


def whole(**values: Any) -> bytes:
    """Encode a complete configuration."""
    return msgspec.json.encode({**WHOLE, **values})


def partial(**values: Any) -> bytes:
    """Encode a change of named items that builds on r7."""
    return msgspec.json.encode(
        {"version": "r9", "baseVersion": "r7", **values}
    )


def shown(tree: Tree) -> dict[str, Any]:
    """Read a tree back in the platform's form."""
    document = tree.documents.get(TEAM)
    data = write_whole(tree.revisions.get(TEAM, 0), document)
    found: dict[str, Any] = msgspec.json.decode(data)
    return found


def accepted() -> Tree:
    """Return a tree that holds the configuration above."""
    tree = Tree()
    assert tree.apply(1, read_whole(whole(), 0.0)).outcome == ACCEPTED
    return tree


def test_routes_of_large_bodies_are_read_back() -> None:
    """Keep apart what may run once only from what is large besides."""
    photos = {**ROUTE, "name": "r-photo", "pathPrefix": "/p/"}
    photos["kind"] = "upload"
    body = whole(
        virtualHosts=[{"hostname": "a.example", "paths": [ROUTE, photos]}]
    )
    tree = Tree()
    assert tree.apply(1, read_whole(body, 0.0)).outcome == ACCEPTED
    paths = shown(tree)["virtualHosts"][0]["paths"]
    assert paths == [ROUTE, photos]
    loans, bundles = read_routes(tree.documents, 0.0)
    assert not bundles.rule.idempotent
    assert bundles.buffer_bytes > loans.buffer_bytes


def test_unknown_kind_of_request_is_refused() -> None:
    """Put nothing in force whose meaning is not known."""
    odd = {**ROUTE, "kind": "maybe"}
    body = whole(virtualHosts=[{"hostname": "a.example", "paths": [odd]}])
    with pytest.raises(DeclarationError):
        read_whole(body, 0.0)


def test_configuration_is_read_back_as_it_was_sent() -> None:
    """Give every field back, also those that nothing here reads."""
    expected = dict(WHOLE)
    del expected["baseVersion"]
    assert shown(accepted()) == expected


def test_items_are_changed_and_removed_by_name() -> None:
    """Replace one route, remove another, keep the rest."""
    tree = accepted()
    moved = {**ROUTE, "service": "shelf"}
    order = partial(
        upsert={"virtualHosts": [{"hostname": "a.example", "paths": [moved]}]},
        remove={"routes": ["r-look"]},
    )
    assert tree.apply(2, read_partial(order, 0.0)).outcome == ACCEPTED
    found = shown(tree)
    assert found["version"] == "r9"
    assert found["virtualHosts"] == [
        {"hostname": "a.example", "paths": [moved]}
    ]
    assert found["services"] == WHOLE["services"]


def test_resent_order_gets_its_first_answer() -> None:
    """Acknowledge an accepted order again, whatever came after it.

    The answer to an operator is lost; the order is sent again to another
    replica while a later change is in force already.
    """
    tree = accepted()
    order = partial(remove={"routes": ["r-look"]})
    first = tree.apply(2, read_partial(order, 1.0))
    later = whole(version="r20", baseVersion="r9")
    assert tree.apply(3, read_whole(later, 2.0)).outcome == ACCEPTED
    assert tree.apply(4, read_partial(order, 3.0)) == first
    assert tree.apply(5, read_whole(whole(), 4.0)).outcome == ACCEPTED
    assert shown(tree)["version"] == "r20"


def test_one_of_two_orders_on_one_version_wins() -> None:
    """Let the first of two operators win and tell the other so."""
    tree = accepted()
    one = partial(remove={"routes": ["r-look"]})
    two = partial(remove={"routes": ["r-loan"]})
    assert tree.apply(2, read_partial(one, 1.0)).outcome == ACCEPTED
    assert tree.apply(3, read_partial(two, 1.0)).outcome == CONFLICT
    names = [one["name"] for one in shown(tree)["virtualHosts"][0]["paths"]]
    assert names == ["r-loan"]


@pytest.mark.parametrize(
    "body",
    [
        whole()[:-40],
        whole(virtualHosts=[{"hostname": "a", "paths": [{"name": "r"}]}]),
        whole(version="seven"),
        whole(
            virtualHosts=[
                {"hostname": "a", "paths": [{**ROUTE, "kind": "odd"}]}
            ]
        ),
        whole(
            virtualHosts=[
                {"hostname": "a", "paths": [{**ROUTE, "timeoutMs": 0}]}
            ]
        ),
        whole(
            virtualHosts=[
                {"hostname": "a", "paths": [{**ROUTE, "pathPrefix": "x/"}]}
            ]
        ),
        whole(virtualHosts=[{"hostname": "a", "paths": [ROUTE, ROUTE]}]),
    ],
    ids=["cut", "fields", "version", "kind", "timeout", "prefix", "twice"],
)
def test_wrong_configuration_is_refused_when_read(body: bytes) -> None:
    """Refuse what is wrong in itself before it reaches the log."""
    with pytest.raises(DeclarationError):
        read_whole(body, 0.0)


def test_wrong_configuration_is_refused_by_the_tree() -> None:
    """Refuse an unknown service and a version that goes back."""
    lost = {**ROUTE, "service": "nowhere"}
    hosts = [{"hostname": "a", "paths": [lost]}]
    tree = Tree()
    answer = tree.apply(1, read_whole(whole(virtualHosts=hosts), 0.0))
    assert answer.outcome == INVALID
    assert shown(tree)["version"] == "r0"
    tree = accepted()
    back = whole(version="r6", baseVersion="r7")
    assert tree.apply(2, read_whole(back, 0.0)).outcome == INVALID
    order = partial(remove={"services": ["desk"]})
    assert tree.apply(3, read_partial(order, 0.0)).outcome == INVALID
    assert shown(tree)["version"] == "r7"


def test_versions() -> None:
    """Read versions as numbers."""
    assert [read_version(one) for one in ("r12", "0", 0, 5)] == [12, 0, 0, 5]
    for wrong in ("", "r", "v3", "r-1"):
        with pytest.raises(DeclarationError):
            read_version(wrong)


def test_word_of_an_endpoint() -> None:
    """Read a heartbeat into an announcement."""
    body = {
        "service": "desk",
        "address": "10.0.0.1:80",
        "zone": "surco",
        "version": "v1",
        "capacity": 3,
        "state": "draining",
        "warmupLeftMs": 1500,
        "sequence": 4,
        "later": True,
    }
    announcement, sequence = read_heartbeat("i-1", msgspec.json.encode(body))
    assert sequence == 4
    assert announcement.incarnation == 0
    assert announcement.state == DRAINING
    assert (announcement.instance, announcement.slots) == ("i-1", 3)
    assert announcement.cold_s == 1.5


def test_start_of_an_endpoint() -> None:
    """Read when the process started, in heartbeats and farewells."""
    body = {
        "service": "desk",
        "address": "10.0.0.1:80",
        "zone": "surco",
        "capacity": 3,
        "state": "ready",
        "sequence": 4,
        "born": 1764720000000,
    }
    announcement, _ = read_heartbeat("i-1", msgspec.json.encode(body))
    assert announcement.process == ("i-1", 1764720000000)
    assert read_farewell(b'{"born": 1764720000000}') == 1764720000000
    assert read_farewell(b"{}") is None
    assert read_farewell(b"") is None
    with pytest.raises(msgspec.DecodeError):
        read_farewell(b'{"born": "today"}')


@settings(max_examples=300)
@given(
    st.binary(max_size=200)
    | json_values().map(msgspec.json.encode)
    | st.just(b"[" * 100000)
)
def test_any_bytes_are_read_or_refused(body: bytes) -> None:
    """Meet whatever another writer sends with one kind of error."""
    for read in (partial_of(read_heartbeat, "i-1"), read_farewell):
        with contextlib.suppress(msgspec.DecodeError):
            read(body)
    for order in (read_whole, read_partial):
        with contextlib.suppress(DeclarationError):
            order(body, 0.0)


@pytest.mark.parametrize(
    "values",
    [
        {"address": "host:80"},
        {"capacity": 0},
        {"state": "asleep"},
        {"sequence": "four"},
        {"service": None},
        {"born": "1764720000000"},
        {"born": 1764720000000.5},
        {"born": -1},
        {"born": None},
        {"warmupLeftMs": -1},
        {"warmupLeftMs": 1e300},
    ],
)
def test_wrong_word_of_an_endpoint(values: dict[str, Any]) -> None:
    """Refuse a heartbeat that entries could not use."""
    body = {
        "service": "desk",
        "address": "10.0.0.1:80",
        "zone": "surco",
        "capacity": 3,
        "state": "ready",
        "sequence": 4,
        **values,
    }
    with pytest.raises(msgspec.DecodeError):
        read_heartbeat("i-1", msgspec.json.encode(body))


def test_nothing_else_knows_the_platform() -> None:
    """Find neither an import of the folder nor its words outside it."""
    paths = sorted((ROOT / "packages").rglob("*.py"))
    assert len(paths) > 50
    for path in paths:
        text = path.read_text()
        for node in ast.walk(ast.parse(text)):
            if isinstance(node, ast.ImportFrom):
                assert not (node.module or "").startswith(
                    "nutmegchute_platform"
                ), path.name
            if isinstance(node, ast.Import):
                for alias in node.names:
                    assert "nutmegchute_platform" not in alias.name, path.name
        for word in WORDS:
            assert word not in text, f"{path.name}: {word}"


def test_the_folder_hides_no_module() -> None:
    """Keep Python's own module of the folder's name in reach."""
    assert not (ROOT / "platform" / "__init__.py").exists()


def test_change_that_names_no_base_cannot_be_read() -> None:
    """Refuse a change of named items that builds on nothing.

    A writer leaves out the version that its change builds on. At a replica
    that does not lead it was sent on, and at the leader it lost against a
    version that nobody else had named, as if an operator had been quicker.
    """
    for body in (b'{"version":"r5","services":7}', b'{"version":"r5"}'):
        with pytest.raises(DeclarationError):
            read_partial(body, 0.0)
