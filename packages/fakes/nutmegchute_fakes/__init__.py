"""Stand in for callers and upstreams in tests, demo and benchmarks."""
