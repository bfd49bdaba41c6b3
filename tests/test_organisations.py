"""Test which organisations and keys are accepted and found."""

import secrets
import tracemalloc
from math import inf
from math import nan
from typing import Any

import pytest
from nutmegchute_core.declarations import check_team
from nutmegchute_core.declarations import check_tree
from nutmegchute_core.errors import DeclarationError
from nutmegchute_core.organisations import mask_document
from nutmegchute_core.organisations import mask_documents
from nutmegchute_core.organisations import mask_key
from nutmegchute_core.organisations import Organisations
from nutmegchute_core.organisations import read_organisations
from nutmegchute_core.patches import apply_patch
from nutmegchute_core.patches import Patch

SECRET = b"s" * 32
KEY = "f3a91c20b7-kept-secret"
MEMORY_BYTES = 200_000


def build_document(**organisations: Any) -> dict[str, Any]:
    """Build a team's document with organisations."""
    return {"services": {}, "organisations": organisations}


def find_name(organisations: Organisations, key: bytes) -> str | None:
    """Return the name of a key's organisation, if there is one."""
    found = organisations.find(key)
    return None if found is None else found.name


def explain(document: Any) -> str:
    """Return why a team's document is refused."""
    with pytest.raises(DeclarationError) as caught:
        check_team("lending", document)
    return str(caught.value)


@pytest.mark.parametrize(
    ("documents", "place"),
    [
        (
            {"lending": build_document(a={"keys": [KEY]}, b={"keys": [KEY]})},
            "lending/organisations/b/keys/0",
        ),
        (
            {
                "desk": build_document(a={"keys": ["x", KEY]}),
                "lending": build_document(b={"keys": ["y", KEY]}),
            },
            "lending/organisations/b/keys/1",
        ),
    ],
)
def test_one_key_in_two_organisations_is_refused(
    documents: dict[str, Any], place: str
) -> None:
    """Refuse a key of two organisations; calls would count for either one.

    The error names the place and does not quote the key.
    """
    for team, document in documents.items():
        check_team(team, document)
    with pytest.raises(DeclarationError) as caught:
        check_tree(documents)
    assert str(caught.value).startswith(place)
    assert KEY not in str(caught.value)


def test_one_name_in_two_teams_is_refused() -> None:
    """Refuse a name in two branches; upstreams could not tell them apart."""
    documents = {
        "desk": build_document(cusco={}),
        "lending": build_document(cusco={}),
    }
    with pytest.raises(DeclarationError, match="lending/organisations/cusco"):
        check_tree(documents)


def test_a_key_listed_twice_by_its_organisation_is_accepted() -> None:
    """Accept a repeated key of one organisation, which is unambiguous."""
    documents = {"lending": build_document(a={"keys": [KEY, KEY]})}
    check_team("lending", documents["lending"])
    check_tree(documents)


@pytest.mark.parametrize(
    "key",
    ["", " ", "a b", "a\tb", "a\n", "a\r\n", "\n", "\x00", "\x7f", "a\ud800"],
)
def test_keys_that_no_header_can_hold_are_refused(key: str) -> None:
    """Refuse keys that a caller cannot send, and do not quote them.

    A pattern that ends with ``$`` accepts a line feed at the end.
    """
    reason = explain(build_document(a={"keys": [f"{KEY}{key}", key]}))
    assert reason.startswith("lending/organisations/a/keys/")
    assert KEY not in reason


@pytest.mark.parametrize("key", ["!", "a=", "a,b", "ñandú", "\U0001f511", "à"])
def test_keys_of_any_other_characters_are_found(key: str) -> None:
    """Find keys as a caller sends them, in UTF-8."""
    document = build_document(a={"keys": [key]})
    check_team("lending", document)
    organisations = read_organisations({"lending": document}, SECRET)
    assert find_name(organisations, key.encode()) == "a"


@pytest.mark.parametrize(
    "name",
    ["", " a", "a ", "a\n", "a\r\nX-B: c", "a\x00", "\x7f", "a\ud800", "\n"],
)
def test_names_that_no_header_can_hold_are_refused(name: str) -> None:
    """Refuse names that would end the header that holds them."""
    reason = explain(build_document(**{name: {"keys": [KEY]}}))
    assert reason.startswith("lending/organisations")
    assert KEY not in reason


@pytest.mark.parametrize("field", ["rate_per_s", "burst"])
@pytest.mark.parametrize(
    "value", [-1, -0.001, 1e10, 10**400, nan, inf, -inf, "4", None, True, []]
)
def test_wrong_rates_are_refused(field: str, value: Any) -> None:
    """Refuse rates that limit nothing or everything by accident."""
    reason = explain(build_document(a={field: value, "keys": [KEY]}))
    assert reason.startswith(f"lending/organisations/a/{field}")


@pytest.mark.parametrize(
    ("rate", "has_quota"), [(0, False), (0.25, True), (40, True), (1e9, True)]
)
def test_a_rate_of_zero_is_no_limit(rate: float, has_quota: bool) -> None:
    """Limit by every rate above zero, also one below one."""
    document = build_document(a={"rate_per_s": rate, "burst": 0})
    check_team("lending", document)
    found = read_organisations({"lending": document}, SECRET).by_name["a"]
    assert found.has_quota == has_quota
    assert (found.rate_per_s, found.burst, found.priority) == (rate, 0, 0)


@pytest.mark.parametrize(
    "document",
    [
        [KEY],
        KEY,
        {"services": {}, "organisations": [KEY]},
        {"services": {}, "organisations": {"a": KEY}},
        {"services": {}, "organisations": {"a": [KEY]}},
        {"services": {}, "organisations": {"a": {"keys": KEY}}},
        {"services": {}, "organisations": {"a": {"keys": {KEY: 1}}}},
        {"services": {}, "organisations": {"a": {"keys": [[KEY]]}}},
        {"services": {}, "organisations": {"a": {"keys": [KEY * 100]}}},
        {"services": {}, "organisations": {"a": {"keys": [KEY], "x": KEY}}},
        {"services": {}, "organisations": {"a": {"priority": KEY}}},
        {"services": {}, "organisations": {"a": {"annotations": KEY}}},
        {"services": [], "organisations": {"a": {"keys": [KEY]}}},
        {"services": {}, "teams": {"a": {"keys": [KEY]}}},
    ],
)
def test_errors_quote_no_key(document: Any) -> None:
    """Name the place of an error and not the value, which may be a key."""
    assert KEY not in explain(document)


def test_error_names_the_allowed_fields() -> None:
    """Say which fields an organisation has, for one that is misspelt."""
    reason = explain(build_document(a={"key": [KEY]}))
    assert "keys, priority, rate_per_s" in reason


def test_thousand_organisations_are_told_apart() -> None:
    """Find each organisation by either of its keys, and nobody by others."""
    section = {
        f"o-{number}": {"keys": [f"k-{number}", f"n-{number}"]}
        for number in range(1000)
    }
    documents = {"lending": build_document(**section)}
    check_team("lending", documents["lending"])
    check_tree(documents)
    organisations = read_organisations(documents, SECRET)
    for number in range(1000):
        for key in (f"k-{number}", f"n-{number}"):
            found = find_name(organisations, key.encode())
            assert found == f"o-{number}"
    for unknown in (b"", b"k-", b"k-1000", b"K-1", b"k-1 ", b"k-1\x00"):
        assert organisations.find(unknown) is None


@pytest.mark.parametrize(
    ("document", "required"),
    [
        ({"services": {}}, False),
        ({"services": {}, "organisations": {}}, True),
        (build_document(a={}), True),
    ],
)
def test_section_requires_keys(
    document: dict[str, Any], required: bool
) -> None:
    """Require keys by the section alone: an empty one admits nobody."""
    documents = {"desk": {"services": {}}, "lending": document}
    assert read_organisations(documents, SECRET).required == required


def test_lookup_depends_on_the_secret() -> None:
    """Store no digest that could be computed without the process's secret."""
    digests = set()
    for _ in range(2):
        organisations = Organisations(secrets.token_bytes(32))
        digests.add(organisations._digest(KEY.encode()))
    assert len(digests) == 2


def test_unknown_keys_take_no_memory() -> None:
    """Keep nothing of unknown keys, long ones and those of any bytes."""
    documents = {"lending": build_document(a={"keys": [KEY]})}
    organisations = read_organisations(documents, SECRET)
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        for number in range(20_000):
            key = bytes([number % 256]) * (number % 4096)
            assert organisations.find(key + number.to_bytes(4)) is None
        after, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert after - before < MEMORY_BYTES
    assert peak - before < MEMORY_BYTES
    assert find_name(organisations, KEY.encode()) == "a"


def test_masked_documents_hold_no_key() -> None:
    """Show operators which key changed and never the key."""
    document = build_document(a={"keys": [KEY, "other"], "burst": 2}, b={})
    masked = mask_document(document)
    assert KEY not in str(masked)
    assert masked["organisations"]["a"]["keys"] == [
        mask_key(KEY),
        mask_key("other"),
    ]
    assert masked["organisations"]["a"]["burst"] == 2
    assert mask_key(KEY) != mask_key("other")
    assert document["organisations"]["a"]["keys"] == [KEY, "other"]
    assert mask_documents({"x": document, "y": {"services": {}}}) == {
        "x": masked,
        "y": {"services": {}},
    }


def test_removing_an_unknown_organisation_requires_no_keys() -> None:
    """Add no section by a removal: an empty one would refuse all calls."""
    patch = Patch({"organisations": {"a": None}})
    assert "organisations" not in apply_patch({"services": {}}, patch)
    present = build_document(a={})
    assert apply_patch(present, patch)["organisations"] == {}
    added = Patch({"organisations": {"a": {}}})
    assert apply_patch({"services": {}}, added)["organisations"] == {"a": {}}
