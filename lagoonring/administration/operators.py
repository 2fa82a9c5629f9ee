"""Authentication and authorisation of operators by token and role."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lagoonring.catalogue.entries import ROLES
from lagoonring.errors import LagoonringError
from lagoonring.requests.authentication import hash_key, key_from_headers
from lagoonring.requests.errors import MissingKeyError

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from lagoonring.catalogue import CatalogueContent
    from lagoonring.catalogue.edits import Change

UNKNOWN_ACTOR = "unknown"
ADMIN_SECTIONS = frozenset({"operators", "organisations"})


class MissingTokenError(LagoonringError, PermissionError):
    """The request has no operator token."""

    code = "missing_token"
    status = 401


class WrongTokenError(LagoonringError, PermissionError):
    """The token does not belong to an operator."""

    code = "wrong_token"
    status = 401


class WrongRoleError(LagoonringError, PermissionError):
    """The role of the operator does not permit the action."""

    code = "wrong_role"
    status = 403


class LastAdminError(LagoonringError, PermissionError):
    """The edit would remove the last operator with the role ``admin``."""

    code = "last_admin"
    status = 409


@attrs.frozen
class AuthenticatedOperator:
    """Authenticated operator."""

    name: str
    role: str


def make_authoriser(
    content: Callable[[], CatalogueContent],
    on_refusal: Callable[[str, str, str], None],
) -> Callable[[Mapping[str, str], str, str], AuthenticatedOperator]:
    """Return a function that authorises a request for an action.

    It maps headers, required role and action to the operator, or raises an error.

    Parameters
    ----------
    content : callable
        Returns the catalogue in force.
    on_refusal : callable
        Called with operator name, action and reason of each refusal.
    """

    def authorise(
        headers: Mapping[str, str], role: str, action: str
    ) -> AuthenticatedOperator:
        token_hash = hash_key(_token_from_headers(headers))
        for name, operator in content().operators.items():
            if operator.token_hash == token_hash:
                caller = AuthenticatedOperator(name, operator.role)
                break
        else:
            on_refusal(UNKNOWN_ACTOR, action, "wrong token")
            raise WrongTokenError(
                "Got a token of no operator, expected one in the catalogue.",
                remedy="Check the token, or ask an admin for a new one.",
            )
        if ROLES.index(caller.role) < ROLES.index(role):
            on_refusal(caller.name, action, f"role {caller.role}")
            raise WrongRoleError(
                f"Got role {caller.role!r} for {action}, expected {role!r} or higher.",
                remedy="Ask an operator with that role.",
            )
        return caller

    return authorise


def check_admin_remains(content: CatalogueContent, changes: Sequence[Change]) -> None:
    """Check that changes leave at least one admin in the catalogue.

    Raises
    ------
    LastAdminError
        If no admin would remain.
    """
    roles = {name: operator.role for name, operator in content.operators.items()}
    for change in changes:
        if change.section != "operators":
            continue
        item = change.item or {}
        roles[change.name] = item.get("role", "")
    if "admin" not in roles.values():
        raise LastAdminError(
            "Got an edit that leaves no operator with role admin, expected one.",
            remedy="Add another admin first, in an edit of its own or in this one.",
        )


def _token_from_headers(headers: Mapping[str, str]) -> str:
    try:
        token = key_from_headers(headers)
    except MissingKeyError:
        token = ""
    if not token:
        raise MissingTokenError(
            "Got no token, expected the header 'Authorization: Bearer TOKEN'.",
            remedy="Send an operator's token; the command line takes it from "
            "--token or LAGOONRING_TOKEN.",
        )
    return token


def role_for_sections(sections: set[str]) -> str:
    """Return the role required to edit these sections."""
    return "admin" if sections & ADMIN_SECTIONS else "operator"
