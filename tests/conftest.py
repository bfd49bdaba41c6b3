"""Make Hypothesis deterministic: every run has the same result."""

from hypothesis import settings

settings.register_profile(
    "same-verdict", derandomize=True, deadline=None, database=None
)
settings.load_profile("same-verdict")
