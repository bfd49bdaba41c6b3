"""Test how a control replica tracks the others."""

import msgspec
from nutmegchute_core.discovery import Discovery
from nutmegchute_core.peers import GONE_AFTER_S
from nutmegchute_core.peers import PeerReply
from nutmegchute_core.peers import REACHABLE_S

OWN = "10.1.0.1:7000"
OTHERS = ["10.1.0.2:7000", "10.1.0.3:7000", "10.1.0.4:7000"]


def build_reply() -> PeerReply:
    """Build a reply without changes."""
    return PeerReply(1, None, 0, [], 0.0, 0)


def build_discovery() -> Discovery:
    """Build the discovery of a replica with three peers."""
    discovery = Discovery(OWN, 1, 0.0)
    discovery.peers.update(OTHERS, 0.0)
    return discovery


def test_replica_that_is_gone_is_not_waited_for() -> None:
    """Serve entries while two of four replicas are gone for good.

    One was replaced and is still listed, another has lost its disk; the two
    that remain agree. If they waited for the others, their replies
    would stay marked as stale for ever, and every call would be refused.
    """
    discovery = build_discovery()
    discovery.apply_reply(OTHERS[0], build_reply(), 0.1)
    assert not discovery.is_caught_up(0.2)
    now = GONE_AFTER_S + 0.2
    discovery.apply_reply(OTHERS[0], build_reply(), now)
    assert discovery.is_caught_up(now)


def test_replica_that_is_reachable_by_another_is_waited_for() -> None:
    """Count a replica that is unreachable from this one alone."""
    discovery = build_discovery()
    now = GONE_AFTER_S + REACHABLE_S
    request = discovery.build_request(OTHERS[0], 1.0, 0.0)
    relayed = msgspec.structs.replace(
        request, replica=OTHERS[0], reachable=OTHERS[1:]
    )
    discovery.peers.record_request(relayed, now)
    discovery.apply_reply(OTHERS[0], build_reply(), now)
    assert not discovery.is_caught_up(now)
