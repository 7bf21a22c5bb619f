// Keeps the owner's load report on a daemon that receives submissions.
//
// Index:
//   [SECTION] LoadFollower
//
// Not thread-safe: use it on the event loop's thread only.

#ifndef SRC_DAEMON_LOAD_FOLLOWER_H_
#define SRC_DAEMON_LOAD_FOLLOWER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "src/coordination/job_admission.h"
#include "src/state/clock.h"
#include "src/transport/event_loop.h"
#include "src/transport/metrics.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] LoadFollower
//-----------------------------------------------------------------------------

struct LoadFollowerConfig {
  // Minimum time between two requests for a report.
  Milliseconds fetch_interval{500};
  // A report that is older on arrival is not used any more.
  Milliseconds max_report_age{1500};
};

class LoadFollower {
 public:
  // Requests the report of the owner; none: no answer, or it has no report.
  using Fetch =
      std::function<void(std::function<void(std::optional<std::string>)>)>;

  // The loop and the metrics must outlive the follower.
  LoadFollower(EventLoop* loop,
               Metrics* metrics,
               LoadFollowerConfig config,
               Fetch fetch);
  ~LoadFollower();
  LoadFollower(const LoadFollower&) = delete;
  LoadFollower& operator=(const LoadFollower&) = delete;

  // A submission has arrived: requests a report if one is due.
  void OnSubmission();

  // The last report; null if there was none.
  const LoadReport* Report() const;
  // Upper bound of the time since its figures were read.
  Duration Age() const;

 private:
  void OnAnswer(Instant sent, const std::optional<std::string>& body);
  void Ignore(const Error& error);

  EventLoop* loop;
  Metrics* metrics;
  LoadFollowerConfig config;
  Fetch fetch;
  std::shared_ptr<bool> alive;
  bool fetching = false;
  std::optional<Instant> last_fetch;
  std::optional<LoadReport> report;
  Instant produced{};  // at the latest
};

}  // namespace peridot

#endif  // SRC_DAEMON_LOAD_FOLLOWER_H_
