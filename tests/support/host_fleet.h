// Simulates concurrent host moves between pools on a fake table. Counts
// violations of the availability budget and of pool membership.

#ifndef TESTS_SUPPORT_HOST_FLEET_H_
#define TESTS_SUPPORT_HOST_FLEET_H_

#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "src/coordination/host_ownership.h"
#include "tests/support/fake_table.h"

namespace peridot::testing {

struct HostFleet {
  FakeTable table;
  BudgetSettings budget;
  int hosts = 0;
  mutable std::map<HostId, HostRow> cached_hosts;
  mutable std::map<PoolId, PoolRow> cached_pools;
  std::int64_t grants_over_budget = 0;
  std::int64_t hosts_misplaced = 0;  // in a wrong number of pools

  // Creates two pools of `per_pool` hosts each, with two hosts per rack and two
  // racks per zone.
  explicit HostFleet(int per_pool, BudgetSettings budget) : budget(budget) {
    for (int p = 0; p < 2; ++p) {
      PoolRow pool;
      pool.pool = PoolId(p == 0 ? "web" : "spare");
      for (int i = 0; i < per_pool; ++i) {
        HostRow host;
        host.host = this->Name(this->hosts++);
        host.pool = pool.pool;
        host.rack = RackId(Numbered("r", i / 2));
        host.zone = ZoneId(Numbered("z", i / 4));
        pool.members[host.host] = {host.zone, host.rack};
        this->Write({"init-" + host.host.value, {}, {EncodeHost(host)}, {}});
      }
      this->Write({"init-" + pool.pool.value, {}, {EncodePool(pool)}, {}});
    }
  }

  static std::string Numbered(const char* prefix, int index) {
    return std::string(prefix).append(std::to_string(index));
  }
  static HostId Name(int index) { return HostId(Numbered("h", index)); }
  // Caches the decoded row until the table's row changes, because most rows are
  // read often.
  HostRow Host(const HostId& id) const {
    const TableRow row = this->table.Read(HostKey(id));
    HostRow& cached = this->cached_hosts[id];
    if (cached.version != row.version) {
      cached = DecodeHost(row).value();
    }
    return cached;
  }
  PoolRow Pool(const PoolId& id) const {
    const TableRow row = this->table.Read(PoolKey(id));
    PoolRow& cached = this->cached_pools[id];
    if (cached.version != row.version) {
      cached = DecodePool(row).value();
    }
    return cached;
  }
  MoveRows Rows(const HostId& id) const {
    const HostRow host = this->Host(id);
    return {host, this->Pool(host.pool)};
  }
  CommitAnswer Write(const TableTransaction& transaction) {
    return this->table.Transact(transaction);
  }
  // Applies a step and counts the violations of two rules: planned absences
  // stay within the pool's budget, and a host is in exactly one pool (in none
  // while it is claimed). With `naive` the transaction is written without its
  // checks, as by a daemon that checks the rows it read and then writes them
  // back.
  CommitAnswer Apply(const SendMoveStep& send, bool naive) {
    const PoolId pool =
        DecodePool({"", RowVersion(0), send.transaction.puts.back().value})
            .value()
            .pool;
    TableTransaction transaction = send.transaction;
    if (naive) {
      transaction.checks.clear();
    }
    const CommitAnswer answer = this->Write(transaction);
    const bool takes_host_out =
        send.step == MoveStep::kGrant || send.step == MoveStep::kDrain;
    if (answer.outcome == CommitOutcome::kCommitted && takes_host_out) {
      this->CountOverBudget(pool);
    }
    this->CountMisplaced();
    return answer;
  }

  // Computes the absences from the host rows, so that a lost update of the pool
  // row cannot hide one. Checks only the pool of the step: failures may put
  // another pool over its budget at any time.
  void CountOverBudget(const PoolId& pool) {
    PoolRow actual;
    for (int i = 0; i < this->hosts; ++i) {
      const HostRow host = this->Host(Name(i));
      if (host.pool != pool || host.state == HostState::kClaimed) {
        continue;
      }
      actual.members[host.host] = {host.zone, host.rack};
      if (host.state == HostState::kDown) {
        actual.unplanned.insert(host.host);
      } else if (host.state != HostState::kInService) {
        actual.planned.insert(host.host);
      }
    }
    const bool planned = !actual.planned.empty();
    this->grants_over_budget +=
        planned && !FitsBudget(actual, this->budget) ? 1 : 0;
  }
  void CountMisplaced() {
    const PoolRow web = this->Pool(PoolId("web"));
    const PoolRow spare = this->Pool(PoolId("spare"));
    for (int i = 0; i < this->hosts; ++i) {
      const HostRow host = this->Host(Name(i));
      const int pools = static_cast<int>(web.members.contains(host.host)) +
                        static_cast<int>(spare.members.contains(host.host));
      const int expected = host.state == HostState::kClaimed ? 0 : 1;
      this->hosts_misplaced += pools != expected ? 1 : 0;
    }
  }
  void Fail(int index, const std::string& operation) {
    const MoveRows rows = this->Rows(Name(index));
    auto down = PlanHostDown(operation, rows.host, rows.pool, this->budget);
    if (down.has_value()) {
      this->Write(down.value());
    }
  }
  void Return(int index, const std::string& operation) {
    const MoveRows rows = this->Rows(Name(index));
    auto back = PlanHostReturn(operation, rows.host, rows.pool);
    if (back.has_value()) {
      this->Write(back.value());
    }
  }
};

// A daemon that executes a move, one action per step.
struct MoveRunner {
  HostFleet* fleet;
  MoveRequest request;
  HostMove move;
  Instant now{};
  std::optional<MoveEnded> ended;
  std::vector<MoveAction> pending_actions;

  MoveRunner(HostFleet& fleet, MoveRequest request)
      : fleet(&fleet), request(request), move(request) {}

  void AddActions(const MoveActions& actions) {
    this->pending_actions.insert(this->pending_actions.end(), actions.begin(),
                                 actions.end());
  }
  // Executes the next action. A transaction that was planned from rows that
  // have since changed is sent unchanged.
  void Step(bool naive) {
    this->now += std::chrono::seconds(1);
    if (this->pending_actions.empty()) {
      this->AddActions(
          this->move.OnTick(std::chrono::milliseconds(1), this->now));
      return;
    }
    const MoveAction action = this->pending_actions.front();
    this->pending_actions.erase(this->pending_actions.begin());
    if (std::holds_alternative<ReadMoveRows>(action)) {
      this->AddActions(this->move.OnRows(this->fleet->Rows(this->request.host),
                                         this->fleet->budget, this->now));
    } else if (const auto* send = std::get_if<SendMoveStep>(&action)) {
      this->AddActions(
          this->move.OnAnswer(this->fleet->Apply(*send, naive), this->now));
    } else if (std::holds_alternative<DrainHost>(action)) {
      this->move.OnDrained();
    } else if (const auto* end = std::get_if<MoveEnded>(&action)) {
      this->ended = *end;
    }
  }
  void RunToEnd(int steps = 100) {
    for (int i = 0; i < steps && !this->ended; ++i) {
      this->Step(false);
    }
  }
};

// Runs a seeded sequence of moves, daemon crashes, host failures and host
// returns. Returns the fleet in its final state.
inline HostFleet RunHostSchedule(std::uint64_t seed, bool naive) {
  std::mt19937_64 random(seed);
  const auto random_below = [&](int high) {
    return std::uniform_int_distribution<int>(0, high - 1)(random);
  };
  const Survive survive[] = {Survive::kNone, Survive::kHost, Survive::kRack};
  HostFleet fleet(8,
                  {HostCount(2 + random_below(4)), survive[random_below(3)]});
  std::vector<MoveRunner> runners;
  int moves = 0;
  for (int event = 0; event < 300; ++event) {
    const std::string name = HostFleet::Numbered("e", event);
    if (runners.size() < 6) {
      const PoolId target(random_below(2) == 0 ? "web" : "spare");
      runners.emplace_back(
          fleet, MoveRequest{HostFleet::Numbered("m", ++moves),
                             HostFleet::Name(random_below(16)), target, "op"});
    }
    if (random_below(40) == 0) {  // up to three hosts fail at once, e.g. a rack
      const int first = random_below(15);
      for (int i = first; i < first + 1 + random_below(3) && i < 16; ++i) {
        fleet.Fail(i, name + "-" + std::to_string(i));
      }
    } else if (random_below(10) == 0) {
      fleet.Return(random_below(16), name);
    }
    const auto index = static_cast<std::size_t>(
        random_below(static_cast<int>(runners.size())));
    MoveRunner& runner = runners[index];
    if (random_below(30) ==
        0) {  // the daemon crashes; another one takes over the move
      runner = MoveRunner(fleet, runner.request);
    }
    runner.Step(naive);
    if (runner.ended) {
      std::swap(runner, runners.back());
      runners.pop_back();
    }
  }
  return fleet;
}

}  // namespace peridot::testing

#endif  // TESTS_SUPPORT_HOST_FLEET_H_
