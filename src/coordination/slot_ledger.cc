#include "src/coordination/slot_ledger.h"

#include <algorithm>
#include <utility>

namespace peridot {
namespace {

constexpr int kGenerationShift = 32;

SlotToken MakeToken(std::uint32_t entry, std::uint32_t generation) {
  return (static_cast<SlotToken>(generation) << kGenerationShift) | entry;
}

}  // namespace

SlotLedger::SlotLedger(SlotLedgerConfig config) : config(config) {}

void SlotLedger::OnEndpoint(const EndpointId& endpoint,
                            const PoolId& pool,
                            const ZoneId& zone,
                            SlotCount slots) {
  const auto found = this->index.find(endpoint);
  if (found != this->index.end()) {
    const std::uint32_t entry = found->second;
    this->Remove(entry);
    this->CountSlots(entry, -1);
    this->endpoints[entry].slots = static_cast<std::uint32_t>(slots.value);
    this->endpoints[entry].pool = this->PoolIndex(pool);
    this->endpoints[entry].zone = zone;
    this->CountSlots(entry, 1);
    this->Insert(entry);
    return;
  }
  std::uint32_t entry = static_cast<std::uint32_t>(this->endpoints.size());
  if (this->free_endpoints.empty()) {
    this->endpoints.emplace_back();
  } else {
    entry = this->free_endpoints.back();
    this->free_endpoints.pop_back();
  }
  this->endpoints[entry] =
      Endpoint{.id = endpoint,
               .zone = zone,
               .pool = this->PoolIndex(pool),
               .slots = static_cast<std::uint32_t>(slots.value)};
  this->index.emplace(endpoint, entry);
}

std::vector<TeamId> SlotLedger::OnEndpointGone(const EndpointId& endpoint) {
  std::vector<TeamId> ended;
  const auto found = this->index.find(endpoint);
  if (found == this->index.end()) {
    return ended;
  }
  const std::uint32_t entry = found->second;
  this->Remove(entry);
  this->CountSlots(entry, -1);
  while (this->endpoints[entry].first_token != kNone) {
    const std::uint32_t token = this->endpoints[entry].first_token;
    ended.push_back(std::move(this->tokens[token].team));
    this->FreeToken(token);
  }
  this->endpoints[entry] = Endpoint{};
  this->free_endpoints.push_back(entry);
  this->index.erase(found);
  return ended;
}

void SlotLedger::SetUsable(const EndpointId& endpoint, bool usable) {
  const auto found = this->index.find(endpoint);
  if (found == this->index.end() ||
      this->endpoints[found->second].usable == usable) {
    return;
  }
  this->Remove(found->second);
  this->CountSlots(found->second, -1);
  this->endpoints[found->second].usable = usable;
  this->CountSlots(found->second, 1);
  this->Insert(found->second);
}

std::optional<TakenSlot> SlotLedger::Take(const PoolId& pool,
                                          const TeamId& team,
                                          Instant now) {
  const auto found = this->pool_index.find(pool);
  if (found == this->pool_index.end()) {
    return std::nullopt;
  }
  for (const auto& bucket : this->pools[found->second].buckets) {
    if (bucket.empty()) {
      continue;
    }
    const std::uint32_t entry = bucket.front();
    this->ChangeUsed(entry, 1);
    const std::uint32_t token = this->NewToken(entry, team, now);
    return TakenSlot{MakeToken(token, this->tokens[token].generation),
                     this->endpoints[entry].id, this->endpoints[entry].zone};
  }
  return std::nullopt;
}

std::int64_t SlotLedger::UsableSlots(const PoolId& pool) const {
  const auto found = this->pool_index.find(pool);
  return found == this->pool_index.end()
             ? 0
             : this->pools[found->second].usable_slots;
}

bool SlotLedger::HasFree(const PoolId& pool) const {
  const auto found = this->pool_index.find(pool);
  if (found == this->pool_index.end()) {
    return false;
  }
  const auto& buckets = this->pools[found->second].buckets;
  return std::any_of(buckets.begin(), buckets.end(),
                     [](const auto& bucket) { return !bucket.empty(); });
}

std::optional<ReturnedSlot> SlotLedger::Return(SlotToken token,
                                               bool refused,
                                               Instant now) {
  const auto entry = static_cast<std::uint32_t>(token);
  const auto generation = static_cast<std::uint32_t>(token >> kGenerationShift);
  if (entry >= this->tokens.size() ||
      this->tokens[entry].generation != generation ||
      this->tokens[entry].endpoint == kNone) {
    return std::nullopt;
  }
  const std::uint32_t endpoint = this->tokens[entry].endpoint;
  ReturnedSlot returned{std::move(this->tokens[entry].team),
                        this->pools[this->endpoints[endpoint].pool].id,
                        this->endpoints[endpoint].id};
  this->FreeToken(entry);
  if (refused) {
    this->refused.push_back({now + this->config.refusal_hold_time, endpoint,
                             this->endpoints[endpoint].id});
  } else {
    this->ChangeUsed(endpoint, -1);
  }
  return returned;
}

std::vector<TeamId> SlotLedger::OnUsage(const EndpointId& endpoint,
                                        SlotCount used,
                                        Instant sent) {
  std::vector<TeamId> lost;
  const auto found = this->index.find(endpoint);
  if (found == this->index.end()) {
    return lost;
  }
  // The attempts of recent tokens may not have reached the endpoint when it
  // counted its slots.
  std::vector<std::uint32_t> old;
  for (std::uint32_t token = this->endpoints[found->second].first_token;
       token != kNone; token = this->tokens[token].next) {
    if (sent - this->tokens[token].taken > this->config.lost_token_age) {
      old.push_back(token);
    }
  }
  std::int64_t excess = static_cast<std::int64_t>(old.size()) - used.value;
  for (const std::uint32_t token : old) {
    if (excess-- <= 0) {
      break;
    }
    lost.push_back(std::move(this->tokens[token].team));
    this->FreeToken(token);
    this->ChangeUsed(found->second, -1);
  }
  return lost;
}

void SlotLedger::OnTick(Instant now) {
  std::erase_if(this->refused, [&](const Refused& item) {
    if (item.until > now) {
      return false;
    }
    if (this->endpoints[item.endpoint].id == item.id) {
      this->ChangeUsed(item.endpoint, -1);
    }
    return true;
  });
}

std::uint32_t SlotLedger::PoolIndex(const PoolId& pool) {
  const auto [found, added] = this->pool_index.try_emplace(
      pool, static_cast<std::uint32_t>(this->pools.size()));
  if (added) {
    this->pools.push_back({.id = pool});
  }
  return found->second;
}

void SlotLedger::CountSlots(std::uint32_t entry, std::int64_t sign) {
  const Endpoint& endpoint = this->endpoints[entry];
  if (endpoint.usable) {
    this->pools[endpoint.pool].usable_slots +=
        sign * static_cast<std::int64_t>(endpoint.slots);
  }
}

void SlotLedger::Insert(std::uint32_t entry) {
  Endpoint& endpoint = this->endpoints[entry];
  if (!endpoint.usable || endpoint.used >= endpoint.slots) {
    return;
  }
  auto& buckets = this->pools[endpoint.pool].buckets;
  if (buckets.size() <= endpoint.used) {
    buckets.resize(endpoint.used + 1);
  }
  endpoint.position = static_cast<std::uint32_t>(buckets[endpoint.used].size());
  buckets[endpoint.used].push_back(entry);
}

void SlotLedger::Remove(std::uint32_t entry) {
  Endpoint& endpoint = this->endpoints[entry];
  if (endpoint.position == kNone) {
    return;
  }
  auto& bucket = this->pools[endpoint.pool].buckets[endpoint.used];
  const std::uint32_t last = bucket.back();
  bucket[endpoint.position] = last;
  this->endpoints[last].position = endpoint.position;
  bucket.pop_back();
  endpoint.position = kNone;
}

void SlotLedger::ChangeUsed(std::uint32_t entry, int by) {
  this->Remove(entry);
  Endpoint& endpoint = this->endpoints[entry];
  endpoint.used = by > 0 ? endpoint.used + 1
                         : std::max<std::uint32_t>(endpoint.used, 1) - 1;
  this->Insert(entry);
}

std::uint32_t SlotLedger::NewToken(std::uint32_t endpoint,
                                   const TeamId& team,
                                   Instant now) {
  std::uint32_t entry = this->free_token;
  if (entry == kNone) {
    entry = static_cast<std::uint32_t>(this->tokens.size());
    this->tokens.emplace_back();
  } else {
    this->free_token = this->tokens[entry].next;
  }
  Token& token = this->tokens[entry];
  ++token.generation;
  token.endpoint = endpoint;
  token.taken = now;
  token.team = team;
  token.previous = kNone;
  token.next = this->endpoints[endpoint].first_token;
  if (token.next != kNone) {
    this->tokens[token.next].previous = entry;
  }
  this->endpoints[endpoint].first_token = entry;
  ++this->live_tokens;
  return entry;
}

void SlotLedger::FreeToken(std::uint32_t entry) {
  Token& token = this->tokens[entry];
  if (token.previous == kNone) {
    this->endpoints[token.endpoint].first_token = token.next;
  } else {
    this->tokens[token.previous].next = token.next;
  }
  if (token.next != kNone) {
    this->tokens[token.next].previous = token.previous;
  }
  token.endpoint = kNone;
  token.next = this->free_token;
  this->free_token = entry;
  --this->live_tokens;
}

}  // namespace peridot
