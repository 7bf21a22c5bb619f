#include "stand_ins/store_shell.h"

#include <utility>

#include "stand_ins/json_fields.h"

namespace peridot::stand_ins {
namespace {

constexpr std::int64_t kMaxLatencyMs = 600'000;  // 10 min: a hung store
constexpr std::int64_t kMaxRate = 1'000'000;     // per second

void Answer(HttpServer& server,
            RequestNumber request,
            const std::optional<HttpReply>& reply) {
  if (reply)
    return server.Reply(request, *reply);
  server.Drop(request);
}

}  // namespace

Result<StoreFaults> PatchFaults(StoreFaults faults, const std::string& body) {
  BOOST_OUTCOME_TRY(object, ParseObject(body));
  std::int64_t latency_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(faults.latency)
          .count();
  JsonFields fields(object);
  fields.Bool("down", faults.down);
  fields.Integer("latency_ms", latency_ms, Presence::kOptional, 0,
                 kMaxLatencyMs);
  fields.Integer("lose_answers", faults.lose_answers, Presence::kOptional);
  fields.Integer("writes_per_s", faults.writes_per_s, Presence::kOptional, 0,
                 kMaxRate);
  fields.Integer("reads_per_s", faults.reads_per_s, Presence::kOptional, 0,
                 kMaxRate);
  BOOST_OUTCOME_TRY(fields.Finish());
  faults.latency = std::chrono::milliseconds(latency_ms);
  return faults;
}

void RespondWithLatency(ShellLoop& loop,
                        HttpServer& server,
                        RequestNumber request,
                        Duration latency,
                        StoreOperation operation) {
  if (latency <= Duration{})
    return Answer(server, request, operation());
  loop.After(latency / 2, [&loop, &server, request, latency,
                           operation = std::move(operation)] {
    loop.After(latency / 2, [&server, request, reply = operation()] {
      Answer(server, request, reply);
    });
  });
}

}  // namespace peridot::stand_ins
