// The result lines that benchmarks print.

#ifndef TESTS_SUPPORT_RESULT_LINE_H_
#define TESTS_SUPPORT_RESULT_LINE_H_

#include <cstdio>
#include <string>

namespace peridot::testing {

enum class Better { kLower, kHigher };

// One result of a benchmark, with the result of a naive implementation and the
// target for comparison.
struct ResultLine {
  std::string bench;   // e.g. "limits"
  std::string metric;  // e.g. "overruns"
  std::string unit;    // e.g. "ms"
  double value = 0;    // result of this project
  double naive = 0;    // result of the naive implementation
  double target = 0;   // bound that the requirement states
  Better better = Better::kLower;
};

// Prints the line and returns whether the value meets the target.
inline bool PrintResult(const ResultLine& line) {
  const bool ok = line.better == Better::kLower ? line.value <= line.target
                                                : line.value >= line.target;
  std::printf(
      "result bench=%s metric=%s unit=%s value=%.6g naive=%.6g target=%.6g "
      "ok=%s\n",
      line.bench.c_str(), line.metric.c_str(), line.unit.c_str(), line.value,
      line.naive, line.target, ok ? "yes" : "no");
  return ok;
}

}  // namespace peridot::testing

#endif  // TESTS_SUPPORT_RESULT_LINE_H_
