"""Choose, on an entry, the control replica that it asks."""

import xxhash

from .sessions import ReplicaInfo

# A replica that did not answer, or is out of contact with the others, is
# asked again after so long, if another can be asked meanwhile. A replica is
# back within a second of a restart; asked by 60 entries at this pace it has
# 30 questions a second more.
AVOID_S = 2.0


class ReplicaChooser:
    """Order the replicas and remember which are of no use now.

    Replicas of the entry's availability zone go first: a question between
    zones is dear. Entries of a zone spread over the replicas by name.

    Of the seeds no zone is known. Those whose address begins as the entry's
    ``own`` does go first: networks give neighbours such addresses. Where a
    deployment does not, it costs an entry one question more at its start.
    """

    __slots__ = (
        "_avoid",
        "_active",
        "_known",
        "_name",
        "_own",
        "_seeds",
        "_zone",
    )

    def __init__(
        self, name: str, zone: str, seeds: list[str], own: str = ""
    ) -> None:
        self._name = name
        self._own = own
        self._zone = zone
        self._seeds = seeds
        self._known: list[ReplicaInfo] = []
        self._avoid: dict[str, float] = {}
        self._active: str | None = None

    @property
    def active(self) -> str | None:
        """Give the replica that answered last and is in contact."""
        return self._active

    @property
    def addresses(self) -> list[str]:
        """List the replicas, those to ask first in front."""
        zones = {one.address: one.availability_zone for one in self._known}
        if not zones:
            return sorted(
                self._seeds,
                key=lambda one: (-self._likeness(one), self._rank(one)),
            )
        return sorted(
            zones,
            key=lambda one: (zones[one] != self._zone, self._rank(one)),
        )

    def set_seeds(self, seeds: list[str]) -> None:
        """Take other seeds, from settings that have changed."""
        self._seeds = seeds
        # Those known may all be gone by now; the seeds know the others.
        known = {one.address for one in self._known}
        for address in seeds:
            if self._known and address not in known:
                self._known.append(ReplicaInfo(address, ""))

    def update(self, replicas: list[ReplicaInfo]) -> None:
        """Take the replicas that the group consists of now."""
        self._known = replicas
        if self._active not in self.addresses:
            self._active = None
        for address in list(self._avoid):
            if address not in self.addresses:
                del self._avoid[address]

    def choose(self, now: float) -> str:
        """Return the replica to ask next.

        Where it is not the home, it is one that would be better: it is
        asked without a hold, and becomes the home if it is in contact.
        """
        best: str | None = None
        for address in self.addresses:
            if address == self._active:
                return address
            until = self._avoid.get(address, 0.0)
            if until <= now:
                return address
            if best is None or until < self._avoid[best]:
                best = address
        assert best is not None
        return best

    def record_answer(self, address: str, current: bool, now: float) -> None:
        """Take word that a replica answered, and whether in contact."""
        if current:
            self._avoid.pop(address, None)
            self._active = address
            return
        self._drop(address, now)

    def record_failure(self, address: str, now: float) -> None:
        """Take word that a replica did not answer."""
        self._drop(address, now)

    def _drop(self, address: str, now: float) -> None:
        self._avoid[address] = now + AVOID_S
        if self._active == address:
            self._active = None

    def _likeness(self, address: str) -> int:
        """Count the leading numbers that an address shares with the own."""
        shared = 0
        for one, other in zip(
            address.split("."), self._own.split("."), strict=False
        ):
            if one != other:
                break
            shared += 1
        return shared

    def _rank(self, address: str) -> int:
        return xxhash.xxh64_intdigest(f"{self._name} {address}".encode())
