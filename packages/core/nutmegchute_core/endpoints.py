"""Hold what one entry knows of one endpoint, and how old that is."""

from collections import deque
from math import exp
from math import inf

from .members import Announcement
from .members import DRAINING

# An endpoint is judged by its last few answers; older ones fade.
LATENCY_WEIGHT = 0.3
LATENCY_KEPT_S = 2.0

# What neighbours do to a vm lasts a tenth of a second or two.
STRETCH_KEPT_S = 0.1

EJECT_AFTER = 3
FIRST_EJECTION_S = 0.5
MAX_EJECTION_S = 8.0

# One that takes no connection is left alone for so long, doubled each time.
MUTE_FIRST_S = 0.25
MUTE_MOST_S = 2.0

WARM_UP_S = 2.0
COLD_FACTOR = 3.0
# Sends that are remembered to pace those to a cold endpoint.
PACED_SENDS = 32


class Endpoint:
    """Count own calls in flight and remember reports and failures."""

    __slots__ = (
        "_announcement",
        "_ejections",
        "_failures",
        "_heard_at",
        "_latency_at",
        "_muted_until",
        "_mutes",
        "_others",
        "_stretch",
        "_sent_at",
        "answered_probe",
        "cold_until",
        "ejected_until",
        "evacuated",
        "in_flight",
        "joined_at",
        "latency_s",
        "local",
        "probed_at",
        "slots",
        "stalled",
        "stalled_at",
    )

    def __init__(
        self, announcement: Announcement, local: bool, joined_at: float | None
    ) -> None:
        self._announcement = announcement
        self.latency_s = 0.0
        self._latency_at = 0.0
        self._others = 0.0
        self._stretch = 1.0
        self._heard_at: float | None = None
        self._failures = 0
        self._ejections = 0
        self._mutes = 0
        self._muted_until = -inf
        self.ejected_until = 0.0
        self.in_flight = 0
        self.joined_at = joined_at
        self.local = local
        self.slots = announcement.slots
        self.stalled = 0
        self.stalled_at = 0.0
        self.probed_at = 0.0
        self.answered_probe = False
        # Until when it is slow after its start, as it tells itself.
        self.cold_until = -inf
        self._sent_at: deque[float] = deque(maxlen=PACED_SENDS)
        # Whether its availability zone is evacuated.
        self.evacuated = False

    @property
    def announcement(self) -> Announcement:
        """Give the endpoint's newest announcement."""
        return self._announcement

    @announcement.setter
    def announcement(self, announcement: Announcement) -> None:
        self._announcement = announcement
        self.slots = announcement.slots

    @property
    def address(self) -> str:
        """Give the endpoint's address."""
        return self._announcement.endpoint

    @property
    def zone(self) -> str:
        """Name the endpoint's availability zone."""
        return self._announcement.availability_zone

    @property
    def draining(self) -> bool:
        """Tell whether the endpoint is leaving."""
        return self._announcement.state == DRAINING

    @property
    def accepts_calls(self) -> bool:
        """Tell whether calls may be sent there at all."""
        return not (self.draining or self.evacuated)

    def load_basis(self, now: float) -> dict[str, float]:
        """Give own calls, the reported load and stretch and their age."""
        found = {"own": float(self.in_flight)}
        if self._heard_at is not None:
            found["others"] = self._others
            found["stretch"] = self._stretch
            found["age_ms"] = round((now - self._heard_at) * 1000, 1)
        return found

    def estimate_others(self, mean: float, keep_s: float, now: float) -> float:
        """Estimate the calls that other entries have there.

        The report counts fully when new and gives way to the mean over
        all endpoints as it ages; ``keep_s`` is the age of half weight.
        """
        if self._heard_at is None:
            return mean
        weight = keep_s / (keep_s + now - self._heard_at)
        return mean + (self._others - mean) * weight

    def estimate_latency(self, mean_s: float, now: float) -> float:
        """Estimate an answer's time, in seconds; old news fade."""
        age_s = now - self._latency_at
        weight = LATENCY_KEPT_S / (LATENCY_KEPT_S + age_s)
        return mean_s + (self.latency_s - mean_s) * weight

    def is_cold(self, now: float) -> bool:
        """Tell whether the endpoint says that it is cold."""
        return now < self.cold_until

    def count_send(self, now: float) -> None:
        """Count a call that is sent there."""
        self.in_flight += 1
        self._sent_at.append(now)

    def sent_within(self, span_s: float, now: float) -> int:
        """Count the calls sent lately or still under way."""
        sent = 0
        for at in reversed(self._sent_at):
            if now - at > span_s:
                break
            sent += 1
        return max(sent, self.in_flight)

    def warm_up_factor(self, now: float) -> float:
        """Give by how much a newcomer is held to be slower."""
        if self.joined_at is None:
            return 1.0
        age_s = now - self.joined_at
        if age_s >= WARM_UP_S:
            self.joined_at = None
            return 1.0
        return 1.0 + (COLD_FACTOR - 1.0) * (1.0 - age_s / WARM_UP_S)

    @property
    def stretch(self) -> float:
        """Give how much longer than usual work took at the last report."""
        return self._stretch

    def report_age_s(self, now: float) -> float | None:
        """Give the age of the last report, in seconds, if there is one."""
        if self._heard_at is None:
            return None
        return now - self._heard_at

    def estimate_stretch(self, mean: float, now: float) -> float:
        """Estimate how much longer than usual work takes that begins now.

        A report gives way to the mean over all endpoints as it ages.
        """
        if self._heard_at is None:
            return mean
        weight = exp((self._heard_at - now) / STRETCH_KEPT_S)
        return mean + (self._stretch - mean) * weight

    @property
    def reported_others(self) -> float:
        """Give the calls of other entries in the last report."""
        return self._others

    @property
    def spare_slots(self) -> float:
        """Give the slots that nobody uses, by the last report."""
        return self.slots - self.in_flight - self._others

    def record_load(
        self, load: int, now: float, stretch: float | None = None
    ) -> None:
        """Take a load report."""
        self._stretch = 1.0 if stretch is None else stretch
        self._mutes = 0
        self._muted_until = -inf
        self._others = float(max(0, load - self.in_flight))
        self._heard_at = now

    def record_latency(self, latency_s: float, now: float) -> None:
        """Take the time an answer took, in seconds."""
        self._latency_at = now
        if self.latency_s == 0.0:
            self.latency_s = latency_s
            return
        self.latency_s += LATENCY_WEIGHT * (latency_s - self.latency_s)

    def record_late(self, elapsed_s: float, now: float) -> None:
        """Take word of an answer that is still out after so long."""
        if elapsed_s > self.latency_s:
            self.record_latency(elapsed_s, now)

    def mark_unreachable(self, now: float) -> None:
        """Take word that the endpoint does not even take a connection.

        A dark endpoint stays announced for seconds. Asked or tried by every
        call meanwhile, it would cost each a connection's timeout.
        """
        pause_s = MUTE_FIRST_S * 2**self._mutes
        self._muted_until = now + min(MUTE_MOST_S, pause_s)
        self._mutes = min(self._mutes + 1, 16)

    def is_unreachable(self, now: float) -> bool:
        """Tell whether the endpoint is to be left alone for now."""
        return now < self._muted_until

    def record_success(self) -> None:
        """Forget failures; the endpoint answers."""
        self._failures = 0
        self._ejections = 0
        self._mutes = 0
        self._muted_until = -inf
        self.ejected_until = 0.0
        self.stalled = 0

    def record_failure(self, now: float) -> bool:
        """Count a failure; return whether it ejects the endpoint."""
        self._failures += 1
        self.answered_probe = False
        if self._failures < EJECT_AFTER and not self._ejections:
            return False
        # A trial that fails ejects again at once, for twice as long.
        pause_s = FIRST_EJECTION_S * 2**self._ejections
        self.ejected_until = now + min(MAX_EJECTION_S, pause_s)
        self._ejections = min(self._ejections + 1, 16)
        self._failures = 0
        return True
