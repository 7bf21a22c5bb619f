// Functions through which the fleet tasks use the platform.
//
// Index:
//   [SECTION] Store
//   [SECTION] Platform
//   [SECTION] Settings
//
// A platform adapter sets the functions; tests set fakes. Every callback is
// called exactly once, from the event loop and never from within the call.

#ifndef SRC_DAEMON_FLEET_PORTS_H_
#define SRC_DAEMON_FLEET_PORTS_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "src/coordination/admission.h"
#include "src/coordination/backlog_share.h"
#include "src/coordination/host_planner.h"
#include "src/coordination/job_scheduler.h"
#include "src/coordination/owner_lease.h"
#include "src/state/error.h"
#include "src/transport/receive_budget.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Store
//-----------------------------------------------------------------------------

struct StoreKey {
  std::string table;
  std::string part;  // shared by a transaction's rows unless across_parts
  std::string key;
};

// Limits of the store that its callers keep to. A call that exceeds one is
// rejected as a whole.
struct StoreLimits {
  // Largest value of a row, so that its base64 form has at most 64 KiB.
  std::size_t max_row_bytes = 49152;
  // Values in one call. A call takes 1 MB including base64 and keys.
  std::size_t max_batch_bytes = 400000;
};

struct StoreRow {
  StoreKey key;
  std::string value;
  RowVersion version;
  bool removed = false;
};

// Applied atomically.
struct StoreTransaction {
  // Rows with the version that each must have; 0: the row must not exist.
  std::vector<std::pair<StoreKey, RowVersion>> conditions;
  std::vector<std::pair<StoreKey, std::string>> puts;
  std::vector<StoreKey> removals;
  bool across_parts = false;  // takes twice as long
  Milliseconds timeout{0};    // 0: the timeout of the store's client
};

enum class StoreOutcome {
  kOk,
  kConflict,     // a condition failed; the reply has the conditions' rows
  kNotDone,      // refused or not sent: the call has had no effect
  kHistoryLost,  // a feed must start again with a full read
  kRejected,     // the call is invalid
  kUnknown,      // no answer: the call may have taken effect, now or later
};

// Returns a stable lower-case name, as in "not_done".
const char* StoreOutcomeName(StoreOutcome outcome);

struct StoreReply {
  StoreOutcome outcome = StoreOutcome::kUnknown;
  std::vector<StoreRow> rows;
  RowVersion version;         // newest in the store, or the one written
  std::int64_t store_ms = 0;  // the store's steady clock; 0: not given
  bool more = false;          // the read has more rows
};

using StoreCallback = std::function<void(StoreReply)>;

//-----------------------------------------------------------------------------
// [SECTION] Platform
//-----------------------------------------------------------------------------

// Content of one of the operator's rows, independent of the platform's format.
struct OperatorRow {
  std::optional<OperatorConfig> config;
  std::optional<ZoneId> zone_out;
  std::optional<MaintenanceWave> wave;
};

struct FleetPorts {
  // Store. ------------------------------------------------------------------
  std::function<void(StoreTransaction, StoreCallback)> transact;
  // Reads at most `max_rows` rows of a part in key order, starting with `from`.
  std::function<void(StoreKey from, std::size_t max_rows, StoreCallback)> read;
  // Reads one row.
  std::function<void(StoreKey key, StoreCallback)> read_one;
  // Waits for changes of a table that are newer than a version.
  std::function<void(std::string table, RowVersion after, StoreCallback)> feed;

  // Endpoints. --------------------------------------------------------------
  std::function<void(StartRun, std::function<void(OrderAnswer)>)> start;
  std::function<void(StopRun, std::function<void(OrderReply)>)> stop;
  std::function<void(PaceRun)> pace;
  using PollCallback =
      std::function<void(std::optional<EndpointReportRows>, OrderReply)>;
  std::function<void(PollEndpoint, PollCallback)> poll;
  using AdviceCallback =
      std::function<void(std::optional<std::vector<AdviceTicket>>,
                         Milliseconds valid)>;
  std::function<void(AdviceRequest, AdviceCallback)> advise;

  // Hosts. ------------------------------------------------------------------
  std::function<void(
      std::function<void(std::optional<std::vector<FleetHost>>)>)>
      read_hosts;
  std::function<void(HostOrder,
                     DaemonId holder,
                     OwnerEpoch,
                     std::function<void(HostOrderReply)>)>
      order_host;

  // Rows of the platform. ---------------------------------------------------
  std::string operator_table;  // table of the operator's rows
  std::string endpoint_table;  // table in which endpoints register
  std::function<Result<OperatorRow>(const StoreRow&)> decode_operator_row;
  std::function<Result<EndpointRow>(const StoreRow&)> decode_endpoint;
  // Encodes the row that reports a wave's progress to the operator.
  std::function<std::pair<StoreKey, std::string>(const WaveProgress&)>
      encode_wave_report;

  // Callers. ----------------------------------------------------------------
  std::function<Result<JobSpec>(std::string_view body)> decode_job;
  std::function<std::string(JobState)> encode_state;
  std::function<std::string(int waiting)> encode_waiting;
  std::string key_header;  // name of the header that carries the team's key
};

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

// Identity, listen addresses and limits of a daemon.
struct FleetNodeSettings {
  DaemonId name;
  ZoneId zone;
  std::string caller_address;     // "ip:port"
  std::string readiness_address;  // "ip:port"
  std::string internal_address;   // "ip:port"
  std::string readiness_path;
  Milliseconds drain{5000};  // from SIGTERM to the exit of the process
  ListenerLimits listeners = DivideLimits(0, 0);
  BacklogLimits backlog = DivideBacklogMemory(0);
  StoreLimits store;
  JobSchedulerConfig scheduler;
  OwnerLeaseConfig lease;
  HostPlannerConfig hosts;
};

}  // namespace peridot

#endif  // SRC_DAEMON_FLEET_PORTS_H_
