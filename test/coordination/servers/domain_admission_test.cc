#include <catch2/catch.hpp>
#include <optional>
#include <vector>

#include "banyanknot/coordination/servers/guarded_domain_admission.h"

namespace banyanknot::coordination::servers_test {
namespace {

class FixedViewGuard : public ViewGuard {
 public:
  ViewFreshness Freshness() override { return this->freshness; }
  ViewFreshness freshness = ViewFreshness::kFresh;
};

class FixedAdmission : public DomainAdmission {
 public:
  std::optional<GateRefusal> Check(
      const state::FailureDomainId& /*domain*/) override {
    return this->refusal;
  }
  std::optional<GateRefusal> refusal;
};

struct TrustRow {
  ViewFreshness freshness;
  const char* domain;
  std::optional<GateRefusal> next;
  std::optional<GateRefusal> expected;
};

TEST_CASE("GuardedDomainAdmission admits only domains with a fresh view") {
  const std::optional<GateRefusal> none;
  const std::vector<TrustRow> rows{
      {ViewFreshness::kFresh, "a", none, none},
      {ViewFreshness::kFresh, "b", none, none},
      {ViewFreshness::kFresh, "b", GateRefusal::kDomainOut,
       GateRefusal::kDomainOut},
      {ViewFreshness::kStale, "a", none, GateRefusal::kViewSuspect},
      {ViewFreshness::kStale, "b", none, GateRefusal::kViewSuspect},
      {ViewFreshness::kOwnDomainOnly, "a", none, none},
      {ViewFreshness::kOwnDomainOnly, "b", none, GateRefusal::kViewSuspect},
      {ViewFreshness::kOwnDomainOnly, "a", GateRefusal::kDomainOut,
       GateRefusal::kDomainOut},
  };
  for (const TrustRow& row : rows) {
    INFO(NameOf(row.freshness) << " " << row.domain);
    FixedViewGuard guard;
    guard.freshness = row.freshness;
    FixedAdmission next;
    next.refusal = row.next;
    GuardedDomainAdmission admission(guard, state::FailureDomainId("a"), next);
    CHECK(admission.Check(state::FailureDomainId(row.domain)) == row.expected);
  }
}

}  // namespace
}  // namespace banyanknot::coordination::servers_test
