// One daemon on a platform: connects its tasks, HTTP servers and signal
// handlers.
//
// Index:
//   [SECTION] FleetNode

#ifndef SRC_DAEMON_FLEET_NODE_H_
#define SRC_DAEMON_FLEET_NODE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "src/daemon/fleet_ports.h"
#include "src/daemon/job_api.h"
#include "src/daemon/operator_view.h"
#include "src/daemon/owner_task.h"
#include "src/transport/event_loop.h"
#include "src/transport/http_client.h"
#include "src/transport/http_server.h"
#include "src/transport/metrics.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] FleetNode
//-----------------------------------------------------------------------------

// Not thread-safe: use it on the event loop's thread only.
class FleetNode {
 public:
  // Binds all addresses. Fails if one is in use or not valid. The loop must
  // outlive the node. on_reload is called on SIGHUP.
  static Result<std::unique_ptr<FleetNode>> Create(
      EventLoop* loop,
      FleetPorts ports,
      FleetNodeSettings settings,
      std::function<void()> on_reload);

  FleetNode(const FleetNode&) = delete;
  FleetNode& operator=(const FleetNode&) = delete;

  // Starts the tasks and returns. After SIGTERM or SIGINT the node shuts down
  // and stops the loop.
  void Start();

 private:
  FleetNode(EventLoop* loop, FleetPorts ports, FleetNodeSettings settings);

  Result<void> Listen();
  Result<void> WatchSignals(std::function<void()> on_reload);
  void ServeInternal();
  void FlushLogPeriodically();
  void BeginStop();
  void FinishStop();
  bool Ready() const;
  void Probe(const std::string& address,
             int strength,
             std::function<void(std::optional<OwnerTask::PeerAnswer>)> done);
  void QueryOwner(const std::string& address,
                  const JobId& job,
                  const std::string& queue,
                  std::function<void(OwnerReply)> done);
  // Requests a report of the owner.
  void FetchReport(const char* path,
                   const std::string& address,
                   std::function<void(std::optional<std::string>)> done);

  EventLoop* loop;
  FleetPorts ports;
  FleetNodeSettings settings;
  Metrics metrics;
  HttpClient peers;
  OperatorView view;
  OwnerTask owner;
  JobApi job_api;
  std::unique_ptr<HttpServer> callers;
  std::unique_ptr<HttpServer> readiness;
  std::unique_ptr<HttpServer> internal;
  bool stopping = false;
};

}  // namespace peridot

#endif  // SRC_DAEMON_FLEET_NODE_H_
