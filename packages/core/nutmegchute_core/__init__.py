"""Decision logic: deterministic in state, messages, time and seed.

No module of this package may import sockets, files, threads or clocks, so
that the same objects run in the daemon, under hypothesis and on virtual
time. ``tests/test_layers.py`` checks the imports.
"""
