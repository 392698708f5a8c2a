"""Settings of the fuzz tests: each run uses the same examples."""

from hypothesis import HealthCheck, settings

fuzz = settings(
    max_examples=300,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.differing_executors],
)
