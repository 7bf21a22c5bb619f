#include "src/daemon/dispatch_task.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include "src/coordination/endpoint_owner.h"
#include "src/transport/log.h"

namespace peridot {
namespace {

using std::chrono::microseconds;

std::uint64_t Microseconds(Duration duration) {
  return static_cast<std::uint64_t>(
      std::chrono::floor<microseconds>(duration).count());
}

// Limits the validity of a grant from a peer to that of a grant by this daemon,
// so that a peer's value cannot hold a slot for longer.
Duration BoundedGrantTime(std::uint64_t valid_us, Duration longest) {
  const auto limit = Microseconds(longest);
  return microseconds(std::min(valid_us, limit));
}

}  // namespace

DispatchTask::DispatchTask(EventLoop* loop,
                           EndpointClient* endpoints,
                           MembershipClient* membership,
                           PeerLink* peers,
                           const SettingsTask* settings,
                           PermitTask* permits,
                           Metrics* metrics,
                           DaemonId self,
                           ZoneId zone,
                           Hooks hooks,
                           DispatchConfig config)
    : loop(loop),
      endpoint_client(endpoints),
      membership(membership),
      peers(peers),
      settings(settings),
      permits(permits),
      metrics(metrics),
      self(std::move(self)),
      zone(std::move(zone)),
      hooks(std::move(hooks)),
      config(config) {
  this->peers->OnBody(
      proto::Envelope::kSlotDemand,
      [this](const SessionId& from, const proto::Envelope& envelope) {
        this->OnPeerDemand(from, envelope.slot_demand());
      });
  this->peers->OnBody(
      proto::Envelope::kSlotGrant,
      [this](const SessionId& from, const proto::Envelope& envelope) {
        this->OnPeerGrant(from, envelope.slot_grant());
      });
  this->peers->OnBody(
      proto::Envelope::kSlotReturn,
      [this](const SessionId&, const proto::Envelope& envelope) {
        this->ReturnOwnSlot(envelope.slot_return().token(),
                            static_cast<SlotUse>(envelope.slot_return().use()));
      });
}

void DispatchTask::Start() {
  const SessionId& session = this->settings->Session();
  this->dispatcher.emplace(
      this->settings, this->permits,
      session.daemon.value + "." + std::to_string(session.incarnation.value));
  this->PollMembership();
  this->OnTick();
}

//-----------------------------------------------------------------------------
// [SECTION] Tasks
//-----------------------------------------------------------------------------

StartBlock DispatchTask::CheckAdmission(const TaskSpec& spec) const {
  return this->dispatcher
             ? this->dispatcher->CheckAdmission(spec, this->loop->Now())
             : StartBlock::kSettingsStale;
}

StartBlock DispatchTask::Submit(const TaskSpec& spec) {
  if (!this->dispatcher) {
    return StartBlock::kSettingsStale;
  }
  const StartBlock block = this->dispatcher->OnSubmit(spec, this->loop->Now());
  if (block == StartBlock::kNone) {
    this->SchedulePump();
  }
  return block;
}

bool DispatchTask::Cancel(const TaskId& task) {
  if (!this->dispatcher ||
      !this->dispatcher->OnCancel(task, this->loop->Now())) {
    return false;
  }
  this->ExecuteActions();
  return true;
}

void DispatchTask::OnIntentRecorded(const TaskId& task, bool committed) {
  this->dispatcher->OnIntentRecorded(task, committed, this->loop->Now());
  this->ExecuteActions();
}

void DispatchTask::Resolve(const EndpointId& endpoint,
                           const AttemptId& attempt,
                           const BootId& boot,
                           EndpointClient::FenceCallback callback) {
  this->endpoint_client->Fence(endpoint, attempt, boot, std::move(callback));
}

void DispatchTask::Shutdown() {
  if (this->dispatcher) {
    this->dispatcher->OnShutdown();
  }
}

void DispatchTask::ReleaseLeases() {
  if (!this->dispatcher) {
    return;
  }
  for (const auto& [id, lease] : this->dispatcher->Leases()) {
    if (lease.Report()) {
      this->endpoint_client->Release(id, lease.Report()->lease);
    }
  }
}

std::int64_t DispatchTask::Waiting(const QueueId& queue) const {
  return this->dispatcher ? this->dispatcher->Waiting(queue) : 0;
}

std::vector<DispatchTask::HostStatus> DispatchTask::Hosts() const {
  std::vector<HostStatus> hosts;
  hosts.reserve(this->endpoints.size());
  for (const auto& [id, endpoint] : this->endpoints) {
    hosts.push_back({endpoint.host, this->endpoint_membership.IsLeaving(id),
                     endpoint.owned, endpoint.slots});
  }
  return hosts;
}

void DispatchTask::OnStopExcess(const TeamId& team, PermitCount count) {
  this->dispatcher->OnStopExcess(team, count.value);
  this->ExecuteActions();
}

//-----------------------------------------------------------------------------
// [SECTION] Endpoints
//-----------------------------------------------------------------------------

void DispatchTask::PollMembership() {
  this->membership->List([this](Result<std::vector<ListedEndpoint>> hosts) {
    if (hosts) {
      this->OnMembership(hosts.value());
    }
    this->loop->After(this->config.membership_poll,
                      [this] { this->PollMembership(); });
  });
}

void DispatchTask::OnMembership(const std::vector<ListedEndpoint>& hosts) {
  std::map<EndpointId, Endpoint> next;
  for (const ListedEndpoint& host : hosts) {
    const auto known = this->endpoints.find(host.endpoint);
    const bool is_known = known != this->endpoints.end();
    next.emplace(host.endpoint,
                 Endpoint{host, is_known && known->second.owned,
                          is_known ? known->second.slots : SlotCount()});
  }
  for (const auto& [id, endpoint] : this->endpoints) {
    if (!next.contains(id)) {
      this->DropSlots(id, endpoint.host.pool);
      this->dispatcher->OnEndpointGone(id);
    }
  }
  this->endpoints = std::move(next);
  this->endpoint_membership.OnList(hosts);
  this->AssignOwners();
}

void DispatchTask::AssignOwners() {
  std::vector<DaemonId> daemons;
  for (const RegisteredDaemon& entry :
       this->settings->KnownRegistry().daemons) {
    if (entry.zone == this->zone) {
      daemons.push_back(entry.session.daemon);
    }
  }
  for (auto& [id, endpoint] : this->endpoints) {
    const DaemonId* owner = EndpointOwner(id, daemons);
    const bool owned = endpoint.host.zone == this->zone && owner != nullptr &&
                       *owner == this->self;
    if (endpoint.owned && !owned) {
      this->DropSlots(id, endpoint.host.pool);
    }
    endpoint.owned = owned;
    this->UpdateUsable(id);
  }
}

void DispatchTask::DropSlots(const EndpointId& id, const PoolId& pool) {
  for (const TeamId& team : this->slots.OnEndpointGone(id)) {
    this->allocators[pool].OnReleased(team);
  }
  this->outliers.OnEndpointGone(id);
}

void DispatchTask::OnTick() {
  const Instant now = this->loop->Now();
  this->dispatcher->OnTick(now);
  this->slots.OnTick(now);
  this->outliers.OnTick(now);
  for (auto& [pool, allocator] : this->allocators) {
    allocator.OnTick(this->slots.UsableSlots(pool), now);
  }
  for (const auto& [id, endpoint] : this->endpoints) {
    if (endpoint.owned || this->dispatcher->UsesEndpoint(id)) {
      this->TickLease(id);
    }
    this->UpdateUsable(id);
  }
  this->ExecuteActions();
  this->Pump();
  this->loop->After(this->config.tick, [this] { this->OnTick(); });
}

void DispatchTask::TickLease(const EndpointId& id) {
  const Instant now = this->loop->Now();
  EndpointLease& lease = this->dispatcher->LeaseOf(id);
  this->authority_end =
      std::max(this->authority_end, this->settings->ProofExpiry());
  const LeaseTick tick = lease.OnTick(now);
  if (tick.replace_connection) {
    LogEvent(LogLevel::kWarning, "connection_replaced",
             {{"peer", id.value}, {"reason", "silent"}});
    this->endpoint_client->ReplaceConnections(id);
  }
  const auto on_answer = [this, id, now](LeaseResult answer,
                                         const EndpointReport& report) {
    this->OnLeaseAnswer(id, answer, report, now);
  };
  if (tick.request == LeaseStep::kAcquire) {
    this->endpoint_client->Acquire(id, this->settings->Session(),
                                   EndpointLeaseConfig{}.lease, on_answer);
  }
  if (tick.request == LeaseStep::kHeartbeat) {
    this->endpoint_client->Heartbeat(
        id, lease.Report()->lease, lease.RenewUntilUs(now, this->authority_end),
        on_answer);
  }
}

void DispatchTask::OnLeaseAnswer(const EndpointId& id,
                                 LeaseResult answer,
                                 const EndpointReport& report,
                                 Instant sent) {
  const Instant now = this->loop->Now();
  EndpointLease& lease = this->dispatcher->LeaseOf(id);
  if (answer == LeaseResult::kFailed) {
    lease.OnFailed(now);
    return;
  }
  if (answer == LeaseResult::kRefused) {
    lease.OnRefused(now);
    return;
  }
  lease.OnReport(report, sent, now);
  this->endpoint_membership.OnHeartbeat(id, report.boot, report.leaving, now);
  const auto endpoint = this->endpoints.find(id);
  if (endpoint != this->endpoints.end()) {
    endpoint->second.slots = report.slots;
  }
  if (endpoint != this->endpoints.end() && endpoint->second.owned) {
    const PoolId& pool = endpoint->second.host.pool;
    this->outliers.OnEndpoint(id, pool);
    const bool probing = this->outliers.Health(id) == EndpointHealth::kProbing;
    this->slots.OnEndpoint(id, pool, endpoint->second.host.zone,
                           probing ? SlotCount(1) : report.slots);
    for (const TeamId& team : this->slots.OnUsage(id, report.running, sent)) {
      this->allocators[pool].OnReleased(team);
    }
  }
  this->UpdateUsable(id);
  this->dispatcher->OnTick(now);
  this->ExecuteActions();
  this->SchedulePump();
}

// Slots of an endpoint are granted only while a start on it could succeed.
void DispatchTask::UpdateUsable(const EndpointId& id) {
  const auto endpoint = this->endpoints.find(id);
  if (endpoint == this->endpoints.end()) {
    return;
  }
  if (!endpoint->second.owned && !this->dispatcher->UsesEndpoint(id)) {
    return;
  }
  EndpointLease& lease = this->dispatcher->LeaseOf(id);
  lease.SetListedLeaving(this->endpoint_membership.IsLeaving(id));
  if (!endpoint->second.owned) {
    return;
  }
  const bool ready =
      lease.CheckStart(this->loop->Now(), false) == LeaseRefusal::kNone;
  this->slots.SetUsable(
      id, ready && this->outliers.Health(id) != EndpointHealth::kEjected &&
              this->settings->IsZoneIn(endpoint->second.host.zone.value));
}

//-----------------------------------------------------------------------------
// [SECTION] Slots
//-----------------------------------------------------------------------------

void DispatchTask::OnSettings() {
  if (!this->dispatcher) {
    return;
  }
  for (const auto& [id, endpoint] : this->endpoints) {
    this->UpdateUsable(id);
  }
  this->SchedulePump();
}

void DispatchTask::OnRegistry() {
  if (!this->dispatcher) {
    return;
  }
  this->AssignOwners();
}

void DispatchTask::OnPermits(const TeamId& /*team*/) {
  this->SchedulePump();
}

// Inputs of one iteration of the event loop share one pass.
void DispatchTask::SchedulePump() {
  if (this->pump_scheduled) {
    return;
  }
  this->pump_scheduled = true;
  this->loop->Post([this] {
    this->pump_scheduled = false;
    this->Pump();
  });
}

void DispatchTask::Pump() {
  this->RegisterOwnDemand();
  for (auto& [pool, allocator] : this->allocators) {
    this->GrantSlots(pool, &allocator);
  }
  this->SendDemand();
}

// Limits the demand of each team to the tasks that its free permits on this
// daemon allow to start.
void DispatchTask::RegisterOwnDemand() {
  const Instant now = this->loop->Now();
  std::map<TeamId, std::int64_t> waiting_of_team;
  std::map<QueueId, std::int64_t> next;
  for (auto& [queue, count] : this->demand) {
    next[queue] = 0;
  }
  const bool may_start = now < this->settings->ProofExpiry();
  std::map<TeamId, std::int64_t> permits_left;
  for (const QueueId& queue : this->dispatcher->QueuesWithDemand()) {
    const QueueSettings* rules = this->settings->FindQueue(queue.value);
    if (rules == nullptr) {
      continue;
    }
    const std::int64_t waiting = this->dispatcher->Waiting(queue);
    waiting_of_team[rules->team] += waiting;
    const auto [left, added] =
        permits_left.try_emplace(rules->team, this->permits->Free(rules->team));
    next[queue] = may_start ? std::min(waiting, left->second) : 0;
    left->second -= next[queue];
    this->dispatcher->OnQueueBlocked(queue,
                                     !may_start ? StartBlock::kSettingsStale
                                     : next[queue] == 0 ? StartBlock::kTeamLimit
                                                        : StartBlock::kNone);
  }
  for (const auto& [queue, count] : next) {
    const QueueSettings* rules = this->settings->FindQueue(queue.value);
    if (rules == nullptr) {
      continue;
    }
    waiting_of_team.try_emplace(rules->team, 0);
    const TeamSettings* team =
        this->settings->Tree()->FindTeam(rules->team.value);
    this->allocators[rules->pool].OnDemand(
        {.daemon = this->settings->Session(),
         .queue = queue,
         .team = rules->team,
         .priority = rules->priority,
         .share = team == nullptr ? Share(1) : team->share,
         .waiting = count,
         .longest_wait = this->dispatcher->LongestWait(queue, now)},
        now);
  }
  for (const auto& [team, waiting] : waiting_of_team) {
    this->permits->OnWaiting(team, waiting);
  }
  this->demand = std::move(next);
}

void DispatchTask::GrantSlots(const PoolId& pool, SlotAllocator* allocator) {
  const Instant now = this->loop->Now();
  while (this->slots.HasFree(pool)) {
    const auto pick = allocator->Pick(now);
    if (!pick) {
      return;
    }
    const auto slot = this->slots.Take(pool, pick->team, now);
    if (pick->daemon.daemon == this->self) {
      this->dispatcher->OnGrant({.owner = this->settings->Session(),
                                 .token = slot->token,
                                 .endpoint = slot->endpoint,
                                 .zone = slot->zone,
                                 .queue = pick->queue,
                                 .team = pick->team,
                                 .expires = now + this->config.grant_validity},
                                now);
      this->ExecuteActions();
      continue;
    }
    proto::Envelope envelope;
    proto::SlotGrant* grant = envelope.mutable_slot_grant();
    grant->set_token(slot->token);
    grant->set_endpoint(slot->endpoint.value);
    grant->set_zone(slot->zone.value);
    grant->set_queue(pick->queue.value);
    grant->set_valid_us(Microseconds(this->config.grant_validity));
    this->peers->Send(pick->daemon.daemon, std::move(envelope));
  }
}

// Sends every other daemon the demand that the slots of own endpoints did not
// satisfy.
void DispatchTask::SendDemand() {
  const Instant now = this->loop->Now();
  for (auto& [queue, count] : this->demand) {
    SentDemand& sent = this->sent_demand[queue];
    const std::int64_t waiting =
        std::min(count, this->dispatcher->Waiting(queue));
    const bool changed = waiting != sent.waiting;
    const bool repeat =
        waiting > 0 && now - sent.sent >= this->config.demand_resend_interval;
    if ((!changed && !repeat) ||
        (waiting > 0 && now - sent.sent < this->config.min_demand_interval)) {
      continue;
    }
    sent = {waiting, now};
    for (const RegisteredDaemon& peer :
         this->settings->KnownRegistry().daemons) {
      if (peer.session.daemon == this->self) {
        continue;
      }
      proto::Envelope envelope;
      proto::SlotDemand* message = envelope.mutable_slot_demand();
      message->set_queue(queue.value);
      message->set_waiting(static_cast<std::uint64_t>(waiting));
      message->set_longest_wait_us(
          Microseconds(this->dispatcher->LongestWait(queue, now)));
      this->peers->Send(peer.session.daemon, std::move(envelope));
    }
  }
}

void DispatchTask::OnPeerDemand(const SessionId& from,
                                const proto::SlotDemand& message) {
  const QueueSettings* rules = this->settings->FindQueue(message.queue());
  if (rules == nullptr || !this->dispatcher) {
    return;
  }
  constexpr std::uint64_t kMaxWaiting = 1'000'000;
  constexpr std::uint64_t kMaxWaitUs = 86'400'000'000;
  const TeamSettings* team =
      this->settings->Tree()->FindTeam(rules->team.value);
  this->allocators[rules->pool].OnDemand(
      {.daemon = from,
       .queue = rules->id,
       .team = rules->team,
       .priority = rules->priority,
       .share = team == nullptr ? Share(1) : team->share,
       .waiting =
           static_cast<std::int64_t>(std::min(message.waiting(), kMaxWaiting)),
       .longest_wait = microseconds(static_cast<std::int64_t>(
           std::min(message.longest_wait_us(), kMaxWaitUs)))},
      this->loop->Now());
  this->SchedulePump();
}

void DispatchTask::OnPeerGrant(const SessionId& from,
                               const proto::SlotGrant& message) {
  const QueueSettings* rules = this->settings->FindQueue(message.queue());
  if (rules == nullptr || !this->dispatcher) {
    return;
  }
  const Instant now = this->loop->Now();
  const EndpointId id(message.endpoint());
  this->dispatcher->LeaseOf(id).SetListedLeaving(
      this->endpoint_membership.IsLeaving(id));
  this->dispatcher->OnGrant(
      {.owner = from,
       .token = message.token(),
       .endpoint = id,
       .zone = ZoneId(message.zone()),
       .queue = rules->id,
       .team = rules->team,
       .expires = now + BoundedGrantTime(message.valid_us(),
                                         this->config.grant_validity)},
      now);
  if (this->dispatcher->UsesEndpoint(id)) {
    this->UpdateUsable(id);
    this->TickLease(id);
  }
  this->ExecuteActions();
}

void DispatchTask::ReturnOwnSlot(SlotToken token, SlotUse use) {
  const Instant now = this->loop->Now();
  const auto returned =
      this->slots.Return(token, use == SlotUse::kRefused, now);
  if (returned) {
    const bool outcome = use == SlotUse::kSucceeded || use == SlotUse::kFailed;
    if (outcome && this->outliers.OnOutcome(returned->endpoint,
                                            use == SlotUse::kSucceeded, now)) {
      LogEvent(LogLevel::kWarning, "endpoint_health_changed",
               {{"peer", returned->endpoint.value},
                {"healthy", this->outliers.Health(returned->endpoint) ==
                                    EndpointHealth::kHealthy
                                ? "true"
                                : "false"}});
      this->UpdateUsable(returned->endpoint);
    }
    this->allocators[returned->pool].OnReleased(returned->team);
    this->SchedulePump();
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Actions
//-----------------------------------------------------------------------------

void DispatchTask::ExecuteActions() {
  if (this->executing_actions) {
    return;
  }
  this->executing_actions = true;
  for (auto actions = this->dispatcher->TakeActions(); !actions.empty();
       actions = this->dispatcher->TakeActions()) {
    for (const DispatchAction& action : actions) {
      std::visit([this](const auto& item) { this->Execute(item); }, action);
    }
  }
  this->executing_actions = false;
}

void DispatchTask::Execute(const StartAttempt& action) {
  const std::string* payload = this->hooks.payload(action.task);
  const Instant now = this->loop->Now();
  if (payload == nullptr) {
    this->dispatcher->OnReply(action.task, action.attempt,
                              AttemptReply::kNotSent, now);
    return;
  }
  // Heartbeats detect an unresponsive connection long before this timeout.
  constexpr Duration kLongestRun = std::chrono::hours(24);
  this->endpoint_client->Start(
      action, *payload, kLongestRun,
      [this, task = action.task, attempt = action.attempt](AttemptReply reply,
                                                           std::string body) {
        if (reply == AttemptReply::kDone) {
          this->answers[task] = std::move(body);
        } else {
          this->metrics->CountRetry(
              reply == AttemptReply::kNeverStarted ? "never_started"
              : reply == AttemptReply::kFailed     ? "failed"
              : reply == AttemptReply::kStopped    ? "stopped"
              : reply == AttemptReply::kNotSent    ? "not_sent"
                                                   : "no_answer");
        }
        this->dispatcher->OnReply(task, attempt, reply, this->loop->Now());
        this->ExecuteActions();
        this->answers.erase(task);
        this->SchedulePump();
      });
}

void DispatchTask::Execute(const RecordIntent& action) {
  this->hooks.record_intent(action);
}

void DispatchTask::Execute(const RecordAttemptEnd& action) {
  this->hooks.record_attempt_end(action);
}

void DispatchTask::Execute(const FenceAttempt& action) {
  this->loop->After(action.delay, [this, action] {
    this->endpoint_client->Fence(
        action.endpoint, action.attempt, action.boot,
        [this, action](FenceReply reply, std::string body) {
          if (reply == FenceReply::kDone) {
            this->answers[action.task] = std::move(body);
          }
          this->dispatcher->OnFence(action.task, action.attempt, reply,
                                    this->loop->Now());
          this->ExecuteActions();
          this->answers.erase(action.task);
          this->SchedulePump();
        });
  });
}

void DispatchTask::Execute(const StopAttempt& action) {
  this->endpoint_client->Stop(action.endpoint, action.attempt);
}

void DispatchTask::Execute(const FinishTask& action) {
  std::string body;
  const auto found = this->answers.find(action.task);
  if (found != this->answers.end()) {
    body = std::move(found->second);
    this->answers.erase(found);
  }
  this->hooks.on_finished(action, std::move(body));
}

void DispatchTask::Execute(const ReturnSlot& action) {
  if (action.owner == this->settings->Session()) {
    this->ReturnOwnSlot(action.token, action.use);
    return;
  }
  proto::Envelope envelope;
  envelope.mutable_slot_return()->set_token(action.token);
  envelope.mutable_slot_return()->set_use(
      static_cast<proto::SlotReturn::Use>(action.use));
  this->peers->Send(action.owner.daemon, std::move(envelope));
}

}  // namespace peridot
