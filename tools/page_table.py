"""A table in a page of docs/ that is made from the code."""
import sys


def check_or_write(page, first_cell, table, command):
    """Compares the page's table with `table`; with --write, writes it anew.

    Returns the exit status: 1 where they differ."""
    text = page.read_text(encoding="utf-8")
    start = text.index(first_cell)
    end = text.index("\n\n", start) + 1 if "\n\n" in text[start:] else len(text)
    if "--write" in sys.argv:
        page.write_text(text[:start] + table + text[end:], encoding="utf-8")
        return 0
    if text[start:end] != table:
        print(f"docs/{page.name} differs: {command} --write", file=sys.stderr)
        return 1
    return 0
