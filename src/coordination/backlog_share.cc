#include "src/coordination/backlog_share.h"

#include <algorithm>

#include "src/coordination/job_scheduler.h"

namespace peridot {

namespace {

// Memory of the smallest hosts.
constexpr std::size_t kSmallestHostMb = 160;

// Parts of the memory. The other parts are those of the listeners, see
// DivideLimits(), and of the program itself.
constexpr std::size_t kJobPart = 8;
constexpr std::size_t kTrackedPart = 8;
constexpr std::size_t kOrderPart = 32;
constexpr std::size_t kRefusalPart = 32;

// An id that must not be stored: its entry and its row's version.
constexpr std::size_t kRefusalBytes = 192;

// A daemon uses at most this part of the room until the next report, and less
// in a fleet of more than four: twice the number of daemons covers reports of
// different age.
constexpr std::size_t kMinParts = 8;

// A single row may exceed the share up to this part of the room. Otherwise the
// largest jobs would never be accepted in a large fleet. The rest is left to
// smaller ones.
constexpr std::size_t kSingleParts = 32;

}  // namespace

BacklogLimits DivideBacklogMemory(std::size_t memory_mb) {
  const std::size_t bytes = (memory_mb > 0 ? memory_mb : kSmallestHostMb) << 20;
  const std::size_t shared = std::min(bytes, kSmallestHostMb << 20);
  return BacklogLimits{
      .job_bytes = shared / kJobPart,
      .refusals = shared / kRefusalPart / kRefusalBytes,
      .max_tracked_tasks = bytes / kTrackedPart / kTrackedTaskBytes,
      .max_order_bytes = bytes / kOrderPart};
}

void BacklogShare::OnReport(std::size_t reported,
                            std::size_t reported_limit,
                            int reported_daemons,
                            RowVersion included) {
  const std::size_t smaller = std::min(this->limit, reported_limit);
  this->room = smaller - std::min(smaller, reported);
  this->daemons = reported_daemons > 0 ? reported_daemons : kAssumedDaemons;
  std::erase_if(this->entries, [&](const auto& item) {
    const Entry& entry = item.second;
    const bool counted = entry.version && *entry.version <= included;
    this->used -= counted ? entry.amount : 0;
    return counted;
  });
}

std::size_t BacklogShare::Parts() const {
  return std::max(kMinParts, 2 * static_cast<std::size_t>(this->daemons));
}

std::size_t BacklogShare::Share() const {
  return std::max(this->room / this->Parts(),
                  std::min(this->room, this->least));
}

std::size_t BacklogShare::Largest(std::size_t of_room) const {
  return of_room / std::min(kSingleParts, this->Parts());
}

std::optional<BacklogShare::Reservation> BacklogShare::Reserve(
    std::size_t amount) {
  const bool fits = this->used + amount <= this->Share() ||
                    (this->used == 0 && amount <= this->Largest(this->room));
  if (!fits) {
    return std::nullopt;
  }
  this->used += amount;
  this->entries[++this->last] = Entry{amount, std::nullopt};
  return this->last;
}

void BacklogShare::OnStored(Reservation reservation, RowVersion version) {
  const auto found = this->entries.find(reservation);
  if (found != this->entries.end()) {
    found->second.version = version;
  }
}

void BacklogShare::Release(Reservation reservation) {
  const auto found = this->entries.find(reservation);
  if (found != this->entries.end()) {
    this->used -= found->second.amount;
    this->entries.erase(found);
  }
}

bool BacklogShare::NeedsReport() const {
  return 4 * this->used >= this->Share();
}

bool BacklogShare::NeverFits(std::size_t amount) const {
  return amount > this->Largest(this->limit);
}

}  // namespace peridot
