"""Generator of the reference pages of error codes, settings and catalogue."""

from __future__ import annotations

import importlib
import inspect
import pkgutil
from typing import TYPE_CHECKING, Any

import attrs

import lagoonring
from lagoonring.catalogue.entries import CatalogueContent
from lagoonring.errors import LagoonringError
from lagoonring.settings.entry_settings import EntrySettings
from lagoonring.standins.options import StandinSettings

if TYPE_CHECKING:
    from collections.abc import Iterator

GENERATED_NOTE = "Made from the code by `make reference`; do not edit.\n"
SKIPPED_MODULES = ("tests", "__main__", "cli", "reference")


def make_pages() -> dict[str, str]:
    """Return the text of each page by file name."""
    _import_all()
    return {
        "ERRORS.md": _errors_page(),
        "SETTINGS.md": _classes_page(
            "Settings",
            "Settings files are JSON. `lagoonring-entry --settings FILE --check` and "
            "`lagoonring-standin --settings FILE --check` list every fault.",
            [EntrySettings, StandinSettings],
        ),
        "CATALOGUE.md": _classes_page(
            "Catalogue",
            "Sections map a name to an item. `lagoonring config validate FILE` lists "
            "every fault.",
            [CatalogueContent],
        ),
    }


def _errors_page() -> str:
    lines = ["# Error codes", "", GENERATED_NOTE]
    lines += ["| code | status | outcome | meaning |", "| --- | --- | --- | --- |"]
    for error in sorted(_all_errors(), key=lambda kind: (kind.code, kind.__name__)):
        outcome = error.outcome.value
        meaning = _first_line(error)
        lines.append(f"| `{error.code}` | {error.status} | {outcome} | {meaning} |")
    return "\n".join(lines) + "\n"


def _classes_page(title: str, intro: str, roots: list[type]) -> str:
    lines = [f"# {title}", "", GENERATED_NOTE, intro, ""]
    for cls in _reachable(roots):
        lines += [f"## {cls.__name__}", "", *_doc_lines(cls), ""]
        lines += ["| key | type | default |", "| --- | --- | --- |"]
        attrs.resolve_types(cls)
        for field in attrs.fields(cls):
            kind = _show_type(field.type)
            lines.append(f"| `{field.name}` | {kind} | {_show_default(field)} |")
        lines.append("")
    return "\n".join(lines)


def _reachable(roots: list[type]) -> list[type]:
    """Return attrs classes reachable from the roots, in breadth-first order."""
    found: list[type] = []
    pending = list(roots)
    while pending:
        cls = pending.pop(0)
        if cls in found:
            continue
        found.append(cls)
        attrs.resolve_types(cls)
        for field in attrs.fields(cls):
            pending += [kind for kind in _types_in(field.type) if attrs.has(kind)]
    return found


def _types_in(kind: Any) -> Iterator[type]:
    arguments = getattr(kind, "__args__", None)
    if arguments:
        for argument in arguments:
            yield from _types_in(argument)
    elif isinstance(kind, type):
        yield kind


def _show_type(kind: Any) -> str:
    text = kind.__name__ if isinstance(kind, type) else str(kind)
    for name in ("typing.", "lagoonring."):
        text = text.replace(name, "")
    arguments = getattr(kind, "__args__", ())
    for argument in arguments:
        if attrs.has(argument):
            full = f"{argument.__module__}.{argument.__qualname__}"
            text = text.replace(full.replace("lagoonring.", ""), argument.__name__)
    return f"`{text}`".replace("|", "\\|")


def _show_default(field: Any) -> str:
    if field.default is attrs.NOTHING:
        return "required"
    if isinstance(field.default, attrs.Factory):  # type: ignore[arg-type]
        value = field.default.factory()
        return "see below" if attrs.has(type(value)) else f"`{value!r}`"
    return f"`{field.default!r}`"


def _doc_lines(cls: type) -> list[str]:
    return (inspect.getdoc(cls) or "").splitlines()


def _first_line(cls: type) -> str:
    return (inspect.getdoc(cls) or "").splitlines()[0].replace("|", "\\|")


def _all_errors() -> set[type[LagoonringError]]:
    found: set[type[LagoonringError]] = set()
    pending = [LagoonringError]
    while pending:
        kind = pending.pop()
        for child in kind.__subclasses__():
            if child not in found and child.__module__.startswith("lagoonring."):
                found.add(child)
                pending.append(child)
    return {kind for kind in found if ".tests" not in kind.__module__}


def _import_all() -> None:
    for module in pkgutil.walk_packages(lagoonring.__path__, "lagoonring."):
        if not any(part in SKIPPED_MODULES for part in module.name.split(".")):
            importlib.import_module(module.name)
