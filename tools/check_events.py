#!/usr/bin/env python3
"""Fails when docs/EVENTS.md and the table of events differ; with --write it
writes the page's table anew."""
import pathlib
import re
import sys

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


def main():
    page = PAGE.read_text(encoding="utf-8")
    start = page.index("| number |")
    end = page.index("\n\n", start) + 1 if "\n\n" in page[start:] else len(page)
    if "--write" in sys.argv:
        PAGE.write_text(page[:start] + table() + page[end:], encoding="utf-8")
        return 0
    if page[start:end] != table():
        print("docs/EVENTS.md differs: tools/check_events.py --write",
              file=sys.stderr)
        return 1
    return 0


sys.exit(main())
