"""Validators of single option values.

Each function returns an ``attrs`` validator, which raises ``ValueError`` with a message
of the form ``got X, expected Y``.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    Validator = Callable[[Any, Any, Any], None]

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
URL_PATTERN = re.compile(r"https?://[^\s/]+(/\S*)?")
N_PORTS = 65_536


def between(low: float, high: float) -> Validator:
    """Accept numbers from ``low`` to ``high``, inclusive."""

    def validate(instance: Any, attribute: Any, value: Any) -> None:
        if not low <= value <= high:
            raise ValueError(f"got {value!r}, expected a number from {low} to {high}")

    return validate


def one_of(choices: Collection[Any]) -> Validator:
    """Accept only the given values."""

    def validate(instance: Any, attribute: Any, value: Any) -> None:
        if value not in choices:
            known = ", ".join(str(choice) for choice in choices)
            raise ValueError(f"got {value!r}, expected one of: {known}")

    return validate


def matches(pattern: re.Pattern[str], expected: str) -> Validator:
    """Accept strings that match the pattern in full."""

    def validate(instance: Any, attribute: Any, value: Any) -> None:
        if not pattern.fullmatch(value):
            raise ValueError(f"got {value!r}, expected {expected}")

    return validate


def optional(validator: Validator) -> Validator:
    """Accept None, or what ``validator`` accepts."""

    def validate(instance: Any, attribute: Any, value: Any) -> None:
        if value is not None:
            validator(instance, attribute, value)

    return validate


def is_name() -> Validator:
    """Accept lower-case names of up to 63 letters, digits, ``.``, ``_``, ``-``."""
    return matches(NAME_PATTERN, "1 to 63 of a-z 0-9 . _ - beginning with a-z or 0-9")


def is_url() -> Validator:
    """Accept http and https URLs."""
    return matches(URL_PATTERN, "a URL such as http://127.0.0.1:8700")


def is_port() -> Validator:
    """Accept TCP port numbers; 0 lets the system choose a free one."""
    return between(0, N_PORTS - 1)
