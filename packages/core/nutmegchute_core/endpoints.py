"""Keep an entry's observations of one endpoint, with their age."""

from collections import deque
from math import exp
from math import inf

from .members import Announcement
from .members import DRAINING

# Weight of a new answer in the moving average of the latency, and the age at
# which that average counts half against the mean over all endpoints.
LATENCY_WEIGHT = 0.3
LATENCY_HALF_AGE_S = 2.0

# Decay time of a reported stretch: interference by neighbouring vms lasts 0.1
# to 0.2 s.
STRETCH_DECAY_S = 0.1

# Successive failures that eject an endpoint, and the pause before its first
# trial. Each failed trial doubles the pause.
EJECT_AFTER = 3
FIRST_EJECTION_S = 0.5
MAX_EJECTION_S = 8.0

# Time without calls after a failed connection, doubled with each failure.
FIRST_UNREACHABLE_S = 0.25
MAX_UNREACHABLE_S = 2.0
# Time without calls after a reset by a full endpoint that reports nothing in
# the meantime, doubled with each reset: about the time that a queue of two
# calls a slot needs.
FIRST_FULL_S = 0.5
MAX_FULL_S = 4.0

# A new endpoint counts as up to this many times slower, falling linearly to 1
# over the warm-up time.
WARM_UP_S = 2.0
COLD_FACTOR = 3.0
# Send times kept to bound the call rate to a cold endpoint.
MAX_SEND_TIMES = 32


class Endpoint:
    """Track own calls in flight, load reports, latency and failures."""

    __slots__ = (
        "_announcement",
        "_connect_failures",
        "_ejections",
        "_failures",
        "_full_resets",
        "_full_until",
        "_latency_at",
        "_others",
        "_reported_at",
        "_send_times",
        "_stretch",
        "_unreachable_until",
        "answered_probe",
        "cold_until",
        "ejected_until",
        "evacuated",
        "in_flight",
        "joined_at",
        "latency_s",
        "leaving",
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
        self._reported_at: float | None = None
        self._failures = 0
        self._ejections = 0
        self._connect_failures = 0
        self._unreachable_until = -inf
        self._full_resets = 0
        self._full_until = -inf
        self.ejected_until = 0.0
        self.in_flight = 0
        self.joined_at = joined_at
        self.local = local
        self.slots = announcement.slots
        self.stalled = 0
        self.stalled_at = 0.0
        self.probed_at = 0.0
        self.answered_probe = False
        # End of the warm-up that the endpoint itself reports.
        self.cold_until = -inf
        self._send_times: deque[float] = deque(maxlen=MAX_SEND_TIMES)
        # Whether the endpoint's availability zone is evacuated.
        self.evacuated = False
        # Whether the endpoint's answers say that it leaves.
        self.leaving = False

    @property
    def announcement(self) -> Announcement:
        """Return the endpoint's latest announcement."""
        return self._announcement

    @announcement.setter
    def announcement(self, announcement: Announcement) -> None:
        self._announcement = announcement
        self.slots = announcement.slots

    @property
    def address(self) -> str:
        """Return the endpoint's address."""
        return self._announcement.endpoint

    @property
    def zone(self) -> str:
        """Return the name of the endpoint's availability zone."""
        return self._announcement.availability_zone

    @property
    def draining(self) -> bool:
        """Return whether the endpoint is draining."""
        return self._announcement.state == DRAINING

    @property
    def accepts_calls(self) -> bool:
        """Return whether the endpoint neither leaves nor is evacuated."""
        return not (self.draining or self.leaving or self.evacuated)

    def load_basis(self, now: float) -> dict[str, float]:
        """Return own calls and the last report's load, stretch and age."""
        basis = {"own": float(self.in_flight)}
        if self._reported_at is not None:
            basis["others"] = self._others
            basis["stretch"] = self._stretch
            basis["age_ms"] = round((now - self._reported_at) * 1000, 1)
        return basis

    def estimate_others(
        self, mean: float, half_age_s: float, now: float
    ) -> float:
        """Estimate the calls in flight from other entries.

        The last report is weighted against the mean over all endpoints. Its
        weight falls with its age, to one half at ``half_age_s``.
        """
        if self._reported_at is None:
            return mean
        weight = half_age_s / (half_age_s + now - self._reported_at)
        return mean + (self._others - mean) * weight

    def estimate_latency(self, mean_s: float, now: float) -> float:
        """Estimate the latency in seconds; old answers count less."""
        age_s = now - self._latency_at
        weight = LATENCY_HALF_AGE_S / (LATENCY_HALF_AGE_S + age_s)
        return mean_s + (self.latency_s - mean_s) * weight

    def is_cold(self, now: float) -> bool:
        """Return whether the endpoint reports that it is still cold."""
        return now < self.cold_until

    def count_send(self, now: float) -> None:
        """Count a call sent to the endpoint."""
        self.in_flight += 1
        self._send_times.append(now)

    def sent_within(self, span_s: float, now: float) -> int:
        """Count the calls sent in the last ``span_s`` seconds or in flight."""
        sent = 0
        for at in reversed(self._send_times):
            if now - at > span_s:
                break
            sent += 1
        return max(sent, self.in_flight)

    def warm_up_factor(self, now: float) -> float:
        """Return the assumed slowdown of an endpoint that has just joined."""
        if self.joined_at is None:
            return 1.0
        age_s = now - self.joined_at
        if age_s >= WARM_UP_S:
            self.joined_at = None
            return 1.0
        return 1.0 + (COLD_FACTOR - 1.0) * (1.0 - age_s / WARM_UP_S)

    @property
    def stretch(self) -> float:
        """Return the reported slowdown: work time over usual work time."""
        return self._stretch

    def report_age_s(self, now: float) -> float | None:
        """Return the age of the last load report in seconds, if any."""
        if self._reported_at is None:
            return None
        return now - self._reported_at

    def estimate_stretch(self, mean: float, now: float) -> float:
        """Estimate the stretch of work that starts now.

        The last report is weighted against the mean over all endpoints, by
        its age.
        """
        if self._reported_at is None:
            return mean
        weight = exp((self._reported_at - now) / STRETCH_DECAY_S)
        return mean + (self._stretch - mean) * weight

    @property
    def reported_others(self) -> float:
        """Return the load from other entries, by the last report."""
        return self._others

    @property
    def spare_slots(self) -> float:
        """Return the unused slots, by the last report."""
        return self.slots - self.in_flight - self._others

    def record_load(
        self, load: int, now: float, stretch: float | None = None
    ) -> None:
        """Record a load report."""
        self._stretch = 1.0 if stretch is None else stretch
        self._connect_failures = 0
        self._unreachable_until = -inf
        self._others = float(max(0, load - self.in_flight))
        self._reported_at = now
        if load < self.slots:
            self._full_resets = 0
            self._full_until = -inf

    def mark_full(self, now: float) -> None:
        """Record that the endpoint reset a connection since it is full.

        Its load counts as at least all slots until it reports again.
        """
        self.record_load(self.slots + self.in_flight, now)
        pause_s = FIRST_FULL_S * 2**self._full_resets
        self._full_until = now + min(MAX_FULL_S, pause_s)
        self._full_resets = min(self._full_resets + 1, 16)

    def is_full(self, now: float) -> bool:
        """Return whether to send nothing until a report of a free slot."""
        return now < self._full_until

    def record_latency(self, latency_s: float, now: float) -> None:
        """Record the latency of an answer, in seconds."""
        self._latency_at = now
        if self.latency_s == 0.0:
            self.latency_s = latency_s
            return
        self.latency_s += LATENCY_WEIGHT * (latency_s - self.latency_s)

    def record_late(self, elapsed_s: float, now: float) -> None:
        """Record an answer that is still missing after ``elapsed_s``."""
        if elapsed_s > self.latency_s:
            self.record_latency(elapsed_s, now)

    def mark_unreachable(self, now: float) -> None:
        """Record that no connection could be opened.

        An unreachable endpoint stays announced for seconds. Until then each
        query or call sent there would wait for a connection timeout.
        """
        pause_s = FIRST_UNREACHABLE_S * 2**self._connect_failures
        self._unreachable_until = now + min(MAX_UNREACHABLE_S, pause_s)
        self._connect_failures = min(self._connect_failures + 1, 16)

    def is_unreachable(self, now: float) -> bool:
        """Return whether to avoid the endpoint after failed connections."""
        return now < self._unreachable_until

    def record_success(self) -> None:
        """Reset all failure counts; the endpoint answered."""
        self._failures = 0
        self._ejections = 0
        self._connect_failures = 0
        self._unreachable_until = -inf
        self.ejected_until = 0.0
        self.stalled = 0

    def record_failure(self, now: float) -> bool:
        """Record a failure; return whether it ejects the endpoint."""
        self._failures += 1
        self.answered_probe = False
        if self._failures < EJECT_AFTER and not self._ejections:
            return False
        # A failed trial ejects again at once, for twice as long.
        pause_s = FIRST_EJECTION_S * 2**self._ejections
        self.ejected_until = now + min(MAX_EJECTION_S, pause_s)
        self._ejections = min(self._ejections + 1, 16)
        self._failures = 0
        return True
