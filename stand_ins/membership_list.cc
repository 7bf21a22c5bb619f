#include "stand_ins/membership_list.h"

#include <utility>

namespace peridot::stand_ins {

void MembershipList::Put(ListedHost host, Instant now) {
  HostId name = host.host;
  this->pending.push_back({now, std::move(name), std::move(host)});
}

void MembershipList::Remove(const HostId& host, Instant now) {
  this->pending.push_back({now, host, std::nullopt});
}

Result<std::vector<ListedHost>> MembershipList::List(Instant now) {
  if (this->faults.down) {
    return MakeError(ErrorCode::kUnavailable, "list", "membership",
                     "the membership list is down");
  }
  while (!this->pending.empty() &&
         this->pending.front().at <= now - this->faults.lag) {
    Change& change = this->pending.front();
    if (change.next) {
      this->visible_hosts.insert_or_assign(change.host,
                                           std::move(*change.next));
    } else {
      this->visible_hosts.erase(change.host);
    }
    this->pending.pop_front();
  }
  std::vector<ListedHost> hosts;
  hosts.reserve(this->visible_hosts.size());
  for (const auto& [name, host] : this->visible_hosts) {
    hosts.push_back(host);
  }
  return hosts;
}

}  // namespace peridot::stand_ins
