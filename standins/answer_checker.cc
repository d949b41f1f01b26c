#include "answer_checker.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>
#include <vector>

#include "banyanknot/state/key_range_set.h"
#include "banyanknot/state/outcome.h"
#include "snapshot_store.h"

namespace banyanknot::standins {
namespace {

using nlohmann::json;

constexpr double kCoverageTolerance = 1e-9;

CheckedAnswer Wrong(std::string complaint) {
  CheckedAnswer checked;
  checked.verdict = Verdict::kWrong;
  checked.complaint = std::move(complaint);
  return checked;
}

/// The ranges that the answer says it covers; nothing if it says it badly.
std::optional<std::vector<state::KeyRange>> CoveredRanges(const LoadItem& item,
                                                          const json& missing) {
  if (!missing.is_array()) return std::nullopt;
  state::KeyRangeSet gaps;
  for (const json& range : missing) {
    if (!range.is_array() || range.size() != 2) return std::nullopt;
    const state::KeyRange gap{range[0].get<std::uint64_t>(),
                              range[1].get<std::uint64_t>()};
    if (gap.IsEmpty() || !item.key_space.Contains(gap)) return std::nullopt;
    if (gaps.Insert(gap).size() != 1) return std::nullopt;
  }
  return gaps.MissingFrom(item.key_space);
}

std::vector<state::Record> ExpectedRecords(
    const LoadItem& item, const std::vector<state::KeyRange>& covered,
    std::uint64_t snapshot) {
  std::vector<state::Record> expected;
  for (const state::KeyRange& range : covered) {
    for (state::Record& record : RecordsOf(range, item.key_stride, snapshot)) {
      expected.push_back(std::move(record));
    }
  }
  return expected;
}

bool SameRecords(const std::vector<state::Record>& expected,
                 const json& records) {
  if (!records.is_array() || records.size() != expected.size()) return false;
  for (std::size_t index = 0; index < expected.size(); ++index) {
    const json& record = records[index];
    if (!record.is_array() || record.size() != 2) return false;
    if (record[0] != expected[index].key) return false;
    if (record[1].dump() != expected[index].value) return false;
  }
  return true;
}

CheckedAnswer CheckCoverage(const LoadItem& item, const json& answer) {
  const std::optional<std::vector<state::KeyRange>> covered =
      CoveredRanges(item, answer.value("missing", json::array()));
  if (!covered) return Wrong("missing ranges are not ranges of the key space");
  std::uint64_t covered_size = 0;
  for (const state::KeyRange& range : *covered) covered_size += range.Size();
  CheckedAnswer checked;
  checked.coverage = static_cast<double>(covered_size) /
                     static_cast<double>(item.key_space.Size());
  const double said = answer.value("coverage", -1.0);
  if (std::fabs(said - checked.coverage) > kCoverageTolerance) {
    return Wrong("coverage " + std::to_string(said) + " but " +
                 std::to_string(checked.coverage) + " is not missing");
  }
  const std::uint64_t snapshot = answer.value("snapshot", std::uint64_t{0});
  if (!SameRecords(ExpectedRecords(item, *covered, snapshot),
                   answer.value("records", json::array()))) {
    return Wrong("records differ from those of snapshot " +
                 std::to_string(snapshot));
  }
  return checked;
}

CheckedAnswer CheckTypedAnswer(const LoadItem& item, const json& answer) {
  if (answer.value("service", item.service) != item.service) {
    return Wrong("answers for another service");
  }
  const std::string name = answer.value("outcome", "");
  const std::optional<state::Outcome> outcome =
      state::FindValue(state::kOutcomeNames, name);
  CheckedAnswer checked;
  if (outcome && !item.is_action && answer.contains("coverage")) {
    checked = CheckCoverage(item, answer);
  }
  checked.outcome = name;
  const std::string reason = answer.value("reason", "");
  if (!reason.empty()) checked.outcome += ": " + reason;
  if (checked.verdict == Verdict::kWrong) return checked;
  if (outcome == state::Outcome::kNotRun) checked.verdict = Verdict::kNotRun;
  if (outcome != state::Outcome::kOk) return checked;
  checked.verdict = Verdict::kAnswered;
  if (!item.is_action && checked.coverage < item.coverage_floor) {
    checked = Wrong("ok below the floor of the coverage");
  }
  return checked;
}

}  // namespace

CheckedAnswer CheckAnswer(const LoadItem& item, const std::string& body) {
  const json answer = json::parse(body, nullptr, false);
  if (!answer.is_object()) return Wrong("not a JSON object");
  try {
    return CheckTypedAnswer(item, answer);
  } catch (const json::type_error& error) {
    return Wrong(error.what());
  }
}

}  // namespace banyanknot::standins
