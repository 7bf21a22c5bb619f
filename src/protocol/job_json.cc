#include "src/protocol/job_json.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace peridot {

namespace {

using Json = nlohmann::json;

constexpr std::array<const char*, 5> kStateNames = {
    "pending", "running", "completed", "failed", "cancelled"};

Error Malformed(const char* what, const std::string& why) {
  return MakeError(ErrorCode::kMalformed, "decode", what, why);
}

// Omits a field that has its default value, which keeps rows small.
template <typename T>
void PutIf(Json* object,
           const char* name,
           const T& value,
           const T& default_value) {
  if (value != default_value) {
    (*object)[name] = value;
  }
}

Json EncodeStep(const StepSpec& step) {
  const StepSpec default_value;
  Json out = Json::object();
  PutIf(&out, "tasks", step.task_count, default_value.task_count);
  PutIf(&out, "cpu", step.per_task.milli_cores, std::int64_t{0});
  PutIf(&out, "memory", step.per_task.memory_mb, std::int64_t{0});
  PutIf(&out, "accelerators", step.per_task.accelerators, std::int64_t{0});
  PutIf(&out, "estimate_ms", step.estimate.count(),
        default_value.estimate.count());
  PutIf(&out, "after", step.after, default_value.after);
  PutIf(&out, "checkpointing", step.checkpointing, false);
  PutIf(&out, "gang", step.gang, false);
  PutIf(&out, "same_rack", step.same_rack, false);
  PutIf(&out, "speculative", step.speculative, false);
  PutIf(&out, "long_running", step.long_running, false);
  PutIf(&out, "fills", step.best_effort, false);
  PutIf(&out, "label", step.required_label, std::string());
  PutIf(&out, "data_rack", step.data_rack, std::string());
  PutIf(&out, "per_endpoint", step.max_per_endpoint, 0);
  PutIf(&out, "image", step.image, std::string());
  PutIf(&out, "target_tail_ms", step.target_tail.count(),
        default_value.target_tail.count());
  PutIf(&out, "unavailable", step.max_unavailable,
        default_value.max_unavailable);
  return out;
}

StepSpec DecodeStep(const Json& in) {
  StepSpec step;
  step.task_count = in.value("tasks", step.task_count);
  step.per_task.milli_cores = in.value("cpu", std::int64_t{0});
  step.per_task.memory_mb = in.value("memory", std::int64_t{0});
  step.per_task.accelerators = in.value("accelerators", std::int64_t{0});
  step.estimate = Milliseconds(in.value("estimate_ms", std::int64_t{0}));
  step.after = in.value("after", step.after);
  step.checkpointing = in.value("checkpointing", false);
  step.gang = in.value("gang", false);
  step.same_rack = in.value("same_rack", false);
  step.speculative = in.value("speculative", false);
  step.long_running = in.value("long_running", false);
  step.best_effort = in.value("fills", false);
  step.required_label = in.value("label", std::string());
  step.data_rack = in.value("data_rack", std::string());
  step.max_per_endpoint = in.value("per_endpoint", 0);
  step.image = in.value("image", std::string());
  step.target_tail = Milliseconds(in.value("target_tail_ms", std::int64_t{0}));
  step.max_unavailable = in.value("unavailable", step.max_unavailable);
  return step;
}

Json EncodeName(const TaskName& name) {
  return Json::array({name.occurrence, name.step, name.index});
}

TaskName DecodeName(const JobId& job, const Json& in) {
  return TaskName{job, in.at(0).get<int>(), in.at(1).get<int>(),
                  in.at(2).get<int>()};
}

JobState StateByName(const std::string& name) {
  for (std::size_t i = 0; i < kStateNames.size(); ++i) {
    if (name == kStateNames[i]) {
      return static_cast<JobState>(i);
    }
  }
  throw std::runtime_error("unknown state " + name);
}

// Converts the exceptions of the JSON library to errors.
template <typename T, typename F>
Result<T> Decode(const char* what, std::string_view text, F decode) {
  try {
    return decode(Json::parse(text));
  } catch (const std::exception& error) {
    return Malformed(what, error.what());
  }
}

}  // namespace

const char* JobStateName(JobState state) {
  return kStateNames[static_cast<std::size_t>(state)];
}

std::string CheckJobSpec(const JobSpec& spec) {
  if (spec.payload.size() > kMaxPayloadBytes) {
    return "the payload exceeds 4000 bytes";
  }
  if (spec.steps.empty() || spec.steps.size() > kMaxStepsPerJob) {
    return "a job has 1 to 64 steps";
  }
  if (spec.occurrences < 0 || (spec.occurrences > 1 && spec.interval_ms < 0)) {
    return "occurrences and their interval are not negative";
  }
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    const StepSpec& step = spec.steps[i];
    if (step.task_count < 1 || step.task_count > kMaxTasksPerStep) {
      return "a step has 1 to 10000 tasks";
    }
    if (step.per_task.milli_cores < 0 || step.per_task.memory_mb < 0 ||
        step.per_task.accelerators < 0 || step.estimate.count() < 0 ||
        step.max_per_endpoint < 0) {
      return "amounts of a step are not negative";
    }
    for (const int earlier : step.after) {
      if (earlier < 0 || earlier >= static_cast<int>(i)) {
        return "a step comes after earlier steps only";
      }
    }
  }
  return {};
}

std::string EncodeJob(const AcceptedJob& job) {
  Json out = Json::object();
  out["id"] = job.id.value;
  if (job.closed_as) {
    out["closed_as"] = JobStateName(*job.closed_as);
    PutIf(&out, "refused", job.refused, false);
    PutIf(&out, "cancelled", job.cancelled, false);
    return out.dump();
  }
  out["queue"] = job.queue;
  out["service"] = job.service.value;
  out["team"] = job.team.value;
  out["accepted_ms"] = job.accepted_ms;
  out["payload"] = job.spec.payload;
  PutIf(&out, "max_attempts", job.max_attempts, 0);
  PutIf(&out, "occurrences", job.spec.occurrences, 0);
  PutIf(&out, "first_due_ms", job.spec.first_due_ms, std::int64_t{0});
  PutIf(&out, "interval_ms", job.spec.interval_ms, std::int64_t{0});
  Json& steps = out["steps"] = Json::array();
  for (const StepSpec& step : job.spec.steps) {
    steps.push_back(EncodeStep(step));
  }
  // Invalid UTF-8 in the payload is replaced, so that the job is still stored.
  return out.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<AcceptedJob> DecodeJob(std::string_view text) {
  return Decode<AcceptedJob>("job", text, [](const Json& in) {
    AcceptedJob job;
    job.id = JobId(in.at("id").get<std::string>());
    if (in.contains("closed_as")) {
      job.closed_as = StateByName(in.at("closed_as").get<std::string>());
      if (!IsFinal(*job.closed_as)) {
        throw std::runtime_error("a job is closed in a final state only");
      }
      job.refused = in.value("refused", false);
      job.cancelled = in.value("cancelled", false);
      return job;
    }
    job.queue = in.at("queue").get<std::string>();
    job.service = ServiceId(in.at("service").get<std::string>());
    job.team = TeamId(in.at("team").get<std::string>());
    job.accepted_ms = in.at("accepted_ms").get<std::int64_t>();
    job.max_attempts = in.value("max_attempts", 0);
    job.spec.payload = in.at("payload").get<std::string>();
    job.spec.occurrences = in.value("occurrences", 0);
    job.spec.first_due_ms = in.value("first_due_ms", std::int64_t{0});
    job.spec.interval_ms = in.value("interval_ms", std::int64_t{0});
    for (const Json& step : in.at("steps")) {
      job.spec.steps.push_back(DecodeStep(step));
    }
    const std::string fault = CheckJobSpec(job.spec);
    if (!fault.empty()) {
      throw std::runtime_error(fault);
    }
    return job;
  });
}

std::string EncodeProgress(const JobProgress& progress) {
  Json out = Json::object();
  out["id"] = progress.id.value;
  out["state"] = JobStateName(progress.state);
  if (!progress.block.main) {
    out["block"] = Json::array({progress.block.occurrence, progress.block.step,
                                progress.block.number});
  }
  PutIf(&out, "completed_occurrences", progress.completed_occurrences, 0);
  if (!progress.done.empty()) {
    Json& done = out["done"] = Json::array();
    for (const TaskName& name : progress.done) {
      done.push_back(EncodeName(name));
    }
  }
  if (!progress.failures.empty()) {
    Json& failures = out["failures"] = Json::array();
    for (const auto& [name, runs] : progress.failures) {
      failures.push_back(Json::array({EncodeName(name), runs}));
    }
  }
  if (!progress.checkpoints.empty()) {
    Json& checkpoints = out["checkpoints"] = Json::array();
    for (const auto& [name, value] : progress.checkpoints) {
      checkpoints.push_back(Json::array({EncodeName(name), value}));
    }
  }
  return out.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<JobProgress> DecodeProgress(std::string_view text) {
  return Decode<JobProgress>("progress", text, [](const Json& in) {
    JobProgress progress;
    progress.id = JobId(in.at("id").get<std::string>());
    progress.state = StateByName(in.at("state").get<std::string>());
    if (const auto block = in.find("block"); block != in.end()) {
      progress.block =
          ProgressBlock{false, block->at(0).get<int>(), block->at(1).get<int>(),
                        block->at(2).get<int>()};
    }
    progress.completed_occurrences = in.value("completed_occurrences", 0);
    for (const Json& name : in.value("done", Json::array())) {
      progress.done.insert(DecodeName(progress.id, name));
    }
    for (const Json& entry : in.value("failures", Json::array())) {
      progress.failures[DecodeName(progress.id, entry.at(0))] =
          entry.at(1).get<std::set<RunNumber>>();
    }
    for (const Json& entry : in.value("checkpoints", Json::array())) {
      progress.checkpoints[DecodeName(progress.id, entry.at(0))] =
          entry.at(1).get<std::string>();
    }
    return progress;
  });
}

std::string EncodeOwner(const OwnerRow& row) {
  return Json{{"holder", row.holder.value},
              {"instance", row.instance},
              {"address", row.address},
              {"epoch", row.epoch.value},
              {"expires_ms", row.expires_ms},
              {"sequence", row.sequence},
              {"jobs_version", row.jobs_version.value},
              {"strength", row.strength},
              {"best_strength", row.best_strength}}
      .dump();
}

Result<OwnerRow> DecodeOwner(std::string_view text) {
  return Decode<OwnerRow>("owner", text, [](const Json& in) {
    OwnerRow row;
    row.holder = DaemonId(in.at("holder").get<std::string>());
    row.instance = in.at("instance").get<std::string>();
    row.address = in.at("address").get<std::string>();
    row.epoch = OwnerEpoch(in.at("epoch").get<std::uint64_t>());
    row.expires_ms = in.at("expires_ms").get<std::int64_t>();
    row.sequence = in.at("sequence").get<std::uint64_t>();
    row.jobs_version = RowVersion(in.at("jobs_version").get<std::uint64_t>());
    row.strength = in.value("strength", 0);
    row.best_strength = in.value("best_strength", 0);
    return row;
  });
}

std::string EncodeUsedEndpoints(const std::vector<UsedEndpoint>& endpoints) {
  Json out = Json::array();
  for (const UsedEndpoint& endpoint : endpoints) {
    Json& entry = out.emplace_back(Json::array(
        {endpoint.id.value, endpoint.service.value, endpoint.lapse_ms,
         endpoint.capacity.milli_cores, endpoint.capacity.memory_mb,
         endpoint.capacity.accelerators, endpoint.long_lease_ms,
         endpoint.start_time_ms}));
    if (endpoint.unanswered_starts.empty()) {
      continue;
    }
    Json& starts = entry.emplace_back(Json::array());
    for (const UnansweredStart& start : endpoint.unanswered_starts) {
      starts.push_back(
          Json::array({start.task.job.value, EncodeName(start.task), start.run,
                       start.remaining_ms, start.may_run}));
    }
  }
  return out.dump();
}

Result<std::vector<UsedEndpoint>> DecodeUsedEndpoints(std::string_view text) {
  return Decode<std::vector<UsedEndpoint>>(
      "endpoints", text, [](const Json& in) {
        std::vector<UsedEndpoint> endpoints;
        // Rows of earlier versions have fewer fields.
        const auto number = [](const Json& entry, std::size_t i) {
          return i < entry.size() ? entry.at(i).get<std::int64_t>() : 0;
        };
        for (const Json& entry : in) {
          UsedEndpoint& endpoint = endpoints.emplace_back(
              UsedEndpoint{EndpointId(entry.at(0).get<std::string>()),
                           ServiceId(entry.at(1).get<std::string>()),
                           Resources{entry.at(3).get<std::int64_t>(),
                                     entry.at(4).get<std::int64_t>(),
                                     entry.at(5).get<std::int64_t>()},
                           entry.at(2).get<std::int64_t>(), number(entry, 6),
                           number(entry, 7)});
          const Json starts = entry.size() > 8 ? entry.at(8) : Json::array();
          for (const Json& start : starts) {
            endpoint.unanswered_starts.push_back(UnansweredStart{
                DecodeName(JobId(start.at(0).get<std::string>()), start.at(1)),
                start.at(2).get<RunNumber>(), start.at(3).get<std::int64_t>(),
                start.at(4).get<bool>()});
          }
        }
        return endpoints;
      });
}

std::string EncodeQueueMoves(const QueueMoves& moves, std::size_t max_bytes) {
  Json services = Json::object();
  for (const auto& [queue, names] : moves.services) {
    Json list = Json::array();
    for (const ServiceId& name : names) {
      list.push_back(name.value);
    }
    services[queue] = std::move(list);
  }
  Json out = Json::object();
  PutIf(&out, "unknown", moves.unknown, false);
  out["services"] = std::move(services);
  std::string text = out.dump();
  return text.size() <= max_bytes ? text : Json{{"unknown", true}}.dump();
}

Result<QueueMoves> DecodeQueueMoves(std::string_view text) {
  return Decode<QueueMoves>("queue moves", text, [](const Json& in) {
    QueueMoves moves;
    moves.unknown = in.value("unknown", false);
    const Json services = in.value("services", Json::object());
    for (const auto& [queue, names] : services.items()) {
      for (const Json& name : names) {
        moves.services[queue].insert(ServiceId(name.get<std::string>()));
      }
    }
    return moves;
  });
}

std::string EncodeHostOrders(const std::map<HostId, std::int64_t>& latest_ms) {
  Json out = Json::object();
  for (const auto& [host, latest] : latest_ms) {
    out[host.value] = latest;
  }
  return out.dump();
}

Result<std::map<HostId, std::int64_t>> DecodeHostOrders(std::string_view text) {
  using HostOrders = std::map<HostId, std::int64_t>;
  return Decode<HostOrders>("host orders", text, [](const Json& in) {
    HostOrders orders;
    for (const auto& [host, latest] : in.items()) {
      orders[HostId(host)] = latest.get<std::int64_t>();
    }
    return orders;
  });
}

std::string EncodeWave(const WaveRow& row) {
  const WaveProgress& progress = row.progress;
  Json hosts = Json::array();
  for (const HostId& host : progress.begun) {
    hosts.push_back(host.value);
  }
  return Json{{"name", progress.name},
              {"begun", std::move(hosts)},
              {"completed", progress.completed},
              {"first_seen_ms", row.first_seen_ms}}
      .dump();
}

Result<WaveRow> DecodeWave(std::string_view text) {
  return Decode<WaveRow>("wave", text, [](const Json& in) {
    WaveRow row;
    WaveProgress& progress = row.progress;
    // Rows of an older version have no such field.
    row.first_seen_ms = in.value("first_seen_ms", std::int64_t{0});
    progress.name = in.at("name").get<std::string>();
    progress.completed = in.at("completed").get<bool>();
    for (const Json& host : in.at("begun")) {
      progress.begun.insert(HostId(host.get<std::string>()));
    }
    return row;
  });
}

}  // namespace peridot
