// Lease on the settings: which revision this daemon may act on, and until when.
//
// Index:
//   [SECTION] Tunables
//   [SECTION] Registry
//   [SECTION] Inputs
//   [SECTION] Actions
//   [SECTION] Control writes
//   [SECTION] SettingsLease
//
// A daemon acts on revision R only while it holds a freshness proof: evidence
// that no later revision had been accepted at an instant t. The proof is valid
// until t + L by the daemon's own clock, where L is the lease of the revision
// (`settings_lease_ms`) shortened for clock drift. There are three sources of
// t, each a lower bound:
//   own read:      the instant at which the read was sent;
//   peer's proof:  the instant at which the probe was sent, less the age of the
//                  peer's proof, lengthened for drift;
//   statements:    the earliest instant at which a probe was sent to any of the
//                  registered daemons, all of which state that they have seen
//                  no later write and have no write outstanding.
//
// The revision is the version of row "settings"; the registry version is the
// version of row "registry". Registration, fence and leave are each one
// transaction over row "registry" and row "session/<daemon>", so that a read
// of the registry shows every session that may act.
//
// The module stores no settings document. It passes the text to the caller
// (AdoptSettings), which calls OnAdopted() once it has parsed the text.
//
// Use: pass every input with the current instant, execute the returned actions
// in order, call OnTick() at least every 50 ms, and call MayAct() in the same
// synchronous step that starts work; ProofExpiry() goes into `not_after`.
//
// Not thread-safe. All instants are those of the daemon's monotonic clock.

#ifndef SRC_COORDINATION_SETTINGS_LEASE_H_
#define SRC_COORDINATION_SETTINGS_LEASE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/coordination/settings_lease_internal.h"
#include "src/state/clock.h"
#include "src/state/error.h"
#include "src/state/ids.h"
#include "src/state/table_types.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Tunables
//-----------------------------------------------------------------------------

struct SettingsLeaseOptions {
  // Bounds of `settings_lease_ms`. A value outside them is clamped: a writer
  // waits at most max_lease for the expiry of proofs of an unknown lease.
  Duration min_lease = std::chrono::milliseconds(500);
  Duration max_lease = std::chrono::milliseconds(5000);

  // Two reads may be lost before a lease of 1.5 s expires.
  Duration read_period = std::chrono::milliseconds(500);
  // Minimum interval between extra reads, which follow a peer's report of a
  // later revision.
  Duration min_read_spacing = std::chrono::milliseconds(100);
  // Reads overlap, so that a store slower than read_period still yields proofs.
  int max_outstanding_reads = 4;
  // A read that takes longer than every lease can give no valid proof.
  Duration read_timeout = std::chrono::seconds(5);
  // An unresolved write is resent at this interval, under the same id.
  Duration write_retry = std::chrono::milliseconds(500);

  // A control write waits this long for the store to answer a read.
  Duration max_write_wait = std::chrono::seconds(2);

  // Statements extend proofs for at most this long after the last own read. A
  // new session that no peer acknowledges waits as long before it writes.
  Duration max_extension_without_store = std::chrono::minutes(15);
  // A provisional restriction that no revision contains ends after this time.
  Duration restriction_timeout = std::chrono::seconds(60);

  bool use_peer_proofs = true;  // accept proofs from peers
  bool use_statements = true;   // derive proofs from statements
};

//-----------------------------------------------------------------------------
// [SECTION] Registry
//-----------------------------------------------------------------------------

// The content of row "registry". Active sessions are those neither fenced nor
// superseded nor gone. A session that is leaving is still active.
struct RegistryView {
  RegistryVersion version;  // 0: the empty registry
  std::vector<SessionId> active;

  bool ContainsSession(const SessionId& session) const;
};

// The result of this session's registration.
struct Registration {
  SessionId session;        // this daemon and its new incarnation
  RegistryVersion version;  // of the registry that first lists the session
  Instant answered_at;      // when the registration was known to be committed
  // No session was active before, so no other daemon can extend a proof without
  // a statement of this one.
  bool first_member = false;
};

//-----------------------------------------------------------------------------
// [SECTION] Inputs
//-----------------------------------------------------------------------------

// One read transaction over "settings", "registry", "session/<daemon>" and
// "operation/<daemon>".
struct StoreRead {
  std::uint64_t read_id = 0;  // from SendRead
  Revision revision;          // version of row "settings"
  std::string text;           // value of row "settings"
  RegistryView registry;
  Incarnation incarnation;     // of the session row
  bool fenced = false;         // of the session row
  RowVersion session_version;  // of the session row
  std::string last_operation;  // id in row "operation/<daemon>", or empty
};

// Body of a probe reply.
struct FreshnessReply {
  std::uint64_t probe_id = 0;         // echo of the request
  Revision revision;                  // highest revision the sender has seen
  bool has_proof = false;             // false: no proof for the requester
  Duration proof_age{};               // when the reply was made, rounded up
  RegistryVersion registry_version;   // of the sender's copy of the registry
  bool no_outstanding_write = false;  // statement that extends proofs
  bool settled = false;               // the sender may make control writes
};

// A peer's copy of the settings and the registry, for a daemon that cannot read
// the store.
struct PeerDocument {
  Revision revision;  // of the text
  std::string text;
  RegistryView registry;
};

enum class RestrictionKind { kWithdrawKey, kZoneOut, kLowerLimit };

struct ProvisionalRestriction {
  RestrictionKind kind = RestrictionKind::kZoneOut;
  std::string subject;      // key, zone or team
  std::uint64_t value = 0;  // the limit, for kLowerLimit
  SessionId sender;
  std::uint64_t sequence = 0;  // unique per sender
};

//-----------------------------------------------------------------------------
// [SECTION] Actions
//-----------------------------------------------------------------------------

struct SendRead {
  std::uint64_t read_id = 0;
};
// Sends the transaction; the answer goes to OnWriteAnswer().
struct SendWrite {
  TableTransaction transaction;
};
struct SendProbe {
  SessionId peer;
  std::uint64_t probe_id = 0;
};
// Requests the PeerDocument of the peer.
struct FetchDocument {
  SessionId peer;
};
// The text of a later revision. Parse it and call OnAdopted().
struct AdoptSettings {
  Revision revision;
  std::string text;
};
enum class WriteState {
  kNone,       // no write with this id
  kUnknown,    // waits for a read, or was sent and has no known outcome
  kNotSent,    // never sent, because the store did not answer; no effect
  kConflict,   // did not and will not take effect
  kCommitted,  // accepted, not yet in force
  kInForce,    // no daemon can act on an older revision
};
// The state of a control write changed.
struct WriteChanged {
  std::string operation_id;
  WriteState state = WriteState::kUnknown;
  Revision revision;  // written by it; 0 unless committed
};
// A read returned a lower revision or registry version than an earlier one, or
// other text under the same revision. This daemon does not act until the store
// returns the earlier state again.
struct ReportStoreRollback {
  Revision seen;
  Revision shown;
  RegistryVersion registry_seen;
  RegistryVersion registry_shown;
};
// The session is fenced or superseded and must not act again.
struct StopSession {};

using SettingsAction = std::variant<SendRead,
                                    SendWrite,
                                    SendProbe,
                                    FetchDocument,
                                    AdoptSettings,
                                    WriteChanged,
                                    ReportStoreRollback,
                                    StopSession>;
using SettingsActions = std::vector<SettingsAction>;

//-----------------------------------------------------------------------------
// [SECTION] Control writes
//-----------------------------------------------------------------------------

enum class ControlWriteKind {
  kSettings,  // changes row "settings"
  kRegistry,  // fences a session
  kGone,      // ends this session, after OnLeave(); allowed before IsSettled()
};

struct ControlWrite {
  ControlWriteKind kind = ControlWriteKind::kSettings;
  std::string operation_id;  // unique over all daemons and incarnations
  Revision base;     // kSettings: the revision that the change is based on
  std::string text;  // kSettings: the new value of row "settings"
  // kRegistry, kGone: checks and puts of "registry" and "session/<daemon>".
  TableTransaction registry_change;
};

// Keys of the rows that this module reads and writes.
std::string SettingsKey();
std::string RegistryKey();
std::string SessionKey(const DaemonId& daemon);
// Written in the same transaction as each control write of the daemon. Only
// this daemon overwrites the row, so no later writer can hide the outcome.
std::string OperationKey(const DaemonId& daemon);

//-----------------------------------------------------------------------------
// [SECTION] SettingsLease
//-----------------------------------------------------------------------------

class SettingsLease {
 public:
  // Precondition: the registration is committed and read or answered.
  explicit SettingsLease(Registration registration,
                         SettingsLeaseOptions options = {});

  // Periodic work: reads, probes once half of the proof's lease has passed,
  // write retries.
  SettingsActions OnTick(Instant now);

  // Own reads. A read counts as sent at the instant of its SendRead action.
  SettingsActions OnRead(StoreRead read, Instant now);
  void OnReadFailed(std::uint64_t read_id);

  // Registers a probe that the membership module sends; returns its id, which
  // is unique over all incarnations of this daemon.
  std::uint64_t RegisterProbe(const SessionId& peer, Instant now);
  SettingsActions OnProbeReply(const SessionId& from,
                               const FreshnessReply& reply,
                               Instant now);
  FreshnessReply MakeProbeReply(const SessionId& requester,
                                std::uint64_t probe_id,
                                Instant now) const;
  SettingsActions OnPeerDocument(PeerDocument document, Instant now);

  // The caller has parsed the text of this revision and will act on it;
  // lease is its `settings_lease_ms`.
  void OnAdopted(Revision revision, Duration lease);

  // Starts a control write: a read, and the write once the store has answered
  // it. Errors: kPermission when the session is not settled, has stopped or is
  // leaving, kConflict when base is not the highest known revision,
  // kUnavailable while another write is unresolved or the latest settings are
  // not adopted.
  Result<SettingsActions> BeginWrite(ControlWrite write, Instant now);
  SettingsActions OnWriteAnswer(const std::string& operation_id,
                                const CommitAnswer& answer,
                                Instant now);
  // The state of the latest control write, if it has this id.
  WriteState StateOfWrite(const std::string& operation_id, Instant now) const;

  // Provisional restrictions; a repeated message changes nothing.
  void OnRestriction(const ProvisionalRestriction& restriction, Instant now);
  // The adopted text contains the restriction.
  void OnRestrictionAdopted(const SessionId& sender, std::uint64_t sequence);
  bool IsRestricted(RestrictionKind kind,
                    const std::string& subject,
                    Instant now) const;
  // The lowest provisional limit of the team, or none.
  std::optional<std::uint64_t> RestrictedLimit(const std::string& team,
                                               Instant now) const;

  // The session leaves: it stops acting and makes no more statements. A control
  // write kGone ends it.
  void OnLeave() { this->leaving = true; }

  // Whether this daemon may start work now under revision Held().
  bool MayAct(Instant now) const;
  // The instant until which this daemon may act; none without a valid proof.
  std::optional<Instant> ProofExpiry() const;

  Revision AdoptedRevision() const {
    return this->adopted_revision;
  }  // parsed by the caller
  Revision KnownRevision() const {
    return this->known_revision;
  }  // highest seen
  const RegistryView& Registry() const { return this->registry; }
  const SessionId& Session() const { return this->registration.session; }
  // Whether the session may make control writes.
  bool IsSettled(Instant now) const;
  // Whether no daemon can act on a revision below this one.
  bool IsInForce(Revision revision, Instant now) const;
  // Whether a PeerDocument of the adopted text may be served: no higher
  // revision may be known to this daemon.
  bool CanServeDocument() const;
  bool HasStopped() const { return this->stopped; }

 private:
  void UpdateKnownRevision(Revision revision, Instant now);
  void UpdateKnownRegistry(RegistryVersion version, Instant now);
  void ApplyDocument(Revision revision,
                     std::string text,
                     const RegistryView& view,
                     Instant now,
                     SettingsActions& actions);
  void RecordProof(Revision revision, Instant at);
  void ExtendProofFromStatements(Instant now);
  void StartRead(Instant now, SettingsActions& actions);
  void StartProbes(Instant now, SettingsActions& actions);
  void SendPreparedWrite(Instant now, SettingsActions& actions);
  void RetryWrite(Instant now, SettingsActions& actions);
  void ResolveFromRead(const StoreRead& read,
                       Instant now,
                       SettingsActions& actions);
  void Commit(Revision written, Instant now, SettingsActions& actions);
  void Resolve(WriteState state, SettingsActions& actions);
  std::uint64_t NextId();
  bool HasUnresolvedWrite() const;
  bool IsFenced(const StoreRead& read) const;
  bool IsRolledBack(const StoreRead& read, Instant sent) const;

  Registration registration;
  SettingsLeaseOptions options;
  std::uint64_t next_id = 0;
  bool stopped = false;  // fenced or superseded
  bool leaving = false;
  bool acknowledged = false;  // by a settled session of the registry
  bool rolled_back = false;   // the store returned older data than before

  Revision known_revision;
  Revision adopted_revision;
  Revision requested_revision;  // latest one passed in AdoptSettings
  std::uint64_t requested_digest = 0;
  Duration lease{};  // of the adopted revision
  Instant known_since{};
  // Every proof of a revision below known_revision has expired by this instant.
  Instant older_proofs_expire_at{};
  std::optional<settings_lease_internal::Proof> proof;

  RegistryView registry;
  RegistryVersion registry_known;
  Instant registry_known_since{};
  RowVersion session_version;

  std::optional<Instant>
      last_answered_read_sent;  // of the latest answered read
  std::optional<Instant> last_read_sent;
  std::optional<Instant> last_probe_sent;
  std::map<std::uint64_t, Instant> reads;  // outstanding
  std::map<std::uint64_t, settings_lease_internal::Probe> probes;
  std::map<SessionId, settings_lease_internal::Statement> statements;
  std::optional<settings_lease_internal::Write> write;
  settings_lease_internal::RestrictionTable restrictions;
};

}  // namespace peridot

#endif  // SRC_COORDINATION_SETTINGS_LEASE_H_
