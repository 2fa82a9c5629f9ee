"""Changes of the settings file that take effect without a restart."""

from __future__ import annotations

import attrs
import pytest

from lagoonring.errors import InvalidInputError
from lagoonring.kernel import Application, ManualClock
from lagoonring.platform.boot import decode_boot_file
from lagoonring.platform.clients import PlatformClients
from lagoonring.platform.duty_client import Authority
from lagoonring.platform.process import GRACE_RESERVE_S, leave
from lagoonring.platform.sending import make_platform_session
from lagoonring.serving.buffers import MEMORY_SHARE
from lagoonring.serving.reload import SettingsReload
from lagoonring.tests.builders.boots import encode_boot
from lagoonring.tests.builders.raw_endpoints import raw_endpoint
from lagoonring.tests.builders.serving import make_parts

BODY = b'{"items":[],"hasMore":false,"end":0}'
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BODY) + BODY
SETTINGS = decode_boot_file(encode_boot())


def make_reload(read, **options):
    """Return an application with a reload, and its parts."""
    app = Application(SETTINGS, clock=ManualClock())
    parts = make_parts(None)
    reload = SettingsReload(app, parts, SETTINGS, read, **options)
    return app, app.add(reload), parts


def change_bounds(**changes):
    return attrs.evolve(SETTINGS, bounds=attrs.evolve(SETTINGS.bounds, **changes))


@pytest.mark.parametrize("grace_s", [0.5, 4.0, 20.0])
def test_grace_period_is_that_of_the_settings_file_at_the_stop(grace_s):
    # Guards against requests that are cut by SIGKILL after a shorter grace period.
    app, _, _ = make_reload(lambda: change_bounds(grace_s=grace_s))
    leave(app, SETTINGS)
    assert app.grace_s == pytest.approx(max(grace_s - GRACE_RESERVE_S, 0.0))


def test_unreadable_settings_file_does_not_hinder_a_stop():
    # Guards against a process that goes on until SIGKILL.
    def read():
        raise InvalidInputError("Got no settings.", remedy="Write them.")

    app, _, _ = make_reload(read)
    leave(app, SETTINGS)
    assert app.grace_s == SETTINGS.bounds.grace_s - GRACE_RESERVE_S


def test_stop_during_the_start_uses_the_settings_of_the_start():
    app = Application(SETTINGS, clock=ManualClock())
    leave(app, SETTINGS)
    assert app.grace_s == SETTINGS.bounds.grace_s - GRACE_RESERVE_S


async def test_calls_go_to_the_platform_at_its_changed_address():
    # Guards against instances that follow a store that others no longer write to.
    def answer(writer, head):
        writer.write(ANSWER)

    async with raw_endpoint(answer) as before, raw_endpoint(answer) as after:
        first, second = (
            attrs.evolve(SETTINGS, store_address=address, cloud_address=address)
            for address, _ in (before, after)
        )
        session = make_platform_session()
        clients = PlatformClients(first, session, ManualClock())
        _, reload, _ = make_reload(lambda: second, listeners=[clients.apply_settings])

        async def call():
            await clients.store.read_newest("keyed.op")
            await clients.log.client.read_newest("keyed.lease")
            await clients.duties.report_usage(Authority("a", 1), 1, {})

        await call()
        reload.reload()
        await call()
        await session.close()
    for _, heads in (before, after):
        paths = [head.split()[1].partition(b"?")[0] for head in heads]
        assert paths == [b"/log-newest", b"/log-newest", b"/usage"]


def test_memory_is_that_of_the_changed_settings():
    # Guards against a process that outgrows a lower limit.
    _, reload, parts = make_reload(lambda: attrs.evolve(SETTINGS, memory_bytes=1e8))
    reload.reload()
    assert parts.buffers.limit_bytes == int(MEMORY_SHARE * 1e8)
