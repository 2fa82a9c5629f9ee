"""The header that limits how far a look-up of a request is relayed.

An instance knows all members of its own data centre and a few contacts in the
others. It asks the holders that it knows, then a contact in each other data
centre, which in turn asks only the holders that it knows. The header distinguishes
these two kinds of look-ups, which prevents loops.
"""

from __future__ import annotations

RELAYED_HEADER = "X-Relayed"
TO_HOLDER = "1"
TO_DATA_CENTRE = "data-centre"
