"""HTTP routes of the administration API.

Each request is authenticated by an operator token. Edits, move orders and refusals
are recorded in the audit trail.
"""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec
from aiohttp import web

from lagoonring.administration.history import read_history
from lagoonring.administration.messages import (
    AppliedEdit,
    ConfigView,
    EditOrder,
    MemberView,
    MoveOrder,
)
from lagoonring.administration.moves import (
    check_order,
    is_repeated,
    make_cancellation,
    make_move,
)
from lagoonring.administration.operators import (
    UNKNOWN_ACTOR,
    AuthenticatedOperator,
    check_admin_remains,
    make_authoriser,
    role_for_sections,
)
from lagoonring.administration.trace_search import find_trace
from lagoonring.catalogue import CatalogueContent
from lagoonring.catalogue.checks import find_reference_faults
from lagoonring.catalogue.edits import Change, Edit
from lagoonring.catalogue.errors import ConflictError
from lagoonring.decoding import decode_json
from lagoonring.errors import LagoonringError, Outcome
from lagoonring.kernel import BaseService
from lagoonring.requests.answers import json_response
from lagoonring.requests.caller_input import read_body
from lagoonring.requests.errors import BadJsonError
from lagoonring.settings import FaultyDocumentError, convert, to_plain

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from lagoonring.kernel import Application
    from lagoonring.requests.http_server import HttpService

T = TypeVar("T")

DEFAULT_ROWS = 50
MAX_ROWS = 1000
REFUSALS_INTERVAL_S = 10.0


class AdministrationService(BaseService):
    """Serves the administration API under ``/admin``, on the port for callers.

    Parameters
    ----------
    app : Application
        Provides the other services.
    http : HttpService
        Server to which the routes are added; must not be started yet.
    """

    name = "administration"

    def __init__(self, app: Application, http: HttpService) -> None:
        self.app = app
        self.catalogue = app.find("catalogue")
        self.audit = app.find("audit")
        self.requests = http.requests
        self.n_unknown_refusals = 0
        self.unknown_recorded_s = -REFUSALS_INTERVAL_S
        self.authorise = make_authoriser(
            lambda: self.catalogue.content, self._record_refusal
        )
        http.web_app.add_routes(
            [
                web.get("/admin/config", self.get_config),
                web.post("/admin/config", self.post_config),
                web.post("/admin/config/validate", self.validate_config),
                web.get("/admin/config/history", self.get_history),
                web.get("/admin/moves", self.get_moves),
                web.post("/admin/moves", self.post_move),
                web.delete("/admin/moves/{name}", self.cancel_move),
                web.get("/admin/fleet", self.get_fleet),
                web.get("/admin/peers", self.get_peers),
                web.get("/admin/requests/{request_id}", self.get_request),
                web.get("/admin/audit", self.get_audit),
            ]
        )

    async def get_config(self, request: web.Request) -> web.Response:
        """Return the catalogue in force at this instance."""
        self.authorise(request.headers, "viewer", "config.show")
        return json_response(
            ConfigView(
                revision=self.catalogue.revision,
                content=to_plain(self.catalogue.content),
            )
        )

    async def post_config(self, request: web.Request) -> web.Response:
        """Apply an edit; responds once it is in force at this instance."""
        self.authorise(request.headers, "operator", "config.apply")
        order = await self._read_order(request, EditOrder)
        sections = {change.section for change in order.changes}
        role = role_for_sections(sections)
        operator = self.authorise(request.headers, role, "config.apply")
        if "operators" in sections:
            with self._record_failure(operator, "config.apply", "operators"):
                check_admin_remains(self.catalogue.content, order.changes)
        edit = Edit(
            edit_id=order.edit_id,
            author=operator.name,
            base_revision=order.base_revision,
            changes=order.changes,
            note=order.note,
        )
        return await self._apply_edit(operator, edit, "config.apply")

    async def validate_config(self, request: web.Request) -> web.Response:
        """Validate a complete catalogue without changing anything."""
        self.authorise(request.headers, "viewer", "config.validate")
        body = await read_body(request, self.requests.parts.options)
        content = convert(_decode(body), CatalogueContent, name="catalogue")
        faults = find_reference_faults(content)
        if faults:
            raise FaultyDocumentError("catalogue", faults)
        return json_response({"valid": True})

    async def get_history(self, request: web.Request) -> web.Response:
        """Return the newest edits in the log."""
        self.authorise(request.headers, "viewer", "config.history")
        views = await read_history(self.app.find("log"), limit=_read_limit(request))
        return json_response(views)

    async def get_moves(self, request: web.Request) -> web.Response:
        """Return all version moves and their progress."""
        self.authorise(request.headers, "viewer", "move.status")
        return json_response(self.app.find("moves").status())

    async def post_move(self, request: web.Request) -> web.Response:
        """Order a version move."""
        operator = self.authorise(request.headers, "operator", "move.order")
        order = await self._read_order(request, MoveOrder)
        now_s = self.app.clock.time()

        def make_change() -> Change:
            content = self.catalogue.content
            check_order(order, content, moves.status(), moves.options)
            return make_move(order, content, author=operator.name, now_s=now_s)

        moves = self.app.find("moves")
        target = f"moves.{order.move_id}"
        with self._record_failure(operator, "move.order", target):
            content = self.catalogue.content
            if is_repeated(order, content, moves.status(), operator.name):
                return json_response(AppliedEdit(revision=self.catalogue.revision))
        return await self._apply_change(operator, make_change, "move.order", target)

    async def cancel_move(self, request: web.Request) -> web.Response:
        """Cancel a move, which then is undone."""
        operator = self.authorise(request.headers, "operator", "move.cancel")
        name = request.match_info["name"]

        def make_change() -> Change:
            moves = self.app.find("moves").status()
            return make_cancellation(name, self.catalogue.content, moves)

        return await self._apply_change(
            operator, make_change, "move.cancel", f"moves.{name}"
        )

    async def get_fleet(self, request: web.Request) -> web.Response:
        """Return the desired instances of the fleet in this data centre."""
        self.authorise(request.headers, "viewer", "fleet.status")
        fleet = self.app.services.get("fleet")
        return json_response(fleet.status() if fleet is not None else [])

    async def get_peers(self, request: web.Request) -> web.Response:
        """Return the members of this data centre and contacts in the others."""
        self.authorise(request.headers, "viewer", "peers")
        peers = self.app.find("peers")
        views = [
            MemberView(
                instance=member.instance,
                data_centre=member.data_centre,
                region=member.region,
                address=member.address,
                incarnation=member.incarnation,
                state=member.state.value,
            )
            for member in [peers.me, *peers.members()]
        ]
        return json_response(views)

    async def get_request(self, request: web.Request) -> web.Response:
        """Return the trace of a request, from another instance if needed."""
        self.authorise(request.headers, "viewer", "why")
        request_id = request.match_info["request_id"]
        trace = self.requests.traces.get(request_id)
        if trace is None:
            trace = await find_trace(
                self.app.find("handover"),
                self.requests.parts.session,
                request_id,
                request.headers,
            )
        return json_response(trace)

    async def get_audit(self, request: web.Request) -> web.Response:
        """Return the newest records of the audit trail."""
        self.authorise(request.headers, "viewer", "audit")
        records = await self.audit.read(
            limit=_read_limit(request),
            actor=request.query.get("actor", ""),
            action=request.query.get("action", ""),
        )
        return json_response(records)

    async def _apply_edit(
        self, operator: AuthenticatedOperator, edit: Edit, action: str
    ) -> web.Response:
        target = ", ".join(change.path for change in edit.changes)
        with self._record_failure(operator, action, target):
            revision = await self.catalogue.apply(edit)
        self.audit.record(operator.name, action, target, detail=f"revision {revision}")
        return json_response(AppliedEdit(revision=revision))

    async def _apply_change(
        self,
        operator: AuthenticatedOperator,
        make_change: Callable[[], Change],
        action: str,
        target: str,
    ) -> web.Response:
        """Apply a change; rebuild it once after a conflict on another item."""
        with self._record_failure(operator, action, target):
            edit = self._make_edit(operator, [make_change()])
        try:
            return await self._apply_edit(operator, edit, action)
        except ConflictError as error:
            if error.path == target:
                raise
        with self._record_failure(operator, action, target):
            edit = self._make_edit(operator, [make_change()])
        return await self._apply_edit(operator, edit, action)

    @contextlib.contextmanager
    def _record_failure(
        self, operator: AuthenticatedOperator, action: str, target: str
    ) -> Iterator[None]:
        """Record errors raised inside the block as refused or of unknown outcome."""
        try:
            yield
        except LagoonringError as error:
            is_outcome_unknown = error.outcome is Outcome.UNKNOWN
            outcome = "unknown" if is_outcome_unknown else "refused"
            self.audit.record(
                operator.name, action, target, outcome=outcome, detail=error.code
            )
            raise

    def _make_edit(
        self, operator: AuthenticatedOperator, changes: list[Change]
    ) -> Edit:
        return Edit(
            edit_id=f"{self.app.rng.getrandbits(128):032x}",
            author=operator.name,
            base_revision=self.catalogue.revision,
            changes=changes,
        )

    async def _read_order(self, request: web.Request, kind: type[T]) -> T:
        body = await read_body(request, self.requests.parts.options)
        return convert(_decode(body), kind, name="order")

    def _record_refusal(self, actor: str, action: str, reason: str) -> None:
        """Record a refusal.

        Refusals of unknown operators are counted and recorded at most once per
        ``REFUSALS_INTERVAL_S``, so that they do not flood the audit trail.
        """
        if actor == UNKNOWN_ACTOR:
            self.n_unknown_refusals += 1
            now_s = self.app.clock.monotonic()
            if now_s - self.unknown_recorded_s < REFUSALS_INTERVAL_S:
                return
            reason = f"{reason}, {self.n_unknown_refusals} since the last record"
            self.n_unknown_refusals, self.unknown_recorded_s = 0, now_s
        self.audit.record(actor, action, outcome="refused", detail=reason)


def _decode(body: bytes) -> Any:
    try:
        return decode_json(body)
    except msgspec.DecodeError as error:
        raise BadJsonError(
            f"Got a body with {error}, expected JSON.",
            remedy="Send one JSON object.",
        ) from error


def _read_limit(request: web.Request) -> int:
    text = request.query.get("n", "")
    number = int(text[:6]) if text.isascii() and text.isdigit() else DEFAULT_ROWS
    return max(1, min(number, MAX_ROWS))
