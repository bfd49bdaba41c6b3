"""Fake callers, upstreams and control replicas for tests and benchmarks."""
