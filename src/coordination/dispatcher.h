// Starts tasks on endpoints: waiting queues, checks before a start, outcomes.
//
// Index:
//   [SECTION] Concepts
//   [SECTION] Tasks
//   [SECTION] Refusals
//   [SECTION] Actions
//   [SECTION] Dispatcher
//
// A submitted task waits in its queue. Owners of endpoints grant slots
// (slot_allocator.h). A granted slot goes to the oldest waiting task of its
// queue that passes CheckStart(), which then becomes an attempt. All checks run
// in one call, immediately before the start; in addition, the endpoint enforces
// its lease and the start deadline.
//
// Not thread-safe: one event loop owns each value. Inputs append to actions,
// which the caller takes with TakeActions() after each input.

#ifndef SRC_COORDINATION_DISPATCHER_H_
#define SRC_COORDINATION_DISPATCHER_H_

#include <concepts>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "src/coordination/attempt.h"
#include "src/coordination/endpoint_lease.h"
#include "src/coordination/retry_policy.h"
#include "src/state/clock.h"
#include "src/state/ids.h"
#include "src/state/settings_tree.h"
#include "src/state/units.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Concepts
//-----------------------------------------------------------------------------

// The settings in force, and how long they are proven to be current.
template <typename S>
concept SettingsView = requires(const S& settings,
                                std::string_view name,
                                const KeyId& key) {
  { settings.FindQueue(name) } -> std::same_as<const QueueSettings*>;
  { settings.IsZoneIn(name) } -> std::same_as<bool>;
  // Null if the key does not exist or was withdrawn.
  { settings.TeamOfKey(key) } -> std::same_as<const TeamId*>;
  // Until when this daemon may act on these settings.
  { settings.ProofExpiry() } -> std::same_as<Instant>;
};

// Permits of the teams' upper limits that this daemon holds.
template <typename P>
concept PermitPool = requires(P& permits, const TeamId& team) {
  { permits.TryAcquire(team) } -> std::same_as<bool>;
  permits.Release(team);
};

//-----------------------------------------------------------------------------
// [SECTION] Tasks
//-----------------------------------------------------------------------------

struct TaskSpec {
  TaskId id;  // unique
  QueueId queue;
  KeyId key;  // empty: allowed on open queues only
  bool idempotent = false;
  bool journaled = false;  // attempts need a recorded intent
  Instant deadline{};
};

//-----------------------------------------------------------------------------
// [SECTION] Refusals
//-----------------------------------------------------------------------------

// Why a task is refused, or what its start waits for.
enum class StartBlock {
  kNone,
  kUnknownQueue,
  kKeyMissing,
  kKeyUnknown,
  kKeyWrongTeam,
  kSettingsStale,
  kZoneOut,
  kEndpointLeaving,
  kEndpointLease,
  kEndpointNotProven,
  kTeamLimit,
  kNoSlot,
  kDeadline,
  kQueueFull,
  kShuttingDown,
  kRetryBudget,
};

// Returns a stable lower-case name, as in "team_limit".
const char* StartBlockName(StartBlock block);

//-----------------------------------------------------------------------------
// [SECTION] Actions
//-----------------------------------------------------------------------------

// Send this attempt to its endpoint now.
struct StartAttempt {
  TaskId task;
  AttemptId attempt;
  EndpointId endpoint;
  LeaseId lease;
  BootId boot;
  TeamId team;                    // whose permit the attempt uses
  std::int64_t not_after_us = 0;  // endpoint's clock
  Duration run_time{};            // declared
  bool idempotent = false;
};

// Record the intent in the journal, then call OnIntentRecorded().
struct RecordIntent {
  TaskId task;
  AttemptId attempt;
  EndpointId endpoint;
  BootId boot;  // the attempt may be sent under this boot only
};

// Record in the journal that an attempt with a recorded intent has ended while
// its task continues.
struct RecordAttemptEnd {
  TaskId task;
  AttemptId attempt;
  bool never_started = false;
};

// Fence the attempt over a new connection after the delay.
struct FenceAttempt {
  TaskId task;
  AttemptId attempt;
  EndpointId endpoint;
  BootId boot;  // the attempt was sent under this boot
  Duration delay{};
};

// Stop the attempt at its endpoint. Its end is reported like any other.
struct StopAttempt {
  AttemptId attempt;
  EndpointId endpoint;
};

// The task has ended; answer its caller.
struct FinishTask {
  TaskId task;
  TaskOutcome outcome = TaskOutcome::kNone;
  Ran ran = Ran::kUnknown;
  StartBlock block = StartBlock::kNone;  // why it never started
};

// How a granted slot was used.
enum class SlotUse {
  kUnused,     // no task needed it, or its attempt was stopped
  kRefused,    // tasks wait, but none could start there: withhold the slot for
               // a while, so that the same grant is not repeated at once
  kSucceeded,  // its attempt delivered an answer
  kFailed,     // its attempt ran and failed
};

// Return the granted slot to its owner; it is no longer needed.
struct ReturnSlot {
  SessionId owner;
  std::uint64_t token = 0;
  TeamId team;
  SlotUse use = SlotUse::kUnused;
};

using DispatchAction = std::variant<StartAttempt,
                                    RecordIntent,
                                    RecordAttemptEnd,
                                    FenceAttempt,
                                    StopAttempt,
                                    FinishTask,
                                    ReturnSlot>;

// A slot that an owner granted for one queue.
struct SlotGrant {
  SessionId owner;
  std::uint64_t token = 0;  // unique per owner
  EndpointId endpoint;
  ZoneId zone;
  QueueId queue;
  TeamId team;        // team that the slot is counted for
  Instant expires{};  // an unused grant is returned after this time
};

struct DispatcherConfig {
  std::size_t max_waiting = 10'000;  // tasks per queue
  // Delay between two fences of an attempt that still runs or does not answer.
  Duration fence_interval = std::chrono::milliseconds(250);
};

//-----------------------------------------------------------------------------
// [SECTION] Dispatcher
//-----------------------------------------------------------------------------

template <SettingsView Settings, PermitPool Permits>
class Dispatcher {
 public:
  // settings and permits must outlive the dispatcher. name makes attempt ids
  // unique across daemons and incarnations.
  Dispatcher(const Settings* settings,
             Permits* permits,
             std::string name,
             DispatcherConfig config = {});

  // Returns why a task would not be admitted now, or kNone.
  StartBlock CheckAdmission(const TaskSpec& spec, Instant now) const;

  // Admits a task or returns why not. An admitted task ends with exactly one
  // FinishTask.
  StartBlock OnSubmit(const TaskSpec& spec, Instant now);

  // A slot was granted to this daemon.
  void OnGrant(const SlotGrant& grant, Instant now);

  // The intent of an attempt was committed, or could not be.
  void OnIntentRecorded(const TaskId& task, bool committed, Instant now);

  // The request of an attempt ended.
  void OnReply(const TaskId& task,
               const AttemptId& attempt,
               AttemptReply reply,
               Instant now);

  // A fence was answered.
  void OnFence(const TaskId& task,
               const AttemptId& attempt,
               FenceReply reply,
               Instant now);

  // Sets why tasks of the queue get no slots at present; kNone if they do.
  // Tasks whose deadline passes meanwhile end with this reason.
  void OnQueueBlocked(const QueueId& queue, StartBlock block);

  // The caller cancelled. Returns false for an unknown task.
  bool OnCancel(const TaskId& task, Instant now);

  // Stops `count` running attempts of the team, the latest first, because its
  // limit was lowered.
  void OnStopExcess(const TeamId& team, std::int64_t count);

  // Ends tasks whose deadline has passed and returns unused slots.
  void OnTick(Instant now);

  // Refuses new tasks from now on; admitted tasks continue.
  void OnShutdown() { this->shutting_down = true; }

  // The lease on an endpoint; created on first use.
  EndpointLease& LeaseOf(const EndpointId& endpoint);
  const std::map<EndpointId, EndpointLease>& Leases() const {
    return this->leases;
  }

  // Drops the lease on an endpoint that the platform no longer lists, unless
  // attempts or grants still use it. Its attempts continue.
  void OnEndpointGone(const EndpointId& endpoint);

  // Number of tasks that wait for a slot, and the wait of the oldest.
  std::int64_t Waiting(const QueueId& queue) const;
  Duration LongestWait(const QueueId& queue, Instant now) const;
  std::vector<QueueId> QueuesWithDemand() const;

  // Whether this daemon has an attempt on the endpoint, or a slot for one.
  bool UsesEndpoint(const EndpointId& endpoint) const;

  // Tasks that have not ended, and attempts whose end is not known.
  std::size_t OpenTasks() const { return this->tasks.size(); }
  std::size_t OpenAttempts() const { return this->in_flight.size(); }

  // Why the task has not started, as far as is known.
  StartBlock LastBlock(const TaskId& task) const;

  std::vector<DispatchAction> TakeActions() {
    return std::exchange(this->actions, {});
  }

 private:
  // One admitted task.
  struct Task {
    TaskSpec spec;
    TaskExecution execution;
    Instant submitted{};
    StartBlock last_block = StartBlock::kNoSlot;
    std::optional<std::int64_t> queue_position;  // position in its queue
    bool intent_pending = false;
    bool delayed = false;  // waiting for the delay before its retry
    int attempts = 0;
  };

  // An attempt that may be running; it holds its permit and its slot.
  struct InFlight {
    TaskId task;
    EndpointId endpoint;
    TeamId permit_team;
    LeaseId lease;
    BootId boot;
    SlotGrant grant;
    bool sent = false;
    std::uint64_t number = 0;  // orders attempts by their start
  };

  using WaitingList = std::map<std::int64_t, TaskId>;

  StartBlock BlockOf(const Task& task) const;
  StartBlock CheckCaller(const TaskSpec& spec,
                         const QueueSettings& queue) const;
  StartBlock CheckStart(const TaskSpec& spec,
                        const SlotGrant& grant,
                        Instant now) const;

  bool UseGrant(const SlotGrant& grant, Instant now);
  Task* NextWaiting(const QueueId& queue, std::int64_t* position);
  bool TryStart(Task* task, const SlotGrant& grant, Instant now);
  void SendAttempt(Task* task, const AttemptId& attempt, Instant now);
  void FenceLater(Task* task, const AttemptId& attempt, Duration delay);
  void Apply(Task* task, const AttemptId& attempt, TaskStep step, Instant now);
  void OnOrphanReply(const AttemptId& attempt, bool ended);
  void EndAttempt(const AttemptId& attempt, SlotUse use);
  FenceReply EffectiveFenceReply(const AttemptId& attempt,
                                 FenceReply reply,
                                 Instant now) const;
  void Retry(Task* task, const AttemptId& ended, Instant now);
  void Enqueue(Task* task);
  void Dequeue(Task* task);
  void Finish(Task* task, StartBlock block);
  void ReturnGrant(const SlotGrant& grant, SlotUse use);
  AttemptId NextAttemptId();

  const Settings* settings;
  Permits* permits;
  std::string name;
  DispatcherConfig config;
  bool shutting_down = false;
  std::uint64_t next_attempt = 1;
  std::int64_t next_queue_position = 0;
  std::unordered_map<TaskId, Task> tasks;
  std::map<QueueId, WaitingList> waiting;
  std::map<QueueId, StartBlock> blocked_queues;
  std::multimap<Instant, TaskId> deadlines;
  std::multimap<Instant, TaskId> delayed;  // retries by the time they are due
  RetryPolicy retries;
  std::unordered_map<AttemptId, InFlight> in_flight;
  std::unordered_map<EndpointId, int>
      attempts_by_endpoint;               // number in in_flight
  std::vector<SlotGrant> waiting_grants;  // wait for a lease on the endpoint
  std::map<EndpointId, EndpointLease> leases;
  std::vector<DispatchAction> actions;
};

}  // namespace peridot

#include "src/coordination/dispatcher_internal.h"  // IWYU pragma: export

#endif  // SRC_COORDINATION_DISPATCHER_H_
