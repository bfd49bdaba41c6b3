"""Test how a control replica finds its group."""

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
    """Answer introductions by address; other addresses never respond."""

    def __init__(self, answers: dict[str, Introduction]) -> None:
        self.answers = answers
        self.requested: list[str] = []

    def serve(self, method: Any, handler: Any) -> None:
        """Store the handler of introductions."""
        self.handler = handler

    async def send_request(
        self, address: str, method: Any, request: Introduction
    ) -> Introduction | None:
        """Return the answer of an address, or wait for ever."""
        self.requested.append(address)
        if address not in self.answers:
            await asyncio.Event().wait()
        return self.answers[address]


class FakeStorage:
    """Hold an identity in memory."""

    def save_identity(self, identity: Identity) -> None:
        """Store the identity."""
        self.identity = identity


def settings(*seeds: str) -> Settings:
    """Build the settings of a replica that lists these addresses."""
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
    """Build the introduction of a member of the group."""
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


def test_joining_does_not_wait_for_an_unresponsive_replica() -> None:
    """A replica joins once one listed replica answers; one has no power."""

    async def run() -> None:
        links = FakeLinks({"10.1.0.2:7000": introduction("b")})
        one = group(links, "10.1.0.1:7000", "10.1.0.2:7000")
        async with asyncio.timeout(5.0):
            await one.form()
        assert one.group == "group"

    asyncio.run(run())


def test_replica_introduces_itself_to_the_reported_leader() -> None:
    """A replica contacts the leader that a listed follower reports.

    Only the leader admits members. A referral in the leader's own answer is
    not followed: two replicas that take each other for the leader would
    refer to each other without end.
    """

    async def run() -> None:
        links = FakeLinks(
            {
                "10.1.0.2:7000": introduction("b", "10.1.0.3:7000"),
                "10.1.0.3:7000": introduction("c", "10.1.0.4:7000"),
            }
        )
        await group(links, "10.1.0.2:7000").introduce()
        assert links.requested == ["10.1.0.2:7000", "10.1.0.3:7000"]

    asyncio.run(run())


def test_replica_introduces_itself_to_the_members_in_its_log() -> None:
    """Contact the log's members too: listed ones may have been replaced."""

    async def run() -> None:
        links = FakeLinks({})
        one = group(links, "10.1.0.1:7000")
        await one.introduce([Member("d.1", "d", OWN), *GENESIS.members])
        await one.introduce([Member("e.1", "e", "10.1.0.5:7000")])
        assert links.requested == ["10.1.0.1:7000", "10.1.0.5:7000"]

    asyncio.run(run())


def test_replica_uses_the_leader_reported_by_a_member() -> None:
    """An introduction received from a member leads to the leader.

    The replica has lost its disk, and the replicas listed in its settings
    have all been replaced, so that it can't find the group otherwise.
    """

    async def run() -> None:
        links = FakeLinks({"10.1.0.3:7000": introduction("c")})
        one = group(links, "10.1.0.1:7000")
        await links.handler(introduction("b", "10.1.0.3:7000"))
        await one.form()
        await one.introduce()
        assert "10.1.0.3:7000" in links.requested

    asyncio.run(run())


def test_replica_uses_the_address_of_a_member_without_a_leader() -> None:
    """A member that knows no leader is contacted itself."""

    async def run() -> None:
        links = FakeLinks({"10.1.0.2:7000": introduction("b")})
        one = group(links, "10.1.0.1:7000")
        await links.handler(introduction("b"))
        await one.form()
        await one.introduce()
        assert "10.1.0.2:7000" in links.requested

    asyncio.run(run())


def test_replica_introduces_itself_to_newly_listed_replicas() -> None:
    """A replica uses the settings in force, not those of its start.

    If the listed replicas are replaced while it waits to join, it would
    otherwise contact the old ones for ever and never be admitted.
    """

    async def run() -> None:
        links = FakeLinks({})
        one = group(links, "10.1.0.1:7000")
        one.reload(settings("10.1.0.6:7000"))
        await one.introduce()
        assert links.requested == ["10.1.0.6:7000"]

    asyncio.run(run())
