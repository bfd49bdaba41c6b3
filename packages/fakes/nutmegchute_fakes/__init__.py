"""Simulate callers, upstreams and replicas for tests and benchmarks."""
