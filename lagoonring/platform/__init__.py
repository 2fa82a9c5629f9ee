"""Clients and adapters for the platform's services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonring.lazy import load_lazily

if TYPE_CHECKING:
    from lagoonring.platform.cloud import (
        Cloud,
        CloudClient,
        CloudInstance,
        CloudPrice,
        Notice,
        NoticePage,
        StartOrder,
        StartRefusedError,
    )
    from lagoonring.platform.exchange import (
        PlatformAnswerLostError,
        PlatformRejectedError,
        PlatformUnavailableError,
    )
    from lagoonring.platform.instance_list import (
        InstanceList,
        InstanceListClient,
        ListedInstance,
    )
    from lagoonring.platform.log import (
        Log,
        LogAnswerLostError,
        LogTruncatedError,
        LogUnavailableError,
        Page,
        Record,
    )
    from lagoonring.platform.store_log import LogClient
    from lagoonring.platform.weight_store import Fetch, WeightStoreClient

__all__ = [
    "Cloud",
    "CloudClient",
    "CloudInstance",
    "CloudPrice",
    "Fetch",
    "InstanceList",
    "InstanceListClient",
    "ListedInstance",
    "Log",
    "LogAnswerLostError",
    "LogClient",
    "LogTruncatedError",
    "LogUnavailableError",
    "Notice",
    "NoticePage",
    "Page",
    "PlatformAnswerLostError",
    "PlatformRejectedError",
    "PlatformUnavailableError",
    "Record",
    "StartOrder",
    "StartRefusedError",
    "WeightStoreClient",
]

__getattr__ = load_lazily(
    __name__,
    {
        "cloud": (
            "Cloud",
            "CloudClient",
            "CloudInstance",
            "CloudPrice",
            "Notice",
            "NoticePage",
            "StartOrder",
            "StartRefusedError",
        ),
        "exchange": (
            "PlatformAnswerLostError",
            "PlatformRejectedError",
            "PlatformUnavailableError",
        ),
        "instance_list": (
            "InstanceList",
            "InstanceListClient",
            "ListedInstance",
        ),
        "log": (
            "Log",
            "LogAnswerLostError",
            "LogTruncatedError",
            "LogUnavailableError",
            "Page",
            "Record",
        ),
        "store_log": ("LogClient",),
        "weight_store": (
            "Fetch",
            "WeightStoreClient",
        ),
    },
)
