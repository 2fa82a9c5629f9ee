"""Services on loopback, over real sockets."""

from __future__ import annotations

from lagoonring.tests.builders.peers import Level, make_node, running, until


async def test_rows_and_calls_between_two_instances():
    first, second = make_node("a1"), make_node("a2")
    async with running(first, second):
        seen = {}
        second.peers.subscribe(
            "verdict",
            Level,
            lambda origin, name, value: seen.__setitem__((origin, name), value),
        )
        first.peers.publish("verdict", "guide", Level(value=3))
        first.peers.publish("endpoint_load", "guide-1", Level(value=4))
        await until(lambda: seen == {("a1", "guide"): Level(value=3)})
        await until(lambda: second.peers.rows("endpoint_load", Level))
        assert second.peers.rows("endpoint_load", Level) == {
            ("a1", "guide-1"): Level(value=4)
        }

        async def repeat(sender: str, payload: bytes) -> bytes:
            return sender.encode() + payload

        second.peers.serve("repeat", repeat)
        answer = await first.peers.call("a2", "repeat", b"!", timeout_s=5)
        assert answer == b"a1!"
        first.peers.publish("verdict", "guide", None)
        await until(lambda: seen == {("a1", "guide"): None})
        assert [member.instance for member in second.peers.members()] == ["a1"]
