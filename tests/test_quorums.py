"""Test that the logs show which replicas vote and why there is no leader."""

from collections.abc import Iterator

import pytest
from nutmegchute_core.logs import Log
from nutmegchute_core.memberships import Member
from nutmegchute_core.memberships import Membership
from nutmegchute_core.messages import HardState
from nutmegchute_core.messages import Snapshot
from nutmegchute_core.messages import VoteReply
from nutmegchute_core.replicas import Replica
from nutmegchute_core.replicas import WITHOUT_CONTACT
from nutmegchute_daemon import quorums
from nutmegchute_daemon.events import Event
from nutmegchute_daemon.quorums import LEADERLESS_S
from nutmegchute_daemon.quorums import QuorumReport

MEMBERS = Membership(
    [Member(f"{name}.1", name) for name in "abcd"]
    + [Member("e.1", "e", voter=False)]
)

Lines = list[tuple[Event, dict[str, object]]]


@pytest.fixture
def lines(monkeypatch: pytest.MonkeyPatch) -> Iterator[Lines]:
    """Collect what is logged."""
    found: Lines = []

    def log(event: Event, level: str = "info", **fields: object) -> None:
        found.append((event, fields))

    monkeypatch.setattr(quorums, "log", log)
    yield found


def build_replica() -> Replica:
    """Build replica "a" of a group of four voters and a learner."""
    log = Log(Snapshot(membership=MEMBERS), [])
    return Replica("a.1", HardState(3, None), log, 0.0, 1)


def test_voters_are_logged_once(lines: Lines) -> None:
    """The voters are logged after a start and when they change."""
    report = QuorumReport(0.0)
    report.update(build_replica(), 0.1)
    report.update(build_replica(), 0.2)
    assert lines == [
        (
            Event.STATE_OUTDATED,
            {
                "reason": WITHOUT_CONTACT,
                "state": "follower",
                "term": 3,
                "committed": 0,
                "last_index": 0,
            },
        ),
        (
            Event.VOTERS_CHANGED,
            {
                "voters": ["a", "b", "c", "d"],
                "learners": ["e"],
                "majority": 3,
                "index": 0,
            },
        ),
    ]


def test_missing_votes_are_logged(lines: Lines) -> None:
    """A candidate without a quorum logs the voters and the granted votes.

    Otherwise its log would not show whether the others refuse, are
    unreachable, or are no voters.
    """
    one = build_replica()
    one.tick(1.0)
    one.receive(VoteReply("b.1", "a.1", 4, True, True), 1.0)
    report = QuorumReport(0.0)
    report.update(one, 1.0)
    report.update(one, LEADERLESS_S)
    report.update(one, LEADERLESS_S + 0.5)
    logged = [fields for event, fields in lines if event is Event.LEADERLESS]
    assert logged == [
        {
            "voters": ["a", "b", "c", "d"],
            "granted": ["a", "b"],
            "majority": 3,
            "term": 3,
            "last_index": 0,
        }
    ]
