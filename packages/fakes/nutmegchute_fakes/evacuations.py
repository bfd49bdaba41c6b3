"""Evacuate availability zones in turn and find calls that ran in them."""

import threading
import time
from random import Random

from nutmegchute_cli.clients import ControlClient
from nutmegchute_cli.errors import CliError

from .clusters import OPERATOR_KEY

PATH = "/evacuations"
ORDER_TIMEOUT_S = 10.0
INTERVAL_S = (1.0, 4.0)
# Longer than MAX_EFFECT_DELAY_S, so that calls after it are checked too.
DURATION_S = (16.0, 20.0)
# An entry cut off from control uses its last update until its lease ends.
MAX_EFFECT_DELAY_S = 12.0


class EvacuationPeriod:
    """Hold when the evacuation of a zone was acknowledged and ended."""

    __slots__ = ("acknowledged_at", "ended_at", "zone")

    def __init__(self, zone: str, acknowledged_at: float) -> None:
        self.zone = zone
        self.acknowledged_at = acknowledged_at
        self.ended_at = float("inf")

    def forbids(self, zone: str, at: float) -> bool:
        """Return whether no call may run in a zone at a time."""
        in_effect_at = self.acknowledged_at + MAX_EFFECT_DELAY_S
        return zone == self.zone and in_effect_at < at < self.ended_at


class Evacuator:
    """Evacuate zones chosen at random, one at a time."""

    def __init__(
        self, controls: list[str], zones: list[str], random: Random
    ) -> None:
        self._client = ControlClient(controls, OPERATOR_KEY)
        self._zones = zones
        self._random = random
        self._stopping = threading.Event()
        self.periods: list[EvacuationPeriod] = []

    def run(self, seconds: float) -> None:
        """Evacuate zones for some seconds; none is evacuated on return."""
        until = time.monotonic() + seconds
        while not self._stopping.wait(self._random.uniform(*INTERVAL_S)):
            if time.monotonic() >= until:
                return
            zone = self._random.choice(self._zones)
            if self._order(zone, True):
                print(f"evacuated {zone}", flush=True)
                period = EvacuationPeriod(zone, time.time())
                self.periods.append(period)
                self._stopping.wait(self._random.uniform(*DURATION_S))
                period.ended_at = time.time()
            while not self._order(zone, False):
                time.sleep(1.0)

    def _order(self, zone: str, evacuate: bool) -> bool:
        body = {"availability_zone": zone, "evacuate": evacuate}
        try:
            self._client.post(PATH, body, ORDER_TIMEOUT_S)
        except CliError as error:
            # With no leader or a lost answer the order may be in force or not.
            print(f"evacuation of {zone}: {error}", flush=True)
            return False
        return True


def find_forbidden_runs(
    periods: list[EvacuationPeriod], runs: list[tuple[str, float, str]]
) -> list[str]:
    """Return the names of calls that ran in an evacuated zone.

    ``runs`` holds the zone, the time and the name of each call.
    """
    found = []
    for zone, at, name in runs:
        if any(period.forbids(zone, at) for period in periods):
            found.append(name)
    return found
