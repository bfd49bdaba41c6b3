"""Choose, on an entry, the control replica that it watches."""

import xxhash

from .sessions import ReplicaInfo

# How long a replica that did not reply, or is out of contact with the others,
# is avoided while another can be watched. A replica restarts within a second;
# retries of 60 entries at this interval cost it 30 requests a second.
AVOID_S = 2.0


class ReplicaChooser:
    """Order the replicas and back off from those that fail.

    Replicas of the entry's availability zone come first: traffic between
    zones is expensive. The entries of a zone spread over the replicas by a
    hash of their names.

    The zones of seeds are unknown. Seeds that share the longest address
    prefix with the entry's ``own`` come first, as networks usually assign
    such addresses within a zone. Where they do not, an entry sends one more
    request at its start.
    """

    __slots__ = (
        "_active",
        "_avoided_until",
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
        self._avoided_until: dict[str, float] = {}
        self._active: str | None = None

    @property
    def active(self) -> str | None:
        """Return the replica that last replied while in contact, if any."""
        return self._active

    @property
    def addresses(self) -> list[str]:
        """Return the replicas in order of preference."""
        zones = {one.address: one.availability_zone for one in self._known}
        if not zones:
            return sorted(
                self._seeds,
                key=lambda one: (-self._shared_prefix(one), self._rank(one)),
            )
        return sorted(
            zones,
            key=lambda one: (zones[one] != self._zone, self._rank(one)),
        )

    def set_seeds(self, seeds: list[str]) -> None:
        """Replace the seeds by those of changed settings."""
        self._seeds = seeds
        # All known replicas may be gone by now; the seeds have the new ones.
        known = {one.address for one in self._known}
        for address in seeds:
            if self._known and address not in known:
                self._known.append(ReplicaInfo(address, ""))

    def update(self, replicas: list[ReplicaInfo]) -> None:
        """Replace the replicas by the present members of the group."""
        self._known = replicas
        if self._active not in self.addresses:
            self._active = None
        for address in list(self._avoided_until):
            if address not in self.addresses:
                del self._avoided_until[address]

    def choose(self, now: float) -> str:
        """Return the replica to send the next request to.

        A replica other than the active one is returned if it precedes that
        one or none is active. It is probed without a hold and becomes active
        if it is in contact.
        """
        best: str | None = None
        for address in self.addresses:
            if address == self._active:
                return address
            until = self._avoided_until.get(address, 0.0)
            if until <= now:
                return address
            if best is None or until < self._avoided_until[best]:
                best = address
        assert best is not None
        return best

    def record_answer(self, address: str, current: bool, now: float) -> None:
        """Record a reply; ``current`` says that the replica is in contact."""
        if current:
            self._avoided_until.pop(address, None)
            self._active = address
            return
        self._back_off(address, now)

    def record_failure(self, address: str, now: float) -> None:
        """Record that a replica did not reply."""
        self._back_off(address, now)

    def _back_off(self, address: str, now: float) -> None:
        self._avoided_until[address] = now + AVOID_S
        if self._active == address:
            self._active = None

    def _shared_prefix(self, address: str) -> int:
        """Count the leading address parts shared with the own address."""
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
