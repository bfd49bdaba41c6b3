"""Test what a control replica knows of the others."""

import msgspec
from nutmegchute_core.discovery import Discovery
from nutmegchute_core.peers import LIVE_S
from nutmegchute_core.peers import PeerReply
from nutmegchute_core.peers import SILENT_S

OWN = "10.1.0.1:7000"
OTHERS = ["10.1.0.2:7000", "10.1.0.3:7000", "10.1.0.4:7000"]


def reply() -> PeerReply:
    """Build an answer that tells nothing new."""
    return PeerReply(1, None, 0, [], 0.0, 0)


def start() -> Discovery:
    """Start a replica that knows of three others."""
    discovery = Discovery(OWN, 1, 0.0)
    discovery.peers.update(OTHERS, 0.0)
    return discovery


def test_replica_that_is_gone_is_not_waited_for() -> None:
    """Answer routers where two of four replicas are gone for good.

    One was replaced and is still listed, another one has lost its disk;
    the two that are left agree. They told routers for ever that they might
    lack what most know, and every call was refused.
    """
    discovery = start()
    discovery.take(OTHERS[0], reply(), 0.1)
    assert not discovery.caught_up(0.2)
    now = SILENT_S + 0.2
    discovery.take(OTHERS[0], reply(), now)
    assert discovery.caught_up(now)


def test_replica_that_another_one_hears_is_waited_for() -> None:
    """Count a replica that is cut off from this one alone."""
    discovery = start()
    now = SILENT_S + LIVE_S
    question = discovery.question(OTHERS[0], 1.0, 0.0)
    heard = msgspec.structs.replace(
        question, replica=OTHERS[0], hears=OTHERS[1:]
    )
    discovery.peers.hear(heard, now)
    discovery.take(OTHERS[0], reply(), now)
    assert not discovery.caught_up(now)
