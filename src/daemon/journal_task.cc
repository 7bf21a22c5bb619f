#include "src/daemon/journal_task.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "src/daemon/successor.h"
#include "src/protocol/digest.h"
#include "src/transport/log.h"

namespace peridot {
namespace {

using std::chrono::milliseconds;

constexpr Duration kResolveInterval = milliseconds(250);
// Number of earlier incarnations whose journals a restarted daemon takes over.
// Each takes one read of the table.
constexpr std::uint64_t kMaxEarlierIncarnations = 3;

std::int64_t WallClockMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

JournalOutcome OutcomeOf(const FinishTask& end) {
  switch (end.outcome) {
    case TaskOutcome::kDone:
      return JournalOutcome::kAnswered;
    case TaskOutcome::kFailed:
      return JournalOutcome::kFailed;
    case TaskOutcome::kCancelled:
    case TaskOutcome::kNotRun:
      return JournalOutcome::kCancelled;
    case TaskOutcome::kNone:
    case TaskOutcome::kUnknown:
      return JournalOutcome::kUnknown;
  }
  return JournalOutcome::kUnknown;
}

}  // namespace

JournalTask::JournalTask(EventLoop* loop,
                         TableClient* table,
                         const SettingsTask* settings,
                         DispatchTask* dispatch,
                         Hooks hooks)
    : loop(loop),
      table(table),
      settings(settings),
      dispatch(dispatch),
      hooks(std::move(hooks)) {}

void JournalTask::Start() {
  const SessionId& self = this->settings->Session();
  this->journal.emplace(JournalConfig{
      .self = self, .session_version = this->settings->SessionVersion()});
  for (std::uint64_t back = 1; back <= kMaxEarlierIncarnations; ++back) {
    if (self.incarnation.value > back) {
      this->TakeOver({self.daemon, Incarnation(self.incarnation.value - back)});
    }
  }
  this->OnTick();
}

void JournalTask::OnRegistry() {
  const Registry& registry = this->settings->KnownRegistry();
  std::set<SessionId> next;
  for (const RegisteredDaemon& entry : registry.daemons) {
    next.insert(entry.session);
  }
  for (const SessionId& session : std::exchange(this->listed, next)) {
    if (next.contains(session) || !this->journal) {
      continue;
    }
    const RegisteredDaemon* successor = FindSuccessor(session, registry);
    if (successor != nullptr &&
        successor->session == this->settings->Session()) {
      this->TakeOver(session);
    }
  }
}

void JournalTask::TakeOver(const SessionId& dead) {
  if (this->taken_over.insert(dead).second) {
    LogEvent(LogLevel::kInfo, "takeover_begun",
             {{"peer", dead.daemon.value},
              {"incarnation", std::to_string(dead.incarnation.value)}});
    this->ExecuteActions(this->journal->BeginTakeover(dead, this->loop->Now()));
  }
}

void JournalTask::OnTick() {
  if (this->settings->HasStopped()) {
    return;
  }
  this->journal->OnSessionRow(this->settings->SessionVersion());
  this->ExecuteActions(this->journal->OnTick(this->loop->Now()));
  this->loop->After(kJournalTick, [this] { this->OnTick(); });
}

//-----------------------------------------------------------------------------
// [SECTION] Records
//-----------------------------------------------------------------------------

void JournalTask::Record(const DurableTask& task,
                         std::function<void(RecordOutcome)> callback) {
  if (!this->journal || !this->journal->IsStoreUsable(this->loop->Now())) {
    return callback({});
  }
  AcceptedTask record;
  record.task = task.spec.id;
  record.team = task.team;
  record.queue = task.spec.queue;
  record.key = task.spec.key;
  record.idempotent = task.spec.idempotent;
  record.deadline_ms =
      WallClockMs() + std::chrono::duration_cast<milliseconds>(
                          task.spec.deadline - this->loop->Now())
                          .count();
  record.body = task.payload;
  if (task.idempotency_key) {
    record.key_digest = Sha256Hex(*task.idempotency_key);
  }
  this->recording[task.spec.id] = std::move(callback);
  this->ExecuteActions(this->journal->Accept(record, this->loop->Now()));
}

void JournalTask::RecordIntent(const peridot::RecordIntent& intent) {
  this->ExecuteActions(this->journal->RecordIntent(
      {intent.task, intent.attempt, intent.endpoint, intent.boot},
      this->loop->Now()));
}

void JournalTask::RecordAttemptEnd(const peridot::RecordAttemptEnd& end) {
  this->ExecuteActions(this->journal->RecordEnd(
      {end.task, end.attempt, end.never_started}, this->loop->Now()));
}

void JournalTask::RecordEnd(const FinishTask& end, const std::string& answer) {
  TaskAnswer record;
  record.task = end.task;
  record.outcome = OutcomeOf(end);
  record.body = answer;
  this->ExecuteActions(this->journal->RecordAnswer(record, this->loop->Now()));
}

//-----------------------------------------------------------------------------
// [SECTION] Actions
//-----------------------------------------------------------------------------

void JournalTask::ExecuteActions(const JournalActions& actions) {
  for (const JournalAction& action : actions) {
    std::visit([this](const auto& item) { this->Execute(item); }, action);
  }
}

void JournalTask::Execute(const ReadJournalRows& action) {
  this->table->Read(action.keys, action.prefixes,
                    [this, request = action.request](
                        const Result<std::vector<TableRow>>& rows) {
                      if (rows) {
                        this->ExecuteActions(this->journal->OnRead(
                            request, rows.value(), this->loop->Now()));
                      }
                    });
}

void JournalTask::Execute(const TransactJournal& action) {
  this->table->Transact(
      action.transaction,
      [this, id = action.transaction.operation_id](const CommitAnswer& answer) {
        this->ExecuteActions(
            this->journal->OnTransactAnswer(id, answer, this->loop->Now()));
      });
}

void JournalTask::Execute(const TaskAccepted& action) {
  this->Answer(action.task, {RecordOutcome::Kind::kCommitted, TaskId()});
}

void JournalTask::Execute(const TaskDuplicate& action) {
  this->Answer(action.task, {RecordOutcome::Kind::kDuplicate, action.existing});
}

void JournalTask::Execute(const TaskRefused& action) {
  this->Answer(action.task, {RecordOutcome::Kind::kUnavailable, TaskId()});
}

void JournalTask::Execute(const IntentRecorded& action) {
  this->dispatch->OnIntentRecorded(action.intent.task, true);
}

void JournalTask::Execute(const AnswerRecorded& /*action*/) {}

void JournalTask::Execute(const TakeoverDone& action) {
  const Replay& replay = action.replay;
  LogEvent(LogLevel::kInfo, "takeover_done",
           {{"peer", action.session.daemon.value},
            {"queued", std::to_string(replay.queue.size())},
            {"to_resolve", std::to_string(replay.resolve.size())},
            {"finished", std::to_string(replay.finished.size())}});
  for (const AcceptedTask& task : replay.queue) {
    this->hooks.adopt(this->ToDurable(task));
  }
  for (const AttemptToResolve& open : replay.resolve) {
    this->ResolveAttempt(open, this->ToDurable(open.task).spec.deadline);
  }
}

void JournalTask::Execute(const TakeoverLost& action) {
  LogEvent(
      LogLevel::kInfo, "takeover_lost",
      {{"peer", action.session.daemon.value}, {"by", action.by.daemon.value}});
}

void JournalTask::Execute(const SessionLost& /*action*/) {
  // SettingsTask reads the session row as well and ends the process.
}

void JournalTask::Answer(const TaskId& task, const RecordOutcome& outcome) {
  const auto found = this->recording.find(task);
  if (found == this->recording.end()) {
    return;
  }
  const auto callback = std::move(found->second);
  this->recording.erase(found);
  callback(outcome);
}

//-----------------------------------------------------------------------------
// [SECTION] Takeover
//-----------------------------------------------------------------------------

DurableTask JournalTask::ToDurable(const AcceptedTask& task) const {
  DurableTask durable;
  durable.spec.id = task.task;
  durable.spec.queue = task.queue;
  durable.spec.key = task.key;
  durable.spec.idempotent = task.idempotent;
  durable.spec.journaled = true;
  durable.spec.deadline =
      this->loop->Now() + milliseconds(task.deadline_ms - WallClockMs());
  durable.team = task.team;
  durable.payload = task.body;
  return durable;
}

// Requests the outcome of the attempt until the endpoint reports it or `until`
// has passed. The task runs again only if the endpoint reports that the attempt
// never started.
void JournalTask::ResolveAttempt(const AttemptToResolve& open, Instant until) {
  this->dispatch->Resolve(
      open.attempt.endpoint, open.attempt.attempt, open.attempt.boot,
      [this, open, until](FenceReply reply, const std::string& body) {
        switch (reply) {
          case FenceReply::kNeverStarted:
            this->ExecuteActions(this->journal->RecordEnd(
                {open.task.task, open.attempt.attempt, true},
                this->loop->Now()));
            return this->hooks.adopt(this->ToDurable(open.task));
          case FenceReply::kDone:
            return this->EndAdopted(open.task, TaskOutcome::kDone, Ran::kYes,
                                    body);
          case FenceReply::kFailed:
          case FenceReply::kStopped:
            return this->EndAdopted(open.task, TaskOutcome::kFailed, Ran::kYes,
                                    "");
          case FenceReply::kUnknown:
            return this->EndAdopted(open.task, TaskOutcome::kUnknown,
                                    Ran::kUnknown, "");
          case FenceReply::kRunning:
          case FenceReply::kNoAnswer:
            break;
        }
        if (this->loop->Now() >= until) {
          return this->EndAdopted(open.task, TaskOutcome::kUnknown,
                                  Ran::kUnknown, "");
        }
        this->loop->After(kResolveInterval, [this, open, until] {
          this->ResolveAttempt(open, until);
        });
      });
}

void JournalTask::EndAdopted(const AcceptedTask& task,
                             TaskOutcome outcome,
                             Ran ran,
                             const std::string& body) {
  const FinishTask end{.task = task.task, .outcome = outcome, .ran = ran};
  this->hooks.adopt_ended(this->ToDurable(task), end, body);
}

}  // namespace peridot
