// A small deployment of the system: the platform's stand-in, a few machines
// that run the daemon as the deploy file says, and clients.

#ifndef REVIEW_KIT_DEPLOYMENT_H_
#define REVIEW_KIT_DEPLOYMENT_H_

#include <sys/types.h>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "review/kit/platform.h"

namespace review {

// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

struct Machine {
  std::string name;
  std::string zone;
  std::uint16_t frontend = 0;
  std::uint16_t ready = 0;
  std::uint16_t internal = 0;
  std::unique_ptr<Server> store;  // the platform's store, for this machine
  std::string settings;           // path
  std::string log;                // path
  pid_t process = -1;
};

// Arguments of a case program: COMMAND FOLDER TROUBLE, which are the daemon's
// command, the folder for record.txt and temporary files, and 0 or 1.
struct CaseArguments {
  std::string command;
  std::string folder;
  std::string scratch;
  bool trouble = true;
};
CaseArguments ReadArguments(int argc, char** argv);

class Deployment {
 public:
  Deployment(const CaseArguments& arguments, int machines);
  // Ends all processes, removes the temporary files and ends this process. The
  // threads of the stand-ins use the deployment until then.
  [[noreturn]] void Exit(int code);

  // Starts all machines and waits until they are ready and one of them has
  // written to the store under a condition. Returns whether this happened.
  bool Start();
  void StartMachine(Machine* machine);
  // SIGTERM, then SIGKILL after GraceS, as the platform stops a process.
  void Terminate(Machine* machine);
  void Kill(Machine* machine);

  // Client calls, at the next machine in turn; written to the record.
  Answer Submit(const std::string& queue,
                const std::string& id,
                const Json& body);
  Answer Show(const std::string& queue, const std::string& id);
  Answer Cancel(const std::string& queue, const std::string& id);
  // Submits until the answer is 2xx, as clients do; at most `attempts` times.
  bool SubmitUntilAccepted(const std::string& queue,
                           const std::string& id,
                           const Json& body,
                           int attempts);
  // The state shown for a submission; empty: no answer.
  std::string StateOf(const std::string& queue, const std::string& id);

  // A config with one tenant and these queues.
  struct Queue {
    std::string name;
    std::string service;
    int attempts = 3;
    bool advice = false;  // only executors that the policy allows may run it
  };
  void PutConfig(int version, const std::vector<Queue>& queues);

  // Decides which executors may run a step (ID.K.STEP); none: all.
  std::function<bool(const std::string& step, const std::string& executor)>
      policy;

  std::vector<std::unique_ptr<Machine>> machines;
  Record record;
  Store store;
  Executors executors;

 private:
  Answer ClientCall(const std::string& method,
                    const std::string& queue,
                    const std::string& id,
                    const std::string& body);
  void WriteSettings(Machine* machine);
  Response Advise(const Request& request);

  CaseArguments arguments;
  std::unique_ptr<Server> cloud;
  std::unique_ptr<Server> advice;
  std::mutex advising;  // the service handles one call at a time
  std::atomic<std::size_t> next_machine{0};
};

}  // namespace review

#endif  // REVIEW_KIT_DEPLOYMENT_H_
