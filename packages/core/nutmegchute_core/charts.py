"""Interpret state charts kept as JSON files beside the code."""

import importlib.resources

import msgspec

from .errors import ChartError


class Chart:
    """Hold the states and transitions of one kind of object."""

    __slots__ = ("_initial", "_name", "_states")

    def __init__(self, name: str, document: bytes) -> None:
        raw = msgspec.json.decode(document, type=ChartFile)
        self._name = name
        self._initial = raw.initial
        self._states = raw.states

    @property
    def name(self) -> str:
        """Return the name of the chart."""
        return self._name

    @property
    def initial(self) -> str:
        """Return the state in which every object starts."""
        return self._initial

    @property
    def states(self) -> dict[str, dict[str, str]]:
        """Return the transitions of each state: next state by event."""
        return self._states

    def step(self, state: str, event: str) -> str:
        """Return the state after an event.

        :raises ChartError: the state has no transition for the event
        """
        target = self._states[state].get(event)
        if target is None:
            raise ChartError(
                f"{self._name}: no transition from {state!r} on {event!r}"
            )
        return target

    def is_final(self, state: str) -> bool:
        """Return whether a state has no transitions."""
        return not self._states[state]


class ChartFile(msgspec.Struct, forbid_unknown_fields=True):
    """Define the schema of a chart file."""

    initial: str
    states: dict[str, dict[str, str]]


def load_chart(name: str) -> Chart:
    """Load a chart that is shipped with the package."""
    folder = importlib.resources.files(__package__)
    return Chart(name, folder.joinpath(f"chart_{name}.json").read_bytes())
