// Set of tasks of one job, or of the rows of its progress.
//
// Index:
//   [SECTION] TaskSet

#ifndef SRC_COORDINATION_TASK_SET_H_
#define SRC_COORDINATION_TASK_SET_H_

#include <algorithm>
#include <boost/container/flat_map.hpp>
#include <boost/dynamic_bitset.hpp>
#include <cstddef>
#include <utility>

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] TaskSet
//-----------------------------------------------------------------------------

// Members are identified by occurrence, step and number within the step. Takes
// one bit for each number up to the highest one of the step: jobs with ten
// thousands of tasks complete them in about the order of their numbers. Not
// thread-safe.
class TaskSet {
 public:
  // Returns whether the member is new. Precondition: the number is not
  // negative.
  bool Insert(int occurrence, int step, int number) {
    Bits& bits = this->steps[{occurrence, step}];
    const auto position = static_cast<std::size_t>(number);
    if (position >= bits.size()) {
      // Grows by a constant, so that the capacity stays near the size.
      const std::size_t size = (position / kGrowth + 1) * kGrowth;
      bits.reserve(size);
      bits.resize(size);
    }
    return !bits.test_set(position);
  }

  void Erase(int occurrence, int step, int number) {
    const auto found = this->steps.find({occurrence, step});
    if (found == this->steps.end() ||
        static_cast<std::size_t>(number) >= found->second.size()) {
      return;
    }
    found->second.reset(static_cast<std::size_t>(number));
    if (found->second.none()) {
      this->steps.erase(found);
    }
  }

  // Removes the members of all occurrences below this one.
  void EraseBefore(int occurrence) {
    this->steps.erase(this->steps.begin(),
                      this->steps.lower_bound({occurrence, 0}));
  }

  void Clear() { this->steps.clear(); }

  bool Contains(int occurrence, int step, int number) const {
    const auto found = this->steps.find({occurrence, step});
    return found != this->steps.end() && number >= 0 &&
           static_cast<std::size_t>(number) < found->second.size() &&
           found->second.test(static_cast<std::size_t>(number));
  }

  bool Empty() const { return this->steps.empty(); }

  std::size_t CountIn(int occurrence, int step) const {
    const auto found = this->steps.find({occurrence, step});
    return found == this->steps.end() ? 0 : found->second.count();
  }

  // Calls visit(occurrence, step, number) for each member, in order, until it
  // returns false.
  template <typename Visit>
  void ForEach(Visit visit) const {
    for (const auto& [key, bits] : this->steps) {
      for (std::size_t i = bits.find_first(); i != Bits::npos;
           i = bits.find_next(i)) {
        if (!visit(key.first, key.second, static_cast<int>(i))) {
          return;
        }
      }
    }
  }

  // Calls visit(number) for each member of a step from `first` up to but not
  // including `end`. Precondition: `first` is not negative.
  template <typename Visit>
  void ForEachIn(int occurrence, int step, int first, int end, Visit visit)
      const {
    const auto found = this->steps.find({occurrence, step});
    if (found == this->steps.end()) {
      return;
    }
    const Bits& bits = found->second;
    const auto last = std::min(bits.size(), static_cast<std::size_t>(end));
    for (auto i = static_cast<std::size_t>(first); i < last; ++i) {
      if (bits.test(i)) {
        visit(static_cast<int>(i));
      }
    }
  }

 private:
  using Bits = boost::dynamic_bitset<>;
  static constexpr std::size_t kGrowth = 512;

  // By occurrence and step; none is empty.
  boost::container::flat_map<std::pair<int, int>, Bits> steps;
};

}  // namespace peridot

#endif  // SRC_COORDINATION_TASK_SET_H_
