#include "src/coordination/availability_budget.h"

#include <algorithm>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>

namespace peridot {

namespace {

using nlohmann::json;

json EncodeSet(const std::set<HostId>& hosts) {
  json list = json::array();
  for (const HostId& host : hosts) {
    list.push_back(host.value);
  }
  return list;
}

std::set<HostId> DecodeSet(const json& list) {
  std::set<HostId> hosts;
  for (const json& host : list) {
    hosts.insert(HostId(host.get<std::string>()));
  }
  return hosts;
}

std::int64_t AbsentCount(const PoolRow& pool) {
  return static_cast<std::int64_t>(pool.granted.size() + pool.planned.size() +
                                   pool.unplanned.size());
}

bool IsPresent(const PoolRow& pool, const HostId& host) {
  return !pool.planned.contains(host) && !pool.unplanned.contains(host) &&
         !pool.granted.contains(host);
}

TableTransaction PutHostAndPool(std::string operation_id,
                                const HostRow& host,
                                const PoolRow& pool) {
  return {
      std::move(operation_id),
      {{HostKey(host.host), host.version}, {PoolKey(pool.pool), pool.version}},
      {EncodeHost(host), EncodePool(pool)},
      {}};
}

}  // namespace

std::string HostKey(const HostId& host) {
  return "host/" + host.value;
}
std::string PoolKey(const PoolId& pool) {
  return "pool/" + pool.value;
}

TablePut EncodeHost(const HostRow& row) {
  const json value = {{"host", row.host.value},
                      {"pool", row.pool.value},
                      {"state", static_cast<int>(row.state)},
                      {"zone", row.zone.value},
                      {"rack", row.rack.value},
                      {"move_id", row.move_id},
                      {"target", row.target.value},
                      {"requested_by", row.requested_by},
                      {"last_move", row.last_move}};
  return {HostKey(row.host), value.dump()};
}

TablePut EncodePool(const PoolRow& row) {
  json members = json::object();
  for (const auto& [host, domain] : row.members) {
    members[host.value] = {domain.zone.value, domain.rack.value};
  }
  const json value = {{"pool", row.pool.value},
                      {"members", members},
                      {"granted", EncodeSet(row.granted)},
                      {"planned", EncodeSet(row.planned)},
                      {"unplanned", EncodeSet(row.unplanned)}};
  return {PoolKey(row.pool), value.dump()};
}

Result<HostRow> DecodeHost(const TableRow& row) {
  try {
    const json value = json::parse(row.value);
    HostRow host;
    host.version = row.version;
    host.host = HostId(value.at("host").get<std::string>());
    host.pool = PoolId(value.at("pool").get<std::string>());
    host.state = static_cast<HostState>(value.at("state").get<int>());
    host.zone = ZoneId(value.at("zone").get<std::string>());
    host.rack = RackId(value.at("rack").get<std::string>());
    host.move_id = value.at("move_id").get<std::string>();
    host.target = PoolId(value.at("target").get<std::string>());
    host.requested_by = value.at("requested_by").get<std::string>();
    host.last_move = value.at("last_move").get<std::string>();
    return host;
  } catch (const json::exception& error) {
    return MakeError(ErrorCode::kMalformed, "decode", row.key, error.what());
  }
}

Result<PoolRow> DecodePool(const TableRow& row) {
  try {
    const json value = json::parse(row.value);
    PoolRow pool;
    pool.version = row.version;
    pool.pool = PoolId(value.at("pool").get<std::string>());
    for (const auto& [host, domain] : value.at("members").items()) {
      pool.members[HostId(host)] = {ZoneId(domain.at(0).get<std::string>()),
                                    RackId(domain.at(1).get<std::string>())};
    }
    pool.granted = DecodeSet(value.at("granted"));
    pool.planned = DecodeSet(value.at("planned"));
    pool.unplanned = DecodeSet(value.at("unplanned"));
    return pool;
  } catch (const json::exception& error) {
    return MakeError(ErrorCode::kMalformed, "decode", row.key, error.what());
  }
}

HostCount Headroom(const PoolRow& pool,
                   Survive survive,
                   const HostId& leaving) {
  std::map<std::string, std::int64_t> sizes;
  std::int64_t largest = 0;
  for (const auto& [host, domain] : pool.members) {
    if (survive == Survive::kNone || host == leaving ||
        !IsPresent(pool, host)) {
      continue;
    }
    std::string name = host.value;
    if (survive == Survive::kRack) {
      name = domain.zone.value + "/" + domain.rack.value;
    } else if (survive == Survive::kZone) {
      name = domain.zone.value;
    }
    largest = std::max(largest, ++sizes[name]);
  }
  return HostCount(largest);
}

bool PermitsGrant(const PoolRow& pool,
                  const BudgetSettings& budget,
                  const HostId& host) {
  const HostCount wanted =
      HostCount(AbsentCount(pool) + 1) + Headroom(pool, budget.survive, host);
  return wanted <= budget.max_unavailable;
}

bool FitsBudget(const PoolRow& pool, const BudgetSettings& budget) {
  return HostCount(AbsentCount(pool)) +
             Headroom(pool, budget.survive, HostId()) <=
         budget.max_unavailable;
}

Result<TableTransaction> PlanHostDown(std::string operation_id,
                                      HostRow host,
                                      PoolRow pool,
                                      const BudgetSettings& budget) {
  const bool serves =
      pool.members.contains(host.host) && host.state != HostState::kDown;
  if (!serves) {
    return MakeError(ErrorCode::kNotFound, "host_down", host.host.value,
                     "the host is not in service in its pool");
  }
  pool.granted.erase(host.host);
  pool.planned.erase(host.host);
  pool.unplanned.insert(host.host);
  host.state = HostState::kDown;
  host.move_id.clear();
  host.target = PoolId();
  host.requested_by.clear();
  while (!pool.granted.empty() && !FitsBudget(pool, budget)) {
    pool.granted.erase(pool.granted.begin());
  }
  return PutHostAndPool(std::move(operation_id), host, pool);
}

Result<TableTransaction> PlanHostReturn(std::string operation_id,
                                        HostRow host,
                                        PoolRow pool) {
  if (host.state != HostState::kDown) {
    return MakeError(ErrorCode::kNotFound, "host_return", host.host.value,
                     "the host is not recorded as failed");
  }
  pool.unplanned.erase(host.host);
  host.state = HostState::kInService;
  return PutHostAndPool(std::move(operation_id), host, pool);
}

}  // namespace peridot
