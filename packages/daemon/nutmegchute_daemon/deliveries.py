"""Deliver replicas' messages in one batch per receiver."""

import asyncio
from collections.abc import Callable

from nutmegchute_core.memberships import Member
from nutmegchute_core.messages import Delivery
from nutmegchute_core.messages import Message

from .events import Event
from .events import log
from .links import Links
from .links import Method

DELIVER = Method("Replication", "Deliver", Delivery, Delivery)

TIMEOUT_S = 0.5

FindMember = Callable[[str], Member | None]
Receive = Callable[[list[Message]], None]
IntroduceTo = Callable[[str], None]


class Deliveries:
    """Send batches, pass the replies on and log unreachable replicas.

    ``introduce_to`` is called with the address of a member whose reply names
    no group: a replica with another identity runs there.
    """

    __slots__ = (
        "_find_member",
        "_introduce_to",
        "_links",
        "_receive",
        "_tasks",
        "_unreachable",
    )

    def __init__(
        self,
        links: Links,
        find_member: FindMember,
        receive: Receive,
        introduce_to: IntroduceTo,
    ) -> None:
        self._links = links
        self._introduce_to = introduce_to
        self._find_member = find_member
        self._receive = receive
        self._unreachable: set[str] = set()
        # The event loop keeps only weak references to tasks.
        self._tasks: set[asyncio.Task[None]] = set()

    def send(self, group: str, messages: list[Message]) -> None:
        """Send messages to their target replicas."""
        for target, batch in _by_target(messages).items():
            member = self._find_member(target)
            if member is None:
                continue
            delivery = Delivery(group, batch)
            task = asyncio.create_task(self._deliver(member, delivery))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _deliver(self, member: Member, delivery: Delivery) -> None:
        reply = await self._links.send_request(
            member.grpc_address, DELIVER, delivery, TIMEOUT_S
        )
        if reply is None:
            self._links.drop(member.grpc_address)
            if member.name not in self._unreachable:
                self._unreachable.add(member.name)
                log(Event.PEER_UNREACHABLE, "warning", replica=member.name)
            return
        if member.name in self._unreachable:
            self._unreachable.discard(member.name)
            log(Event.PEER_REACHED, replica=member.name)
        if not reply.group:
            self._introduce_to(member.grpc_address)
        self._receive(reply.messages)


def _by_target(messages: list[Message]) -> dict[str, list[Message]]:
    batches: dict[str, list[Message]] = {}
    for message in messages:
        batches.setdefault(message.target, []).append(message)
    return batches
