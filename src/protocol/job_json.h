// JSON format of the program's own rows in the store: jobs, their progress, the
// owner's lease and the progress of maintenance waves.
//
// Index:
//   [SECTION] Jobs
//   [SECTION] Owner
//   [SECTION] Maintenance waves
//
// Decoders reject an invalid row; they do not substitute defaults for invalid
// values. All functions are thread-safe.

#ifndef SRC_PROTOCOL_JOB_JSON_H_
#define SRC_PROTOCOL_JOB_JSON_H_

#include <string>
#include <string_view>
#include <vector>

#include "src/coordination/host_planner.h"
#include "src/coordination/job.h"
#include "src/coordination/owner_lease.h"
#include "src/state/error.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Jobs
//-----------------------------------------------------------------------------

// Limits of a job. Jobs that exceed them are rejected when they are submitted.
inline constexpr int kMaxStepsPerJob = 64;
inline constexpr int kMaxTasksPerStep = 10000;
inline constexpr std::size_t kMaxPayloadBytes = 4000;

// Returns a description of the first rule that the job violates; empty if the
// job is valid.
std::string CheckJobSpec(const JobSpec& spec);

std::string EncodeJob(const AcceptedJob& job);
Result<AcceptedJob> DecodeJob(std::string_view text);

std::string EncodeProgress(const JobProgress& progress);
Result<JobProgress> DecodeProgress(std::string_view text);

// Returns a stable lower-case name, as in "completed".
const char* JobStateName(JobState state);

//-----------------------------------------------------------------------------
// [SECTION] Owner
//-----------------------------------------------------------------------------

std::string EncodeOwner(const OwnerRow& row);
Result<OwnerRow> DecodeOwner(std::string_view text);

std::string EncodeUsedEndpoints(const std::vector<UsedEndpoint>& endpoints);
Result<std::vector<UsedEndpoint>> DecodeUsedEndpoints(std::string_view text);

// The services of each moved queue. A record that exceeds `max_bytes` is
// encoded as unknown, which is valid for any moves.
std::string EncodeQueueMoves(const QueueMoves& moves, std::size_t max_bytes);
Result<QueueMoves> DecodeQueueMoves(std::string_view text);

//-----------------------------------------------------------------------------
// [SECTION] Maintenance waves
//-----------------------------------------------------------------------------

// Host orders that the owner may have sent, with the time of the store's clock
// after which they were not sent.
std::string EncodeHostOrders(const std::map<HostId, std::int64_t>& latest_ms);
Result<std::map<HostId, std::int64_t>> DecodeHostOrders(std::string_view text);

// A stored wave. Its first_seen is a time of the store's clock, because the
// clocks of two owners differ; progress.first_seen is not stored.
struct WaveRow {
  WaveProgress progress;
  std::int64_t first_seen_ms = 0;  // 0: unknown
};
std::string EncodeWave(const WaveRow& row);
Result<WaveRow> DecodeWave(std::string_view text);

}  // namespace peridot

#endif  // SRC_PROTOCOL_JOB_JSON_H_
