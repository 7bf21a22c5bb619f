// Stand-in for the users' platform, for tests with real daemons: store and
// workers.
//
// stand_in_platform [--workers N] [--cores N] [--lost-orders X]
//                   [--lost-writes X] [--ends-outlast-leases]
//                   [--ticket-ms MS] [--seed N]
//
// Prints "listening port=N" with the port of the store and the advice service.
// Each worker listens on a port of its own, which its row in the store names.

#include <boost/program_options.hpp>
#include <iostream>

#include "stand_ins/platform_shell.h"

namespace peridot::stand_ins {
namespace {

int Main(int argc, char** argv) {
  namespace po = boost::program_options;
  PlatformShellSettings settings;
  int ticket_ms = 0;
  po::options_description options("stand_in_platform");
  options.add_options()("workers",
                        po::value(&settings.workers)->default_value(6),
                        "number of workers")(
      "cores", po::value(&settings.cores)->default_value(8),
      "cores of each worker")(
      "lost-orders", po::value(&settings.lost_order_share)->default_value(0),
      "share of orders executed without a response, 0 to 1")(
      "lost-writes", po::value(&settings.lost_write_share)->default_value(0),
      "share of writes executed without a response, 0 to 1")(
      "ends-outlast-leases",
      "an end stays valid when the lease expires and nothing is running")(
      "ticket-ms", po::value(&ticket_ms),
      "tasks need a ticket, valid for this time in ms; 0: no limit")(
      "seed", po::value(&settings.seed)->default_value(1),
      "seed of the random choices");
  const CommandLine line = ParseCommandLine(argc, argv, options);
  if (line.exit_code) {
    return *line.exit_code;
  }
  if (line.values.count("ticket-ms") > 0) {
    settings.advice.emplace().advice = AdviceSettings{
        Milliseconds(20), Milliseconds(1), Milliseconds(ticket_ms)};
  }
  settings.idle_lease_lapses = line.values.count("ends-outlast-leases") == 0;
  const auto loop = ShellLoop::Create();
  if (!loop) {
    return ReportFailure(loop.error());
  }
  PlatformShell shell(*loop.value(), settings);
  const auto listening = shell.Listen();
  if (!listening) {
    return ReportFailure(listening.error());
  }
  AnnounceListening(shell.StorePort());
  loop.value()->Run();
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace peridot::stand_ins

int main(int argc, char** argv) {
  return peridot::stand_ins::Main(argc, argv);
}
