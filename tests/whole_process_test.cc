// Tests of process, table and endpoint failures under load: real daemons and
// stand-ins on the loopback address. Verify() compares every caller's answer
// with the runs that the endpoints recorded.

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdint>
#include <functional>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "tests/support/cluster.h"

namespace peridot::testing {
namespace {

constexpr std::int64_t kSecondUs = 1'000'000;

//-----------------------------------------------------------------------------
// [SECTION] Verification
//-----------------------------------------------------------------------------

// Outcomes other than answers that a test case allows.
struct Allowed {
  std::set<std::string> abortable;  // daemons whose requests may be aborted
  std::set<std::string>
      for_non_idempotent;  // codes of refusals of kNonIdempotentTeam
  std::set<std::string> for_idempotent;  // codes of refusals of kIdempotentTeam
};

// Returns the maximum number of concurrent runs of a team from `since_us` on.
int MaxConcurrentRuns(const std::vector<Run>& runs,
                      const std::string& team,
                      std::int64_t since_us) {
  // Time and change of the count; at equal times ends sort before starts.
  std::vector<std::pair<std::int64_t, int>> changes;
  for (const Run& run : runs) {
    if (run.team != team || run.ended_us <= since_us)
      continue;
    changes.emplace_back(std::max(run.started_us, since_us), 1);
    changes.emplace_back(run.ended_us, -1);
  }
  std::sort(changes.begin(), changes.end());
  int now = 0;
  int most = 0;
  for (const auto& [at, change] : changes) {
    now += change;
    most = std::max(most, now);
  }
  return most;
}

// Compares the answers with the runs and fails if any of them deviate.
void Verify(const Cluster& cluster,
            const std::vector<Call>& calls,
            const Allowed& allowed = {}) {
  std::vector<Run> runs;
  REQUIRE(Await([&] {
    runs = cluster.Runs();
    return std::none_of(runs.begin(), runs.end(), [](const Run& run) {
      return run.outcome == "running";
    });
  }));
  std::map<std::string, int> runs_of;
  std::map<std::string, int> done_of;
  for (const Run& run : runs) {
    ++runs_of[run.task];
    done_of[run.task] += run.outcome == "done" ? 1 : 0;
  }
  std::map<std::string, int> faults;
  for (const Run& run : runs) {
    if (run.team != kIdempotentTeam && runs_of[run.task] > 1)
      ++faults["a task of " + run.team + " ran twice"];
  }
  for (const Call& call : calls) {
    const bool idempotent = call.team == kIdempotentTeam;
    if (call.status == 0) {
      if (!allowed.abortable.contains(call.daemon))
        ++faults["no answer from " + call.daemon];
    } else if (call.status == 200) {
      if (call.body != "ok " + call.payload)
        ++faults["an answer to another request: " + call.body];
      if (done_of[call.task] == 0)
        ++faults["an answer without a run"];
    } else {
      if (!(idempotent ? allowed.for_idempotent : allowed.for_non_idempotent)
               .contains(call.code))
        ++faults[call.team + " refused: " + call.code + ", ran " + call.ran];
      if (call.ran == "no" && runs_of.contains(call.task))
        ++faults["a run of a task refused as not run: " + call.code];
      if (call.ran == "yes" && !runs_of.contains(call.task))
        ++faults["no run of a task reported as run: " + call.code];
      if (call.ran.empty())
        ++faults["a refusal without an outcome: " + call.body];
    }
  }
  for (const auto& [fault, count] : faults) {
    UNSCOPED_INFO(fault << ": " << count << " times");
  }
  CHECK(faults.empty());
  CHECK(MaxConcurrentRuns(runs, kNonIdempotentTeam, 0) <= cluster.Limit());
  CHECK(MaxConcurrentRuns(runs, kIdempotentTeam, 0) <= 6);
}

//-----------------------------------------------------------------------------
// [SECTION] Helpers
//-----------------------------------------------------------------------------

// Keeps the callers running until the given time. Returns false if they receive
// no answers.
bool LoadUntil(Load& load, std::int64_t until_us) {
  bool answered = true;
  while (answered && NowUs() < until_us) {
    answered = load.AwaitAnswers();
  }
  return answered;
}

template <typename Matches>
std::int64_t LastStart(const Cluster& cluster, const Matches& matches) {
  std::int64_t last = 0;
  for (const Run& run : cluster.Runs()) {
    if (matches(run))
      last = std::max(last, run.started_us);
  }
  return last;
}

// Repeats the change until it is reported in force; returns the time of the
// report.
std::int64_t AwaitInForce(
    const std::function<std::optional<HttpResponse>()>& put) {
  REQUIRE(Await([&] {
    const auto answer = put();
    return answer && answer->status == 200 &&
           answer->Json()["in_force"] == true;
  }));
  return NowUs();
}

bool IsListed(const Cluster& cluster,
              const std::string& by,
              const std::string& daemon) {
  const auto status = cluster.Status(by);
  const auto listed = status.value("daemons", nlohmann::json::array());
  return std::any_of(listed.begin(), listed.end(), [&](const auto& entry) {
    return entry.at("daemon") == daemon;
  });
}

void ReturnToRotation(Cluster& cluster, Load& load, const std::string& daemon) {
  cluster.StartDaemon(daemon);
  REQUIRE(Await([&] { return cluster.IsReady(daemon); }));
  load.Add(daemon);
}

//-----------------------------------------------------------------------------
// [SECTION] Daemons
//-----------------------------------------------------------------------------

TEST_CASE("all requests are answered when no process fails",
          "[whole_process]") {
  // Guards against a test setup that passes because no task runs.
  Cluster cluster;
  Load load(cluster);
  REQUIRE(load.AwaitAnswers());
  Verify(cluster, load.Stop());
}

TEST_CASE("other daemons continue when a daemon is killed", "[whole_process]") {
  // Guards against permits of the killed daemon that others use while its tasks
  // still run, non-idempotent tasks of it that run twice or are reported as not
  // run, and daemons that wait forever for slots that it held.
  Cluster cluster({.daemons = 4});
  Load load(cluster);
  REQUIRE(load.AwaitAnswers());
  cluster.Daemon("d2").Signal(SIGKILL);
  load.Remove("d2");
  REQUIRE(load.AwaitAnswers());
  REQUIRE(Await([&] { return !IsListed(cluster, "d1", "d2"); }));
  REQUIRE(load.AwaitAnswers());
  ReturnToRotation(cluster, load, "d2");
  REQUIRE(load.AwaitAnswers());
  Verify(cluster, load.Stop(), {.abortable = {"d2"}});
}

TEST_CASE("accepted tasks are completed after their daemon is killed",
          "[whole_process]") {
  // Guards against a task that was accepted with 202 and is lost with its
  // daemon, and against the daemon that takes over running a non-idempotent
  // task a second time.
  Cluster cluster({.daemons = 4, .run_ms = 300});
  HttpClient client(cluster.Port("d2"));
  std::set<std::string> accepted;
  for (int i = 0; i < 40; ++i) {
    const auto answer = client.Post(
        "/v1/queues/web.once/tasks", std::to_string(i),
        {{"Authorization", "Bearer " + cluster.KeyText(kNonIdempotentTeam)},
         {"Prefer", "respond-async"}});
    REQUIRE(answer);
    REQUIRE(answer->status == 202);
    accepted.insert(answer->Json().at("id"));
  }
  REQUIRE(accepted.size() == 40);
  const auto runs_of = [&] {
    std::map<std::string, int> runs;
    for (const Run& run : cluster.Runs()) {
      ++runs[run.task];
    }
    return runs;
  };
  cluster.Daemon("d2").Signal(SIGKILL);
  REQUIRE(runs_of().size() < accepted.size());
  REQUIRE(Await([&] { return runs_of().size() == accepted.size(); }));
  for (const auto& [task, runs] : runs_of()) {
    CHECK(accepted.contains(task));
    CHECK(runs == 1);
  }
}

TEST_CASE("a daemon paused beyond its leases starts nothing when resumed",
          "[whole_process]") {
  // Guards against a daemon that acts on a settings proof and on leases that
  // expired while it was paused: it would use withdrawn keys, a team limit or a
  // zone that are out of date, or run a task a second time.
  Cluster cluster({.daemons = 4});
  Load load(cluster);
  REQUIRE(load.AwaitAnswers());
  cluster.Daemon("d2").Signal(SIGSTOP);
  const std::int64_t paused = NowUs();
  load.Remove("d2");
  REQUIRE(Await([&] { return !IsListed(cluster, "d1", "d2"); }));
  REQUIRE(LoadUntil(load, paused + 3 * kSecondUs));
  const std::int64_t continued = NowUs();
  cluster.Daemon("d2").Signal(SIGCONT);
  REQUIRE(cluster.Daemon("d2").Wait() == 10);  // its session was fenced
  REQUIRE(load.AwaitAnswers());
  const auto of_paused = [](const Run& run) {
    return run.task.starts_with("d2.1.");
  };
  CHECK(LastStart(cluster, of_paused) < continued);
  ReturnToRotation(cluster, load, "d2");
  REQUIRE(load.AwaitAnswers());
  Verify(cluster, load.Stop(), {.abortable = {"d2"}});
}

TEST_CASE("a daemon that is stopped completes all requests",
          "[whole_process]") {
  // Guards against a graceful stop that closes connections with open requests.
  Cluster cluster;
  Load load(cluster);
  REQUIRE(load.AwaitAnswers());
  cluster.Daemon("d2").Signal(SIGTERM);
  // The load balancer removes a daemon from rotation once it is not ready.
  REQUIRE(Await([&] { return !cluster.IsReady("d2"); }));
  load.Remove("d2");
  CHECK(cluster.Daemon("d2").Wait() == 0);
  REQUIRE(load.AwaitAnswers());
  Verify(cluster, load.Stop());
}

//-----------------------------------------------------------------------------
// [SECTION] Table
//-----------------------------------------------------------------------------

TEST_CASE("tasks run while the table is down", "[whole_process]") {
  // Guards against daemons that lose their settings proofs when the table is
  // down although all daemons can still reach each other.
  Cluster cluster;
  Load load(cluster);
  REQUIRE(load.AwaitAnswers());
  cluster.InjectTableFault({{"down", true}});
  REQUIRE(LoadUntil(load, NowUs() + 4 * kSecondUs));
  cluster.InjectTableFault({{"down", false}});
  REQUIRE(load.AwaitAnswers());
  const std::int64_t out = AwaitInForce(
      [&] { return cluster.Admin("d3", EVHTTP_REQ_PUT, "zones/z2", "out"); });
  REQUIRE(load.AwaitAnswers());
  CHECK(LastStart(cluster, [](const Run& run) { return run.zone == "z2"; }) <=
        out);
  Verify(cluster, load.Stop());
}

TEST_CASE("changes are applied once when answers of the table are lost",
          "[whole_process]") {
  // Guards against a change whose answer was lost and that is reported as
  // refused although it was written, or that takes effect without being
  // reported. Also checks that no task starts in the zone after the report.
  Cluster cluster;
  Load load(cluster);
  REQUIRE(load.AwaitAnswers());
  cluster.InjectTableFault({{"lose_answers", 50}});
  const std::int64_t out = AwaitInForce(
      [&] { return cluster.Admin("d1", EVHTTP_REQ_PUT, "zones/z2", "out"); });
  REQUIRE(load.AwaitAnswers());
  CHECK(LastStart(cluster, [](const Run& run) { return run.zone == "z2"; }) <=
        out);
  cluster.InjectTableFault({{"lose_answers", 0}});
  REQUIRE(load.AwaitAnswers());
  Verify(cluster, load.Stop());
}

TEST_CASE("tasks run while the table is slow", "[whole_process]") {
  // Guards against settings proofs whose validity counts from the table's
  // answer instead of the time at which the request was sent.
  Cluster cluster;
  Load load(cluster);
  REQUIRE(load.AwaitAnswers());
  cluster.InjectTableFault({{"latency_ms", 700}});
  REQUIRE(LoadUntil(load, NowUs() + 3 * kSecondUs));
  const std::int64_t out = AwaitInForce(
      [&] { return cluster.Admin("d2", EVHTTP_REQ_PUT, "zones/z1", "out"); });
  REQUIRE(load.AwaitAnswers());
  CHECK(LastStart(cluster, [](const Run& run) { return run.zone == "z1"; }) <=
        out);
  cluster.InjectTableFault({{"latency_ms", 0}});
  REQUIRE(load.AwaitAnswers());
  Verify(cluster, load.Stop());
}

//-----------------------------------------------------------------------------
// [SECTION] Endpoints
//-----------------------------------------------------------------------------

TEST_CASE("tasks complete when connections to endpoints stop responding",
          "[whole_process]") {
  // Guards against an unanswered attempt of a non-idempotent task that is sent
  // again, and against an answer that is lost or mixed up although it could be
  // fetched over a new connection.
  Cluster cluster;
  Load load(cluster);
  REQUIRE(load.AwaitAnswers());
  for (const Cluster::Host& host : cluster.Hosts()) {
    Cluster::InjectFault(host.port, {{"silent", true}});
    REQUIRE(load.AwaitAnswers());
  }
  Verify(cluster, load.Stop());
}

TEST_CASE("endpoint restarts do not repeat non-idempotent tasks",
          "[whole_process]") {
  // Guards against an attempt that an endpoint no longer lists after its
  // restart and that is treated as never started: its task runs again or is
  // reported as not run.
  Cluster cluster;
  Load load(cluster);
  for (const Cluster::Host& host : cluster.Hosts()) {
    REQUIRE(load.AwaitAnswers());
    Cluster::InjectFault(host.port, {{"restart", true}});
  }
  REQUIRE(load.AwaitAnswers());
  Verify(cluster, load.Stop(),
         {.for_non_idempotent = {"outcome_unknown", "task_failed"}});
}

TEST_CASE("repeatable tasks succeed while an endpoint fails every attempt",
          "[whole_process]") {
  // Guards against an endpoint that receives most tasks because its attempts
  // fail quickly, and against a second run of a task that failed.
  Cluster cluster;
  Load load(cluster);
  REQUIRE(load.AwaitAnswers());
  Cluster::InjectFault(cluster.Hosts().front().port, {{"fail_all", true}});
  REQUIRE(load.AwaitAnswers());
  REQUIRE(load.AwaitAnswers());
  Cluster::InjectFault(cluster.Hosts().front().port, {{"fail_all", false}});
  REQUIRE(load.AwaitAnswers());
  Verify(cluster, load.Stop(), {.for_non_idempotent = {"task_failed"}});
}

TEST_CASE("wrong, truncated or lost answers of endpoints reach no caller",
          "[whole_process]") {
  // Guards against a caller that receives the answer to another request or only
  // a part of its own answer.
  Cluster cluster;
  Load load(cluster);
  REQUIRE(load.AwaitAnswers());
  for (const char* fault : {"wrong_answers", "truncate", "lose_answers"}) {
    for (const Cluster::Host& host : cluster.Hosts()) {
      Cluster::InjectFault(host.port, {{fault, 10}});
    }
    REQUIRE(load.AwaitAnswers());
  }
  REQUIRE(load.AwaitAnswers());
  Verify(cluster, load.Stop());
}

TEST_CASE("a leaving endpoint receives no new tasks", "[whole_process]") {
  // Guards against starts on an endpoint that is leaving, whether the
  // membership list or the endpoint itself reports it.
  constexpr std::int64_t kLeavingBound = 5 * kSecondUs;
  Cluster cluster;
  Load load(cluster);
  REQUIRE(load.AwaitAnswers());
  const Cluster::Host listed = cluster.Hosts().front();
  const Cluster::Host self_reported = cluster.Hosts().back();
  cluster.PutHostRecord(listed, "leaving");
  Cluster::InjectFault(self_reported.port, {{"leaving", true}});
  const std::int64_t bound = NowUs() + kLeavingBound;
  REQUIRE(LoadUntil(load, bound + kSecondUs));
  for (const auto& host : {listed, self_reported}) {
    CHECK(LastStart(cluster, [&](const Run& run) {
            return run.host == host.name;
          }) <= bound);
  }
  Verify(cluster, load.Stop());
}

//-----------------------------------------------------------------------------
// [SECTION] Operators
//-----------------------------------------------------------------------------

// Time after an operator's request within which starts that violate it must
// end.
constexpr std::int64_t kInForceBound = 3 * kSecondUs;

TEST_CASE("no task starts in a zone that was taken out", "[whole_process]") {
  // Guards against a daemon that starts tasks in a zone after the operator's
  // request to take it out was reported in force.
  Cluster cluster;
  Load load(cluster);
  REQUIRE(load.AwaitAnswers());
  const std::int64_t asked = NowUs();
  const std::int64_t in_force = AwaitInForce(
      [&] { return cluster.Admin("d1", EVHTTP_REQ_PUT, "zones/z2", "out"); });
  REQUIRE(LoadUntil(load, asked + kInForceBound + kSecondUs));
  const std::int64_t last =
      LastStart(cluster, [](const Run& run) { return run.zone == "z2"; });
  CHECK(last <= in_force);
  CHECK(last <= asked + kInForceBound);
  AwaitInForce(
      [&] { return cluster.Admin("d2", EVHTTP_REQ_PUT, "zones/z2", "in"); });
  REQUIRE(load.AwaitAnswers());
  CHECK(LastStart(cluster, [](const Run& run) { return run.zone == "z2"; }) >
        last);
  Verify(cluster, load.Stop());
}

TEST_CASE("no task starts with a withdrawn key", "[whole_process]") {
  // Guards against a daemon that starts tasks of a key after its withdrawal was
  // reported in force.
  Cluster cluster;
  Load load(cluster);
  REQUIRE(load.AwaitAnswers());
  const std::int64_t asked = NowUs();
  const std::string path = "keys/" + cluster.KeyId(kIdempotentTeam);
  const auto answer = cluster.Admin("d2", EVHTTP_REQ_DELETE, path);
  REQUIRE((answer && answer->Json().value("in_force", false)));
  const std::int64_t in_force = NowUs();
  while (NowUs() < asked + kInForceBound + kSecondUs) {
    REQUIRE(load.AwaitAnswers({kNonIdempotentTeam}));
  }
  const std::int64_t last = LastStart(
      cluster, [](const Run& run) { return run.team == kIdempotentTeam; });
  CHECK(last <= in_force);
  CHECK(last <= asked + kInForceBound);
  Verify(cluster, load.Stop(), {.for_idempotent = {"key_unknown"}});
}

TEST_CASE("concurrent changes of two operators do not overwrite each other",
          "[whole_process]") {
  // Guards against a change that is overwritten by another one with an older
  // base revision, and against a daemon that returns to an earlier revision.
  Cluster cluster;
  Load load(cluster);
  REQUIRE(load.AwaitAnswers());
  struct Change {
    int status = 0;
    std::uint64_t base = 0;
    std::uint64_t revision = 0;
    int deadline_ms = 0;
    std::string body;
  };
  const auto operate = [&](const std::string& daemon, int first_deadline,
                           std::vector<Change>* changes) {
    for (int i = 0; i < 5; ++i) {
      const auto now = cluster.Admin(daemon, EVHTTP_REQ_GET, "settings");
      if (!now)
        continue;
      Change change;
      change.base = std::stoull(now->headers.at("Peridot-Revision"));
      change.deadline_ms = first_deadline + i;
      const auto answer = cluster.PutSettings(
          daemon,
          "deadline_ms: " + std::to_string(change.deadline_ms) + "\n" +
              cluster.SettingsText(cluster.Limit()),
          change.base);
      change.status = answer ? answer->status : 0;
      change.body = answer ? answer->body : "";
      if (change.status == 200)
        change.revision = answer->Json().at("revision");
      changes->push_back(change);
    }
  };
  std::vector<Change> first;
  std::vector<Change> second;
  std::thread other([&] { operate("d2", 50'000, &second); });
  operate("d1", 40'000, &first);
  other.join();
  std::map<std::uint64_t, Change> winners;
  std::vector<Change> all = first;
  all.insert(all.end(), second.begin(), second.end());
  REQUIRE(all.size() == 10);
  for (const Change& change : all) {
    INFO("status " << change.status << " base " << change.base << change.body);
    // A daemon that has been notified of a revision but has not adopted it yet
    // refuses a change before it sends anything.
    const bool not_held =
        change.body.find("the latest settings are not held") !=
        std::string::npos;
    CHECK((change.status == 200 || change.status == 409 ||
           (change.status == 503 && not_held)));
    if (change.status != 200)
      continue;
    CHECK(change.revision > change.base);
    CHECK(winners.emplace(change.revision, change).second);
  }
  REQUIRE(!winners.empty());
  // There is no unreported change between two reported ones.
  for (auto next = std::next(winners.begin()); next != winners.end(); ++next)
    CHECK(next->second.base == std::prev(next)->first);
  const Change last = winners.rbegin()->second;
  for (const std::string& daemon : cluster.DaemonNames()) {
    REQUIRE(Await([&] {
      return cluster.Status(daemon).value("revision", std::uint64_t{0}) ==
             last.revision;
    }));
    const auto settings = cluster.Admin(daemon, EVHTTP_REQ_GET, "settings");
    REQUIRE(settings);
    CHECK(settings->body.find(std::to_string(last.deadline_ms)) !=
          std::string::npos);
  }
  REQUIRE(load.AwaitAnswers());
  Verify(cluster, load.Stop());
}

// Lowers a team's limit under load and checks the concurrent runs from the time
// at which the change is reported in force.
void LowerLimit(int table_latency_ms) {
  constexpr int kLowered = 2;
  Cluster cluster;
  Load load(cluster);
  REQUIRE(load.AwaitAnswers());
  cluster.InjectTableFault({{"latency_ms", table_latency_ms}});
  const std::int64_t in_force = AwaitInForce([&] {
    const auto settings = cluster.Admin("d1", EVHTTP_REQ_GET, "settings");
    return cluster.PutSettings(
        "d1", cluster.SettingsText(kLowered),
        std::stoull(settings->headers.at("Peridot-Revision")));
  });
  REQUIRE(load.AwaitAnswers());
  cluster.InjectTableFault({{"latency_ms", 0}});
  REQUIRE(load.AwaitAnswers());
  // Runs above the lowered limit are stopped and reported as failed.
  Verify(cluster, load.Stop(), {.for_non_idempotent = {"task_failed"}});
  CHECK(MaxConcurrentRuns(cluster.Runs(), kNonIdempotentTeam, in_force) <=
        kLowered);
}

TEST_CASE("a lowered limit is not exceeded once it is in force",
          "[whole_process]") {
  // Guards against more concurrent runs of a team than its limit after a
  // lowered limit was reported in force.
  LowerLimit(0);
}

TEST_CASE("a lowered limit is not exceeded with a slow table",
          "[whole_process]") {
  // Guards against settings that are reported in force before the permits above
  // the new limit have been returned, which takes longer with a slow table.
  LowerLimit(700);
}

}  // namespace
}  // namespace peridot::testing
