// Layout of the job tables in the store, the writer that accepts jobs, and
// reads of their state.
//
// Index:
//   [SECTION] Layout
//   [SECTION] JobWriter
//   [SECTION] Reads
//
// A job is accepted when its row has been written under the condition that it
// did not exist, so that a repeated submission results in one job. Submissions
// that arrive during a write share the next one.
//
// A refusal for lack of capacity is a row under the same key and condition.
// Another daemon may still be writing an earlier submission of the id whose
// caller got no answer; that write then fails. A submission replaces the
// refusal only if its daemon knew of a store version as new as the refusal when
// the submission arrived, so that the submission came after the refusal.
//
// The cancellation of an id without a job is a refusal that no submission
// replaces: a submission of the id may have reached a daemon that stands still,
// or be on its way, for any time.

#ifndef SRC_DAEMON_JOB_STORE_H_
#define SRC_DAEMON_JOB_STORE_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/daemon/fleet_ports.h"
#include "src/transport/event_loop.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Layout
//-----------------------------------------------------------------------------

inline constexpr char kJobTable[] = "jobs";
inline constexpr char kCancelTable[] = "cancels";
inline constexpr char kProgressTable[] = "progress";
inline constexpr char kWaveTable[] = "waves";
inline constexpr char kHostOrderTable[] = "host_orders";
inline constexpr char kHostOrderKey[] = "recent";
inline constexpr char kOwnerTable[] = "owner";
inline constexpr char kOwnerPart[] = "owner";
inline constexpr char kOwnerKey[] = "lease";
inline constexpr char kUsedTable[] = "used_endpoints";
inline constexpr char kQueueMoveTable[] = "queue_moves";
inline constexpr char kQueueMoveKey[] = "recent";

// Returns the parts of the tables that all daemons write. The store executes
// the transactions of one part sequentially.
std::vector<std::string> JobParts();
std::string PartOf(const JobId& id);
// Returns the key of a row of the job's progress.
StoreKey ProgressKey(const JobId& id, const ProgressBlock& block);

//-----------------------------------------------------------------------------
// [SECTION] JobWriter
//-----------------------------------------------------------------------------

struct JobWriterConfig {
  // How long writes that the store refused are retried. Kept short, because an
  // early refusal is more useful to the caller than a late one.
  Milliseconds retry_window{120};
  Milliseconds retry_delay{30};
  // Age of a submission up to which a write without an answer is repeated. It
  // allows one repetition while the caller still waits.
  Milliseconds resend_window{1700};
  std::size_t max_batch = 50;  // jobs; each takes 2 of a call's 100 entries
  StoreLimits store;
};

enum class AcceptResult {
  kAccepted,   // stored, by this call or earlier
  kNotRun,     // not stored, and never will be
  kUnknown,    // may be stored
  kTooLarge,   // not stored: the job exceeds a row of the store
  kRefused,    // a refusal is stored instead: not run, and never will be
  kCancelled,  // the id was cancelled before: not run, and never will be
};

// Not thread-safe: use it on the event loop's thread only.
class JobWriter {
 public:
  using Callback = std::function<void(AcceptResult)>;

  JobWriter(EventLoop* loop, const FleetPorts* ports, JobWriterConfig config);
  ~JobWriter();
  JobWriter(const JobWriter&) = delete;
  JobWriter& operator=(const JobWriter&) = delete;

  // A reply of the store named this version.
  void OnStoreVersion(RowVersion version);
  // The newest version that a reply has named.
  RowVersion NewestVersion() const { return this->newest; }

  // Calls back once, from the loop.
  void Accept(const AcceptedJob& job, Callback done);
  // As above for a submission that arrived when the newest version was `known`.
  void Accept(const AcceptedJob& job, RowVersion known, Callback done);

  // Stores that the id is refused unless a job is stored under it (kAccepted)
  // or a submission of it is being written here (the result of that). Otherwise
  // kRefused; kNotRun and kUnknown if the refusal may be missing. Calls back
  // once, from the loop.
  void Refuse(const JobId& id, Callback done);

  // Stores that no submission of the id is accepted any more (kCancelled),
  // unless a job is stored under it (kAccepted). Any other result is that of a
  // submission or refusal of the id that is being written here, or says that
  // the cancellation may be missing. Calls back once, from the loop.
  void CancelUnstored(const JobId& id, Callback done);

 private:
  enum class EntryKind { kJob, kRefusal, kCancellation };

  struct Entry {
    JobId id;
    std::string row;
    Instant arrived{};
    EntryKind kind = EntryKind::kJob;
    RowVersion known;            // newest version when the call arrived
    RowVersion expected;         // of the refusal to replace; 0: no row
    bool maybe_written = false;  // an earlier write was not answered
    bool repeated = false;       // after a conflict
    int conflicts = 0;           // that no row explains
    std::vector<Callback> callbacks;
  };
  struct PartQueue {
    std::deque<Entry> waiting;
    std::vector<Entry> writing;
    bool write_in_progress = false;
  };

  // Adds the entry unless there is one with its id; the caller then gets the
  // result of that one.
  void Add(Entry entry, Callback done);
  // Processes the row that the store holds under the entry's key: returns the
  // result, or none if the write is to be repeated.
  static std::optional<AcceptResult> ResolveConflict(Entry* entry,
                                                     const StoreRow& row);
  void Flush(const std::string& part);
  void OnReply(const std::string& part, const StoreReply& reply);
  void Answer(Entry* entry, AcceptResult result);
  // Result of an entry whose row has been stored.
  static AcceptResult StoredResult(EntryKind kind);

  EventLoop* loop;
  const FleetPorts* ports;
  JobWriterConfig config;
  RowVersion newest;                             // that a reply has named
  std::map<std::string, PartQueue> part_queues;  // by part
  std::shared_ptr<bool> alive;
};

//-----------------------------------------------------------------------------
// [SECTION] Reads
//-----------------------------------------------------------------------------

enum class LookUpResult { kFound, kUnknownJob, kUnavailable };

// Reads the state of a job from its rows. Calls back once, from the loop.
void LookUpState(const FleetPorts& ports,
                 const JobId& id,
                 std::function<void(LookUpResult, JobState)> done);

// Stores that a job is cancelled. kFound: it is stored. kUnknownJob: there is
// no job; use JobWriter::CancelUnstored() before saying so to the caller.
void StoreCancel(const FleetPorts& ports,
                 const JobId& id,
                 std::function<void(LookUpResult)> done);

}  // namespace peridot

#endif  // SRC_DAEMON_JOB_STORE_H_
