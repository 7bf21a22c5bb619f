// The operator's configuration, zone evacuations and maintenance waves as last
// read from the store.
//
// Index:
//   [SECTION] OperatorView
//
// Follows the operator's table. A configuration is never replaced by an older
// version. Not thread-safe: use it on the event loop's thread only.

#ifndef SRC_DAEMON_OPERATOR_VIEW_H_
#define SRC_DAEMON_OPERATOR_VIEW_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "src/daemon/table_follower.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] OperatorView
//-----------------------------------------------------------------------------

class OperatorView {
 public:
  // The loop and the ports must outlive the view.
  OperatorView(EventLoop* loop, const FleetPorts* ports);

  // Starts following the table; on_change is called after each change.
  void Start(std::function<void()> on_change);

  const OperatorConfig& Config() const { return *this->config; }
  // The current configuration; later versions do not change the object.
  std::shared_ptr<const OperatorConfig> Snapshot() const {
    return this->config;
  }
  std::set<ZoneId> ZonesOut() const;
  std::vector<MaintenanceWave> Waves() const;
  bool HasConfig() const { return this->config->version != Revision{}; }
  // Time of the last answer of the store.
  Instant LastAnswer() const { return this->follower.LastAnswer(); }

 private:
  void OnRow(const StoreRow& row);

  const FleetPorts* ports;
  std::shared_ptr<const OperatorConfig> config;
  std::map<std::string, ZoneId> zones_out;       // by key
  std::map<std::string, MaintenanceWave> waves;  // by key
  std::function<void()> on_change;
  TableFollower follower;
};

}  // namespace peridot

#endif  // SRC_DAEMON_OPERATOR_VIEW_H_
