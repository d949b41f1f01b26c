#ifndef BANYANKNOT_STANDINS_PLAN_SHAPE_H_
#define BANYANKNOT_STANDINS_PLAN_SHAPE_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "deployment.h"
#include "load_settings.h"

namespace banyanknot::standins {

/// \brief One service of a deployment that is made for a test or measure.
struct ServiceShape {
  std::string name = "plans";
  std::string service_class = "whole";
  std::uint64_t shards = 6;
  std::uint64_t replicas = 2;  ///< in as many failure domains
  std::uint64_t slots = 4;
  std::uint64_t connections = 100;
  std::uint64_t cold_slots = 1;
  std::uint64_t warm_up_ms = 2'000;
  std::uint64_t service_us = 2'000;
  double straggler_share = 0;
  double coverage_floor = 1.0;
  std::uint64_t deadline_ms = 1'000;
  std::uint64_t max_in_flight = 256;
  std::uint64_t query_weight = 1;
  std::uint64_t action_weight = 0;  ///< 0 for no actions
};

/// \brief A deployment that is made for a test or measure.
struct PlanShape {
  std::string program_folder;
  std::vector<std::string> domains{"a", "b", "c"};
  std::uint64_t hosts_per_domain = 1;
  std::vector<ServiceShape> services{ServiceShape()};
  std::string policies = "full";
  bool use_proxy = false;
  nlohmann::json backend_defaults = nlohmann::json::object();
};

/// \brief Writes out the catalogue, stand-ins and hosts of a shape.
DeploymentPlan MakePlan(const PlanShape& shape);

/// \brief The load of a shape: an item for the queries and one for the
/// actions of each service.
LoadSettings MakeLoad(const PlanShape& shape, std::uint64_t rate);

}  // namespace banyanknot::standins

#endif  // BANYANKNOT_STANDINS_PLAN_SHAPE_H_
