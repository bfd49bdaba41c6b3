"""Interpret state charts kept as JSON files beside the code."""

import importlib.resources

import msgspec

from .errors import ChartError


class Chart:
    """Hold the transitions of one kind of object, as its file gives them."""

    __slots__ = ("_initial", "_name", "_states")

    def __init__(self, name: str, document: bytes) -> None:
        raw = msgspec.json.decode(document, type=ChartFile)
        self._name = name
        self._initial = raw.initial
        self._states = raw.states

    @property
    def name(self) -> str:
        """Name the chart."""
        return self._name

    @property
    def initial(self) -> str:
        """Name the state in which every object starts."""
        return self._initial

    @property
    def states(self) -> dict[str, dict[str, str]]:
        """Map each state to its events and the states they lead to."""
        return self._states

    def step(self, state: str, event: str) -> str:
        """Return the state that follows, or raise ChartError."""
        target = self._states[state].get(event)
        if target is None:
            raise ChartError(
                f"{self._name}: state {state!r} takes no event {event!r}"
            )
        return target

    def is_final(self, state: str) -> bool:
        """Tell whether no event leaves the state."""
        return not self._states[state]


class ChartFile(msgspec.Struct, forbid_unknown_fields=True):
    """Give the form of a chart's file."""

    initial: str
    states: dict[str, dict[str, str]]


def load_chart(name: str) -> Chart:
    """Read a chart that ships with the package."""
    folder = importlib.resources.files(__package__)
    return Chart(name, folder.joinpath(f"chart_{name}.json").read_bytes())
