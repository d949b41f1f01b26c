#include "cold_start_model.h"

#include <catch2/catch.hpp>

namespace banyanknot::standins {
namespace {

constexpr state::Duration kWarmUp = state::Milliseconds(1'000);
constexpr state::Duration kFall = state::Milliseconds(200);

ColdStart MakePolicy() {
  ColdStart policy;
  policy.cold_slots = 1;
  policy.warm_up = kWarmUp;
  policy.fall_time = kFall;
  policy.fall_factor = 50;
  return policy;
}

TEST_CASE("A cold stand-in falls over only when it gets more than it bears") {
  const ColdStart policy = MakePolicy();
  state::TimePoint now(state::Milliseconds(10'000));
  ColdStartModel model(policy, now);
  model.OnArrival(5, now);
  CHECK(model.Counters().falls == 0);
  model.TurnCold(now);
  CHECK(model.IsCold(now));
  model.OnArrival(1, now);
  CHECK(model.SlowFactor(now) == 1);
  model.OnArrival(2, now);
  CHECK(model.Counters().falls == 1);
  CHECK(model.SlowFactor(now) == 50);
  CHECK(model.SlowFactor(now + kFall) == 1);
  CHECK_FALSE(model.IsCold(now + kWarmUp));
}

TEST_CASE("Work from before the first telling reply is counted apart") {
  const ColdStart policy = MakePolicy();
  state::TimePoint now(state::Milliseconds(10'000));
  ColdStartModel model(policy, now);
  model.TurnCold(now);
  model.OnArrival(4, now);
  CHECK(model.Counters().max_unannounced == 4);
  CHECK(model.Counters().max_in_progress == 0);
  model.OnReply(now);
  model.OnArrival(3, now + state::Milliseconds(100));
  CHECK(model.Counters().max_in_progress == 3);
}

}  // namespace
}  // namespace banyanknot::standins
