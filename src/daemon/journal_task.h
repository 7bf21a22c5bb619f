// Records durable tasks in the table and takes over the journals of ended
// sessions.
//
// Index:
//   [SECTION] JournalTask
//
// When a session is no longer registered, its journal is taken over by a later
// incarnation of the same daemon or, if there is none, by the registered daemon
// that rendezvous hashing selects.

#ifndef SRC_DAEMON_JOURNAL_TASK_H_
#define SRC_DAEMON_JOURNAL_TASK_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "src/coordination/journal.h"
#include "src/daemon/dispatch_task.h"
#include "src/daemon/settings_task.h"
#include "src/daemon/table_client.h"
#include "src/daemon/task_api.h"
#include "src/transport/event_loop.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] JournalTask
//-----------------------------------------------------------------------------

// Not thread-safe: use it on the event loop's thread only.
class JournalTask {
 public:
  struct Hooks {
    // Queues a task of an ended session again.
    std::function<void(const DurableTask&)> adopt;
    // Stores the answer of a finished task of an ended session.
    std::function<void(const DurableTask&, const FinishTask&, std::string)>
        adopt_ended;
  };

  JournalTask(EventLoop* loop,
              TableClient* table,
              const SettingsTask* settings,
              DispatchTask* dispatch,
              Hooks hooks);

  // Call once the session is registered, and after each registry change.
  void Start();
  void OnRegistry();

  void Record(const DurableTask& task,
              std::function<void(RecordOutcome)> callback);
  void RecordIntent(const peridot::RecordIntent& intent);
  void RecordAttemptEnd(const peridot::RecordAttemptEnd& end);
  void RecordEnd(const FinishTask& end, const std::string& answer);

 private:
  void OnTick();
  void ExecuteActions(const JournalActions& actions);
  void Execute(const ReadJournalRows& action);
  void Execute(const TransactJournal& action);
  void Execute(const TaskAccepted& action);
  void Execute(const TaskDuplicate& action);
  void Execute(const TaskRefused& action);
  void Execute(const IntentRecorded& action);
  void Execute(const AnswerRecorded& action);
  void Execute(const TakeoverDone& action);
  void Execute(const TakeoverLost& action);
  void Execute(const SessionLost& action);
  void Answer(const TaskId& task, const RecordOutcome& outcome);
  void TakeOver(const SessionId& dead);
  void ResolveAttempt(const AttemptToResolve& open, Instant until);
  void EndAdopted(const AcceptedTask& task,
                  TaskOutcome outcome,
                  Ran ran,
                  const std::string& body);
  DurableTask ToDurable(const AcceptedTask& task) const;

  EventLoop* loop;
  TableClient* table;
  const SettingsTask* settings;
  DispatchTask* dispatch;
  Hooks hooks;
  std::optional<Journal> journal;
  std::unordered_map<TaskId, std::function<void(RecordOutcome)>> recording;
  std::set<SessionId> listed;      // sessions of the last registry
  std::set<SessionId> taken_over;  // sessions whose takeover has begun
};

}  // namespace peridot

#endif  // SRC_DAEMON_JOURNAL_TASK_H_
