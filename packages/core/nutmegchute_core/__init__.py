"""Decide; a deterministic function of state, message, time and seed.

No module of this package may import sockets, files, threads or clocks:
the same objects run under the daemon, under hypothesis and under virtual
time, and ``tests/test_layers.py`` holds that line.
"""
