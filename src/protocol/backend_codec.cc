#include "banyanknot/protocol/backend_codec.h"

#include <limits>
#include <optional>
#include <utility>

#include "banyanknot/protocol/json_reader.h"

namespace banyanknot::protocol {
namespace {

using nlohmann::json;

constexpr std::uint64_t kMaxUint64 = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint64_t kMaxUint32 = std::numeric_limits<std::uint32_t>::max();
constexpr std::size_t kMaxSubRequestBytes = 1u << 20;

/// Parses JSON text to nest it in a message as a value, not as a string.
json EmbedJson(const std::string& text) {
  return text.empty() ? json() : json::parse(text, nullptr, false);
}

state::RequestId ReadRequestId(JsonReader& reader) {
  const std::optional<state::RequestId> id =
      state::RequestIdFromText(reader.String("request"));
  if (!id) {
    reader.Fail(ProtocolErrorCode::kMalformed, "request",
                "must be 32 hexadecimal digits");
    return {};
  }
  return *id;
}

std::uint32_t ReadUint32(JsonReader& reader, const char* member) {
  return static_cast<std::uint32_t>(reader.Unsigned(member, kMaxUint32));
}

state::KeyRange ReadRange(JsonReader& reader) {
  return {reader.Unsigned("begin", kMaxUint64),
          reader.Unsigned("end", kMaxUint64)};
}

json ReportToJson(const state::ServerReport& report) {
  return {{"instance", report.instance.Text()},
          {"running", report.running},
          {"queued", report.queued},
          {"warm", report.warm},
          {"leaving", report.leaving},
          {"oldest_snapshot", report.oldest_snapshot},
          {"newest_snapshot", report.newest_snapshot}};
}

state::ServerReport ReadReport(JsonReader& reader) {
  state::ServerReport report;
  report.instance = state::InstanceId(reader.String("instance"));
  report.running = ReadUint32(reader, "running");
  report.queued = ReadUint32(reader, "queued");
  report.warm = reader.BoolOr("warm", false);
  report.leaving = reader.BoolOr("leaving", false);
  report.oldest_snapshot = reader.UnsignedOr("oldest_snapshot", 0, kMaxUint64);
  report.newest_snapshot = reader.UnsignedOr("newest_snapshot", 0, kMaxUint64);
  return report;
}

void ReadRecords(JsonReader& reader, std::vector<state::Record>& records) {
  const json& array = reader.ArrayOrEmpty("records");
  records.reserve(array.size());
  for (const json& item : array) {
    if (!item.is_array() || item.size() != 2 || !item[0].is_number_unsigned()) {
      reader.Fail(ProtocolErrorCode::kWrongType, "records",
                  "must hold pairs of key and value");
      return;
    }
    records.push_back({item[0].get<std::uint64_t>(), item[1].dump()});
  }
}

}  // namespace

std::string EncodeSubRequest(const state::SubRequest& request,
                             state::Duration remaining) {
  json message = {{"request", ToText(request.request)},
                  {"attempt", request.attempt},
                  {"service", request.service.Text()},
                  {"shard", request.shard},
                  {"snapshot", request.snapshot},
                  {"begin", request.range.begin},
                  {"end", request.range.end},
                  {"repeatable", request.is_idempotent},
                  {"remaining_ms", state::ToMilliseconds(remaining)}};
  message["ask"] = EmbedJson(request.ask);
  return message.dump();
}

state::Result<state::SubRequest, ProtocolError> DecodeSubRequest(
    const std::string& body, state::TimePoint now) {
  const state::Result<json, ProtocolError> parsed =
      ParseJson(body, kMaxSubRequestBytes);
  if (!state::IsOk(parsed)) return state::ErrorOf(parsed);
  JsonReader reader(state::ValueOf(parsed), "");
  state::SubRequest request;
  request.request = ReadRequestId(reader);
  request.attempt = ReadUint32(reader, "attempt");
  request.service = state::ServiceId(reader.String("service"));
  request.shard = ReadUint32(reader, "shard");
  request.snapshot = reader.Unsigned("snapshot", kMaxUint64);
  request.range = ReadRange(reader);
  request.is_idempotent = reader.BoolOr("repeatable", true);
  request.deadline =
      now + reader.MillisecondsOr("remaining_ms", state::Duration(0));
  request.ask = reader.AnyOrNull("ask").dump();
  if (reader.Error()) return *reader.Error();
  return request;
}

std::string EncodeSubReply(const state::SubReply& reply) {
  json message = {{"request", ToText(reply.request)},
                  {"attempt", reply.attempt},
                  {"shard", reply.shard},
                  {"snapshot", reply.snapshot},
                  {"begin", reply.covered.begin},
                  {"end", reply.covered.end},
                  {"status", std::string(NameOf(reply.status))},
                  {"server", ReportToJson(reply.report)}};
  json records = json::array();
  for (const state::Record& record : reply.records) {
    records.push_back({record.key, EmbedJson(record.value)});
  }
  message["records"] = std::move(records);
  return message.dump();
}

state::Result<state::SubReply, ProtocolError> DecodeSubReply(
    const std::string& body) {
  const state::Result<json, ProtocolError> parsed =
      ParseJson(body, kMaxSubReplyBytes);
  if (!state::IsOk(parsed)) return state::ErrorOf(parsed);
  JsonReader reader(state::ValueOf(parsed), "");
  state::SubReply reply;
  reply.request = ReadRequestId(reader);
  reply.attempt = ReadUint32(reader, "attempt");
  reply.shard = ReadUint32(reader, "shard");
  reply.snapshot = reader.Unsigned("snapshot", kMaxUint64);
  reply.covered = ReadRange(reader);
  const std::optional<state::ReplyStatus> status =
      state::FindValue(state::kReplyStatusNames, reader.String("status"));
  if (!status) {
    reader.Fail(ProtocolErrorCode::kUnknownName, "status",
                "unknown reply status");
  }
  JsonReader report(reader.AnyOrNull("server"), "/server");
  reply.report = ReadReport(report);
  reader.Adopt(report);
  ReadRecords(reader, reply.records);
  if (reader.Error()) return *reader.Error();
  reply.status = *status;
  return reply;
}

std::string EncodeCancel(const state::SubRequest& request) {
  const json message = {{"request", ToText(request.request)},
                        {"attempt", request.attempt}};
  return message.dump();
}

std::string EncodeServerReport(const state::ServerReport& report) {
  return ReportToJson(report).dump();
}

state::Result<state::ServerReport, ProtocolError> DecodeServerReport(
    const std::string& body) {
  const state::Result<json, ProtocolError> parsed =
      ParseJson(body, kMaxServerReportBytes);
  if (!state::IsOk(parsed)) return state::ErrorOf(parsed);
  JsonReader reader(state::ValueOf(parsed), "");
  state::ServerReport report = ReadReport(reader);
  if (reader.Error()) return *reader.Error();
  return report;
}

}  // namespace banyanknot::protocol
