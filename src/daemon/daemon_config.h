// Configuration file of a daemon, read once at startup.
//
// Index:
//   [SECTION] Configuration
//
// Example:
//
//   daemon: d1
//   zone: z1
//   listen: 10.0.1.7:7000
//   peer_listen: 10.0.1.7:7001
//   table: 10.0.0.2:7100
//   objects: 10.0.0.3:7200
//   membership: 10.0.0.4:7300
//   admin_key_digest: 64 hexadecimal digits
//   log_level: info
//   memory_mb: 160
//   max_descriptors: 4096

#ifndef SRC_DAEMON_DAEMON_CONFIG_H_
#define SRC_DAEMON_DAEMON_CONFIG_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "src/protocol/socket_address.h"
#include "src/state/error.h"
#include "src/state/ids.h"
#include "src/state/team_keys.h"
#include "src/transport/log.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Configuration
//-----------------------------------------------------------------------------

// The example above has 300 bytes. A file above this limit is assumed not to be
// a configuration and is rejected.
inline constexpr std::size_t kMaxDaemonConfigBytes = 64UL * 1024UL;

struct DaemonConfig {
  DaemonId daemon;             // required; one daemon per entry host
  ZoneId zone;                 // required
  SocketAddress listen;        // required; callers and operators
  SocketAddress peer_listen;   // required; other daemons
  SocketAddress table;         // required
  SocketAddress objects;       // required
  SocketAddress membership;    // required
  KeyDigest admin_key_digest;  // required; valid like granted keys
  LogLevel log_level = LogLevel::kInfo;
  std::size_t memory_mb = 0;        // memory of the host; 0: not stated
  std::size_t max_descriptors = 0;  // of the process; 0: not stated

  // Parses and validates a configuration. Fails with kTooLarge or with
  // kInvalidArgument; the message of the latter has one line per fault, see
  // MakeYamlError().
  static Result<DaemonConfig> Parse(std::string_view text,
                                    std::string_view file);

  // Reads the file at `path` and parses it. Fails with kNotFound if it cannot
  // be read.
  static Result<DaemonConfig> Load(const std::string& path);
};

}  // namespace peridot

#endif  // SRC_DAEMON_DAEMON_CONFIG_H_
