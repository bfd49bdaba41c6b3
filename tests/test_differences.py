"""Test that a plan shows a difference exactly where there is one."""

from typing import Any

from hypothesis import example
from hypothesis import given
from hypothesis import strategies as st
from nutmegchute_cli.differences import ADDED
from nutmegchute_cli.differences import compare
from nutmegchute_cli.differences import REMOVED

leaves = (
    st.none() | st.booleans() | st.integers(0, 3) | st.text("ab", max_size=2)
)
names = st.sampled_from(["x", "y", "z"])
rules = st.lists(
    st.fixed_dictionaries({"name": names, "deadline_ms": st.integers(1, 3)}),
    max_size=3,
)
documents = st.dictionaries(
    names, leaves | rules | st.dictionaries(names, leaves), max_size=3
)


@example(before={"x": {"y": True}}, after={"x": {"y": 1}})
@given(before=documents, after=documents)
def test_differences_appear_where_documents_differ(
    before: dict[str, Any], after: dict[str, Any]
) -> None:
    """Find no difference in equal documents and some in all others.

    If a plan missed a difference, even in the order of two rules, an operator
    would apply a change without having seen it.
    """
    found = compare(before, after)
    assert (not found) == _same(before, after)
    back = compare(after, before)
    swapped = {ADDED: REMOVED, REMOVED: ADDED}
    assert sorted((swapped.get(d.kind, d.kind), d.place) for d in found) == (
        sorted((d.kind, d.place) for d in back)
    )


def _same(before: Any, after: Any) -> bool:
    """Compare as JSON does: true and 1 are not the same."""
    return repr(_sorted(before)) == repr(_sorted(after))


def _sorted(value: Any) -> Any:
    if isinstance(value, dict):
        return [(key, _sorted(value[key])) for key in sorted(value)]
    if isinstance(value, list):
        return [_sorted(one) for one in value]
    return value
