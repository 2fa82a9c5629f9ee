"""Reads reclaim notices of the cloud and publishes them to all instances."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from lagoonring.errors import LagoonringError
from lagoonring.fleet.messages import NoticeRow
from lagoonring.leases import is_among_first
from lagoonring.logs import make_logger

if TYPE_CHECKING:
    from lagoonring.fleet.options import FleetOptions
    from lagoonring.kernel import Application
    from lagoonring.platform.cloud import Cloud, Notice

LEAVING_KIND = "leaving"
MAX_MOVED_NOTICES = 4096

logger = make_logger("fleet")


class NoticeReader:
    """Reads notices while this instance is one of its data centre's readers.

    Several instances read, whether or not they hold the lease, so that no notice is
    lost if one of them fails. Handling a notice twice has no further effect.

    Parameters
    ----------
    app : Application
        Provides ``catalogue``, ``peers``, ``routing`` and ``requests``.
    data_centre : str
        Data centre whose notices are read.
    find_cloud : callable
        Returns the cloud client.
    options : FleetOptions
        Poll interval and number of readers.
    """

    def __init__(
        self,
        app: Application,
        data_centre: str,
        find_cloud: Any,
        options: FleetOptions,
    ) -> None:
        self.app = app
        self.data_centre = data_centre
        self.find_cloud = find_cloud
        self.options = options
        self.next_seq = 0
        self.pending: dict[str, Notice] = {}
        self.moved: dict[tuple[str, float], None] = {}

    async def run(self) -> None:
        """Read notices until cancelled."""
        while True:
            if self.is_reader():
                try:
                    await self.read_once()
                except LagoonringError as error:
                    logger.warning(
                        "Could not read reclaim notices; retrying: {}", error
                    )
            await self.app.clock.sleep(self.options.notice_poll_s)

    def is_reader(self) -> bool:
        """Return whether this instance is one of the readers."""
        peers = self.app.find("peers")
        me = peers.me.instance
        others = [
            member.instance
            for member in peers.members()
            if member.data_centre == self.data_centre
        ]
        name = f"notices-{self.data_centre}"
        return is_among_first(name, me, {me, *others}, n=self.options.n_readers)

    async def read_once(self) -> None:
        """Read new notices and handle all whose reclaim is still ahead."""
        cloud: Cloud = self.find_cloud()
        page = await cloud.read_notices(self.next_seq)
        self.next_seq = page.next_seq
        now_s = self.app.clock.time()
        for notice in page.notices:
            if notice.data_centre == self.data_centre and notice.reclaim_s > now_s:
                self.pending[notice.instance] = notice
        for instance, notice in list(self.pending.items()):
            if notice.reclaim_s <= now_s or self._handle_notice(notice):
                del self.pending[instance]

    def handle_row(self, origin: str, name: str, row: NoticeRow | None) -> None:
        """Handle a reclaim that another instance has published.

        Moves streams off the endpoint, or stops this instance if the row names it.
        """
        if row is None or row.reclaim_s <= 0:
            return
        if name == self.app.find("peers").me.instance:
            self._leave(row.reclaim_s)
        else:
            self._move_streams(name, row.reclaim_s)

    def _handle_notice(self, notice: Notice) -> bool:
        """Handle a notice; return False if the instance is not known yet."""
        if self._is_entry(notice.instance):
            self._notify_entry(notice)
            return True
        endpoints = self.app.find("catalogue").content.endpoints
        names = [
            name
            for name, endpoint in endpoints.items()
            if endpoint.instance == notice.instance
        ]
        for name in names:
            row = NoticeRow(
                instance=notice.instance,
                url=endpoints[name].url,
                since_s=self.app.clock.time(),
                reclaim_s=notice.reclaim_s,
            )
            self.app.find("routing").leaving(name)
            self.app.find("peers").publish(LEAVING_KIND, name, row, urgent=True)
            self._move_streams(name, notice.reclaim_s)
            logger.info("Endpoint {} will be reclaimed.", name)
        return bool(names)

    def _is_entry(self, instance: str) -> bool:
        peers = self.app.find("peers")
        members = {member.instance for member in peers.members()}
        return instance in members | {peers.me.instance}

    def _notify_entry(self, notice: Notice) -> None:
        """Make an entry instance that will be reclaimed drain and stop."""
        peers = self.app.find("peers")
        if notice.instance == peers.me.instance:
            self._leave(notice.reclaim_s)
            return
        row = NoticeRow(
            instance=notice.instance,
            url="",
            since_s=self.app.clock.time(),
            reclaim_s=notice.reclaim_s,
        )
        peers.publish(LEAVING_KIND, notice.instance, row, urgent=True)

    def _leave(self, reclaim_s: float) -> None:
        seconds_left = max(0.0, reclaim_s - self.app.clock.time())
        logger.info("This instance will be reclaimed in {:.1f} s.", seconds_left)
        self.app.leave(seconds_left)

    def _move_streams(self, endpoint: str, reclaim_s: float) -> None:
        key = (endpoint, reclaim_s)
        if key in self.moved or "requests" not in self.app.services:
            return
        self.moved[key] = None
        while len(self.moved) > MAX_MOVED_NOTICES:
            del self.moved[next(iter(self.moved))]
        seconds_left = max(0.0, reclaim_s - self.app.clock.time())
        self.app.find("requests").endpoint_leaving(endpoint, seconds_left)
