// Endpoints, their slots and the attempts on them.
//
// Index:
//   [SECTION] Tunables
//   [SECTION] DispatchTask
//
// Owns the Dispatcher, the slots of the endpoints that this daemon owns and
// the leases on endpoints. Reads the platform's membership list, registers this
// daemon's demand with the owners of other endpoints, and lends own slots.

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
  Duration tick = std::chrono::milliseconds(50);  // default: 50 ms
  // A leaving host is seen within a few seconds even if only the list says so.
  Duration membership_poll = std::chrono::milliseconds(500);  // default: 500 ms
  // Demand lapses after 1 s at the owners; a lost message is made good by the
  // next one.
  Duration demand_repeat = std::chrono::milliseconds(200);  // default: 200 ms
  // Changes of demand within this time go out as one message.
  Duration demand_spacing = std::chrono::milliseconds(5);  // default: 5 ms
  // Longer than a lease request and a start, shorter than a demand's life.
  Duration grant_valid = std::chrono::milliseconds(500);  // default: 500 ms
};

//-----------------------------------------------------------------------------
// [SECTION] DispatchTask
//-----------------------------------------------------------------------------

// Not thread-safe: lives on the loop's thread.
class DispatchTask {
 public:
  struct Hooks {
    // The bytes that the attempt carries; null if the task is not known.
    std::function<const std::string*(const TaskId&)> payload;
    // The task has ended; body is the whole answer if it is done.
    std::function<void(const FinishTask&, std::string body)> on_finished;
    // Record the intent, then call OnIntentRecorded().
    std::function<void(const RecordIntent&)> record_intent;
    std::function<void(const RecordAttemptEnd&)> record_attempt_end;
  };

  // One entry of the platform's list, with what this daemon knows of it.
  struct HostStatus {
    ListedEndpoint listed;
    bool leaving = false;
    bool owned = false;
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
  // Asks the endpoint what became of an attempt of an earlier daemon.
  void Resolve(const EndpointId& endpoint,
               const AttemptId& attempt,
               const BootId& boot,
               EndpointClient::FenceCallback callback);

  // Refuses new tasks; those admitted go on.
  void Shutdown();
  // Ends the leases of this daemon on all endpoints.
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
  void LendSlots(const PoolId& pool, SlotAllocator* allocator);
  void OnPeerDemand(const SessionId& from, const proto::SlotDemand& demand);
  void OnPeerGrant(const SessionId& from, const proto::SlotGrant& grant);
  void ReturnOwnSlot(SlotToken token, SlotUse use);
  void DropSlots(const EndpointId& id, const PoolId& pool);
  void CarryActions();
  void Do(const StartAttempt& action);
  void Do(const RecordIntent& action);
  void Do(const RecordAttemptEnd& action);
  void Do(const FenceAttempt& action);
  void Do(const StopAttempt& action);
  void Do(const FinishTask& action);
  void Do(const ReturnSlot& action);

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
  std::map<QueueId, std::int64_t> demand;  // of this daemon, within its permits
  std::map<QueueId, SentDemand> sent_demand;
  std::unordered_map<TaskId, std::string> answers;  // of tasks just done
  Instant authority_end{};  // latest expiry of this daemon's proofs
  bool pump_scheduled = false;
  bool carrying = false;
};

}  // namespace peridot

#endif  // SRC_DAEMON_DISPATCH_TASK_H_
