"""Give operators the command line of nutmegchute."""
