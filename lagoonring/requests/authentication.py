"""Authenticates each request by the organisations' key hashes in the catalogue."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from lagoonring.requests.errors import MissingKeyError, WrongKeyError

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from lagoonring.catalogue import CatalogueContent

BEARER_PREFIX = "bearer "


def hash_key(key: str) -> str:
    """Return the hash of a key as the catalogue stores it."""
    digest = hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()
    return f"sha256:{digest}"


def key_from_headers(headers: Mapping[str, str]) -> str:
    """Return the key of an ``Authorization: Bearer`` header.

    Raises
    ------
    MissingKeyError
        If the headers hold no bearer key.
    """
    value = headers.get("Authorization", "")
    if not value.lower().startswith(BEARER_PREFIX):
        raise MissingKeyError(
            "Got no bearer key, expected the header 'Authorization: Bearer KEY'.",
            remedy="Send the organisation's key.",
        )
    return value[len(BEARER_PREFIX) :].strip()


def make_authenticate() -> tuple[
    Callable[[Mapping[str, str]], str], Callable[[CatalogueContent, int], None]
]:
    """Return a function that maps headers to an organisation, and its updater.

    The caller subscribes the updater to the catalogue; it replaces the known key
    hashes with those of the new revision.
    """
    organisations: dict[str, str] = {}

    def update(content: CatalogueContent, revision: int) -> None:
        organisations.clear()
        for name, organisation in content.organisations.items():
            for key_hash in organisation.key_hashes:
                organisations[key_hash] = name

    def authenticate(headers: Mapping[str, str]) -> str:
        organisation = organisations.get(hash_key(key_from_headers(headers)))
        if organisation is None:
            raise WrongKeyError(
                "Got a key of no organisation, expected one in the catalogue.",
                remedy="Check the key, or ask the operators for a new one.",
            )
        return organisation

    return authenticate, update
