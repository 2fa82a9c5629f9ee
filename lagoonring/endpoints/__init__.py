"""Clients of model engines and plain services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonring.lazy import load_lazily

if TYPE_CHECKING:
    from lagoonring.endpoints.engine_control import (
        cancel,
        export_kv,
        follow_cache_events,
        import_kv,
        read_cache_events,
        read_load,
        read_state,
        send_order,
    )
    from lagoonring.endpoints.errors import (
        EndpointConnectError,
        EndpointCrossedError,
        EndpointCutError,
        EndpointError,
        EndpointFailedError,
        EndpointRefusedError,
        EndpointRejectedError,
        EndpointTimeoutError,
        FencedError,
    )
    from lagoonring.endpoints.messages import (
        CacheEvent,
        CacheEventPage,
        CacheUpdate,
        EngineOrder,
        EngineState,
        KvExport,
        LoadReport,
    )
    from lagoonring.endpoints.model_engine import fetch_answer, open_stream
    from lagoonring.endpoints.plain_service import (
        CompleteAnswer,
        OpenAnswer,
        call,
        open_call,
    )

__all__ = [
    "CacheEvent",
    "CacheEventPage",
    "CacheUpdate",
    "CompleteAnswer",
    "EndpointConnectError",
    "EndpointCrossedError",
    "EndpointCutError",
    "EndpointError",
    "EndpointFailedError",
    "EndpointRefusedError",
    "EndpointRejectedError",
    "EndpointTimeoutError",
    "EngineOrder",
    "EngineState",
    "FencedError",
    "KvExport",
    "LoadReport",
    "OpenAnswer",
    "call",
    "cancel",
    "export_kv",
    "fetch_answer",
    "follow_cache_events",
    "import_kv",
    "open_call",
    "open_stream",
    "read_cache_events",
    "read_load",
    "read_state",
    "send_order",
]

__getattr__ = load_lazily(
    __name__,
    {
        "engine_control": (
            "cancel",
            "export_kv",
            "follow_cache_events",
            "import_kv",
            "read_cache_events",
            "read_load",
            "read_state",
            "send_order",
        ),
        "errors": (
            "EndpointConnectError",
            "EndpointCrossedError",
            "EndpointCutError",
            "EndpointError",
            "EndpointFailedError",
            "EndpointRefusedError",
            "EndpointRejectedError",
            "EndpointTimeoutError",
            "FencedError",
        ),
        "messages": (
            "CacheEvent",
            "CacheEventPage",
            "CacheUpdate",
            "EngineOrder",
            "EngineState",
            "KvExport",
            "LoadReport",
        ),
        "model_engine": (
            "fetch_answer",
            "open_stream",
        ),
        "plain_service": (
            "CompleteAnswer",
            "OpenAnswer",
            "call",
            "open_call",
        ),
    },
)
