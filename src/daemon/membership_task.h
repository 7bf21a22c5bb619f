// Probes between daemons: freshness proofs, failure suspicion and fencing of
// failed daemons.
//
// Index:
//   [SECTION] Tunables
//   [SECTION] MembershipTask

#ifndef SRC_DAEMON_MEMBERSHIP_TASK_H_
#define SRC_DAEMON_MEMBERSHIP_TASK_H_

#include <functional>
#include <map>
#include <optional>

#include "src/coordination/membership.h"
#include "src/daemon/peer_link.h"
#include "src/daemon/settings_task.h"
#include "src/transport/event_loop.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Tunables
//-----------------------------------------------------------------------------

struct MembershipTaskConfig {
  Duration tick = std::chrono::milliseconds(100);
  // A daemon that has been suspected for this time is fenced, so that its
  // permits and its journal can be taken over. The time must exceed short
  // pauses and network interruptions, which must not end a session.
  Duration fence_after = std::chrono::seconds(5);
  // Delay before a fence that failed is retried.
  Duration fence_retry = std::chrono::seconds(2);
};

//-----------------------------------------------------------------------------
// [SECTION] MembershipTask
//-----------------------------------------------------------------------------

// Not thread-safe: use it on the event loop's thread only.
class MembershipTask {
 public:
  struct Hooks {
    // This daemon has fenced the session.
    std::function<void(const SessionId&)> on_fenced;
    // The connection to the daemon may have stopped responding.
    std::function<void(const DaemonId&)> reconnect;
  };

  MembershipTask(EventLoop* loop,
                 PeerLink* peers,
                 SettingsTask* settings,
                 Hooks hooks,
                 MembershipTaskConfig config = {});

  // Call once the session is registered, and after each registry change.
  void Start();
  void OnRegistry();
  void Leave();

 private:
  void OnTick();
  void ExecuteActions(const MembershipActions& actions);
  void Execute(const ProbeMember& action);
  void Execute(const MemberSuspected& action);
  void Execute(const MemberRecovered& action);
  void Execute(const MemberChanged& action);
  void Execute(const OwnSessionReportedGone& action);
  void FenceSuspects();
  void OnProbeRequest(const SessionId& from, const proto::Envelope& envelope);
  void OnProbeReply(const SessionId& from, const proto::Envelope& envelope);

  EventLoop* loop;
  PeerLink* peers;
  SettingsTask* settings;
  Hooks hooks;
  MembershipTaskConfig config;
  std::optional<Membership> membership;
  std::map<SessionId, Instant> fence_at;  // suspected sessions
};

}  // namespace peridot

#endif  // SRC_DAEMON_MEMBERSHIP_TASK_H_
