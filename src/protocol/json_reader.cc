#include "banyanknot/protocol/json_reader.h"

#include <limits>
#include <utility>

namespace banyanknot::protocol {
namespace {

constexpr std::uint64_t kMaxMilliseconds = 1'000'000'000;

const nlohmann::json& EmptyArray() {
  static const nlohmann::json* const kEmpty =
      new nlohmann::json(nlohmann::json::array());
  return *kEmpty;
}

const nlohmann::json& Null() {
  static const nlohmann::json* const kNull = new nlohmann::json();
  return *kNull;
}

bool IsTooDeep(const std::string& text) {
  std::size_t depth = 0;
  bool in_string = false;
  for (std::size_t index = 0; index < text.size(); ++index) {
    const char character = text[index];
    if (in_string) {
      if (character == '\\') ++index;
      if (character == '"') in_string = false;
      continue;
    }
    if (character == '"') in_string = true;
    if (character == '[' || character == '{') ++depth;
    if ((character == ']' || character == '}') && depth > 0) --depth;
    if (depth > kMaxJsonDepth) return true;
  }
  return false;
}

}  // namespace

state::Result<nlohmann::json, ProtocolError> ParseJson(const std::string& text,
                                                       std::size_t max_bytes) {
  if (text.size() > max_bytes) {
    return ProtocolError{ProtocolErrorCode::kTooLarge, "",
                         "more than " + std::to_string(max_bytes) + " bytes"};
  }
  if (IsTooDeep(text)) {
    return ProtocolError{ProtocolErrorCode::kTooDeep, "",
                         "nests deeper than " + std::to_string(kMaxJsonDepth)};
  }
  nlohmann::json parsed = nlohmann::json::parse(text, nullptr, false);
  if (parsed.is_discarded()) {
    return ProtocolError{ProtocolErrorCode::kMalformed, "", "not JSON"};
  }
  return parsed;
}

JsonReader::JsonReader(const nlohmann::json& value, std::string pointer)
    : value(value), pointer(std::move(pointer)) {
  if (!value.is_object()) {
    this->error = ProtocolError{ProtocolErrorCode::kWrongType, this->pointer,
                                "must be an object"};
  }
}

const nlohmann::json* JsonReader::Find(const char* member) {
  if (this->error) return nullptr;
  const auto found = this->value.find(member);
  return found == this->value.end() ? nullptr : &*found;
}

void JsonReader::Fail(ProtocolErrorCode code, const std::string& member,
                      const std::string& reason) {
  if (this->error) return;
  this->error = ProtocolError{
      code, member.empty() ? this->pointer : this->pointer + "/" + member,
      reason};
}

void JsonReader::Adopt(const JsonReader& nested) {
  if (!this->error) this->error = nested.Error();
}

std::string JsonReader::String(const char* member) {
  if (this->Find(member) == nullptr) {
    this->Fail(ProtocolErrorCode::kMissing, member, "is required");
    return {};
  }
  return this->StringOr(member, "");
}

std::string JsonReader::StringOr(const char* member, std::string fallback) {
  const nlohmann::json* found = this->Find(member);
  if (found == nullptr) return fallback;
  if (!found->is_string()) {
    this->Fail(ProtocolErrorCode::kWrongType, member, "must be a string");
    return fallback;
  }
  return found->get<std::string>();
}

std::uint64_t JsonReader::Unsigned(const char* member, std::uint64_t max) {
  if (this->Find(member) == nullptr) {
    this->Fail(ProtocolErrorCode::kMissing, member, "is required");
    return 0;
  }
  return this->UnsignedOr(member, 0, max);
}

std::uint64_t JsonReader::UnsignedOr(const char* member, std::uint64_t fallback,
                                     std::uint64_t max) {
  const nlohmann::json* found = this->Find(member);
  if (found == nullptr) return fallback;
  if (!found->is_number_unsigned()) {
    this->Fail(ProtocolErrorCode::kWrongType, member,
               "must be a whole number of at least 0");
    return fallback;
  }
  const std::uint64_t number = found->get<std::uint64_t>();
  if (number > max) {
    this->Fail(ProtocolErrorCode::kOutOfRange, member,
               "must be at most " + std::to_string(max));
    return fallback;
  }
  return number;
}

double JsonReader::FractionOr(const char* member, double fallback) {
  const nlohmann::json* found = this->Find(member);
  if (found == nullptr) return fallback;
  if (!found->is_number()) {
    this->Fail(ProtocolErrorCode::kWrongType, member, "must be a number");
    return fallback;
  }
  const double number = found->get<double>();
  if (!(number >= 0.0 && number <= 1.0)) {
    this->Fail(ProtocolErrorCode::kOutOfRange, member, "must be from 0 to 1");
    return fallback;
  }
  return number;
}

bool JsonReader::BoolOr(const char* member, bool fallback) {
  const nlohmann::json* found = this->Find(member);
  if (found == nullptr) return fallback;
  if (!found->is_boolean()) {
    this->Fail(ProtocolErrorCode::kWrongType, member, "must be true or false");
    return fallback;
  }
  return found->get<bool>();
}

state::Duration JsonReader::MillisecondsOr(const char* member,
                                           state::Duration fallback) {
  if (this->Find(member) == nullptr) return fallback;
  return state::Milliseconds(
      static_cast<std::int64_t>(this->UnsignedOr(member, 0, kMaxMilliseconds)));
}

const nlohmann::json& JsonReader::ArrayOrEmpty(const char* member) {
  const nlohmann::json* found = this->Find(member);
  if (found == nullptr) return EmptyArray();
  if (!found->is_array()) {
    this->Fail(ProtocolErrorCode::kWrongType, member, "must be an array");
    return EmptyArray();
  }
  return *found;
}

const nlohmann::json& JsonReader::AnyOrNull(const char* member) {
  const nlohmann::json* found = this->Find(member);
  return found == nullptr ? Null() : *found;
}

}  // namespace banyanknot::protocol
