// Command line of the daemon.

#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>
#include <string>

#include "src/daemon/daemon.h"
#include "src/daemon/daemon_config.h"
#include "src/transport/log.h"

namespace peridot {
namespace {

namespace po = boost::program_options;

constexpr int kExitUsage = 1;
constexpr int kExitConfig = 2;
constexpr int kExitStart = 3;

po::options_description MakeOptions() {
  po::options_description options("peridotd --config FILE");
  options.add_options()("help,h", "print this text")(
      "version", "print the version")("check",
                                      "check the configuration and exit")(
      "config,c", po::value<std::string>(), "configuration file (YAML)");
  return options;
}

int RunDaemon(const std::string& path, bool check_only) {
  auto config = DaemonConfig::Load(path);
  if (!config) {
    std::cerr << config.error().message << '\n';
    return kExitConfig;
  }
  if (check_only) {
    std::cout << path << ": valid\n";
    return EXIT_SUCCESS;
  }
  StartLog(config.value().log_level);
  auto daemon = Daemon::Create(std::move(config.value()));
  if (!daemon) {
    std::cerr << daemon.error() << '\n';
    return kExitStart;
  }
  return daemon.value()->Run();
}

int Main(int argc, char** argv) {
  const po::options_description options = MakeOptions();
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, options), values);
  } catch (const po::error& error) {
    std::cerr << "peridotd: " << error.what() << '\n' << options;
    return kExitUsage;
  }
  if (values.count("help") > 0) {
    std::cout << options;
    return EXIT_SUCCESS;
  }
  if (values.count("version") > 0) {
    std::cout << "peridotd " << PERIDOT_VERSION << '\n';
    return EXIT_SUCCESS;
  }
  if (values.count("config") == 0) {
    std::cerr << "peridotd: the option --config is required\n" << options;
    return kExitUsage;
  }
  return RunDaemon(values["config"].as<std::string>(),
                   values.count("check") > 0);
}

}  // namespace
}  // namespace peridot

int main(int argc, char** argv) {
  return peridot::Main(argc, argv);
}
