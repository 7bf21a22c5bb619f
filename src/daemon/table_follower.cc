#include "src/daemon/table_follower.h"

#include <utility>

#include "src/transport/log.h"

namespace peridot {

namespace {

// Separates part and key; no part contains it.
constexpr char kSeparator = '\x1f';

std::string KnownKey(const StoreKey& key) {
  return key.part + kSeparator + key.key;
}

}  // namespace

TableFollower::TableFollower(EventLoop* loop,
                             const FleetPorts* ports,
                             TableFollowerConfig config,
                             Handlers handlers)
    : loop(loop),
      ports(ports),
      config(std::move(config)),
      handlers(std::move(handlers)),
      alive(std::make_shared<bool>(true)) {}

TableFollower::~TableFollower() {
  *this->alive = false;
}

void TableFollower::Start() {
  this->part = 0;
  this->from.clear();
  this->read_version = RowVersion{};
  this->read_now.clear();
  this->ReadNext();
}

StoreCallback TableFollower::Guard(
    void (TableFollower::*member)(const StoreReply&)) {
  return [this, member, alive = this->alive](const StoreReply& reply) {
    if (*alive) {
      this->last_answer = this->loop->Now();
      (this->*member)(reply);
    }
  };
}

void TableFollower::Later(Milliseconds delay, void (TableFollower::*action)()) {
  this->loop->After(delay, [this, action, alive = this->alive] {
    if (*alive) {
      (this->*action)();
    }
  });
}

void TableFollower::ReadNext() {
  this->ports->read(
      StoreKey{this->config.table, this->config.parts[this->part], this->from},
      this->Guard(&TableFollower::OnRead));
}

void TableFollower::OnRead(const StoreReply& reply) {
  if (reply.outcome != StoreOutcome::kOk) {
    LogEvent(LogLevel::kWarning, "table_read_failed",
             {{"table", this->config.table},
              {"outcome", StoreOutcomeName(reply.outcome)}});
    this->Later(this->config.retry, &TableFollower::ReadNext);
    return;
  }
  if (this->read_version == RowVersion{}) {
    this->read_version = reply.version;
  }
  for (const StoreRow& read : reply.rows) {
    StoreRow row = read;
    row.key.part = this->config.parts[this->part];
    this->read_now[KnownKey(row.key)] = row.version;
    this->Deliver(row);
  }
  if (reply.more && !reply.rows.empty()) {
    // The smallest key above the last one.
    this->from = reply.rows.back().key.key + '\x01';
    this->ReadNext();
    return;
  }
  this->from.clear();
  if (++this->part < this->config.parts.size()) {
    this->ReadNext();
    return;
  }
  this->FinishRead();
}

void TableFollower::FinishRead() {
  if (this->config.report_removed) {
    const std::map<std::string, RowVersion> before = this->known;
    for (const auto& [name, row_version] : before) {
      if (this->read_now.contains(name)) {
        continue;
      }
      StoreRow gone;
      const auto at = name.find(kSeparator);
      gone.key =
          StoreKey{this->config.table, name.substr(0, at), name.substr(at + 1)};
      gone.removed = true;
      gone.version = this->read_version;
      this->Deliver(gone);
    }
  }
  this->read_now.clear();
  this->version = this->read_version;
  this->synced = true;
  this->handlers.on_synced();
  this->Follow();
}

void TableFollower::Deliver(const StoreRow& row) {
  if (this->config.report_removed) {
    const std::string name = KnownKey(row.key);
    if (row.removed) {
      this->known.erase(name);
    } else {
      this->known[name] = row.version;
    }
  }
  this->handlers.on_row(row);
}

void TableFollower::Follow() {
  this->ports->feed(this->config.table, this->version,
                    this->Guard(&TableFollower::OnFeed));
}

void TableFollower::OnFeed(const StoreReply& reply) {
  if (reply.outcome == StoreOutcome::kHistoryLost) {
    LogEvent(LogLevel::kInfo, "table_history_lost",
             {{"table", this->config.table},
              {"version", std::to_string(this->version.value)}});
    this->Start();
    return;
  }
  if (reply.outcome != StoreOutcome::kOk) {
    LogEvent(LogLevel::kWarning, "table_feed_failed",
             {{"table", this->config.table},
              {"outcome", StoreOutcomeName(reply.outcome)}});
    this->Later(this->config.retry, &TableFollower::Follow);
    return;
  }
  for (const StoreRow& row : reply.rows) {
    this->version = std::max(this->version, row.version);
    this->Deliver(row);
  }
  this->version = std::max(this->version, reply.version);
  if (!reply.rows.empty()) {
    this->handlers.on_batch();
  }
  if (this->config.spacing.count() > 0 && !reply.rows.empty()) {
    this->Later(this->config.spacing, &TableFollower::Follow);
  } else {
    this->Follow();
  }
}

}  // namespace peridot
