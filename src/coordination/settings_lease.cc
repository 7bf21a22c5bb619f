#include "src/coordination/settings_lease.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace peridot {

namespace {

using std::chrono::microseconds;

// LengthenForDrift() rounds down; the extra nanosecond makes it an upper bound.
Duration UpperBound(Duration d) {
  return LengthenForDrift(d) + Duration(1);
}

std::uint64_t DigestOf(const std::string& text) {
  return XXH3_64bits(text.data(), text.size());
}

std::optional<RowVersion> CheckedVersion(const TableTransaction& transaction,
                                         const std::string& key) {
  for (const TableCheck& check : transaction.checks) {
    if (check.key == key) {
      return check.version;
    }
  }
  return std::nullopt;
}

std::optional<RowVersion> VersionOf(const std::vector<TableCheck>& rows,
                                    const std::string& key) {
  for (const TableCheck& row : rows) {
    if (row.key == key) {
      return row.version;
    }
  }
  return std::nullopt;
}

}  // namespace

std::string SettingsKey() {
  return "settings";
}
std::string RegistryKey() {
  return "registry";
}
std::string SessionKey(const DaemonId& daemon) {
  return "session/" + daemon.value;
}
std::string OperationKey(const DaemonId& daemon) {
  return "operation/" + daemon.value;
}

bool RegistryView::ContainsSession(const SessionId& session) const {
  return std::find(this->active.begin(), this->active.end(), session) !=
         this->active.end();
}

//-----------------------------------------------------------------------------
// [SECTION] Construction and periodic work
//-----------------------------------------------------------------------------

SettingsLease::SettingsLease(Registration registration,
                             SettingsLeaseOptions options)
    : registration(std::move(registration)), options(options) {
  this->registry_known = this->registration.version;
  this->registry_known_since = this->registration.answered_at;
}

std::uint64_t SettingsLease::NextId() {
  // The incarnation in the upper 32 bits prevents a late answer to an earlier
  // run of this daemon from matching a request of this run. The answer would
  // then count from the later instant of that request, which is unsafe.
  return (this->registration.session.incarnation.value << 32U) |
         ++this->next_id;
}

SettingsActions SettingsLease::OnTick(Instant now) {
  SettingsActions actions;
  if (this->stopped) {
    return actions;
  }
  std::erase_if(this->reads, [&](const auto& read) {
    return now - read.second > this->options.read_timeout;
  });
  std::erase_if(this->probes, [&](const auto& probe) {
    return now - probe.second.sent > this->options.max_lease;
  });
  std::erase_if(this->restrictions, [&](const auto& entry) {
    return now - entry.second.until > this->options.restriction_timeout;
  });
  if (!this->last_read_sent ||
      now - *this->last_read_sent >= this->options.read_period) {
    this->StartRead(now, actions);
  }
  this->StartProbes(now, actions);
  this->ExtendProofFromStatements(now);
  this->RetryWrite(now, actions);
  return actions;
}

void SettingsLease::StartRead(Instant now, SettingsActions& actions) {
  const int outstanding = static_cast<int>(this->reads.size());
  if (outstanding >= this->options.max_outstanding_reads) {
    this->reads.erase(this->reads.begin());  // oldest: shortest proof
  }
  const std::uint64_t id = this->NextId();
  this->reads[id] = now;
  this->last_read_sent = now;
  actions.emplace_back(SendRead{id});
}

void SettingsLease::StartProbes(Instant now, SettingsActions& actions) {
  if (!this->options.use_peer_proofs && !this->options.use_statements) {
    return;
  }
  const Duration window = std::max(this->lease, this->options.min_lease);
  const bool fresh = this->proof && now - this->proof->at <= window / 2;
  // Six rounds of probes fit into a lease, three into its second half.
  const bool due =
      !this->last_probe_sent || now - *this->last_probe_sent >= window / 6;
  // A new session probes until a settled peer acknowledges it.
  if ((fresh && this->IsSettled(now)) || !due) {
    return;
  }
  this->last_probe_sent = now;
  for (const SessionId& peer : this->registry.active) {
    if (peer == this->registration.session) {
      continue;
    }
    actions.emplace_back(SendProbe{peer, this->RegisterProbe(peer, now)});
  }
}

void SettingsLease::RetryWrite(Instant now, SettingsActions& actions) {
  if (!this->write) {
    return;
  }
  if (!this->write->resolved && this->write->send_count == 0) {
    if (now - this->write->started_at > this->options.max_write_wait) {
      this->Resolve(WriteState::kNotSent, actions);
    }
    return;
  }
  if (!this->write->resolved) {
    if (now - this->write->last_sent >= this->options.write_retry) {
      this->write->last_sent = now;
      ++this->write->send_count;
      actions.emplace_back(SendWrite{this->write->transaction});
    }
    return;
  }
  const bool due = this->write->committed && now >= this->write->in_force_at;
  if (due && !this->write->reported_in_force) {
    this->write->reported_in_force = true;
    actions.emplace_back(WriteChanged{this->write->operation_id,
                                      WriteState::kInForce,
                                      this->write->revision});
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Known revision and registry
//-----------------------------------------------------------------------------

void SettingsLease::UpdateKnownRevision(Revision revision, Instant now) {
  if (revision <= this->known_revision) {
    return;
  }
  // A proof of the preceding revision has that revision's lease. The lease of
  // a revision that this daemon never adopted is bounded by max_lease only.
  const bool adopted_predecessor =
      this->known_revision.value > 0 &&
      this->adopted_revision == this->known_revision &&
      revision.value == this->known_revision.value + 1;
  const Duration wait =
      UpperBound(adopted_predecessor ? this->lease : this->options.max_lease);
  this->older_proofs_expire_at =
      std::max(this->older_proofs_expire_at, now + wait);
  this->known_revision = revision;
  this->known_since = now;
  this->proof.reset();
}

void SettingsLease::UpdateKnownRegistry(RegistryVersion version, Instant now) {
  if (version <= this->registry_known) {
    return;
  }
  this->registry_known = version;
  this->registry_known_since = now;
}

void SettingsLease::ApplyDocument(Revision revision,
                                  std::string text,
                                  const RegistryView& view,
                                  Instant now,
                                  SettingsActions& actions) {
  this->UpdateKnownRevision(revision, now);
  this->UpdateKnownRegistry(view.version, now);
  if (view.version > this->registry.version) {
    this->registry = view;
    std::erase_if(this->statements, [&](const auto& statement) {
      return statement.second.version != view.version;
    });
  }
  if (revision > this->requested_revision && revision == this->known_revision) {
    this->requested_revision = revision;
    this->requested_digest = DigestOf(text);
    actions.emplace_back(AdoptSettings{revision, std::move(text)});
  }
}

void SettingsLease::RecordProof(Revision revision, Instant at) {
  if (revision != this->known_revision) {
    return;
  }
  if (!this->proof || this->proof->at < at) {
    this->proof = settings_lease_internal::Proof{revision, at};
  }
}

void SettingsLease::OnAdopted(Revision revision, Duration lease) {
  if (revision <= this->adopted_revision || revision != this->known_revision) {
    return;
  }
  this->adopted_revision = revision;
  this->lease =
      std::clamp(lease, this->options.min_lease, this->options.max_lease);
}

//-----------------------------------------------------------------------------
// [SECTION] Proofs from own reads
//-----------------------------------------------------------------------------

bool SettingsLease::IsFenced(const StoreRead& read) const {
  const SessionId& session = this->registration.session;
  if (read.fenced || read.incarnation > session.incarnation) {
    return true;
  }
  return read.registry.version >= this->registration.version &&
         !read.registry.ContainsSession(session);
}

bool SettingsLease::IsRolledBack(const StoreRead& read, Instant sent) const {
  // A read that was sent before the later value became known may return less.
  const bool lower_revision =
      read.revision < this->known_revision && sent >= this->known_since;
  const bool lower_registry = read.registry.version < this->registry_known &&
                              sent >= this->registry_known_since;
  const bool lower_incarnation =
      read.incarnation < this->registration.session.incarnation;
  const bool other_text = read.revision == this->requested_revision &&
                          DigestOf(read.text) != this->requested_digest &&
                          this->requested_revision.value > 0;
  return lower_revision || lower_registry || lower_incarnation || other_text;
}

SettingsActions SettingsLease::OnRead(StoreRead read, Instant now) {
  SettingsActions actions;
  const auto found = this->reads.find(read.read_id);
  if (found == this->reads.end() || this->stopped) {
    return actions;
  }
  const Instant sent = found->second;
  this->reads.erase(found);
  if (this->IsRolledBack(read, sent)) {
    this->rolled_back = true;
    this->proof.reset();
    actions.emplace_back(
        ReportStoreRollback{this->known_revision, read.revision,
                            this->registry_known, read.registry.version});
    return actions;
  }
  if (this->IsFenced(read)) {
    this->stopped = true;
    // A later incarnation may have overwritten row "operation/<daemon>".
    if (read.incarnation == this->registration.session.incarnation ||
        (this->write && read.last_operation == this->write->operation_id)) {
      this->ResolveFromRead(read, now, actions);
    }
    actions.emplace_back(StopSession{});
    return actions;
  }
  if (read.revision < this->known_revision ||
      read.registry.version < this->registry_known) {
    return actions;
  }
  this->rolled_back = false;
  this->ApplyDocument(read.revision, std::move(read.text), read.registry, now,
                      actions);
  this->session_version = std::max(this->session_version, read.session_version);
  this->last_answered_read_sent =
      std::max(this->last_answered_read_sent.value_or(sent), sent);
  this->RecordProof(read.revision, sent);
  this->ResolveFromRead(read, now, actions);
  // A write sent during an outage of the store stays unresolved until the store
  // answers again, and an unresolved write prevents every daemon from extending
  // its proof by statements. So it is sent only when the store has just
  // answered a read that was sent after the write was started.
  const bool prepared =
      this->write && !this->write->resolved && this->write->send_count == 0;
  if (prepared && sent >= this->write->started_at) {
    this->SendPreparedWrite(now, actions);
  }
  return actions;
}

void SettingsLease::OnReadFailed(std::uint64_t read_id) {
  this->reads.erase(read_id);
}

//-----------------------------------------------------------------------------
// [SECTION] Proofs from peers
//-----------------------------------------------------------------------------

std::uint64_t SettingsLease::RegisterProbe(const SessionId& peer, Instant now) {
  const std::uint64_t id = this->NextId();
  this->probes[id] = settings_lease_internal::Probe{peer, now};
  return id;
}

FreshnessReply SettingsLease::MakeProbeReply(const SessionId& requester,
                                             std::uint64_t probe_id,
                                             Instant now) const {
  FreshnessReply reply;
  reply.probe_id = probe_id;
  reply.revision = this->known_revision;
  reply.registry_version = this->registry.version;
  const bool usable = !this->stopped && !this->leaving && !this->rolled_back &&
                      this->last_answered_read_sent;
  // A proof can be later than this daemon's copy of the registry: it may come
  // from a peer whose registry already shows the requester as fenced.
  // Forwarding it would extend the proof of the fenced session past the fence.
  const bool has_latest = this->registry.version == this->registry_known;
  if (!usable || !has_latest || !this->registry.ContainsSession(requester)) {
    return reply;
  }
  const std::optional<Instant> expiry = this->ProofExpiry();
  if (expiry && now < *expiry) {
    reply.has_proof = true;
    reply.proof_age = std::chrono::ceil<microseconds>(now - this->proof->at) +
                      microseconds(1);
  }
  reply.no_outstanding_write = !this->HasUnresolvedWrite();
  reply.settled = this->IsSettled(now);
  return reply;
}

SettingsActions SettingsLease::OnProbeReply(const SessionId& from,
                                            const FreshnessReply& reply,
                                            Instant now) {
  SettingsActions actions;
  const auto found = this->probes.find(reply.probe_id);
  if (found == this->probes.end() || this->stopped ||
      found->second.peer != from) {
    return actions;
  }
  const Instant sent = found->second.sent;
  this->probes.erase(found);
  this->UpdateKnownRevision(reply.revision, now);
  this->UpdateKnownRegistry(reply.registry_version, now);
  if (this->known_revision > this->requested_revision ||
      this->registry_known > this->registry.version) {
    if (now - this->last_read_sent.value_or(Instant{}) >=
        this->options.min_read_spacing) {
      this->StartRead(now, actions);
    }
    actions.emplace_back(FetchDocument{from});
  }
  const bool listed = this->registry.ContainsSession(from);
  if (listed && reply.settled &&
      reply.registry_version >= this->registration.version) {
    this->acknowledged = true;
  }
  const bool in_range = reply.proof_age >= Duration(0) &&
                        reply.proof_age <= this->options.max_lease;
  if (this->options.use_peer_proofs && reply.has_proof && in_range) {
    this->RecordProof(reply.revision, sent - UpperBound(reply.proof_age));
  }
  if (listed && reply.no_outstanding_write) {
    this->statements[from] =
        settings_lease_internal::Statement{reply.registry_version, sent};
    this->ExtendProofFromStatements(now);
  }
  return actions;
}

void SettingsLease::ExtendProofFromStatements(Instant now) {
  const bool usable =
      this->options.use_statements && this->last_answered_read_sent &&
      !this->stopped && !this->leaving && !this->rolled_back &&
      !this->HasUnresolvedWrite() &&
      this->registry.version == this->registry_known &&
      this->registry.ContainsSession(this->registration.session);
  if (!usable) {
    return;
  }
  // After this instant a session that no peer acknowledged may write.
  Instant at = std::min(now, *this->last_answered_read_sent +
                                 this->options.max_extension_without_store);
  for (const SessionId& peer : this->registry.active) {
    if (peer == this->registration.session) {
      continue;
    }
    const auto found = this->statements.find(peer);
    if (found == this->statements.end() ||
        found->second.version != this->registry.version) {
      return;
    }
    at = std::min(at, found->second.sent);
  }
  this->RecordProof(this->known_revision, at);
}

SettingsActions SettingsLease::OnPeerDocument(PeerDocument document,
                                              Instant now) {
  SettingsActions actions;
  if (this->stopped || this->rolled_back ||
      document.revision < this->known_revision) {
    return actions;
  }
  this->ApplyDocument(document.revision, std::move(document.text),
                      document.registry, now, actions);
  return actions;
}

bool SettingsLease::CanServeDocument() const {
  return !this->stopped && !this->rolled_back &&
         this->adopted_revision == this->known_revision &&
         this->adopted_revision.value > 0;
}

//-----------------------------------------------------------------------------
// [SECTION] Control writes
//-----------------------------------------------------------------------------

bool SettingsLease::HasUnresolvedWrite() const {
  return this->write && !this->write->resolved && this->write->send_count > 0;
}

bool SettingsLease::IsSettled(Instant now) const {
  const Instant unacknowledged_until =
      this->registration.answered_at +
      UpperBound(this->options.max_extension_without_store);
  return this->registration.first_member || this->acknowledged ||
         now >= unacknowledged_until;
}

Result<SettingsActions> SettingsLease::BeginWrite(ControlWrite request,
                                                  Instant now) {
  const std::string step = "begin_write";
  const std::string peer = this->registration.session.daemon.value;
  const bool ends_session = request.kind == ControlWriteKind::kGone;
  if (this->stopped || this->leaving != ends_session) {
    return MakeError(ErrorCode::kPermission, step, peer,
                     "the session has stopped or is leaving");
  }
  if (!ends_session && !this->IsSettled(now)) {
    return MakeError(ErrorCode::kPermission, step, peer,
                     "no settled daemon has acknowledged this session yet");
  }
  if (this->write && !this->write->resolved) {
    return MakeError(ErrorCode::kUnavailable, step, peer,
                     "the outcome of the previous write is not known");
  }
  if (this->rolled_back || !this->last_answered_read_sent ||
      this->adopted_revision != this->known_revision) {
    return MakeError(ErrorCode::kUnavailable, step, peer,
                     "the latest settings are not held");
  }
  const bool changes_settings = request.kind == ControlWriteKind::kSettings;
  if (changes_settings && request.base != this->known_revision) {
    return MakeError(ErrorCode::kConflict, step, peer,
                     "made against revision " +
                         std::to_string(request.base.value) +
                         ", which is not the current revision " +
                         std::to_string(this->known_revision.value));
  }
  settings_lease_internal::Write next;
  next.operation_id = request.operation_id;
  next.transaction = std::move(request.registry_change);
  next.transaction.operation_id = std::move(request.operation_id);
  next.changes_settings = changes_settings;
  next.base = this->known_revision;
  next.text = std::move(request.text);
  next.started_at = now;
  this->write = std::move(next);
  SettingsActions actions;
  this->StartRead(now, actions);
  return actions;
}

void SettingsLease::SendPreparedWrite(Instant now, SettingsActions& actions) {
  settings_lease_internal::Write& next = *this->write;
  if (next.base != this->known_revision ||
      this->adopted_revision != this->known_revision) {
    this->Resolve(WriteState::kConflict, actions);
    return;
  }
  TableTransaction& transaction = next.transaction;
  // A registry change checks the settings row too, so that the lease of the
  // proofs that a fenced session may still have is known.
  transaction.checks.push_back({SettingsKey(), RowVersion(next.base.value)});
  const DaemonId& self = this->registration.session.daemon;
  if (!CheckedVersion(transaction, SessionKey(self))) {
    transaction.checks.push_back({SessionKey(self), this->session_version});
  }
  if (next.changes_settings) {
    transaction.puts.push_back({SettingsKey(), std::move(next.text)});
  }
  transaction.puts.push_back({OperationKey(self), next.operation_id});
  next.lease =
      this->adopted_revision.value > 0 ? this->lease : this->options.max_lease;
  next.older_proofs_expire_at = this->older_proofs_expire_at;
  next.last_sent = now;
  next.send_count = 1;
  actions.emplace_back(SendWrite{transaction});
}

SettingsActions SettingsLease::OnWriteAnswer(const std::string& operation_id,
                                             const CommitAnswer& answer,
                                             Instant now) {
  SettingsActions actions;
  if (!this->HasUnresolvedWrite() ||
      this->write->operation_id != operation_id) {
    return actions;
  }
  if (answer.outcome == CommitOutcome::kCommitted) {
    const auto registry_version = VersionOf(answer.versions, RegistryKey());
    if (registry_version) {
      this->UpdateKnownRegistry(RegistryVersion(registry_version->value), now);
    }
    const auto revision = VersionOf(answer.versions, SettingsKey());
    this->Commit(Revision(revision ? revision->value : 0), now, actions);
    this->StartRead(now, actions);
    return actions;
  }
  // If the table dropped the operation id, a resent write conflicts with the
  // effect of its own first attempt. Row "operation/<daemon>" shows whether the
  // write took effect.
  if (answer.outcome == CommitOutcome::kConflict &&
      this->write->send_count == 1) {
    this->Resolve(WriteState::kConflict, actions);
  }
  this->StartRead(now, actions);
  return actions;
}

void SettingsLease::ResolveFromRead(const StoreRead& read,
                                    Instant now,
                                    SettingsActions& actions) {
  if (!this->HasUnresolvedWrite()) {
    return;
  }
  if (read.last_operation == this->write->operation_id) {
    // The row may have changed again since. The revision read contains this
    // write too, but the revisions between them may have had any lease.
    this->write->lease = this->options.max_lease;
    this->Commit(read.revision, now, actions);
    return;
  }
  // While the checked rows are unchanged, a request in transit can still
  // commit, so the write stays outstanding.
  const TableTransaction& sent = this->write->transaction;
  const DaemonId& self = this->registration.session.daemon;
  const auto settings = CheckedVersion(sent, SettingsKey());
  const auto registry = CheckedVersion(sent, RegistryKey());
  const auto session = CheckedVersion(sent, SessionKey(self));
  const bool checked_rows_changed =
      (settings && settings->value < read.revision.value) ||
      (registry && registry->value < read.registry.version.value) ||
      (session && *session < read.session_version);
  if (checked_rows_changed) {
    this->Resolve(WriteState::kConflict, actions);
  }
}

// Writes to other rows may lie between two versions of the settings row, so the
// revision of a write cannot be computed here; the table reports it.
void SettingsLease::Commit(Revision written,
                           Instant now,
                           SettingsActions& actions) {
  settings_lease_internal::Write& done = *this->write;
  // Every other proof is one of the base revision, whose lease is known, or
  // expires by older_proofs_expire_at, as it was when the write was sent.
  done.in_force_at =
      std::max(done.older_proofs_expire_at, now + UpperBound(done.lease));
  if (done.changes_settings) {
    done.revision = written;
    this->UpdateKnownRevision(written, now);
  }
  this->Resolve(WriteState::kCommitted, actions);
}

void SettingsLease::Resolve(WriteState state, SettingsActions& actions) {
  settings_lease_internal::Write& done = *this->write;
  done.resolved = true;
  done.committed = state == WriteState::kCommitted;
  done.not_sent = state == WriteState::kNotSent;
  actions.emplace_back(WriteChanged{done.operation_id, state, done.revision});
}

WriteState SettingsLease::StateOfWrite(const std::string& operation_id,
                                       Instant now) const {
  if (!this->write || this->write->operation_id != operation_id) {
    return WriteState::kNone;
  }
  if (!this->write->resolved) {
    return WriteState::kUnknown;
  }
  if (!this->write->committed) {
    return this->write->not_sent ? WriteState::kNotSent : WriteState::kConflict;
  }
  return now >= this->write->in_force_at ? WriteState::kInForce
                                         : WriteState::kCommitted;
}

bool SettingsLease::IsInForce(Revision revision, Instant now) const {
  return revision <= this->known_revision &&
         now >= this->older_proofs_expire_at;
}

//-----------------------------------------------------------------------------
// [SECTION] Provisional restrictions
//-----------------------------------------------------------------------------

void SettingsLease::OnRestriction(const ProvisionalRestriction& restriction,
                                  Instant now) {
  settings_lease_internal::Restriction entry;
  entry.kind = static_cast<int>(restriction.kind);
  entry.subject = restriction.subject;
  entry.value = restriction.value;
  entry.until = now + this->options.restriction_timeout;
  this->restrictions.try_emplace(
      std::pair(restriction.sender, restriction.sequence), std::move(entry));
}

void SettingsLease::OnRestrictionAdopted(const SessionId& sender,
                                         std::uint64_t sequence) {
  const auto found = this->restrictions.find(std::pair(sender, sequence));
  if (found != this->restrictions.end()) {
    found->second.adopted = true;
  }
}

bool SettingsLease::IsRestricted(RestrictionKind kind,
                                 const std::string& subject,
                                 Instant now) const {
  return std::any_of(this->restrictions.begin(), this->restrictions.end(),
                     [&](const auto& entry) {
                       return entry.second.kind == static_cast<int>(kind) &&
                              entry.second.subject == subject &&
                              !entry.second.adopted && now < entry.second.until;
                     });
}

std::optional<std::uint64_t> SettingsLease::RestrictedLimit(
    const std::string& team,
    Instant now) const {
  std::optional<std::uint64_t> lowest;
  for (const auto& [id, entry] : this->restrictions) {
    const bool applies =
        entry.kind == static_cast<int>(RestrictionKind::kLowerLimit) &&
        entry.subject == team && !entry.adopted && now < entry.until;
    if (applies) {
      lowest = std::min(lowest.value_or(entry.value), entry.value);
    }
  }
  return lowest;
}

//-----------------------------------------------------------------------------
// [SECTION] Right to act
//-----------------------------------------------------------------------------

std::optional<Instant> SettingsLease::ProofExpiry() const {
  const bool usable = !this->stopped && !this->leaving && !this->rolled_back &&
                      this->proof &&
                      this->adopted_revision == this->known_revision &&
                      this->proof->revision == this->adopted_revision;
  if (!usable) {
    return std::nullopt;
  }
  return this->proof->at + ShortenForDrift(this->lease);
}

bool SettingsLease::MayAct(Instant now) const {
  const std::optional<Instant> expiry = this->ProofExpiry();
  return expiry && now < *expiry;
}

}  // namespace peridot
