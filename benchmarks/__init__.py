"""Measure costs and strategies; no result decides on a build."""
