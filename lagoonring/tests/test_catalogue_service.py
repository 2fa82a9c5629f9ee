from __future__ import annotations

import asyncio
import random

import pytest

from lagoonring.catalogue import (
    CatalogueOptions,
    CatalogueService,
    Change,
    ConflictError,
    EditAnswerLostError,
    EditTooLargeError,
)
from lagoonring.catalogue.edits import encode_snapshot
from lagoonring.catalogue.follower import ConfigFollower, NoSnapshotError
from lagoonring.catalogue.metrics import CatalogueMetrics
from lagoonring.catalogue.state_machine import SECTIONS, CatalogueState, take_snapshot
from lagoonring.platform.log import LogUnavailableError
from lagoonring.settings import FaultyDocumentError
from lagoonring.standins.log_standin import LogStandin
from lagoonring.tests.builders.catalogues import make_edit, make_first_edit, set_class
from lagoonring.tests.builders.claims import PeerNetwork
from lagoonring.tests.builders.logs import InstanceLog, make_application

OPTIONS = CatalogueOptions(
    poll_s=0.5,
    retry_s=0.01,
    apply_timeout_s=20,
    cut_off_after_s=0,
    snapshot_interval_s=600,
    snapshot_jitter_s=0,
)


class CatalogueInstances:
    """Instances that follow one log, each through a connection of its own."""

    def __init__(self, log=None, **options):
        self.log = log or LogStandin()
        self.network = PeerNetwork()
        self.apps = []
        self.options = CatalogueOptions(
            **{name: getattr(OPTIONS, name) for name in OPTIONS.__slots__[:-1]}
            | options
        )

    async def add(self, *, is_ready=True):
        name = f"i{len(self.apps)}"
        log = InstanceLog(self.log)
        app = make_application(self.network.join(name), seed=len(self.apps))
        service = CatalogueService(app, self.options, log=log)
        app.add(service)
        self.apps.append(app)
        await app.start()
        if is_ready:
            await asyncio.wait_for(service.ready.wait(), 10)
        return service

    async def stop(self):
        for app in self.apps:
            await app.stop()


@pytest.fixture
async def fleet():
    fleet = CatalogueInstances()
    yield fleet
    await fleet.stop()


async def wait_for_revision(service, revision):
    """Wait until a service is at a revision or a later one."""
    reached = asyncio.Event()
    service.subscribe(lambda _, now: reached.set() if now >= revision else None)
    await asyncio.wait_for(reached.wait(), 10)


async def test_an_edit_reaches_every_instance_and_its_subscribers(fleet):
    services = [await fleet.add() for _ in range(3)]
    seen = []
    services[2].subscribe(lambda content, now: seen.append((now, len(content.entries))))
    revision = await services[0].apply(make_first_edit())
    assert revision == services[0].revision == 0
    await wait_for_revision(services[2], 0)
    assert seen == [(-1, 0), (0, 2)]
    assert await services[1].apply(make_first_edit()) == 0
    assert fleet.log.n_appends == 1


async def test_refused_edits_are_not_appended(fleet):
    service = await fleet.add()
    await service.apply(make_first_edit())
    with pytest.raises(ConflictError, match=r"classes\.chat that revision 0 by ana"):
        await service.apply(make_edit("2", set_class("chat")))
    move = {"entry": "guide", "to_version": "1", "deadline_s": 5}
    late = make_edit("3", Change(section="moves", name="m", item=move), base=0)
    with pytest.raises(FaultyDocumentError, match=r"moves\.m\.deadline_s"):
        await service.apply(late)
    large = make_edit("4", set_class("new"), base=0, note="x" * (1 << 18))
    with pytest.raises(EditTooLargeError):
        await service.apply(large)
    assert fleet.log.n_appends == 1


async def test_lost_answers_are_resolved_by_the_edit_id(fleet):
    service = await fleet.add()
    fleet.log.faults.n_lost_answers = 1
    assert await service.apply(make_edit("1", set_class("a"))) == 0
    fleet.log.faults.n_refused_appends = 2
    assert await service.apply(make_edit("2", set_class("b"))) == 1


async def test_errors_say_whether_an_edit_may_have_been_appended(fleet):
    service = await fleet.add()
    log = service.log
    fleet.log.faults.is_out = True
    edit = make_edit("1", set_class("a"))
    with pytest.raises(LogUnavailableError):
        await service.apply(edit, timeout_s=0.1)
    fleet.log.faults.is_out = False
    log.answer_gate.clear()
    log.read_gate.clear()
    with pytest.raises(EditAnswerLostError, match="same edit_id") as error_info:
        await service.apply(edit, timeout_s=0.1)
    assert error_info.value.edit_id == "1"
    log.answer_gate.set()
    log.read_gate.set()
    assert await service.apply(edit) == 0


@pytest.mark.parametrize("n_edits", [200])
async def test_concurrent_edits_converge_on_all_instances(fleet, n_edits):
    services = [await fleet.add() for _ in range(4)]
    rng = random.Random(7)
    accepted, refused = [], []

    async def edit_once(index):
        service = rng.choice(services)
        name = f"c{rng.randrange(12)}"
        edit = make_edit(
            f"e{index}", set_class(name, index % 10), base=service.revision
        )
        if rng.random() < 0.2:
            fleet.log.faults.n_lost_answers += 1
        if rng.random() < 0.1:
            fleet.log.faults.n_late_appends += 1
        try:
            accepted.append((await service.apply(edit), name, index % 10))
        except ConflictError as error:
            refused.append((edit, error.revision))

    async def edit_many(indexes):
        for index in indexes:
            await edit_once(index)

    await asyncio.gather(*(edit_many(range(i, n_edits, 8)) for i in range(8)))
    last = max(revision for revision, _, _ in accepted)
    for service in services:
        await wait_for_revision(service, last)
    assert len(accepted) + len(refused) == n_edits and refused
    assert len({revision for revision, _, _ in accepted}) == len(accepted)
    expected = {name: priority for _, name, priority in sorted(accepted)}
    for service in services:
        classes = service.content.classes
        assert {name: item.priority for name, item in classes.items()} == expected
        assert service.follower.state == services[0].follower.state
    revisions = {revision for revision, _, _ in accepted}
    assert all(revision in revisions for _, revision in refused)


async def test_snapshots_cover_records_past_retention(fleet):
    fleet.options = CatalogueOptions(
        poll_s=0.5,
        retry_s=0.01,
        snapshot_every=4,
        snapshot_interval_s=0.01,
        snapshot_jitter_s=0,
    )
    fleet.log.n_kept = 8
    service = await fleet.add()
    delayed = await fleet.add()
    delayed.log.read_gate.clear()
    for index in range(30):
        await service.apply(make_edit(f"e{index}", set_class(f"c{index}")))
        while service.follower.snapshot_offset <= service.revision:
            await service.state_advanced.wait()
    assert service.follower.first_offset > 0
    delayed.log.read_gate.set()
    newcomer = await fleet.add()
    await wait_for_revision(delayed, service.revision)
    for other in (newcomer, delayed):
        assert other.content == service.content
    assert len(newcomer.content.classes) == 30


async def test_a_snapshot_followed_by_a_gap_is_not_restored(fleet):
    service = await fleet.add()
    await service.apply(make_first_edit())
    snapshot = encode_snapshot(take_snapshot(service.follower.state))
    await service.apply(make_edit("2", set_class("new")))
    await fleet.log.append("config", snapshot)
    while service.follower.state.next_offset < 3:
        await service.state_advanced.wait()
    fleet.log.forget("config", before=2)
    follower = ConfigFollower(
        fleet.log, lambda *verdict: None, CatalogueMetrics(make_application())
    )
    with pytest.raises(NoSnapshotError, match="without a usable snapshot"):
        await follower.poll(0)


async def test_a_new_instance_starts_from_peers_while_the_log_is_out(fleet):
    old = await fleet.add()
    await old.apply(make_first_edit())
    fleet.log.faults.is_out = True
    fleet.network.gates["i0"] = asyncio.Event()
    newcomer = await fleet.add(is_ready=False)
    assert not newcomer.is_ready
    fleet.network.gates.pop("i0").set()
    await asyncio.wait_for(newcomer.ready.wait(), 10)
    assert (newcomer.revision, newcomer.content) == (0, old.content)


async def test_a_partitioned_instance_takes_only_newer_content_from_peers(fleet):
    first, second = await fleet.add(), await fleet.add()
    await first.apply(make_first_edit())
    await wait_for_revision(second, 0)
    second.log.is_cut_off = True
    revision = await first.apply(make_edit("2", set_class("new")))
    await wait_for_revision(second, revision)
    # Content older than its own is never restored.
    third = await fleet.add()
    third.log.is_cut_off = True
    first.log.is_cut_off = True
    second.log.is_cut_off = False
    newest = await second.apply(make_edit("3", set_class("newer")))
    await wait_for_revision(third, newest)
    assert not third.follower.restore(make_old_snapshot(first))
    await wait_for_revision(first, newest)
    assert {s.revision for s in (first, second, third)} == {newest}


def make_old_snapshot(service):
    return take_snapshot(
        CatalogueState(next_offset=service.follower.state.next_offset - 1)
    )


async def test_unreadable_records_change_nothing(fleet):
    service = await fleet.add()
    await fleet.log.append("config", "not json")
    await fleet.log.append("config", '{"snapshot": {"next_offset": 99}}')
    assert await service.apply(make_edit("1", set_class("a"))) == 2
    assert set(SECTIONS) == set(type(service.content).__slots__[:-1])
