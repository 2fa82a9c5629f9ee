"""Request serving on a platform: the request path and the decisions that it uses.

This package is independent of the platform's names and formats, which
``lagoonring.platform`` decodes into the types defined here.
"""

from __future__ import annotations
