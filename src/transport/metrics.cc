#include "src/transport/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <mutex>

namespace peridot {
namespace {

// Upper bounds in seconds. The lowest is 1 ms, the one-way latency between
// zones. The buckets are dense around 1.1 s, within which urgent tasks must
// start.
const prometheus::Histogram::BucketBoundaries kLatencyBounds = {
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
    0.5,   0.75,   1.0,   1.1,  1.5,   2.5,  5.0, 10.0};

// Powers of the square root of 2 around 1, wider apart outside.
const prometheus::Histogram::BucketBoundaries kRatioBounds = {
    0.1, 0.25, 0.5, 0.71, 1.0, 1.41, 2.0, 4.0, 10.0};

prometheus::Family<prometheus::Counter>& CounterFamily(
    prometheus::Registry& registry,
    const char* name,
    const char* help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

}  // namespace

struct Metrics::Families {
  prometheus::Registry registry;
  prometheus::Family<prometheus::Counter>& refusals =
      CounterFamily(registry,
                    "peridot_refusals_total",
                    "Tasks that were refused, by refusal code.");
  prometheus::Family<prometheus::Counter>& retries =
      CounterFamily(registry,
                    "peridot_retries_total",
                    "Attempts that were repeated, by reason.");
  prometheus::Family<prometheus::Counter>& peer_refused =
      CounterFamily(registry,
                    "peridot_peer_messages_refused_total",
                    "Messages of other daemons that were refused, by reason.");
  prometheus::Family<prometheus::Counter>& peer_dropped = CounterFamily(
      registry,
      "peridot_peer_messages_dropped_total",
      "Messages that were dropped because the peer's queue was full.");
  prometheus::Family<prometheus::Counter>& receive_refused = CounterFamily(
      registry,
      "peridot_clients_refused_total",
      "Requests and connections that were refused, by listener and cause.");
  prometheus::Family<prometheus::Gauge>& listener_bytes =
      prometheus::BuildGauge()
          .Name("peridot_listener_held_bytes")
          .Help("Memory that the connections of a listener hold.")
          .Register(registry);
  prometheus::Family<prometheus::Gauge>& listener_connections =
      prometheus::BuildGauge()
          .Name("peridot_listener_connections_count")
          .Help("Open connections of a listener.")
          .Register(registry);
  prometheus::Family<prometheus::Histogram>& latency =
      prometheus::BuildHistogram()
          .Name("peridot_latency_seconds")
          .Help("Time taken, by step.")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& admissions =
      CounterFamily(registry,
                    "peridot_job_admissions_total",
                    "Decisions on submitted jobs by predicted completion, by "
                    "reason.");
  prometheus::Histogram& predictions =
      prometheus::BuildHistogram()
          .Name("peridot_completion_to_prediction_ratio")
          .Help("Actual time to completion divided by the predicted one.")
          .Register(registry)
          .Add({}, kRatioBounds);
  std::mutex mutex;
  std::map<std::string, prometheus::Gauge*> gauges;  // guarded by mutex
};

Metrics::Metrics() : families(std::make_unique<Families>()) {}

Metrics::~Metrics() = default;

void Metrics::CountRefusal(const std::string& reason) {
  this->families->refusals.Add({{"reason", reason}}).Increment();
}

void Metrics::CountRetry(const std::string& reason) {
  this->families->retries.Add({{"reason", reason}}).Increment();
}

void Metrics::CountPeerMessageRefused(const std::string& reason) {
  this->families->peer_refused.Add({{"reason", reason}}).Increment();
}

void Metrics::CountPeerMessageDropped(const std::string& peer) {
  this->families->peer_dropped.Add({{"peer", peer}}).Increment();
}

void Metrics::CountReceiveRefusals(const std::string& listener,
                                   const std::string& cause,
                                   std::uint64_t count) {
  this->families->receive_refused
      .Add({{"listener", listener}, {"cause", cause}})
      .Increment(static_cast<double>(count));
}

void Metrics::SetListenerGauges(const std::string& listener,
                                std::size_t held_bytes,
                                std::size_t connections) {
  this->families->listener_bytes.Add({{"listener", listener}})
      .Set(static_cast<double>(held_bytes));
  this->families->listener_connections.Add({{"listener", listener}})
      .Set(static_cast<double>(connections));
}

void Metrics::CountAdmission(const std::string& reason) {
  this->families->admissions.Add({{"reason", reason}}).Increment();
}

void Metrics::ObservePrediction(double actual_to_predicted) {
  this->families->predictions.Observe(actual_to_predicted);
}

void Metrics::SetGauge(const std::string& name, double value) {
  const std::lock_guard lock(this->families->mutex);
  prometheus::Gauge*& gauge = this->families->gauges[name];
  if (gauge == nullptr) {
    gauge = &prometheus::BuildGauge()
                 .Name("peridot_" + name)
                 .Help("Current value.")
                 .Register(this->families->registry)
                 .Add({});
  }
  gauge->Set(value);
}

void Metrics::ObserveLatency(const std::string& step, Duration latency) {
  const double seconds = std::chrono::duration<double>(latency).count();
  this->families->latency.Add({{"step", step}}, kLatencyBounds)
      .Observe(seconds);
}

std::string Metrics::Expose() const {
  return prometheus::TextSerializer().Serialize(
      this->families->registry.Collect());
}

}  // namespace peridot
