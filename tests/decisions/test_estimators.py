"""The estimators."""

from starlingwheel.decisions.estimators import Histogram


def test_few_samples_are_kept_however_old_and_not_lost_all_at_once() -> None:
    seen = Histogram(0.1, 1.5, 8, 400)
    for _ in range(40):
        seen.add(0.3)
    assert 16 <= seen.aged(1000.0, 1.0, keep=32).total <= 32
