#include "banyanknot/protocol/caller_codec.h"

#include <utility>

#include "banyanknot/protocol/json_reader.h"

namespace banyanknot::protocol {
namespace {

using nlohmann::json;

json RangesToJson(const std::vector<state::KeyRange>& ranges) {
  json array = json::array();
  for (const state::KeyRange& range : ranges) {
    array.push_back({range.begin, range.end});
  }
  return array;
}

}  // namespace

unsigned HttpStatusOf(state::Outcome outcome) {
  switch (outcome) {
    case state::Outcome::kOk:
      return 200;
    case state::Outcome::kNotRun:
    case state::Outcome::kCoverageShort:
      return 503;
    case state::Outcome::kUnknown:
      return 502;
    case state::Outcome::kDeadline:
      return 504;
    case state::Outcome::kInvalid:
      return 400;
    case state::Outcome::kFailed:
      return 422;
  }
  return 500;
}

state::Result<state::Query, ProtocolError> DecodeQuery(
    const std::string& body) {
  const state::Result<json, ProtocolError> parsed =
      ParseJson(body, kMaxCallerRequestBytes);
  if (!state::IsOk(parsed)) return state::ErrorOf(parsed);
  JsonReader reader(state::ValueOf(parsed), "");
  state::Query query;
  query.service = state::ServiceId(reader.String("service"));
  query.deadline = reader.MillisecondsOr("deadline_ms", state::Duration(0));
  query.min_coverage = reader.FractionOr("coverage_floor", 0.0);
  query.ask = reader.AnyOrNull("ask").dump();
  if (reader.Error()) return *reader.Error();
  return query;
}

HttpResponse EncodeAnswer(const state::Answer& answer) {
  json message = {{"request", ToText(answer.request)},
                  {"service", answer.service.Text()},
                  {"outcome", std::string(NameOf(answer.outcome))},
                  {"snapshot", answer.snapshot},
                  {"coverage", answer.coverage},
                  {"missing", RangesToJson(answer.missing)}};
  if (!answer.reason.empty()) message["reason"] = answer.reason;
  json records = json::array();
  for (const state::Record& record : answer.records) {
    records.push_back({record.key, json::parse(record.value, nullptr, false)});
  }
  message["records"] = std::move(records);
  HttpResponse response;
  response.status = HttpStatusOf(answer.outcome);
  response.body = message.dump();
  response.retry_after = answer.retry_after;
  return response;
}

HttpResponse EncodeInvalid(const ProtocolError& error) {
  const json message = {
      {"outcome", std::string(NameOf(state::Outcome::kInvalid))},
      {"error", std::string(NameOf(error.code))},
      {"pointer", error.pointer},
      {"reason", error.reason}};
  HttpResponse response;
  response.status = error.code == ProtocolErrorCode::kTooLarge ? 413 : 400;
  response.body = message.dump();
  return response;
}

}  // namespace banyanknot::protocol
