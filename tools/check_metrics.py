#!/usr/bin/env python3
"""Fails when docs/METRICS.md and the metrics in the code differ; with --write
it writes the page's table anew."""
import pathlib
import re
import sys

import page_table

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs/METRICS.md"
METRIC = re.compile(r'"(banyanknot_\w+)"[^";]*((?:"[^"]*"\s*)+)')


def program(path):
    name = path.name
    return "edge" if name.startswith("relay_") else "host"


def table():
    rows = {}
    for folder in ("src", "daemons"):
        for path in sorted((ROOT / folder).rglob("*.cc")):
            text = path.read_text(encoding="utf-8")
            for name, words in METRIC.findall(text):
                help_text = "".join(re.findall(r'"([^"]*)"', words))
                rows[name] = (program(path), help_text)
    lines = ["| metric | kind | program | meaning |",
             "| --- | --- | --- | --- |"]
    for name, (written_by, help_text) in sorted(rows.items()):
        kind = ("counter" if name.endswith("_total") else
                "histogram" if name.endswith("_duration_seconds") else "gauge")
        lines.append(f"| `{name}` | {kind} | {written_by} | {help_text} |")
    return "\n".join(lines) + "\n"


sys.exit(page_table.check_or_write(PAGE, "| metric |", table(),
                                   "tools/check_metrics.py"))
