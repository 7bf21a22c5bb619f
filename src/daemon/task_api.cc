#include "src/daemon/task_api.h"

#include <algorithm>
#include <chrono>

#include "src/daemon/successor.h"
#include "src/protocol/socket_address.h"
#include "src/transport/log.h"

namespace peridot {
namespace {

constexpr char kForwardedHeader[] = "Peridot-Forwarded";

RefusalCode CodeOf(StartBlock block) {
  switch (block) {
    case StartBlock::kUnknownQueue:
      return RefusalCode::kUnknownQueue;
    case StartBlock::kKeyMissing:
      return RefusalCode::kKeyMissing;
    case StartBlock::kKeyUnknown:
      return RefusalCode::kKeyUnknown;
    case StartBlock::kKeyWrongTeam:
      return RefusalCode::kKeyWrongTeam;
    case StartBlock::kSettingsStale:
      return RefusalCode::kSettingsStale;
    case StartBlock::kZoneOut:
      return RefusalCode::kZoneOut;
    case StartBlock::kTeamLimit:
      return RefusalCode::kTeamLimit;
    case StartBlock::kQueueFull:
      return RefusalCode::kQueueFull;
    case StartBlock::kShuttingDown:
      return RefusalCode::kShuttingDown;
    case StartBlock::kDeadline:
      return RefusalCode::kDeadline;
    case StartBlock::kNone:
    case StartBlock::kNoSlot:
    case StartBlock::kEndpointLeaving:
    case StartBlock::kEndpointLease:
    case StartBlock::kEndpointNotProven:
    case StartBlock::kRetryBudget:
      return RefusalCode::kNoEndpoint;
  }
  return RefusalCode::kNoEndpoint;
}

RefusalCode CodeOf(const FinishTask& end) {
  switch (end.outcome) {
    case TaskOutcome::kNotRun:
      return CodeOf(end.block);
    case TaskOutcome::kFailed:
      return RefusalCode::kTaskFailed;
    case TaskOutcome::kCancelled:
      return RefusalCode::kCancelled;
    case TaskOutcome::kNone:
    case TaskOutcome::kDone:
    case TaskOutcome::kUnknown:
      return RefusalCode::kOutcomeUnknown;
  }
  return RefusalCode::kOutcomeUnknown;
}

}  // namespace

TaskApi::TaskApi(EventLoop* loop,
                 HttpServer* server,
                 HttpClient* http,
                 DispatchTask* dispatch,
                 const SettingsTask* settings,
                 Metrics* metrics,
                 Hooks hooks,
                 TaskApiConfig config)
    : loop(loop),
      http(http),
      dispatch(dispatch),
      settings(settings),
      metrics(metrics),
      hooks(std::move(hooks)),
      config(config) {
  server->Route(
      HttpMethod::kPost, "/v1/queues/",
      [this](HttpServerRequest request, const HttpResponder& responder) {
        this->HandleSubmit(std::move(request), responder);
      });
  server->Route(
      HttpMethod::kGet, "/v1/tasks/",
      [this](const HttpServerRequest& request, const HttpResponder& responder) {
        this->HandleGet(request, responder);
      });
  server->Route(
      HttpMethod::kDelete, "/v1/tasks/",
      [this](const HttpServerRequest& request, const HttpResponder& responder) {
        this->HandleDelete(request, responder);
      });
  this->Expire();
}

//-----------------------------------------------------------------------------
// [SECTION] Submission
//-----------------------------------------------------------------------------

void TaskApi::HandleSubmit(HttpServerRequest request,
                           const HttpResponder& responder) {
  auto parsed = ParseTaskSubmission(request.path, request.headers,
                                    std::move(request.body));
  if (!parsed) {
    this->metrics->CountRefusal(RefusalCodeName(parsed.error().code));
    return responder.Send(FormatProblem(parsed.error()));
  }
  TaskSubmission& submission = parsed.value();
  const SettingsTree* tree = this->settings->Tree();
  if (tree == nullptr) {
    return this->Refuse(responder, StartBlock::kSettingsStale);
  }
  const QueueSettings* queue = tree->FindQueue(submission.queue.value);
  if (queue == nullptr) {
    return this->Refuse(responder, StartBlock::kUnknownQueue);
  }
  Task task;
  if (submission.key) {
    const TeamKey* key = tree->FindKey(DigestKeyText(*submission.key));
    if (key == nullptr) {
      return this->Refuse(responder, StartBlock::kKeyUnknown);
    }
    task.spec.key = key->id;
  }
  const Instant now = this->loop->Now();
  task.spec.id = FormatTaskId({this->settings->Session(), this->next_task++});
  task.spec.queue = queue->id;
  task.spec.idempotent = submission.idempotent;
  task.spec.deadline =
      now + std::min(submission.time_to_deadline.value_or(queue->deadline),
                     queue->deadline);
  task.team = queue->team;
  task.accepted = now;
  task.durable = submission.respond_async || submission.idempotency_key;
  task.spec.journaled = task.durable;
  const StartBlock block = this->dispatch->CheckAdmission(task.spec);
  if (block != StartBlock::kNone) {
    return this->Refuse(responder, block);
  }
  if (task.durable) {
    return this->AcceptDurable(std::move(submission), task, responder);
  }
  task.payload = std::move(submission.body);
  task.waiting.push_back(responder);
  const TaskId id = task.spec.id;
  this->tasks.emplace(id, std::move(task));
  ++this->open;
  this->Start(id);
}

void TaskApi::AcceptDurable(TaskSubmission submission,
                            const Task& task,
                            const HttpResponder& responder) {
  if (!this->hooks.record) {
    return this->Refuse(responder, RefusalCode::kStoreUnavailable);
  }
  const TaskId id = task.spec.id;
  const bool respond_async = submission.respond_async;
  const DurableTask durable{task.spec, task.team, std::move(submission.body),
                            std::move(submission.idempotency_key)};
  Task& stored = this->tasks.emplace(id, task).first->second;
  stored.payload = durable.payload;
  ++this->open;
  this->hooks.record(durable, [this, id, respond_async,
                               responder](const RecordOutcome& outcome) {
    this->OnRecorded(id, outcome, respond_async, responder);
  });
}

void TaskApi::OnRecorded(const TaskId& id,
                         const RecordOutcome& outcome,
                         bool respond_async,
                         const HttpResponder& responder) {
  if (outcome.kind == RecordOutcome::Kind::kCommitted) {
    if (respond_async) {
      responder.Send(FormatTaskAccepted(id));
    } else {
      this->tasks.at(id).waiting.push_back(responder);
    }
    return this->Start(id);
  }
  this->tasks.erase(id);
  --this->open;
  if (outcome.kind == RecordOutcome::Kind::kUnavailable) {
    return this->Refuse(responder, RefusalCode::kStoreUnavailable);
  }
  const auto existing = this->tasks.find(outcome.existing);
  if (respond_async || existing == this->tasks.end()) {
    // The caller can request the earlier task by its id.
    return responder.Send(FormatTaskAccepted(outcome.existing));
  }
  if (existing->second.ended) {
    return responder.Send(this->AnswerOf(existing->second));
  }
  existing->second.waiting.push_back(responder);
}

void TaskApi::Start(const TaskId& id) {
  const StartBlock block = this->dispatch->Submit(this->tasks.at(id).spec);
  if (block != StartBlock::kNone) {
    this->OnFinished({.task = id,
                      .outcome = TaskOutcome::kNotRun,
                      .ran = Ran::kNo,
                      .block = block},
                     "");
  }
}

TaskApi::Task& TaskApi::InsertAdopted(const DurableTask& task) {
  Task& adopted = this->tasks[task.spec.id];
  adopted.spec = task.spec;
  adopted.team = task.team;
  adopted.payload = task.payload;
  adopted.durable = true;
  adopted.accepted = this->loop->Now();
  ++this->open;
  return adopted;
}

void TaskApi::Adopt(const DurableTask& task) {
  if (!this->tasks.contains(task.spec.id)) {
    this->InsertAdopted(task);
    this->Start(task.spec.id);
  }
}

void TaskApi::AdoptEnded(const DurableTask& task,
                         const FinishTask& end,
                         std::string answer) {
  if (!this->tasks.contains(task.spec.id)) {
    this->InsertAdopted(task);
    this->OnFinished(end, std::move(answer));
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Completion
//-----------------------------------------------------------------------------

const std::string* TaskApi::Payload(const TaskId& task) const {
  const auto found = this->tasks.find(task);
  return found == this->tasks.end() ? nullptr : &found->second.payload;
}

void TaskApi::OnFinished(const FinishTask& end, std::string body) {
  const auto found = this->tasks.find(end.task);
  if (found == this->tasks.end() || found->second.ended) {
    return;
  }
  Task& task = found->second;
  task.ended = true;
  task.end = end;
  task.answer = std::move(body);
  task.payload.clear();
  --this->open;
  if (end.outcome != TaskOutcome::kDone) {
    this->metrics->CountRefusal(RefusalCodeName(CodeOf(end)));
  }
  this->metrics->ObserveLatency("task", this->loop->Now() - task.accepted);
  for (const HttpResponder& responder : task.waiting) {
    responder.Send(this->AnswerOf(task));
  }
  task.waiting.clear();
  if (!task.durable) {
    this->tasks.erase(found);
    return;
  }
  if (this->hooks.record_end) {
    this->hooks.record_end(end, task.answer);
  }
  this->finished.emplace_back(this->loop->Now(), end.task);
}

HttpResponse TaskApi::AnswerOf(const Task& task) const {
  if (!task.ended) {
    return FormatTaskStatus(task.spec.id, TaskState::kQueued, Ran::kUnknown);
  }
  if (task.end.outcome == TaskOutcome::kDone) {
    return FormatTaskResponse(task.spec.id, task.answer);
  }
  Problem problem = MakeProblem(CodeOf(task.end), "");
  problem.ran = task.end.ran;
  if (problem.ran == Ran::kNo) {
    constexpr Duration kRetryAfter = std::chrono::seconds(1);
    problem.retry_after = kRetryAfter;
  }
  return FormatTaskProblem(task.spec.id, problem);
}

void TaskApi::Refuse(const HttpResponder& responder,
                     RefusalCode code,
                     const std::string& detail) {
  this->metrics->CountRefusal(RefusalCodeName(code));
  responder.Send(FormatProblem(MakeProblem(code, detail)));
}

void TaskApi::Refuse(const HttpResponder& responder, StartBlock block) {
  this->Refuse(responder, CodeOf(block), StartBlockName(block));
}

//-----------------------------------------------------------------------------
// [SECTION] Lookup
//-----------------------------------------------------------------------------

void TaskApi::HandleGet(const HttpServerRequest& request,
                        const HttpResponder& responder) {
  if (const Task* task = this->FindForCaller(request, responder)) {
    responder.Send(this->AnswerOf(*task));
  }
}

void TaskApi::HandleDelete(const HttpServerRequest& request,
                           const HttpResponder& responder) {
  Task* task = this->FindForCaller(request, responder);
  if (task == nullptr) {
    return;
  }
  if (task->ended) {
    return responder.Send(this->AnswerOf(*task));
  }
  task->waiting.push_back(responder);
  this->dispatch->Cancel(task->spec.id);
}

TaskApi::Task* TaskApi::FindForCaller(const HttpServerRequest& request,
                                      const HttpResponder& responder) {
  const auto id = ParseTaskPath(request.path);
  const auto key = ParseBearerKey(request.headers);
  if (!id || !key) {
    this->Refuse(responder,
                 id ? RefusalCode::kBadRequest : RefusalCode::kUnknownTask);
    return nullptr;
  }
  const auto found = this->tasks.find(id.value());
  if (found == this->tasks.end()) {
    const auto parts = ParseTaskId(id.value().value);
    if (parts && parts.value().session != this->settings->Session()) {
      this->ForwardToSession(request, parts.value().session, responder);
    } else {
      this->Refuse(responder, RefusalCode::kUnknownTask);
    }
    return nullptr;
  }
  const SettingsTree* tree = this->settings->Tree();
  const QueueSettings* queue =
      tree == nullptr ? nullptr
                      : tree->FindQueue(found->second.spec.queue.value);
  if (queue != nullptr && queue->open) {
    return &found->second;
  }
  const TeamKey* granted = key.value() && tree != nullptr
                               ? tree->FindKey(DigestKeyText(*key.value()))
                               : nullptr;
  if (granted == nullptr || granted->team != found->second.team) {
    // The answer must not reveal to other teams whether the task exists.
    this->Refuse(responder, RefusalCode::kUnknownTask);
    return nullptr;
  }
  return &found->second;
}

void TaskApi::ForwardToSession(const HttpServerRequest& request,
                               const SessionId& session,
                               const HttpResponder& responder) {
  // The session's journal may have been taken over by another daemon.
  const RegisteredDaemon* owner =
      FindSuccessor(session, this->settings->KnownRegistry());
  const bool forwarded =
      FindHeader(request.headers, kForwardedHeader).has_value();
  const auto address = owner == nullptr
                           ? Result<SocketAddress>(MakeError(
                                 ErrorCode::kNotFound, "find daemon", "", ""))
                           : SocketAddress::Parse(owner->http_address);
  if (forwarded || !address || owner->session == this->settings->Session()) {
    return this->Refuse(responder, RefusalCode::kUnknownTask);
  }
  HttpRequest forwarded_request;
  forwarded_request.method = request.method;
  forwarded_request.path = request.path;
  if (const auto key = FindHeader(request.headers, "Authorization")) {
    forwarded_request.headers.push_back({"Authorization", std::string(*key)});
  }
  forwarded_request.headers.push_back({kForwardedHeader, "1"});
  this->http->Send(
      {address.value().ip, address.value().port}, std::move(forwarded_request),
      [this, responder](HttpOutcome outcome) {
        if (!outcome.Answered()) {
          return this->Refuse(
              responder, RefusalCode::kOutcomeUnknown,
              "the daemon that accepted the task gave no answer");
        }
        HttpResponse answer{outcome.status, {}, std::move(outcome.body)};
        for (const char* name :
             {"Content-Type", "Peridot-Task", "Peridot-Ran"}) {
          if (const auto value = FindHeader(outcome.headers, name)) {
            answer.headers.push_back({name, std::string(*value)});
          }
        }
        responder.Send(answer);
      });
}

void TaskApi::Expire() {
  const Instant now = this->loop->Now();
  while (!this->finished.empty() &&
         (this->finished.front().first + this->config.answer_retention <= now ||
          this->finished.size() > this->config.max_answers)) {
    this->tasks.erase(this->finished.front().second);
    this->finished.pop_front();
  }
  this->loop->After(this->config.expire_period, [this] { this->Expire(); });
}

}  // namespace peridot
