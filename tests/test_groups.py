"""Test how a control replica finds the group that it belongs to."""

import asyncio
from typing import Any
from typing import cast

from nutmegchute_core.formations import Introduction
from nutmegchute_core.memberships import Member
from nutmegchute_core.memberships import Membership
from nutmegchute_daemon.groups import Group
from nutmegchute_daemon.links import Links
from nutmegchute_daemon.settings import Settings
from nutmegchute_daemon.storages import Identity
from nutmegchute_daemon.storages import Storage

OWN = "10.1.0.9:7000"
GENESIS = Membership([Member("a.1", "a", "10.1.0.1:7000")])


class FakeLinks:
    """Answer introductions by address; others stay silent for ever."""

    def __init__(self, answers: dict[str, Introduction]) -> None:
        self.answers = answers
        self.asked: list[str] = []

    def serve(self, method: Any, handler: Any) -> None:
        """Note how introductions are taken."""
        self.handler = handler

    async def send_request(
        self, address: str, method: Any, request: Introduction
    ) -> Introduction | None:
        """Give the answer of an address, or none."""
        self.asked.append(address)
        if address not in self.answers:
            await asyncio.Event().wait()
        return self.answers[address]


class FakeStorage:
    """Keep an identity in memory."""

    def save_identity(self, identity: Identity) -> None:
        """Keep it."""
        self.identity = identity


def settings(*seeds: str) -> Settings:
    """Build the settings of a replica that knows these addresses."""
    values = {
        "name": "d",
        "role": "control",
        "availability_zone": "surco",
        "http_address": "10.1.0.9:80",
        "grpc_address": OWN,
        "data_folder": "/nowhere",
        "seeds": list(seeds),
    }
    return Settings(values)


def introduction(name: str, leader: str = "") -> Introduction:
    """Build what a member of the group says."""
    member = Member(f"{name}.1", name, f"10.1.0.{ord(name) - 96}:7000")
    return Introduction(member, "group", GENESIS, leader)


def group(links: FakeLinks, *seeds: str) -> Group:
    """Build the group of a replica with an empty disk."""
    return Group(
        settings(*seeds),
        cast(Links, links),
        cast(Storage, FakeStorage()),
        Identity("d.1", founding=False),
        lambda: None,
    )


def test_answer_does_not_wait_for_a_replica_without_power() -> None:
    """Join as soon as one answers; another of the list has no power."""

    async def run() -> None:
        links = FakeLinks({"10.1.0.2:7000": introduction("b")})
        one = group(links, "10.1.0.1:7000", "10.1.0.2:7000")
        async with asyncio.timeout(5.0):
            await one.form()
        assert one.group == "group"

    asyncio.run(run())


def test_leader_is_asked_where_a_follower_names_it() -> None:
    """Introduce oneself to the leader, which no setting names.

    It alone takes members in. Its own answer refers no further: two that
    take each other for the leader would do so without end.
    """

    async def run() -> None:
        links = FakeLinks(
            {
                "10.1.0.2:7000": introduction("b", "10.1.0.3:7000"),
                "10.1.0.3:7000": introduction("c", "10.1.0.4:7000"),
            }
        )
        await group(links, "10.1.0.2:7000").introduce()
        assert links.asked == ["10.1.0.2:7000", "10.1.0.3:7000"]

    asyncio.run(run())


def test_members_of_the_log_are_asked_as_well() -> None:
    """Ask those that the own log knows; all listed ones may be gone."""

    async def run() -> None:
        links = FakeLinks({})
        one = group(links, "10.1.0.1:7000")
        await one.introduce([Member("d.1", "d", OWN), *GENESIS.members])
        await one.introduce([Member("e.1", "e", "10.1.0.5:7000")])
        assert links.asked == ["10.1.0.1:7000", "10.1.0.5:7000"]

    asyncio.run(run())


def test_member_that_introduces_itself_shows_the_way() -> None:
    """Ask the leader that a member names which called by itself.

    The replica has lost its disk, and all that its settings list have been
    replaced since: nobody else can tell it where the group is.
    """

    async def run() -> None:
        links = FakeLinks({"10.1.0.3:7000": introduction("c")})
        one = group(links, "10.1.0.1:7000")
        await links.handler(introduction("b", "10.1.0.3:7000"))
        await one.form()
        await one.introduce()
        assert "10.1.0.3:7000" in links.asked

    asyncio.run(run())


def test_member_without_a_leader_shows_the_way_as_well() -> None:
    """Ask the member itself that called while no replica led."""

    async def run() -> None:
        links = FakeLinks({"10.1.0.2:7000": introduction("b")})
        one = group(links, "10.1.0.1:7000")
        await links.handler(introduction("b"))
        await one.form()
        await one.introduce()
        assert "10.1.0.2:7000" in links.asked

    asyncio.run(run())


def test_listed_replicas_are_read_again() -> None:
    """Ask the replicas of the settings in force, not those of the start.

    The listed replicas were replaced while this one waits to be taken in.
    Asking the old ones for ever, it would never be heard of.
    """

    async def run() -> None:
        links = FakeLinks({})
        one = group(links, "10.1.0.1:7000")
        one.reload(settings("10.1.0.6:7000"))
        await one.introduce()
        assert links.asked == ["10.1.0.6:7000"]

    asyncio.run(run())
