#include "src/daemon/permit_task.h"

#include <algorithm>
#include <string>
#include <utility>

#include "src/protocol/peer_codec.h"
#include "src/transport/log.h"

namespace peridot {

LeaseBounds LeaseBoundsOf(const FleetSettings& fleet) {
  return {
      .settings_lease = fleet.settings_lease,
      .owner_lease = std::max(fleet.owner_lease, EndpointLeaseConfig{}.lease)};
}

PermitTask::PermitTask(EventLoop* loop,
                       TableClient* table,
                       PeerLink* peers,
                       const SettingsTask* settings,
                       Hooks hooks)
    : loop(loop),
      table(table),
      peers(peers),
      settings(settings),
      hooks(std::move(hooks)) {
  for (const auto body :
       {proto::Envelope::kPermitDemand, proto::Envelope::kPermitTransfer,
        proto::Envelope::kPermitReport, proto::Envelope::kPermitRowNotice}) {
    this->peers->OnBody(
        body, [this](const SessionId& from, const proto::Envelope& envelope) {
          this->OnPeerMessage(from, envelope);
        });
  }
}

void PermitTask::Start() {
  this->OnSettings();
  this->OnTick();
}

void PermitTask::OnSettings() {
  const SettingsTree* tree = this->settings->Tree();
  if (tree == nullptr || !this->settings->IsRegistered()) {
    return;
  }
  const LeaseBounds bounds = LeaseBoundsOf(tree->Fleet());
  for (const TeamSettings& team : tree->Teams()) {
    const auto [found, added] = this->ledgers.try_emplace(
        team.id, PermitLedgerConfig{.team = team.id,
                                    .self = this->settings->Session(),
                                    .leases = bounds});
    found->second.OnLeaseBounds(bounds);
    found->second.OnSessionRow(this->settings->SessionVersion());
    this->ExecuteActions(
        team.id, found->second.OnLimit(team.limit, tree->CurrentRevision(),
                                       this->loop->Now()));
  }
}

// A session that is no longer registered was fenced, was superseded or has
// left. A session that has left is treated as fenced, which only frees its
// permits later.
void PermitTask::OnRegistry() {
  std::set<SessionId> listed;
  for (const RegisteredDaemon& entry :
       this->settings->KnownRegistry().daemons) {
    listed.insert(entry.session);
  }
  for (const SessionId& session : this->known_sessions) {
    if (listed.contains(session)) {
      continue;
    }
    this->ended_sessions.insert(session);
  }
  this->known_sessions = std::move(listed);
  this->ReportEndedSessions();
}

// An ended session may still extend its proof with statements of daemons that
// have not yet received its end. It needs the statement of every settled
// daemon, so the time until its permits are free starts when a settled daemon
// has received the end. A session that is not settled itself must not start
// that time.
void PermitTask::ReportEndedSessions() {
  if (this->ended_sessions.empty() || !this->settings->IsSettled()) {
    return;
  }
  for (const SessionId& session : std::exchange(this->ended_sessions, {})) {
    this->reported_sessions.insert(session);
    for (auto& [team, ledger] : this->ledgers) {
      this->ExecuteActions(team,
                           ledger.OnSessionFenced(session, this->loop->Now()));
    }
  }
}

// A session that ended before this daemon started appears only in permit rows
// that still list it as a holder. So does a session that registered after the
// last read of the registry. A session therefore counts as ended only if a
// registry read that was sent after the row was seen does not list it either.
void PermitTask::FindUnregisteredMembers() {
  const Instant now = this->loop->Now();
  for (const auto& [team, ledger] : this->ledgers) {
    for (const PermitMember& member : ledger.Members()) {
      if (this->known_sessions.contains(member.session) ||
          this->reported_sessions.contains(member.session)) {
        this->unregistered_since.erase(member.session);
        continue;
      }
      const Instant seen =
          this->unregistered_since.emplace(member.session, now).first->second;
      if (this->settings->RegistryReadSent() > seen) {
        this->ended_sessions.insert(member.session);
      }
    }
  }
}

bool PermitTask::TryAcquire(const TeamId& team) {
  PermitLedger* ledger = this->Find(team);
  if (ledger == nullptr) {
    return false;
  }
  const auto lowered = this->settings->RestrictedLimit(team);
  if (lowered && ledger->InUse().value >= static_cast<std::int64_t>(*lowered)) {
    return false;
  }
  return ledger->TryAcquire();
}

void PermitTask::Release(const TeamId& team) {
  if (PermitLedger* ledger = this->Find(team)) {
    ledger->Release();
  }
}

void PermitTask::OnWaiting(const TeamId& team, std::int64_t count) {
  PermitLedger* ledger = this->Find(team);
  if (ledger == nullptr || this->waiting[team] == count) {
    return;
  }
  this->waiting[team] = count;
  this->ExecuteActions(team,
                       ledger->OnDemand(PermitCount(count), this->loop->Now()));
}

std::int64_t PermitTask::Free(const TeamId& team) const {
  const auto found = this->ledgers.find(team);
  return found == this->ledgers.end()
             ? 0
             : found->second.Held().value - found->second.InUse().value;
}

PermitCount PermitTask::Held(const TeamId& team) const {
  const auto found = this->ledgers.find(team);
  return found == this->ledgers.end() ? PermitCount(0) : found->second.Held();
}

PermitCount PermitTask::InUse(const TeamId& team) const {
  const auto found = this->ledgers.find(team);
  return found == this->ledgers.end() ? PermitCount(0) : found->second.InUse();
}

bool PermitTask::IsLimitInForce(const TeamId& team, Revision revision) const {
  const auto found = this->limits_in_force.find(team);
  return found != this->limits_in_force.end() && found->second >= revision;
}

void PermitTask::OnTick() {
  this->FindUnregisteredMembers();
  this->ReportEndedSessions();
  for (auto& [team, ledger] : this->ledgers) {
    ledger.OnSessionRow(this->settings->SessionVersion());
    const std::int64_t before = this->Free(team);
    this->ExecuteActions(team, ledger.OnTick(this->loop->Now()));
    if (this->Free(team) > before) {
      this->hooks.on_permits(team);
    }
  }
  this->loop->After(kPermitTick, [this] { this->OnTick(); });
}

void PermitTask::OnPeerMessage(const SessionId& /*from*/,
                               const proto::Envelope& envelope) {
  const auto message = DecodePermitMessage(envelope);
  if (!message) {
    LogEvent(
        LogLevel::kWarning, "peer_message_malformed",
        {{"peer", envelope.sender()}, {"reason", message.error().message}});
    return;
  }
  const TeamId& team = message.value().team;
  PermitLedger* ledger = this->Find(team);
  if (ledger == nullptr) {
    return;
  }
  const std::int64_t before = this->Free(team);
  this->ExecuteActions(
      team, ledger->OnMessage(message.value().message, this->loop->Now()));
  if (this->Free(team) > before) {
    this->hooks.on_permits(team);
  }
}

void PermitTask::ExecuteActions(const TeamId& team,
                                const PermitActions& actions) {
  for (const PermitAction& action : actions) {
    std::visit([&](const auto& item) { this->Execute(team, item); }, action);
  }
}

void PermitTask::Execute(const TeamId& team, const ReadPermitRow& action) {
  this->table->Read(
      {action.key}, {},
      [this, team, key = action.key](Result<std::vector<TableRow>> rows) {
        PermitLedger* ledger = this->Find(team);
        if (rows && ledger != nullptr) {
          this->ExecuteActions(
              team,
              ledger->OnRowRead(FindRow(rows.value(), key), this->loop->Now()));
        }
      });
}

void PermitTask::Execute(const TeamId& team, const TransactPermits& action) {
  this->table->Transact(
      action.transaction, [this, team, id = action.transaction.operation_id](
                              const CommitAnswer& answer) {
        if (PermitLedger* ledger = this->Find(team)) {
          this->ExecuteActions(
              team, ledger->OnTransactAnswer(id, answer, this->loop->Now()));
          this->hooks.on_permits(team);
        }
      });
}

void PermitTask::Execute(const TeamId& team, const SendPermitMessage& action) {
  proto::Envelope envelope;
  EncodePermitMessage({team, action.message}, &envelope);
  this->peers->Send(HeaderOf(action.message).to.daemon, std::move(envelope));
}

void PermitTask::Execute(const TeamId& team, const StopExcess& action) {
  this->hooks.stop_excess(team, action.count);
}

void PermitTask::Execute(const TeamId& team, const LimitInForce& action) {
  this->limits_in_force[team] = action.revision;
  LogEvent(LogLevel::kInfo, "limit_in_force",
           {{"team", team.value},
            {"limit", std::to_string(action.limit.value)},
            {"revision", std::to_string(action.revision.value)}});
}

PermitLedger* PermitTask::Find(const TeamId& team) {
  const auto found = this->ledgers.find(team);
  return found == this->ledgers.end() ? nullptr : &found->second;
}

}  // namespace peridot
