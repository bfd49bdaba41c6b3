"""Run the roles of nutmegchute: event loop, network and disk."""

# First, as it holds the time of the start.
from .clocks import STARTED_AT

__all__ = ["STARTED_AT"]
