"""Settings of an entry instance."""

from __future__ import annotations

import attrs

from lagoonring.catalogue.options import CatalogueOptions
from lagoonring.claims.options import ClaimsOptions
from lagoonring.fleet.options import FleetOptions
from lagoonring.limits.options import LimitsOptions
from lagoonring.moves.options import MovesOptions
from lagoonring.peers.options import PeersOptions
from lagoonring.requests.options import RequestsOptions
from lagoonring.retries.options import RetriesOptions
from lagoonring.routing.options import RoutingOptions
from lagoonring.settings.validators import (
    between,
    is_name,
    is_port,
    is_url,
    one_of,
    optional,
)

LOG_LEVELS = ("DEBUG", "INFO", "NOTICE", "WARNING", "ERROR")


@attrs.frozen(kw_only=True)
class EntrySettings:
    """Identity and addresses of an entry instance, and the options of its services.

    Attributes
    ----------
    instance, data_centre, region : str
        Name and location of this process.
    host, port : str, int
        Address on which callers are served; ``host`` is an IP address.
    log_url, instance_list_url, cloud_url, weight_store_url : str
        Root URLs of the platform's services; only the log is required.
    grace_s : float
        Seconds that a drain may take, including the handover of unfinished streams.
    """

    instance: str = attrs.field(validator=is_name())
    data_centre: str = attrs.field(validator=is_name())
    region: str = attrs.field(default="main", validator=is_name())
    host: str = "127.0.0.1"
    port: int = attrs.field(default=8700, validator=is_port())
    log_url: str = attrs.field(validator=is_url())
    instance_list_url: str | None = attrs.field(
        default=None, validator=optional(is_url())
    )
    cloud_url: str | None = attrs.field(default=None, validator=optional(is_url()))
    weight_store_url: str | None = attrs.field(
        default=None, validator=optional(is_url())
    )
    grace_s: float = attrs.field(default=120.0, validator=between(0, 3600))
    log_level: str = attrs.field(default="INFO", validator=one_of(LOG_LEVELS))
    peers: PeersOptions
    requests: RequestsOptions = attrs.field(factory=RequestsOptions)
    catalogue: CatalogueOptions = attrs.field(factory=CatalogueOptions)
    claims: ClaimsOptions = attrs.field(factory=ClaimsOptions)
    routing: RoutingOptions = attrs.field(factory=RoutingOptions)
    limits: LimitsOptions = attrs.field(factory=LimitsOptions)
    retries: RetriesOptions = attrs.field(factory=RetriesOptions)
    moves: MovesOptions = attrs.field(factory=MovesOptions)
    fleet: FleetOptions = attrs.field(factory=FleetOptions)
