"""Read and check the options of a command."""

import math
from collections.abc import Mapping
from typing import Any

from .clients import ControlClient
from .clients import EntryClient
from .errors import UsageError

CONTROL_VARIABLE = "NUTMEGCHUTE_CONTROL"
ENTRY_VARIABLE = "NUTMEGCHUTE_ENTRY"
KEY_VARIABLE = "NUTMEGCHUTE_KEY"


class Options:
    """Read options from the arguments or, if absent, the environment."""

    __slots__ = ("_arguments", "_environment")

    def __init__(
        self, arguments: dict[str, Any], environment: Mapping[str, str]
    ) -> None:
        self._arguments = arguments
        self._environment = environment

    @property
    def json(self) -> bool:
        """Return whether to print JSON in place of tables."""
        return bool(self._arguments["--json"])

    @property
    def remove(self) -> bool:
        """Return whether to remove branches without a file."""
        return bool(self._arguments["--remove"])

    @property
    def wait_s(self) -> float:
        """Return how long to wait for completion, in seconds."""
        return self._number("--wait-s")

    @property
    def window_s(self) -> float:
        """Return the length of a time window in a summary, in seconds.

        :raises UsageError: it is not positive
        """
        window_s = self._number("--window-s")
        if window_s <= 0:
            raise UsageError("--window-s must be greater than 0")
        return window_s

    @property
    def limit(self) -> int:
        """Return the maximum number of records to list; 0 lists all."""
        return int(self._number("--limit"))

    @property
    def key(self) -> str:
        """Return the operator's key, empty if none is set."""
        return self._environment.get(KEY_VARIABLE, "")

    @property
    def has_entry(self) -> bool:
        """Return whether the address of an entry is given."""
        return bool(self._entry())

    def text(self, name: str) -> str:
        """Return a positional argument, empty if it was omitted."""
        return str(self._arguments[name] or "")

    def texts(self, name: str) -> list[str]:
        """Return the values of a repeatable positional argument."""
        return list(self._arguments[name])

    def is_given(self, command: str) -> bool:
        """Return whether a subcommand was given."""
        return bool(self._arguments[command])

    def control(self) -> ControlClient:
        """Return a client of the control replicas.

        :raises UsageError: no address is given
        """
        value = self._arguments["--control"]
        addresses = value or self._environment.get(CONTROL_VARIABLE, "")
        if not addresses:
            raise UsageError(
                "give the control replicas with --control=ADDRESSES or "
                f"the variable {CONTROL_VARIABLE}"
            )
        return ControlClient(addresses.split(","), self.key)

    def entry(self) -> EntryClient:
        """Return a client of one entry.

        :raises UsageError: no address is given
        """
        address = self._entry()
        if not address:
            raise UsageError(
                "give an entry with --entry=ADDRESS or the variable "
                f"{ENTRY_VARIABLE}"
            )
        return EntryClient(address, self.key)

    def _entry(self) -> str:
        value = self._arguments["--entry"]
        return str(value or self._environment.get(ENTRY_VARIABLE, ""))

    def _number(self, name: str) -> float:
        text = self._arguments[name]
        try:
            number = float(text)
        except ValueError:
            number = math.nan
        if not 0 <= number < math.inf:
            raise UsageError(f"{name}: {text!r} is not a non-negative number")
        return number
