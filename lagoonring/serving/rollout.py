"""Decisions on the progress of a move between versions; pure functions without I/O.

The new version may fail or slow down on some of its requests, at once or later. It
therefore gets a bounded number of requests until shortly before the time limit, and
none once the comparison with the version in force shows that it is worse. A version
that fails under load only is found by a short time in which it gets all requests.
"""

from __future__ import annotations

import enum

import attrs

from lagoonring.serving.comparison import Verdict

EXPOSURE_BUDGET_SHARE = 0.6  # of the exposure; counts of other instances are delayed
MAX_SHARE = 0.3  # leaves most requests to the old version for the comparison
MIN_SHARE = 0.02
LOAD_TEST_BEFORE_END_S = 5.8  # leaves time to judge the results before all move
MAX_LOAD_TEST_S = 2.0
MIN_LOAD_TEST_S = 0.4
MIN_LOAD_RESULTS = 50  # fewer leave it open whether the version bears the load
LOAD_RESULTS_S = 1.0  # until the results of a load test have reached the holder
LOAD_TEST_EXPOSURE_SHARE = 0.85  # includes what the trial has used
TESTED_BUDGET_SHARE = 0.4  # leaves the rest of the exposure to the load test
# A version that has passed a test moves sooner, which leaves time to record the end
# again if the store loses an answer.
TESTED_MOVE_ALL_BEFORE_END_S = 3.4
MOVE_ALL_BEFORE_END_S = 2.6  # before the limit; lets requests on the old version end
COMPLETE_BEFORE_END_S = 1.3  # before the time limit; lets the store accept the status


class Step(enum.Enum):
    """The next step of a move."""

    TRY = "try"
    TEST_LOAD = "test_load"
    AWAIT_RESULTS = "await_results"
    MOVE_ALL = "move_all"
    COMPLETE = "complete"
    ROLL_BACK = "roll_back"


@attrs.frozen(kw_only=True)
class Progress:
    """The progress of a move; times are in seconds since the order.

    ``n_all`` and ``n_new`` count the requests sent since the order, to all versions
    and to the new one, ``counted_s`` the time over which ``n_all`` was counted.
    ``verdict`` is the result of the comparison, ``load_test`` the test under full load
    if there was one, and ``can_test_load`` whether the service can have one.
    """

    elapsed_s: float
    counted_s: float
    duration_s: float
    n_all: int
    n_new: int
    n_old_running: int
    verdict: Verdict
    is_target_present: bool
    load_test: LoadTest | None = None
    can_test_load: bool = False

    @property
    def rate_per_s(self) -> float:
        """Requests a second that were sent to all versions."""
        return self.n_all / max(self.counted_s, 1.0)


@attrs.frozen(kw_only=True)
class LoadTest:
    """A span in which the new version gets all requests; seconds since the order."""

    began_s: float
    for_s: float

    def left_s(self, elapsed_s: float) -> float:
        """Return how much longer the span lasts."""
        return max(self.began_s + self.for_s - elapsed_s, 0.0)


def decide(progress: Progress) -> Step:
    """Return the next step of a move."""
    left_s = progress.duration_s - progress.elapsed_s
    if progress.verdict is Verdict.WORSE or left_s <= 0:
        return Step.ROLL_BACK
    test, is_good = progress.load_test, progress.verdict is Verdict.AS_GOOD
    if test is not None and test.left_s(progress.elapsed_s - LOAD_RESULTS_S) > 0:
        return Step.AWAIT_RESULTS
    n_tested = progress.rate_per_s * test.for_s if test is not None else 0.0
    has_passed = n_tested >= MIN_LOAD_RESULTS and is_good
    move_all_s = TESTED_MOVE_ALL_BEFORE_END_S if has_passed else MOVE_ALL_BEFORE_END_S
    if left_s > move_all_s:
        is_due = left_s <= LOAD_TEST_BEFORE_END_S and progress.can_test_load
        if test is None and is_due and is_good and progress.is_target_present:
            return Step.TEST_LOAD
        return Step.TRY
    if not progress.is_target_present or not is_good:
        return Step.TRY if left_s > COMPLETE_BEFORE_END_S else Step.ROLL_BACK
    # Without a test of that size, more results are awaited as long as possible.
    may_complete = has_passed or not progress.can_test_load
    if left_s <= COMPLETE_BEFORE_END_S or (may_complete and not progress.n_old_running):
        return Step.COMPLETE
    return Step.MOVE_ALL


def exposure_budget(
    n_all: float,
    *,
    exposure_share: float,
    exposure_slack: float,
    budget_share: float = EXPOSURE_BUDGET_SHARE,
) -> float:
    """Return how many of ``n_all`` requests may go to the new version on trial."""
    return budget_share * (exposure_share * n_all + exposure_slack)


def load_test_s(
    progress: Progress, *, exposure_share: float, exposure_slack: float
) -> float:
    """Return how long the new version may get all requests before it is judged.

    A version may fail only under load. What a test sends to it counts as exposure,
    like the trial before, so that there is one and it is short; 0 if it would be too
    short to show anything.
    """
    left_s = max(progress.duration_s - progress.elapsed_s, 0.0)
    limit = exposure_budget(
        progress.n_all + progress.rate_per_s * left_s,
        exposure_share=exposure_share,
        exposure_slack=exposure_slack,
        budget_share=LOAD_TEST_EXPOSURE_SHARE,
    )
    room_s = (limit - progress.n_new) / max(progress.rate_per_s, 1.0)
    for_s = min(room_s, MAX_LOAD_TEST_S)
    return for_s if for_s >= MIN_LOAD_TEST_S else 0.0


def choose_share(progress: Progress, budget: float) -> float:
    """Return the share of requests to send to the new version.

    Spreads what is left of the exposure budget evenly over the remaining time, up to
    the test under full load if there is one.
    """
    n_left = budget - progress.n_new
    if n_left <= 0:
        return 0.0
    before_end_s = MOVE_ALL_BEFORE_END_S
    if progress.can_test_load:
        before_end_s = LOAD_TEST_BEFORE_END_S
    left_s = max(progress.duration_s - before_end_s - progress.elapsed_s, 1.0)
    n_expected = max(progress.rate_per_s * left_s, 1.0)
    return min(max(n_left / n_expected, MIN_SHARE), MAX_SHARE)
