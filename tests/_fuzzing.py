"""How the fuzz tests draw their examples: the same ones in each run."""

from hypothesis import HealthCheck, settings

fuzz = settings(
    max_examples=300,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.differing_executors],
)
