"""Routes of the administration API.

Every request carries an operator's token. Edits, orders and refusals go into
the audit trail.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

import attrs
import msgspec
from aiohttp import web

from lagoonring.administration.history import read_history
from lagoonring.administration.messages import (
    Applied,
    EditOrder,
    MoveOrder,
    ShownConfig,
    ShownMember,
)
from lagoonring.administration.operators import (
    Caller,
    make_authorise,
    role_for_sections,
)
from lagoonring.catalogue import CatalogueContent, Move
from lagoonring.catalogue.checks import find_reference_faults
from lagoonring.catalogue.edits import Change, Edit
from lagoonring.errors import LagoonringError
from lagoonring.kernel import BaseService
from lagoonring.requests.answers import json_response
from lagoonring.requests.errors import BadJsonError, UnknownRequestError
from lagoonring.requests.reading import read_body
from lagoonring.settings import FaultyDocumentError, convert, to_plain

if TYPE_CHECKING:
    from lagoonring.kernel import Application
    from lagoonring.requests.http_server import HttpService

T = TypeVar("T")

N_SHOWN_DEFAULT = 50
N_SHOWN_MOST = 1000


class UnknownMoveError(LagoonringError, LookupError):
    """No move has the name asked for."""

    code = "unknown_move"
    status = 404


class AdministrationService(BaseService):
    """Serves operators on the callers' port under ``/admin``.

    Parameters
    ----------
    app : Application
        Finds the other services.
    http : HttpService
        Gets the routes; must not have started yet.
    """

    name = "administration"

    def __init__(self, app: Application, http: HttpService) -> None:
        self.app = app
        self.catalogue = app.find("catalogue")
        self.audit = app.find("audit")
        self.requests = http.requests
        self.authorise = make_authorise(
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
        """Show the catalogue in force here."""
        self.authorise(request.headers, "viewer", "config.show")
        return json_response(
            ShownConfig(
                revision=self.catalogue.revision,
                content=to_plain(self.catalogue.content),
            )
        )

    async def post_config(self, request: web.Request) -> web.Response:
        """Apply an edit; answers once it is in force here."""
        order = await self._read(request, EditOrder)
        sections = {change.section for change in order.changes}
        role = role_for_sections(sections)
        caller = self.authorise(request.headers, role, "config.apply")
        edit = Edit(
            edit_id=order.edit_id,
            author=caller.name,
            base_revision=order.base_revision,
            changes=order.changes,
            note=order.note,
        )
        return await self._apply(caller, edit, "config.apply")

    async def validate_config(self, request: web.Request) -> web.Response:
        """Check a whole catalogue; nothing is changed."""
        self.authorise(request.headers, "viewer", "config.validate")
        body = await read_body(request, self.requests.parts.options)
        content = convert(_decode(body), CatalogueContent, name="catalogue")
        faults = find_reference_faults(content)
        if faults:
            raise FaultyDocumentError("catalogue", faults)
        return json_response({"valid": True})

    async def get_history(self, request: web.Request) -> web.Response:
        """Show the newest edits in the log."""
        self.authorise(request.headers, "viewer", "config.history")
        shown = await read_history(self.app.find("log"), n_most=_n_shown(request))
        return json_response(shown)

    async def get_moves(self, request: web.Request) -> web.Response:
        """Show all version moves and how far they are."""
        self.authorise(request.headers, "viewer", "move.status")
        return json_response(self.app.find("moves").status())

    async def post_move(self, request: web.Request) -> web.Response:
        """Order a version move."""
        caller = self.authorise(request.headers, "operator", "move.order")
        order = await self._read(request, MoveOrder)
        entry = self.catalogue.content.entries.get(order.entry)
        move = Move(
            entry=order.entry,
            to_version=order.to_version,
            from_version=entry.version if entry else "",
            deadline_s=self.app.clock.time() + order.deadline_in_s,
            ordered_by=caller.name,
        )
        change = Change(section="moves", name=order.move_id, item=to_plain(move))
        return await self._apply(caller, self._edit(caller, [change]), "move.order")

    async def cancel_move(self, request: web.Request) -> web.Response:
        """Cancel a move; it is undone."""
        caller = self.authorise(request.headers, "operator", "move.cancel")
        name = request.match_info["name"]
        move = self.catalogue.content.moves.get(name)
        if move is None:
            known = ", ".join(sorted(self.catalogue.content.moves)) or "none"
            raise UnknownMoveError(
                f"Got move {name[:80]!r}, expected one of: {known}.",
                remedy="See 'lagoonring move status'.",
            )
        item = to_plain(attrs.evolve(move, cancelled=True))
        change = Change(section="moves", name=name, item=item)
        return await self._apply(caller, self._edit(caller, [change]), "move.cancel")

    async def get_fleet(self, request: web.Request) -> web.Response:
        """Show the fleet's goals and instances."""
        self.authorise(request.headers, "viewer", "fleet.status")
        fleet = self.app.services.get("fleet")
        return json_response(fleet.status() if fleet is not None else [])

    async def get_peers(self, request: web.Request) -> web.Response:
        """Show the members that this instance knows."""
        self.authorise(request.headers, "viewer", "peers")
        peers = self.app.find("peers")
        shown = [
            ShownMember(
                instance=member.instance,
                data_centre=member.data_centre,
                region=member.region,
                address=member.address,
                incarnation=member.incarnation,
                state=member.state.value,
            )
            for member in [peers.me, *peers.members()]
        ]
        return json_response(shown)

    async def get_request(self, request: web.Request) -> web.Response:
        """Show each decision about a request that this instance served."""
        self.authorise(request.headers, "viewer", "why")
        request_id = request.match_info["request_id"]
        trace = self.requests.traces.get(request_id)
        if trace is None:
            origin = request_id.partition(".")[0]
            raise UnknownRequestError(
                f"Got request id {request_id[:80]!r}, expected a recent one of "
                "this instance.",
                remedy=f"Ask the instance {origin[:80]!r}, or the one that took it "
                "over; only the newest requests are kept.",
            )
        return json_response(trace)

    async def get_audit(self, request: web.Request) -> web.Response:
        """Show the newest records of the audit trail."""
        self.authorise(request.headers, "viewer", "audit")
        records = await self.audit.read(
            n_most=_n_shown(request),
            actor=request.query.get("actor", ""),
            action=request.query.get("action", ""),
        )
        return json_response(records)

    async def _apply(self, caller: Caller, edit: Edit, action: str) -> web.Response:
        target = ", ".join(change.path for change in edit.changes)
        try:
            revision = await self.catalogue.apply(edit)
        except LagoonringError as error:
            self.audit.record(
                caller.name, action, target, outcome="refused", detail=error.code
            )
            raise
        self.audit.record(caller.name, action, target, detail=f"revision {revision}")
        return json_response(Applied(revision=revision))

    def _edit(self, caller: Caller, changes: list[Change]) -> Edit:
        return Edit(
            edit_id=f"{self.app.rng.getrandbits(128):032x}",
            author=caller.name,
            base_revision=self.catalogue.revision,
            changes=changes,
        )

    async def _read(self, request: web.Request, kind: type[T]) -> T:
        body = await read_body(request, self.requests.parts.options)
        return convert(_decode(body), kind, name="order")

    def _record_refusal(self, actor: str, action: str, reason: str) -> None:
        self.audit.record(actor, action, outcome="refused", detail=reason)


def _decode(body: bytes) -> Any:
    try:
        return msgspec.json.decode(body)
    except msgspec.DecodeError as error:
        raise BadJsonError(
            f"Got a body with {error}, expected JSON.",
            remedy="Send one JSON object.",
        ) from error


def _n_shown(request: web.Request) -> int:
    text = request.query.get("n", "")
    number = int(text[:6]) if text.isascii() and text.isdigit() else N_SHOWN_DEFAULT
    return max(1, min(number, N_SHOWN_MOST))
