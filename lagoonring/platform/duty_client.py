"""Client for platform calls that only the holder of a duty may make."""

from __future__ import annotations

from typing import Any

import attrs

from lagoonring.platform.exchange import PlatformClient, request_json

HOLDER_HEADER = "Lagoonring-Duty-Holder"
# The platform's documentation also calls the fencing number a token.
FENCING_NUMBER_HEADER = "Lagoonring-Fence-Token"
USAGE_PATH = "/usage"
SCALE_PATH = "/scale"
CALL_TIMEOUT_S = 1.0  # a third of the lease, so that no call outlasts it


@attrs.frozen
class Authority:
    """The duty holder that makes a call, and the fencing number of its lease."""

    holder: str
    fencing_number: int


class DutyClient(PlatformClient):
    """Sends usage reports and endpoint orders; errors as in `platform.exchange`."""

    async def report_usage(
        self, authority: Authority, window: int, counts: dict[str, int]
    ) -> None:
        """Report the number of requests per organisation that began in a window."""
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
        """Set the desired number of a service's endpoints in a data centre.

        Raises
        ------
        PlatformRejectedError
            With status 409, if the data centre has no capacity at present.
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
        await request_json(
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
