#include "banyanknot/coordination/actions/at_most_once_policy.h"

#include <catch2/catch.hpp>
#include <vector>

namespace banyanknot::coordination {
namespace {

const state::SubRequest& Sent() {
  static const state::SubRequest* const kSent = [] {
    state::SubRequest* request = new state::SubRequest();
    request->request = {7, 8};
    request->attempt = 2;
    request->shard = 3;
    return request;
  }();
  return *kSent;
}

state::SubReply Echo(state::ReplyStatus status) {
  state::SubReply reply;
  reply.request = {7, 8};
  reply.attempt = 2;
  reply.shard = 3;
  reply.status = status;
  return reply;
}

TEST_CASE("Only a proven refusal is classified as one: failures") {
  struct Row {
    BackendFailure failure;
    ActionVerdict verdict;
  };
  const std::vector<Row> rows = {
      {BackendFailure::kNotSent, ActionVerdict::kRefused},
      {BackendFailure::kConnectionLimit, ActionVerdict::kRefused},
      {BackendFailure::kExpired, ActionVerdict::kRefused},
      {BackendFailure::kLost, ActionVerdict::kUnknown},
      {BackendFailure::kTimeout, ActionVerdict::kUnknown},
      {BackendFailure::kBadReply, ActionVerdict::kUnknown},
      {BackendFailure::kCancelled, ActionVerdict::kUnknown},
  };
  REQUIRE(rows.size() == kBackendFailureNames.size());
  for (const Row& row : rows) {
    INFO(NameOf(row.failure));
    CHECK(NameOf(AtMostOncePolicy().Classify(Sent(), row.failure)) ==
          NameOf(row.verdict));
  }
}

TEST_CASE("Only a proven refusal is classified as one: replies") {
  struct Row {
    state::ReplyStatus status;
    ActionVerdict verdict;
  };
  const std::vector<Row> rows = {
      {state::ReplyStatus::kOk, ActionVerdict::kRan},
      {state::ReplyStatus::kShed, ActionVerdict::kRefused},
      {state::ReplyStatus::kDraining, ActionVerdict::kRefused},
      {state::ReplyStatus::kSnapshotMissing, ActionVerdict::kRefused},
      {state::ReplyStatus::kWrongShard, ActionVerdict::kRefused},
      {state::ReplyStatus::kDeadline, ActionVerdict::kUnknown},
      {state::ReplyStatus::kCancelled, ActionVerdict::kUnknown},
      {state::ReplyStatus::kFailed, ActionVerdict::kFailed},
  };
  REQUIRE(rows.size() == state::kReplyStatusNames.size());
  for (const Row& row : rows) {
    INFO(NameOf(row.status));
    CHECK(NameOf(AtMostOncePolicy().Classify(Sent(), Echo(row.status))) ==
          NameOf(row.verdict));
  }
}

TEST_CASE("A reply that echoes another attempt proves nothing") {
  for (const state::EnumName<state::ReplyStatus>& row :
       state::kReplyStatusNames) {
    INFO(row.name);
    state::SubReply other_request = Echo(row.value);
    other_request.request.sequence = 9;
    state::SubReply other_attempt = Echo(row.value);
    other_attempt.attempt = 1;
    state::SubReply other_shard = Echo(row.value);
    other_shard.shard = 4;
    for (const state::SubReply& reply :
         {other_request, other_attempt, other_shard}) {
      CHECK(AtMostOncePolicy().Classify(Sent(), reply) ==
            ActionVerdict::kUnknown);
    }
  }
}

}  // namespace
}  // namespace banyanknot::coordination
