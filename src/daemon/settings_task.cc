#include "src/daemon/settings_task.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>

#include "src/protocol/digest.h"
#include "src/protocol/peer_codec.h"
#include "src/protocol/settings_yaml.h"
#include "src/transport/log.h"

namespace peridot {
namespace {

using std::chrono::milliseconds;

constexpr Duration kTick = milliseconds(50);
constexpr Duration kRegisterRetry = milliseconds(200);
constexpr Duration kFetchRetry = milliseconds(200);
constexpr char kDocumentKey[] = "settings_document";

// Returns a value that differs between starts of a daemon, so that operation
// ids of an earlier process are never mistaken for those of this process.
std::string MakeNonce() {
  std::random_device device;
  return std::to_string(device()) + "-" + std::to_string(device());
}

}  // namespace

SettingsTask::SettingsTask(EventLoop* loop,
                           TableClient* table,
                           PeerLink* peers,
                           const DaemonConfig* config,
                           Hooks hooks)
    : loop(loop),
      table(table),
      peers(peers),
      config(config),
      hooks(std::move(hooks)),
      start_nonce(MakeNonce()) {
  this->peers->OnBody(proto::Envelope::kDocumentRequest,
                      [this](const SessionId& from, const proto::Envelope&) {
                        this->SendDocument(from);
                      });
  this->peers->OnBody(
      proto::Envelope::kPeerDocument,
      [this](const SessionId&, const proto::Envelope& envelope) {
        if (this->lease) {
          this->peer_document = envelope.peer_document().document();
          this->ExecuteActions(this->lease->OnPeerDocument(
              DecodeDocument(envelope.peer_document()), this->loop->Now()));
          this->peer_document.clear();
        }
      });
  this->peers->OnBody(
      proto::Envelope::kRestriction,
      [this](const SessionId& from, const proto::Envelope& envelope) {
        this->HandleRestriction(from, envelope);
      });
}

//-----------------------------------------------------------------------------
// [SECTION] Registration
//-----------------------------------------------------------------------------

void SettingsTask::Start() {
  this->Register();
}

void SettingsTask::Register() {
  const std::string session_key = SessionKey(this->config->daemon);
  this->table->Read(
      {RegistryKey(), session_key}, {},
      [this, session_key](Result<std::vector<TableRow>> rows) {
        const auto retry = [this] {
          this->loop->After(kRegisterRetry, [this] { this->Register(); });
        };
        if (!rows) {
          LogEvent(LogLevel::kWarning, "registration_failed",
                   {{"step", rows.error().step},
                    {"peer", rows.error().peer},
                    {"reason", rows.error().message}});
          return retry();
        }
        const auto before = ParseRegistry(FindRow(rows.value(), RegistryKey()));
        const auto row = ParseSession(FindRow(rows.value(), session_key));
        if (!before || !row) {
          LogEvent(LogLevel::kError, "registry_malformed", {});
          return retry();
        }
        RegistrationPlan plan =
            PlanRegistration(before.value(), row.value(),
                             {.session = {this->config->daemon, Incarnation(0)},
                              .peer_address = this->config->peer_listen.Text(),
                              .http_address = this->config->listen.Text(),
                              .zone = this->config->zone},
                             this->NextOperationId());
        plan.transaction.puts.push_back({OperationKey(this->config->daemon),
                                         plan.transaction.operation_id});
        this->table->Transact(
            plan.transaction,
            [this, plan, before = before.value()](const CommitAnswer& answer) {
              this->FinishRegistration(plan, before, answer);
            });
      });
}

void SettingsTask::FinishRegistration(const RegistrationPlan& plan,
                                      const Registry& before,
                                      const CommitAnswer& answer) {
  if (answer.outcome == CommitOutcome::kUnknown) {
    this->CheckRegistered(plan, before);
    return;
  }
  if (answer.outcome == CommitOutcome::kConflict) {
    this->loop->After(kRegisterRetry, [this] { this->Register(); });
    return;
  }
  RegistryVersion version;
  for (const TableCheck& row : answer.versions) {
    if (row.key == RegistryKey()) {
      version = RegistryVersion(row.version.value);
    }
    if (row.key == SessionKey(this->config->daemon)) {
      this->session_version = row.version;
    }
  }
  this->session = plan.session;
  this->peers->SetSession(this->session);
  this->lease.emplace(Registration{.session = plan.session,
                                   .version = version,
                                   .answered_at = this->loop->Now(),
                                   .first_member = before.daemons.empty()});
  LogEvent(LogLevel::kInfo, "registered",
           {{"daemon", this->session.daemon.value},
            {"incarnation", std::to_string(this->session.incarnation.value)}});
  this->hooks.on_registered();
  this->OnTick();
}

// Called when the answer was lost. The operation row shows whether the
// registration took effect.
void SettingsTask::CheckRegistered(const RegistrationPlan& plan,
                                   const Registry& before) {
  const std::string operation_key = OperationKey(this->config->daemon);
  const std::string session_key = SessionKey(this->config->daemon);
  this->table->Read(
      {RegistryKey(), session_key, operation_key}, {},
      [this, plan, before, operation_key,
       session_key](Result<std::vector<TableRow>> rows) {
        if (!rows) {
          this->loop->After(kRegisterRetry, [this, plan, before] {
            this->CheckRegistered(plan, before);
          });
          return;
        }
        const bool done = FindRow(rows.value(), operation_key).value ==
                          plan.transaction.operation_id;
        if (!done) {
          return this->Register();
        }
        CommitAnswer answer;
        answer.outcome = CommitOutcome::kCommitted;
        for (const std::string& key : {RegistryKey(), session_key}) {
          answer.versions.push_back({key, FindRow(rows.value(), key).version});
        }
        this->FinishRegistration(plan, before, answer);
      });
}

void SettingsTask::Leave(Duration limit, std::function<void()> done) {
  if (!this->lease || this->lease->HasStopped()) {
    return done();
  }
  this->lease->OnLeave();
  this->leaving = true;
  const std::string session_key = SessionKey(this->config->daemon);
  this->table->Read(
      {RegistryKey(), session_key}, {},
      [this, session_key, limit,
       done = std::move(done)](Result<std::vector<TableRow>> rows) {
        if (!rows) {
          return done();
        }
        const auto listed = ParseRegistry(FindRow(rows.value(), RegistryKey()));
        const auto row = ParseSession(FindRow(rows.value(), session_key));
        if (!listed || !row) {
          return done();
        }
        ControlWrite write;
        write.kind = ControlWriteKind::kGone;
        write.operation_id = this->NextOperationId();
        write.registry_change =
            PlanRemoval(listed.value(), row.value(), this->session, false,
                        write.operation_id);
        this->BeginControlWrite(std::move(write), limit,
                                [done](const ChangeAnswer&) { done(); });
      });
}

//-----------------------------------------------------------------------------
// [SECTION] View
//-----------------------------------------------------------------------------

const QueueSettings* SettingsTask::FindQueue(std::string_view address) const {
  return this->tree ? this->tree->FindQueue(address) : nullptr;
}

bool SettingsTask::IsZoneIn(std::string_view zone) const {
  return this->tree && this->tree->IsZoneIn(zone) &&
         !this->lease->IsRestricted(RestrictionKind::kZoneOut,
                                    std::string(zone), this->loop->Now());
}

const TeamId* SettingsTask::TeamOfKey(const KeyId& key) const {
  const auto found = this->key_teams.find(key);
  if (found == this->key_teams.end() ||
      this->lease->IsRestricted(RestrictionKind::kWithdrawKey, key.value,
                                this->loop->Now())) {
    return nullptr;
  }
  return &found->second;
}

Instant SettingsTask::ProofExpiry() const {
  if (!this->lease || !this->lease->MayAct(this->loop->Now())) {
    return Instant{};
  }
  return this->lease->ProofExpiry().value_or(Instant{});
}

std::optional<std::uint64_t> SettingsTask::RestrictedLimit(
    const TeamId& team) const {
  return this->lease
             ? this->lease->RestrictedLimit(team.value, this->loop->Now())
             : std::nullopt;
}

//-----------------------------------------------------------------------------
// [SECTION] Periodic work and actions
//-----------------------------------------------------------------------------

void SettingsTask::OnTick() {
  if (this->lease->HasStopped()) {
    return;
  }
  this->ExecuteActions(this->lease->OnTick(this->loop->Now()));
  this->ExpirePendingWrites();
  this->loop->After(kTick, [this] { this->OnTick(); });
}

void SettingsTask::ExecuteActions(const SettingsActions& actions) {
  for (const SettingsAction& action : actions) {
    std::visit([this](const auto& item) { this->Execute(item); }, action);
  }
}

void SettingsTask::Execute(const SendRead& action) {
  const DaemonId& self = this->config->daemon;
  this->table->Read(
      {SettingsKey(), RegistryKey(), SessionKey(self), OperationKey(self)}, {},
      [this, id = action.read_id,
       sent = this->loop->Now()](const Result<std::vector<TableRow>>& rows) {
        if (!rows) {
          this->lease->OnReadFailed(id);
          return;
        }
        this->OnRows(id, sent, rows.value());
      });
}

void SettingsTask::OnRows(std::uint64_t read_id,
                          Instant sent,
                          const std::vector<TableRow>& rows) {
  const DaemonId& self = this->config->daemon;
  const TableRow settings = FindRow(rows, SettingsKey());
  const auto listed = ParseRegistry(FindRow(rows, RegistryKey()));
  const auto session_row = ParseSession(FindRow(rows, SessionKey(self)));
  if (!listed || !session_row) {
    LogEvent(LogLevel::kError, "registry_malformed", {});
    this->lease->OnReadFailed(read_id);
    return;
  }
  StoreRead read;
  read.read_id = read_id;
  read.revision = Revision(settings.version.value);
  read.text = settings.value;
  read.registry.version = listed.value().version;
  for (const RegisteredDaemon& entry : listed.value().daemons) {
    read.registry.active.push_back(entry.session);
  }
  read.incarnation = session_row.value().incarnation;
  read.fenced = session_row.value().fenced;
  read.session_version = session_row.value().version;
  read.last_operation = FindRow(rows, OperationKey(self)).value;
  const bool newer = listed.value().version > this->registry.version;
  if (listed.value().version >= this->registry.version) {
    this->registry_read_sent = std::max(this->registry_read_sent, sent);
  }
  if (read.incarnation == this->session.incarnation && !read.fenced) {
    this->session_version = session_row.value().version;
  }
  this->ExecuteActions(this->lease->OnRead(std::move(read), this->loop->Now()));
  if (newer) {
    this->registry = listed.value();
    this->peers->SetRegistry(this->registry);
    this->hooks.on_registry();
  }
}

void SettingsTask::Execute(const SendWrite& action) {
  this->table->Transact(
      action.transaction,
      [this, id = action.transaction.operation_id](const CommitAnswer& answer) {
        this->ExecuteActions(
            this->lease->OnWriteAnswer(id, answer, this->loop->Now()));
      });
}

void SettingsTask::Execute(const SendProbe& action) {
  proto::Envelope envelope;
  envelope.mutable_probe_request()->set_probe_id(action.probe_id);
  this->peers->Send(action.peer.daemon, std::move(envelope));
}

void SettingsTask::Execute(const FetchDocument& action) {
  proto::Envelope envelope;
  envelope.mutable_document_request();
  this->peers->Send(action.peer.daemon, std::move(envelope));
}

void SettingsTask::Execute(const AdoptSettings& action) {
  if (Sha256Hex(this->peer_document) == action.text) {
    return this->Adopt(action.revision, this->peer_document);
  }
  this->FetchSettings(action.revision, action.text);
}

void SettingsTask::FetchSettings(Revision revision, const std::string& digest) {
  this->table->Read(
      {SettingsKey(), kDocumentKey}, {},
      [this, revision, digest](Result<std::vector<TableRow>> rows) {
        // A newer revision is adopted after the next read.
        if (this->lease->KnownRevision() != revision) {
          return;
        }
        const std::string document =
            rows ? FindRow(rows.value(), kDocumentKey).value : std::string();
        if (Sha256Hex(document) == digest) {
          return this->Adopt(revision, document);
        }
        this->loop->After(kFetchRetry, [this, revision, digest] {
          this->FetchSettings(revision, digest);
        });
      });
}

void SettingsTask::Adopt(Revision revision, const std::string& document) {
  auto parsed = ParseSettings(document, "settings", revision);
  if (!parsed) {
    LogEvent(LogLevel::kError, "settings_malformed",
             {{"revision", std::to_string(revision.value)},
              {"reason", parsed.error().message}});
    return;
  }
  this->adopted_digest = Sha256Hex(document);
  this->tree = std::move(parsed.value());
  this->key_teams.clear();
  for (const TeamKey& key : this->tree->Document().keys) {
    this->key_teams.emplace(key.id, key.team);
  }
  this->lease->OnAdopted(revision, this->tree->Fleet().settings_lease);
  this->EndRestrictions();
  LogEvent(LogLevel::kInfo, "settings_adopted",
           {{"revision", std::to_string(revision.value)}});
  this->hooks.on_settings();
}

void SettingsTask::Execute(const WriteChanged& action) {
  switch (action.state) {
    case WriteState::kInForce:
      this->CompleteWrite(action.operation_id,
                          {ChangeResult::kInForce, action.revision, ""});
      return;
    case WriteState::kConflict:
      this->CompleteWrite(
          action.operation_id,
          {ChangeResult::kConflict, this->lease->KnownRevision(), ""});
      return;
    case WriteState::kNotSent:
      this->CompleteWrite(action.operation_id, {ChangeResult::kUnavailable,
                                                this->lease->KnownRevision(),
                                                "the change was not sent"});
      return;
    case WriteState::kCommitted:
      if (this->leaving) {
        this->CompleteWrite(action.operation_id,
                            {ChangeResult::kCommitted, action.revision, ""});
      }
      return;
    case WriteState::kNone:
    case WriteState::kUnknown:
      return;
  }
}

void SettingsTask::Execute(const ReportStoreRollback& action) {
  LogEvent(LogLevel::kError, "store_reverted",
           {{"seen", std::to_string(action.seen.value)},
            {"shown", std::to_string(action.shown.value)}});
}

void SettingsTask::Execute(const StopSession& /*action*/) {
  for (const PendingWrite& item : std::exchange(this->pending_writes, {})) {
    item.callback({ChangeResult::kUnknown, this->lease->KnownRevision(), ""});
  }
  if (this->leaving) {
    return;  // the session has been removed from the registry
  }
  LogEvent(LogLevel::kError, "session_fenced",
           {{"incarnation", std::to_string(this->session.incarnation.value)}});
  this->hooks.on_stopped();
}

//-----------------------------------------------------------------------------
// [SECTION] Control writes
//-----------------------------------------------------------------------------

void SettingsTask::ChangeSettings(const SettingsDocument& document,
                                  Revision base,
                                  Duration limit,
                                  ChangeCallback callback) {
  ControlWrite write;
  write.kind = ControlWriteKind::kSettings;
  write.operation_id = this->NextOperationId();
  write.base = base;
  std::string text = FormatSettings(document);
  if (text.size() > kMaxSettingsBytes) {
    return callback({ChangeResult::kUnavailable, base,
                     "the settings exceed 1 MiB of text"});
  }
  write.text = Sha256Hex(text);
  write.registry_change.puts.push_back({kDocumentKey, std::move(text)});
  this->BeginControlWrite(std::move(write), limit, std::move(callback));
}

void SettingsTask::Fence(const SessionId& target, ChangeCallback callback) {
  const std::string session_key = SessionKey(target.daemon);
  this->table->Read(
      {RegistryKey(), session_key}, {},
      [this, target, session_key,
       callback = std::move(callback)](Result<std::vector<TableRow>> rows) {
        if (!rows) {
          return callback({ChangeResult::kUnavailable, Revision(), ""});
        }
        const auto listed = ParseRegistry(FindRow(rows.value(), RegistryKey()));
        const auto row = ParseSession(FindRow(rows.value(), session_key));
        if (!listed || !row || row.value().incarnation != target.incarnation ||
            row.value().fenced) {
          return callback({ChangeResult::kConflict, Revision(), ""});
        }
        ControlWrite write;
        write.kind = ControlWriteKind::kRegistry;
        write.operation_id = this->NextOperationId();
        write.registry_change = PlanRemoval(listed.value(), row.value(), target,
                                            true, write.operation_id);
        constexpr Duration kFenceLimit = std::chrono::seconds(30);
        this->BeginControlWrite(std::move(write), kFenceLimit, callback);
      });
}

void SettingsTask::BeginControlWrite(ControlWrite write,
                                     Duration limit,
                                     ChangeCallback callback) {
  if (!this->lease) {
    return callback({ChangeResult::kUnavailable, Revision(),
                     "the daemon is not registered yet"});
  }
  const std::string id = write.operation_id;
  auto begun = this->lease->BeginWrite(std::move(write), this->loop->Now());
  if (!begun) {
    const bool conflict = begun.error().code == ErrorCode::kConflict;
    return callback(
        {conflict ? ChangeResult::kConflict : ChangeResult::kUnavailable,
         this->lease->KnownRevision(), begun.error().message});
  }
  this->pending_writes.push_back(
      {id, this->loop->Now() + limit, std::move(callback)});
  this->ExecuteActions(begun.value());
}

void SettingsTask::ExpirePendingWrites() {
  const Instant now = this->loop->Now();
  std::vector<PendingWrite> expired;
  std::erase_if(this->pending_writes, [&](PendingWrite& item) {
    if (item.until > now) {
      return false;
    }
    expired.push_back(std::move(item));
    return true;
  });
  for (const PendingWrite& item : expired) {
    const WriteState state = this->lease->StateOfWrite(item.operation_id, now);
    const bool committed = state == WriteState::kCommitted;
    item.callback(
        {committed ? ChangeResult::kCommitted : ChangeResult::kUnknown,
         this->lease->KnownRevision(), ""});
  }
}

void SettingsTask::CompleteWrite(const std::string& operation_id,
                                 ChangeAnswer answer) {
  const auto found =
      std::find_if(this->pending_writes.begin(), this->pending_writes.end(),
                   [&](const PendingWrite& item) {
                     return item.operation_id == operation_id;
                   });
  if (found == this->pending_writes.end()) {
    return;
  }
  const ChangeCallback callback = std::move(found->callback);
  this->pending_writes.erase(found);
  callback(std::move(answer));
}

std::string SettingsTask::NextOperationId() {
  return this->config->daemon.value + "/" + this->start_nonce + "/" +
         std::to_string(this->next_operation++);
}

//-----------------------------------------------------------------------------
// [SECTION] Peers
//-----------------------------------------------------------------------------

void SettingsTask::Restrict(RestrictionKind kind,
                            const std::string& subject,
                            std::uint64_t value) {
  if (!this->lease) {
    return;
  }
  const ProvisionalRestriction restriction{
      .kind = kind,
      .subject = subject,
      .value = value,
      .sender = this->session,
      .sequence = this->next_restriction++};
  const Revision base = this->lease->KnownRevision();
  this->lease->OnRestriction(restriction, this->loop->Now());
  this->open_restrictions.push_back(
      {this->session, restriction.sequence, base});
  for (const RegisteredDaemon& peer : this->registry.daemons) {
    proto::Envelope envelope;
    EncodeRestriction(restriction, envelope.mutable_restriction());
    envelope.mutable_restriction()->set_base_revision(base.value);
    this->peers->Send(peer.session.daemon, std::move(envelope));
  }
}

void SettingsTask::HandleRestriction(const SessionId& from,
                                     const proto::Envelope& envelope) {
  const Revision base(envelope.restriction().base_revision());
  if (!this->lease || this->lease->AdoptedRevision() > base) {
    return;
  }
  const auto restriction = DecodeRestriction(from, envelope.restriction());
  if (!restriction) {
    return;
  }
  this->lease->OnRestriction(restriction.value(), this->loop->Now());
  this->open_restrictions.push_back({from, restriction.value().sequence, base});
}

void SettingsTask::EndRestrictions() {
  std::erase_if(this->open_restrictions, [&](const OpenRestriction& item) {
    if (this->lease->AdoptedRevision() <= item.base) {
      return false;
    }
    this->lease->OnRestrictionAdopted(item.sender, item.sequence);
    return true;
  });
}

void SettingsTask::SendDocument(const SessionId& to) {
  if (!this->lease || !this->lease->CanServeDocument() || !this->tree) {
    return;
  }
  proto::Envelope envelope;
  EncodeDocument({.revision = this->lease->AdoptedRevision(),
                  .text = this->adopted_digest,
                  .registry = this->lease->Registry()},
                 envelope.mutable_peer_document());
  envelope.mutable_peer_document()->set_document(
      FormatSettings(this->tree->Document()));
  this->peers->Send(to.daemon, std::move(envelope));
}

std::uint64_t SettingsTask::RegisterProbe(const SessionId& peer) {
  return this->lease->RegisterProbe(peer, this->loop->Now());
}

void SettingsTask::OnProbeReply(const SessionId& from,
                                const proto::ProbeReply& reply) {
  if (this->lease) {
    this->ExecuteActions(this->lease->OnProbeReply(from, DecodeFreshness(reply),
                                                   this->loop->Now()));
  }
}

void SettingsTask::FillProbeReply(const SessionId& requester,
                                  std::uint64_t probe_id,
                                  proto::ProbeReply* reply) const {
  if (this->lease) {
    EncodeFreshness(
        this->lease->MakeProbeReply(requester, probe_id, this->loop->Now()),
        reply);
  }
}

}  // namespace peridot
