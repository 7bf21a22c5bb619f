// A small deployment for the cases of review 3: daemons, queues and calls.
//
// Index:
//   [SECTION] Fleet

#ifndef REVIEW_KIT_3_FLEET_H_
#define REVIEW_KIT_3_FLEET_H_

#include <algorithm>
#include <filesystem>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "review/kit-3/sim.h"

namespace review {

//-----------------------------------------------------------------------------
// [SECTION] Fleet
//-----------------------------------------------------------------------------

struct Queue {
  std::string name;
  std::string service;
  int max_attempts = 3;
  bool advice = false;
  int priority = 0;
};

class Fleet {
 public:
  Fleet(const std::string& program,
        const std::string& folder,
        const std::string& record_path,
        PlatformOptions options)
      : record(record_path),
        platform(options, &this->record),
        program(program),
        folder(folder) {
    std::filesystem::create_directories(folder);
  }
  ~Fleet() {
    this->daemons.clear();
    this->platform.Stop();
  }

  // Writes the configuration with these queues, as the operator.
  void Configure(const std::vector<Queue>& queues,
                 const std::vector<std::string>& services) {
    this->queues = queues;
    Json routes = Json::array();
    for (const Queue& queue : queues) {
      Json route{{"Name", queue.name},
                 {"Host", "a.example"},
                 {"PathPrefix", "/" + queue.name + "/"},
                 {"Service", queue.service},
                 {"MaxAttempts", queue.max_attempts},
                 {"Priority", queue.priority},
                 {"Stretch", 2.0},
                 {"SloMs", 1000}};
      if (queue.advice) {
        route["Advice"] = Json{{"DecideMs", this->platform.options.decide_ms},
                               {"EachMs", this->platform.options.each_ms},
                               {"ValidMs", this->platform.options.valid_ms}};
      }
      routes.push_back(route);
    }
    Json list = Json::array();
    for (const std::string& service : services) {
      list.push_back(Json{{"Name", service}, {"AdmissionCheck", true}});
    }
    const Json config{
        {"Version", this->version += 3},
        {"Routes", routes},
        {"Services", list},
        {"Limits", Json::object()},
        {"Tenants", Json::array({Json{{"Name", "t1"},
                                      {"ApiKeys", Json::array({"k1"})},
                                      {"Weight", 1.0}}})}};
    const std::lock_guard<std::mutex> lock(this->platform.mutex);
    for (const Queue& queue : queues) {
      this->platform.sent_to[queue.name].insert(queue.service);
    }
    this->platform.store.Put("op", "config", config);
    this->record.Line("config " + config.dump());
  }

  Daemon* AddDaemon(const std::string& name,
                    const std::string& zone,
                    double share = 0.25) {
    this->daemons.push_back(
        std::make_unique<Daemon>(this->program, this->folder, name, zone,
                                 this->platform.StoreAddress(), share));
    return this->daemons.back().get();
  }

  // Returns whether all daemons became ready in time.
  bool WaitReady(double ms) {
    const double end = NowMs() + ms;
    for (const auto& daemon : this->daemons) {
      while (daemon->Running() &&
             Call(daemon->ready, "GET", "/v1/readiness", "", "", 500).status !=
                 200) {
        if (NowMs() > end) {
          return false;
        }
        SleepMs(50);
      }
    }
    return true;
  }

  // The daemon in the row of the owner's lease; null if none.
  Daemon* Owner() {
    const std::lock_guard<std::mutex> lock(this->platform.mutex);
    const auto row = this->platform.store.Value({"owner", "owner", "lease"});
    if (!row) {
      return nullptr;
    }
    const std::string holder = Json::parse(*row).value("holder", "");
    for (const auto& daemon : this->daemons) {
      if (daemon->name == holder) {
        return daemon.get();
      }
    }
    return nullptr;
  }

  static std::string NextId() {
    static unsigned long next = 0;
    char id[17];
    std::snprintf(id, sizeof(id), "%08lx%08lx",
                  static_cast<unsigned long>(UnixMs() & 0xffffffff), ++next);
    return id;
  }

  // Hands a submission in, with the retries of a client. Returns the status of
  // the last try.
  int Submit(Submission submission, int tries = 5) {
    const Queue* queue = nullptr;
    for (const Queue& other : this->queues) {
      queue = other.name == submission.queue ? &other : queue;
    }
    if (queue != nullptr) {
      submission.service = queue->service;
      submission.advice = queue->advice;
      submission.max_attempts = queue->max_attempts;
    }
    submission.sent = true;
    if (submission.spec.empty()) {
      submission.spec = "spec of " + submission.id;
    }
    const std::string id = submission.id;
    Json body{{"Spec", submission.spec}, {"Steps", submission.steps}};
    if (submission.times > 0) {
      body["Times"] = submission.times;
      body["StartAtMs"] = submission.start_at;
      body["IntervalMs"] = submission.interval;
    }
    {
      const std::lock_guard<std::mutex> lock(this->platform.mutex);
      this->platform.submissions[id] = submission;
    }
    int status = 0;
    for (int i = 0; i < tries; ++i) {
      const Answer answer = this->CallSome(
          "POST", "/" + submission.queue + "/" + id, body.dump());
      status = answer.status;
      this->record.Line("POST " + submission.queue + "/" + id + " " +
                        body.dump().substr(0, 400) + " -> " +
                        std::to_string(status) + " " + answer.body);
      if (status == 200) {
        const std::lock_guard<std::mutex> lock(this->platform.mutex);
        this->platform.submissions[id].accepted = true;
        break;
      }
      if (status == 404 || status == 400 || status == 401) {
        break;
      }
      SleepMs(300);
    }
    return status;
  }

  // A call at any daemon that runs.
  Answer CallSome(const std::string& method,
                  const std::string& path,
                  const std::string& body) {
    std::vector<Daemon*> running;
    for (const auto& daemon : this->daemons) {
      if (daemon->Running()) {
        running.push_back(daemon.get());
      }
    }
    if (running.empty()) {
      return {};
    }
    Daemon* daemon = running[this->turn++ % running.size()];
    return Call(daemon->frontend, method, path, body, "k1");
  }

  std::string State(const std::string& queue, const std::string& id) {
    const Answer answer = this->CallSome("GET", "/" + queue + "/" + id, "");
    if (answer.status != 200) {
      return std::to_string(answer.status);
    }
    return Json::parse(answer.body).value("State", "");
  }

  // Waits until the submission is shown in one of the final states.
  std::string WaitFinal(const std::string& queue,
                        const std::string& id,
                        double ms) {
    const double end = NowMs() + ms;
    std::string state;
    while (NowMs() < end) {
      state = this->State(queue, id);
      if (state == "completed" || state == "failed" || state == "cancelled") {
        break;
      }
      SleepMs(100);
    }
    this->record.Line("GET " + queue + "/" + id + " -> " + state);
    return state;
  }

  Record record;
  Platform platform;
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::vector<Queue> queues;

 private:
  std::string program;
  std::string folder;
  int version = 1;
  std::size_t turn = 0;
};

}  // namespace review

#endif  // REVIEW_KIT_3_FLEET_H_
