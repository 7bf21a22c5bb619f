// Settings in force, this daemon's session and its control writes.
//
// Index:
//   [SECTION] Results
//   [SECTION] SettingsTask
//
// Row "settings" contains only the digest of the document, so that the frequent
// reads that renew the proof are small. The document is in row
// "settings_document", which is written in the same transaction and read once
// per change.
//
// Owns the SettingsLease: registers the session, reads the settings and the
// registry, exchanges proofs with peers and writes changes. Implements the
// SettingsView that the dispatcher checks before every start.

#ifndef SRC_DAEMON_SETTINGS_TASK_H_
#define SRC_DAEMON_SETTINGS_TASK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "src/coordination/registry.h"
#include "src/coordination/settings_lease.h"
#include "src/daemon/daemon_config.h"
#include "src/daemon/peer_link.h"
#include "src/daemon/table_client.h"
#include "src/state/settings_tree.h"
#include "src/transport/event_loop.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Results
//-----------------------------------------------------------------------------

enum class ChangeResult {
  kInForce,      // no daemon acts on an older revision anymore
  kCommitted,    // written; in force within the settings lease
  kConflict,     // another change was written first; nothing was written
  kUnavailable,  // nothing was written
  kUnknown,      // sent; not confirmed within the time limit
};

struct ChangeAnswer {
  ChangeResult result = ChangeResult::kUnavailable;
  Revision revision;    // written, or the actual one after a conflict
  std::string message;  // reason of a refusal
};

//-----------------------------------------------------------------------------
// [SECTION] SettingsTask
//-----------------------------------------------------------------------------

// Not thread-safe: use it on the event loop's thread only.
class SettingsTask {
 public:
  struct Hooks {
    std::function<void()> on_registered;  // the session is registered
    std::function<void()> on_settings;    // a new revision was adopted
    std::function<void()> on_registry;    // the registry changed
    std::function<void()> on_stopped;     // the session was fenced
  };
  using ChangeCallback = std::function<void(ChangeAnswer)>;

  SettingsTask(EventLoop* loop,
               TableClient* table,
               PeerLink* peers,
               const DaemonConfig* config,
               Hooks hooks);

  // Registers the session and retries until it succeeds.
  void Start();

  // Removes the session from the registry, then calls done, at the latest after
  // the limit.
  void Leave(Duration limit, std::function<void()> done);

  // SettingsView.
  const QueueSettings* FindQueue(std::string_view address) const;
  bool IsZoneIn(std::string_view zone) const;
  const TeamId* TeamOfKey(const KeyId& key) const;
  Instant ProofExpiry() const;

  // The adopted settings; null before the first.
  const SettingsTree* Tree() const {
    return this->tree ? &*this->tree : nullptr;
  }
  const Registry& KnownRegistry() const { return this->registry; }
  const SessionId& Session() const { return this->session; }
  // Time at which the latest read that KnownRegistry() reflects was sent.
  Instant RegistryReadSent() const { return this->registry_read_sent; }
  RowVersion SessionVersion() const { return this->session_version; }
  bool IsRegistered() const { return this->lease.has_value(); }
  // Returns whether this session may make control writes. Daemons that extend
  // their proofs with statements need the statement of every settled session.
  bool IsSettled() const {
    return this->lease && this->lease->IsSettled(this->loop->Now());
  }
  bool HasStopped() const { return this->lease && this->lease->HasStopped(); }
  std::optional<std::uint64_t> RestrictedLimit(const TeamId& team) const;

  // Writes new settings that are based on revision `base`. Calls back when the
  // change is in force or refused, or when the limit has passed.
  void ChangeSettings(const SettingsDocument& document,
                      Revision base,
                      Duration limit,
                      ChangeCallback callback);

  // Fences a session that no longer responds. Calls back with the result.
  void Fence(const SessionId& target, ChangeCallback callback);

  // Applies a restriction on all reachable daemons immediately, before the
  // change of settings that makes it permanent.
  void Restrict(RestrictionKind kind,
                const std::string& subject,
                std::uint64_t value);

  // Contents of the membership probes, which carry the freshness proofs.
  std::uint64_t RegisterProbe(const SessionId& peer);
  void OnProbeReply(const SessionId& from, const proto::ProbeReply& reply);
  void FillProbeReply(const SessionId& requester,
                      std::uint64_t probe_id,
                      proto::ProbeReply* reply) const;

 private:
  struct PendingWrite {
    std::string operation_id;
    Instant until{};
    ChangeCallback callback;
  };

  // A restriction that ends with the first adopted revision above its base.
  struct OpenRestriction {
    SessionId sender;
    std::uint64_t sequence = 0;
    Revision base;
  };

  void Register();
  void FinishRegistration(const RegistrationPlan& plan,
                          const Registry& before,
                          const CommitAnswer& answer);
  void CheckRegistered(const RegistrationPlan& plan, const Registry& before);
  void OnTick();
  void ExecuteActions(const SettingsActions& actions);
  void Execute(const SendRead& action);
  void Execute(const SendWrite& action);
  void Execute(const SendProbe& action);
  void Execute(const FetchDocument& action);
  void Execute(const AdoptSettings& action);
  void Execute(const WriteChanged& action);
  void Execute(const ReportStoreRollback& action);
  void Execute(const StopSession& action);
  void FetchSettings(Revision revision, const std::string& digest);
  void Adopt(Revision revision, const std::string& document);
  void OnRows(std::uint64_t read_id,
              Instant sent,
              const std::vector<TableRow>& rows);
  void BeginControlWrite(ControlWrite write,
                         Duration limit,
                         ChangeCallback callback);
  void ExpirePendingWrites();
  void CompleteWrite(const std::string& operation_id, ChangeAnswer answer);
  std::string NextOperationId();
  void HandleRestriction(const SessionId& from,
                         const proto::Envelope& envelope);
  void EndRestrictions();
  void SendDocument(const SessionId& to);

  EventLoop* loop;
  TableClient* table;
  PeerLink* peers;
  const DaemonConfig* config;
  Hooks hooks;
  std::optional<SettingsLease> lease;
  std::optional<SettingsTree> tree;
  std::string adopted_digest;  // of the document of `tree`
  // Document received from a peer, while the lease decides whether to adopt it.
  std::string peer_document;
  std::unordered_map<KeyId, TeamId> key_teams;
  Registry registry;
  Instant registry_read_sent{};
  SessionId session;
  RowVersion session_version;
  std::vector<PendingWrite> pending_writes;
  std::vector<OpenRestriction> open_restrictions;
  std::uint64_t next_operation = 1;
  std::uint64_t next_restriction = 1;
  bool leaving = false;
  std::string start_nonce;  // random; keeps ids unique across restarts
};

}  // namespace peridot

#endif  // SRC_DAEMON_SETTINGS_TASK_H_
