// One peridotd process: its sockets, its tasks and its shutdown.
//
// Index:
//   [SECTION] Daemon

#ifndef SRC_DAEMON_DAEMON_H_
#define SRC_DAEMON_DAEMON_H_

#include <memory>

#include "src/daemon/daemon_config.h"
#include "src/state/error.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Daemon
//-----------------------------------------------------------------------------

class Daemon {
 public:
  // Binds the sockets. Fails if an address cannot be bound.
  static Result<std::unique_ptr<Daemon>> Create(DaemonConfig config);

  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;
  ~Daemon();

  // Runs until SIGTERM or SIGINT has led to a graceful stop, or until the
  // session is fenced. Returns the exit code of the process.
  int Run();

 private:
  class Core;  // daemon.cc

  explicit Daemon(std::unique_ptr<Core> core);

  std::unique_ptr<Core> core;
};

}  // namespace peridot

#endif  // SRC_DAEMON_DAEMON_H_
