#include "src/protocol/load_json.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "src/protocol/json_internal.h"

namespace peridot {

namespace {

using Json = nlohmann::json;

constexpr int kVersion = 1;

// Largest report that is read: ten services with the most rows each.
constexpr std::size_t kMaxBytes = std::size_t{1} << 20;

Json EncodeService(const ServiceLoad& service) {
  Json arriving = Json::array();
  for (const ArrivingCores& added : service.arriving) {
    arriving.push_back(Json::array({added.cores, added.after.count()}));
  }
  Json backlog = Json::array();
  for (const BacklogRow& row : service.backlog) {
    backlog.push_back(
        Json::array({row.team.value, row.priority, row.in_time, row.size_class,
                     row.per_task.milli_cores, row.per_task.memory_mb,
                     row.late_key.count(), row.core_seconds}));
  }
  Json teams = Json::object();
  for (const auto& [team, load] : service.teams) {
    teams[team.value] =
        Json::array({load.weight, load.limit_cores, load.running_cores});
  }
  return Json{{"usable_cores", service.usable_cores},
              {"reserved_cores", service.reserved_cores},
              {"arriving", std::move(arriving)},
              {"completion_rate", service.completion_rate},
              {"backlog", std::move(backlog)},
              {"teams", std::move(teams)}};
}

ServiceLoad DecodeService(const Json& in) {
  ServiceLoad service;
  service.usable_cores = in.at("usable_cores").get<double>();
  service.reserved_cores = in.at("reserved_cores").get<double>();
  service.completion_rate = in.at("completion_rate").get<double>();
  for (const Json& added : in.at("arriving")) {
    service.arriving.push_back(
        ArrivingCores{added.at(0).get<double>(),
                      Milliseconds(added.at(1).get<std::int64_t>())});
  }
  for (const Json& row : in.at("backlog")) {
    service.backlog.push_back(
        BacklogRow{.team = TeamId(row.at(0).get<std::string>()),
                   .priority = row.at(1).get<int>(),
                   .in_time = row.at(2).get<bool>(),
                   .size_class = row.at(3).get<int>(),
                   .per_task = {.milli_cores = row.at(4).get<std::int64_t>(),
                                .memory_mb = row.at(5).get<std::int64_t>()},
                   .late_key = Milliseconds(row.at(6).get<std::int64_t>()),
                   .core_seconds = row.at(7).get<double>()});
  }
  for (const auto& [team, load] : in.at("teams").items()) {
    service.teams[TeamId(team)] =
        TeamLoad{.weight = load.at(0).get<double>(),
                 .limit_cores = load.at(1).get<double>(),
                 .running_cores = load.at(2).get<double>()};
  }
  return service;
}

Error Malformed(const std::string& why) {
  return MakeError(ErrorCode::kMalformed, "decode", "load report", why);
}

}  // namespace

std::string EncodeLoadReport(const LoadReport& report, Milliseconds age) {
  Json services = Json::object();
  for (const auto& [id, service] : report.services) {
    services[id.value] = EncodeService(service);
  }
  Json queues = Json::object();
  for (const auto& [name, queue] : report.queues) {
    queues[name] = queue.ms_per_root_ms;
  }
  return Json{{"version", kVersion},
              {"age_ms", age.count()},
              {"services", std::move(services)},
              {"queues", std::move(queues)}}
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<AgedLoadReport> DecodeLoadReport(std::string_view text) {
  if (text.size() > kMaxBytes) {
    return Malformed("the report is too large");
  }
  AgedLoadReport aged;
  try {
    const Json in = Json::parse(text);
    if (in.at("version").get<int>() != kVersion) {
      return Malformed("the version is unknown");
    }
    aged.age = Milliseconds(in.at("age_ms").get<std::int64_t>());
    for (const auto& [id, service] : in.at("services").items()) {
      aged.report.services[ServiceId(id)] = DecodeService(service);
    }
    for (const auto& [name, durations] : in.at("queues").items()) {
      aged.report.queues[name].ms_per_root_ms = durations.get<double>();
    }
  } catch (const std::exception& error) {
    return Malformed(error.what());
  }
  if (aged.age.count() < 0 || aged.age > std::chrono::hours(1)) {
    return Malformed("the age is out of range");
  }
  BOOST_OUTCOME_TRY(CheckLoadReport(aged.report));
  return aged;
}

//-----------------------------------------------------------------------------
// [SECTION] Backlog report
//-----------------------------------------------------------------------------

std::string EncodeBacklogReport(const BacklogReport& report) {
  return Json{{"job_bytes", report.job_bytes},
              {"job_limit", report.job_limit},
              {"refusals", report.refusals},
              {"refusal_limit", report.refusal_limit},
              {"daemons", report.daemons},
              {"jobs_version", report.jobs_version.value}}
      .dump();
}

Result<BacklogReport> DecodeBacklogReport(std::string_view text) {
  const Json object = json_internal::Parse(text);
  json_internal::Reader reader(object, "decode_backlog_report");
  BacklogReport report;
  report.job_bytes = reader.Number("job_bytes");
  report.job_limit = reader.Number("job_limit");
  report.refusals = reader.Number("refusals");
  report.refusal_limit = reader.Number("refusal_limit");
  constexpr std::uint64_t kMaxDaemons = 1'000'000;
  report.daemons =
      static_cast<int>(std::min(reader.Number("daemons"), kMaxDaemons));
  report.jobs_version = RowVersion(reader.Number("jobs_version"));
  if (!reader.Ok()) {
    return reader.MakeFault();
  }
  return report;
}

}  // namespace peridot
