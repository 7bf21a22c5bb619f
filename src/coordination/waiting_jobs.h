// Order in which the waiting jobs of one service are placed.
//
// Index:
//   [SECTION] Ranks
//   [SECTION] WaitingJobs
//
// Load it answers: a backlog of thousands of jobs while hosts have room for a
// few tasks at a time. Inserting, moving and removing a job takes logarithmic
// time, and a walk costs only the jobs that it visits, so that the cost of a
// start does not grow with the backlog.
//
// Not thread-safe.

#ifndef SRC_COORDINATION_WAITING_JOBS_H_
#define SRC_COORDINATION_WAITING_JOBS_H_

#include <algorithm>
#include <compare>
#include <cstddef>
#include <map>
#include <set>
#include <tuple>
#include <vector>

#include "src/coordination/job.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Ranks
//-----------------------------------------------------------------------------

// How likely a waiting job is to meet its objective; lower values go first.
enum class Urgency { kLongRunning, kInTime, kLate, kExpired };

// Position of a waiting job among the jobs of its team; lower values go first.
struct JobRank {
  Urgency urgency = Urgency::kExpired;
  int priority = 0;
  Instant key{};

  friend auto operator<=>(const JobRank&, const JobRank&) = default;
};

//-----------------------------------------------------------------------------
// [SECTION] WaitingJobs
//-----------------------------------------------------------------------------

enum class WalkStep {
  kNextJob,   // continue with the next job
  kSkipTeam,  // visit no further job of this job's team
  kStop,      // end the walk
};

// Jobs of type Job by team and rank. The jobs must outlive their entries.
template <typename Job>
class WaitingJobs {
 public:
  // A place in the order of teams and ranks, whether or not a job is there.
  struct Position {
    TeamId team;
    JobRank rank;
    JobId id;
  };

  // The team must have no entry with this id.
  void Insert(const TeamId& team,
              const JobRank& rank,
              const JobId& id,
              Job* job) {
    this->teams[team].insert(Entry{rank, &id, job});
    ++this->size;
  }

  // The entry must exist with exactly this rank.
  void Erase(const TeamId& team,
             const JobRank& rank,
             const JobId& id,
             Job* job) {
    const auto found = this->teams.find(team);
    if (found == this->teams.end()) {
      return;
    }
    this->size -= found->second.erase(Entry{rank, &id, job});
    if (found->second.empty()) {
      this->teams.erase(found);
    }
  }

  bool Empty() const { return this->size == 0; }
  std::size_t Size() const { return this->size; }

  template <typename Visit>
  void ForEachTeam(Visit visit) const {
    for (const auto& [team, jobs] : this->teams) {
      visit(team);
    }
  }

  // Visits the jobs in order. At equal urgency, teams that are not over their
  // share go first; `over_share(team)` may change only with a visit to a job of
  // that team. `visit` must not insert or erase entries.
  template <typename OverShare, typename Visit>
  void Walk(OverShare over_share, Visit visit) const {
    std::vector<Head> heads;
    heads.reserve(this->teams.size());
    for (const auto& [team, jobs] : this->teams) {
      heads.push_back(Head{&team, jobs.begin(), jobs.end(), over_share(team)});
    }
    while (!heads.empty()) {
      const auto first = std::min_element(heads.begin(), heads.end());
      const WalkStep step = visit(first->at->job);
      if (step == WalkStep::kStop) {
        return;
      }
      if (step == WalkStep::kSkipTeam || ++first->at == first->end) {
        heads.erase(first);
      } else {
        first->over_share = over_share(*first->team);
      }
    }
  }

  // Visits up to `count` jobs, each once, from the first one behind the
  // position on, and moves the position to the last one visited. After the last
  // job follows the first, so that repeated calls visit each job in turn.
  // `visit` must not insert or erase entries.
  template <typename Visit>
  void VisitInTurn(Position* position, std::size_t count, Visit visit) const {
    if (this->Empty()) {
      return;
    }
    auto team = this->teams.lower_bound(position->team);
    typename Entries::const_iterator at;
    if (team != this->teams.end()) {
      at = team->first == position->team
               ? team->second.upper_bound(
                     Entry{position->rank, &position->id, nullptr})
               : team->second.begin();
    }
    for (std::size_t left = std::min(count, this->size); left > 0; --left) {
      while (team == this->teams.end() || at == team->second.end()) {
        if (team == this->teams.end() || ++team == this->teams.end()) {
          team = this->teams.begin();
        }
        at = team->second.begin();
      }
      *position = Position{team->first, at->rank, *at->id};
      visit(at->job);
      ++at;
    }
  }

 private:
  struct Entry {
    JobRank rank;
    const JobId* id;
    Job* job;

    friend bool operator<(const Entry& a, const Entry& b) {
      return std::tie(a.rank, *a.id) < std::tie(b.rank, *b.id);
    }
  };
  using Entries = std::set<Entry>;

  // Next job of a team during a walk.
  struct Head {
    const TeamId* team;
    typename Entries::const_iterator at;
    typename Entries::const_iterator end;
    bool over_share;

    friend bool operator<(const Head& a, const Head& b) {
      const JobRank& left = a.at->rank;
      const JobRank& right = b.at->rank;
      return std::tie(left.urgency, a.over_share, left.priority, left.key,
                      *a.at->id) < std::tie(right.urgency, b.over_share,
                                            right.priority, right.key,
                                            *b.at->id);
    }
  };

  std::map<TeamId, Entries> teams;
  std::size_t size = 0;
};

}  // namespace peridot

#endif  // SRC_COORDINATION_WAITING_JOBS_H_
