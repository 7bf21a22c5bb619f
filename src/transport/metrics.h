// Metrics of one daemon, in a prometheus-cpp registry.
//
// Index:
//   [SECTION] Metrics
//
// All members are thread-safe.

#ifndef SRC_TRANSPORT_METRICS_H_
#define SRC_TRANSPORT_METRICS_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "src/state/clock.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Metrics
//-----------------------------------------------------------------------------

// Label values must come from fixed sets (refusal codes, reasons, step and
// queue names), because each value creates a time series that is never removed.
class Metrics {
 public:
  Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;
  ~Metrics();

  void CountRefusal(const std::string& reason);             // one refused task
  void CountRetry(const std::string& reason);               // one started retry
  void CountPeerMessageRefused(const std::string& reason);  // one message
  void CountPeerMessageDropped(const std::string& peer);    // full send queue

  // Requests and connections that a listener refused, by cause.
  void CountReceiveRefusals(const std::string& listener,
                            const std::string& cause,
                            std::uint64_t count);
  // What the connections of a listener hold, and their number.
  void SetListenerGauges(const std::string& listener,
                         std::size_t held_bytes,
                         std::size_t connections);

  void CountAdmission(const std::string& reason);  // one decision on a job
  // Adds to the histogram of the actual time from acceptance to completion
  // divided by the predicted one.
  void ObservePrediction(double actual_to_predicted);

  // Sets the gauge `peridot_NAME`. The name must be lower_snake_case and end
  // with the unit.
  void SetGauge(const std::string& name, double value);

  // Adds an observation to the histogram `peridot_latency_seconds{step}`.
  void ObserveLatency(const std::string& step, Duration latency);

  // Returns all metrics in the Prometheus text format, version 0.0.4.
  std::string Expose() const;

 private:
  struct Families;  // metrics.cc

  std::unique_ptr<Families> families;
};

// The value of the Content-Type header of Expose().
inline constexpr char kMetricsContentType[] =
    "text/plain; version=0.0.4; charset=utf-8";

}  // namespace peridot

#endif  // SRC_TRANSPORT_METRICS_H_
