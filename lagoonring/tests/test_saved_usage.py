"""Counts of usage that the platform's store keeps over a kill of all instances."""

from __future__ import annotations

import aiohttp
import pytest

from lagoonring.platform.exchange import PlatformAnswerLostError
from lagoonring.platform.saved_usage import N_LATE_RECORDS, TOPIC, StoredUsage
from lagoonring.platform.store import StoreClient
from lagoonring.serving.usage import UsageRow, merge_rows
from lagoonring.standins.platform_faults import PlatformFaults
from lagoonring.standins.platform_standin import PlatformStandin
from lagoonring.tests.builders.barriers import wait_until


@pytest.fixture
async def platform():
    platform = PlatformStandin()
    await platform.start()
    yield platform
    await platform.stop()


@pytest.fixture
async def saved(platform):
    async with aiohttp.ClientSession() as session:
        yield StoredUsage(StoreClient(f"http://{platform.address}", session))


def make_row(n_started, life=7):
    return UsageRow("b", life, {"one": n_started})


async def test_a_save_that_is_executed_late_does_not_lower_the_counts(platform, saved):
    # Guards against a report that lacks what was counted before a kill of all.
    platform.faults = PlatformFaults(n_late_writes=1, late_s=0.3)
    with pytest.raises(PlatformAnswerLostError):
        await saved.write(9, [make_row(3)])
    await saved.write(9, [make_row(8), make_row(1, life=8)])
    await wait_until(lambda: platform.faults.n_executed_late)
    rows = (await saved.read())[9]
    assert rows == [make_row(8), make_row(1, life=8)]


@pytest.mark.parametrize("n_saves", [0, 1, N_LATE_RECORDS + 5])
@pytest.mark.parametrize("is_truncated", [False, True])
async def test_saved_counts_are_read_whatever_the_log_retains(
    platform, saved, n_saves, is_truncated
):
    for number in range(n_saves):
        await saved.write(9, [make_row(number)])
    if is_truncated:
        platform.forget(TOPIC)
    expected = {9: [make_row(n_saves - 1)]} if n_saves else {}
    assert await saved.read() == expected


def test_rows_of_a_process_are_merged_by_the_highest_counts():
    rows = [
        UsageRow("a", 1, {"one": 4, "two": 1}),
        UsageRow("a", 1, {"one": 2, "three": 5}),
        UsageRow("a", 2, {"one": 1}),
    ]
    first, second = merge_rows(rows)
    assert first.counts == {"one": 4, "two": 1, "three": 5}
    assert second == rows[2]
