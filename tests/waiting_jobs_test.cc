// Tests of the order of waiting jobs.

#include "src/coordination/waiting_jobs.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <string>
#include <tuple>
#include <vector>

namespace peridot {
namespace {

struct Job {
  JobId id;
  TeamId team;
  JobRank rank;
};

std::vector<Job> RandomJobs(unsigned seed) {
  std::mt19937 random(seed);
  std::vector<Job> jobs;
  for (int i = 0; i < 300; ++i) {
    jobs.push_back(Job{JobId("j" + std::to_string(i)),
                       TeamId("t" + std::to_string(random() % 7)),
                       JobRank{static_cast<Urgency>(random() % 4),
                               static_cast<int>(random() % 2),
                               Instant{} + Milliseconds(random() % 40)}});
  }
  return jobs;
}

bool IsOverShare(const TeamId& team) {
  return team.value == "t1" || team.value == "t4";
}

TEST_CASE("visits in turn reach each job once in a cycle", "[waiting_jobs]") {
  // Guards against a job that is never looked at because those before it do not
  // fit, also when jobs leave and arrive between the visits.
  std::vector<Job> jobs = RandomJobs(5);
  WaitingJobs<Job> waiting;
  for (Job& job : jobs) {
    waiting.Insert(job.team, job.rank, job.id, &job);
  }
  WaitingJobs<Job>::Position position;
  std::map<std::string, int> visits;
  const auto count = [&](const Job* job) { ++visits[job->id.value]; };
  for (int i = 0; i < 30; ++i) {
    waiting.VisitInTurn(&position, 20, count);
  }
  CHECK(visits.size() == 300);
  CHECK(std::all_of(visits.begin(), visits.end(),
                    [](const auto& entry) { return entry.second == 2; }));
  // The job at the position leaves: the next one follows.
  for (int i = 0; i < 300; ++i) {
    Job* last = nullptr;
    waiting.VisitInTurn(&position, 1, [&](Job* job) { last = job; });
    REQUIRE(last != nullptr);
    waiting.Erase(last->team, last->rank, last->id, last);
  }
  CHECK(waiting.Empty());
  waiting.VisitInTurn(&position, 1, count);
  CHECK(visits.size() == 300);
}

TEST_CASE("a walk visits jobs in the order of a full sort", "[waiting_jobs]") {
  // Guards the merge of the teams' queues, which replaces a sort of the whole
  // backlog in each round.
  for (unsigned seed = 1; seed <= 20; ++seed) {
    std::vector<Job> jobs = RandomJobs(seed);
    WaitingJobs<Job> waiting;
    for (Job& job : jobs) {
      waiting.Insert(job.team, job.rank, job.id, &job);
    }
    for (std::size_t i = 0; i < jobs.size(); i += 3) {
      waiting.Erase(jobs[i].team, jobs[i].rank, jobs[i].id, &jobs[i]);
    }
    std::vector<const Job*> expected;
    for (std::size_t i = 0; i < jobs.size(); ++i) {
      if (i % 3 != 0) {
        expected.push_back(&jobs[i]);
      }
    }
    const auto key = [](const Job* job) {
      return std::make_tuple(job->rank.urgency, IsOverShare(job->team),
                             job->rank.priority, job->rank.key, job->id);
    };
    std::sort(expected.begin(), expected.end(),
              [&](const Job* a, const Job* b) { return key(a) < key(b); });
    std::vector<const Job*> visited;
    waiting.Walk(IsOverShare, [&](const Job* job) {
      visited.push_back(job);
      return WalkStep::kNextJob;
    });
    CAPTURE(seed);
    CHECK(visited == expected);
    CHECK(waiting.Size() == expected.size());
  }
}

TEST_CASE("a team that exceeds its share during a walk goes last",
          "[waiting_jobs]") {
  // Guards other teams against one whose jobs all came first.
  std::vector<Job> jobs;
  for (int i = 0; i < 4; ++i) {
    jobs.push_back(
        Job{JobId("a" + std::to_string(i)), TeamId("a"),
            JobRank{Urgency::kLate, 0, Instant{} + Milliseconds(i)}});
    jobs.push_back(
        Job{JobId("b" + std::to_string(i)), TeamId("b"),
            JobRank{Urgency::kLate, 0, Instant{} + Milliseconds(10 + i)}});
  }
  WaitingJobs<Job> waiting;
  for (Job& job : jobs) {
    waiting.Insert(job.team, job.rank, job.id, &job);
  }
  int started_of_a = 0;
  std::string order;
  waiting.Walk(
      [&](const TeamId& team) {
        return team.value == "a" && started_of_a >= 2;
      },
      [&](const Job* job) {
        started_of_a += job->team.value == "a" ? 1 : 0;
        order += job->id.value + " ";
        return WalkStep::kNextJob;
      });
  CHECK(order == "a0 a1 b0 b1 b2 b3 a2 a3 ");
}

TEST_CASE("a skipped team does not end the walk, a stop does",
          "[waiting_jobs]") {
  // Guards the bounds on a round: a team at its limit must not hide the jobs
  // of the others.
  std::vector<Job> jobs = RandomJobs(3);
  WaitingJobs<Job> waiting;
  for (Job& job : jobs) {
    waiting.Insert(job.team, job.rank, job.id, &job);
  }
  std::set<TeamId> visited;
  std::size_t visits = 0;
  waiting.Walk(IsOverShare, [&](const Job* job) {
    visited.insert(job->team);
    ++visits;
    return WalkStep::kSkipTeam;
  });
  CHECK(visited.size() == 7);
  CHECK(visits == 7);
  visits = 0;
  waiting.Walk(IsOverShare, [&](const Job*) {
    return ++visits == 5 ? WalkStep::kStop : WalkStep::kNextJob;
  });
  CHECK(visits == 5);
}

}  // namespace
}  // namespace peridot
