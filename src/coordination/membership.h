// Which daemons and endpoints there are, and which of them do not answer.
// docs/design.md, section 7; docs/decisions/0004.
//
// Index:
//   [SECTION] Tunables
//   [SECTION] Member states
//   [SECTION] Actions
//   [SECTION] Membership
//   [SECTION] EndpointMembership
//
// What this module says is a hint for routing and for takeover. No safety
// property depends on it: a daemon is dead only once its session is fenced in
// the table, and an endpoint grants its owner lease itself.
//
// Each period a daemon probes a few peers in shuffled round robin. A peer that
// misses a probe is probed again in the next periods, so that three misses
// take three periods at any fleet size. Suspicion is each daemon's own and is
// not passed on. Passed on are the states of sessions; of two states of one
// daemon the one with the later incarnation holds, else the higher state.
//
// Not thread-safe. All instants are those of the daemon's monotonic clock.

#ifndef SRC_COORDINATION_MEMBERSHIP_H_
#define SRC_COORDINATION_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "src/coordination/settings_lease.h"
#include "src/state/clock.h"
#include "src/state/ids.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Tunables
//-----------------------------------------------------------------------------

struct MembershipOptions {
  Duration period = std::chrono::milliseconds(500);  // default: 500 ms
  // With 3 probes a period, about 95% of the daemons are probed in each period
  // at any fleet size, and a daemon sends about 12 messages a second.
  int probe_fanout = 3;  // default: 3 peers
  // One lost message or a pause of one period suspects nobody.
  int misses_to_suspect = 3;  // default: 3
  // Probes left for peers that missed none, when many have missed one.
  int fresh_probes = 1;  // default: 1 of probe_fanout
  // A message carries at most this many state changes (about 30 bytes each).
  int updates_per_message = 4;  // default: 4
  // Each change is sent this often times log2 of the fleet size.
  int retransmit_factor = 3;  // default: 3
};

//-----------------------------------------------------------------------------
// [SECTION] Member states
//-----------------------------------------------------------------------------

// In order of precedence within one incarnation.
enum class MemberPhase : std::uint8_t {
  kJoining = 1,
  kLive = 2,
  kLeaving = 3,  // gets no new work
  kGone = 4,     // left, fenced or superseded
};

struct MemberUpdate {
  SessionId session;                       // default: none
  MemberPhase phase = MemberPhase::kLive;  // default: kLive
};

struct Member {
  Incarnation incarnation;                 // default: 0
  MemberPhase phase = MemberPhase::kLive;  // default: kLive
  bool suspected = false;                  // default: false; own view
  int misses = 0;                          // default: 0; in a row
  std::optional<Instant> probed;           // probe without answer yet
};

//-----------------------------------------------------------------------------
// [SECTION] Actions
//-----------------------------------------------------------------------------

// Sends a probe; the id comes from SettingsLease::NoteProbeSent().
struct ProbeMember {
  SessionId peer;
};
struct MemberSuspected {
  SessionId session;
};
// A suspected session answered.
struct MemberReturned {
  SessionId session;
};
struct MemberChanged {
  MemberUpdate update;
};
// Peers say that this session has ended: read the session row at once.
struct SelfReportedGone {};

using MembershipAction = std::variant<ProbeMember,
                                      MemberSuspected,
                                      MemberReturned,
                                      MemberChanged,
                                      SelfReportedGone>;
using MembershipActions = std::vector<MembershipAction>;

//-----------------------------------------------------------------------------
// [SECTION] Membership
//-----------------------------------------------------------------------------

class Membership {
 public:
  // The seed shuffles the probe order.
  explicit Membership(SessionId self,
                      std::uint64_t seed,
                      MembershipOptions options = {});

  // Call at least once a period.
  MembershipActions OnTick(Instant now);
  // The registry from an own read. It decides over what peers say.
  MembershipActions OnRegistry(const RegistryView& view);
  // A probe or a reply of this session arrived, with its piggybacked changes.
  MembershipActions OnMessage(const SessionId& from,
                              const std::vector<MemberUpdate>& updates);
  // The changes to piggyback on the next message; counts them as sent once.
  std::vector<MemberUpdate> TakeUpdates();
  // This daemon leaves; its peers learn of it by piggyback.
  void OnLeave();

  const std::map<DaemonId, Member>& Members() const { return this->members; }
  // Sessions that may be given work: live and not suspected, without self.
  std::vector<SessionId> Usable() const;

 private:
  struct Pending {
    MemberUpdate update;
    int sends_left = 0;
  };

  void Apply(const MemberUpdate& update, MembershipActions& actions);
  void Enqueue(const MemberUpdate& update);
  void CountMisses(Instant now, MembershipActions& actions);
  void ProbeNext(Instant now, MembershipActions& actions);
  bool ProbeOne(const DaemonId& daemon,
                Instant now,
                MembershipActions& actions);
  void Reshuffle();

  SessionId self;
  MembershipOptions options;
  std::mt19937_64 random;
  std::map<DaemonId, Member> members;  // without self
  std::vector<DaemonId> order;         // this round's probe order
  std::size_t next_in_order = 0;
  std::map<DaemonId, Pending> pending;
  RegistryVersion registry_version;
  std::optional<Instant> last_period;
  MemberPhase own_phase = MemberPhase::kLive;
};

//-----------------------------------------------------------------------------
// [SECTION] EndpointMembership
//-----------------------------------------------------------------------------

// One entry of the platform's list, which lags.
struct ListedEndpoint {
  EndpointId endpoint;   // default: empty
  HostId host;           // default: empty
  ZoneId zone;           // default: empty
  RackId rack;           // default: empty
  PoolId pool;           // default: empty
  bool leaving = false;  // default: false
};

struct EndpointMember {
  ListedEndpoint listed;               // as last listed
  bool in_list = false;                // default: false
  std::optional<BootId> boot;          // from heartbeats
  std::optional<Instant> answered;     // last heartbeat answer
  bool listed_live_in_boot = false;    // the list showed it live in this boot
  std::optional<BootId> leaving_boot;  // leaving until another boot
};

// Joins the platform's list with what heartbeats show. Leaving is the union of
// both and applies at the first report. It ends only with another boot id: a
// list that lags may show the host live again while it still drains. A list
// that still shows the earlier boot's leaving holds the new boot back only
// until the list shows the host live once.
class EndpointMembership {
 public:
  // A failed read of the list is no input: the last list stays.
  void OnList(const std::vector<ListedEndpoint>& list);
  void OnHeartbeat(const EndpointId& endpoint,
                   const BootId& boot,
                   bool leaving,
                   Instant now);

  bool IsLeaving(const EndpointId& endpoint) const;
  // Listed, not leaving, and answered a heartbeat within max_silence.
  bool IsUsable(const EndpointId& endpoint,
                Duration max_silence,
                Instant now) const;
  const std::map<EndpointId, EndpointMember>& Endpoints() const {
    return this->endpoints;
  }

 private:
  std::map<EndpointId, EndpointMember> endpoints;
};

}  // namespace peridot

#endif  // SRC_COORDINATION_MEMBERSHIP_H_
