// Simulates daemons with a journal each, one endpoint, the store and callers in
// virtual time. Checks the answers to the callers against the runs that the
// endpoint recorded. Not thread-safe.
//
// Index:
//   [SECTION] Options and results
//   [SECTION] JournalSimulation
//   [SECTION] Callers
//   [SECTION] Daemon
//   [SECTION] Endpoint and store
//   [SECTION] Faults
//   [SECTION] NaiveJournal
//
// Limitation: the endpoint has no owner lease and no slots. It refuses a start
// only if the attempt is fenced, already started or meant for a former boot id.

#ifndef TESTS_SUPPORT_JOURNAL_SIMULATION_H_
#define TESTS_SUPPORT_JOURNAL_SIMULATION_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/coordination/journal.h"
#include "tests/support/event_schedule.h"
#include "tests/support/virtual_table.h"

namespace peridot::testing {

//-----------------------------------------------------------------------------
// [SECTION] Options and results
//-----------------------------------------------------------------------------

struct JournalSimulationOptions {
  std::uint64_t seed = 1;
  int daemons = 3;
  bool faults = true;
  int tasks = 60;                // tasks submitted by callers
  bool keyed_only = false;       // each task has an idempotency key
  int crash_after_actions = -1;  // of daemon 0, which then crashes; -1: never
  // Time without faults at the end of the run, in which takeovers, retention
  // and compaction must complete.
  Duration fault_free_tail = std::chrono::seconds(25);
};

struct JournalSimulationResult {
  std::int64_t accepted = 0;    // tasks reported to their callers as accepted
  std::int64_t refused = 0;     // tasks reported as refused and not run
  std::int64_t duplicates = 0;  // repeats answered by an earlier task
  std::int64_t unknown = 0;     // tasks that ended with outcome unknown
  std::int64_t takeovers = 0;   // takeovers that found a task
  std::int64_t endpoint_boots = 0;  // restarts of the endpoint
  std::int64_t lost = 0;            // accepted tasks that did not end
  std::int64_t run_twice = 0;      // non-idempotent tasks or keys with two runs
  std::int64_t false_not_run = 0;  // reported as not run, but ran
  std::int64_t false_answer = 0;   // answered, but did not run
  std::int64_t rows_left = 0;      // journal rows at the end of the run
  std::int64_t writes = 0;         // table writes
  std::string first_failure;
};

//-----------------------------------------------------------------------------
// [SECTION] JournalSimulation
//-----------------------------------------------------------------------------

template <typename Log>
class JournalSimulation {
 public:
  using ms = std::chrono::milliseconds;

  explicit JournalSimulation(const JournalSimulationOptions& options)
      : options(options), schedule(options.seed) {
    this->schedule.RunUntil(Instant{} + std::chrono::seconds(1));
    this->daemons.resize(Size(options.daemons));
    this->incarnations.resize(Size(options.daemons), 0);
    for (int d = 0; d < options.daemons; ++d) {
      this->Boot(d);
    }
  }

  JournalSimulationResult Run() {
    this->crash_in = this->options.crash_after_actions;
    this->SubmitNext(0);
    if (this->options.faults) {
      this->NextFault();
    }
    this->RunFor(ms(100 * this->options.tasks));
    this->fault_free_tail = true;
    this->store_down = false;
    this->TakeOverEndedSessions();
    this->RunFor(this->options.fault_free_tail);
    this->CheckResults();
    return this->result;
  }

 private:
  struct Submitted {
    AcceptedTask task;
    bool accepted = false;  // reported to the caller as accepted
    bool not_run = false;   // reported to the caller as not run
    bool ended = false;     // an answer is recorded
    bool answered = false;  // the attempt was done: the answer is the task's
    Instant ended_at{};     // when the first answer was recorded
    int key_use = 0;        // tasks that held its key before
    std::int64_t runs = 0;  // runs at the endpoint
  };
  struct Daemon {
    SessionId session;
    std::unique_ptr<Log> log;  // null: the daemon is down
    std::map<AttemptId, AcceptedTask> attempts;
  };
  enum class State { kNone, kNeverStarted, kRunning, kDone, kUnknown };

  static constexpr Duration kRetention = std::chrono::seconds(4);

  static std::size_t Size(int index) { return static_cast<std::size_t>(index); }
  int StoreNode() const { return this->options.daemons; }
  int EndpointNode() const { return this->options.daemons + 1; }
  Instant Now() const { return this->schedule.Now(); }
  void RunFor(Duration length) {
    this->schedule.RunUntil(this->Now() + length);
  }

  void Post(int from, int to, EventSchedule::Action deliver) {
    const bool faulty = this->options.faults && !this->fault_free_tail;
    if (this->schedule.IsLinkCut(from, to) ||
        (faulty && this->schedule.Chance(5))) {
      return;
    }
    const int copies = faulty && this->schedule.Chance(5) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      const bool slow = faulty && this->schedule.Chance(4);
      const Duration delay = std::chrono::microseconds(
          this->schedule.Random(300, slow ? 3'000'000 : 3'000));
      this->schedule.After(delay, EventSchedule::kNoNode, [=, this] {
        this->schedule.After(Duration::zero(), to, deliver);
      });
    }
  }

  template <typename Work, typename Done>
  void SendRequest(int d, int node, Work work, Done done) {
    const SessionId session = this->At(d).session;
    this->Post(d, node, [=, this] {
      if (node == this->StoreNode() && this->store_down) {
        return;
      }
      auto answer = work();
      this->Post(node, d, [=, this] {
        if (this->IsUp(d) && this->At(d).session == session) {
          done(answer);
        }
      });
    });
  }

  Daemon& At(int d) { return this->daemons[Size(d)]; }
  bool IsUp(int d) { return this->At(d).log != nullptr; }

  //---------------------------------------------------------------------------
  // [SECTION] Callers
  //---------------------------------------------------------------------------

  void SubmitNext(int number) {
    if (number >= this->options.tasks) {
      return;
    }
    AcceptedTask task;
    task.task = TaskId("t" + std::to_string(number));
    task.team = TeamId("counts");
    task.idempotent = this->schedule.Chance(30);
    task.body = "payload";
    const bool keyed = this->options.keyed_only || this->schedule.Chance(50);
    if (keyed) {
      task.key_digest = std::to_string(number);
    }
    this->submitted[task.task].task = task;
    this->Submit(task);
    if (keyed && this->schedule.Chance(60)) {
      this->Repeat(task);
    }
    const Duration gap = ms(this->schedule.Random(1, 150));
    this->schedule.After(gap, EventSchedule::kNoNode,
                         [=, this] { this->SubmitNext(number + 1); });
  }

  // The caller got no answer and sends the request again with the same key.
  void Repeat(AcceptedTask task) {
    task.task.value += "r";
    this->submitted[task.task].task = task;
    this->schedule.After(ms(this->schedule.Random(0, 1500)),
                         EventSchedule::kNoNode,
                         [=, this] { this->Submit(task); });
  }

  void Submit(const AcceptedTask& task) {
    const int d =
        static_cast<int>(this->schedule.Random(0, this->options.daemons - 1));
    this->schedule.After(Duration::zero(), d, [=, this] {
      if (!this->IsUp(d)) {
        return;
      }
      const AdmissionQuery query{false, !task.key_digest.empty()};
      if (this->At(d).log->Admit(query, this->Now()) == Admission::kRefused) {
        this->Refused(task.task);
        return;
      }
      this->ExecuteAll(d, this->At(d).log->Accept(task, this->Now()));
      // Some callers cancel the request before it is answered.
      this->schedule.After(ms(300), d, [=, this] {
        if (this->IsUp(d) && this->schedule.Chance(30) &&
            this->At(d).log->Withdraw(task.task)) {
          this->Refused(task.task);
        }
      });
    });
  }

  void Refused(const TaskId& task) {
    ++this->result.refused;
    this->submitted[task].not_run = true;
  }

  //---------------------------------------------------------------------------
  // [SECTION] Daemon
  //---------------------------------------------------------------------------

  void Boot(int d) {
    const std::uint64_t incarnation = ++this->incarnations[Size(d)];
    Daemon& daemon = this->At(d);
    daemon = Daemon{};
    daemon.session = {DaemonName(d), Incarnation(incarnation)};
    TableTransaction write;
    write.operation_id = "boot" + std::to_string(this->next_id++);
    write.puts.push_back({"session/" + daemon.session.daemon.value,
                          R"({"fenced":false,"incarnation":)" +
                              std::to_string(incarnation) + "}"});
    JournalConfig config;
    config.self = daemon.session;
    config.session_version = this->table.Transact(write).versions[0].version;
    config.tunables.retention = kRetention;
    config.tunables.compaction = ms(300);
    daemon.log = std::make_unique<Log>(config);
    for (std::uint64_t earlier = 1; earlier < incarnation; ++earlier) {
      this->TakeOver(d, {daemon.session.daemon, Incarnation(earlier)});
    }
    this->Tick(d);
  }

  static DaemonId DaemonName(int d) {
    std::string name = std::to_string(d);
    return DaemonId(name.insert(0, 1, 'd'));
  }

  void Kill(int d, Duration down) {
    this->schedule.Crash(d);
    const SessionId dead = this->At(d).session;
    this->At(d) = Daemon{};
    this->schedule.After(down, EventSchedule::kNoNode, [this, d] {
      if (!this->IsUp(d)) {
        this->Boot(d);
      }
    });
    this->Suspect(dead);
  }

  // Up to two other daemons start a takeover of the session within 60 ms.
  void Suspect(const SessionId& session) {
    if (session.incarnation.value == 0) {
      return;  // already down
    }
    for (int i = 0; i < 2; ++i) {
      const int d =
          static_cast<int>(this->schedule.Random(0, this->options.daemons - 1));
      this->schedule.After(ms(this->schedule.Random(0, 60)), d,
                           [=, this] { this->TakeOver(d, session); });
    }
  }

  void TakeOver(int d, const SessionId& session) {
    if (this->IsUp(d) && this->At(d).session != session) {
      this->ExecuteAll(d, this->At(d).log->BeginTakeover(session, this->Now()));
    }
  }

  void Tick(int d) {
    this->ExecuteAll(d, this->At(d).log->OnTick(this->Now()));
    this->schedule.After(kJournalTick, d, [this, d] {
      if (this->IsUp(d)) {
        this->Tick(d);
      }
    });
  }

  void ExecuteAll(int d, const JournalActions& actions) {
    const SessionId session = this->At(d).session;
    for (const JournalAction& action : actions) {
      if (!this->IsUp(d) || this->At(d).session != session) {
        return;
      }
      std::visit([&](const auto& item) { this->Execute(d, item); }, action);
      if (d == 0 && this->crash_in >= 0 && this->crash_in-- == 0) {
        this->Kill(0, ms(500));
        return;
      }
    }
  }

  void Execute(int d, const ReadJournalRows& read) {
    this->SendRequest(
        d, this->StoreNode(),
        [=, this] {
          std::vector<TableRow> rows;
          for (const std::string& key : read.keys) {
            const TableRow row = this->table.Read(key);
            if (row.version.value > 0) {
              rows.push_back(row);
            }
          }
          for (const std::string& prefix : read.prefixes) {
            for (const TableRow& row : this->table.ReadPrefix(prefix)) {
              rows.push_back(row);
            }
          }
          return rows;
        },
        [=, this](const std::vector<TableRow>& rows) {
          this->ExecuteAll(
              d, this->At(d).log->OnRead(read.request, rows, this->Now()));
        });
  }

  void Execute(int d, const TransactJournal& write) {
    const SessionId session = this->At(d).session;
    const std::string id = write.transaction.operation_id;
    const auto answer = [=, this](const CommitAnswer& commit) {
      if (this->IsUp(d) && this->At(d).session == session) {
        this->ExecuteAll(
            d, this->At(d).log->OnTransactAnswer(id, commit, this->Now()));
      }
    };
    this->SendRequest(
        d, this->StoreNode(),
        [=, this] { return this->TransactAt(write.transaction); }, answer);
    // The write times out after 200 ms; its answer may still arrive later.
    this->schedule.After(ms(200), d, [=] { answer(CommitAnswer{}); });
  }

  void Execute(int d, const TaskAccepted& event) {
    ++this->result.accepted;
    Submitted& submitted = this->submitted[event.task];
    submitted.accepted = true;
    this->BeginAttempt(d, submitted.task);
  }
  void Execute(int, const TaskDuplicate&) { ++this->result.duplicates; }
  void Execute(int, const TaskRefused& event) { this->Refused(event.task); }

  void Execute(int d, const IntentRecorded& event) {
    const auto attempt = this->At(d).attempts.find(event.intent.attempt);
    if (attempt != this->At(d).attempts.end()) {
      this->Send(d, event.intent.attempt, event.intent.boot, attempt->second);
    }
  }
  void Execute(int, const AnswerRecorded& event) {
    Submitted& task = this->submitted[event.task];
    task.ended_at = task.ended ? task.ended_at : this->Now();
    task.ended = true;
  }
  void Execute(int d, const TakeoverDone& done) {
    this->result.takeovers += done.replay.queue.empty() &&
                                      done.replay.resolve.empty() &&
                                      done.replay.finished.empty()
                                  ? 0
                                  : 1;
    for (const AcceptedTask& task : done.replay.queue) {
      this->BeginAttempt(d, task);
    }
    for (const AttemptToResolve& item : done.replay.resolve) {
      this->Resolve(d, item.attempt.attempt, item.attempt.boot, item.task);
    }
    for (const TaskAnswer& answer : done.replay.finished) {
      this->Execute(d, AnswerRecorded{answer.task});
    }
  }
  void Execute(int, const TakeoverLost&) {}
  void Execute(int d, const SessionLost&) { this->Kill(d, ms(100)); }

  // The check and the send are separate events, so that a pause can fall
  // between them.
  void BeginAttempt(int d, const AcceptedTask& task) {
    const AttemptId attempt("a" + std::to_string(this->next_id++));
    this->At(d).attempts[attempt] = task;
    this->schedule.After(ms(this->schedule.Random(0, 20)), d, [=, this] {
      if (task.idempotent) {
        this->Send(d, attempt, BootId(std::to_string(this->boot)), task);
        return;
      }
      this->ExecuteAll(
          d, this->At(d).log->RecordIntent({task.task, attempt, EndpointId("e"),
                                            BootId(std::to_string(this->boot))},
                                           this->Now()));
    });
  }

  void Send(int d,
            const AttemptId& attempt,
            const BootId& boot,
            const AcceptedTask& task) {
    const SessionId session = this->At(d).session;
    const Duration run = ms(this->schedule.Random(1, 300));
    this->schedule.After(Duration::zero(), d, [=, this] {
      this->Post(d, this->EndpointNode(), [=, this] {
        if (!this->StartAt(attempt, boot, task.task)) {
          return;
        }
        this->schedule.After(run, EventSchedule::kNoNode, [=, this] {
          if (boot.value == std::to_string(this->boot)) {
            this->attempts[attempt] = State::kDone;
          }
          this->Post(this->EndpointNode(), d, [=, this] {
            if (this->IsUp(d) && this->At(d).session == session) {
              this->OnAttemptOutcome(d, attempt, boot, State::kDone, task);
            }
          });
        });
      });
    });
    this->schedule.After(run + ms(400), d, [=, this] {
      this->RetryResolve(d, attempt, boot, task);
    });
  }

  void Resolve(int d,
               const AttemptId& attempt,
               const BootId& boot,
               const AcceptedTask& task) {
    this->At(d).attempts.emplace(attempt, task);
    this->RetryResolve(d, attempt, boot, task);
  }

  void RetryResolve(int d,
                    const AttemptId& attempt,
                    const BootId& boot,
                    const AcceptedTask& task) {
    if (this->At(d).attempts.count(attempt) == 0) {
      return;
    }
    this->SendRequest(
        d, this->EndpointNode(),
        [=, this] { return this->FenceAt(attempt, boot); },
        [=, this](State state) {
          this->OnAttemptOutcome(d, attempt, boot, state, task);
        });
    this->schedule.After(
        ms(250), d, [=, this] { this->RetryResolve(d, attempt, boot, task); });
  }

  // Handles the outcome of an attempt; a second outcome has no effect.
  void OnAttemptOutcome(int d,
                        const AttemptId& attempt,
                        const BootId&,
                        State state,
                        const AcceptedTask& task) {
    Daemon& daemon = this->At(d);
    if (state == State::kRunning || daemon.attempts.erase(attempt) == 0) {
      return;
    }
    const bool start_again = state == State::kNeverStarted ||
                             (state == State::kUnknown && task.idempotent);
    if (start_again) {
      if (!task.idempotent) {
        this->ExecuteAll(
            d, daemon.log->RecordEnd({task.task, attempt, true}, this->Now()));
      }
      if (this->IsUp(d)) {
        this->BeginAttempt(d, task);
      }
      return;
    }
    TaskAnswer answer;
    answer.task = task.task;
    answer.outcome = state == State::kDone ? JournalOutcome::kAnswered
                                           : JournalOutcome::kUnknown;
    this->result.unknown += state == State::kUnknown ? 1 : 0;
    this->submitted[task.task].answered |= state == State::kDone;
    this->ExecuteAll(d, daemon.log->RecordAnswer(answer, this->Now()));
  }

  //---------------------------------------------------------------------------
  // [SECTION] Endpoint and store
  //---------------------------------------------------------------------------

  // Applies a transaction and checks that no idempotency key is freed earlier
  // than the retention time after the end of its task. A task that uses the key
  // afterwards is a new task and may run.
  CommitAnswer TransactAt(const TableTransaction& transaction) {
    const std::int64_t before = this->table.Writes();
    const CommitAnswer answer = this->table.Transact(transaction);
    if (this->table.Writes() == before) {
      return answer;
    }
    for (const std::string& key : transaction.erases) {
      const auto owner = this->key_owners.find(key);
      if (owner == this->key_owners.end()) {
        continue;
      }
      const Submitted& task = this->submitted[owner->second];
      if (!task.ended || this->Now() < task.ended_at + kRetention) {
        this->AddViolation(
            this->result.run_twice, owner->second,
            "idempotency key freed before the end of its retention:");
      }
      this->key_owners.erase(owner);
      ++this->key_uses[key];
    }
    for (const TablePut& put : transaction.puts) {
      if (put.key.starts_with("idem/")) {
        const TableRow row{put.key, {}, put.value};
        const TaskId task = ParseKeyOwner(row).value().task;
        this->key_owners[put.key] = task;
        this->submitted[task].key_use = this->key_uses[put.key];
      }
    }
    return answer;
  }

  bool StartAt(const AttemptId& attempt, const BootId& boot, const TaskId& id) {
    if (boot.value != std::to_string(this->boot) ||
        this->attempts[attempt] != State::kNone) {
      return false;
    }
    this->attempts[attempt] = State::kRunning;
    ++this->submitted[id].runs;
    return true;
  }

  // A restarted endpoint has no record of attempts of its former boot.
  State FenceAt(const AttemptId& attempt, const BootId& boot) {
    if (boot.value != std::to_string(this->boot)) {
      return State::kUnknown;
    }
    State& state = this->attempts[attempt];
    if (state == State::kNone) {
      state = State::kNeverStarted;
    }
    return state;
  }

  //---------------------------------------------------------------------------
  // [SECTION] Faults
  //---------------------------------------------------------------------------

  void NextFault() {
    if (this->fault_free_tail) {
      return;
    }
    this->InjectFault(static_cast<int>(this->schedule.Random(0, 6)));
    this->schedule.After(ms(this->schedule.Random(20, 1200)),
                         EventSchedule::kNoNode, [this] { this->NextFault(); });
  }

  void InjectFault(int kind) {
    const int d =
        static_cast<int>(this->schedule.Random(0, this->options.daemons - 1));
    const Duration length = ms(this->schedule.Random(50, 2500));
    if (kind <= 1 && this->IsUp(d)) {
      this->Kill(d, length);
    } else if (kind == 2) {
      this->schedule.Pause(d, length);
      this->Suspect(this->At(d).session);
    } else if (kind == 3) {
      const int other = static_cast<int>(
          this->schedule.Random(this->StoreNode(), this->EndpointNode()));
      this->schedule.CutLink(d, other);
      this->schedule.After(length, EventSchedule::kNoNode,
                           [=, this] { this->schedule.RestoreLink(d, other); });
    } else if (kind == 4) {
      this->store_down = true;
      this->schedule.After(length, EventSchedule::kNoNode,
                           [this] { this->store_down = false; });
    } else if (kind == 5) {
      this->Suspect(this->At(d).session);  // although the daemon is running
    } else if (kind == 6 && this->schedule.Chance(30)) {
      ++this->boot;
      ++this->result.endpoint_boots;
      this->attempts.clear();
    }
  }

  // Starts a takeover of every ended session once a second, so that each one
  // completes in the part of the run without faults.
  void TakeOverEndedSessions() {
    for (int d = 0; d < this->options.daemons; ++d) {
      for (std::uint64_t i = 1; i < this->incarnations[Size(d)]; ++i) {
        for (int by = 0; by < this->options.daemons; ++by) {
          this->TakeOver(by, {DaemonName(d), Incarnation(i)});
        }
      }
    }
    this->schedule.After(ms(1000), EventSchedule::kNoNode,
                         [this] { this->TakeOverEndedSessions(); });
  }

  void AddViolation(std::int64_t& counter,
                    const TaskId& task,
                    const char* what) {
    ++counter;
    if (this->result.first_failure.empty()) {
      this->result.first_failure = what + (" " + task.value);
    }
  }

  void CheckResults() {
    std::map<std::string, std::int64_t> runs_by_key;
    for (auto& [id, item] : this->submitted) {
      if (item.accepted && !item.ended) {
        this->AddViolation(this->result.lost, id,
                           "accepted, but has no recorded answer:");
      }
      if (item.not_run && item.runs > 0) {
        this->AddViolation(this->result.false_not_run, id,
                           "ran although reported as not run:");
      }
      if (item.answered && item.runs == 0) {
        this->AddViolation(this->result.false_answer, id,
                           "answered without a run:");
      }
      if (item.task.idempotent) {
        continue;
      }
      const std::string unit = item.task.key_digest.empty()
                                   ? id.value
                                   : "key " + item.task.key_digest + "/" +
                                         std::to_string(item.key_use);
      runs_by_key[unit] += item.runs;
      if (item.runs > 0 && runs_by_key[unit] > 1) {
        this->AddViolation(this->result.run_twice, id,
                           "ran more than once (the task or its key):");
      }
    }
    for (const char* prefix : {"journal/", "adopted/", "idem/"}) {
      this->result.rows_left +=
          static_cast<std::int64_t>(this->table.ReadPrefix(prefix).size());
    }
    this->result.writes = this->table.Writes();
  }

  JournalSimulationOptions options;
  EventSchedule schedule;
  VirtualTable table;
  std::vector<Daemon> daemons;
  std::vector<std::uint64_t> incarnations;
  std::map<TaskId, Submitted> submitted;
  std::map<AttemptId, State> attempts;       // state at the endpoint
  std::map<std::string, TaskId> key_owners;  // by row key
  std::map<std::string, int> key_uses;  // by row key; owners that have ended
  int boot = 1;
  std::int64_t next_id = 1;
  int crash_in = -1;
  bool store_down = false;
  bool fault_free_tail = false;
  JournalSimulationResult result;
};

//-----------------------------------------------------------------------------
// [SECTION] NaiveJournal
//-----------------------------------------------------------------------------

// The naive implementation, for comparison: one table write per record, no
// intent, no check of the session or the idempotency key, a missing answer
// handled as a failure, and a takeover that only reads the rows.
class NaiveJournal {
 public:
  explicit NaiveJournal(JournalConfig config) : config(std::move(config)) {}

  Admission Admit(const AdmissionQuery&, Instant) const {
    return Admission::kJournaled;
  }
  JournalActions Accept(const AcceptedTask& task, Instant) {
    return this->Write(task.task, SerializeBatch({task}));
  }
  JournalActions RecordIntent(const AttemptIntent& intent, Instant) {
    JournalActions actions;
    actions.emplace_back(IntentRecorded{intent});
    return actions;
  }
  JournalActions RecordEnd(const AttemptEnd&, Instant) { return {}; }
  JournalActions RecordAnswer(const TaskAnswer& answer, Instant) {
    return this->Write(answer.task, SerializeBatch({answer}));
  }
  bool Withdraw(const TaskId& task) {
    return this->accepting.erase(this->KeyOf(task)) > 0;
  }
  JournalActions BeginTakeover(const SessionId& dead, Instant) {
    JournalActions actions;
    if (this->taken_over.insert(dead).second) {
      this->reads[++this->next] = dead;
      actions.emplace_back(
          ReadJournalRows{this->next, {}, {JournalPrefix(dead)}});
    }
    return actions;
  }
  JournalActions OnRead(std::uint64_t request,
                        const std::vector<TableRow>& rows,
                        Instant) {
    JournalActions actions;
    std::vector<JournalRecord> records;
    for (const TableRow& row : rows) {
      records.push_back(ParseBatch(row).value().front());
    }
    actions.emplace_back(
        TakeoverDone{this->reads[request], ReplayRecords(records)});
    return actions;
  }
  JournalActions OnTransactAnswer(const std::string& operation,
                                  const CommitAnswer& answer,
                                  Instant) {
    JournalActions actions;
    const auto found = this->accepting.find(operation);
    if (found == this->accepting.end()) {
      return actions;
    }
    if (answer.outcome == CommitOutcome::kCommitted) {
      actions.emplace_back(TaskAccepted{found->second});
    } else {
      actions.emplace_back(TaskRefused{found->second});
    }
    this->accepting.erase(found);
    return actions;
  }
  JournalActions OnTick(Instant) { return {}; }

 private:
  std::string KeyOf(const TaskId& task) const {
    return JournalPrefix(this->config.self) + task.value;
  }
  JournalActions Write(const TaskId& task, const std::string& value) {
    TableTransaction write;
    write.operation_id = this->KeyOf(task);
    if (!this->accepting.emplace(write.operation_id, task).second ||
        !this->known.insert(task).second) {
      write.operation_id += "/end";
    }
    write.puts.push_back({this->KeyOf(task), value});
    JournalActions actions;
    actions.emplace_back(TransactJournal{std::move(write)});
    return actions;
  }

  JournalConfig config;
  std::map<std::string, TaskId> accepting;  // by operation id
  std::set<TaskId> known;
  std::set<SessionId> taken_over;
  std::map<std::uint64_t, SessionId> reads;
  std::uint64_t next = 0;
};

}  // namespace peridot::testing

#endif  // TESTS_SUPPORT_JOURNAL_SIMULATION_H_
