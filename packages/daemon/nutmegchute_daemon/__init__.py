"""Run the roles of nutmegchute: event loop, network and disk."""
