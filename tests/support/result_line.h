// The result lines that benchmarks print.

#ifndef TESTS_SUPPORT_RESULT_LINE_H_
#define TESTS_SUPPORT_RESULT_LINE_H_

#include <cstdio>
#include <string>

namespace peridot::testing {

enum class Better { kLower, kHigher };

// One measured figure beside the naive version's and the stated target.
struct ResultLine {
  std::string bench;               // default: empty; as in "limits"
  std::string metric;              // default: empty; as in "overruns"
  std::string unit;                // default: empty; as in "ms"
  double value = 0;                // default: 0; this project's figure
  double naive = 0;                // default: 0; the naive version's figure
  double target = 0;               // default: 0; from the stated requirement
  Better better = Better::kLower;  // default: kLower
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
