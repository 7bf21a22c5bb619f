// What the fleet tasks need from the platform beside them.
//
// Index:
//   [SECTION] Store
//   [SECTION] Platform
//   [SECTION] Settings
//
// The adapter fills in the functions; tests fill in fakes. Every callback is
// called exactly once, from the loop and never from within the call.

#ifndef SRC_DAEMON_FLEET_PORTS_H_
#define SRC_DAEMON_FLEET_PORTS_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "src/coordination/admission.h"
#include "src/coordination/host_planner.h"
#include "src/coordination/job_scheduler.h"
#include "src/coordination/owner_lease.h"
#include "src/state/error.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Store
//-----------------------------------------------------------------------------

struct StoreKey {
  std::string table;  // default: empty
  std::string part;   // default: empty; rows of one transaction share it
  std::string key;    // default: empty
};

struct StoreRow {
  StoreKey key;
  std::string value;     // default: empty
  RowVersion version;    // default: 0
  bool removed = false;  // default: false
};

// Applied whole or not at all.
struct StoreTransaction {
  // Rows with the version that each must have; 0: it does not exist.
  std::vector<std::pair<StoreKey, RowVersion>> conditions;
  std::vector<std::pair<StoreKey, std::string>> puts;
  std::vector<StoreKey> removals;
  bool across_parts = false;  // default: false; costs twice the time
  Milliseconds timeout{0};    // default: 0, that of the store's client
};

enum class StoreOutcome {
  kOk,
  kConflict,     // a condition does not hold; rows are those of conditions
  kNotDone,      // refused or not sent: it has had no effect
  kHistoryLost,  // a feed has to start again from a whole read
  kRejected,     // the call itself is wrong
  kUnknown,      // no answer: it may have, or may still take, effect
};

// Returns a stable lower-case name, as in "not_done".
const char* StoreOutcomeName(StoreOutcome outcome);

struct StoreReply {
  StoreOutcome outcome = StoreOutcome::kUnknown;  // default: kUnknown
  std::vector<StoreRow> rows;                     // default: none
  RowVersion version;         // default: 0; newest of the store, or written
  std::int64_t store_ms = 0;  // default: 0; the store's steady clock
  bool more = false;          // default: false; a read has more rows
};

using StoreCallback = std::function<void(StoreReply)>;

//-----------------------------------------------------------------------------
// [SECTION] Platform
//-----------------------------------------------------------------------------

// What the operator's rows say, whatever their form on the platform.
struct OperatorRow {
  std::optional<OperatorConfig> config;
  std::optional<ZoneId> zone_out;
  std::optional<UpkeepWave> wave;
};

struct FleetPorts {
  // Store. ------------------------------------------------------------------
  std::function<void(StoreTransaction, StoreCallback)> transact;
  // Reads at most so many rows of a part from a key on, in order.
  std::function<void(StoreKey from, std::size_t most, StoreCallback)> read;
  // Reads one row.
  std::function<void(StoreKey key, StoreCallback)> read_one;
  // Waits for changes of a table after a version.
  std::function<void(std::string table, RowVersion after, StoreCallback)> feed;

  // Endpoints. --------------------------------------------------------------
  std::function<void(StartRun, OwnerEpoch, std::function<void(OrderReply)>)>
      start;
  std::function<void(StopRun, OwnerEpoch, std::function<void(OrderReply)>)>
      stop;
  std::function<void(PaceRun, OwnerEpoch)> pace;
  using LookCallback =
      std::function<void(std::optional<EndpointReportRows>, OrderReply)>;
  std::function<void(LookAt, OwnerEpoch, LookCallback)> look;
  using AdviceCallback =
      std::function<void(std::optional<std::vector<AdviceTicket>>,
                         Milliseconds valid)>;
  std::function<void(AskAdvice, AdviceCallback)> advise;

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
  // The row that reports a wave's progress to the operator.
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

// Where a daemon listens and what bounds it keeps.
struct FleetNodeSettings {
  DaemonId name;                  // default: empty
  ZoneId zone;                    // default: empty
  std::string caller_address;     // default: empty; "ip:port"
  std::string readiness_address;  // default: empty; "ip:port"
  std::string internal_address;   // default: empty; "ip:port"
  std::string readiness_path;     // default: empty
  Milliseconds drain{5000};       // default: 5000 ms; from SIGTERM to the end
  JobSchedulerConfig scheduler;
  OwnerLeaseConfig lease;
  HostPlannerConfig hosts;
};

}  // namespace peridot

#endif  // SRC_DAEMON_FLEET_PORTS_H_
