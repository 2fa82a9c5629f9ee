"""How far a question for a request's holder has been passed on.

An instance knows all members of its own data centre and a few contacts in the
others. It asks the holders that it knows, then a contact in each other data
centre, which asks only the holders that it knows; the header says which of
these a question is, so that none goes round.
"""

from __future__ import annotations

RELAYED_HEADER = "X-Relayed"
TO_HOLDER = "1"
TO_DATA_CENTRE = "data-centre"
