#include "src/daemon/load_follower.h"

#include <utility>

#include "src/protocol/load_json.h"
#include "src/transport/log.h"

namespace peridot {

LoadFollower::LoadFollower(EventLoop* loop,
                           Metrics* metrics,
                           LoadFollowerConfig config,
                           Fetch fetch)
    : loop(loop),
      metrics(metrics),
      config(config),
      fetch(std::move(fetch)),
      alive(std::make_shared<bool>(true)) {}

LoadFollower::~LoadFollower() {
  *this->alive = false;
}

void LoadFollower::OnSubmission() {
  const Instant now = this->loop->Now();
  if (this->fetching || (this->last_fetch && now - *this->last_fetch <
                                                 this->config.fetch_interval)) {
    return;
  }
  this->fetching = true;
  this->last_fetch = now;
  this->fetch(
      [this, now, alive = this->alive](const std::optional<std::string>& body) {
        if (*alive) {
          this->OnAnswer(now, body);
        }
      });
}

void LoadFollower::OnAnswer(Instant sent,
                            const std::optional<std::string>& body) {
  this->fetching = false;
  if (!body) {
    return;
  }
  Result<AgedLoadReport> decoded = DecodeLoadReport(*body);
  if (!decoded) {
    this->Ignore(decoded.error());
    return;
  }
  // The owner may have answered as early as the request was sent.
  const Instant produced = sent - decoded.value().age;
  if (this->loop->Now() - produced > this->config.max_report_age) {
    this->Ignore(MakeError(ErrorCode::kOutOfRange, "receive", "load report",
                           "the report is too old"));
    return;
  }
  this->report = std::move(decoded.value().report);
  this->produced = produced;
}

void LoadFollower::Ignore(const Error& error) {
  this->metrics->CountAdmission("report_ignored");
  LogRateLimited(
      LogLevel::kWarning, "load_report_ignored",
      {{"code", ErrorCodeName(error.code)}, {"message", error.message}});
}

const LoadReport* LoadFollower::Report() const {
  return this->report ? &*this->report : nullptr;
}

Duration LoadFollower::Age() const {
  return this->loop->Now() - this->produced;
}

}  // namespace peridot
