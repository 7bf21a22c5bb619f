// Event loop over libevent: timers, posted calls, signals and readable
// descriptors.
//
// Index:
//   [SECTION] Types
//   [SECTION] EventLoop
//
// Each loop runs on one thread. All members must be called from that thread,
// except PostFromOtherThread() and Stop().

#ifndef SRC_TRANSPORT_EVENT_LOOP_H_
#define SRC_TRANSPORT_EVENT_LOOP_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "src/state/clock.h"
#include "src/state/error.h"

struct event;
struct event_base;

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Types
//-----------------------------------------------------------------------------

// Identifies a timer, a signal handler or a descriptor watch of one loop. Ids
// are not reused, so a late Cancel() has no effect.
using WatchId = std::uint64_t;

inline constexpr WatchId kNoWatch = 0;

//-----------------------------------------------------------------------------
// [SECTION] EventLoop
//-----------------------------------------------------------------------------

// Objects that use a loop must be destroyed before it. Calls never throw.
class EventLoop {
 public:
  using Action = std::function<void()>;
  using NowFunction = std::function<Instant()>;

  // Creates a loop whose Now() reads this clock. The clock must outlive the
  // loop. Fails if no libevent event base can be created.
  template <Clock C>
  static Result<std::unique_ptr<EventLoop>> Create(const C& clock) {
    return CreateWith([&clock] { return clock.Now(); });
  }
  static Result<std::unique_ptr<EventLoop>> CreateWith(NowFunction now);

  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;
  ~EventLoop();

  // Returns the current time of the clock passed at creation.
  Instant Now() const { return this->now(); }

  // Calls action once after the delay, measured by the system's monotonic
  // clock. A delay of 0 or less means the next iteration of the loop.
  WatchId After(Duration delay, Action action);

  // Calls action in the next iteration of the loop.
  void Post(Action action);

  // Like Post(), but may be called from any thread. Calls posted by one thread
  // run in the order of posting.
  void PostFromOtherThread(Action action);

  // Calls action after each delivery of the signal. Fails if the signal cannot
  // be caught. Only one loop of a process may handle signals.
  Result<WatchId> OnSignal(int signal_number, Action action);

  // Calls action in each iteration in which the descriptor is readable. The
  // descriptor must stay open until Cancel().
  Result<WatchId> OnReadable(int descriptor, Action action);

  // Cancels a timer or a watch. Does nothing if it has already ended.
  void Cancel(WatchId id);

  // Runs until Stop().
  void Run();

  // Runs until done() returns true, which is checked after each iteration, or
  // the limit has passed by the system's clock. Returns the last result of
  // done(). Stop() ends the run.
  bool RunUntil(const std::function<bool()>& done, Duration limit);

  // Ends Run() after the current callback. May be called from any thread.
  void Stop();

  // For libraries that attach to libevent directly.
  event_base* Base() const { return this->event_loop_base; }

 private:
  struct Watch;

  explicit EventLoop(NowFunction now);

  static void OnEvent(int descriptor, short what, void* watch);
  static void OnWake(int descriptor, short what, void* loop);

  Watch* AddWatch(int descriptor, short what, bool once, Action action);
  bool StartWatch(Watch* watch, const Duration* delay);
  void Fire(Watch* watch);
  void RunPosted();

  NowFunction now;
  event_base* event_loop_base = nullptr;
  event* wake = nullptr;
  WatchId next_id = 1;
  std::unordered_map<WatchId, std::unique_ptr<Watch>> watches;
  std::mutex posted_mutex;
  std::vector<Action> posted;  // guarded by posted_mutex
  bool stopped = false;        // guarded by posted_mutex
};

}  // namespace peridot

#endif  // SRC_TRANSPORT_EVENT_LOOP_H_
