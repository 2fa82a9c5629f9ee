from __future__ import annotations

import os
from pathlib import Path

from lagoonring.tests.builders.deployments import run_deployment
from lagoonring.tests.builders.transcripts import WRITE_VARIABLE

PAGE = Path(__file__).parents[2] / "docs" / "METRICS.md"
PREFIX = "lagoonring_"
HEAD = """# Metrics

`GET /metrics` of every entry instance gives these in the Prometheus text format,
beside those of the process. Made from a running instance by `make golden`; do not
edit.

| metric | type | labels | meaning |
| --- | --- | --- | --- |
"""


async def test_page_lists_the_metrics_of_a_running_instance():
    cloud = {"cloud_url": "http://127.0.0.1:1"}
    async with run_deployment(n_engines=0, n_services=0, entry=cloud) as deployment:
        registry = deployment.entries[0].find("metrics").registry
        collectors = set(registry._collector_to_names)
        rows = []
        for collector in collectors:
            labels = ", ".join(getattr(collector, "_labelnames", ())) or "-"
            for metric in collector.collect():
                if metric.name.startswith(PREFIX):
                    cells = (f"`{metric.name}`", metric.type, labels)
                    row = " | ".join((*cells, metric.documentation))
                    rows.append(f"| {row} |\n")
    text = HEAD + "".join(sorted(rows))
    if os.environ.get(WRITE_VARIABLE):
        PAGE.write_text(text)
    assert len(rows) > 20
    assert text == PAGE.read_text(), "docs/METRICS.md differs; see 'make golden'."
