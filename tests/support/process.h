// Runs a program as a child process of a test.
//
// Index:
//   [SECTION] Paths
//   [SECTION] Process
//
// Only tests start processes; the product starts none.
//
// Example:
//   auto table = Process::Start(ProgramPath("stand_in_table"), {}).value();
//   const std::uint16_t port = table->ReadPort().value();
//   table->Signal(SIGTERM);
//   table->Wait() == 0;

#ifndef TESTS_SUPPORT_PROCESS_H_
#define TESTS_SUPPORT_PROCESS_H_

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstring>
#include <filesystem>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "src/state/error.h"

namespace peridot::testing {

// Longer than any step takes even on a busy machine. A wait that reaches this
// timeout is a failure of the test; no test passes because of it.
inline constexpr std::chrono::seconds kProcessTimeout{60};

//-----------------------------------------------------------------------------
// [SECTION] Paths
//-----------------------------------------------------------------------------

// Returns the path of a program in the build directory of this test.
inline std::string ProgramPath(const std::string& program) {
  const auto self = std::filesystem::read_symlink("/proc/self/exe");
  return self.parent_path().parent_path() / program;
}

//-----------------------------------------------------------------------------
// [SECTION] Process
//-----------------------------------------------------------------------------

// A child process, killed and reaped on destruction. A thread reads its
// standard output continuously, so that it never blocks on a full pipe; its
// standard error is that of the test. Not thread-safe. The thread that calls
// Start() must outlive the object: the kernel kills the child when that thread
// exits.
class Process {
 public:
  // Starts the program at `path`. Errors: kNotFound (fork or exec failed),
  // kInternal (no pipe could be created).
  static Result<std::unique_ptr<Process>> Start(
      const std::string& path,
      const std::vector<std::string>& arguments) {
    int output[2];
    int failure[2];
    if (pipe2(output, O_CLOEXEC) != 0 || pipe2(failure, O_CLOEXEC) != 0)
      return Failure(ErrorCode::kInternal, path, errno);
    std::vector<char*> argv = {const_cast<char*>(path.c_str())};
    for (const std::string& argument : arguments) {
      argv.push_back(const_cast<char*>(argument.c_str()));
    }
    argv.push_back(nullptr);

    const pid_t parent = getpid();
    const pid_t child = fork();
    if (child == 0)
      Execute(argv.data(), parent, output[1], failure[1]);
    close(output[1]);
    close(failure[1]);
    // A successful exec closes the pipe, so the read returns no byte; otherwise
    // the child writes the errno of the failed exec.
    int error = child < 0 ? errno : 0;
    if (child > 0 && read(failure[0], &error, sizeof(error)) <= 0)
      error = 0;
    close(failure[0]);
    if (error == 0)
      return std::unique_ptr<Process>(new Process(child, output[0]));
    close(output[0]);
    if (child > 0)
      waitpid(child, nullptr, 0);
    return Failure(ErrorCode::kNotFound, path, error);
  }

  ~Process() {
    if (!this->status) {
      kill(this->pid, SIGKILL);
      waitpid(this->pid, nullptr, 0);
    }
    close(this->wake[1]);
    this->reader.join();
    close(this->wake[0]);
    close(this->output);
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  pid_t Pid() const { return this->pid; }

  // Sends the signal unless Wait() has reaped the process; its pid may have
  // been reused.
  void Signal(int number) const {
    if (!this->status)
      kill(this->pid, number);
  }

  // Waits for the process to exit. Returns its exit code, or 128 + signal as a
  // shell does; nothing if it is still running after the timeout.
  std::optional<int> Wait(std::chrono::milliseconds timeout = kProcessTimeout) {
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (!this->status) {
      int raw = 0;
      if (waitpid(this->pid, &raw, WNOHANG) == this->pid) {
        this->status =
            WIFSIGNALED(raw) ? 128 + WTERMSIG(raw) : WEXITSTATUS(raw);
      } else if (std::chrono::steady_clock::now() >= end) {
        return std::nullopt;
      } else {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
      }
    }
    return this->status;
  }

  // Waits for a line of the output that starts with the prefix. Returns the
  // first one without the prefix; nothing if the output ends or the timeout
  // passes first.
  std::optional<std::string> WaitForLine(
      std::string_view prefix,
      std::chrono::milliseconds timeout = kProcessTimeout) {
    std::unique_lock lock(this->mutex);
    std::optional<std::string> found;
    const auto found_or_ended = [&] {
      found = this->FindLine(prefix);
      return found || this->output_ended;
    };
    this->changed.wait_for(lock, timeout, found_or_ended);
    return found;
  }

  // Returns all complete lines of the output so far.
  std::vector<std::string> Lines() {
    const std::scoped_lock lock(this->mutex);
    return this->lines;
  }

  // Waits for the line "listening port=N" and returns N.
  // Errors: kUnavailable (no such line), kMalformed (N is not a port number).
  Result<std::uint16_t> ReadPort() {
    const auto line = this->WaitForLine("listening port=");
    if (!line) {
      return MakeError(
          ErrorCode::kUnavailable, "read_port", std::to_string(this->pid),
          "expected an output line \"listening port=N\"; none came");
    }
    std::uint16_t port = 0;
    const char* const end = line->data() + line->size();
    if (std::from_chars(line->data(), end, port).ec != std::errc()) {
      return MakeError(ErrorCode::kMalformed, "read_port",
                       std::to_string(this->pid),
                       "expected a port number, got: " + *line);
    }
    return port;
  }

 private:
  Process(pid_t pid, int output) : pid(pid), output(output) {
    if (pipe2(this->wake, O_CLOEXEC) != 0)
      std::abort();
    this->reader = std::thread([this] { this->ReadOutput(); });
  }

  static Error Failure(ErrorCode code, const std::string& path, int error) {
    return MakeError(code, "start", path, std::strerror(error));
  }

  // Runs in the child, where only async-signal-safe functions may be called.
  [[noreturn]] static void Execute(char* const* argv,
                                   pid_t parent,
                                   int output,
                                   int failure) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent)
      _exit(127);
    dup2(output, STDOUT_FILENO);
    execv(argv[0], argv);
    const int error = errno;
    if (write(failure, &error, sizeof(error)) < 0)
      _exit(126);
    _exit(127);
  }

  // Reads until the output ends or the destructor closes the wake pipe. The
  // pipe is needed because a grandchild may hold the output open.
  void ReadOutput() {
    char buffer[4096];
    pollfd watched[2] = {{this->output, POLLIN, 0}, {this->wake[0], 0, 0}};
    while (poll(watched, 2, -1) >= 0 && watched[1].revents == 0) {
      const ssize_t count = read(this->output, buffer, sizeof(buffer));
      if (count <= 0)
        break;
      this->Append({buffer, static_cast<std::size_t>(count)});
    }
    const std::scoped_lock lock(this->mutex);
    this->output_ended = true;
    this->changed.notify_all();
  }

  void Append(std::string_view bytes) {
    const std::scoped_lock lock(this->mutex);
    for (const char c : bytes) {
      if (c == '\n') {
        this->lines.push_back(std::exchange(this->unfinished, {}));
      } else {
        this->unfinished.push_back(c);
      }
    }
    this->changed.notify_all();
  }

  std::optional<std::string> FindLine(std::string_view prefix) const {
    for (const std::string& line : this->lines) {
      if (line.starts_with(prefix))
        return line.substr(prefix.size());
    }
    return std::nullopt;
  }

  pid_t pid;
  int output;                 // read end of the child's standard output
  int wake[2] = {-1, -1};     // the write end is closed to stop the reader
  std::optional<int> status;  // empty until Wait() has reaped the process
  std::mutex mutex;           // guards the members below
  std::condition_variable changed;
  std::vector<std::string> lines;
  std::string unfinished;
  bool output_ended = false;
  std::thread reader;
};

}  // namespace peridot::testing

#endif  // TESTS_SUPPORT_PROCESS_H_
