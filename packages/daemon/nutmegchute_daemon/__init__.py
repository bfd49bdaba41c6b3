"""Run the roles of nutmegchute: the loop, its edges and the disk."""
