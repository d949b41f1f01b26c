#include "check_routes_command.h"

#include <fstream>
#include <optional>
#include <sstream>
#include <utility>

#include "banyanknot/coordination/quota/quota_rules.h"
#include "banyanknot/coordination/routing/route_check.h"
#include "banyanknot/coordination/routing/route_comparison.h"

namespace banyanknot::ctl {
namespace {

using coordination::RoutesDocument;

std::optional<std::string> ReadText(const std::string& file) {
  std::ifstream stream(file);
  if (!stream) return std::nullopt;
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

void PrintFault(const std::string& file, const coordination::EntryFault& fault,
                std::ostream& err) {
  err << file << ": " << (fault.pointer.empty() ? "/" : fault.pointer)
      << ": invalid: " << fault.reason << "\n";
}

void PrintFindings(const std::string& file, const RoutesDocument& document,
                   const std::vector<coordination::RouteFinding>& findings,
                   std::ostream& err) {
  for (const coordination::RouteFinding& finding : findings) {
    err << file << ": " << document.PointerTo(finding.place) << ": "
        << NameOf(finding.kind) << ": " << finding.detail << "\n";
  }
}

/// \returns the number of differences
std::size_t PrintDifferences(const RoutesDocument& in_force,
                             const RoutesDocument& next, std::ostream& out) {
  const std::vector<coordination::RouteDifference> differences =
      coordination::CompareRoutes(in_force.Table(), next.Table());
  for (const coordination::RouteDifference& difference : differences) {
    const bool is_removed =
        difference.kind == coordination::RouteDifferenceKind::kRemoved;
    const std::string pointer =
        (is_removed ? in_force : next).PointerTo(difference.place);
    out << NameOf(difference.kind) << " " << (pointer.empty() ? "/" : pointer);
    if (!difference.name.empty()) out << " \"" << difference.name << "\"";
    if (!difference.detail.empty()) out << ": " << difference.detail;
    out << "\n";
  }
  return differences.size();
}

}  // namespace

std::unique_ptr<RoutesDocument> CheckRoutesCommand::ReadInForce(
    const std::string& file, std::ostream& err) const {
  const std::optional<std::string> text = ReadText(file);
  if (!text) {
    err << file << ": can't be read\n";
    return nullptr;
  }
  coordination::RoutesDocumentResult result = this->reader.Read(*text);
  if (state::IsOk(result)) return state::TakeValue(std::move(result));
  PrintFault(file, state::ErrorOf(result), err);
  return nullptr;
}

ExitStatus CheckRoutesCommand::Run(const std::vector<std::string>& arguments,
                                   std::ostream& out, std::ostream& err) {
  if (arguments.empty() || arguments.size() > 2) {
    err << "usage: " << this->Usage() << "\n";
    return ExitStatus::kUsage;
  }
  const std::string& file = arguments[0];
  const std::optional<std::string> text = ReadText(file);
  if (!text) {
    err << file << ": can't be read\n";
    return ExitStatus::kUsage;
  }
  std::unique_ptr<RoutesDocument> in_force;
  if (arguments.size() == 2) {
    in_force = this->ReadInForce(arguments[1], err);
    if (in_force == nullptr) return ExitStatus::kUsage;
  }
  coordination::RoutesDocumentResult result = this->reader.Read(*text);
  if (!state::IsOk(result)) {
    PrintFault(file, state::ErrorOf(result), err);
    return ExitStatus::kFault;
  }
  const std::unique_ptr<RoutesDocument> next =
      state::TakeValue(std::move(result));
  std::vector<coordination::RouteFinding> findings;
  if (in_force != nullptr) {
    findings = coordination::CheckSuccession(in_force->Table(), next->Table());
  }
  for (coordination::RouteFinding& finding : coordination::CheckRoutes(
           next->Table(), coordination::QuotaRules().window)) {
    findings.push_back(std::move(finding));
  }
  PrintFindings(file, *next, findings, err);
  out << findings.size() << " findings";
  if (in_force != nullptr) {
    std::ostringstream lines;
    const std::size_t count = PrintDifferences(*in_force, *next, lines);
    out << ", " << count << " differences\n" << lines.str();
  } else {
    out << "\n";
  }
  return findings.empty() ? ExitStatus::kOk : ExitStatus::kFault;
}

}  // namespace banyanknot::ctl
