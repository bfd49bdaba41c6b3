"""Test that the platform's formats are converted, and only in its folder."""

import ast
import contextlib
from functools import partial
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
from nutmegchute_platform.configurations import read_configuration
from nutmegchute_platform.configurations import read_update
from nutmegchute_platform.configurations import read_version
from nutmegchute_platform.configurations import TEAM
from nutmegchute_platform.configurations import write_configuration
from nutmegchute_platform.endpoints import read_deregistration
from nutmegchute_platform.endpoints import read_heartbeat

ROOT = Path(__file__).parent.parent
# Names of the platform that may occur only in its folder.
PLATFORM_NAMES = (
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
CONFIGURATION: dict[str, Any] = {
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
    """Return a strategy for JSON documents with the platform's keys."""
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


def encode_configuration(**values: Any) -> bytes:
    """Encode a complete configuration."""
    return msgspec.json.encode({**CONFIGURATION, **values})


def encode_update(**values: Any) -> bytes:
    """Encode an update of named items with base version r7."""
    return msgspec.json.encode(
        {"version": "r9", "baseVersion": "r7", **values}
    )


def read_back(tree: Tree) -> dict[str, Any]:
    """Return the configuration of a tree in the platform's format."""
    document = tree.documents.get(TEAM)
    data = write_configuration(tree.revisions.get(TEAM, 0), document)
    found: dict[str, Any] = msgspec.json.decode(data)
    return found


def tree_with_configuration() -> Tree:
    """Return a tree that holds CONFIGURATION."""
    tree = Tree()
    assert (
        tree.apply(1, read_configuration(encode_configuration(), 0.0)).outcome
        == ACCEPTED
    )
    return tree


def test_routes_of_large_bodies_are_read_back() -> None:
    """Keep unsafe routes and unsafe routes with large bodies apart."""
    photos = {**ROUTE, "name": "r-photo", "pathPrefix": "/p/"}
    photos["kind"] = "upload"
    body = encode_configuration(
        virtualHosts=[{"hostname": "a.example", "paths": [ROUTE, photos]}]
    )
    tree = Tree()
    assert tree.apply(1, read_configuration(body, 0.0)).outcome == ACCEPTED
    paths = read_back(tree)["virtualHosts"][0]["paths"]
    assert paths == [ROUTE, photos]
    loans, uploads = read_routes(tree.documents, 0.0)
    assert not uploads.rule.idempotent
    assert uploads.buffer_bytes > loans.buffer_bytes


def test_unknown_kind_of_request_is_refused() -> None:
    """Refuse a route of an unknown kind."""
    unknown_kind = {**ROUTE, "kind": "maybe"}
    body = encode_configuration(
        virtualHosts=[{"hostname": "a.example", "paths": [unknown_kind]}]
    )
    with pytest.raises(DeclarationError):
        read_configuration(body, 0.0)


def test_configuration_is_read_back_unchanged() -> None:
    """Return every field, also those that nutmegchute does not read."""
    expected = dict(CONFIGURATION)
    del expected["baseVersion"]
    assert read_back(tree_with_configuration()) == expected


def test_items_are_changed_and_removed_by_name() -> None:
    """Replace one route, remove another and keep the rest."""
    tree = tree_with_configuration()
    moved = {**ROUTE, "service": "shelf"}
    update = encode_update(
        upsert={"virtualHosts": [{"hostname": "a.example", "paths": [moved]}]},
        remove={"routes": ["r-look"]},
    )
    assert tree.apply(2, read_update(update, 0.0)).outcome == ACCEPTED
    found = read_back(tree)
    assert found["version"] == "r9"
    assert found["virtualHosts"] == [
        {"hostname": "a.example", "paths": [moved]}
    ]
    assert found["services"] == CONFIGURATION["services"]


def test_resent_update_gets_its_first_answer() -> None:
    """Acknowledge an accepted update again after later changes.

    The answer to an operator is lost, and the update is sent again to another
    replica when a later change is in force already.
    """
    tree = tree_with_configuration()
    update = encode_update(remove={"routes": ["r-look"]})
    first = tree.apply(2, read_update(update, 1.0))
    later = encode_configuration(version="r20", baseVersion="r9")
    assert tree.apply(3, read_configuration(later, 2.0)).outcome == ACCEPTED
    assert tree.apply(4, read_update(update, 3.0)) == first
    assert (
        tree.apply(5, read_configuration(encode_configuration(), 4.0)).outcome
        == ACCEPTED
    )
    assert read_back(tree)["version"] == "r20"


def test_one_of_two_updates_of_a_version_wins() -> None:
    """Accept the first of two updates and refuse the other as a conflict."""
    tree = tree_with_configuration()
    one = encode_update(remove={"routes": ["r-look"]})
    two = encode_update(remove={"routes": ["r-loan"]})
    assert tree.apply(2, read_update(one, 1.0)).outcome == ACCEPTED
    assert tree.apply(3, read_update(two, 1.0)).outcome == CONFLICT
    names = [
        one["name"] for one in read_back(tree)["virtualHosts"][0]["paths"]
    ]
    assert names == ["r-loan"]


@pytest.mark.parametrize(
    "body",
    [
        encode_configuration()[:-40],
        encode_configuration(
            virtualHosts=[{"hostname": "a", "paths": [{"name": "r"}]}]
        ),
        encode_configuration(version="seven"),
        encode_configuration(
            virtualHosts=[
                {"hostname": "a", "paths": [{**ROUTE, "kind": "odd"}]}
            ]
        ),
        encode_configuration(
            virtualHosts=[
                {"hostname": "a", "paths": [{**ROUTE, "timeoutMs": 0}]}
            ]
        ),
        encode_configuration(
            virtualHosts=[
                {"hostname": "a", "paths": [{**ROUTE, "pathPrefix": "x/"}]}
            ]
        ),
        encode_configuration(
            virtualHosts=[{"hostname": "a", "paths": [ROUTE, ROUTE]}]
        ),
    ],
    ids=["cut", "fields", "version", "kind", "timeout", "prefix", "twice"],
)
def test_invalid_configuration_is_refused_when_read(body: bytes) -> None:
    """Refuse an invalid configuration before it is proposed to the log."""
    with pytest.raises(DeclarationError):
        read_configuration(body, 0.0)


def test_invalid_configuration_is_refused_by_the_tree() -> None:
    """Refuse an unknown service and a version lower than the current."""
    unknown_service = {**ROUTE, "service": "nowhere"}
    hosts = [{"hostname": "a", "paths": [unknown_service]}]
    tree = Tree()
    answer = tree.apply(
        1, read_configuration(encode_configuration(virtualHosts=hosts), 0.0)
    )
    assert answer.outcome == INVALID
    assert read_back(tree)["version"] == "r0"
    tree = tree_with_configuration()
    lower_version = encode_configuration(version="r6", baseVersion="r7")
    assert (
        tree.apply(2, read_configuration(lower_version, 0.0)).outcome
        == INVALID
    )
    update = encode_update(remove={"services": ["desk"]})
    assert tree.apply(3, read_update(update, 0.0)).outcome == INVALID
    assert read_back(tree)["version"] == "r7"


def test_versions_are_read_as_numbers() -> None:
    """Read versions with and without the prefix, refuse all others."""
    assert [read_version(one) for one in ("r12", "0", 0, 5)] == [12, 0, 0, 5]
    for wrong in ("", "r", "v3", "r-1"):
        with pytest.raises(DeclarationError):
            read_version(wrong)


def test_heartbeat_becomes_an_announcement() -> None:
    """Map the fields of a heartbeat and ignore an unknown one."""
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


def test_start_time_of_an_endpoint() -> None:
    """Read the start time in heartbeats and deregistrations."""
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
    assert read_deregistration(b'{"born": 1764720000000}') == 1764720000000
    assert read_deregistration(b"{}") is None
    assert read_deregistration(b"") is None
    with pytest.raises(msgspec.DecodeError):
        read_deregistration(b'{"born": "today"}')


@settings(max_examples=300)
@given(
    st.binary(max_size=200)
    | json_values().map(msgspec.json.encode)
    | st.just(b"[" * 100000)
)
def test_any_bytes_are_read_or_refused(body: bytes) -> None:
    """Raise only the declared kind of error for arbitrary input."""
    for read in (partial(read_heartbeat, "i-1"), read_deregistration):
        with contextlib.suppress(msgspec.DecodeError):
            read(body)
    for parse in (read_configuration, read_update):
        with contextlib.suppress(DeclarationError):
            parse(body, 0.0)


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
def test_invalid_heartbeat_is_refused(values: dict[str, Any]) -> None:
    """Refuse a heartbeat whose fields entries would not accept."""
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


def test_other_packages_are_independent_of_the_platform() -> None:
    """Find neither an import of the folder nor its names outside it."""
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
        for platform_name in PLATFORM_NAMES:
            assert platform_name not in text, f"{path.name}: {platform_name}"


def test_folder_does_not_shadow_the_standard_module() -> None:
    """Keep the standard library's platform module importable."""
    assert not (ROOT / "platform" / "__init__.py").exists()


def test_change_that_names_no_base_cannot_be_read() -> None:
    """Refuse an update of named items without a base version.

    Guards against a fault: replicas other than the leader redirected such an
    update, and the leader refused it as a conflict, as if another operator
    had changed the configuration first.
    """
    for body in (b'{"version":"r5","services":7}', b'{"version":"r5"}'):
        with pytest.raises(DeclarationError):
            read_update(body, 0.0)
