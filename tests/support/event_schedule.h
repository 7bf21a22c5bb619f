// A deterministic discrete-event simulation of messages and faults, which
// drives decision modules.
//
// Index:
//   [SECTION] Options
//   [SECTION] EventSchedule
//
// Time is virtual: RunUntil() repeatedly takes the earliest event, advances the
// clock to its time and calls its action. Equal seeds give equal schedules.
// Not thread-safe.
//
// Limitation: the events of a paused node are postponed to the end of the pause
// and keep their order. A pause in the middle of an event cannot be expressed;
// where such a pause matters, the test schedules a module's check and its send
// as two events.

#ifndef TESTS_SUPPORT_EVENT_SCHEDULE_H_
#define TESTS_SUPPORT_EVENT_SCHEDULE_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "src/state/clock.h"

namespace peridot::testing {

//-----------------------------------------------------------------------------
// [SECTION] Options
//-----------------------------------------------------------------------------

struct NetworkOptions {
  Duration min_delay = std::chrono::microseconds(200);
  Duration max_delay = std::chrono::milliseconds(5);
  int loss_percent = 0;
  int duplicate_percent = 0;
};

//-----------------------------------------------------------------------------
// [SECTION] EventSchedule
//-----------------------------------------------------------------------------

class EventSchedule {
 public:
  using Action = std::function<void()>;
  using Node = int;  // index assigned by the test; kNoNode is never paused

  static constexpr Node kNoNode = -1;

  explicit EventSchedule(std::uint64_t seed, NetworkOptions options = {})
      : options(options), random(seed) {}

  Instant Now() const { return this->now; }

  // Returns a number in [low, high].
  std::int64_t Random(std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low, high)(this->random);
  }
  bool Chance(int percent) { return this->Random(1, 100) <= percent; }

  // Schedules the action on the node after the delay. If the node is paused at
  // that time, the action runs at the end of the pause; a crash of the node
  // drops it.
  void After(Duration delay, Node node, Action action) {
    this->events.push(Event{this->now + delay, this->next_order++, node,
                            this->GenerationOf(node), std::move(action)});
  }

  // Sends a message. It is delayed, lost or duplicated as the options say, and
  // dropped if the link is cut at the time of sending. Messages may be
  // reordered.
  void Send(Node from, Node to, Action deliver) {
    if (this->IsLinkCut(from, to) || this->Chance(this->options.loss_percent)) {
      return;
    }
    const bool repeat = this->Chance(this->options.duplicate_percent);
    this->After(this->RandomDelay(), to, deliver);
    if (repeat) {
      this->After(this->RandomDelay(), to, std::move(deliver));
    }
  }

  // Cuts or restores the link between two nodes, in both directions.
  void CutLink(Node a, Node b) { this->cuts.insert(Link(a, b)); }
  void RestoreLink(Node a, Node b) { this->cuts.erase(Link(a, b)); }
  bool IsLinkCut(Node a, Node b) const {
    return this->cuts.count(Link(a, b)) > 0;
  }

  // Postpones the node's events for this time, as SIGSTOP does to a process.
  void Pause(Node node, Duration length) {
    this->EnsureNode(node);
    this->paused_until[Index(node)] = this->now + length;
  }

  // Drops the node's pending events and ends its pause, as the exit of its
  // process does.
  void Crash(Node node) {
    this->EnsureNode(node);
    ++this->generation[Index(node)];
    this->paused_until[Index(node)] = Instant{};
  }

  // Runs events until none is left or the next one is later than the limit,
  // then sets the clock to the limit. Returns the number of events that ran.
  std::int64_t RunUntil(Instant limit) {
    std::int64_t count = 0;
    while (!this->events.empty() && this->events.top().at <= limit) {
      Event event = this->events.top();
      this->events.pop();
      this->now = std::max(this->now, event.at);
      if (event.generation != this->GenerationOf(event.node)) {
        continue;
      }
      if (this->PostponeIfPaused(event)) {
        continue;
      }
      event.action();
      ++count;
    }
    this->now = std::max(this->now, limit);
    return count;
  }

 private:
  struct Event {
    Instant at;
    std::uint64_t order;
    Node node;
    std::uint64_t generation;
    Action action;

    bool operator<(const Event& other) const {
      return std::pair(this->at, this->order) >
             std::pair(other.at, other.order);
    }
  };

  static std::size_t Index(Node node) { return static_cast<std::size_t>(node); }
  static std::pair<Node, Node> Link(Node a, Node b) {
    return std::minmax(a, b);
  }

  void EnsureNode(Node node) {
    if (this->generation.size() <= Index(node)) {
      this->generation.resize(Index(node) + 1, 0);
      this->paused_until.resize(Index(node) + 1, Instant{});
    }
  }

  std::uint64_t GenerationOf(Node node) const {
    const bool known = node >= 0 && Index(node) < this->generation.size();
    return known ? this->generation[Index(node)] : 0;
  }

  bool PostponeIfPaused(const Event& event) {
    const bool known =
        event.node >= 0 && Index(event.node) < this->paused_until.size();
    if (!known || this->paused_until[Index(event.node)] <= this->now) {
      return false;
    }
    Event later = event;
    later.at = this->paused_until[Index(event.node)];
    this->events.push(std::move(later));
    return true;
  }

  Duration RandomDelay() {
    return Duration(this->Random(this->options.min_delay.count(),
                                 this->options.max_delay.count()));
  }

  NetworkOptions options;
  std::mt19937_64 random;
  Instant now{};
  std::uint64_t next_order = 0;
  std::priority_queue<Event> events;
  std::set<std::pair<Node, Node>> cuts;
  std::vector<std::uint64_t> generation;
  std::vector<Instant> paused_until;
};

}  // namespace peridot::testing

#endif  // TESTS_SUPPORT_EVENT_SCHEDULE_H_
