// Probes between daemons: freshness proofs, suspicion, fences of the dead.
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
  Duration tick = std::chrono::milliseconds(100);  // default: 100 ms
  // A daemon that is suspected this long is fenced, so that its permits and its
  // journal can be taken over. A pause or a short cut must not cost a session.
  Duration fence_after = std::chrono::seconds(5);  // default: 5 s
  // A fence that did not succeed is tried again after this time.
  Duration fence_retry = std::chrono::seconds(2);  // default: 2 s
};

//-----------------------------------------------------------------------------
// [SECTION] MembershipTask
//-----------------------------------------------------------------------------

// Not thread-safe: lives on the loop's thread.
class MembershipTask {
 public:
  struct Hooks {
    // The session was fenced by this daemon.
    std::function<void(const SessionId&)> on_fenced;
    // The connection to the daemon may be silent.
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
  void Carry(const MembershipActions& actions);
  void Do(const ProbeMember& action);
  void Do(const MemberSuspected& action);
  void Do(const MemberReturned& action);
  void Do(const MemberChanged& action);
  void Do(const SelfReportedGone& action);
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
