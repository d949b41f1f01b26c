#include "banyanknot/protocol/json_schema.h"

// Written by tools/generate_schemas.py from schemas/.
// clang-format off

namespace banyanknot::protocol {

// NOLINTNEXTLINE(readability-function-size)
const std::string& HostSettingsSchemaText() {
  static const std::string* const kText = new std::string(R"schema({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "Settings of one host",
  "type": "object",
  "additionalProperties": false,
  "required": ["id", "domain", "caller_listen", "peer_listen", "platform"],
  "properties": {
    "id": {"type": "string", "minLength": 1, "maxLength": 64},
    "domain": {"type": "string", "minLength": 1, "maxLength": 64},
    "caller_listen": {"$ref": "#/definitions/endpoint"},
    "peer_listen": {"$ref": "#/definitions/endpoint"},
    "platform": {"$ref": "#/definitions/endpoint"},
    "seed_peers": {"type": "array", "maxItems": 64, "items": {"$ref": "#/definitions/endpoint"}},
    "connect_from": {"type": "string", "pattern": "^[0-9a-fA-F:.]+$"},
    "threads": {"type": "integer", "minimum": 1, "maximum": 256},
    "policies": {"enum": ["full", "naive"]},
    "log_severity": {"enum": ["info", "warning", "error"]},
    "log_format": {"enum": ["text", "json"]}
  },
  "definitions": {
    "endpoint": {
      "type": "object",
      "additionalProperties": false,
      "required": ["address", "port"],
      "properties": {
        "address": {"type": "string", "pattern": "^[0-9a-fA-F:.]+$"},
        "port": {"type": "integer", "minimum": 0, "maximum": 65535}
      }
    }
  }
}
)schema");
  return *kText;
}

// NOLINTNEXTLINE(readability-function-size)
const std::string& RelaySettingsSchemaText() {
  static const std::string* const kText = new std::string(R"schema({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "Settings of one relay host",
  "type": "object",
  "additionalProperties": false,
  "required": ["id", "domain", "caller_listen", "ready_listen", "metrics_listen", "source"],
  "properties": {
    "id": {"type": "string", "minLength": 1, "maxLength": 64},
    "domain": {"type": "string", "minLength": 1, "maxLength": 64},
    "caller_listen": {"$ref": "#/definitions/endpoint"},
    "ready_listen": {"$ref": "#/definitions/endpoint"},
    "metrics_listen": {"$ref": "#/definitions/endpoint"},
    "source": {"$ref": "#/definitions/endpoint"},
    "peer_listen": {"$ref": "#/definitions/endpoint"},
    "seeds": {"type": "array", "maxItems": 16, "items": {"$ref": "#/definitions/endpoint"}},
    "core_share": {"type": "number", "exclusiveMinimum": 0, "maximum": 1},
    "source_contact_ms": {"type": "integer", "minimum": 100, "maximum": 600000},
    "memory_mb": {"type": "integer", "minimum": 16, "maximum": 1000000},
    "max_descriptors": {"type": "integer", "minimum": 64, "maximum": 1048576},
    "threads": {"type": "integer", "minimum": 1, "maximum": 256},
    "leave_grace_ms": {"type": "integer", "minimum": 0, "maximum": 600000},
    "stop_bound_ms": {"type": "integer", "minimum": 0, "maximum": 600000},
    "stop_grace_s": {"type": "number", "minimum": 1, "maximum": 600},
    "extra_request_share": {"type": "number", "minimum": 0, "maximum": 1},
    "server_choice": {"enum": ["least_cost", "two_choices"]},
    "strict_revocation": {"type": "boolean"},
    "revocation_ms": {"type": "integer", "minimum": 0, "maximum": 600000},
    "quota_window_s": {"type": "number", "exclusiveMinimum": 0, "maximum": 600},
    "quota_over": {"type": "number", "minimum": 0, "maximum": 10},
    "quota_slack": {"type": "number", "minimum": 0, "maximum": 1000000},
    "domains": {"type": "array", "minItems": 1, "maxItems": 64, "uniqueItems": true, "items": {"type": "string", "minLength": 1, "maxLength": 64}},
    "log_severity": {"enum": ["info", "warning", "error"]}
  },
  "definitions": {
    "endpoint": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$"}
  }
}
)schema");
  return *kText;
}

// NOLINTNEXTLINE(readability-function-size)
const std::string& CatalogueSchemaText() {
  static const std::string* const kText = new std::string(R"schema({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "Catalogue: an object of entry key to entry",
  "type": "object",
  "additionalProperties": false,
  "properties": {"fleet": {"$ref": "#/definitions/fleet"}},
  "patternProperties": {
    "^service/[A-Za-z0-9._-]{1,64}$": {"$ref": "#/definitions/service"},
    "^domain/[A-Za-z0-9._-]{1,64}$": {"$ref": "#/definitions/domain"}
  },
  "definitions": {
    "name": {"type": "string", "pattern": "^[A-Za-z0-9._-]{1,64}$"},
    "owner": {"type": "string", "minLength": 1, "maxLength": 128},
    "milliseconds": {"type": "integer", "minimum": 1, "maximum": 3600000},
    "fraction": {"type": "number", "minimum": 0, "maximum": 1},
    "service": {
      "type": "object",
      "additionalProperties": false,
      "required": ["id", "owner", "class", "servers", "shards"],
      "properties": {
        "id": {"$ref": "#/definitions/name"},
        "owner": {"$ref": "#/definitions/owner"},
        "class": {"enum": ["whole", "latency_first", "comparison"]},
        "limits": {
          "type": "object",
          "additionalProperties": false,
          "properties": {
            "max_in_flight": {"type": "integer", "minimum": 1, "maximum": 100000},
            "default_deadline_ms": {"$ref": "#/definitions/milliseconds"},
            "max_deadline_ms": {"$ref": "#/definitions/milliseconds"},
            "coverage_floor": {"$ref": "#/definitions/fraction"}
          }
        },
        "servers": {"type": "array", "minItems": 1, "maxItems": 10000, "items": {"$ref": "#/definitions/server"}},
        "shards": {"type": "array", "minItems": 1, "maxItems": 10000, "items": {"$ref": "#/definitions/shard"}}
      }
    },
    "server": {
      "type": "object",
      "additionalProperties": false,
      "required": ["id", "domain", "address", "port"],
      "properties": {
        "id": {"$ref": "#/definitions/name"},
        "domain": {"$ref": "#/definitions/name"},
        "address": {"type": "string", "pattern": "^[0-9a-fA-F:.]+$"},
        "port": {"type": "integer", "minimum": 1, "maximum": 65535},
        "slots": {"type": "integer", "minimum": 1, "maximum": 1024},
        "connections": {"type": "integer", "minimum": 1, "maximum": 65535},
        "cold_slots": {"type": "integer", "minimum": 1, "maximum": 1024},
        "warm_up_ms": {"type": "integer", "minimum": 0, "maximum": 3600000}
      }
    },
    "shard": {
      "type": "object",
      "additionalProperties": false,
      "required": ["id", "begin", "end", "replicas"],
      "properties": {
        "id": {"type": "integer", "minimum": 0, "maximum": 4294967295},
        "begin": {"type": "integer", "minimum": 0},
        "end": {"type": "integer", "minimum": 1},
        "replicas": {"type": "array", "minItems": 1, "maxItems": 64, "items": {"$ref": "#/definitions/name"}}
      }
    },
    "domain": {
      "type": "object",
      "additionalProperties": false,
      "required": ["id", "owner", "state"],
      "properties": {
        "id": {"$ref": "#/definitions/name"},
        "owner": {"$ref": "#/definitions/owner"},
        "region": {"type": "string", "maxLength": 64},
        "state": {"enum": ["in", "out"]}
      }
    },
    "fleet": {
      "type": "object",
      "additionalProperties": false,
      "required": ["owner"],
      "properties": {
        "owner": {"$ref": "#/definitions/owner"},
        "hedge_quantile": {"$ref": "#/definitions/fraction"},
        "hedge_budget": {"$ref": "#/definitions/fraction"},
        "retry_budget": {"$ref": "#/definitions/fraction"},
        "leave_grace_ms": {"$ref": "#/definitions/milliseconds"},
        "stop_bound_ms": {"$ref": "#/definitions/milliseconds"}
      }
    }
  }
}
)schema");
  return *kText;
}

}  // namespace banyanknot::protocol
