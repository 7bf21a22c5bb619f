// The slots of the endpoints that this daemon owns.
//
// Index:
//   [SECTION] Tunables
//   [SECTION] Types
//   [SECTION] SlotLedger
//
// Take() returns a slot of the least used endpoint of a pool in constant time:
// the endpoints of a pool are kept in buckets by their number of used slots. A
// taken slot is identified by a token until Return(). OnUsage() detects lost
// returns: the endpoint reports how many slots are really in use.
//
// Not thread-safe: one event loop owns each value. Take() and Return() do not
// allocate once the ledger has held as many tokens before.

#ifndef SRC_COORDINATION_SLOT_LEDGER_H_
#define SRC_COORDINATION_SLOT_LEDGER_H_

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "src/state/clock.h"
#include "src/state/ids.h"
#include "src/state/units.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Tunables
//-----------------------------------------------------------------------------

struct SlotLedgerConfig {
  // A token older than this that the endpoint does not report as in use was
  // returned by a message that was lost. The age exceeds the time that a grant
  // may stay unused (500 ms) and one heartbeat (500 ms).
  Duration lost_token_age = std::chrono::milliseconds(1500);
  // A refused slot is withheld this long: about one heartbeat, after which the
  // state of the endpoint is current again.
  Duration refusal_hold_time = std::chrono::milliseconds(200);
};

//-----------------------------------------------------------------------------
// [SECTION] Types
//-----------------------------------------------------------------------------

using SlotToken = std::uint64_t;  // 0: none

struct TakenSlot {
  SlotToken token = 0;
  EndpointId endpoint;
  ZoneId zone;
};

struct ReturnedSlot {
  TeamId team;  // team that the slot was taken for
  PoolId pool;
  EndpointId endpoint;
};

//-----------------------------------------------------------------------------
// [SECTION] SlotLedger
//-----------------------------------------------------------------------------

class SlotLedger {
 public:
  explicit SlotLedger(SlotLedgerConfig config = {});

  // Adds an endpoint, or changes the number of its slots.
  void OnEndpoint(const EndpointId& endpoint,
                  const PoolId& pool,
                  const ZoneId& zone,
                  SlotCount slots);

  // The endpoint is no longer owned or listed. Its tokens become invalid;
  // returns the teams of these tokens.
  std::vector<TeamId> OnEndpointGone(const EndpointId& endpoint);

  // Whether slots of the endpoint may be taken: not while it is leaving,
  // unreachable or in a zone that is out. A new endpoint is not usable.
  void SetUsable(const EndpointId& endpoint, bool usable);

  // Takes a slot of the least used usable endpoint of the pool.
  std::optional<TakenSlot> Take(const PoolId& pool,
                                const TeamId& team,
                                Instant now);

  // Slots of the usable endpoints of the pool, free or not.
  std::int64_t UsableSlots(const PoolId& pool) const;

  // Whether Take() would return a slot.
  bool HasFree(const PoolId& pool) const;

  // Ends a token. Returns nothing for a token that has already ended.
  std::optional<ReturnedSlot> Return(SlotToken token,
                                     bool refused,
                                     Instant now);

  // The endpoint reported its used slots; the report was requested at `sent`.
  // Returns the teams of the tokens whose return was lost.
  std::vector<TeamId> OnUsage(const EndpointId& endpoint,
                              SlotCount used,
                              Instant sent);

  // Frees refused slots whose withholding time has passed.
  void OnTick(Instant now);

  std::size_t Tokens() const { return this->live_tokens; }
  std::size_t Endpoints() const { return this->index.size(); }

 private:
  static constexpr std::uint32_t kNone = UINT32_MAX;

  struct Endpoint {
    EndpointId id;
    ZoneId zone;
    std::uint32_t pool = 0;
    std::uint32_t slots = 0;
    std::uint32_t used = 0;  // taken or withheld
    bool usable = false;
    std::uint32_t position = kNone;     // in its bucket; kNone: in no bucket
    std::uint32_t first_token = kNone;  // list of its tokens
  };
  struct Token {
    std::uint32_t generation = 0;
    std::uint32_t endpoint = kNone;  // kNone: free entry
    std::uint32_t next = kNone;      // in the endpoint's or the free list
    std::uint32_t previous = kNone;
    Instant taken{};
    TeamId team;
  };
  // Endpoints by number of used slots; full ones are in no bucket.
  struct Pool {
    PoolId id;
    std::int64_t usable_slots = 0;
    std::vector<std::vector<std::uint32_t>> buckets;
  };
  struct Refused {
    Instant until{};
    std::uint32_t endpoint = kNone;
    EndpointId id;
  };

  std::uint32_t PoolIndex(const PoolId& pool);
  void CountSlots(std::uint32_t endpoint, std::int64_t sign);
  void Insert(std::uint32_t endpoint);
  void Remove(std::uint32_t endpoint);
  void ChangeUsed(std::uint32_t endpoint, int by);
  std::uint32_t NewToken(std::uint32_t endpoint,
                         const TeamId& team,
                         Instant now);
  void FreeToken(std::uint32_t token);

  SlotLedgerConfig config;
  std::vector<Endpoint> endpoints;
  std::vector<std::uint32_t> free_endpoints;
  std::unordered_map<EndpointId, std::uint32_t> index;
  std::vector<Pool> pools;
  std::unordered_map<PoolId, std::uint32_t> pool_index;
  std::vector<Token> tokens;
  std::uint32_t free_token = kNone;
  std::size_t live_tokens = 0;
  std::vector<Refused> refused;
};

}  // namespace peridot

#endif  // SRC_COORDINATION_SLOT_LEDGER_H_
