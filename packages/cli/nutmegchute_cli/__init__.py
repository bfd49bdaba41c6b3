"""Provide the command line of nutmegchute for operators."""
