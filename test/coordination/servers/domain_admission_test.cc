#include <catch2/catch.hpp>
#include <optional>
#include <vector>

#include "banyanknot/coordination/servers/guarded_domain_admission.h"

namespace banyanknot::coordination::servers_test {
namespace {

class FixedViewGuard : public ViewGuard {
 public:
  ViewTrust Trust() override { return this->trust; }
  ViewTrust trust = ViewTrust::kTrusted;
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
  ViewTrust trust;
  const char* domain;
  std::optional<GateRefusal> next;
  std::optional<GateRefusal> expected;
};

TEST_CASE("GuardedDomainAdmission admits only domains with a fresh view") {
  const std::optional<GateRefusal> none;
  const std::vector<TrustRow> rows{
      {ViewTrust::kTrusted, "a", none, none},
      {ViewTrust::kTrusted, "b", none, none},
      {ViewTrust::kTrusted, "b", GateRefusal::kDomainOut,
       GateRefusal::kDomainOut},
      {ViewTrust::kSuspect, "a", none, GateRefusal::kViewSuspect},
      {ViewTrust::kSuspect, "b", none, GateRefusal::kViewSuspect},
      {ViewTrust::kOwnDomainOnly, "a", none, none},
      {ViewTrust::kOwnDomainOnly, "b", none, GateRefusal::kViewSuspect},
      {ViewTrust::kOwnDomainOnly, "a", GateRefusal::kDomainOut,
       GateRefusal::kDomainOut},
  };
  for (const TrustRow& row : rows) {
    INFO(NameOf(row.trust) << " " << row.domain);
    FixedViewGuard guard;
    guard.trust = row.trust;
    FixedAdmission next;
    next.refusal = row.next;
    GuardedDomainAdmission admission(guard, state::FailureDomainId("a"), next);
    CHECK(admission.Check(state::FailureDomainId(row.domain)) == row.expected);
  }
}

}  // namespace
}  // namespace banyanknot::coordination::servers_test
