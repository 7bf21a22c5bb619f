// Permits of all teams: one ledger per team, connected to the table and to the
// other daemons.
//
// Index:
//   [SECTION] PermitTask

#ifndef SRC_DAEMON_PERMIT_TASK_H_
#define SRC_DAEMON_PERMIT_TASK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>

#include "src/coordination/endpoint_lease.h"
#include "src/coordination/permit_ledger.h"
#include "src/daemon/peer_link.h"
#include "src/daemon/settings_task.h"
#include "src/daemon/table_client.h"
#include "src/transport/event_loop.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] PermitTask
//-----------------------------------------------------------------------------

// Returns how long the permits of a fenced session may still be in use.
// Endpoint leases last for the time in EndpointLeaseConfig regardless of the
// setting, so a shorter owner_lease_ms must not free the permits earlier.
// Thread-safe.
LeaseBounds LeaseBoundsOf(const FleetSettings& fleet);

// Satisfies PermitPool. Not thread-safe: use it on the event loop's thread
// only.
class PermitTask {
 public:
  struct Hooks {
    // Stops this many running tasks of the team, because its limit was lowered.
    std::function<void(const TeamId&, PermitCount)> stop_excess;
    // Permits have become free; waiting tasks may start.
    std::function<void(const TeamId&)> on_permits;
  };

  PermitTask(EventLoop* loop,
             TableClient* table,
             PeerLink* peers,
             const SettingsTask* settings,
             Hooks hooks);

  // Call once the session is registered.
  void Start();

  // Call after each adopted revision and each change of the registry.
  void OnSettings();
  void OnRegistry();

  // PermitPool.
  bool TryAcquire(const TeamId& team);
  void Release(const TeamId& team);

  // Sets the number of the team's tasks that wait to start.
  void OnWaiting(const TeamId& team, std::int64_t waiting);

  // Returns the number of permits that are held and not in use.
  std::int64_t Free(const TeamId& team) const;
  PermitCount Held(const TeamId& team) const;
  PermitCount InUse(const TeamId& team) const;

  // Returns whether the team's permits on all daemons are within the limit of
  // this revision or of a later one.
  bool IsLimitInForce(const TeamId& team, Revision revision) const;

 private:
  void OnTick();
  void ReportEndedSessions();
  void FindUnregisteredMembers();
  void OnPeerMessage(const SessionId& from, const proto::Envelope& envelope);
  void ExecuteActions(const TeamId& team, const PermitActions& actions);
  void Execute(const TeamId& team, const ReadPermitRow& action);
  void Execute(const TeamId& team, const TransactPermits& action);
  void Execute(const TeamId& team, const SendPermitMessage& action);
  void Execute(const TeamId& team, const StopExcess& action);
  void Execute(const TeamId& team, const LimitInForce& action);
  PermitLedger* Find(const TeamId& team);

  EventLoop* loop;
  TableClient* table;
  PeerLink* peers;
  const SettingsTask* settings;
  Hooks hooks;
  std::map<TeamId, PermitLedger> ledgers;
  std::map<TeamId, std::int64_t> waiting;
  std::map<TeamId, Revision> limits_in_force;
  std::set<SessionId> known_sessions;
  std::set<SessionId> ended_sessions;  // ended, not yet reported to the ledgers
  std::set<SessionId> reported_sessions;  // ended, reported to the ledgers
  std::map<SessionId, Instant>
      unregistered_since;  // in permit rows; when first seen
};

}  // namespace peridot

#endif  // SRC_DAEMON_PERMIT_TASK_H_
