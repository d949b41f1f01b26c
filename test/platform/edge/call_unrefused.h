#ifndef BANYANKNOT_TEST_PLATFORM_EDGE_CALL_UNREFUSED_H_
#define BANYANKNOT_TEST_PLATFORM_EDGE_CALL_UNREFUSED_H_

#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "platform/edge/edge_world.h"
#include "platform/edge/raw_caller.h"

namespace banyanknot::platform::edge_testing {

/// \brief Calls until the request is not refused: suspected servers are not
/// asked until a check clears them.
inline RawCaller::Response CallUnrefused(const EdgeProcess& edge,
                                         const std::string& target,
                                         const std::string& id) {
  std::optional<RawCaller::Response> response;
  REQUIRE(WaitFor([&] {
    RawCaller caller(edge.Callers());
    response = caller.Call(target, id);
    return response && response->result_int() != 503;
  }));
  return *response;
}

}  // namespace banyanknot::platform::edge_testing

#endif  // BANYANKNOT_TEST_PLATFORM_EDGE_CALL_UNREFUSED_H_
