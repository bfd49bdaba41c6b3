"""Change organisations' keys during a run and check the calls that ran."""

import subprocess
import threading
import time
from collections import Counter
from collections import defaultdict
from math import inf
from pathlib import Path
from random import Random

from nutmegchute_core.organisations import Organisation

from .clusters import OPERATOR_KEY
from .demo import apply_declaration
from .quotas import bound
from .quotas import organisation
from .quotas import TERMS
from .upstreams import KEY_PREFIX

TEAM = "members"
STEADY = "steady"
NORTH = "north"
SOUTH = "south"
GUEST = "guest"
SMALL = organisation("small", 4.0, 2.0)
SMALL_KEY = f"{KEY_PREFIX}small"
MOVING_KEY = f"{KEY_PREFIX}moving"
# In no configuration at any time.
STRANGE_KEY = f"{KEY_PREFIX}strange"
INTERVAL_S = (0.5, 2.0)
APPLY_RETRY_S = 0.5
# An upstream may be frozen for 4 s between a call's arrival and its run.
MAX_RUN_DELAY_S = 5.0
REFUSAL_STATUSES = frozenset({401, 429, 503})


class KeyPeriod:
    """Hold from when until when an organisation may have had a key.

    It begins when the change is sent and ends when the next one is in force.
    """

    __slots__ = ("began_at", "ended_at", "organisation")

    def __init__(self, name: str, began_at: float) -> None:
        self.organisation = name
        self.began_at = began_at
        self.ended_at = inf


class KeyChanger:
    """Move, rotate and withdraw keys, one change at a time."""

    def __init__(
        self, folder: Path, controls: list[str], random: Random
    ) -> None:
        self._folder = folder
        self._controls = controls
        self._random = random
        self._stopping = threading.Event()
        self._count = 0
        self._holders: dict[str, str] = {}
        self.periods: dict[str, list[KeyPeriod]] = defaultdict(list)
        self.steady_key = self._create_key()
        self.guest_keys = [self._create_key()]

    def start(self) -> None:
        """Apply the first keys."""
        self._folder.mkdir()
        self._apply(
            {
                self.steady_key: STEADY,
                self.guest_keys[-1]: GUEST,
                MOVING_KEY: NORTH,
                SMALL_KEY: SMALL.name,
            }
        )

    def run(self, seconds: float) -> None:
        """Change keys for some seconds."""
        until = time.monotonic() + seconds
        steps = (self._move, self._withdraw, self._rotate)
        while not self._stopping.wait(self._random.uniform(*INTERVAL_S)):
            if time.monotonic() >= until:
                return
            self._random.choice(steps)()

    def draw_key(self) -> str:
        """Return a key that is held, withdrawn, moving or unknown."""
        return self._random.choice(
            [MOVING_KEY, STRANGE_KEY, *self.guest_keys[-3:]]
        )

    def _create_key(self) -> str:
        self._count += 1
        return f"{KEY_PREFIX}{self._count}"

    def _move(self) -> None:
        holder = SOUTH if self._holders[MOVING_KEY] == NORTH else NORTH
        self._apply({**self._holders, MOVING_KEY: holder})

    def _withdraw(self) -> None:
        """Withdraw the guest's key, which callers go on to send."""
        holders = dict(self._holders)
        del holders[self.guest_keys[-1]]
        key = self._create_key()
        self._apply({**holders, key: GUEST})
        self.guest_keys.append(key)

    def _rotate(self) -> None:
        """Let the steady callers change to another key."""
        before, key = self.steady_key, self._create_key()
        self._apply({**self._holders, key: STEADY})
        self.steady_key = key
        # A call that was given the former key is retried with the new one.
        holders = dict(self._holders)
        del holders[before]
        self._apply(holders)

    def _apply(self, holders: dict[str, str]) -> None:
        """Apply the holders of all keys; return once they are in force."""
        now = time.time()
        changed = {
            key
            for key in self._holders.keys() | holders.keys()
            if self._holders.get(key) != holders.get(key)
        }
        ending = [
            self.periods[key][-1] for key in changed & set(self._holders)
        ]
        for key in changed & set(holders):
            self.periods[key].append(KeyPeriod(holders[key], now))
        while not self._try_apply(holders):
            time.sleep(APPLY_RETRY_S)
        for period in ending:
            period.ended_at = time.time()
        self._holders = holders

    def _try_apply(self, holders: dict[str, str]) -> bool:
        section: dict[str, dict[str, object]] = {
            name: {"keys": []} for name in (STEADY, NORTH, SOUTH, GUEST)
        }
        section[SMALL.name] = {
            "keys": [],
            "rate_per_s": SMALL.rate_per_s,
            "burst": SMALL.burst,
        }
        for name, item in section.items():
            item["keys"] = sorted(
                key for key, holder in holders.items() if holder == name
            )
        document: dict[str, object] = {
            "services": {},
            "organisations": section,
        }
        try:
            apply_declaration(
                self._folder, document, self._controls, OPERATOR_KEY, TEAM
            )
        except subprocess.CalledProcessError:
            # No leader, or not in force yet; the change may be accepted.
            return False
        return True


class KeyUse:
    """Hold the key, the Unix time and the answer's status of an attempt."""

    __slots__ = ("key", "sent_at", "status")

    def __init__(self, key: str, sent_at: float) -> None:
        self.key = key
        self.sent_at = sent_at
        # 0 without an answer.
        self.status = 0


class OrganisationRun:
    """Hold when an attempt ran and the organisation that it was sent for."""

    __slots__ = ("at", "attempt", "organisation")

    def __init__(self, at: float, organisation: str, attempt: str) -> None:
        self.at = at
        self.organisation = organisation
        self.attempt = attempt


class KeyOracle:
    """Compare the attempts that ran with the keys that callers sent."""

    def __init__(
        self,
        periods: dict[str, list[KeyPeriod]],
        uses: dict[str, KeyUse],
        runs: list[OrganisationRun],
    ) -> None:
        self._periods = periods
        self._uses = uses
        self._runs = runs

    def misnamed(self) -> list[str]:
        """Return attempts that ran for one that did not hold the key."""
        return [
            run.attempt
            for run in self._runs
            if self._uses[run.attempt].key in self._periods
            and not self._may_hold(run)
        ]

    def unknown_ran(self) -> list[str]:
        """Return attempts that ran with a key that nobody ever held."""
        return [
            run.attempt
            for run in self._runs
            if self._uses[run.attempt].key not in self._periods
        ]

    def refused_ran(self) -> list[str]:
        """Return attempts that ran and got an answer for refused calls."""
        return [
            run.attempt
            for run in self._runs
            if self._uses[run.attempt].status in REFUSAL_STATUSES
        ]

    def over_quota(self, quota: Organisation) -> list[str]:
        """Return the windows in which too many calls ran.

        Only calls that were sent by their caller in a window count in it: an
        upstream that was frozen runs calls of earlier windows.
        """
        first: dict[str, float] = {}
        for run in self._runs:
            if run.organisation == quota.name:
                at = min(run.at, first.get(run.attempt, inf))
                first[run.attempt] = at
        found = []
        for end in sorted(first.values()):
            begin = end - TERMS.window_s
            count = sum(
                at <= end and self._uses[attempt].sent_at >= begin
                for attempt, at in first.items()
            )
            if count > bound(quota):
                found.append(f"{quota.name}.{end:.3f}: {count}")
        return found

    def summary(self) -> str:
        """Return the calls run by organisation and answered by status."""
        runs = Counter(run.organisation for run in self._runs)
        answers = Counter(use.status for use in self._uses.values())
        return f"ran {dict(runs)}, answered {dict(sorted(answers.items()))}"

    def _may_hold(self, run: OrganisationRun) -> bool:
        for period in self._periods[self._uses[run.attempt].key]:
            latest = period.ended_at + MAX_RUN_DELAY_S
            if period.organisation != run.organisation:
                continue
            if period.began_at <= run.at <= latest:
                return True
        return False


def find_lines(folder: Path, text: str) -> list[str]:
    """Return the log lines that contain a text."""
    found = []
    for path in sorted(folder.glob("*.log")):
        for line in path.read_text().splitlines():
            if text in line:
                found.append(f"{path.name}.{line}")
    return found
