// Upper limits: the permits of one team as one daemon sees them.
//
// Index:
//   [SECTION] Tunables
//   [SECTION] Messages
//   [SECTION] Actions
//   [SECTION] PermitLedger
//
// A daemon owns one PermitLedger per team for the life of its session. The
// caller feeds inputs and carries out the actions that they return, in order:
//
//   if (ledger.TryAcquire()) { /* start the task */ }
//   ...
//   ledger.Release();                        // the attempt has ended
//   Run(ledger.OnDemand(waiting, now));      // the queue's length changed
//   Run(ledger.OnTick(now));                 // every kPermitTick
//
// How the limit holds. Row permits/<team> names an epoch, a limit and the
// member sessions. Within an epoch the permits granted by the row sum to at
// most the limit, and they move between members by transfers that the giver
// subtracts before it sends. A new epoch begins with a count: each member
// adopts it, stops transfers, and reports what it has; the row opens again only
// with every member's report and a sum of at most the limit. A member leaves
// the row only when its permits have lapsed: its session was fenced and the
// settings lease and the owner lease have run out since.
//
// A transfer carries the total that its giver has given to its taker in this
// epoch, so a repeated or reordered transfer changes nothing and a lost one is
// made good by the next. Both ends are named by session, so a restarted daemon
// never takes a transfer that was meant for its former incarnation.
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

// Period of OnTick. Ended tasks' permits wait at most this long for a transfer.
inline constexpr Duration kPermitTick = std::chrono::milliseconds(20);

struct PermitTunables {
  // Shortest time between two demands: more than a round trip in one region.
  Duration demand_interval = std::chrono::milliseconds(10);  // default: 10 ms
  // First repeat of an unmet demand; it doubles up to the longest one.
  Duration demand_repeat = std::chrono::milliseconds(50);        // 50 ms
  Duration demand_repeat_max = std::chrono::milliseconds(1000);  // 1 s
  // A peer's demand counts this long: three of the longest repeats.
  Duration demand_valid = std::chrono::seconds(3);  // default: 3 s
  // A peer heard within this time is given permits without a question first.
  // A question costs one round trip; a gift to a peer that has just died is
  // out of use until the reclaim.
  Duration heard_within = std::chrono::milliseconds(20);  // default: 20 ms
  // A peer that leaves a question or a transfer unanswered for this time gets
  // nothing until it is heard: more than two repeats, below a second.
  Duration silent_after = std::chrono::milliseconds(300);  // default: 300 ms
  // Repeat of a transfer or a report that has not been answered.
  Duration message_repeat = std::chrono::milliseconds(100);  // 100 ms
  // A read or a transaction without an answer is given up after this time.
  Duration answer_timeout = std::chrono::milliseconds(500);  // 500 ms
  // Period of reading the row when nothing else asks for it.
  Duration row_poll = std::chrono::seconds(5);  // default: 5 s
  // The same for a daemon that has demand and is not a member yet.
  Duration join_poll = std::chrono::milliseconds(100);  // default: 100 ms
  // Delay per rank before a member writes what every member would write.
  Duration proposal_stagger = std::chrono::milliseconds(40);  // 40 ms
};

// The longest leases that a daemon may still act on: the maximum over the
// revision in force and every later one.
struct LeaseBounds {
  Duration settings_lease = std::chrono::milliseconds(1500);  // 1.5 s
  Duration owner_lease = std::chrono::milliseconds(2000);     // 2 s
};

struct PermitLedgerConfig {
  TeamId team;              // default: empty
  SessionId self;           // default: none
  LeaseBounds leases;       // default: the schema's defaults
  PermitTunables tunables;  // default: as above
};

//-----------------------------------------------------------------------------
// [SECTION] Messages
//-----------------------------------------------------------------------------

// Fields of every message between two ledgers of one team.
struct PermitHeader {
  SessionId from;          // default: none
  SessionId to;            // default: none; another session drops the message
  PermitEpoch epoch;       // default: 0; the sender's epoch
  RowVersion row_version;  // default: 0; the sender's row
};

// What the sender would use, and the acknowledgment of transfers.
struct PermitDemand {
  PermitHeader header;   // default: see PermitHeader
  PermitCount wanted;    // default: 0; running and waiting tasks
  PermitCount held;      // default: 0
  PermitCount received;  // default: 0; total from `to` in this epoch
  bool ask = false;      // default: false; send back a demand
};

// Permits given. Subtracted from the sender before it is sent.
struct PermitTransfer {
  PermitHeader header;  // default: see PermitHeader
  PermitCount given;    // default: 0; total to `to` in this epoch
};

// What the sender has in an epoch that is being counted.
struct PermitReport {
  PermitHeader header;  // default: see PermitHeader
  PermitCount count;    // default: 0; never rises within an epoch
  PermitCount wanted;   // default: 0
};

// The row as the sender knows it, for a peer that knows an older one or cannot
// reach the store.
struct PermitRowNotice {
  PermitHeader header;  // default: see PermitHeader
  TableRow row;         // default: none
};

using PermitMessage =
    std::variant<PermitDemand, PermitTransfer, PermitReport, PermitRowNotice>;

const PermitHeader& HeaderOf(const PermitMessage& message);

//-----------------------------------------------------------------------------
// [SECTION] Actions
//-----------------------------------------------------------------------------

// Read the row and call OnRowRead, with version 0 if it does not exist.
struct ReadPermitRow {
  std::string key;  // default: empty
};

// Run the transaction and call OnTransactAnswer.
struct TransactPermits {
  TableTransaction transaction;  // default: empty
};

// Send to the session header.to. Loss, repetition and reordering are allowed.
struct SendPermitMessage {
  PermitMessage message;  // default: empty demand
};

// Checkpoint or stop this many running tasks by the team's policy.
struct StopExcess {
  PermitCount count;  // default: 0
};

// No daemon runs more than this limit from now on.
struct LimitInForce {
  Revision revision;  // default: 0
  PermitCount limit;  // default: 0
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

  // Takes a permit for one start. Allocates nothing. The caller also checks
  // freshness: a permit alone does not entitle to a start.
  bool TryAcquire();

  // Returns the permit of an attempt that is known to have ended or never to
  // start. Allocates nothing. Precondition: an unreleased permit.
  void Release();

  // Takes over up to `count` running attempts of a fenced session together with
  // their permits. Returns how many may go on running; the caller stops the
  // others before it renews their endpoint's lease.
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

  // The session is known to be fenced or superseded at `now`, in the table.
  // For the ledger's own session it ends all use of permits.
  PermitActions OnSessionFenced(const SessionId& session, Instant now);

  // The session has written state `gone`: it runs nothing and never will.
  PermitActions OnSessionGone(const SessionId& session, Instant now);

  // Version of the ledger's own unfenced session row, which each write checks;
  // 0: not checked. After a write that failed this check the ledger writes
  // nothing until the next call.
  void OnSessionRow(RowVersion version);
  void OnLeaseBounds(const LeaseBounds& bounds);
  PermitActions OnTick(Instant now);

  // The sessions that the row names, as far as it is known.
  const std::vector<PermitMember>& Members() const { return this->row.members; }
  PermitCount Held() const { return this->held; }
  PermitCount InUse() const { return this->in_use; }
  PermitEpoch Epoch() const { return this->epoch; }
  bool IsOpen() const { return this->open; }
  std::int64_t MalformedRows() const { return this->malformed_rows; }

 private:
  struct Peer {
    PermitCount wanted;                 // default: 0; last demand or report
    PermitCount held;                   // default: 0
    Instant heard{};                    // default: never
    PermitCount sent;                   // default: 0; total this epoch
    PermitCount acknowledged;           // default: 0; of sent
    PermitCount received;               // default: 0; total this epoch
    Instant transfer_sent{};            // default: never
    std::optional<Instant> asked;       // first question without an answer
    std::optional<PermitCount> report;  // default: none this epoch
  };

  // Row and epoch.
  void LearnRow(const TableRow& table_row, Instant now);
  void BeginEpoch(const PermitRow& next);
  void EnterOpen(const PermitRow& next);
  void NoteSuperseded(const PermitRow& next, Instant now);
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
  void GrantMore(PermitRow& next, PermitCount extra) const;

  // Messages.
  void OnBody(const PermitDemand& demand, Instant now, PermitActions& actions);
  void OnBody(const PermitTransfer& gift, Instant now, PermitActions& actions);
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
  void Ask(const SessionId& to,
           Peer& peer,
           Instant now,
           PermitActions& actions) const;
  void RequestStops(PermitActions& actions);

  PermitHeader Header(const SessionId& to) const;
  bool IsMember() const { return this->row.Find(this->config.self) != nullptr; }
  bool CanTransfer() const;
  PermitCount Wanted() const;
  PermitCount WantedBy(const SessionId& session, Instant now) const;
  PermitCount Count() const;
  std::vector<PermitCount> Targets(Instant now) const;

  PermitLedgerConfig config;
  RowVersion session_version;   // default: 0; not checked
  bool session_lost = false;    // default: false; own session row has changed
  PermitRow row;                // default: not known
  bool row_known = false;       // default: false
  bool must_read = false;       // default: false; no proposal until read
  PermitEpoch epoch;            // default: 0
  bool open = false;            // default: false; false while counting
  bool fenced = false;          // default: false; own session
  PermitCount held;             // default: 0; free and in use
  PermitCount in_use;           // default: 0; above held after adoption
  PermitCount granted;          // default: 0; of the row, already in held
  PermitCount owed;             // default: 0; of held, to other members
  PermitCount waiting;          // default: 0
  PermitCount limit;            // default: 0
  Revision limit_revision;      // default: 0; not known
  Revision announced_revision;  // default: 0
  PermitCount stops_requested;  // default: 0; in this epoch
  std::map<SessionId, Peer> peers;
  std::map<SessionId, Instant> lapse_at;  // fenced or gone sessions
  std::optional<Instant> read_sent;
  Instant row_learned{};                // default: never
  std::string pending_operation;        // default: empty; none outstanding
  Instant pending_since{};              // default: never
  PermitRow pending_row;                // default: none
  std::optional<Instant> proposal_due;  // default: none
  std::uint64_t next_operation = 1;     // default: 1
  Instant demand_sent{};                // default: never
  Duration demand_wait{};               // default: 0
  PermitCount told;                     // default: 0; demand last sent
  Instant report_sent{};                // default: never
  std::int64_t malformed_rows = 0;      // default: 0
};

}  // namespace peridot

#endif  // SRC_COORDINATION_PERMIT_LEDGER_H_
