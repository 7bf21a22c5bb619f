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

#ifndef SRC_DAEMON_JOB_STORE_H_
#define SRC_DAEMON_JOB_STORE_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
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
  kAccepted,  // stored, by this call or earlier
  kNotRun,    // not stored, and never will be
  kUnknown,   // may be stored
  kTooLarge,  // not stored: the job exceeds a row of the store
};

// Not thread-safe: use it on the event loop's thread only.
class JobWriter {
 public:
  using Callback = std::function<void(AcceptResult)>;

  JobWriter(EventLoop* loop, const FleetPorts* ports, JobWriterConfig config);
  ~JobWriter();
  JobWriter(const JobWriter&) = delete;
  JobWriter& operator=(const JobWriter&) = delete;

  // Calls back once, from the loop.
  void Accept(const AcceptedJob& job, Callback done);

 private:
  struct Entry {
    JobId id;
    std::string row;
    Instant arrived{};
    bool maybe_written = false;  // an earlier write was not answered
    int conflicts = 0;
    std::vector<Callback> callbacks;
  };
  struct PartQueue {
    std::deque<Entry> waiting;
    std::vector<Entry> writing;
    bool write_in_progress = false;
  };

  void Flush(const std::string& part);
  void OnReply(const std::string& part, const StoreReply& reply);
  void Answer(Entry* entry, AcceptResult result);

  EventLoop* loop;
  const FleetPorts* ports;
  JobWriterConfig config;
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

// Stores that a job is cancelled. kFound: it is stored.
void StoreCancel(const FleetPorts& ports,
                 const JobId& id,
                 std::function<void(LookUpResult)> done);

}  // namespace peridot

#endif  // SRC_DAEMON_JOB_STORE_H_
