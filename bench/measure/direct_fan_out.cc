#include "direct_fan_out.h"

#include <atomic>
#include <future>
#include <utility>

#include "banyanknot/protocol/backend_codec.h"

namespace banyanknot::measure {
namespace {

constexpr std::size_t kThreads = 2;
constexpr std::size_t kConnections = 2;
constexpr state::Duration kAllowed = state::Milliseconds(2'000);
constexpr std::uint64_t kOrigin = 7;

/// What the replies of one fan-out have come to.
struct Gathered {
  std::atomic<std::size_t> open{0};
  std::atomic<bool> has_failed{false};
  std::promise<void> done;
};

}  // namespace

DirectFanOut::DirectFanOut(const state::ServiceEntry& service)
    : threads(kThreads) {
  for (const state::ShardEntry& shard : service.shards) {
    const state::ServerEntry* server =
        service.FindServer(shard.replicas.front());
    Target target;
    target.pool = std::make_unique<transport::HttpConnectionPool>(
        this->threads.Context(), this->clock, server->endpoint, kConnections);
    target.request.attempt = 1;
    target.request.service = service.id;
    target.request.shard = shard.id;
    target.request.range = shard.range;
    this->targets.push_back(std::move(target));
  }
}

double DirectFanOut::RunOnce() {
  const state::TimePoint start = this->clock.Now();
  const std::shared_ptr<Gathered> gathered = std::make_shared<Gathered>();
  gathered->open = this->targets.size();
  const std::uint64_t sequence = this->next_sequence++;
  for (Target& target : this->targets) {
    target.request.request = {kOrigin, sequence};
    transport::HttpCall call(transport::AcceptAnyResponse);
    call.request = {"POST", protocol::kSubRequestPath,
                    protocol::EncodeSubRequest(target.request, kAllowed)};
    call.deadline = start + kAllowed;
    call.send_before = call.deadline;
    target.pool->Call(
        std::move(call), [gathered](const transport::HttpCallResult& result) {
          if (!state::IsOk(result) || !state::IsOk(protocol::DecodeSubReply(
                                          state::ValueOf(result).body))) {
            gathered->has_failed = true;
          }
          if (--gathered->open == 0) gathered->done.set_value();
        });
  }
  gathered->done.get_future().wait();
  if (gathered->has_failed) return -1;
  return state::ToFractionalMilliseconds(this->clock.Now() - start);
}

}  // namespace banyanknot::measure
