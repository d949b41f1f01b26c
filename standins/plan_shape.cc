#include "plan_shape.h"

#include <utility>

namespace banyanknot::standins {
namespace {

using nlohmann::json;

constexpr std::uint64_t kKeysAShard = 1'000;
constexpr std::uint64_t kKeyStride = 100;
constexpr std::uint64_t kMaxDeadlineMs = 5'000;
const char* const kOwner = "tests";
const char* const kAddress = "127.0.0.1";

std::string ServerName(const ServiceShape& service, std::uint64_t shard,
                       std::uint64_t replica) {
  return service.name + "-" + std::to_string(shard) + "-" +
         std::to_string(replica);
}

json MakeServer(const ServiceShape& service, const std::string& id,
                const std::string& domain) {
  return {{"id", id},
          {"domain", domain},
          {"slots", service.slots},
          {"connections", service.connections},
          {"cold_slots", service.cold_slots},
          {"warm_up_ms", service.warm_up_ms}};
}

void AddShard(const PlanShape& shape, const ServiceShape& service,
              std::uint64_t shard, json& entry, json& stand_ins) {
  const std::uint64_t begin = shard * kKeysAShard;
  const std::uint64_t end = begin + kKeysAShard;
  json replicas = json::array();
  for (std::uint64_t replica = 0; replica < service.replicas; ++replica) {
    const std::string id = ServerName(service, shard, replica);
    replicas.push_back(id);
    json server = MakeServer(
        service, id, shape.domains[(shard + replica) % shape.domains.size()]);
    json stand_in = server;
    server["address"] = kAddress;
    server["port"] = 1;
    entry["servers"].push_back(std::move(server));
    stand_in["service_us"] = service.service_us;
    stand_in["straggler_share"] = service.straggler_share;
    stand_in["seed"] = stand_ins.size() + 1;
    stand_in["shards"] = {{{"service", service.name},
                           {"shard", shard},
                           {"begin", begin},
                           {"end", end}}};
    stand_ins.push_back(std::move(stand_in));
  }
  entry["shards"].push_back({{"id", shard},
                             {"begin", begin},
                             {"end", end},
                             {"replicas", std::move(replicas)}});
}

json MakeEntry(const PlanShape& shape, const ServiceShape& service,
               json& stand_ins) {
  json entry = {{"id", service.name},
                {"owner", kOwner},
                {"class", service.service_class},
                {"limits",
                 {{"max_in_flight", service.max_in_flight},
                  {"default_deadline_ms", service.deadline_ms},
                  {"max_deadline_ms", kMaxDeadlineMs},
                  {"coverage_floor", service.coverage_floor}}},
                {"servers", json::array()},
                {"shards", json::array()}};
  for (std::uint64_t shard = 0; shard < service.shards; ++shard) {
    AddShard(shape, service, shard, entry, stand_ins);
  }
  return entry;
}

}  // namespace

DeploymentPlan MakePlan(const PlanShape& shape) {
  DeploymentPlan plan;
  plan.program_folder = shape.program_folder;
  plan.use_proxy = shape.use_proxy;
  plan.host_settings = {{"policies", shape.policies}, {"threads", 2}};
  plan.catalogue = {{"fleet", {{"owner", kOwner}}}};
  json stand_ins = json::array();
  for (const ServiceShape& service : shape.services) {
    plan.catalogue["service/" + service.name] =
        MakeEntry(shape, service, stand_ins);
  }
  json hosts = json::array();
  for (const std::string& domain : shape.domains) {
    plan.catalogue["domain/" + domain] = {
        {"id", domain}, {"owner", kOwner}, {"state", "in"}};
    for (std::uint64_t index = 0; index < shape.hosts_per_domain; ++index) {
      hosts.push_back(
          {{"id", domain + "-h" + std::to_string(index)}, {"domain", domain}});
    }
  }
  json defaults = shape.backend_defaults;
  defaults["key_stride"] = kKeyStride;
  plan.backends = {{"defaults", std::move(defaults)},
                   {"servers", std::move(stand_ins)}};
  plan.hosts = {{"hosts", std::move(hosts)}};
  return plan;
}

LoadSettings MakeLoad(const PlanShape& shape, std::uint64_t rate) {
  LoadSettings settings;
  settings.rate = rate;
  for (const ServiceShape& service : shape.services) {
    LoadItem item;
    item.name = service.name;
    item.service = service.name;
    item.weight = service.query_weight;
    item.deadline =
        state::Milliseconds(static_cast<std::int64_t>(service.deadline_ms));
    item.coverage_floor = service.coverage_floor;
    item.key_space = {0, service.shards * kKeysAShard};
    item.key_stride = kKeyStride;
    item.shards = service.shards;
    if (item.weight > 0) settings.mix.push_back(item);
    if (service.action_weight == 0) continue;
    item.name += " action";
    item.is_action = true;
    item.weight = service.action_weight;
    settings.mix.push_back(item);
  }
  return settings;
}

}  // namespace banyanknot::standins
