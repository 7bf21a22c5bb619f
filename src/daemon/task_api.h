// Callers' requests: submit, look up and cancel tasks.
//
// Index:
//   [SECTION] Tunables
//   [SECTION] TaskApi
//
// Owns the tasks that this daemon has accepted: their payloads, the callers
// that wait, and the answers of finished asynchronous tasks until they expire.

#ifndef SRC_DAEMON_TASK_API_H_
#define SRC_DAEMON_TASK_API_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "src/daemon/dispatch_task.h"
#include "src/daemon/journal_task.h"
#include "src/daemon/settings_task.h"
#include "src/protocol/problem.h"
#include "src/protocol/task_http.h"
#include "src/transport/event_loop.h"
#include "src/transport/http_server.h"
#include "src/transport/metrics.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Tunables
//-----------------------------------------------------------------------------

struct TaskApiConfig {
  // How long the answer of an asynchronous task can be fetched.
  Duration keep_answers = std::chrono::minutes(10);  // default: 10 min
  std::size_t max_answers = 10'000;                  // default: 10,000 tasks
};

//-----------------------------------------------------------------------------
// [SECTION] TaskApi
//-----------------------------------------------------------------------------

// Not thread-safe: lives on the loop's thread.
class TaskApi {
 public:
  TaskApi(EventLoop* loop,
          HttpServer* server,
          DispatchTask* dispatch,
          JournalTask* journal,
          const SettingsTask* settings,
          Metrics* metrics,
          TaskApiConfig config = {});

  // Hooks of the dispatch task.
  const std::string* Payload(const TaskId& task) const;
  void OnFinished(const FinishTask& end, std::string body);

  // Tasks that have not ended.
  std::size_t OpenTasks() const { return this->open; }

 private:
  struct Task {
    TaskSpec spec;
    std::string payload;
    bool asynchronous = false;
    std::optional<HttpResponder> responder;
    bool ended = false;
    TaskOutcome outcome = TaskOutcome::kNone;
    Ran ran = Ran::kNo;
    StartBlock block = StartBlock::kNone;
    std::string answer;
    Instant accepted{};
  };

  void HandleSubmit(HttpServerRequest request, HttpResponder responder);
  void HandleGet(const HttpServerRequest& request, HttpResponder responder);
  void HandleDelete(const HttpServerRequest& request, HttpResponder responder);
  void Accept(const TaskSubmission& submission,
              const TaskSpec& spec,
              HttpResponder responder);
  void OnRecorded(const TaskId& id, JournalVerdict verdict);
  void Start(const TaskId& id);
  void Answer(const TaskId& id, const Task& task, const HttpResponder& to);
  void Refuse(const HttpResponder& to, RefusalCode code, Ran ran);
  // Finds the task if the request's key belongs to its team.
  Task* FindForCaller(const HttpServerRequest& request,
                      const HttpResponder& responder,
                      TaskId* id);
  std::optional<KeyId> KeyOf(const std::string& bearer) const;
  void Expire();
  TaskId NextTaskId();

  EventLoop* loop;
  DispatchTask* dispatch;
  JournalTask* journal;
  const SettingsTask* settings;
  Metrics* metrics;
  TaskApiConfig config;
  std::unordered_map<TaskId, Task> tasks;
  std::deque<std::pair<Instant, TaskId>> finished;  // by the end's instant
  std::size_t open = 0;
  std::uint64_t next_task = 1;
};

}  // namespace peridot

#endif  // SRC_DAEMON_TASK_API_H_
