"""Run random histories of a storage against a model of what is durable.

HISTORIES sets how many seeds run, FIRST_SEED the first of them.
"""

import os
from random import Random
from typing import NamedTuple

import pytest
from nutmegchute_core.commands import NoOp
from nutmegchute_core.memberships import Membership
from nutmegchute_core.messages import HardState
from nutmegchute_core.messages import LogEntry
from nutmegchute_core.messages import Snapshot
from nutmegchute_daemon.errors import StorageError
from nutmegchute_daemon.storages import Identity
from nutmegchute_daemon.storages import Storage
from nutmegchute_fakes.disks import FakeDisk
from nutmegchute_fakes.disks import PowerCutError

GENESIS = Membership()
FIRST_SEED = int(os.environ.get("FIRST_SEED", "0"))
HISTORIES = int(os.environ.get("HISTORIES", "400"))
STEPS = 60
SEEDS_PER_TEST = 100


class State(NamedTuple):
    """Hold what a load returns; entries are pairs of index and term."""

    hard_state: HardState = HardState()
    base_index: int = 0
    base_term: int = 0
    entries: tuple[tuple[int, int], ...] = ()

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.entries[-1][0] if self.entries else self.base_index

    def after_save(
        self, hard_state: HardState | None, new: list[LogEntry]
    ) -> "State":
        """Return the state once a save has replaced the tail."""
        entries = self.entries
        if new:
            entries = tuple(one for one in entries if one[0] < new[0].index)
            entries += tuple((one.index, one.term) for one in new)
        return self._replace(
            hard_state=hard_state or self.hard_state, entries=entries
        )

    def after_snapshot(self, index: int, term: int, keep: bool) -> "State":
        """Return the state once a snapshot has replaced entries."""
        entries: tuple[tuple[int, int], ...] = ()
        if keep:
            entries = tuple(one for one in self.entries if one[0] > index)
        return self._replace(base_index=index, base_term=term, entries=entries)


class History:
    """Run operations and faults; compare each load with the model."""

    def __init__(self, seed: int) -> None:
        self._random = Random(seed)
        # Some states take long without a fault, others many in a row.
        self._fault_rate = self._random.choice((0.1, 0.4, 0.7))
        self._disk = FakeDisk(seed)
        self._storage = Storage(self._disk)  # type: ignore[arg-type]
        self._storage.save_identity(Identity("r1"))
        self._term = 0
        self._durable = State()
        # The states that an operation without a result may have left.
        self._possible: list[State] = []
        self._storage.load(GENESIS)

    def run(self) -> None:
        """Run the steps, with a fault at some of them."""
        for _ in range(STEPS):
            self._add_fault()
            try:
                self._run_step()
            except StorageError:
                self._recover()
            except PowerCutError:
                self._restart()
            else:
                self._possible = []
                if self._random.random() < self._fault_rate / 4:
                    self._restart()
            self._disk.full = False
            self._disk.failing_syncs = 0
            self._disk.power_cut_after = None

    def _add_fault(self) -> None:
        if self._random.random() > self._fault_rate:
            return
        kind = self._random.random()
        if kind < 0.7:
            self._disk.power_cut_after = self._random.randint(1, 12)
        elif kind < 0.93:
            self._disk.failing_syncs = self._random.randint(1, 2)
        else:
            self._disk.full = True

    def _run_step(self) -> None:
        kind = self._random.random()
        if kind < 0.6:
            self._save()
        elif kind < 0.8:
            self._compact()
        else:
            self._install()

    def _save(self) -> None:
        self._term += 1
        state = self._durable
        first = state.last_index + 1
        if self._random.random() < 0.3:
            first = self._random.randint(state.base_index + 1, first)
        count = self._random.randint(0, 3)
        entries = [
            LogEntry(self._term, first + n, NoOp()) for n in range(count)
        ]
        hard_state = None
        if not entries or self._random.random() < 0.3:
            hard_state = HardState(self._term, "r2")
        saved = state.after_save(hard_state, entries)
        self._possible = [saved]
        self._storage.save(hard_state, entries)
        self._durable = saved

    def _compact(self) -> None:
        state = self._durable
        if not state.entries:
            return
        index, term = self._random.choice(state.entries)
        if self._random.random() < 0.5:
            index, term = state.entries[0]
        compacted = state.after_snapshot(index, term, True)
        self._possible = [compacted]
        self._storage.compact(Snapshot(index, term, GENESIS, b"own"))
        self._durable = compacted

    def _install(self) -> None:
        state = self._durable
        self._term += 1
        index = state.last_index + self._random.randint(1, 4)
        term = self._term
        if state.entries and self._random.random() < 0.7:
            index, own_term = self._random.choice(state.entries)
            if self._random.random() < 0.3:
                term = own_term
        installed = state.after_snapshot(index, term, False)
        # A crash within may leave entries that continue the snapshot.
        keeps = (index, term) in state.entries
        self._possible = [
            installed,
            state.after_snapshot(index, term, keeps),
        ]
        self._storage.install(Snapshot(index, term, GENESIS, b"leader's"))
        self._durable = installed

    def _recover(self) -> None:
        if self._random.random() < 0.3:
            self._restart()
            return
        for _ in range(4):
            try:
                self._storage.recover()
                self._check(self._storage)
            except PowerCutError:
                break
            except StorageError as error:
                if "missing" in str(error) or "damaged" in str(error):
                    raise
                self._disk.full = False
                continue
            return
        self._restart()

    def _restart(self) -> None:
        """Kill the process or cut the power, until a start ends."""
        while True:
            if self._random.random() < 0.5:
                self._disk.kill()
            else:
                self._disk.crash()
            self._disk.full = False
            self._disk.failing_syncs = 0
            if self._random.random() < self._fault_rate:
                self._disk.power_cut_after = self._random.randint(1, 10)
            elif self._random.random() < 0.1:
                self._disk.failing_syncs = 1
            self._storage = Storage(self._disk)  # type: ignore[arg-type]
            try:
                assert self._storage.identity() == Identity("r1")
                self._check(self._storage)
            except PowerCutError:
                continue
            except StorageError as error:
                if "missing" in str(error) or "damaged" in str(error):
                    raise
                if self._random.random() < 0.5:
                    self._recover()
                    return
                continue
            return

    def _check(self, storage: Storage) -> None:
        """Check a load; from then on the replica counts what it holds."""
        stored = storage.load(GENESIS)
        loaded = State(
            stored.hard_state,
            stored.snapshot.index,
            stored.snapshot.term,
            tuple((one.index, one.term) for one in stored.entries),
        )
        assert loaded in (self._durable, *self._possible)
        self._durable = loaded
        self._possible = []


@pytest.mark.parametrize(
    "first", range(FIRST_SEED, FIRST_SEED + HISTORIES, SEEDS_PER_TEST)
)
def test_no_history_loses_what_a_replica_counted(first: int) -> None:
    """Kills and losses of power lost entries that had been read back."""
    failed = []
    for seed in range(first, first + SEEDS_PER_TEST):
        try:
            History(seed).run()
        except (AssertionError, StorageError) as error:
            failed.append(f"seed {seed}: {str(error)[:200]}")
    assert not failed, "\n".join([f"{len(failed)} failed", *failed[:5]])
