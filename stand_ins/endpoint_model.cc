#include "stand_ins/endpoint_model.h"

#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <utility>

namespace peridot::stand_ins {

using internal::KnownAttempt;

namespace {

std::int64_t Micros(Duration d) {
  return std::chrono::duration_cast<std::chrono::microseconds>(d).count();
}

void SetBody(AttemptResponse& answer, std::string body) {
  answer.digest = Sha256Hex(body);
  answer.length = body.size();
  answer.body = std::move(body);
}

// Returns the response of an attempt that does not exist. It serves as the
// wrong response while no other attempt has ended.
AttemptResponse UnrelatedAttemptResponse() {
  AttemptResponse answer;
  answer.attempt = AttemptId("another-attempt");
  answer.state = AttemptState::kDone;
  SetBody(answer, "ok another payload");
  return answer;
}

}  // namespace

const char* AttemptStateName(AttemptState state) {
  switch (state) {
    case AttemptState::kNeverStarted:
      return "never_started";
    case AttemptState::kRunning:
      return "running";
    case AttemptState::kDone:
      return "done";
    case AttemptState::kFailed:
      return "failed";
    case AttemptState::kStopped:
      return "stopped";
    case AttemptState::kUnknown:
      return "unknown";
  }
  return "unknown";
}

const char* StartRefusalName(StartRefusal refusal) {
  switch (refusal) {
    case StartRefusal::kNone:
      return "none";
    case StartRefusal::kLease:
      return "lease";
    case StartRefusal::kNotAfter:
      return "not_after";
    case StartRefusal::kBoot:
      return "boot";
    case StartRefusal::kSlots:
      return "slots";
    case StartRefusal::kLeaving:
      return "leaving";
    case StartRefusal::kFenced:
      return "fenced";
  }
  return "none";
}

std::string Sha256Hex(std::string_view bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size, EVP_sha256(),
             nullptr);
  constexpr char kHex[] = "0123456789abcdef";
  std::string hex;
  hex.reserve(static_cast<std::size_t>(size) * 2);
  for (unsigned int i = 0; i < size; ++i) {
    hex.push_back(kHex[digest[i] >> 4]);
    hex.push_back(kHex[digest[i] & 0xf]);
  }
  return hex;
}

//-----------------------------------------------------------------------------
// [SECTION] Clock
//-----------------------------------------------------------------------------

EndpointModel::EndpointModel(EndpointOptions options)
    : options(std::move(options)) {
  this->boot =
      BootId(this->options.boot_prefix + std::to_string(++this->boot_count));
}

std::int64_t EndpointModel::ClockMicros(Instant now) const {
  const Duration elapsed = now.time_since_epoch();
  return Micros(this->options.clock_offset + elapsed +
                elapsed / 100 * this->options.drift_percent);
}

Duration EndpointModel::ToCallerDuration(Duration own) const {
  return own / (100 + this->options.drift_percent) * 100;
}

std::optional<Instant> EndpointModel::NextEvent() const {
  std::optional<Instant> next;
  if (!this->leases.empty())
    next = this->NextLeaseExpiry();
  if (!this->due.empty())
    next = std::min(next.value_or(Instant::max()), this->due.begin()->first);
  if (!this->ended.empty())
    next = Instant{};
  if (next)
    next = std::max(*next, this->paused_until);
  return next;
}

std::vector<AttemptResponse> EndpointModel::Advance(Instant now) {
  this->ProcessDue(now);
  if (now < this->paused_until)
    return {};
  std::vector<AttemptResponse> answers = std::exchange(this->ended, {});
  for (AttemptResponse& answer : answers) {
    AttemptResponse original = answer;
    this->ApplyResponseFaults(answer);
    if (original.state == AttemptState::kDone)
      this->last_done = std::move(original);
  }
  return answers;
}

// Ends tasks and leases in the order of their instants. A task that is due at
// the instant at which its lease expires ends first.
void EndpointModel::ProcessDue(Instant now) {
  if (now < this->paused_until)
    return;
  for (;;) {
    const Instant lapse = this->NextLeaseExpiry();
    const Instant task =
        this->due.empty() ? Instant::max() : this->due.begin()->first;
    if (std::min(lapse, task) > now)
      return;
    if (task <= lapse) {
      const AttemptId attempt = this->due.begin()->second;
      this->EndTask(attempt, AttemptState::kDone,
                    std::max(task, this->paused_until));
      continue;
    }
    const auto lapsed = std::find_if(
        this->leases.begin(), this->leases.end(),
        [&](const auto& entry) { return entry.second.expires_at == lapse; });
    const LeaseId lease = lapsed->first;
    this->EndLease(lease, std::max(lapse, this->paused_until));
  }
}

Instant EndpointModel::NextLeaseExpiry() const {
  Instant next = Instant::max();
  for (const auto& [lease, held] : this->leases) {
    next = std::min(next, held.expires_at);
  }
  return next;
}

//-----------------------------------------------------------------------------
// [SECTION] Leases
//-----------------------------------------------------------------------------

LeaseResponse EndpointModel::Lease(const LeaseRequest& request, Instant now) {
  this->ProcessDue(now);
  Incarnation& newest = this->latest[request.holder];
  if (request.incarnation < newest)
    return LeaseRefusal{request.holder, newest};
  if (request.incarnation > newest) {
    std::vector<LeaseId> replaced;
    for (const auto& [lease, held] : this->leases) {
      if (held.holder == request.holder)
        replaced.push_back(lease);
    }
    for (const LeaseId& lease : replaced) {
      this->EndLease(lease, now);
    }
    newest = request.incarnation;
  }
  const LeaseId lease(this->boot.value + "-lease" +
                      std::to_string(++this->lease_count));
  this->leases[lease] = {request.holder, request.incarnation,
                         now + this->ToCallerDuration(request.duration)};
  return LeaseGrant{lease,
                    this->boot,
                    this->ClockMicros(now),
                    this->options.slots,
                    this->used,
                    this->faults.leaving};
}

bool EndpointModel::Release(const LeaseId& lease, Instant now) {
  this->ProcessDue(now);
  if (!this->leases.contains(lease))
    return false;
  this->EndLease(lease, now);
  return true;
}

std::optional<HeartbeatResponse> EndpointModel::Heartbeat(const LeaseId& lease,
                                                          std::int64_t until_us,
                                                          Instant now) {
  this->ProcessDue(now);
  const auto held = this->leases.find(lease);
  if (held == this->leases.end())
    return std::nullopt;
  const Duration rest =
      std::chrono::microseconds(until_us - this->ClockMicros(now));
  held->second.expires_at =
      std::max(held->second.expires_at, now + this->ToCallerDuration(rest));
  HeartbeatResponse answer;
  answer.boot = this->boot;
  answer.clock_us = this->ClockMicros(now);
  answer.leaving = this->faults.leaving;
  answer.slots = this->options.slots;
  answer.used = this->used;
  for (const auto& [at, attempt] : this->due) {
    if (this->tasks.at(attempt).lease == lease)
      answer.running.push_back(attempt);
  }
  std::sort(answer.running.begin(), answer.running.end());
  return answer;
}

// Removes the lease and stops every task that runs under it.
void EndpointModel::EndLease(const LeaseId& lease, Instant at) {
  std::vector<AttemptId> running;
  for (const auto& [due_at, attempt] : this->due) {
    if (this->tasks.at(attempt).lease == lease)
      running.push_back(attempt);
  }
  for (const AttemptId& attempt : running) {
    this->EndTask(attempt, AttemptState::kStopped, at);
  }
  this->leases.erase(lease);
}

//-----------------------------------------------------------------------------
// [SECTION] Attempts
//-----------------------------------------------------------------------------

AttemptResponse EndpointModel::Start(const AttemptRequest& request,
                                     Instant now) {
  this->ProcessDue(now);
  AttemptResponse answer;
  const auto known = this->tasks.find(request.attempt);
  if (known != this->tasks.end()) {
    answer = known->second.answer;
  } else {
    const StartRefusal refusal = this->CheckStart(request, now);
    answer = refusal == StartRefusal::kNone
                 ? this->BeginAttempt(request, now)
                 : this->RecordRefusal(request.attempt, refusal);
  }
  if (answer.state != AttemptState::kRunning)
    this->ApplyResponseFaults(answer);
  return answer;
}

StartRefusal EndpointModel::CheckStart(const AttemptRequest& request,
                                       Instant now) const {
  if (request.boot != this->boot)
    return StartRefusal::kBoot;
  if (!this->leases.contains(request.lease))
    return StartRefusal::kLease;
  if (this->ClockMicros(now) > request.not_after_us)
    return StartRefusal::kNotAfter;
  if (this->faults.leaving)
    return StartRefusal::kLeaving;
  if (this->used + request.slots > this->options.slots)
    return StartRefusal::kSlots;
  return StartRefusal::kNone;
}

AttemptResponse EndpointModel::BeginAttempt(const AttemptRequest& request,
                                            Instant now) {
  KnownAttempt task;
  task.answer.in_reply_to = request.attempt;
  task.answer.attempt = request.attempt;
  task.answer.state = AttemptState::kRunning;
  task.lease = request.lease;
  task.slots = request.slots;
  task.payload = request.payload;
  task.due = now + request.run;
  task.run_index = this->runs.size();
  this->runs.push_back({request.attempt, request.task, request.team, now});
  this->used += request.slots;
  this->due.emplace(task.due, request.attempt);
  AttemptResponse answer = task.answer;
  this->tasks.emplace(request.attempt, std::move(task));
  if (this->faults.fail_all)
    this->EndTask(request.attempt, AttemptState::kFailed, now);
  return answer;
}

AttemptResponse EndpointModel::RecordRefusal(const AttemptId& attempt,
                                             StartRefusal reason) {
  KnownAttempt task;
  task.answer.in_reply_to = attempt;
  task.answer.attempt = attempt;
  task.answer.state = AttemptState::kNeverStarted;
  task.answer.reason = reason;
  return this->tasks.emplace(attempt, std::move(task)).first->second.answer;
}

void EndpointModel::EndTask(const AttemptId& attempt,
                            AttemptState state,
                            Instant at) {
  KnownAttempt& task = this->tasks.at(attempt);
  this->due.erase({task.due, attempt});
  this->used -= task.slots;
  this->runs[task.run_index].ended = at;
  this->runs[task.run_index].outcome = state;
  task.answer.state = state;
  if (state == AttemptState::kDone)
    SetBody(task.answer, "ok " + task.payload);
  task.payload.clear();

  this->ended.push_back(task.answer);
}

void EndpointModel::ApplyResponseFaults(AttemptResponse& answer) {
  if (this->faults.lose_answers > 0) {
    --this->faults.lose_answers;
    answer.lost = true;
    return;
  }
  if (answer.state != AttemptState::kDone)
    return;
  if (this->faults.wrong_answers > 0) {
    --this->faults.wrong_answers;
    const AttemptId requested_attempt = answer.in_reply_to;
    const bool other_attempt_done =
        this->last_done && this->last_done->attempt != requested_attempt;
    answer = other_attempt_done ? *this->last_done : UnrelatedAttemptResponse();
    answer.in_reply_to = requested_attempt;
    return;
  }
  if (this->faults.truncate > 0) {
    --this->faults.truncate;
    answer.body.resize(answer.body.size() / 2);
  }
}

AttemptResponse EndpointModel::Fence(const AttemptId& attempt,
                                     const BootId& sent_boot,
                                     Instant now) {
  this->ProcessDue(now);
  if (!sent_boot.value.empty() && sent_boot != this->boot) {
    AttemptResponse unknown;
    unknown.in_reply_to = attempt;
    unknown.attempt = attempt;
    return unknown;
  }
  const auto known = this->tasks.find(attempt);
  if (known != this->tasks.end())
    return known->second.answer;
  return this->RecordRefusal(attempt, StartRefusal::kFenced);
}

AttemptResponse EndpointModel::Cancel(const AttemptId& attempt,
                                      const BootId& sent_boot,
                                      Instant now) {
  AttemptResponse answer = this->Fence(attempt, sent_boot, now);
  if (answer.state != AttemptState::kRunning)
    return answer;
  this->EndTask(attempt, AttemptState::kStopped, now);
  return this->tasks.at(attempt).answer;
}

std::optional<AttemptResponse> EndpointModel::FindAttempt(
    const AttemptId& attempt,
    Instant now) {
  this->ProcessDue(now);
  const auto known = this->tasks.find(attempt);
  if (known == this->tasks.end())
    return std::nullopt;
  return known->second.answer;
}

//-----------------------------------------------------------------------------
// [SECTION] Connections, pause and restart
//-----------------------------------------------------------------------------

std::optional<std::uint64_t> EndpointModel::Connect() {
  const auto open = static_cast<std::int64_t>(this->open_connections.size());
  if (open >= this->options.connections)
    return std::nullopt;
  this->open_connections.insert(++this->connection_count);
  return this->connection_count;
}

void EndpointModel::Disconnect(std::uint64_t connection) {
  this->open_connections.erase(connection);
}

bool EndpointModel::IsSilent(std::uint64_t connection) const {
  return connection <= this->silent_up_to;
}

void EndpointModel::SilenceOpenConnections() {
  this->silent_up_to = this->connection_count;
}

// A task makes no progress during the pause, so its end is postponed by the
// length. The lease still expires on time, because the clock continues.
void EndpointModel::Pause(Duration length, Instant now) {
  this->ProcessDue(now);
  this->paused_until = std::max(this->paused_until, now) + length;
  std::set<std::pair<Instant, AttemptId>> moved;
  for (const auto& [at, attempt] : this->due) {
    this->tasks.at(attempt).due = at + length;
    moved.emplace(at + length, attempt);
  }
  this->due = std::move(moved);
}

void EndpointModel::Restart(Instant now) {
  this->ProcessDue(now);
  while (!this->leases.empty()) {
    const LeaseId lease = this->leases.begin()->first;
    this->EndLease(lease, now);
  }
  this->boot =
      BootId(this->options.boot_prefix + std::to_string(++this->boot_count));
  this->latest.clear();
  this->tasks.clear();
  this->ended.clear();
  this->last_done.reset();
  this->open_connections.clear();
  this->paused_until = Instant{};
}

}  // namespace peridot::stand_ins
