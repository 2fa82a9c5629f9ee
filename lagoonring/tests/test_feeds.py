"""Following keyed topics through truncation, stale answers and removals."""

from __future__ import annotations

from lagoonring.serving.feeds import KeyedFeed
from lagoonring.tests.builders.followers import MemoryTopic


def values(records):
    return {record.key: record.value for record in records}


async def test_reads_all_keys_first_and_then_only_changes():
    topic = MemoryTopic()
    topic.write("a", b"1")
    topic.write("b", b"1")
    feed = KeyedFeed(topic)
    assert values(await feed.poll()) == {"a": b"1", "b": b"1"}
    assert await feed.poll() == []
    topic.write("a", b"2")
    topic.write("a", b"3")
    assert values(await feed.poll()) == {"a": b"3"}


async def test_reports_a_removal():
    topic = MemoryTopic()
    topic.write("a", b"1")
    feed = KeyedFeed(topic)
    await feed.poll()
    topic.write("a", None)
    assert values(await feed.poll()) == {"a": None}


async def test_reports_changes_and_removals_in_truncated_history():
    topic = MemoryTopic()
    for key in "abc":
        topic.write(key, b"1")
    feed = KeyedFeed(topic)
    await feed.poll()
    topic.write("a", None)
    topic.write("b", b"2")
    topic.first = 5
    assert values(await feed.poll()) == {"a": None, "b": b"2"}
    assert await feed.poll() == []


async def test_ignores_stale_answers():
    topic = MemoryTopic()
    topic.write("config", b"1")
    topic.write("config", b"2")
    feed = KeyedFeed(topic)
    assert values(await feed.poll()) == {"config": b"2"}
    topic.write("config", b"3")
    await feed.poll()
    topic.stale_end = 1
    topic.first = 9
    assert await feed.poll() == []
    topic.first = 0
    assert await feed.poll() == []
    topic.stale_end = None
    topic.write("config", b"4")
    assert values(await feed.poll()) == {"config": b"4"}


async def test_a_key_that_returns_counts_as_new():
    topic = MemoryTopic()
    topic.write("a", b"1")
    feed = KeyedFeed(topic)
    await feed.poll()
    topic.write("a", None)
    await feed.poll()
    topic.write("a", b"2")
    assert values(await feed.poll()) == {"a": b"2"}
