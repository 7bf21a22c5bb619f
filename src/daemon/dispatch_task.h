// Dispatches task attempts to endpoints and shares the endpoints' slots between
// daemons.
//
// Index:
//   [SECTION] Tunables
//   [SECTION] DispatchTask
//
// Owns the Dispatcher, the slots of the endpoints that this daemon owns and
// the leases on endpoints. Reads the platform's membership list, sends this
// daemon's demand to the owners of other endpoints, and grants slots of its own
// endpoints to daemons with demand.

#ifndef SRC_DAEMON_DISPATCH_TASK_H_
#define SRC_DAEMON_DISPATCH_TASK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/coordination/dispatcher.h"
#include "src/coordination/membership.h"
#include "src/coordination/outlier_detector.h"
#include "src/coordination/slot_allocator.h"
#include "src/coordination/slot_ledger.h"
#include "src/daemon/endpoint_client.h"
#include "src/daemon/membership_client.h"
#include "src/daemon/peer_link.h"
#include "src/daemon/permit_task.h"
#include "src/daemon/settings_task.h"
#include "src/transport/event_loop.h"
#include "src/transport/metrics.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Tunables
//-----------------------------------------------------------------------------

struct DispatchConfig {
  Duration tick = std::chrono::milliseconds(50);
  // Short enough that a leaving host is detected within a few seconds even if
  // only the list reports it.
  Duration membership_poll = std::chrono::milliseconds(500);
  // Owners drop demand after 1 s; resending it makes up for lost messages.
  Duration demand_resend_interval = std::chrono::milliseconds(200);
  // Changes of demand within this time are sent as one message.
  Duration min_demand_interval = std::chrono::milliseconds(5);
  // Longer than a lease request plus a start, shorter than the 1 s after which
  // demand expires.
  Duration grant_validity = std::chrono::milliseconds(500);
};

//-----------------------------------------------------------------------------
// [SECTION] DispatchTask
//-----------------------------------------------------------------------------

// Not thread-safe: use it on the event loop's thread only.
class DispatchTask {
 public:
  struct Hooks {
    // Returns the payload of the task, or null if the task is unknown.
    std::function<const std::string*(const TaskId&)> payload;
    // The task has ended; body is the complete answer if its outcome is kDone.
    std::function<void(const FinishTask&, std::string body)> on_finished;
    // Records the intent to start an attempt; OnIntentRecorded() must be called
    // afterwards.
    std::function<void(const RecordIntent&)> record_intent;
    std::function<void(const RecordAttemptEnd&)> record_attempt_end;
  };

  // One entry of the platform's membership list with its state at this daemon.
  struct HostStatus {
    ListedEndpoint listed;
    bool leaving = false;
    bool owned = false;
    SlotCount slots;  // as last reported; 0: not known at this daemon
  };

  DispatchTask(EventLoop* loop,
               EndpointClient* endpoints,
               MembershipClient* membership,
               PeerLink* peers,
               const SettingsTask* settings,
               PermitTask* permits,
               Metrics* metrics,
               DaemonId self,
               ZoneId zone,
               Hooks hooks,
               DispatchConfig config = {});

  // Call once the session is registered.
  void Start();

  // Call after each adopted revision and each change of the registry.
  void OnSettings();
  void OnRegistry();
  void OnPermits(const TeamId& team);
  void OnStopExcess(const TeamId& team, PermitCount count);

  StartBlock CheckAdmission(const TaskSpec& spec) const;
  StartBlock Submit(const TaskSpec& spec);
  bool Cancel(const TaskId& task);
  void OnIntentRecorded(const TaskId& task, bool committed);
  // Requests the outcome of another session's attempt from the endpoint, which
  // no longer starts the attempt afterwards.
  void Resolve(const EndpointId& endpoint,
               const AttemptId& attempt,
               const BootId& boot,
               EndpointClient::FenceCallback callback);

  // Refuses new tasks; tasks already admitted continue.
  void Shutdown();
  // Releases the leases of this daemon on all endpoints.
  void ReleaseLeases();

  std::size_t OpenTasks() const { return this->dispatcher->OpenTasks(); }
  std::size_t OpenAttempts() const { return this->dispatcher->OpenAttempts(); }
  std::int64_t Waiting(const QueueId& queue) const;
  std::vector<HostStatus> Hosts() const;
  std::size_t OwnedEndpoints() const { return this->slots.Endpoints(); }

 private:
  using TaskDispatcher = Dispatcher<SettingsTask, PermitTask>;

  struct Endpoint {
    ListedEndpoint host;
    bool owned = false;
    SlotCount slots;  // as last reported; 0: no report
  };
  struct SentDemand {
    std::int64_t waiting = 0;
    Instant sent{};
  };

  void PollMembership();
  void OnMembership(const std::vector<ListedEndpoint>& hosts);
  void AssignOwners();
  void OnTick();
  void TickLease(const EndpointId& id);
  void OnLeaseAnswer(const EndpointId& id,
                     LeaseResult answer,
                     const EndpointReport& report,
                     Instant sent);
  void UpdateUsable(const EndpointId& id);
  void SchedulePump();
  void Pump();
  void RegisterOwnDemand();
  void SendDemand();
  void GrantSlots(const PoolId& pool, SlotAllocator* allocator);
  void OnPeerDemand(const SessionId& from, const proto::SlotDemand& demand);
  void OnPeerGrant(const SessionId& from, const proto::SlotGrant& grant);
  void ReturnOwnSlot(SlotToken token, SlotUse use);
  void DropSlots(const EndpointId& id, const PoolId& pool);
  void ExecuteActions();
  void Execute(const StartAttempt& action);
  void Execute(const RecordIntent& action);
  void Execute(const RecordAttemptEnd& action);
  void Execute(const FenceAttempt& action);
  void Execute(const StopAttempt& action);
  void Execute(const FinishTask& action);
  void Execute(const ReturnSlot& action);

  EventLoop* loop;
  EndpointClient* endpoint_client;
  MembershipClient* membership;
  PeerLink* peers;
  const SettingsTask* settings;
  PermitTask* permits;
  Metrics* metrics;
  DaemonId self;
  ZoneId zone;
  Hooks hooks;
  DispatchConfig config;
  std::optional<TaskDispatcher> dispatcher;
  SlotLedger slots;
  OutlierDetector outliers;
  std::map<PoolId, SlotAllocator> allocators;
  std::map<EndpointId, Endpoint> endpoints;
  EndpointMembership endpoint_membership;
  std::map<QueueId, std::int64_t> demand;  // own, limited by permits
  std::map<QueueId, SentDemand> sent_demand;
  // Answers of tasks that are done, until FinishTask is executed.
  std::unordered_map<TaskId, std::string> answers;
  Instant authority_end{};  // latest expiry of this daemon's settings proofs
  bool pump_scheduled = false;
  bool executing_actions = false;
};

}  // namespace peridot

#endif  // SRC_DAEMON_DISPATCH_TASK_H_
