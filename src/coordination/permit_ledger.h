// Upper limits: the permits of one team at one daemon.
//
// Index:
//   [SECTION] Tunables
//   [SECTION] Messages
//   [SECTION] Actions
//   [SECTION] PermitLedger
//
// A daemon owns one PermitLedger per team for the lifetime of its session. The
// caller passes inputs and executes the returned actions in order:
//
//   if (ledger.TryAcquire()) { /* start the task */ }
//   ...
//   ledger.Release();                        // the attempt has ended
//   Run(ledger.OnDemand(waiting, now));      // the queue's length changed
//   Run(ledger.OnTick(now));                 // every kPermitTick
//
// How the limit is enforced. Row permits/<team> holds an epoch, a limit and the
// member sessions. Within an epoch the permits granted by the row sum to at
// most the limit, and they move between members by transfers that the sender
// subtracts before it sends them. A new epoch begins with a count: each member
// adopts it, stops transfers, and reports its permits; the row opens again only
// with the report of every member and a sum of at most the limit. A member
// leaves the row only when its permits have lapsed: its session was fenced, and
// the settings lease and the owner lease have expired since.
//
// A transfer carries the total number of permits that its sender has
// transferred to its receiver in this epoch, so a repeated or reordered
// transfer changes nothing and a lost one is corrected by the next. Both ends
// are identified by session, so a restarted daemon never accepts a transfer
// that was sent to its earlier incarnation.
//
// Not thread-safe. No input blocks, reads a clock or does I/O.

#ifndef SRC_COORDINATION_PERMIT_LEDGER_H_
#define SRC_COORDINATION_PERMIT_LEDGER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/coordination/permit_ledger_internal.h"
#include "src/state/clock.h"
#include "src/state/ids.h"
#include "src/state/table_types.h"
#include "src/state/units.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Tunables
//-----------------------------------------------------------------------------

// Period of OnTick. Permits of ended tasks wait at most this long for a
// transfer.
inline constexpr Duration kPermitTick = std::chrono::milliseconds(20);

struct PermitTunables {
  // Shortest time between two demands: more than a round trip in one region.
  Duration demand_interval = std::chrono::milliseconds(10);
  // First repeat of an unmet demand; it doubles up to the longest one.
  Duration demand_repeat = std::chrono::milliseconds(50);
  Duration demand_repeat_max = std::chrono::milliseconds(1000);
  // The demand of a peer is valid this long: three of the longest repeats.
  Duration demand_valid = std::chrono::seconds(3);
  // A peer whose last message is not older than this is sent permits without a
  // prior demand request. A request costs one round trip; permits sent to a
  // peer that has just crashed are unusable until they are reclaimed.
  Duration recent_contact = std::chrono::milliseconds(20);
  // A peer that leaves a demand request or a transfer unanswered for this time
  // gets no permits until it sends a message: more than two repeats, less than
  // a second.
  Duration peer_timeout = std::chrono::milliseconds(300);
  // Repeat of a transfer or a report that has not been answered.
  Duration message_repeat = std::chrono::milliseconds(100);
  // A read or a transaction without an answer is abandoned after this time.
  Duration answer_timeout = std::chrono::milliseconds(500);
  // Period of reading the row when nothing else requires a read.
  Duration row_poll = std::chrono::seconds(5);
  // The same for a daemon that has demand and is not a member yet.
  Duration join_poll = std::chrono::milliseconds(100);
  // Delay per rank before a member writes a row that every member would write.
  Duration proposal_stagger = std::chrono::milliseconds(40);
};

// The longest leases that a daemon may still act on: the maximum over the
// revision in force and every later one.
struct LeaseBounds {
  Duration settings_lease = std::chrono::milliseconds(1500);
  Duration owner_lease = std::chrono::milliseconds(2000);
};

struct PermitLedgerConfig {
  TeamId team;
  SessionId self;
  LeaseBounds leases;
  PermitTunables tunables;
};

//-----------------------------------------------------------------------------
// [SECTION] Messages
//-----------------------------------------------------------------------------

// Fields of every message between two ledgers of one team.
struct PermitHeader {
  SessionId from;
  SessionId to;            // any other session drops the message
  PermitEpoch epoch;       // epoch of the sender
  RowVersion row_version;  // row version of the sender
};

// The permits that the sender can use, and the acknowledgment of transfers.
struct PermitDemand {
  PermitHeader header;
  PermitCount wanted;  // running and waiting tasks
  PermitCount held;
  PermitCount received;  // total from `to` in this epoch
  bool ask = false;      // the receiver replies with a demand
};

// Transferred permits. The sender subtracts them before it sends the message.
struct PermitTransfer {
  PermitHeader header;
  PermitCount given;  // total to `to` in this epoch
};

// The permits of the sender in an epoch that is being counted.
struct PermitReport {
  PermitHeader header;
  PermitCount count;  // never rises within an epoch
  PermitCount wanted;
};

// The last row of the sender, for a peer that has an older one or cannot reach
// the store.
struct PermitRowNotice {
  PermitHeader header;
  TableRow row;
};

using PermitMessage =
    std::variant<PermitDemand, PermitTransfer, PermitReport, PermitRowNotice>;

const PermitHeader& HeaderOf(const PermitMessage& message);

//-----------------------------------------------------------------------------
// [SECTION] Actions
//-----------------------------------------------------------------------------

// Read the row and call OnRowRead, with version 0 if it does not exist.
struct ReadPermitRow {
  std::string key;
};

// Run the transaction and call OnTransactAnswer.
struct TransactPermits {
  TableTransaction transaction;
};

// Send to the session header.to. Loss, repetition and reordering are allowed.
struct SendPermitMessage {
  PermitMessage message;
};

// Checkpoint or stop this many running tasks by the team's policy.
struct StopExcess {
  PermitCount count;
};

// From now on the team does not exceed this limit.
struct LimitInForce {
  Revision revision;
  PermitCount limit;
};

using PermitAction = std::variant<ReadPermitRow,
                                  TransactPermits,
                                  SendPermitMessage,
                                  StopExcess,
                                  LimitInForce>;
using PermitActions = std::vector<PermitAction>;

//-----------------------------------------------------------------------------
// [SECTION] PermitLedger
//-----------------------------------------------------------------------------

class PermitLedger {
 public:
  explicit PermitLedger(PermitLedgerConfig config);

  // Takes a permit for one start. Allocates nothing. The caller must also check
  // that its settings are current: a permit alone does not allow a start.
  bool TryAcquire();

  // Returns the permit of an attempt that is known to have ended or never to
  // start. Allocates nothing. Precondition: an unreleased permit.
  void Release();

  // Takes over up to `count` running attempts of a fenced session together with
  // their permits. Returns how many may continue; the caller stops the others
  // before it renews the lease of their endpoint.
  PermitCount AdoptRunning(const SessionId& fenced, PermitCount count);

  // Tasks that wait for a permit now.
  PermitActions OnDemand(PermitCount waiting, Instant now);

  // The team's limit and the revision that last changed it. Older revisions
  // are ignored.
  PermitActions OnLimit(PermitCount limit, Revision revision, Instant now);

  PermitActions OnRowRead(const TableRow& row, Instant now);
  PermitActions OnTransactAnswer(const std::string& operation_id,
                                 const CommitAnswer& answer,
                                 Instant now);
  PermitActions OnMessage(const PermitMessage& message, Instant now);

  // The table showed at `now` that the session is fenced or superseded. If it
  // is the own session of the ledger, no permit can be used any more.
  PermitActions OnSessionFenced(const SessionId& session, Instant now);

  // The session has written state `gone`: it runs no task and never will.
  PermitActions OnSessionGone(const SessionId& session, Instant now);

  // Version of the own unfenced session row, which each write checks; 0: not
  // checked. After a write that failed this check the ledger writes nothing
  // until the next call.
  void OnSessionRow(RowVersion version);
  void OnLeaseBounds(const LeaseBounds& bounds);
  PermitActions OnTick(Instant now);

  // The member sessions in the last known row.
  const std::vector<PermitMember>& Members() const { return this->row.members; }
  PermitCount Held() const { return this->held; }
  PermitCount InUse() const { return this->in_use; }
  PermitEpoch Epoch() const { return this->epoch; }
  bool IsOpen() const { return this->open; }
  std::int64_t MalformedRows() const { return this->malformed_rows; }

 private:
  struct Peer {
    PermitCount wanted;  // last demand or report
    PermitCount held;
    Instant last_heard_at{};   // last message; Instant{}: never
    PermitCount sent;          // total this epoch
    PermitCount acknowledged;  // of sent
    PermitCount received;      // total this epoch
    Instant transfer_sent{};   // Instant{}: never
    std::optional<Instant>
        unanswered_request_since;       // first unanswered request or transfer
    std::optional<PermitCount> report;  // in this epoch
  };

  // Row and epoch.
  void ApplyRow(const TableRow& table_row, Instant now);
  void BeginEpoch(const PermitRow& next);
  void OpenEpoch(const PermitRow& next);
  void RecordSupersededSessions(const PermitRow& next, Instant now);
  void RequestRow(Instant now, PermitActions& actions);
  void SendRow(const SessionId& to, PermitActions& actions) const;
  void BroadcastRow(PermitActions& actions) const;
  void AnnounceLimit(PermitActions& actions);

  // Proposals: what the next row should be.
  std::optional<PermitRow> NextRow(Instant now) const;
  PermitRow CountingRow(Instant now) const;
  std::optional<PermitRow> RowAfterCount() const;
  PermitRow RaisedRow() const;
  bool IsReclaimDue(Instant now) const;
  bool HasLapsed(const SessionId& session, Instant now) const;
  Duration ProposalDelay(Instant now) const;
  void Propose(Instant now, PermitActions& actions);
  void GrantExtra(PermitRow& next, PermitCount extra) const;

  // Messages.
  void OnBody(const PermitDemand& demand, Instant now, PermitActions& actions);
  void OnBody(const PermitTransfer& transfer,
              Instant now,
              PermitActions& actions);
  void OnBody(const PermitReport& report, Instant now, PermitActions& actions);
  void OnBody(const PermitRowNotice& notice,
              Instant now,
              PermitActions& actions);
  void CompareRows(const PermitHeader& header,
                   Instant now,
                   PermitActions& actions);
  void SendDemand(const SessionId& to, bool ask, PermitActions& actions) const;
  void SendDemands(Instant now, PermitActions& actions);
  void SendReports(Instant now, PermitActions& actions);
  void SendTransfers(Instant now, PermitActions& actions);
  void SendTransfer(const SessionId& to,
                    Peer& peer,
                    Instant now,
                    PermitActions& actions) const;
  void RequestDemand(const SessionId& to,
                     Peer& peer,
                     Instant now,
                     PermitActions& actions) const;
  void RequestStops(PermitActions& actions);

  PermitHeader Header(const SessionId& to) const;
  bool IsMember() const { return this->row.Find(this->config.self) != nullptr; }
  bool CanTransfer() const;
  PermitCount Wanted() const;
  PermitCount WantedBy(const SessionId& session, Instant now) const;
  PermitCount ReportCount() const;
  std::vector<PermitCount> Targets(Instant now) const;

  PermitLedgerConfig config;
  RowVersion session_version;  // 0: not checked
  bool session_lost = false;   // own session row has changed
  PermitRow row;
  bool row_known = false;
  bool read_required = false;  // no proposal until the row is read
  PermitEpoch epoch;
  bool open = false;               // false while counting
  bool fenced = false;             // own session
  PermitCount held;                // free and in use
  PermitCount in_use;              // may exceed held after adoption
  PermitCount granted;             // by the row, already in held
  PermitCount reserved_for_peers;  // of held, reserved for other members
  PermitCount waiting;
  PermitCount limit;
  Revision limit_revision;  // 0: not known
  Revision announced_revision;
  PermitCount stops_requested;  // in this epoch
  std::map<SessionId, Peer> peers;
  std::map<SessionId, Instant> lapse_at;  // when fenced or gone sessions lapse
  std::optional<Instant> read_sent;
  Instant row_applied_at{};       // Instant{}: never
  std::string pending_operation;  // empty: none outstanding
  Instant pending_since{};        // Instant{}: never
  PermitRow pending_row;
  std::optional<Instant> proposal_due;
  std::uint64_t next_operation = 1;
  Instant demand_sent{};  // Instant{}: never
  Duration demand_wait{};
  PermitCount announced_demand;  // demand last sent; 0: none
  Instant report_sent{};         // Instant{}: never
  std::int64_t malformed_rows = 0;
};

}  // namespace peridot

#endif  // SRC_COORDINATION_PERMIT_LEDGER_H_
