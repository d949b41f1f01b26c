#!/usr/bin/env python3
"""Fails when docs/EVENTS.md and the table of events differ; with --write it
writes the page's table anew."""
import pathlib
import re
import sys

import page_table

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEADER = ROOT / "include/banyanknot/coordination/event_code.h"
PAGE = ROOT / "docs/EVENTS.md"


def table():
    text = HEADER.read_text(encoding="utf-8")
    numbers = dict(re.findall(r"(k\w+) = (\d+)", text))
    rows = re.findall(
        r'\{EventCode::(k\w+),\s*"(\w+)",\s*LogSeverity::k(\w+),\s*'
        r'((?:"[^"]*"\s*)+)\}', text)
    lines = ["| number | name | severity | meaning |",
             "| --- | --- | --- | --- |"]
    for code, name, severity, meaning in rows:
        words = "".join(re.findall(r'"([^"]*)"', meaning))
        lines.append(
            f"| {numbers[code]} | {name} | {severity.lower()} | {words} |")
    if len(rows) != len(numbers):
        sys.exit("event_code.h: every code needs one description")
    return "\n".join(lines) + "\n"


sys.exit(page_table.check_or_write(PAGE, "| number |", table(),
                                   "tools/check_events.py"))
