#include "src/coordination/placement_wait.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numbers>
#include <utility>

namespace peridot {

namespace {

// Spreads outside of this range are errors of the estimate: runs are never
// exact, and the mean of a log-logistic distribution is infinite at 1.81.
constexpr double kMinSpread = 0.05;
constexpr double kMaxSpread = 1.2;

// Time over which demand is averaged: several durations of short tasks, and
// less than a peak lasts (5 to 10 s).
constexpr std::chrono::duration<double> kDemandTime{2};

// Share of runs that do not end in any time that matters, such as those of a
// host that stalls. With it, a run that has far outlived its prediction is
// expected to go on, and steps do not wait for it.
constexpr double kStuck = 0.05;

// Share of places that stall as a whole, so that none of their runs ends.
constexpr double kStalledPlace = 0.01;

// Share of the additional run time elsewhere that a wait must be expected to
// save. Predictions err, and a slot that is held back may be needed by others.
constexpr double kLeastGain = 0.1;

// Longest prediction; keeps sums of durations within their range.
constexpr Duration kLongest = std::chrono::hours(24 * 365);

Duration FromSeconds(double seconds) {
  const double longest = std::chrono::duration<double>(kLongest).count();
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::clamp(seconds, 0.0, longest)));
}

// Parameters of the log-logistic distribution of the duration of a run.
struct Shape {
  explicit Shape(const RunOutlook& run) {
    const double angle =
        std::clamp(run.spread, kMinSpread, kMaxSpread) * std::numbers::sqrt3;
    this->exponent = std::numbers::pi / angle;
    this->median = std::chrono::duration<double>(run.expected).count() *
                   std::sin(angle) / angle;
  }

  // Returns the probability that the run lasts longer than `time`.
  double Survival(Duration time) const {
    const double seconds =
        std::max(0.0, std::chrono::duration<double>(time).count());
    return kStuck + (1 - kStuck) /
                        (1 + std::pow(seconds / this->median, this->exponent));
  }

  double exponent;
  double median;
};

// Returns in how many scenarios no run ends, because the whole place stalls: no
// run has ended since the last one started, which may be unlikely by now.
std::size_t StalledScenarios(const std::vector<EndpointOutlook>& endpoints) {
  Duration since_start = Duration::max();
  for (const EndpointOutlook& endpoint : endpoints) {
    if (endpoint.free >= 1) {
      return 0;  // a run may have ended since the last one started
    }
    for (const EndpointOutlook::Run& run : endpoint.runs) {
      since_start = std::min(since_start, run.outlook.age);
    }
  }
  double likelihood = 1;
  for (const EndpointOutlook& endpoint : endpoints) {
    for (const EndpointOutlook::Run& run : endpoint.runs) {
      const Shape shape(run.outlook);
      if (shape.median > 0) {
        likelihood *= shape.Survival(run.outlook.age) /
                      shape.Survival(run.outlook.age - since_start);
      }
    }
  }
  const double stalled =
      kStalledPlace / (kStalledPlace + (1 - kStalledPlace) * likelihood);
  return static_cast<std::size_t>(
      std::lround(stalled * PlaceForecast::kScenarios));
}

// Returns the probability that a scenario uses for a run. Each run meets each
// stratum once, and the strata of different runs are combined differently.
double ScenarioProbability(std::size_t scenario, std::size_t run) {
  constexpr double kGoldenRatio = 0.61803398874989485;
  const double shifted =
      (static_cast<double>(scenario) + 0.5) / PlaceForecast::kScenarios +
      static_cast<double>(run) * kGoldenRatio;
  return std::clamp(shifted - std::floor(shifted), 0.01, 0.99);
}

}  // namespace

//-----------------------------------------------------------------------------
// [SECTION] Durations
//-----------------------------------------------------------------------------

Duration RunOutlook::RemainingQuantile(double probability) const {
  const Shape shape(*this);
  if (shape.median <= 0) {
    return Duration{0};
  }
  const double left = shape.Survival(this->age) * (1 - probability);
  if (left <= kStuck) {
    return kLongest;
  }
  const double odds = (1 - kStuck) / (left - kStuck) - 1;
  return FromSeconds(shape.median * std::pow(odds, 1 / shape.exponent)) -
         std::max(this->age, Duration{0});
}

//-----------------------------------------------------------------------------
// [SECTION] Forecast of a place
//-----------------------------------------------------------------------------

PlaceForecast::PlaceForecast(const std::vector<EndpointOutlook>& endpoints,
                             Instant now) {
  // Absorbs rounding when units are summed.
  constexpr double kTolerance = 1e-6;
  std::vector<std::pair<Duration, double>> ends;
  const std::size_t stalled = StalledScenarios(endpoints);
  for (std::size_t scenario = 0; scenario < kScenarios; ++scenario) {
    std::vector<Instant>& open = this->openings[scenario];
    std::size_t number = 0;
    for (const EndpointOutlook& endpoint : endpoints) {
      ends.clear();
      for (const EndpointOutlook::Run& run : endpoint.runs) {
        ends.emplace_back(run.outlook.RemainingQuantile(
                              ScenarioProbability(scenario, number++)),
                          run.units);
      }
      std::sort(ends.begin(), ends.end());
      double units = endpoint.free;
      int opened = 0;
      const auto open_up_to = [&](Duration time) {
        for (; opened + 1 <= std::min(units, endpoint.most) + kTolerance;
             ++opened) {
          open.push_back(now + std::max(time, endpoint.available));
        }
      };
      open_up_to(Duration{0});
      for (const auto& [time, freed] : ends) {
        units += freed;
        open_up_to(scenario < stalled ? kLongest : time);
      }
    }
    std::make_heap(open.begin(), open.end(), std::greater<>());
  }
}

PlaceForecast::Waits PlaceForecast::WaitsFor(std::size_t tasks,
                                             Instant now) const {
  Waits waits;
  for (std::size_t scenario = 0; scenario < kScenarios; ++scenario) {
    const std::vector<Instant>& open = this->openings[scenario];
    if (open.size() < tasks) {
      waits[scenario] = kNoRoom;
      continue;
    }
    Instant at = open.front();
    if (tasks > 1) {
      std::vector<Instant> sorted = open;
      const auto last = sorted.begin() + static_cast<std::ptrdiff_t>(tasks) - 1;
      std::nth_element(sorted.begin(), last, sorted.end());
      at = *last;
    }
    waits[scenario] = std::max(Duration{0}, at - now);
  }
  return waits;
}

void PlaceForecast::Claim(std::size_t tasks, Duration duration, Instant now) {
  for (std::vector<Instant>& open : this->openings) {
    if (open.size() < tasks) {
      continue;
    }
    Instant start = now;
    for (std::size_t i = 0; i < tasks; ++i) {
      std::pop_heap(open.begin(), open.end(), std::greater<>());
      start = std::max(start, open.back());
      open.pop_back();
    }
    for (std::size_t i = 0; i < tasks; ++i) {
      open.push_back(start + std::min(duration, kLongest));
      std::push_heap(open.begin(), open.end(), std::greater<>());
    }
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Demand for a place
//-----------------------------------------------------------------------------

void PlaceDemand::OnReady(Duration work, Instant now) {
  this->first = std::min(this->first, now);
  this->work_s = this->work_s * std::exp(-(now - this->last) / kDemandTime) +
                 std::chrono::duration<double>(work).count();
  this->last = now;
}

double PlaceDemand::BusySlots(Instant now) const {
  if (this->first == Instant::max()) {
    return 0;
  }
  // Without a lower bound, the first task would count as a high rate.
  const double observed = std::max(0.25, (now - this->first) / kDemandTime);
  return this->work_s * std::exp(-(now - this->last) / kDemandTime) /
         ((1 - std::exp(-observed)) * kDemandTime.count());
}

std::size_t BestQueueLength(std::size_t slots,
                            double busy_slots,
                            double saving) {
  const auto longest = static_cast<std::size_t>(
      std::ceil(static_cast<double>(slots) * std::max(0.0, saving)));
  if (slots == 0 || busy_slots <= 0) {
    return longest;
  }
  double blocked = 1;  // Erlang B: probability that all slots are busy
  for (std::size_t i = 1; i <= slots; ++i) {
    blocked =
        busy_slots * blocked / (static_cast<double>(i) + busy_slots * blocked);
  }
  // Weights of the states, relative to that of all slots busy and no queue.
  const double ratio = busy_slots / static_cast<double>(slots);
  double weight = 1;
  double sum = 1 / blocked;
  double queued = 0;
  double lowest = busy_slots * saving * weight / sum;
  std::size_t best = 0;
  for (std::size_t length = 1; length <= longest; ++length) {
    weight *= ratio;
    sum += weight;
    queued += static_cast<double>(length) * weight;
    const double cost = (busy_slots * saving * weight + queued) / sum;
    if (cost < lowest) {
      lowest = cost;
      best = length;
    }
  }
  return best;
}

//-----------------------------------------------------------------------------
// [SECTION] Decision
//-----------------------------------------------------------------------------

const char* PlaceWaitReasonName(PlaceWaitReason reason) {
  switch (reason) {
    case PlaceWaitReason::kSavesTime:
      return "saves_time";
    case PlaceWaitReason::kCostsMore:
      return "costs_more";
    case PlaceWaitReason::kDemand:
      return "later_demand";
    case PlaceWaitReason::kNoCapacity:
      return "no_capacity";
    case PlaceWaitReason::kTooLong:
      return "too_long";
    case PlaceWaitReason::kObjective:
      return "objective";
  }
  return "unknown";
}

PlaceWaitDecision DecidePlaceWait(const PlaceWaitInput& input, Instant now) {
  PlaceWaitDecision decision{false, now, PlaceWaitReason::kCostsMore};
  const Duration saving = std::min(input.saving, kLongest);
  const Instant longest = input.since + saving;
  if (input.last_useful <= now) {
    decision.reason = PlaceWaitReason::kObjective;
    return decision;
  }
  if (longest <= now) {
    decision.reason = PlaceWaitReason::kTooLong;
    return decision;
  }
  PlaceForecast::Waits waits = input.waits;
  std::sort(waits.begin(), waits.end());
  if (waits.front() == PlaceForecast::kNoRoom) {
    decision.reason = PlaceWaitReason::kNoCapacity;
    return decision;
  }
  if (!input.within_queue) {
    decision.reason = PlaceWaitReason::kDemand;
    return decision;
  }
  // Expected cost, beyond the run time at the place, of going elsewhere if no
  // room has opened after `wait`.
  const auto cost_of = [&](Duration wait) {
    double cost = 0;
    for (const Duration opens : waits) {
      cost +=
          std::chrono::duration<double>(opens <= wait ? opens : wait + saving)
              .count();
    }
    return cost;
  };
  const Duration limit = std::min(longest, input.last_useful) - now;
  double lowest = (1 - kLeastGain) *
                  std::chrono::duration<double>(saving).count() * waits.size();
  for (const Duration candidate : waits) {
    if (candidate > limit) {
      break;
    }
    const double cost = cost_of(candidate);
    if (cost < lowest) {
      lowest = cost;
      decision = {true, now + candidate, PlaceWaitReason::kSavesTime};
    }
  }
  return decision;
}

Instant LastUsefulInstant(const PlaceWaitBounds& bounds, Instant since) {
  if (!bounds.has_objective) {
    return Instant::max();
  }
  const Instant at_place = bounds.objective - bounds.path_left;
  const Instant elsewhere = at_place - bounds.saving;
  return elsewhere > since ? elsewhere : at_place;
}

}  // namespace peridot
