"""Load example Norte: rental assistant, bookings, stock of prams and car seats."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))

from deployments import Assistant, Service, User
from running import main

NORTE = User(
    name="norte",
    entries={"bilbao": 3, "santander": 2, "oviedo": 2},
    engines={"bilbao": 2, "santander": 2, "oviedo": 1},
    services={"bilbao": 1, "santander": 1, "oviedo": 1},
    organisations={
        "ferries": 6.0,
        "airport": 3.0,
        "counter": 1.0,
        "hotels": 1.0,
        "campings": 1.0,
    },
    assistant=Assistant(
        name="rental", conversations_per_s=1.8, n_turns_most=5, system_bytes=6000
    ),
    calls=[
        Service(
            name="bookings",
            method="POST",
            path="/deposits",
            per_s=3.0,
            resend_share=0.1,
        ),
        Service(name="inventory", method="GET", path="/stock/car-seats", per_s=6.0),
    ],
    peak=("ferry arrival", 2.0, 3.0),
    one_way_s=0.0009,
)

if __name__ == "__main__":
    sys.exit(main(NORTE))
