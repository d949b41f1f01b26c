#include "slot_table.h"

#include <catch2/catch.hpp>
#include <memory>

namespace banyanknot::standins {
namespace {

std::shared_ptr<Job> MakeJob(std::uint64_t sequence) {
  const std::shared_ptr<Job> job = std::make_shared<Job>();
  job->request.request = {1, sequence};
  job->request.attempt = 1;
  return job;
}

TEST_CASE("SlotTable runs no more jobs than it has slots, in order") {
  SlotTable table;
  for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
    table.Enqueue(MakeJob(sequence));
  }
  const std::shared_ptr<Job> first = table.StartNext(1);
  REQUIRE(first != nullptr);
  CHECK(first->request.request.sequence == 1);
  CHECK(table.StartNext(1) == nullptr);
  CHECK(table.Running() == 1);
  CHECK(table.Queued() == 2);
  CHECK(table.InProgress(0) == 3);
  CHECK(table.Finish(first));
  CHECK_FALSE(table.Finish(first));
  const std::shared_ptr<Job> waiting = table.Find({1, 3}, 1);
  REQUIRE(waiting != nullptr);
  CHECK(table.Finish(waiting));
  CHECK(table.Queued() == 1);
  CHECK(table.Find({1, 3}, 1) == nullptr);
}

}  // namespace
}  // namespace banyanknot::standins
