#include "src/coordination/registry.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace peridot {
namespace {

using nlohmann::json;

constexpr char kRegistryRow[] = "registry";

std::string SessionRowKeyOf(const DaemonId& daemon) {
  return "session/" + daemon.value;
}

Error Malformed(const TableRow& row) {
  return MakeError(ErrorCode::kMalformed, "parse row " + row.key, "table",
                   "the row is not valid JSON of the expected form");
}

bool IsEntry(const json& item) {
  return item.is_object() && item.contains("daemon") &&
         item["daemon"].is_string() && item.contains("incarnation") &&
         item["incarnation"].is_number_unsigned() && item.contains("address") &&
         item["address"].is_string() && item.contains("http") &&
         item["http"].is_string() && item.contains("zone") &&
         item["zone"].is_string();
}

}  // namespace

const RegisteredDaemon* Registry::Find(const DaemonId& daemon) const {
  const auto found = std::find_if(
      this->daemons.begin(), this->daemons.end(),
      [&](const auto& entry) { return entry.session.daemon == daemon; });
  return found == this->daemons.end() ? nullptr : &*found;
}

Result<Registry> ParseRegistry(const TableRow& row) {
  Registry registry;
  registry.version = RegistryVersion(row.version.value);
  if (row.version == RowVersion(0)) {
    return registry;
  }
  const json list = json::parse(row.value, nullptr, false);
  if (!list.is_array() || !std::all_of(list.begin(), list.end(), IsEntry)) {
    return Malformed(row);
  }
  for (const json& item : list) {
    registry.daemons.push_back(
        {{DaemonId(item["daemon"].get<std::string>()),
          Incarnation(item["incarnation"].get<std::uint64_t>())},
         item["address"].get<std::string>(),
         item["http"].get<std::string>(),
         ZoneId(item["zone"].get<std::string>())});
  }
  return registry;
}

Result<SessionRow> ParseSession(const TableRow& row) {
  SessionRow session;
  session.version = row.version;
  if (row.version == RowVersion(0)) {
    return session;
  }
  const json object = json::parse(row.value, nullptr, false);
  if (!object.is_object() || !object.contains("incarnation") ||
      !object["incarnation"].is_number_unsigned() ||
      !object.contains("fenced") || !object["fenced"].is_boolean()) {
    return Malformed(row);
  }
  session.incarnation = Incarnation(object["incarnation"].get<std::uint64_t>());
  session.fenced = object["fenced"].get<bool>();
  return session;
}

std::string SerializeRegistry(const Registry& registry) {
  json list = json::array();
  for (const RegisteredDaemon& entry : registry.daemons) {
    list.push_back({{"daemon", entry.session.daemon.value},
                    {"incarnation", entry.session.incarnation.value},
                    {"address", entry.peer_address},
                    {"http", entry.http_address},
                    {"zone", entry.zone.value}});
  }
  return list.dump();
}

std::string SerializeSession(const SessionRow& session) {
  return json({{"incarnation", session.incarnation.value},
               {"fenced", session.fenced}})
      .dump();
}

RegistrationPlan PlanRegistration(const Registry& registry,
                                  const SessionRow& row,
                                  const RegisteredDaemon& self,
                                  const std::string& operation_id) {
  RegistrationPlan plan;
  plan.session = {self.session.daemon, Incarnation(row.incarnation.value + 1)};
  Registry next = registry;
  std::erase_if(next.daemons, [&](const RegisteredDaemon& entry) {
    return entry.session.daemon == self.session.daemon;
  });
  next.daemons.push_back(self);
  next.daemons.back().session = plan.session;
  std::sort(next.daemons.begin(), next.daemons.end(),
            [](const auto& a, const auto& b) { return a.session < b.session; });
  const std::string session_key = SessionRowKeyOf(self.session.daemon);
  plan.transaction.operation_id = operation_id;
  plan.transaction.checks = {{kRegistryRow, RowVersion(registry.version.value)},
                             {session_key, row.version}};
  plan.transaction.puts = {
      {kRegistryRow, SerializeRegistry(next)},
      {session_key,
       SerializeSession({.incarnation = plan.session.incarnation})}};
  return plan;
}

TableTransaction PlanRemoval(const Registry& registry,
                             const SessionRow& row,
                             const SessionId& session,
                             bool fenced,
                             const std::string& operation_id) {
  Registry next = registry;
  std::erase_if(next.daemons, [&](const RegisteredDaemon& entry) {
    return entry.session == session;
  });
  const std::string session_key = SessionRowKeyOf(session.daemon);
  TableTransaction transaction;
  transaction.operation_id = operation_id;
  transaction.checks = {{kRegistryRow, RowVersion(registry.version.value)},
                        {session_key, row.version}};
  transaction.puts = {
      {kRegistryRow, SerializeRegistry(next)},
      {session_key, SerializeSession({.incarnation = session.incarnation,
                                      .fenced = fenced})}};
  return transaction;
}

}  // namespace peridot
