"""Gossip: periodic anti-entropy with partners, and pushes of urgent rows."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lagoonring.logs.logger import make_logger
from lagoonring.peers.comparison import reply, start_by_digest, start_by_hashes
from lagoonring.peers.contacts import make_seed_record
from lagoonring.peers.messages import MessageKind, RowPush, Sync, TableSync

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from lagoonring.kernel import Clock
    from lagoonring.peers.channel import Channel
    from lagoonring.peers.contacts import RemoteMembers
    from lagoonring.peers.frames import Envelope
    from lagoonring.peers.members import LocalMembers
    from lagoonring.peers.messages import MemberRecord, RowUpdate
    from lagoonring.peers.options import PeersOptions, SeedMember
    from lagoonring.peers.tables import Table

ROUND_JITTER = 0.2
UNREACHABLE_PARTNER_PROBABILITY = 0.2
N_SAMPLE_MEMBERS = 3
PUSH_INTERVAL_S = 0.05
N_ROWS_PER_PUSH = 8
MIN_INCARNATION_INTERVAL_S = 1.0
PAUSE_INCARNATION_FACTOR = 4

logger = make_logger("peers")


class Gossip:
    """Replicates tables between this instance and its peers.

    Parameters
    ----------
    local, fleet : Table
        Rows replicated within the data centre, and those replicated to all.
    begin_incarnation : callable
        Called with the minimum incarnation number when this instance must rejoin
        under a new incarnation.
    """

    def __init__(
        self,
        channel: Channel,
        local: Table,
        fleet: Table,
        members: LocalMembers,
        remote: RemoteMembers,
        *,
        clock: Clock,
        rng: random.Random,
        options: PeersOptions,
        begin_incarnation: Callable[[int], None],
    ) -> None:
        self.channel = channel
        self.local = local
        self.fleet = fleet
        self.members = members
        self.remote = remote
        self.clock = clock
        self.rng = rng
        self.options = options
        self.begin_incarnation = begin_incarnation
        self.seeds: dict[str, MemberRecord] = {}
        self.next_incarnation_s = clock.monotonic()
        self.next_pause_incarnation_s = clock.monotonic()
        self.remote_due_s = clock.monotonic()
        self.fleet_due_s = clock.monotonic()
        self.refresh_due_s = clock.monotonic()
        self.pending_pushes: dict[bool, list[RowUpdate]] = {False: [], True: []}
        self.push_requested = asyncio.Event()
        channel.handlers[MessageKind.SYNC] = self.handle_sync
        channel.handlers[MessageKind.PUSH] = self.handle_push

    @property
    def me(self) -> MemberRecord:
        """Record of this instance's current incarnation."""
        return self.channel.me

    def update_seeds(self, seeds: Iterable[SeedMember]) -> None:
        """Replace the known seeds of this and of other data centres."""
        seeds = list(seeds)
        self.seeds = {
            seed.instance: make_seed_record(seed)
            for seed in seeds
            if seed.data_centre == self.me.data_centre
            and seed.instance != self.me.instance
        }
        self.remote.update_list(seeds)

    async def run(self) -> None:
        """Run rounds until cancelled."""
        while True:
            jitter = self.rng.uniform(1 - ROUND_JITTER, 1 + ROUND_JITTER)
            delay_s = self.options.round_s * jitter
            start_s = self.clock.monotonic()
            start_time_s = self.clock.time()
            await self.clock.sleep(delay_s)
            late_s = self.clock.monotonic() - start_s - delay_s
            late_time_s = self.clock.time() - start_time_s - delay_s
            self.check_pause(late_s, late_time_s)
            self.run_round(is_late=late_s > self.options.round_s)

    def run_round(self, *, is_late: bool = False) -> None:
        """Update member states and start the comparisons of one round.

        A late round starts no comparisons, so that an instance short of CPU time
        does not add load to itself and its peers.
        """
        self.local.advance_tick()
        self.members.sweep()
        self.remote.sweep()
        self._refresh()
        self._expire()
        if is_late:
            return
        for record in self._choose_partners():
            self._sync_local(record)
        self._sync_remote()

    def check_pause(self, late_s: float, late_time_s: float) -> None:
        """Exclude lateness of a round from others' silence; rejoin after a pause.

        Parameters
        ----------
        late_s, late_time_s : float
            Delay of the round in seconds, by the monotonic and by the wall clock.
        """
        if late_s > self.options.round_s:
            self.members.record_pause(late_s)
            self.remote.record_pause(late_s)
        now_s = self.clock.monotonic()
        paused_s = max(late_s, late_time_s)
        if paused_s <= self.options.pause_s or now_s < self.next_pause_incarnation_s:
            return
        logger.warning("Process was paused for {:.1f} s.", paused_s)
        self.next_pause_incarnation_s = (
            now_s + PAUSE_INCARNATION_FACTOR * self.options.pause_s
        )
        self.begin_incarnation(0)

    def handle_sync(self, envelope: Envelope, sync: Sync) -> None:
        """Merge one message of a comparison and send the reply."""
        sender = envelope.sender
        self.remote.record_frame(sender, envelope.incarnation)
        is_dead = self._record_sender(envelope, sync)
        for record in sync.sample:
            self.remote.merge_record(record)
        self._check_own_incarnation(sync)
        is_local = sender in self.local.origins or (
            sync.member is not None and sync.member.data_centre == self.me.data_centre
        )
        answer = Sync(
            local=self._reply(self.local, sync.local if is_local else None),
            fleet=self._reply(self.fleet, sync.fleet),
            sample=self._sample() if sync.member and not is_local else [],
            receiver_incarnation=envelope.incarnation if is_dead else 0,
            is_receiver_dead=is_dead,
        )
        is_remote_request = sync.member is not None and not is_local
        if answer.local or answer.fleet or is_dead or is_remote_request:
            self._post(sender, answer)

    def push(self, row: RowUpdate, *, is_fleet: bool) -> None:
        """Queue a row of this instance for an immediate push to all peers.

        Rows queued within ``PUSH_INTERVAL_S`` of each other are sent together.
        """
        self.pending_pushes[is_fleet].append(row)
        self.push_requested.set()

    async def run_pushes(self) -> None:
        """Send queued pushes until cancelled."""
        while True:
            await self.push_requested.wait()
            self.push_requested.clear()
            for is_fleet, rows in self.pending_pushes.items():
                self._push_rows(rows, is_fleet)
                rows.clear()
            await self.clock.sleep(PUSH_INTERVAL_S)

    def _push_rows(self, rows: list[RowUpdate], is_fleet: bool) -> None:
        records = self.members.partners()
        if is_fleet:
            records += [contact.record for contact in self.remote.all_contacts()]
        for start in range(0, len(rows), N_ROWS_PER_PUSH):
            batch = rows[start : start + N_ROWS_PER_PUSH]
            self._push_to(records, RowPush(self.me, is_fleet, batch))

    def handle_push(self, envelope: Envelope, push: RowPush) -> None:
        """Store pushed rows; relay those of another data centre within this one."""
        origin = push.record
        table = self.fleet if push.is_fleet else self.local
        if not push.is_fleet and origin.data_centre != self.me.data_centre:
            return
        self.remote.record_frame(envelope.sender, envelope.incarnation)
        new_rows = [row for row in push.rows if table.put(origin, row)]
        is_direct = envelope.sender == origin.instance
        if new_rows and is_direct and origin.data_centre != self.me.data_centre:
            relayed = RowPush(origin, push.is_fleet, new_rows)
            self._push_to(self.members.partners(), relayed)

    def address_of(self, instance: str) -> str | None:
        """Return the address at which an instance listens, or None if unknown."""
        record = self.find(instance)
        if record is not None:
            return record.address
        return self.channel.addresses.get(instance)

    def find(self, instance: str) -> MemberRecord | None:
        """Return the record of an instance of any data centre, or None if unknown."""
        origin = self.local.origins.get(instance)
        if origin is not None:
            return origin.record
        return self.remote.find(instance) or self.seeds.get(instance)

    def _choose_partners(self) -> list[MemberRecord]:
        partners = self.members.partners()
        n_chosen = min(self.options.n_partners, len(partners))
        chosen = self.rng.sample(partners, n_chosen)
        silent = self.members.unreachable() + [
            record
            for instance, record in self.seeds.items()
            if instance not in self.local.origins
        ]
        if silent and (
            not chosen or self.rng.random() < UNREACHABLE_PARTNER_PROBABILITY
        ):
            chosen.append(self.rng.choice(silent))
        return chosen

    def _sync_local(self, record: MemberRecord) -> None:
        now_s = self.clock.monotonic()
        fleet = None
        if now_s >= self.fleet_due_s:
            self.fleet_due_s = now_s + self.options.fleet_round_s
            fleet = start_by_hashes(self.fleet)
        sync = Sync(
            member=self.me,
            local=start_by_digest(self.local),
            fleet=fleet,
            receiver_incarnation=record.incarnation,
        )
        self._post(record.instance, sync, record.address)

    def _sync_remote(self) -> None:
        for contact in self.remote.unverified():
            self._sync_contact(contact.record)
        now_s = self.clock.monotonic()
        names = self.remote.data_centres()
        if now_s < self.remote_due_s or not names:
            return
        self.remote_due_s = now_s + self.options.remote_round_s
        name = self.rng.choice(names)
        self._sync_contact(self.rng.choice(self.remote.contacts(name)).record)

    def _sync_contact(self, contact: MemberRecord) -> None:
        """Start a comparison with a contact in another data centre."""
        self.remote.record_request(contact.instance, contact.data_centre)
        sync = Sync(
            member=self.me,
            fleet=start_by_hashes(self.fleet),
            sample=self._sample(),
            receiver_incarnation=contact.incarnation,
        )
        self._post(contact.instance, sync, contact.address)

    def _sample(self) -> list[MemberRecord]:
        """Return a few members of this data centre, this instance included."""
        records = [*self.members.partners(), self.me]
        return self.rng.sample(records, min(N_SAMPLE_MEMBERS, len(records)))

    def _record_sender(self, envelope: Envelope, sync: Sync) -> bool:
        """Record the sender; return whether its incarnation is considered dead."""
        record = sync.member
        if record is None or record.instance != envelope.sender:
            return False
        self.channel.record_address(record.instance, record.address)
        if record.data_centre != self.me.data_centre:
            self.remote.merge_record(record)
            return False
        tombstone = self.local.tombstones.get(record.instance)
        self.local.admit(record)
        return tombstone is not None and tombstone.incarnation == record.incarnation

    def _check_own_incarnation(self, sync: Sync) -> None:
        now_s = self.clock.monotonic()
        is_newer = sync.receiver_incarnation > self.me.incarnation
        is_dead = (
            sync.is_receiver_dead and sync.receiver_incarnation == self.me.incarnation
        )
        if not (is_newer or is_dead) or now_s < self.next_incarnation_s:
            return
        self.next_incarnation_s = now_s + MIN_INCARNATION_INTERVAL_S
        logger.warning(
            "Peers consider this incarnation dead or outdated; starting a new one."
        )
        self.begin_incarnation(sync.receiver_incarnation + 1)

    def _reply(self, table: Table, sync: TableSync | None) -> TableSync | None:
        if sync is None:
            return None
        step = reply(table, sync)
        return None if step.is_empty() else step

    def _refresh(self) -> None:
        now_s = self.clock.monotonic()
        if self.fleet.own is not None and now_s >= self.refresh_due_s:
            self.refresh_due_s = now_s + self.options.refresh_s
            self.fleet.advance_tick()

    def _expire(self) -> None:
        """Remove fleet rows of origins that were not refreshed in time."""
        oldest_s = self.clock.monotonic() - self.options.expire_s
        oldest_unreachable_s = self.clock.monotonic() - self.options.unreachable_keep_s
        for instance, origin in list(self.fleet.origins.items()):
            if origin is self.fleet.own or origin.advanced_s > oldest_s:
                continue
            if origin.advanced_s > oldest_unreachable_s and self._may_be_alive(
                origin.record
            ):
                continue
            self.fleet.remove(instance, add_tombstone=True)

    def _may_be_alive(self, record: MemberRecord) -> bool:
        if record.data_centre == self.me.data_centre:
            return record.instance in self.local.origins
        return self.remote.is_unreachable(record.data_centre)

    def _push_to(self, records: Iterable[MemberRecord], push: RowPush) -> None:
        payload = self.channel.encode(MessageKind.PUSH, push)
        for record in records:
            if record.instance != push.record.instance:
                self.channel.post(
                    record.instance, record.address, MessageKind.PUSH, payload
                )

    def _post(self, instance: str, sync: Sync, address: str | None = None) -> None:
        address = address or self.address_of(instance)
        if address is None:
            return
        payload = self.channel.encode(MessageKind.SYNC, sync)
        self.channel.post(instance, address, MessageKind.SYNC, payload)
