#include "banyanknot/coordination/actions/at_most_once_policy.h"

namespace banyanknot::coordination {
namespace {

bool EchoesAttempt(const state::SubRequest& sent,
                   const state::SubReply& reply) {
  return reply.request == sent.request && reply.attempt == sent.attempt &&
         reply.shard == sent.shard;
}

ActionVerdict VerdictOf(state::ReplyStatus status) {
  switch (status) {
    case state::ReplyStatus::kOk:
      return ActionVerdict::kRan;
    case state::ReplyStatus::kFailed:
      return ActionVerdict::kFailed;
    case state::ReplyStatus::kShed:
    case state::ReplyStatus::kDraining:
    case state::ReplyStatus::kSnapshotMissing:
    case state::ReplyStatus::kWrongShard:
      return ActionVerdict::kRefused;
    case state::ReplyStatus::kDeadline:
    case state::ReplyStatus::kCancelled:
      return ActionVerdict::kUnknown;
  }
  return ActionVerdict::kUnknown;
}

}  // namespace

ActionVerdict AtMostOncePolicy::Classify(const state::SubRequest& sent,
                                         const BackendResult& result) const {
  if (!state::IsOk(result)) {
    return IsProvenNotRun(state::ErrorOf(result)) ? ActionVerdict::kRefused
                                                  : ActionVerdict::kUnknown;
  }
  const state::SubReply& reply = state::ValueOf(result);
  return EchoesAttempt(sent, reply) ? VerdictOf(reply.status)
                                    : ActionVerdict::kUnknown;
}

}  // namespace banyanknot::coordination
