#include "src/transport/event_loop.h"

#include <event2/event.h>
#include <event2/thread.h>
#include <sys/time.h>

#include <algorithm>
#include <utility>

namespace peridot {
namespace {

// Maximum time between two checks of RunUntil()'s condition.
constexpr Duration kRunUntilStep = std::chrono::milliseconds(10);

timeval ToTimeval(Duration delay) {
  const auto us = std::chrono::ceil<std::chrono::microseconds>(
      std::max(delay, Duration::zero()));
  timeval result{};
  result.tv_sec = us.count() / 1'000'000;
  result.tv_usec = us.count() % 1'000'000;
  return result;
}

Error LoopError(const char* message) {
  return MakeError(ErrorCode::kUnavailable, "event_loop", "", message);
}

}  // namespace

struct EventLoop::Watch {
  EventLoop* loop = nullptr;
  WatchId id = kNoWatch;
  event* registered = nullptr;
  bool once = false;
  Action action;

  Watch() = default;
  Watch(const Watch&) = delete;
  Watch& operator=(const Watch&) = delete;
  ~Watch() {
    if (this->registered != nullptr) {
      event_free(this->registered);
    }
  }
};

Result<std::unique_ptr<EventLoop>> EventLoop::CreateWith(NowFunction now) {
  static const bool threads_ready = evthread_use_pthreads() == 0;
  if (!threads_ready) {
    return LoopError("libevent cannot use threads");
  }
  std::unique_ptr<EventLoop> loop(new EventLoop(std::move(now)));
  // Collects changes to the watched events of descriptors until the next wait.
  // An HTTP call makes six such changes, each of which would be a system call.
  event_config* const options = event_config_new();
  if (options == nullptr ||
      event_config_set_flag(options, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST) !=
          0) {
    return LoopError("cannot configure the event base");
  }
  loop->event_loop_base = event_base_new_with_config(options);
  event_config_free(options);
  if (loop->event_loop_base == nullptr) {
    return LoopError("cannot create an event base");
  }
  loop->wake = event_new(loop->event_loop_base, -1, 0, &OnWake, loop.get());
  if (loop->wake == nullptr) {
    return LoopError("cannot create the wake event");
  }
  return loop;
}

EventLoop::EventLoop(NowFunction now) : now(std::move(now)) {}

EventLoop::~EventLoop() {
  this->watches.clear();
  if (this->wake != nullptr) {
    event_free(this->wake);
  }
  if (this->event_loop_base != nullptr) {
    event_base_free(this->event_loop_base);
  }
}

WatchId EventLoop::After(Duration delay, Action action) {
  Watch* watch = this->AddWatch(-1, 0, true, std::move(action));
  return this->StartWatch(watch, &delay) ? watch->id : kNoWatch;
}

void EventLoop::Post(Action action) {
  this->PostFromOtherThread(std::move(action));
}

void EventLoop::PostFromOtherThread(Action action) {
  const std::lock_guard lock(this->posted_mutex);
  this->posted.push_back(std::move(action));
  // Called under the lock, so that an earlier posted call cannot destroy the
  // loop between the two steps.
  event_active(this->wake, EV_TIMEOUT, 0);
}

Result<WatchId> EventLoop::OnSignal(int signal_number, Action action) {
  Watch* watch = this->AddWatch(signal_number, EV_SIGNAL | EV_PERSIST, false,
                                std::move(action));
  const WatchId id = watch->id;
  if (!this->StartWatch(watch, nullptr)) {
    return LoopError("cannot watch the signal");
  }
  return id;
}

Result<WatchId> EventLoop::OnReadable(int descriptor, Action action) {
  Watch* watch = this->AddWatch(descriptor, EV_READ | EV_PERSIST, false,
                                std::move(action));
  const WatchId id = watch->id;
  if (!this->StartWatch(watch, nullptr)) {
    return LoopError("cannot watch the descriptor");
  }
  return id;
}

void EventLoop::Cancel(WatchId id) {
  this->watches.erase(id);
}

void EventLoop::Run() {
  {
    const std::lock_guard lock(this->posted_mutex);
    if (std::exchange(this->stopped, false)) {
      return;
    }
  }
  event_base_loop(this->event_loop_base, EVLOOP_NO_EXIT_ON_EMPTY);
  const std::lock_guard lock(this->posted_mutex);
  this->stopped = false;
}

bool EventLoop::RunUntil(const std::function<bool()>& done, Duration limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!done()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    // The timer limits the iteration when no event occurs.
    const WatchId step = this->After(kRunUntilStep, [] {});
    event_base_loop(this->event_loop_base, EVLOOP_ONCE);
    this->Cancel(step);
    const std::lock_guard lock(this->posted_mutex);
    if (std::exchange(this->stopped, false)) {
      break;
    }
  }
  return done();
}

void EventLoop::Stop() {
  const std::lock_guard lock(this->posted_mutex);
  this->stopped = true;
  event_base_loopbreak(this->event_loop_base);
  // A loop break requested before the loop runs is lost. The wake event
  // requests it again.
  event_active(this->wake, EV_TIMEOUT, 0);
}

void EventLoop::OnEvent(int, short, void* watch) {
  auto* fired = static_cast<Watch*>(watch);
  fired->loop->Fire(fired);
}

void EventLoop::OnWake(int, short, void* loop) {
  static_cast<EventLoop*>(loop)->RunPosted();
}

EventLoop::Watch* EventLoop::AddWatch(int descriptor,
                                      short what,
                                      bool once,
                                      Action action) {
  auto watch = std::make_unique<Watch>();
  watch->loop = this;
  watch->id = this->next_id++;
  watch->once = once;
  watch->action = std::move(action);
  watch->registered = event_new(this->event_loop_base, descriptor, what,
                                &EventLoop::OnEvent, watch.get());
  Watch* result = watch.get();
  this->watches.emplace(result->id, std::move(watch));
  return result;
}

bool EventLoop::StartWatch(Watch* watch, const Duration* delay) {
  timeval timeout{};
  if (delay != nullptr) {
    timeout = ToTimeval(*delay);
  }
  const bool started =
      watch->registered != nullptr &&
      event_add(watch->registered, delay != nullptr ? &timeout : nullptr) == 0;
  if (!started) {
    this->watches.erase(watch->id);
  }
  return started;
}

void EventLoop::Fire(Watch* watch) {
  // The action may cancel its own watch, so `watch` must not be used after the
  // call.
  if (watch->once) {
    const Action action = std::move(watch->action);
    this->watches.erase(watch->id);
    action();
    return;
  }
  const WatchId id = watch->id;
  Action action = std::move(watch->action);
  action();
  const auto found = this->watches.find(id);
  if (found != this->watches.end()) {
    found->second->action = std::move(action);
  }
}

void EventLoop::RunPosted() {
  std::vector<Action> actions;
  {
    const std::lock_guard lock(this->posted_mutex);
    actions.swap(this->posted);
    if (this->stopped) {
      event_base_loopbreak(this->event_loop_base);
    }
  }
  for (const Action& action : actions) {
    action();
  }
}

}  // namespace peridot
