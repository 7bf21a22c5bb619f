// Simulates one dispatcher, two endpoints and the messages between them in
// virtual time.
//
// Index:
//   [SECTION] Stages and faults
//   [SECTION] Options and results
//   [SECTION] TaskSimulation
//
// A fault is injected when the first task reaches a stage of its execution. At
// the end the reported results are checked against the runs that the endpoints
// recorded. Not thread-safe.

#ifndef TESTS_SUPPORT_TASK_SIMULATION_H_
#define TESTS_SUPPORT_TASK_SIMULATION_H_

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "src/coordination/dispatcher.h"
#include "stand_ins/endpoint_model.h"
#include "tests/support/event_schedule.h"

namespace peridot::testing {

//-----------------------------------------------------------------------------
// [SECTION] Stages and faults
//-----------------------------------------------------------------------------

enum class TaskStage {
  kWaiting,    // admitted, no slot yet
  kChecked,    // all checks passed, the request is not written yet
  kSent,       // the request is in transit
  kRunning,    // the endpoint has started the task
  kAnswering,  // the endpoint has written the answer
  kFencing,    // no answer arrived, a fence is being sent
  kCount,
};

enum class TaskFault {
  kNone,
  kEndpointRestart,
  kEndpointPause,
  kConnectionSilent,
  kRequestLost,
  kRequestLate,
  kAnswerLost,
  kWrongAnswer,
  kTruncatedAnswer,
  kDaemonPause,
  kKeyWithdrawn,
  kZoneOut,
  kEndpointLeaving,
  kCancelled,
  kFailsAllRuns,
  kEndpointGone,
  kCount,
};

//-----------------------------------------------------------------------------
// [SECTION] Options and results
//-----------------------------------------------------------------------------

struct TaskSimulationOptions {
  std::uint64_t seed = 1;
  TaskStage stage = TaskStage::kWaiting;
  TaskFault fault = TaskFault::kNone;
  TaskFault second = TaskFault::kNone;  // injected 300 ms after `fault`
  bool idempotent = false;
  int tasks = 4;
  std::int64_t limit = 2;  // running tasks
  // Each of these can disable a safeguard, which shows that the checks of the
  // simulation can fail.
  bool endpoint_checks_not_after = true;
  bool retry_unknown = false;
};

struct TaskSimulationResult {
  int finished = 0;       // tasks that ended or were refused
  int done = 0;           // finished with a complete answer
  int injected = 0;       // faults injected, without the second one
  std::string violation;  // the first violated rule; empty: none
};

//-----------------------------------------------------------------------------
// [SECTION] TaskSimulation
//-----------------------------------------------------------------------------

class TaskSimulation {
 public:
  using ms = std::chrono::milliseconds;

  explicit TaskSimulation(const TaskSimulationOptions& options)
      : options(options),
        schedule(options.seed),
        settings{this},
        permits{options.limit},
        dispatcher(&settings, &permits, "d1.1") {
    this->schedule.RunUntil(Instant{} + std::chrono::seconds(10));
    for (int e = 0; e < kEndpoints; ++e) {
      this->models.emplace_back(stand_ins::EndpointOptions{
          .id = EndpointId(Name(e)), .slots = SlotCount(2)});
    }
  }

  TaskSimulationResult Run() {
    this->Tick();
    this->ReadSettings();
    for (int t = 0; t < this->options.tasks; ++t) {
      this->schedule.After(ms(100 + 40 * t), kDaemon, [this, t] {
        this->Submit(TaskId("t" + std::to_string(t)));
      });
    }
    this->schedule.RunUntil(this->schedule.Now() + std::chrono::seconds(40));
    this->CheckResults();
    return this->result;
  }

 private:
  static constexpr int kEndpoints = 2;
  static constexpr EventSchedule::Node kDaemon = 0;
  static constexpr Duration kLease = ms(1'500);
  static constexpr Duration kRun = ms(150);

  struct Settings {
    TaskSimulation* simulation;
    QueueSettings queue{.id = QueueId("p.q"),
                        .pool = PoolId("p"),
                        .team = TeamId("a"),
                        .deadline = std::chrono::seconds(20),
                        .max_attempts = 3,
                        .run_time = kRun,
                        .slots_per_task = SlotCount(1)};
    TeamId team{"a"};
    bool key_valid = true;
    bool zone_in = true;
    Instant proof{};

    const QueueSettings* FindQueue(std::string_view) const {
      return &this->queue;
    }
    bool IsZoneIn(std::string_view zone) const {
      return zone != "z0" || this->zone_in;
    }
    const TeamId* TeamOfKey(const KeyId&) const {
      return this->key_valid ? &this->team : nullptr;
    }
    Instant ProofExpiry() const {
      return this->proof + ShortenForDrift(kLease);
    }
  };

  struct Permits {
    std::int64_t free;

    bool TryAcquire(const TeamId&) {
      if (this->free == 0) {
        return false;
      }
      --this->free;
      return true;
    }
    void Release(const TeamId&) { ++this->free; }
  };

  // A request on a connection. Its result is reported once: the answer, or the
  // loss of the connection, after which an answer is dropped.
  struct Call {
    int endpoint = 0;
    int connection = 0;
    bool ended = false;
    std::function<void()> on_lost;
  };

  static std::string Name(int e) { return "e" + std::to_string(e); }
  static int IndexOf(const EndpointId& id) { return id.value.back() - '0'; }
  EventSchedule::Node NodeOf(int e) const { return 1 + e; }

  // Copies the settings in the store to the daemon 2 ms later; every 500 ms.
  void ReadSettings() {
    const Instant sent = this->schedule.Now();
    const bool key = this->stored_key_valid;
    const bool zone = this->stored_zone_in;
    this->schedule.After(ms(2), kDaemon, [this, sent, key, zone] {
      this->settings.proof = std::max(this->settings.proof, sent);
      this->settings.key_valid = key;
      this->settings.zone_in = zone;
    });
    this->schedule.After(ms(500), kDaemon, [this] { this->ReadSettings(); });
  }

  void Submit(const TaskId& id) {
    const Instant now = this->schedule.Now();
    const StartBlock block =
        this->dispatcher.OnSubmit({.id = id,
                                   .queue = QueueId("p.q"),
                                   .key = KeyId("k"),
                                   .idempotent = this->options.idempotent,
                                   .deadline = now + std::chrono::seconds(15)},
                                  now);
    if (block != StartBlock::kNone) {
      this->OnFinished(id, TaskOutcome::kNotRun, Ran::kNo);
      return;
    }
    this->OnStage(TaskStage::kWaiting, id, -1);
  }

  //---------------------------------------------------------------------------
  // Daemon.
  //---------------------------------------------------------------------------

  void Tick() {
    const Instant now = this->schedule.Now();
    this->dispatcher.OnTick(now);
    for (int e = 0; e < kEndpoints; ++e) {
      this->TickLease(e);
      if (this->dispatcher.Waiting(QueueId("p.q")) > 0 &&
          this->permits.free > 0) {
        this->Grant(e);
      }
    }
    this->ExecuteActions();
    this->schedule.After(ms(20), kDaemon, [this] { this->Tick(); });
  }

  void Grant(int e) {
    const Instant now = this->schedule.Now();
    this->dispatcher.OnGrant({.owner = {DaemonId("d1"), Incarnation(1)},
                              .token = ++this->tokens,
                              .endpoint = EndpointId(Name(e)),
                              .zone = ZoneId("z" + std::to_string(e)),
                              .queue = QueueId("p.q"),
                              .team = TeamId("a"),
                              .expires = now},
                             now);
  }

  void TickLease(int e) {
    const Instant now = this->schedule.Now();
    EndpointLease& lease = this->dispatcher.LeaseOf(EndpointId(Name(e)));
    const LeaseTick tick = lease.OnTick(now);
    if (tick.replace_connection) {
      this->ReplaceConnection(e);
    }
    if (tick.request == LeaseStep::kNone) {
      return;
    }
    const bool acquire = tick.request == LeaseStep::kAcquire;
    const LeaseId id = acquire ? LeaseId() : lease.Report()->lease;
    const std::int64_t until = acquire ? 0 : lease.RenewUntilUs(now, now);
    this->SendRequest(
        e,
        [this, e, acquire, id, until] {
          return this->RequestLease(e, acquire, id, until);
        },
        [this, e, now](const std::optional<EndpointReport>& report) {
          EndpointLease& held = this->dispatcher.LeaseOf(EndpointId(Name(e)));
          if (report) {
            held.OnReport(*report, now, this->schedule.Now());
          } else {
            held.OnRefused(this->schedule.Now());
          }
        },
        [this, e] {
          this->dispatcher.LeaseOf(EndpointId(Name(e)))
              .OnFailed(this->schedule.Now());
        });
  }

  std::optional<EndpointReport> RequestLease(int e,
                                             bool acquire,
                                             const LeaseId& id,
                                             std::int64_t until) {
    stand_ins::EndpointModel& model = this->models[Size(e)];
    const Instant now = this->schedule.Now();
    if (acquire) {
      const auto answer = model.Lease(
          {DaemonId("d1"), Incarnation(1), EndpointLeaseConfig{}.lease}, now);
      const auto* grant = std::get_if<stand_ins::LeaseGrant>(&answer);
      return grant == nullptr ? std::nullopt
                              : std::optional(EndpointReport{
                                    grant->lease, grant->boot, grant->clock_us,
                                    grant->slots, grant->used, grant->leaving});
    }
    const auto beat = model.Heartbeat(id, until, now);
    return !beat ? std::nullopt
                 : std::optional(EndpointReport{id, beat->boot, beat->clock_us,
                                                beat->slots, beat->used,
                                                beat->leaving});
  }

  void ExecuteActions() {
    for (auto actions = this->dispatcher.TakeActions(); !actions.empty();
         actions = this->dispatcher.TakeActions()) {
      for (const DispatchAction& action : actions) {
        std::visit([this](const auto& item) { this->Execute(item); }, action);
      }
    }
  }

  // The check and the send are separate events, so that a pause can fall
  // between them.
  void Execute(const StartAttempt& action) {
    this->OnStage(TaskStage::kChecked, action.task, IndexOf(action.endpoint));
    this->schedule.After(Duration::zero(), kDaemon,
                         [this, action] { this->SendStart(action); });
  }

  void SendStart(const StartAttempt& action) {
    const int e = IndexOf(action.endpoint);
    const auto call = this->OpenCall(e, [this, action] {
      this->ReportReply(action, AttemptReply::kNoAnswer);
    });
    this->OnStage(TaskStage::kSent, action.task, e);
    Duration delay = this->Delay();
    if (std::exchange(this->delay_next_request, false)) {
      delay = std::chrono::seconds(4);
    }
    if (std::exchange(this->lose_next_request, false)) {
      return this->ReportLossLater(call);
    }
    this->Deliver(call, delay, [this, action, e, call] {
      this->OnStartArrived(action, e, call);
    });
  }

  void OnStartArrived(const StartAttempt& action,
                      int e,
                      const std::shared_ptr<Call>& call) {
    const std::int64_t no_deadline_us = std::int64_t{1} << 60;
    const auto answer = this->models[Size(e)].Start(
        {.attempt = action.attempt,
         .task = action.task,
         .team = TeamId("a"),
         .lease = action.lease,
         .boot = action.boot,
         .not_after_us = this->options.endpoint_checks_not_after
                             ? action.not_after_us
                             : no_deadline_us,
         .run = action.run_time,
         .payload = action.task.value},
        this->schedule.Now());
    this->open_calls[action.attempt] = call;
    this->actions[action.attempt] = action;
    if (answer.state == stand_ins::AttemptState::kRunning) {
      this->CheckStart(action, e);
      this->OnStage(TaskStage::kRunning, action.task, e);
      this->Advance(e);
      return;
    }
    this->SendAnswer(answer, e);
  }

  void Execute(const FenceAttempt& action) {
    this->schedule.After(action.delay, kDaemon, [this, action] {
      const int e = IndexOf(action.endpoint);
      this->OnStage(TaskStage::kFencing, action.task, e);
      this->SendRequest(
          e,
          [this, e, action] {
            return this->models[Size(e)].Fence(action.attempt, action.boot,
                                               this->schedule.Now());
          },
          [this, action](const stand_ins::AttemptResponse& answer) {
            this->OnFenced(action, answer);
          },
          [this, action] {
            this->ReportFenceReply(action, FenceReply::kNoAnswer);
          });
    });
  }

  void OnFenced(const FenceAttempt& action,
                const stand_ins::AttemptResponse& answer) {
    using State = stand_ins::AttemptState;
    if (answer.state == State::kDone && answer.digest.empty()) {
      return;
    }
    static const std::map<State, FenceReply> kReplies = {
        {State::kNeverStarted, FenceReply::kNeverStarted},
        {State::kRunning, FenceReply::kRunning},
        {State::kDone, FenceReply::kDone},
        {State::kFailed, FenceReply::kFailed},
        {State::kStopped, FenceReply::kStopped},
        {State::kUnknown, FenceReply::kUnknown}};
    this->bodies[action.task] = answer.body;
    this->ReportFenceReply(action, kReplies.at(answer.state));
  }

  void ReportFenceReply(const FenceAttempt& action, FenceReply reply) {
    if (this->options.retry_unknown && reply == FenceReply::kUnknown) {
      reply = FenceReply::kNeverStarted;
    }
    this->dispatcher.OnFence(action.task, action.attempt, reply,
                             this->schedule.Now());
    this->ExecuteActions();
  }

  void Execute(const StopAttempt& action) {
    const int e = IndexOf(action.endpoint);
    this->SendRequest(
        e,
        [this, e, action] {
          this->models[Size(e)].Cancel(action.attempt, BootId(),
                                       this->schedule.Now());
          this->Advance(e);
          return 0;
        },
        [](int) {}, [] {});
  }

  void Execute(const FinishTask& action) {
    this->OnFinished(action.task, action.outcome, action.ran);
  }
  void Execute(const RecordIntent& action) {
    this->dispatcher.OnIntentRecorded(action.task, true, this->schedule.Now());
  }
  void Execute(const RecordAttemptEnd&) {}
  void Execute(const ReturnSlot&) {}

  void ReportReply(const StartAttempt& action, AttemptReply reply) {
    this->dispatcher.OnReply(action.task, action.attempt, reply,
                             this->schedule.Now());
    this->ExecuteActions();
  }

  //---------------------------------------------------------------------------
  // Endpoints.
  //---------------------------------------------------------------------------

  void Advance(int e) {
    for (const auto& answer :
         this->models[Size(e)].Advance(this->schedule.Now())) {
      this->SendAnswer(answer, e);
    }
    const auto next = this->models[Size(e)].NextEvent();
    if (next && *next > this->schedule.Now()) {
      this->schedule.After(*next - this->schedule.Now(), NodeOf(e),
                           [this, e] { this->Advance(e); });
    }
  }

  void SendAnswer(stand_ins::AttemptResponse answer, int e) {
    const AttemptId request_attempt = answer.in_reply_to;
    const auto call = this->open_calls.find(request_attempt);
    if (call == this->open_calls.end()) {
      return;
    }
    const StartAttempt action = this->actions.at(request_attempt);
    this->OnStage(TaskStage::kAnswering, action.task, e);
    if (std::exchange(this->lose_next_answer, false)) {
      return this->ReportLossLater(call->second);
    }
    if (std::exchange(this->wrong_next_answer, false)) {
      answer.attempt = AttemptId("d1.1.0");
    }
    if (std::exchange(this->truncate_next_answer, false)) {
      answer.body = answer.body.substr(0, answer.body.size() / 2);
    }
    this->Deliver(call->second, this->Delay(), [=, this, held = call->second] {
      this->SendBack(
          held, [this, action, answer] { this->OnAnswer(action, answer); });
    });
  }

  void OnAnswer(const StartAttempt& action,
                const stand_ins::AttemptResponse& answer) {
    using State = stand_ins::AttemptState;
    const bool whole = answer.attempt == action.attempt &&
                       answer.length == answer.body.size() &&
                       (answer.state != State::kDone ||
                        stand_ins::Sha256Hex(answer.body) == answer.digest);
    if (!whole) {
      return this->ReportReply(action, AttemptReply::kNoAnswer);
    }
    static const std::map<State, AttemptReply> kReplies = {
        {State::kNeverStarted, AttemptReply::kNeverStarted},
        {State::kDone, AttemptReply::kDone},
        {State::kFailed, AttemptReply::kFailed},
        {State::kStopped, AttemptReply::kStopped}};
    const auto reply = kReplies.find(answer.state);
    this->bodies[action.task] = answer.body;
    this->ReportReply(action, reply == kReplies.end() ? AttemptReply::kNoAnswer
                                                      : reply->second);
  }

  //---------------------------------------------------------------------------
  // Network: one connection per endpoint, replaced when it stops responding.
  //---------------------------------------------------------------------------

  static std::size_t Size(int e) { return static_cast<std::size_t>(e); }
  Duration Delay() {
    return Duration(this->schedule.Random(200'000, 3'000'000));
  }

  std::shared_ptr<Call> OpenCall(int e, std::function<void()> on_lost) {
    auto call = std::make_shared<Call>();
    call->endpoint = e;
    call->connection = this->connection[Size(e)];
    call->on_lost = std::move(on_lost);
    this->calls.push_back(call);
    return call;
  }

  // Delivers a message to the endpoint, after its pause if it is paused. Drops
  // it if the connection does not respond.
  void Deliver(const std::shared_ptr<Call>& call,
               Duration delay,
               EventSchedule::Action arrive) {
    if (this->IsSilent(*call)) {
      return;
    }
    const int e = call->endpoint;
    this->schedule.After(delay, EventSchedule::kNoNode, [=, this] {
      const Instant paused = this->models[Size(e)].PausedUntil();
      const Duration wait =
          std::max(Duration::zero(), paused - this->schedule.Now());
      this->schedule.After(wait, NodeOf(e), arrive);
    });
  }

  void SendBack(const std::shared_ptr<Call>& call, EventSchedule::Action done) {
    if (this->IsSilent(*call)) {
      return;
    }
    this->schedule.After(this->Delay(), kDaemon, [call, done] {
      if (!std::exchange(call->ended, true)) {
        done();
      }
    });
  }

  template <typename Work, typename Done, typename Lost>
  void SendRequest(int e, Work work, Done done, Lost lost) {
    const auto call = this->OpenCall(e, lost);
    this->Deliver(call, this->Delay(), [=, this] {
      auto answer = work();
      this->SendBack(call, [=] { done(answer); });
    });
  }

  bool IsSilent(const Call& call) const {
    return call.connection <
           this->first_responsive_connection[Size(call.endpoint)];
  }

  void ReportLossLater(const std::shared_ptr<Call>& call) {
    this->schedule.After(this->Delay(), kDaemon, [call] {
      if (!std::exchange(call->ended, true)) {
        call->on_lost();
      }
    });
  }

  void ReplaceConnection(int e) {
    const int old = this->connection[Size(e)]++;
    std::vector<std::shared_ptr<Call>> lost;
    for (const auto& call : this->calls) {
      if (call->endpoint == e && call->connection <= old && !call->ended) {
        lost.push_back(call);
      }
    }
    for (const auto& call : lost) {
      if (!std::exchange(call->ended, true)) {
        call->on_lost();
      }
    }
    std::erase_if(this->calls, [](const auto& call) { return call->ended; });
  }

  //---------------------------------------------------------------------------
  // Faults.
  //---------------------------------------------------------------------------

  void OnStage(TaskStage stage, const TaskId& task, int e) {
    if (stage != this->options.stage || this->result.injected > 0) {
      return;
    }
    ++this->result.injected;
    this->faulty_task = task;
    this->Inject(this->options.fault, std::max(e, 0));
    if (this->options.second != TaskFault::kNone) {
      this->schedule.After(ms(300), EventSchedule::kNoNode, [this, e] {
        this->Inject(this->options.second, std::max(e, 0));
      });
    }
  }

  void Inject(TaskFault fault, int e) {
    const Instant now = this->schedule.Now();
    stand_ins::EndpointModel& model = this->models[Size(e)];
    switch (fault) {
      case TaskFault::kNone:
      case TaskFault::kCount:
        return;
      case TaskFault::kEndpointRestart:
        model.Restart(now);
        return this->BreakConnection(e);
      case TaskFault::kEndpointPause:
        return model.Pause(std::chrono::seconds(3), now);
      case TaskFault::kConnectionSilent:
        this->first_responsive_connection[Size(e)] =
            this->connection[Size(e)] + 1;
        return;
      case TaskFault::kRequestLost:
        this->lose_next_request = true;
        return;
      case TaskFault::kRequestLate:
        this->delay_next_request = true;
        return;
      case TaskFault::kAnswerLost:
        this->lose_next_answer = true;
        return;
      case TaskFault::kWrongAnswer:
        this->wrong_next_answer = true;
        return;
      case TaskFault::kTruncatedAnswer:
        this->truncate_next_answer = true;
        return;
      case TaskFault::kDaemonPause:
        return this->schedule.Pause(kDaemon, std::chrono::seconds(5));
      case TaskFault::kKeyWithdrawn:
        this->stored_key_valid = false;
        this->forbidden_from = now + kLease;
        return;
      case TaskFault::kZoneOut:
        this->stored_zone_in = false;
        this->zone_out_from = now + kLease;
        return;
      case TaskFault::kEndpointLeaving: {
        stand_ins::EndpointFaults faults = model.Faults();
        faults.leaving = true;
        return model.SetFaults(faults);
      }
      case TaskFault::kCancelled:
        this->schedule.After(Duration::zero(), kDaemon, [this] {
          this->dispatcher.OnCancel(this->faulty_task, this->schedule.Now());
          this->ExecuteActions();
        });
        return;
      case TaskFault::kFailsAllRuns: {
        stand_ins::EndpointFaults faults = model.Faults();
        faults.fail_all = true;
        return model.SetFaults(faults);
      }
      case TaskFault::kEndpointGone:
        model.Restart(now);
        model.Pause(std::chrono::hours(1), now);
        return this->BreakConnection(e);
    }
  }

  void BreakConnection(int e) {
    this->schedule.After(ms(1), kDaemon,
                         [this, e] { this->ReplaceConnection(e); });
  }

  //---------------------------------------------------------------------------
  // Checks.
  //---------------------------------------------------------------------------

  void AddViolation(const std::string& text) {
    if (this->result.violation.empty()) {
      this->result.violation = text;
    }
  }

  void CheckStart(const StartAttempt& action, int e) {
    const Instant now = this->schedule.Now();
    if (this->forbidden_from && now > *this->forbidden_from) {
      this->AddViolation(
          "a run started after the withdrawal of its key was in force");
    }
    if (e == 0 && this->zone_out_from && now > *this->zone_out_from) {
      this->AddViolation(
          "a run started in a zone after its removal was in force");
    }
    std::int64_t running = 0;
    for (const auto& model : this->models) {
      running += this->RunningOn(model);
    }
    if (running > this->options.limit) {
      this->AddViolation("more tasks run than the limit allows");
    }
    this->started.insert(action.task);
  }

  // Returns the number of tasks that run on the endpoint. A task on a paused
  // endpoint makes no progress; if the lease expires during the pause, the
  // endpoint stops the task when it resumes, before the task continues, so the
  // task does not count.
  std::int64_t RunningOn(stand_ins::EndpointModel model) const {
    using State = stand_ins::AttemptState;
    std::set<AttemptId> open;
    for (const auto& run : model.Runs()) {
      if (run.outcome == State::kRunning) {
        open.insert(run.attempt);
      }
    }
    if (this->schedule.Now() < model.PausedUntil()) {
      model.Advance(model.PausedUntil());
      for (const auto& run : model.Runs()) {
        if (run.outcome == State::kStopped) {
          open.erase(run.attempt);
        }
      }
    }
    return static_cast<std::int64_t>(open.size());
  }

  void OnFinished(const TaskId& task, TaskOutcome outcome, Ran ran) {
    ++this->result.finished;
    if (!this->finished.insert(task).second) {
      this->AddViolation("a task was reported as ended twice");
    }
    if (outcome == TaskOutcome::kDone) {
      ++this->result.done;
      if (this->bodies[task] != "ok " + task.value) {
        this->AddViolation(
            "a task was reported as done with a truncated answer or that of "
            "another task");
      }
    }
    if (ran == Ran::kNo) {
      this->claimed_not_run.insert(task);
    }
  }

  void CheckResults() {
    std::map<TaskId, int> runs;
    for (const auto& model : this->models) {
      for (const auto& run : model.Runs()) {
        ++runs[run.task];
      }
    }
    for (const auto& [task, count] : runs) {
      if (!this->options.idempotent && count > 1) {
        this->AddViolation("a non-idempotent task ran twice");
      }
      if (this->claimed_not_run.contains(task)) {
        this->AddViolation("a task that was reported as not run did run");
      }
    }
    if (this->result.finished != this->options.tasks) {
      this->AddViolation(
          "the number of ended tasks differs from that of submitted tasks");
    }
    if (this->permits.free != this->options.limit) {
      this->AddViolation(
          "the free permits differ from the limit after all tasks ended");
    }
  }

  TaskSimulationOptions options;
  EventSchedule schedule;
  Settings settings;
  Permits permits;
  Dispatcher<Settings, Permits> dispatcher;
  std::vector<stand_ins::EndpointModel> models;
  std::array<int, kEndpoints> connection{};
  std::array<int, kEndpoints> first_responsive_connection{};
  std::vector<std::shared_ptr<Call>> calls;
  std::map<AttemptId, std::shared_ptr<Call>> open_calls;
  std::map<AttemptId, StartAttempt> actions;
  std::map<TaskId, std::string> bodies;
  std::set<TaskId> started;
  std::set<TaskId> finished;
  std::set<TaskId> claimed_not_run;
  std::uint64_t tokens = 0;
  TaskId faulty_task;
  bool stored_key_valid = true;
  bool stored_zone_in = true;
  bool lose_next_request = false;
  bool delay_next_request = false;
  bool lose_next_answer = false;
  bool wrong_next_answer = false;
  bool truncate_next_answer = false;
  std::optional<Instant> forbidden_from;
  std::optional<Instant> zone_out_from;
  TaskSimulationResult result;
};

}  // namespace peridot::testing

#endif  // TESTS_SUPPORT_TASK_SIMULATION_H_
