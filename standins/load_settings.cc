#include "load_settings.h"

#include <limits>

#include "banyanknot/protocol/json_reader.h"

namespace banyanknot::standins {
namespace {

constexpr std::uint64_t kAnyNumber = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint64_t kMaxRate = 1'000'000;

LoadItem ReadItem(protocol::JsonReader& reader) {
  LoadItem item;
  item.service = reader.String("service");
  item.name = reader.StringOr("name", item.service);
  item.weight = reader.UnsignedOr("weight", item.weight, kMaxRate);
  item.deadline = reader.MillisecondsOr("deadline_ms", item.deadline);
  item.coverage_floor = reader.FractionOr("coverage_floor", 0);
  item.is_action = reader.BoolOr("action", false);
  item.key_space = {reader.UnsignedOr("begin", 0, kAnyNumber),
                    reader.Unsigned("end", kAnyNumber)};
  item.key_stride = reader.UnsignedOr("key_stride", 100, kAnyNumber);
  item.shards = reader.UnsignedOr("shards", 1, kAnyNumber);
  if (item.key_space.IsEmpty() || item.key_stride == 0 || item.weight == 0) {
    reader.Fail(protocol::ProtocolErrorCode::kOutOfRange, "end",
                "needs keys, a stride and a weight");
  }
  return item;
}

}  // namespace

state::Result<LoadSettings, protocol::ProtocolError> ReadLoadSettings(
    const nlohmann::json& value) {
  protocol::JsonReader reader(value, "");
  LoadSettings settings;
  settings.rate = reader.UnsignedOr("rate", settings.rate, kMaxRate);
  settings.seed = reader.UnsignedOr("seed", settings.seed, kAnyNumber);
  settings.ready_poll =
      reader.MillisecondsOr("ready_poll_ms", settings.ready_poll);
  for (const nlohmann::json& item : reader.ArrayOrEmpty("mix")) {
    protocol::JsonReader nested(item, "/mix");
    settings.mix.push_back(ReadItem(nested));
    reader.Adopt(nested);
  }
  if (settings.mix.empty() || settings.rate == 0) {
    reader.Fail(protocol::ProtocolErrorCode::kOutOfRange, "mix",
                "needs an item and a rate");
  }
  if (reader.Error()) return *reader.Error();
  return settings;
}

}  // namespace banyanknot::standins
