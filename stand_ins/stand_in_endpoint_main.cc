// Stand-in for endpoints; one process serves many of them.

#include <sys/resource.h>

#include "stand_ins/endpoint_shell.h"
#include "stand_ins/http_shell.h"

namespace peridot::stand_ins {
namespace {

// The usual soft limit of 1,024 file descriptors is too low for 64 connections
// to each of 50 endpoints.
void RaiseDescriptorLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
    return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

int Main(int argc, char** argv) {
  boost::program_options::options_description options("stand_in_endpoint");
  options.add_options()(
      "first-port", BoundedOption(0, 0, 65'535),
      "first port on the loopback address; 0: any free range")(
      "count", BoundedOption(1, 1, 1'000), "endpoints, on consecutive ports")(
      "slots", BoundedOption(8, 1, 4'096), "slots of each endpoint")(
      "drift-percent", BoundedOption(0, -1, 1),
      "rate error of the endpoints' clocks in percent");
  const CommandLine line = ParseCommandLine(argc, argv, options);
  if (line.exit_code)
    return *line.exit_code;
  RaiseDescriptorLimit();
  const auto loop = ShellLoop::Create();
  if (!loop)
    return ReportFailure(loop.error());

  EndpointFleetOptions fleet_options;
  fleet_options.first_port =
      static_cast<std::uint16_t>(line.values.at("first-port").as<int>());
  fleet_options.count = line.values.at("count").as<int>();
  fleet_options.endpoint.slots = SlotCount(line.values.at("slots").as<int>());
  fleet_options.endpoint.drift_percent =
      line.values.at("drift-percent").as<int>();
  const auto fleet = EndpointFleet::Listen(*loop.value(), fleet_options);
  if (!fleet)
    return ReportFailure(fleet.error());
  AnnounceListening(fleet.value()->FirstPort(), fleet_options.count);
  loop.value()->Run();
  return 0;
}

}  // namespace
}  // namespace peridot::stand_ins

int main(int argc, char** argv) {
  return peridot::stand_ins::Main(argc, argv);
}
