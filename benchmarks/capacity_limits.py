"""Measures how the refresh of limit shares grows with the number of organisations.

Uses the fixed peers of ``limits_cost`` (57 instances, 7 data centres) with the given
number of organisations, each with all three limits. Prints a JSON object per size and
round::

    python benchmarks/capacity_limits.py 10 20 50 100
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import time

import limits_cost

N_REFRESHES = 20
MILLISECONDS = 1e3


def main() -> None:
    """Measure all sizes in turn, for several rounds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("sizes", type=int, nargs="*", default=[10, 20, 50, 100])
    parser.add_argument("--rounds", type=int, default=3)
    options = parser.parse_args()
    limits_cost.N_REFRESHES = N_REFRESHES
    for _ in range(options.rounds):
        for n_organisations in options.sizes:
            limits_cost.N_ORGANISATIONS = n_organisations
            start_cpu_s = time.process_time()
            refresh_s = asyncio.run(limits_cost.measure_refresh())
            row = {
                "n_organisations": n_organisations,
                "refresh_ms": round(MILLISECONDS * refresh_s, 2),
                "cpu_s_of_run": round(time.process_time() - start_cpu_s, 2),
                "load_average": round(os.getloadavg()[0], 1),
            }
            print(json.dumps(row), flush=True)


if __name__ == "__main__":
    main()
