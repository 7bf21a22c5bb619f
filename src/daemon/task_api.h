// HTTP interface for callers: submit, look up and cancel tasks.
//
// Index:
//   [SECTION] Tunables
//   [SECTION] TaskApi
//
// Owns the tasks that this daemon has accepted: their payloads, the waiting
// callers, and the answers of finished durable tasks until they expire.
// A task id contains the session that accepted the task. A request for a task
// of another session is forwarded once, to the daemon of that session or the
// one that has taken over its tasks.

#ifndef SRC_DAEMON_TASK_API_H_
#define SRC_DAEMON_TASK_API_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "src/daemon/dispatch_task.h"
#include "src/daemon/settings_task.h"
#include "src/protocol/problem.h"
#include "src/protocol/task_http.h"
#include "src/transport/event_loop.h"
#include "src/transport/http_client.h"
#include "src/transport/http_server.h"
#include "src/transport/metrics.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Tunables
//-----------------------------------------------------------------------------

struct TaskApiConfig {
  // How long the answer of a durable task can be fetched.
  Duration answer_retention = std::chrono::minutes(10);
  std::size_t max_answers = 10'000;  // tasks
  Duration expire_period = std::chrono::seconds(1);
};

// A task whose record must outlast this process.
struct DurableTask {
  TaskSpec spec;
  TeamId team;
  std::string payload;
  std::optional<std::string> idempotency_key;
};

// Outcome of recording a durable task.
struct RecordOutcome {
  enum class Kind {
    kCommitted,    // the task may start
    kDuplicate,    // the idempotency key belongs to an earlier task
    kUnavailable,  // nothing was recorded
  };
  Kind kind = Kind::kUnavailable;
  TaskId existing;  // the earlier task; only with kDuplicate
};

//-----------------------------------------------------------------------------
// [SECTION] TaskApi
//-----------------------------------------------------------------------------

// Not thread-safe: use it on the event loop's thread only.
class TaskApi {
 public:
  struct Hooks {
    // Records an accepted durable task; the callback is called once.
    std::function<void(const DurableTask&, std::function<void(RecordOutcome)>)>
        record;
    // Records the end of a durable task.
    std::function<void(const FinishTask&, const std::string& answer)>
        record_end;
  };

  TaskApi(EventLoop* loop,
          HttpServer* server,
          HttpClient* http,
          DispatchTask* dispatch,
          const SettingsTask* settings,
          Metrics* metrics,
          Hooks hooks,
          TaskApiConfig config = {});

  // Hooks of the dispatch task.
  const std::string* Payload(const TaskId& task) const;
  void OnFinished(const FinishTask& end, std::string body);

  // Takes over a task of an ended session. It is durable and has no waiting
  // callers.
  void Adopt(const DurableTask& task);
  // Stores the answer of a task of an ended session.
  void AdoptEnded(const DurableTask& task,
                  const FinishTask& end,
                  std::string answer);

  // Tasks that have not ended.
  std::size_t OpenTasks() const { return this->open; }

 private:
  struct Task {
    TaskSpec spec;
    TeamId team;
    std::string payload;
    bool durable = false;
    bool ended = false;
    FinishTask end;
    std::string answer;
    std::vector<HttpResponder> waiting;
    Instant accepted{};
  };

  void HandleSubmit(HttpServerRequest request, const HttpResponder& responder);
  void HandleGet(const HttpServerRequest& request,
                 const HttpResponder& responder);
  void HandleDelete(const HttpServerRequest& request,
                    const HttpResponder& responder);
  void AcceptDurable(TaskSubmission submission,
                     const Task& task,
                     const HttpResponder& responder);
  void OnRecorded(const TaskId& id,
                  const RecordOutcome& outcome,
                  bool respond_async,
                  const HttpResponder& responder);
  void Start(const TaskId& id);
  HttpResponse AnswerOf(const Task& task) const;
  void Refuse(const HttpResponder& responder,
              RefusalCode code,
              const std::string& detail = "");
  void Refuse(const HttpResponder& responder, StartBlock block);
  Task& InsertAdopted(const DurableTask& task);
  // Returns the task if its queue is open or the caller's key belongs to its
  // team. Otherwise answers or forwards the request and returns null.
  Task* FindForCaller(const HttpServerRequest& request,
                      const HttpResponder& responder);
  void ForwardToSession(const HttpServerRequest& request,
                        const SessionId& session,
                        const HttpResponder& responder);
  void Expire();

  EventLoop* loop;
  HttpClient* http;
  DispatchTask* dispatch;
  const SettingsTask* settings;
  Metrics* metrics;
  Hooks hooks;
  TaskApiConfig config;
  std::unordered_map<TaskId, Task> tasks;
  std::deque<std::pair<Instant, TaskId>> finished;  // by time of the end
  std::size_t open = 0;
  std::uint64_t next_task = 1;
};

}  // namespace peridot

#endif  // SRC_DAEMON_TASK_API_H_
