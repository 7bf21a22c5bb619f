#include "src/daemon/endpoint_client.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "src/protocol/endpoint_http.h"
#include "src/protocol/socket_address.h"

namespace peridot {
namespace {

// The response to a heartbeat takes one round trip; the caller replaces a
// connection that does not respond for longer.
constexpr Duration kControlTimeout = std::chrono::seconds(1);
constexpr Duration kMaxLiveAnswerAge = std::chrono::seconds(1);
// Every endpoint responds to this path without side effects, which shows that a
// connection works.
constexpr char kProbePath[] = "/v1/attempts/probe";

std::optional<HttpPeer> PeerOf(const EndpointId& endpoint) {
  const auto address = SocketAddress::Parse(endpoint.value);
  if (!address) {
    return std::nullopt;
  }
  return HttpPeer{address.value().ip, address.value().port};
}

HttpRequest MakeRequest(HttpCall call, Duration timeout) {
  HttpRequest request;
  request.method = call.method;
  request.path = std::move(call.path);
  request.headers = std::move(call.headers);
  request.body = std::move(call.body);
  request.timeout = timeout;
  return request;
}

EndpointReport ReportOf(const LeaseGrant& grant) {
  return {.lease = grant.lease,
          .boot = grant.boot,
          .clock_us = grant.clock_us,
          .slots = grant.slots,
          .running = grant.used,
          .leaving = grant.leaving};
}

EndpointReport ReportOf(const LeaseId& lease, const HeartbeatResponse& beat) {
  return {.lease = lease,
          .boot = beat.boot,
          .clock_us = beat.clock_us,
          .slots = beat.slots,
          .running = beat.used,
          .leaving = beat.leaving};
}

AttemptReply ReplyOf(const AttemptResponse& answer) {
  if (answer.fault != ResponseFault::kNone) {
    return AttemptReply::kNoAnswer;
  }
  switch (answer.state) {
    case AttemptState::kNeverStarted:
      return AttemptReply::kNeverStarted;
    case AttemptState::kDone:
      return answer.has_result ? AttemptReply::kDone : AttemptReply::kNoAnswer;
    case AttemptState::kFailed:
      return AttemptReply::kFailed;
    case AttemptState::kStopped:
      return AttemptReply::kStopped;
    case AttemptState::kRunning:
    case AttemptState::kUnknown:
      return AttemptReply::kNoAnswer;
  }
  return AttemptReply::kNoAnswer;
}

FenceReply FenceReplyOf(const AttemptResponse& answer) {
  if (answer.fault != ResponseFault::kNone) {
    return FenceReply::kNoAnswer;
  }
  switch (answer.state) {
    case AttemptState::kNeverStarted:
      return FenceReply::kNeverStarted;
    case AttemptState::kRunning:
      return FenceReply::kRunning;
    case AttemptState::kDone:
      return FenceReply::kDone;
    case AttemptState::kFailed:
      return FenceReply::kFailed;
    case AttemptState::kStopped:
      return FenceReply::kStopped;
    case AttemptState::kUnknown:
      return FenceReply::kUnknown;
  }
  return FenceReply::kNoAnswer;
}

}  // namespace

EndpointClient::EndpointClient(HttpClient* http) : http(http) {}

//-----------------------------------------------------------------------------
// [SECTION] Leases
//-----------------------------------------------------------------------------

void EndpointClient::Acquire(const EndpointId& endpoint,
                             const SessionId& holder,
                             Duration lease,
                             LeaseCallback callback) {
  const auto peer = PeerOf(endpoint);
  if (!peer) {
    return callback(LeaseResult::kFailed, {});
  }
  this->http->Send(
      *peer,
      MakeRequest(EncodeLease({holder.daemon, holder.incarnation, lease}),
                  kControlTimeout),
      [callback = std::move(callback)](const HttpOutcome& outcome) {
        if (!outcome.Answered()) {
          return callback(LeaseResult::kFailed, {});
        }
        const auto answer = ParseLeaseResponse(outcome.status, outcome.body);
        if (!answer) {
          return callback(LeaseResult::kFailed, {});
        }
        if (const auto* grant = std::get_if<LeaseGrant>(&answer.value())) {
          return callback(LeaseResult::kReport, ReportOf(*grant));
        }
        callback(LeaseResult::kRefused, {});
      });
}

void EndpointClient::Heartbeat(const EndpointId& endpoint,
                               const LeaseId& lease,
                               std::int64_t until_us,
                               LeaseCallback callback) {
  const auto peer = PeerOf(endpoint);
  if (!peer) {
    return callback(LeaseResult::kFailed, {});
  }
  this->http->Send(
      *peer, MakeRequest(EncodeHeartbeat({lease, until_us}), kControlTimeout),
      [this, endpoint, lease, number = this->next_number++,
       callback = std::move(callback)](const HttpOutcome& outcome) {
        if (!outcome.Answered()) {
          return callback(LeaseResult::kFailed, {});
        }
        const auto beat = ParseHeartbeatResponse(outcome.status, outcome.body);
        if (!beat) {
          return callback(LeaseResult::kRefused, {});
        }
        this->CancelUnlistedAttempts(endpoint, number, beat.value().running);
        callback(LeaseResult::kReport, ReportOf(lease, beat.value()));
      });
}

void EndpointClient::Release(const EndpointId& endpoint, const LeaseId& lease) {
  if (const auto peer = PeerOf(endpoint)) {
    this->http->Send(*peer,
                     MakeRequest(EncodeLeaseRelease(lease), kControlTimeout),
                     [](const HttpOutcome&) {});
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Attempts
//-----------------------------------------------------------------------------

void EndpointClient::Start(const StartAttempt& attempt,
                           const std::string& payload,
                           Duration timeout,
                           ReplyCallback callback) {
  const auto peer = PeerOf(attempt.endpoint);
  if (!peer) {
    return callback(AttemptReply::kNotSent, "");
  }
  HttpRequest request =
      MakeRequest(EncodeAttempt({.attempt = attempt.attempt,
                                 .lease = attempt.lease,
                                 .boot = attempt.boot,
                                 .not_after_us = attempt.not_after_us,
                                 .run = attempt.run_time,
                                 .idempotent = attempt.idempotent,
                                 .task = attempt.task,
                                 .team = attempt.team,
                                 .body = payload}),
                  timeout);
  if (!attempt.idempotent) {
    request.live_connection =
        LiveConnectionRequirement{kMaxLiveAnswerAge, kProbePath};
  }
  OpenAttempt& sent = this->open[attempt.attempt];
  sent.endpoint = attempt.endpoint;
  sent.number = this->next_number++;
  sent.request = this->http->Send(
      *peer, std::move(request),
      [this, id = attempt.attempt,
       callback = std::move(callback)](HttpOutcome outcome) {
        this->open.erase(id);
        if (!outcome.Answered()) {
          const bool sent = outcome.delivery == Delivery::kMaybeDelivered;
          return callback(
              sent ? AttemptReply::kNoAnswer : AttemptReply::kNotSent, "");
        }
        AttemptResponse answer = CheckAttemptResponse(
            id, outcome.status, outcome.headers, std::move(outcome.body));
        if (answer.fault != ResponseFault::kNone) {
          this->http->CloseConnection(outcome.connection);
        }
        callback(ReplyOf(answer), std::move(answer.body));
      });
}

// A heartbeat may overtake an attempt or its response on another connection, so
// an attempt is cancelled only if two heartbeats in a row do not list it. They
// are sent half a second apart.
void EndpointClient::CancelUnlistedAttempts(
    const EndpointId& endpoint,
    std::uint64_t heartbeat_number,
    const std::vector<AttemptId>& running) {
  std::vector<HttpClient::RequestId> unlisted_requests;
  for (auto& [attempt, sent] : this->open) {
    if (sent.endpoint != endpoint || sent.number > heartbeat_number) {
      continue;
    }
    const bool listed =
        std::find(running.begin(), running.end(), attempt) != running.end();
    if (!listed && sent.missing_from_last_heartbeat) {
      unlisted_requests.push_back(sent.request);
    }
    sent.missing_from_last_heartbeat = !listed;
  }
  for (const HttpClient::RequestId request : unlisted_requests) {
    this->http->Cancel(request);
  }
}

void EndpointClient::Fence(const EndpointId& endpoint,
                           const AttemptId& attempt,
                           const BootId& boot,
                           FenceCallback callback) {
  const auto peer = PeerOf(endpoint);
  if (!peer) {
    return callback(FenceReply::kNoAnswer, "");
  }
  HttpRequest request =
      MakeRequest(EncodeFence(attempt, boot), kControlTimeout);
  request.live_connection =
      LiveConnectionRequirement{kMaxLiveAnswerAge, kProbePath};
  this->http->Send(*peer, std::move(request),
                   [this, endpoint, attempt,
                    callback = std::move(callback)](HttpOutcome outcome) {
                     if (!outcome.Answered()) {
                       return callback(FenceReply::kNoAnswer, "");
                     }
                     AttemptResponse answer = CheckAttemptResponse(
                         attempt, outcome.status, outcome.headers,
                         std::move(outcome.body));
                     const FenceReply reply = FenceReplyOf(answer);
                     if (reply != FenceReply::kDone || answer.has_result) {
                       return callback(reply, std::move(answer.body));
                     }
                     this->FetchResult(endpoint, attempt, callback);
                   });
}

// The response to a fence may contain only the state; the result is then
// fetched by a separate request.
void EndpointClient::FetchResult(const EndpointId& endpoint,
                                 const AttemptId& attempt,
                                 FenceCallback callback) {
  this->http->Send(
      *PeerOf(endpoint),
      MakeRequest(EncodeAttemptState(attempt), kControlTimeout),
      [attempt, callback = std::move(callback)](HttpOutcome outcome) {
        if (!outcome.Answered()) {
          return callback(FenceReply::kNoAnswer, "");
        }
        AttemptResponse answer = CheckAttemptResponse(
            attempt, outcome.status, outcome.headers, std::move(outcome.body));
        const bool whole = answer.fault == ResponseFault::kNone &&
                           answer.state == AttemptState::kDone &&
                           answer.has_result;
        callback(whole ? FenceReply::kDone : FenceReply::kNoAnswer,
                 std::move(answer.body));
      });
}

void EndpointClient::Stop(const EndpointId& endpoint,
                          const AttemptId& attempt) {
  if (const auto peer = PeerOf(endpoint)) {
    this->http->Send(*peer,
                     MakeRequest(EncodeAttemptStop(attempt), kControlTimeout),
                     [](const HttpOutcome&) {});
  }
}

void EndpointClient::ReplaceConnections(const EndpointId& endpoint) {
  if (const auto peer = PeerOf(endpoint)) {
    this->http->CloseConnections(*peer);
  }
}

}  // namespace peridot
