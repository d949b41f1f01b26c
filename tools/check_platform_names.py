#!/usr/bin/env python3
"""Fails where a name that the users' platform puts on the wire stands outside
platform/, deploy/ and their tests."""
import re
import subprocess
import sys

ALLOWED = ("platform/", "deploy/", "test/platform/", "journal/", "docs/",
           "tools/check_platform_names.py")
# Only what nobody else would write: common words such as Host or Key are not
# listed, and neither are headers of HTTP itself.
NAMES = re.compile(
    r"Attempt-Id|Deadline-Ms|Server-Stamp|Target-Instance|Instance-Id|"
    r"Server-Load|Server-Leaving|Not-Executed|Warmup-Ms|Part-Stamps|Missing-Parts|"
    r"/banyanknot/ready|kv-(key|range|watch)|op/(config|evacuate)|"
    r"BANYANKNOT_CONFIG|"
    # Fields, which stand in quotes wherever they are read or written.
    r"[\"'](WarmupLeftMs|WarmupPerS|WarmupS|HealthPath|MaxConns|RouteType|"
    r"non_idempotent|ObjectiveMs|TimeoutMs|MaxAttempts|MinCoverage|TopK|"
    r"MaxHeaderBytes|MaxBodyBytes|HeaderTimeoutMs|IdleTimeoutMs|AllowStale|"
    r"HasMore|AsOf|WaitMs|InternalPorts|MachineClass|HeartbeatMs|born|"
    r"Tenant|Tenants|ApiKeys|AuthExempt|RatePerS|StrictRevoke|RevokeMs)[\"']")


def main():
    files = subprocess.run(["git", "ls-files", "-co", "--exclude-standard"],
                           capture_output=True, text=True,
                           check=True).stdout.split("\n")
    failed = False
    for name in files:
        if not name or name.startswith(ALLOWED):
            continue
        try:
            with open(name, encoding="utf-8") as source:
                lines = source.read().split("\n")
        except (UnicodeDecodeError, FileNotFoundError):
            continue
        for number, line in enumerate(lines, 1):
            found = NAMES.search(line)
            if found:
                print(f"{name}:{number}: {found.group(0)} belongs to platform/",
                      file=sys.stderr)
                failed = True
    return 1 if failed else 0


sys.exit(main())
