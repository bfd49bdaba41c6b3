"""Give every run of the tests the same verdict."""

from hypothesis import settings

settings.register_profile(
    "same-verdict", derandomize=True, deadline=None, database=None
)
settings.load_profile("same-verdict")
