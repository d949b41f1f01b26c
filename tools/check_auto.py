#!/usr/bin/env python3
"""Fails where auto stands for something other than an iterator, a lambda, a
generic lambda's parameter or a structured binding."""
import re
import subprocess
import sys

ALLOWED = re.compile(
    r"auto[&*\s]*\[|"  # structured binding
    r"auto&{0,2} \w+\s*=\s*\[|"  # lambda
    r"auto&{0,2} \w+(\s*=|\s*:)[^;]*?(\.|->)(begin|end|rbegin|cbegin|find|"
    r"lower_bound|upper_bound|erase|emplace|insert|equal_range)\(|"
    r"auto&{0,2} \w+\s*=\s*std::(find\w*|lower_bound|upper_bound|min_element|"
    r"max_element|remove\w*|partition|next|prev|begin|unique)\b|"
    r"auto&{0,2}\s*\w*\s*[,)]|auto&&\.\.\.")


def main():
    files = subprocess.run(
        ["git", "ls-files", "-co", "--exclude-standard", "*.h", "*.cc"],
        capture_output=True, text=True, check=True).stdout.split()
    failed = False
    for name in files:
        if name.endswith("_generated.h"):
            continue
        with open(name, encoding="utf-8") as source:
            text = re.sub(r"//[^\n]*|/\*.*?\*/", "", source.read())
        for match in re.finditer(r"\bauto\b", text):
            if not ALLOWED.match(text, match.start()):
                line = text.count("\n", 0, match.start()) + 1
                print(f"{name}:{line}: auto is for iterators and lambdas only",
                      file=sys.stderr)
                failed = True
    return 1 if failed else 0


sys.exit(main())
