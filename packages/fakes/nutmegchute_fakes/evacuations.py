"""Evacuate availability zones in turn, and judge what reaches them."""

import threading
import time
from random import Random

from nutmegchute_cli.clients import ControlClient
from nutmegchute_cli.errors import CliError

from .clusters import OPERATOR_KEY

PATH = "/evacuations"
ORDER_S = 10.0
CALM_S = (1.0, 4.0)
# Long enough for the bound to pass and calls to be judged.
LASTS_S = (16.0, 20.0)
# An entry that was out of touch acts on what it knew until its lease ends.
MAX_EFFECT_DELAY_S = 12.0


class EvacuationPeriod:
    """Hold when an evacuation was acknowledged and when taken back."""

    __slots__ = ("acknowledged_at", "ended_at", "zone")

    def __init__(self, zone: str, acknowledged_at: float) -> None:
        self.zone = zone
        self.acknowledged_at = acknowledged_at
        self.ended_at = float("inf")

    def forbids(self, zone: str, at: float) -> bool:
        """Tell whether nothing may have run in a zone at a time."""
        bound_at = self.acknowledged_at + MAX_EFFECT_DELAY_S
        return zone == self.zone and bound_at < at < self.ended_at


class Evacuator:
    """Evacuate one zone after the other until told to end."""

    def __init__(
        self, controls: list[str], zones: list[str], random: Random
    ) -> None:
        self._client = ControlClient(controls, OPERATOR_KEY)
        self._zones = zones
        self._random = random
        self._end = threading.Event()
        self.spans: list[EvacuationPeriod] = []

    def run(self, seconds: float) -> None:
        """Play for some seconds; no zone is evacuated when it returns."""
        until = time.monotonic() + seconds
        while not self._end.wait(self._random.uniform(*CALM_S)):
            if time.monotonic() >= until:
                return
            zone = self._random.choice(self._zones)
            if self._order(zone, True):
                print(f"evacuated {zone}", flush=True)
                span = EvacuationPeriod(zone, time.time())
                self.spans.append(span)
                self._end.wait(self._random.uniform(*LASTS_S))
                span.ended_at = time.time()
            while not self._order(zone, False):
                time.sleep(1.0)

    def _order(self, zone: str, evacuate: bool) -> bool:
        body = {"availability_zone": zone, "evacuate": evacuate}
        try:
            self._client.post(PATH, body, ORDER_S)
        except CliError as error:
            # No leader, or the answer was lost: it may be in force or not.
            print(f"evacuation of {zone}: {error}", flush=True)
            return False
        return True


def find_forbidden_runs(
    spans: list[EvacuationPeriod], runs: list[tuple[str, float, str]]
) -> list[str]:
    """Name what ran in an evacuated zone; runs are zone, time and name."""
    found = []
    for zone, at, name in runs:
        if any(span.forbids(zone, at) for span in spans):
            found.append(name)
    return found
