from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonring.limits.fair_queue import FairQueue
from lagoonring.tests.builders.limits import make_queued

COSTS = st.lists(st.integers(1, 50), min_size=1, max_size=60)


@settings(derandomize=True, max_examples=150)
@given(
    st.lists(st.tuples(st.sampled_from([0.5, 1.0, 3.0]), COSTS), min_size=2, max_size=5)
)
def test_backlogged_organisations_get_weighted_shares(organisations):
    queue = FairQueue(10_000)
    weights = {}
    for number, (weight, costs) in enumerate(organisations):
        weights[f"o{number}"] = weight
        for cost in costs:
            queue.push(make_queued(f"o{number}", cost=cost, weight=weight))
    served = dict.fromkeys(weights, 0.0)
    left = {f"o{number}": len(costs) for number, (_, costs) in enumerate(organisations)}
    quantum = {name: 50 / weight for name, weight in weights.items()}
    while all(left.values()):
        waiting = queue.pop()
        name = waiting.organisation
        served[name] += waiting.cost / weights[name]
        left[name] -= 1
        for one in weights:
            for other in weights:
                gap = served[one] - served[other]
                assert gap <= quantum[one] + quantum[other]


def test_small_organisation_does_not_wait_behind_a_large_one():
    queue = FairQueue(1000)
    for _ in range(500):
        queue.push(make_queued("large"))
    for _ in range(100):
        queue.pop()
    queue.push(make_queued("small"))
    taken = [queue.pop().organisation for _ in range(2)]
    assert "small" in taken


def test_idle_organisation_accumulates_no_credit():
    queue = FairQueue(1000)
    for _ in range(200):
        queue.push(make_queued("busy"))
    for _ in range(100):
        queue.pop()
    for _ in range(50):
        queue.push(make_queued("late"))
    taken = [queue.pop().organisation for _ in range(40)]
    assert 18 <= taken.count("late") <= 22


def test_higher_class_goes_first_without_starving_the_lower():
    queue = FairQueue(1000)
    for _ in range(100):
        queue.push(make_queued(service_class="batch", priority=0))
        queue.push(make_queued(service_class="chat", priority=1))
    taken = [queue.pop().service_class for _ in range(50)]
    assert taken.count("chat") == 40
    assert taken.count("batch") == 10


def test_full_queue_evicts_from_the_largest_backlog():
    queue = FairQueue(10)
    for _ in range(10):
        assert queue.push(make_queued("large")) is None
    newcomer = make_queued("small")
    evicted = queue.push(newcomer)
    assert evicted.organisation == "large"
    assert newcomer.is_queued
    assert not evicted.is_queued
    refused = make_queued("large")
    assert queue.push(refused) is refused
    assert len(queue) == 10


def test_higher_class_evicts_from_a_lower_one_but_not_the_reverse():
    queue = FairQueue(3)
    for _ in range(3):
        queue.push(make_queued("hann", service_class="batch"))
    urgent = make_queued("hann", service_class="chat", priority=3)
    assert queue.push(urgent).service_class == "batch"
    for _ in range(2):
        queue.push(make_queued("mbao", service_class="chat", priority=3))
    late = make_queued("yoff", service_class="batch")
    assert queue.push(late) is late


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["push", "pop", "remove"]),
        st.sampled_from(["a", "b", "c"]),
        st.sampled_from(["chat", "batch"]),
        st.integers(1, 9),
    ),
    max_size=80,
)


@settings(derandomize=True, max_examples=150)
@given(STEPS)
def test_every_request_leaves_once_in_the_predicted_order(steps):
    queue = FairQueue(20)
    inside = set()
    for kind, organisation, service_class, number in steps:
        if kind == "push":
            waiting = make_queued(
                organisation, service_class=service_class, cost=float(number)
            )
            inside.add(waiting)
            inside.discard(queue.push(waiting))
        elif inside and kind == "pop":
            expected = next(iter(queue.ordered()))
            assert queue.pop() is expected
            inside.remove(expected)
        elif inside:
            removed = sorted(inside, key=id)[number % len(inside)]
            queue.remove(removed)
            queue.remove(removed)
            inside.remove(removed)
        assert len(queue) == len(inside) == len(list(queue.ordered()))
        assert set(queue.ordered()) == inside
    while inside:
        inside.remove(queue.pop())
    assert len(queue) == 0
