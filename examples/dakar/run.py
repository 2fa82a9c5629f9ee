"""Load example Dakar: ticketing assistant and booking desk of aquariums."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))

from deployments import Assistant, Service, User
from running import main

DAKAR = User(
    name="dakar",
    entries={"plateau": 3, "almadies": 3, "rufisque": 2},
    engines={"plateau": 2, "almadies": 2, "rufisque": 1},
    services={"plateau": 1, "almadies": 1, "rufisque": 1},
    organisations={"hann": 5.0, "ngor": 4.0, "goree": 1.0, "yoff": 1.0, "bargny": 1.0},
    assistant=Assistant(name="guide", conversations_per_s=2.0),
    calls=[
        Service(
            name="booking",
            method="POST",
            path="/bookings/feeding",
            per_s=4.0,
            resend_share=0.1,
        ),
        Service(name="booking", method="GET", path="/seats/feeding", per_s=4.0),
    ],
    peak=("school morning", 4.0, 2.0),
    one_way_s=0.0005,
)

if __name__ == "__main__":
    sys.exit(main(DAKAR))
