"""Names of a package that are imported when they are first used.

A package that names all its parts would load them all into every process. An
instance on the platform uses few of them, and each module loaded is time in which a
process that was killed does not serve yet.
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
    """Return a package's ``__getattr__``.

    Parameters
    ----------
    package : str
        The package's ``__name__``.
    modules : dict
        Names by the module of the package that has them.

    Raises
    ------
    AttributeError
        By the function returned, for a name that the package does not have.
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
