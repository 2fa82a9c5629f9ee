"""Failures that an instance returns for a request that it relays.

A header says which error of `lagoonring.endpoints.errors` it was, so that the instance
that asked learns as much as if it had sent the request itself.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonring.endpoints.errors import (
    EndpointConnectError,
    EndpointCrossedError,
    EndpointCutError,
    EndpointError,
    EndpointTimeoutError,
    RelayRefusedError,
)
from lagoonring.platform import headers as names

if TYPE_CHECKING:
    import aiohttp

ERRORS: dict[str, type[EndpointError]] = {
    error.code: error
    for error in (
        RelayRefusedError,
        EndpointConnectError,
        EndpointTimeoutError,
        EndpointCrossedError,
        EndpointCutError,
    )
}


def raise_relay_result(response: aiohttp.ClientResponse) -> None:
    """Raise the error that a relay reports; return if the answer is an endpoint's.

    An unknown result counts as a cut, after which nothing is known of the request.
    """
    code = response.headers.get(names.RELAY_RESULT)
    if code is None:
        return
    error = ERRORS.get(code, EndpointCutError)
    raise error(
        f"Got {code} of the instance at {response.url.authority}, which relays, "
        "expected an answer.",
        remedy="Repeat the request only if it has not run or is idempotent.",
    )
