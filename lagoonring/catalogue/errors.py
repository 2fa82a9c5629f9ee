"""Errors of the catalogue."""

from __future__ import annotations

from lagoonring.errors import AnswerLostError, LagoonringError, UnavailableError


class ConflictError(LagoonringError, RuntimeError):
    """Another edit changed the same item since the base revision.

    Nothing was changed. ``revision`` and ``author`` are those of the other edit,
    ``path`` is the path of the item.
    """

    code = "conflict"
    status = 409

    def __init__(self, revision: int, author: str, path: str) -> None:
        self.revision = revision
        self.author = author
        self.path = path
        super().__init__(
            f"Got an edit of {path or 'an item'} that revision {revision} by "
            f"{author or 'an unknown author'} changed, expected an edit based on "
            "it or a later one.",
            remedy="Read the catalogue again, and base the edit on its revision.",
        )


class EditAnswerLostError(AnswerLostError):
    """The edit may have been appended; retry it with the same edit id."""

    code = "edit_answer_lost"

    def __init__(self, edit_id: str, timeout_s: float) -> None:
        self.edit_id = edit_id
        super().__init__(
            f"Got no word of edit {edit_id} within {timeout_s:g} s, expected it in "
            "the log.",
            remedy="Send the same edit with the same edit_id again: it is applied "
            "at most once and answers with what became of it.",
            retry_after_s=timeout_s,
        )


class CatalogueNotReadyError(UnavailableError):
    """This instance has not loaded the catalogue yet."""

    code = "catalogue_not_ready"

    def __init__(self) -> None:
        super().__init__(
            "Got a request before the catalogue was read, expected a ready instance.",
            remedy="Try another instance, or wait until the log or a peer is reached.",
            retry_after_s=1.0,
        )


class CatalogueBehindError(UnavailableError):
    """This instance has not read the base revision of the edit yet."""

    code = "catalogue_behind"

    def __init__(self, base_revision: int, revision: int) -> None:
        super().__init__(
            f"Got an edit based on revision {base_revision}, expected at most "
            f"revision {revision}, the newest that this instance has read.",
            remedy="Try again, or try another instance; nothing was changed.",
            retry_after_s=1.0,
        )
