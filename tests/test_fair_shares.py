"""Test the order of waiting calls of organisations."""

from nutmegchute_core.balancers import Balancer
from nutmegchute_core.calls import Action
from nutmegchute_core.calls import Refuse
from nutmegchute_core.fair_shares import FairShares
from nutmegchute_core.organisations import Organisation
from nutmegchute_core.queues import Place
from nutmegchute_core.queues import WaitQueue
from nutmegchute_core.rules import read_services
from support import announcement
from support import rule

LOUD = Organisation("loud", {"rate_per_s": 10})
QUIET = Organisation("quiet", {"rate_per_s": 10})


def push(
    queue: WaitQueue,
    call_id: int,
    organisation: Organisation,
    arrived_at: float = 0.0,
    tried_at: float | None = None,
    sent: bool = False,
) -> None:
    """Add an interactive call that is never late."""
    first_at = arrived_at if tried_at is None else tried_at
    place = Place(organisation, "lookup", first_at, sent)
    queue.push(call_id, "interactive", arrived_at, place=place)


def pop(queue: WaitQueue, organisation: Organisation, now: float) -> int:
    """Send the next call, which must be of the organisation."""
    call_id = queue.peek(now)
    assert call_id is not None and queue.remove(call_id)
    queue.record_send(organisation, "lookup", 0.1, now)
    return call_id


def test_quiet_call_waits_for_one_call_of_a_backlog() -> None:
    """A quiet organisation's call waits for all that a loud one sent first."""
    queue = WaitQueue()
    for call_id in range(10):
        push(queue, call_id, LOUD, arrived_at=0.1 * call_id)
    assert queue.count_ahead("interactive", organisation=QUIET) == 1
    push(queue, 10, QUIET, arrived_at=1.0)
    assert pop(queue, LOUD, 1.0) == 0
    assert pop(queue, QUIET, 1.0) == 10


def test_weights_are_the_quotas() -> None:
    """An organisation with three times the quota gets no more than another."""
    queue = WaitQueue()
    large = Organisation("large", {"rate_per_s": 30})
    for call_id in range(40):
        push(queue, call_id, LOUD)
        push(queue, 100 + call_id, large)
    sent = 0
    for _ in range(40):
        first = queue.peek(1.0)
        owner = large if first is not None and first >= 100 else LOUD
        pop(queue, owner, 1.0)
        sent += owner is large
    assert sent == 30


def test_returning_caller_goes_first_in_its_organisation_only() -> None:
    """A caller that came back starts again behind all new calls."""
    queue = WaitQueue()
    push(queue, 1, LOUD, arrived_at=1.0)
    push(queue, 2, LOUD, arrived_at=1.2, tried_at=0.1)
    push(queue, 3, QUIET, arrived_at=1.1)
    assert queue.peek(1.2) == 3
    assert queue.remove(3)
    assert queue.peek(1.2) == 2


def test_surplus_is_an_unsent_call_of_the_loudest() -> None:
    """A full queue refuses a quiet call, or one that was sent already."""
    queue = WaitQueue()
    for call_id in range(5):
        push(queue, call_id, LOUD, float(call_id), sent=call_id == 4)
    push(queue, 5, QUIET)
    assert queue.find_surplus(QUIET, 1) == 3
    assert queue.find_surplus(LOUD, 1) is None


def test_organisations_that_are_not_ahead_are_forgotten() -> None:
    """Each organisation that ever waited takes memory for good."""
    shares = FairShares()
    shares.add(QUIET)
    for number in range(1000):
        other = Organisation(f"o{number}", {"rate_per_s": 10})
        shares.add(other)
        shares.remove(other)
        shares.record_send(other, 0.1)
        shares.record_send(QUIET, 0.1)
    assert len(shares._finish) < 10


def test_full_queue_refuses_the_loud_organisation() -> None:
    """A full queue refuses the call that arrives, whoever filled it.

    The refused call is answered at once, with its place and the priority.
    """
    balancer = Balancer(seed=1)
    service = {"rules": [rule(deadline_ms=60000)], "queue": 4}
    documents = {"a": {"services": {"catalogo": service}}}
    balancer.configure(read_services(documents), 0.0)
    balancer.update_upstreams([announcement("1:1", slots=1)], 0.0)
    actions: list[Action] = []
    for organisation in [LOUD] * 12 + [QUIET]:
        _, actions = balancer.arrive(
            "catalogo", "GET", "/", 0.0, organisation=organisation
        )
    (refuse,) = actions
    assert isinstance(refuse, Refuse)
    assert refuse.reason == "queue full"
    assert refuse.ahead == 4 and refuse.priority == 0
    assert refuse.call_id < 13


def test_share_is_known_before_any_call_is_counted() -> None:
    """Guard against a division by zero without recent calls."""
    assert WaitQueue().has_share(QUIET)
