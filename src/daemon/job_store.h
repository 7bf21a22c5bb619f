// Where jobs lie in the store, and the writer that accepts them.
//
// Index:
//   [SECTION] Layout
//   [SECTION] JobWriter
//   [SECTION] Reads
//
// A job is accepted when its row has been written under the condition that it
// did not exist, so that a repeated submission stays one job. Submissions that
// come while a write is under way share the next one.

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
inline constexpr char kOwnerTable[] = "owner";
inline constexpr char kOwnerPart[] = "owner";
inline constexpr char kOwnerKey[] = "lease";
inline constexpr char kUsedTable[] = "used_endpoints";
inline constexpr char kUsedKey[] = "all";

// Parts of the tables that all daemons write: the store handles the
// transactions of one part one after another.
std::vector<std::string> JobParts();
std::string PartOf(const JobId& id);

//-----------------------------------------------------------------------------
// [SECTION] JobWriter
//-----------------------------------------------------------------------------

struct JobWriterConfig {
  // Refusals of the store are tried again for this long; a later refusal helps
  // the caller less than an early one.
  Milliseconds patience{120};  // default: 120 ms
  Milliseconds retry{30};      // default: 30 ms
  // A write without an answer is repeated once if the caller can still wait.
  Milliseconds repeat_within{1700};  // default: 1700 ms
  std::size_t max_batch = 50;  // default: 50 jobs; the store takes 100 entries
};

enum class AcceptResult {
  kAccepted,  // stored, now or earlier
  kNotRun,    // not stored, and never will be
  kUnknown,   // may be stored
};

// Not thread-safe: lives on the loop's thread.
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
    bool uncertain = false;  // an earlier write got no answer
    int conflicts = 0;
    std::vector<Callback> callbacks;
  };
  struct Lane {
    std::deque<Entry> waiting;
    std::vector<Entry> writing;
    bool open = false;
  };

  void Flush(const std::string& part);
  void OnReply(const std::string& part, const StoreReply& reply);
  void Answer(Entry* entry, AcceptResult result);

  EventLoop* loop;
  const FleetPorts* ports;
  JobWriterConfig config;
  std::map<std::string, Lane> lanes;  // by part
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
