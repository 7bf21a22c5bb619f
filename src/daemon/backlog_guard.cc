#include "src/daemon/backlog_guard.h"

#include <utility>

#include "src/protocol/load_json.h"
#include "src/transport/log.h"

namespace peridot {

namespace {

// Minimum time between two requests for a report.
constexpr Milliseconds kFetchInterval{250};

// Refusals that a daemon may store between two reports.
constexpr std::size_t kLeastRefusals = 256;

}  // namespace

BacklogGuard::BacklogGuard(EventLoop* loop,
                           const OwnerTask* owner,
                           const BacklogLimits& limits,
                           Fetch fetch)
    : loop(loop),
      owner(owner),
      fetch(std::move(fetch)),
      jobs(limits.job_bytes),
      refusals(limits.refusals, kLeastRefusals),
      alive(std::make_shared<bool>(true)) {}

BacklogGuard::~BacklogGuard() {
  *this->alive = false;
}

void BacklogGuard::ReserveJob(std::size_t bytes, Callback done) {
  this->Reserve(&this->jobs, bytes, std::move(done));
}

void BacklogGuard::ReserveRefusal(Callback done) {
  this->Reserve(&this->refusals, 1, std::move(done));
}

void BacklogGuard::Reserve(BacklogShare* share,
                           std::size_t amount,
                           Callback done) {
  if (const std::optional<BacklogReport> report = this->owner->Backlog()) {
    this->OnReport(*report);
    done(share->Reserve(amount));
    return;
  }
  const std::optional<Reservation> reservation = share->Reserve(amount);
  if (!reservation || share->NeedsReport()) {
    this->RequestReport();
  }
  if (!reservation && this->fetching) {
    this->waiting.push_back(Waiting{share, amount, std::move(done)});
  } else {
    done(reservation);
  }
}

void BacklogGuard::OnReport(const BacklogReport& report) {
  this->jobs.OnReport(report.job_bytes, report.job_limit, report.daemons,
                      report.jobs_version);
  this->refusals.OnReport(report.refusals, report.refusal_limit, report.daemons,
                          report.jobs_version);
}

void BacklogGuard::RequestReport() {
  const Instant now = this->loop->Now();
  if (this->fetching ||
      (this->last_fetch && now - *this->last_fetch < kFetchInterval)) {
    return;
  }
  this->fetching = true;
  this->last_fetch = now;
  this->fetch(
      [this, alive = this->alive](const std::optional<std::string>& body) {
        if (*alive) {
          this->OnAnswer(body);
        }
      });
}

void BacklogGuard::OnAnswer(const std::optional<std::string>& body) {
  this->fetching = false;
  if (body) {
    const Result<BacklogReport> report = DecodeBacklogReport(*body);
    if (report) {
      this->OnReport(report.value());
    } else {
      LogError(LogLevel::kWarning, "backlog_report_ignored", report.error());
    }
  }
  for (const Waiting& call : std::exchange(this->waiting, {})) {
    call.done(call.share->Reserve(call.amount));
  }
}

}  // namespace peridot
