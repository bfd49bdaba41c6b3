"""Describe the members of a group of control replicas."""

import msgspec
import xxhash

from .errors import ReconfigurationError


class Member(msgspec.Struct, frozen=True):
    """Identify a replica by its data folder, name and addresses.

    The identity is created with the data folder, so a replica that lost its
    disk returns under a new one: under the old one it could contradict votes
    and acknowledgements that were lost with the disk.
    """

    identity: str
    name: str
    grpc_address: str = ""
    http_address: str = ""
    voter: bool = True
    availability_zone: str = ""


class Membership(msgspec.Struct, frozen=True):
    """Hold the members of a group: voters and learners."""

    members: list[Member] = []

    @property
    def voters(self) -> list[str]:
        """Return the identities of the voters."""
        return [one.identity for one in self.members if one.voter]

    @property
    def learners(self) -> list[str]:
        """Return the identities of the learners."""
        return [one.identity for one in self.members if not one.voter]

    @property
    def quorum(self) -> int:
        """Return the size of a majority of the voters."""
        return len(self.voters) // 2 + 1

    def find(self, identity: str | None) -> Member | None:
        """Return the member with an identity, if any."""
        for member in self.members:
            if member.identity == identity:
                return member
        return None

    def named(self, name: str) -> Member | None:
        """Return the member with a name, if any."""
        for member in self.members:
            if member.name == name:
                return member
        return None

    def with_learner(self, member: Member, replaces: str) -> "Membership":
        """Return a membership where a learner replaces a named member.

        The set of voters changes by one at most.
        """
        learner = msgspec.structs.replace(member, voter=False)
        return Membership([*self.without(replaces).members, learner])

    def without(self, name: str) -> "Membership":
        """Return a membership without the member of a name."""
        return Membership([one for one in self.members if one.name != name])

    def promoted(self, identity: str) -> "Membership":
        """Return a membership where a learner becomes a voter."""
        return self._with_vote(identity, True)

    def demoted(self, identity: str) -> "Membership":
        """Return a membership where a voter becomes a learner."""
        return self._with_vote(identity, False)

    def describe_votes(self, before: "Membership") -> str:
        """Describe the differences in voters for the audit trail."""
        changed = set(before.voters) ^ set(self.voters)
        words = []
        for member in self.members:
            if member.identity not in changed:
                continue
            verb = "votes" if member.voter else "votes no more"
            words.append(f"{member.name} {verb}")
        return ", ".join(words)

    def _with_vote(self, identity: str, voter: bool) -> "Membership":
        members = []
        for member in self.members:
            if member.identity == identity:
                member = msgspec.structs.replace(member, voter=voter)
            members.append(member)
        return Membership(members)


class MembershipChange(msgspec.Struct, frozen=True):
    """Request to add, replace or remove a member."""

    action: str
    name: str
    grpc_address: str | None = None
    http_address: str | None = None
    replaces: str | None = None

    def describe(self) -> str:
        """Describe the change for the audit trail."""
        if self.replaces is None or self.replaces == self.name:
            return f"{self.action} {self.name}"
        return f"{self.action} {self.replaces} by {self.name}"

    def apply(
        self, membership: Membership, pending: dict[str, Member]
    ) -> Membership:
        """Return the membership after the change.

        :raises ReconfigurationError: the change does not fit the membership
        """
        if self.action == "remove":
            if membership.named(self.name) is None:
                raise ReconfigurationError(f"no replica is named {self.name}")
            return membership.without(self.name)
        member = self._find_pending(pending)
        replaced = self.replaces or self.name
        present = membership.named(replaced) is not None
        if self.action == "add" and present:
            raise ReconfigurationError(f"{replaced} is there; use replace")
        if self.action == "replace" and not present:
            raise ReconfigurationError(f"no replica is named {replaced}")
        if replaced != self.name and membership.named(self.name) is not None:
            raise ReconfigurationError(f"{self.name} is there already")
        return membership.with_learner(member, replaced)

    def _find_pending(self, pending: dict[str, Member]) -> Member:
        member = pending.get(self.name)
        if member is None:
            raise ReconfigurationError(
                f"{self.name} has not introduced itself lately; start it "
                "with an empty data folder and this group in its settings"
            )
        for requested, own in (
            (self.grpc_address, member.grpc_address),
            (self.http_address, member.http_address),
        ):
            if requested not in (None, own):
                raise ReconfigurationError(
                    f"{self.name} introduced itself at {own}, not {requested}"
                )
        return member


class Reconfigure(msgspec.Struct, frozen=True, tag=True):
    """Put a membership in force that changes at most one voter."""

    membership: Membership
    operator: str
    detail: str
    at_unix_s: float = 0.0


def group_id(genesis: Membership) -> str:
    """Return the group's id, a hash of its founders' identities."""
    text = ",".join(sorted(one.identity for one in genesis.members))
    return str(xxhash.xxh3_128_hexdigest(text.encode()))
