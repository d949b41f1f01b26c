#!/usr/bin/env python3
"""Writes src/protocol/json_schema_texts.cc from schemas/; with --check it only
says whether the committed file matches."""
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
TARGET = ROOT / "src/protocol/json_schema_texts.cc"
SCHEMAS = [("HostSettingsSchemaText", "host_settings.schema.json"),
           ("RelaySettingsSchemaText", "relay_settings.schema.json"),
           ("CatalogueSchemaText", "catalogue.schema.json")]


def render():
    parts = ['#include "banyanknot/protocol/json_schema.h"\n\n'
             "// Written by tools/generate_schemas.py from schemas/.\n"
             "// clang-format off\n\nnamespace banyanknot::protocol {\n"]
    for function, name in SCHEMAS:
        text = (ROOT / "schemas" / name).read_text(encoding="utf-8")
        parts.append(f"\n// NOLINTNEXTLINE(readability-function-size)\n"
                     f"const std::string& {function}() {{\n"
                     f"  static const std::string* const kText = "
                     f'new std::string(R"schema({text})schema");\n'
                     "  return *kText;\n}\n")
    parts.append("\n}  // namespace banyanknot::protocol\n")
    return "".join(parts)


def main():
    if "--check" in sys.argv:
        if TARGET.read_text(encoding="utf-8") != render():
            print("run tools/generate_schemas.py", file=sys.stderr)
            return 1
        return 0
    TARGET.write_text(render(), encoding="utf-8")
    return 0


sys.exit(main())
