"""Measure; nothing here decides whether a build passes."""
