// peridotctl, the operators' command line tool. Documented in
// docs/operations/peridotctl.md.

#include <event2/thread.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "src/ctl/commands.h"

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  if (arguments == std::vector<std::string>{"--help"}) {
    peridot::ctl::PrintUsage(std::cout);
    return static_cast<int>(peridot::ctl::ExitCode::kDone);
  }
  const auto line = peridot::ctl::ParseCommandLine(arguments);
  if (line.has_error()) {
    std::cerr << "peridotctl: " << line.error().message
              << "; see peridotctl --help\n";
    return static_cast<int>(peridot::ctl::ExitCodeOfUsage(arguments));
  }
  // Without this, a server that closes its connection during a write would
  // terminate the program.
  std::signal(SIGPIPE, SIG_IGN);
  evthread_use_pthreads();
  const peridot::ctl::EvhttpClient client(line.value().timeout);
  const peridot::ctl::ExitCode exit = peridot::ctl::RunCommand(
      line.value(), std::getenv("PERIDOT_KEY"), client, std::cout, std::cerr);
  return static_cast<int>(exit);
}
