"""Hold the options of one command, checked."""

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
    """Read the arguments first and the environment where they are silent."""

    __slots__ = ("_arguments", "_environment")

    def __init__(
        self, arguments: dict[str, Any], environment: Mapping[str, str]
    ) -> None:
        self._arguments = arguments
        self._environment = environment

    @property
    def json(self) -> bool:
        """Tell whether to print JSON in place of tables."""
        return bool(self._arguments["--json"])

    @property
    def remove(self) -> bool:
        """Tell whether a branch without a file is to be removed."""
        return bool(self._arguments["--remove"])

    @property
    def wait_s(self) -> float:
        """Give how long to wait for the end, in seconds."""
        return self._number("--wait-s")

    @property
    def window_s(self) -> float:
        """Give the seconds in one span of a summary.

        :raises UsageError: it is nothing
        """
        window_s = self._number("--window-s")
        if window_s <= 0:
            raise UsageError("--window-s must be above 0")
        return window_s

    @property
    def limit(self) -> int:
        """Give the most records to list; 0 lists all."""
        return int(self._number("--limit"))

    @property
    def key(self) -> str:
        """Give the operator's key, empty where none is set."""
        return self._environment.get(KEY_VARIABLE, "")

    @property
    def names_entry(self) -> bool:
        """Tell whether an entry is named."""
        return bool(self._entry())

    def text(self, name: str) -> str:
        """Return a positional argument, empty where it was left out."""
        return str(self._arguments[name] or "")

    def many(self, name: str) -> list[str]:
        """Return a positional argument that may be repeated."""
        return list(self._arguments[name])

    def given(self, word: str) -> bool:
        """Tell whether a command word was given."""
        return bool(self._arguments[word])

    def control(self) -> ControlClient:
        """Return a client of the control replicas.

        :raises UsageError: none is named
        """
        named = self._arguments["--control"]
        addresses = named or self._environment.get(CONTROL_VARIABLE, "")
        if not addresses:
            raise UsageError(
                "name the control replicas with --control=ADDRESSES or "
                f"the variable {CONTROL_VARIABLE}"
            )
        return ControlClient(addresses.split(","), self.key)

    def entry(self) -> EntryClient:
        """Return a client of one entry.

        :raises UsageError: none is named
        """
        address = self._entry()
        if not address:
            raise UsageError(
                "name an entry with --entry=ADDRESS or the variable "
                f"{ENTRY_VARIABLE}"
            )
        return EntryClient(address, self.key)

    def _entry(self) -> str:
        named = self._arguments["--entry"]
        return str(named or self._environment.get(ENTRY_VARIABLE, ""))

    def _number(self, name: str) -> float:
        text = self._arguments[name]
        try:
            number = float(text)
        except ValueError:
            number = math.nan
        if not 0 <= number < math.inf:
            raise UsageError(f"{name}: {text!r} is not a number from 0 on")
        return number
