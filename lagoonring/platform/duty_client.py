"""Calls to the platform that one instance makes at a time."""

from __future__ import annotations

from typing import Any

import attrs

from lagoonring.platform.exchange import PlatformClient, ask

HOLDER_HEADER = "Lagoonring-Duty-Holder"
# The fencing number; the platform's pages also call it a token.
FENCING_NUMBER_HEADER = "Lagoonring-Fence-Token"
USAGE_PATH = "/usage"
SCALE_PATH = "/scale"
CALL_TIMEOUT_S = 1.0  # a third of a lease, so that no call outlives it


@attrs.frozen
class Authority:
    """In whose name a call is made, and by which take-over of the duty."""

    holder: str
    fencing_number: int


class DutyClient(PlatformClient):
    """Usage reports and orders of endpoints; errors as in `platform.exchange`."""

    async def report_usage(
        self, authority: Authority, window: int, counts: dict[str, int]
    ) -> None:
        """Tell how many requests of each organisation began in a window."""
        await self._post(USAGE_PATH, authority, {"window": window, "counts": counts})

    async def order_endpoints(
        self,
        authority: Authority,
        *,
        service: str,
        data_centre: str,
        n_endpoints: int,
        is_reclaimable: bool,
    ) -> None:
        """Order the number of a service's endpoints in a data centre.

        Raises
        ------
        PlatformRejectedError
            With status 409, if none are to be had there now.
        """
        content: dict[str, Any] = {
            "service": service,
            "zone": data_centre,
            "desired": n_endpoints,
        }
        if is_reclaimable:
            content["useSpot"] = True
        await self._post(SCALE_PATH, authority, content)

    async def _post(
        self, path: str, authority: Authority, content: dict[str, Any]
    ) -> None:
        await ask(
            self.session,
            "POST",
            self.url + path,
            Any,
            content=content,
            headers={
                HOLDER_HEADER: authority.holder,
                FENCING_NUMBER_HEADER: str(authority.fencing_number),
            },
            timeout_s=CALL_TIMEOUT_S,
        )
