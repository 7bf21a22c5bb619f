#include "src/daemon/membership_task.h"

#include <algorithm>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "src/transport/log.h"

namespace peridot {
namespace {

template <typename Message>
std::vector<MemberUpdate> DecodeUpdates(const Message& message) {
  std::vector<MemberUpdate> updates;
  for (const proto::MemberState& state : message.updates()) {
    const bool known = state.state() >= 1 && state.state() <= 4;
    if (known) {
      updates.push_back(
          {{DaemonId(state.daemon()), Incarnation(state.incarnation())},
           static_cast<MemberPhase>(state.state())});
    }
  }
  return updates;
}

template <typename Message>
void EncodeUpdates(const std::vector<MemberUpdate>& updates, Message* message) {
  for (const MemberUpdate& update : updates) {
    proto::MemberState* state = message->add_updates();
    state->set_daemon(update.session.daemon.value);
    state->set_incarnation(update.session.incarnation.value);
    state->set_state(static_cast<std::uint32_t>(update.phase));
  }
}

}  // namespace

MembershipTask::MembershipTask(EventLoop* loop,
                               PeerLink* peers,
                               SettingsTask* settings,
                               Hooks hooks,
                               MembershipTaskConfig config)
    : loop(loop),
      peers(peers),
      settings(settings),
      hooks(std::move(hooks)),
      config(config) {
  this->peers->OnBody(
      proto::Envelope::kProbeRequest,
      [this](const SessionId& from, const proto::Envelope& envelope) {
        this->OnProbeRequest(from, envelope);
      });
  this->peers->OnBody(
      proto::Envelope::kProbeReply,
      [this](const SessionId& from, const proto::Envelope& envelope) {
        this->OnProbeReply(from, envelope);
      });
}

void MembershipTask::Start() {
  std::random_device device;
  this->membership.emplace(this->settings->Session(), device());
  this->OnTick();
}

void MembershipTask::OnRegistry() {
  if (!this->membership) {
    return;
  }
  RegistryView view;
  view.version = this->settings->KnownRegistry().version;
  for (const RegisteredDaemon& entry :
       this->settings->KnownRegistry().daemons) {
    view.active.push_back(entry.session);
  }
  std::erase_if(this->fence_at, [&](const auto& entry) {
    return !view.ContainsSession(entry.first);
  });
  this->ExecuteActions(this->membership->OnRegistry(view));
}

void MembershipTask::Leave() {
  if (this->membership) {
    this->membership->OnLeave();
  }
}

void MembershipTask::OnTick() {
  if (this->settings->HasStopped()) {
    return;
  }
  this->ExecuteActions(this->membership->OnTick(this->loop->Now()));
  this->FenceSuspects();
  this->loop->After(this->config.tick, [this] { this->OnTick(); });
}

void MembershipTask::ExecuteActions(const MembershipActions& actions) {
  for (const MembershipAction& action : actions) {
    std::visit([this](const auto& item) { this->Execute(item); }, action);
  }
}

void MembershipTask::Execute(const ProbeMember& action) {
  proto::Envelope envelope;
  proto::ProbeRequest* request = envelope.mutable_probe_request();
  request->set_probe_id(this->settings->RegisterProbe(action.peer));
  EncodeUpdates(this->membership->TakeUpdates(), request);
  this->peers->Send(action.peer.daemon, std::move(envelope));
}

void MembershipTask::Execute(const MemberSuspected& action) {
  LogEvent(LogLevel::kWarning, "daemon_suspected",
           {{"peer", action.session.daemon.value}});
  this->fence_at.emplace(action.session,
                         this->loop->Now() + this->config.fence_after);
  this->hooks.reconnect(action.session.daemon);
}

void MembershipTask::Execute(const MemberRecovered& action) {
  LogEvent(LogLevel::kInfo, "daemon_returned",
           {{"peer", action.session.daemon.value}});
  this->fence_at.erase(action.session);
}

void MembershipTask::Execute(const MemberChanged& /*action*/) {
  // Membership follows the registry row, which SettingsTask reads periodically.
}

void MembershipTask::Execute(const OwnSessionReportedGone& /*action*/) {
  // The next read of the session row shows whether this session was fenced.
}

void MembershipTask::FenceSuspects() {
  const Instant now = this->loop->Now();
  for (auto& [session, at] : this->fence_at) {
    if (at > now) {
      continue;
    }
    at = now + this->config.fence_retry;
    this->settings->Fence(
        session, [this, target = session](const ChangeAnswer& answer) {
          const bool done = answer.result == ChangeResult::kInForce ||
                            answer.result == ChangeResult::kCommitted;
          if (done) {
            LogEvent(LogLevel::kInfo, "daemon_fenced",
                     {{"peer", target.daemon.value}});
            this->hooks.on_fenced(target);
          }
        });
    return;  // only one control write at a time
  }
}

void MembershipTask::OnProbeRequest(const SessionId& from,
                                    const proto::Envelope& envelope) {
  if (!this->membership) {
    return;
  }
  const proto::ProbeRequest& request = envelope.probe_request();
  this->ExecuteActions(
      this->membership->OnMessage(from, DecodeUpdates(request)));
  proto::Envelope answer;
  this->settings->FillProbeReply(from, request.probe_id(),
                                 answer.mutable_probe_reply());
  EncodeUpdates(this->membership->TakeUpdates(), answer.mutable_probe_reply());
  this->peers->Send(from.daemon, std::move(answer));
}

void MembershipTask::OnProbeReply(const SessionId& from,
                                  const proto::Envelope& envelope) {
  if (!this->membership) {
    return;
  }
  this->settings->OnProbeReply(from, envelope.probe_reply());
  this->ExecuteActions(
      this->membership->OnMessage(from, DecodeUpdates(envelope.probe_reply())));
}

}  // namespace peridot
