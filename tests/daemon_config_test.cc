// Tests of the daemon's configuration file and its socket addresses.

#include <catch2/catch.hpp>
#include <string>

#include "src/daemon/daemon_config.h"

namespace peridot {
namespace {

const std::string kGood =
    "daemon: d1\n"
    "zone: z1\n"
    "listen: 127.0.0.1:7000\n"
    "peer_listen: '[::1]:7001'\n"
    "table: 127.0.0.1:7100\n"
    "objects: 127.0.0.1:7200\n"
    "membership: 127.0.0.1:7300\n"
    "admin_key_digest: " +
    DigestKeyText("key").Hex() + "\n";

std::string FaultsOf(const std::string& text) {
  const Result<DaemonConfig> config = DaemonConfig::Parse(text, "d.yaml");
  return config.has_error() ? config.error().message : "";
}

TEST_CASE("a complete daemon configuration is parsed", "[config]") {
  const DaemonConfig config =
      DaemonConfig::Parse(kGood + "log_level: debug\n", "d.yaml").value();
  REQUIRE(config.daemon == DaemonId("d1"));
  REQUIRE(config.zone == ZoneId("z1"));
  REQUIRE(config.listen == SocketAddress{"127.0.0.1", 7000});
  REQUIRE(config.peer_listen.Text() == "[::1]:7001");
  REQUIRE(config.membership.port == 7300);
  REQUIRE(config.admin_key_digest == DigestKeyText("key"));
  REQUIRE(config.log_level == LogLevel::kDebug);
  REQUIRE(DaemonConfig::Parse(kGood, "d.yaml").value().log_level ==
          LogLevel::kInfo);
}

TEST_CASE("the limits of the host are read as positive numbers", "[config]") {
  // Guards against a limit that is ignored because it cannot be read.
  const DaemonConfig config =
      DaemonConfig::Parse(kGood + "memory_mb: 160\nmax_descriptors: 4096\n",
                          "d.yaml")
          .value();
  REQUIRE(config.memory_mb == 160);
  REQUIRE(config.max_descriptors == 4096);
  for (const char* bad : {"0", "-1", "1.5", "64MB", "99999999999999999999"}) {
    REQUIRE(FaultsOf(kGood + "memory_mb: " + bad + "\n") ==
            "d.yaml:9: memory_mb: expected a number from 1 to 1000000");
  }
}

TEST_CASE("parsing a daemon configuration reports every fault", "[config]") {
  // Guards against a daemon that starts with an incomplete or partly ignored
  // configuration.
  REQUIRE(FaultsOf("daemon: D1\n"
                   "listen: localhost:7000\n"
                   "peer_listen: [1, 2]\n"
                   "table: 127.0.0.1:0\n"
                   "objects: 127.0.0.1\n"
                   "membership: 127.0.0.1:70000\n"
                   "admin_key_digest: abc\n"
                   "log_level: loud\n"
                   "port: 7\n"
                   "daemon: d2\n") ==
          "d.yaml:1: daemon: expected a name of lower-case letters and digits\n"
          "d.yaml:1: zone: expected a name of lower-case letters and digits\n"
          "d.yaml:2: listen: expected an IP number and a port, as in "
          "127.0.0.1:7000 or [::1]:7000\n"
          "d.yaml:3: peer_listen: expected an IP number and a port, as in "
          "127.0.0.1:7000 or [::1]:7000\n"
          "d.yaml:4: table: expected an IP number and a port, as in "
          "127.0.0.1:7000 or [::1]:7000\n"
          "d.yaml:5: objects: expected an IP number and a port, as in "
          "127.0.0.1:7000 or [::1]:7000\n"
          "d.yaml:6: membership: expected an IP number and a port, as in "
          "127.0.0.1:7000 or [::1]:7000\n"
          "d.yaml:7: admin_key_digest: expected 64 hexadecimal digits\n"
          "d.yaml:8: log_level: expected one of debug, info, warn, error\n"
          "d.yaml:9: port: expected one of daemon, zone, listen, peer_listen, "
          "table, objects, membership, admin_key_digest, log_level, "
          "memory_mb, max_descriptors\n"
          "d.yaml:10: daemon: expected a key once; it is also on line 1");
  REQUIRE(FaultsOf("") == "d.yaml:1: expected a mapping");
  REQUIRE(FaultsOf("daemon: [") != "");
  REQUIRE(
      DaemonConfig::Parse(std::string(70'000, ' '), "d.yaml").error().code ==
      ErrorCode::kTooLarge);
  REQUIRE(DaemonConfig::Load("no/such/file").error().code ==
          ErrorCode::kNotFound);
}

}  // namespace
}  // namespace peridot
