#include "src/coordination/permit_ledger_internal.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <numeric>
#include <utility>

namespace peridot {
namespace {

using nlohmann::json;

json MemberToJson(const PermitMember& member) {
  return {{"daemon", member.session.daemon.value},
          {"incarnation", member.session.incarnation.value},
          {"granted", member.granted.value}};
}

PermitMember MemberFromJson(const json& value) {
  PermitMember member;
  member.session.daemon = DaemonId(value.at("daemon").get<std::string>());
  member.session.incarnation =
      Incarnation(value.at("incarnation").get<std::uint64_t>());
  member.granted = PermitCount(value.at("granted").get<std::int64_t>());
  return member;
}

bool BySession(const PermitMember& a, const PermitMember& b) {
  return a.session < b.session;
}

// Negative grants, or a sum of grants above the limit, would create permits
// beyond the limit.
bool IsValidRow(const PermitRow& row) {
  PermitCount sum;
  for (const PermitMember& member : row.members) {
    if (member.granted < PermitCount(0)) {
      return false;
    }
    sum += member.granted;
  }
  return sum <= row.limit && row.epoch.value > 0;
}

}  // namespace

const PermitMember* PermitRow::Find(const SessionId& session) const {
  const auto found =
      std::find_if(this->members.begin(), this->members.end(),
                   [&](const PermitMember& m) { return m.session == session; });
  return found == this->members.end() ? nullptr : &*found;
}

PermitMember* PermitRow::Find(const SessionId& session) {
  return const_cast<PermitMember*>(std::as_const(*this).Find(session));
}

void PermitRow::Add(const SessionId& session) {
  if (this->Find(session) != nullptr) {
    return;
  }
  this->members.push_back({session, PermitCount(0)});
  std::sort(this->members.begin(), this->members.end(), BySession);
}

std::string PermitRowKey(const TeamId& team) {
  return "permits/" + team.value;
}

std::string SessionRowKey(const DaemonId& daemon) {
  return "session/" + daemon.value;
}

std::string SerializePermitRow(const PermitRow& row) {
  json members = json::array();
  for (const PermitMember& member : row.members) {
    members.push_back(MemberToJson(member));
  }
  const json value = {{"epoch", row.epoch.value},
                      {"state", row.open ? "open" : "counting"},
                      {"shed", row.shed},
                      {"limit", row.limit.value},
                      {"revision", row.revision.value},
                      {"members", std::move(members)}};
  return value.dump();
}

Result<PermitRow> ParsePermitRow(const TableRow& row) {
  PermitRow parsed;
  parsed.version = row.version;
  if (row.version.value == 0) {
    return parsed;
  }
  try {
    const json value = json::parse(row.value);
    parsed.epoch = PermitEpoch(value.at("epoch").get<std::uint64_t>());
    parsed.open = value.at("state").get<std::string>() == "open";
    parsed.shed = value.at("shed").get<bool>();
    parsed.limit = PermitCount(value.at("limit").get<std::int64_t>());
    parsed.revision = Revision(value.at("revision").get<std::uint64_t>());
    for (const json& member : value.at("members")) {
      parsed.members.push_back(MemberFromJson(member));
    }
  } catch (const json::exception& error) {
    return MakeError(ErrorCode::kMalformed, "parse_permits", row.key,
                     error.what());
  }
  if (!IsValidRow(parsed)) {
    return MakeError(ErrorCode::kMalformed, "parse_permits", row.key,
                     "grants exceed the limit or the epoch is 0");
  }
  std::sort(parsed.members.begin(), parsed.members.end(), BySession);
  return parsed;
}

std::vector<PermitCount> DivideMaxMin(PermitCount limit,
                                      const std::vector<PermitCount>& wanted) {
  std::vector<std::size_t> order(wanted.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(
      order.begin(), order.end(),
      [&](std::size_t a, std::size_t b) { return wanted[a] < wanted[b]; });
  std::vector<PermitCount> given(wanted.size());
  std::int64_t left = limit.value;
  std::int64_t takers = static_cast<std::int64_t>(order.size());
  for (const std::size_t index : order) {
    const std::int64_t fair = (left + takers - 1) / takers;
    given[index] = PermitCount(std::min(wanted[index].value, fair));
    left -= given[index].value;
    --takers;
  }
  return given;
}

}  // namespace peridot
