"""Lazy imports of a package's exported names.

A package that imports all the modules it exports loads them into every process. An
instance on the platform uses few of them, and each import delays the time at which a
restarted process serves again.
"""

from __future__ import annotations

import importlib
import sys
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping


def load_lazily(
    package: str, modules: Mapping[str, tuple[str, ...]]
) -> Callable[[str], Any]:
    """Return a ``__getattr__`` for a package that imports names on first access.

    Parameters
    ----------
    package : str
        The package's ``__name__``.
    modules : dict
        Maps each module of the package to the names that it exports.

    Raises
    ------
    AttributeError
        Raised by the returned function for a name that no module exports.
    """
    module_of = {name: module for module, names in modules.items() for name in names}

    def load(name: str) -> Any:
        module = module_of.get(name)
        if module is None:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        value = getattr(importlib.import_module(f"{package}.{module}"), name)
        setattr(sys.modules[package], name, value)
        return value

    return load
