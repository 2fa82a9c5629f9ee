"""Serves callers on a platform: decisions over plain data and the request path.

Nothing here knows the platform's names or formats; ``lagoonring.platform`` decodes
them into the types of this package.
"""

from __future__ import annotations
