"""Tests of the estimators."""

from starlingwheel.decisions.estimators import Histogram


def test_ageing_keeps_about_the_minimum_total_of_old_samples() -> None:
    """After a long pause the counts must not be halved down to nothing."""
    histogram = Histogram(0.1, 1.5, 8, 400)
    for _ in range(40):
        histogram.add(0.3)
    assert 16 <= histogram.age(1000.0, 1.0, min_total=32).total <= 32
