#include "src/coordination/membership.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace peridot {

namespace {

bool Supersedes(const MemberUpdate& update, const Member& member) {
  return std::pair(update.session.incarnation, update.phase) >
         std::pair(member.incarnation, member.phase);
}

}  // namespace

//-----------------------------------------------------------------------------
// [SECTION] Membership
//-----------------------------------------------------------------------------

Membership::Membership(SessionId self,
                       std::uint64_t seed,
                       MembershipOptions options)
    : self(std::move(self)), options(options), random(seed) {
  this->Enqueue({this->self, MemberPhase::kLive});
}

MembershipActions Membership::OnTick(Instant now) {
  MembershipActions actions;
  if (this->last_period && now - *this->last_period < this->options.period) {
    return actions;
  }
  this->last_period = now;
  this->CountMisses(now, actions);
  this->ProbeNext(now, actions);
  return actions;
}

void Membership::CountMisses(Instant now, MembershipActions& actions) {
  for (auto& [daemon, member] : this->members) {
    const bool missed =
        member.probed && now - *member.probed >= this->options.period;
    if (!missed) {
      continue;
    }
    member.probed.reset();
    ++member.misses;
    if (!member.suspected &&
        member.misses >= this->options.misses_until_suspected) {
      member.suspected = true;
      actions.emplace_back(
          MemberSuspected{SessionId{daemon, member.incarnation}});
    }
  }
}

void Membership::ProbeNext(Instant now, MembershipActions& actions) {
  int left = this->options.probe_fanout;
  for (const auto& [daemon, member] : this->members) {
    const bool again = member.misses > 0 && !member.suspected;
    if (again && left > this->options.min_round_robin_probes &&
        this->ProbeOne(daemon, now, actions)) {
      --left;
    }
  }
  // At most one round per period, so that no peer is probed twice in it.
  for (std::size_t tried = 0; left > 0 && tried < this->members.size();
       ++tried) {
    if (this->next_in_order >= this->order.size()) {
      this->Reshuffle();
    }
    const DaemonId daemon = this->order[this->next_in_order++];
    if (this->ProbeOne(daemon, now, actions)) {
      --left;
    }
  }
}

bool Membership::ProbeOne(const DaemonId& daemon,
                          Instant now,
                          MembershipActions& actions) {
  const auto found = this->members.find(daemon);
  const bool wanted = found != this->members.end() && !found->second.probed &&
                      found->second.phase != MemberPhase::kGone;
  if (!wanted) {
    return false;
  }
  found->second.probed = now;
  actions.emplace_back(
      ProbeMember{SessionId{daemon, found->second.incarnation}});
  return true;
}

void Membership::Reshuffle() {
  this->order.clear();
  for (const auto& entry : this->members) {
    this->order.push_back(entry.first);
  }
  std::shuffle(this->order.begin(), this->order.end(), this->random);
  this->next_in_order = 0;
}

MembershipActions Membership::OnRegistry(const RegistryView& view) {
  MembershipActions actions;
  if (view.version <= this->registry_version) {
    return actions;
  }
  const bool is_first = this->registry_version.value == 0;
  this->registry_version = view.version;
  for (const SessionId& session : view.active) {
    this->Apply({session, MemberPhase::kLive}, actions);
  }
  if (is_first) {
    // The peers already have the sessions that registered before this one.
    // Sending those would delay the changes that the peers do not have.
    std::erase_if(this->pending, [&](const auto& entry) {
      return entry.first != this->self.daemon;
    });
  }
  for (const auto& [daemon, member] : this->members) {
    const SessionId session{daemon, member.incarnation};
    if (!view.ContainsSession(session)) {
      this->Apply({session, MemberPhase::kGone}, actions);
    }
  }
  return actions;
}

MembershipActions Membership::OnMessage(
    const SessionId& from,
    const std::vector<MemberUpdate>& updates) {
  MembershipActions actions;
  for (const MemberUpdate& update : updates) {
    this->Apply(update, actions);
  }
  if (from.daemon == this->self.daemon) {
    return actions;
  }
  if (!this->members.contains(from.daemon)) {
    this->Apply({from, MemberPhase::kLive}, actions);
  }
  Member& member = this->members[from.daemon];
  if (from.incarnation > member.incarnation) {
    this->Apply({from, MemberPhase::kLive}, actions);
  }
  if (from.incarnation != member.incarnation) {
    return actions;  // a late message of an earlier incarnation
  }
  member.probed.reset();
  member.misses = 0;
  if (member.suspected) {
    member.suspected = false;
    actions.emplace_back(MemberRecovered{from});
  }
  return actions;
}

void Membership::Apply(const MemberUpdate& update, MembershipActions& actions) {
  if (update.session.daemon == this->self.daemon) {
    const bool ended = update.session.incarnation > this->self.incarnation ||
                       (update.session.incarnation == this->self.incarnation &&
                        update.phase == MemberPhase::kGone);
    if (ended && this->own_phase != MemberPhase::kGone) {
      actions.emplace_back(OwnSessionReportedGone{});
    }
    return;
  }
  Member& member = this->members[update.session.daemon];
  if (!Supersedes(update, member)) {
    return;
  }
  if (update.session.incarnation > member.incarnation) {
    member = Member{};
    member.incarnation = update.session.incarnation;
  }
  member.phase = update.phase;
  this->Enqueue(update);
  actions.emplace_back(MemberChanged{update});
}

void Membership::Enqueue(const MemberUpdate& update) {
  const auto fleet = static_cast<std::uint64_t>(this->members.size() + 1);
  const int sends =
      this->options.retransmit_factor * static_cast<int>(std::bit_width(fleet));
  this->pending[update.session.daemon] = Pending{update, sends};
}

std::vector<MemberUpdate> Membership::TakeUpdates() {
  // The changes sent least often go first.
  std::vector<Pending*> ready;
  for (auto& entry : this->pending) {
    ready.push_back(&entry.second);
  }
  std::stable_sort(ready.begin(), ready.end(),
                   [](const Pending* a, const Pending* b) {
                     return a->sends_left > b->sends_left;
                   });
  const auto limit =
      static_cast<std::size_t>(this->options.updates_per_message);
  ready.resize(std::min(ready.size(), limit));
  std::vector<MemberUpdate> updates;
  for (Pending* entry : ready) {
    updates.push_back(entry->update);
    --entry->sends_left;
  }
  std::erase_if(this->pending,
                [](const auto& entry) { return entry.second.sends_left <= 0; });
  return updates;
}

void Membership::OnLeave() {
  this->own_phase = MemberPhase::kLeaving;
  this->Enqueue({this->self, MemberPhase::kLeaving});
}

std::vector<SessionId> Membership::Usable() const {
  std::vector<SessionId> usable;
  for (const auto& [daemon, member] : this->members) {
    if (member.phase == MemberPhase::kLive && !member.suspected) {
      usable.push_back({daemon, member.incarnation});
    }
  }
  return usable;
}

//-----------------------------------------------------------------------------
// [SECTION] EndpointMembership
//-----------------------------------------------------------------------------

void EndpointMembership::OnList(const std::vector<ListedEndpoint>& list) {
  for (auto& entry : this->endpoints) {
    entry.second.in_list = false;
  }
  for (const ListedEndpoint& listed : list) {
    EndpointMember& member = this->endpoints[listed.endpoint];
    member.listed = listed;
    member.in_list = true;
    if (!listed.leaving) {
      member.listed_live_in_boot = true;
    } else if (member.listed_live_in_boot) {
      member.leaving_boot = member.boot;
    }
  }
}

void EndpointMembership::OnHeartbeat(const EndpointId& endpoint,
                                     const BootId& boot,
                                     bool leaving,
                                     Instant now) {
  EndpointMember& member = this->endpoints[endpoint];
  if (member.boot != boot) {
    const bool is_first = !member.boot.has_value();
    member.boot = boot;
    // Earlier list entries describe the previous boot.
    member.listed_live_in_boot = is_first && member.listed_live_in_boot;
    member.leaving_boot.reset();
  }
  member.answered = now;
  if (leaving) {
    member.leaving_boot = boot;
  }
}

bool EndpointMembership::IsLeaving(const EndpointId& endpoint) const {
  const auto found = this->endpoints.find(endpoint);
  if (found == this->endpoints.end()) {
    return false;
  }
  const EndpointMember& member = found->second;
  const bool sticky = member.leaving_boot && member.leaving_boot == member.boot;
  return sticky || member.listed.leaving;
}

bool EndpointMembership::IsUsable(const EndpointId& endpoint,
                                  Duration max_heartbeat_age,
                                  Instant now) const {
  const auto found = this->endpoints.find(endpoint);
  if (found == this->endpoints.end()) {
    return false;
  }
  const EndpointMember& member = found->second;
  return member.in_list && member.answered &&
         now - *member.answered <= max_heartbeat_age &&
         !this->IsLeaving(endpoint);
}

}  // namespace peridot
