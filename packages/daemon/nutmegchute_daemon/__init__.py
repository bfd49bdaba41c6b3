"""Run the roles of nutmegchute: event loop, network and disk."""

# First, as it holds the time of the start.
from . import clocks as clocks
