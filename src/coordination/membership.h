// Which daemons and endpoints exist, and which of them do not respond.
//
// Index:
//   [SECTION] Tunables
//   [SECTION] Member states
//   [SECTION] Actions
//   [SECTION] Membership
//   [SECTION] EndpointMembership
//
// The output of this module is a hint for routing and for takeover. No safety
// property depends on it: a daemon counts as dead only once its session is
// fenced in the table, and an endpoint grants its owner lease itself.
//
// Each period a daemon probes a few peers in shuffled round robin. A peer that
// misses a probe is probed again in the next periods, so that three misses
// take three periods at any fleet size. Suspicions are local and not sent to
// peers. The phases of sessions are piggybacked on messages; of two phases of
// one daemon the one with the later incarnation applies, else the higher phase.
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
  Duration period = std::chrono::milliseconds(500);
  // With 3 probes a period, about 95% of the daemons are probed in each period
  // at any fleet size, and a daemon sends about 12 messages a second.
  int probe_fanout = 3;  // per period
  // One lost message or a pause of one period must not cause a suspicion.
  int misses_until_suspected = 3;  // consecutive probes
  // Probes of a period that are reserved for the round robin when many peers
  // have missed a probe. Part of probe_fanout.
  int min_round_robin_probes = 1;
  // A message carries at most this many state changes (about 30 bytes each).
  int updates_per_message = 4;
  // Each change is sent retransmit_factor * log2(fleet size) times.
  int retransmit_factor = 3;
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
  SessionId session;
  MemberPhase phase = MemberPhase::kLive;
};

struct Member {
  Incarnation incarnation;
  MemberPhase phase = MemberPhase::kLive;
  bool suspected = false;         // by this daemon
  int misses = 0;                 // consecutive
  std::optional<Instant> probed;  // sending of the unanswered probe
};

//-----------------------------------------------------------------------------
// [SECTION] Actions
//-----------------------------------------------------------------------------

// Sends a probe; the id comes from SettingsLease::RegisterProbe().
struct ProbeMember {
  SessionId peer;
};
struct MemberSuspected {
  SessionId session;
};
// A suspected session answered.
struct MemberRecovered {
  SessionId session;
};
struct MemberChanged {
  MemberUpdate update;
};
// A peer reports that this session has ended: read the session row at once.
struct OwnSessionReportedGone {};

using MembershipAction = std::variant<ProbeMember,
                                      MemberSuspected,
                                      MemberRecovered,
                                      MemberChanged,
                                      OwnSessionReportedGone>;
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
  // The registry from an own read. It overrides the reports of peers.
  MembershipActions OnRegistry(const RegistryView& view);
  // A probe or a reply of this session arrived, with its piggybacked changes.
  MembershipActions OnMessage(const SessionId& from,
                              const std::vector<MemberUpdate>& updates);
  // The changes to piggyback on the next message; counts them as sent once.
  std::vector<MemberUpdate> TakeUpdates();
  // This daemon leaves; the change is piggybacked on the next messages.
  void OnLeave();

  const std::map<DaemonId, Member>& Members() const { return this->members; }
  // Sessions that may be assigned work: live and not suspected, without self.
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

// One entry of the platform's list, which may be out of date.
struct ListedEndpoint {
  EndpointId endpoint;
  HostId host;
  ZoneId zone;
  RackId rack;
  PoolId pool;
  bool leaving = false;
};

struct EndpointMember {
  ListedEndpoint listed;  // as last listed
  bool in_list = false;
  std::optional<BootId> boot;          // from heartbeats
  std::optional<Instant> answered;     // last heartbeat answer
  bool listed_live_in_boot = false;    // listed as not leaving in this boot
  std::optional<BootId> leaving_boot;  // leaving until the boot id changes
};

// Merges the platform's list with the heartbeats. An endpoint is leaving as
// soon as either source reports it, and until its boot id changes: an outdated
// list may show the host as live again while it still drains. A list that still
// shows the leaving state of the earlier boot blocks the new boot only until
// the list shows the host as live once.
class EndpointMembership {
 public:
  // A failed read of the list must not be passed; the last list stays in
  // effect.
  void OnList(const std::vector<ListedEndpoint>& list);
  void OnHeartbeat(const EndpointId& endpoint,
                   const BootId& boot,
                   bool leaving,
                   Instant now);

  bool IsLeaving(const EndpointId& endpoint) const;
  // Listed, not leaving, and answered a heartbeat within max_heartbeat_age.
  bool IsUsable(const EndpointId& endpoint,
                Duration max_heartbeat_age,
                Instant now) const;
  const std::map<EndpointId, EndpointMember>& Endpoints() const {
    return this->endpoints;
  }

 private:
  std::map<EndpointId, EndpointMember> endpoints;
};

}  // namespace peridot

#endif  // SRC_COORDINATION_MEMBERSHIP_H_
