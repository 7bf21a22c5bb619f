#include "src/daemon/table_follower.h"

#include <algorithm>
#include <utility>

#include "src/transport/log.h"

namespace peridot {

namespace {

// Separates part and key; parts do not contain it.
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

template <typename Action>
auto TableFollower::Guard(Action action) {
  return [this, action = std::move(action), alive = this->alive,
          number = this->read](auto&&... args) {
    if (*alive && number == this->read) {
      action(std::forward<decltype(args)>(args)...);
    }
  };
}

void TableFollower::Start() {
  ++this->read;
  this->read_version = RowVersion{};
  this->rows_of_read.clear();
  this->open_parts = this->config.parts.size();
  for (std::size_t part = 0; part < this->config.parts.size(); ++part) {
    this->ReadPart(part, "", this->config.page_rows);
  }
}

void TableFollower::ReadPart(std::size_t part,
                             const std::string& from,
                             std::size_t rows) {
  this->ports->read(
      StoreKey{this->config.table, this->config.parts[part], from}, rows,
      this->Guard([this, part, from, rows](const StoreReply& reply) {
        this->last_answer = this->loop->Now();
        this->OnRead(part, from, rows, reply);
      }));
}

void TableFollower::OnRead(std::size_t part,
                           const std::string& from,
                           std::size_t rows,
                           const StoreReply& reply) {
  if (reply.outcome != StoreOutcome::kOk) {
    LogEvent(LogLevel::kWarning, "table_read_failed",
             {{"table", this->config.table},
              {"part", this->config.parts[part]},
              {"rows", std::to_string(rows)},
              {"outcome", StoreOutcomeName(reply.outcome)}});
    if (reply.outcome == StoreOutcome::kUnknown) {
      rows = std::max(rows / 2, this->config.min_page_rows);
    }
    this->loop->After(this->config.retry_delay,
                      this->Guard([this, part, from, rows] {
                        this->ReadPart(part, from, rows);
                      }));
    return;
  }
  this->read_version = this->read_version == RowVersion{}
                           ? reply.version
                           : std::min(this->read_version, reply.version);
  for (const StoreRow& found : reply.rows) {
    StoreRow row = found;
    row.key.part = this->config.parts[part];
    this->rows_of_read[KnownKey(row.key)] = row.version;
    this->Deliver(row);
  }
  if (reply.more && !reply.rows.empty()) {
    // The smallest key above the last one.
    this->ReadPart(part, reply.rows.back().key.key + '\x01', rows);
    return;
  }
  if (--this->open_parts == 0) {
    this->FinishRead();
  }
}

void TableFollower::FinishRead() {
  if (this->config.report_removed) {
    const std::map<std::string, RowVersion> before = this->known_rows;
    for (const auto& [name, row_version] : before) {
      if (this->rows_of_read.contains(name)) {
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
  this->rows_of_read.clear();
  this->version = this->read_version;
  this->synced = true;
  this->last_feed_answer = this->loop->Now();
  this->handlers.on_synced();
  this->ReadFeed();
}

void TableFollower::Deliver(const StoreRow& row) {
  if (this->config.report_removed) {
    const std::string name = KnownKey(row.key);
    if (row.removed) {
      this->known_rows.erase(name);
    } else {
      this->known_rows[name] = row.version;
    }
  }
  this->handlers.on_row(row);
}

void TableFollower::ReadFeed() {
  this->ports->feed(this->config.table, this->version,
                    this->Guard([this](const StoreReply& reply) {
                      this->last_answer = this->loop->Now();
                      this->OnFeed(reply);
                    }));
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
    this->loop->After(this->config.retry_delay,
                      this->Guard([this] { this->ReadFeed(); }));
    return;
  }
  this->last_feed_answer = this->loop->Now();
  for (const StoreRow& row : reply.rows) {
    this->version = std::max(this->version, row.version);
    this->Deliver(row);
  }
  this->version = std::max(this->version, reply.version);
  if (!reply.rows.empty()) {
    this->handlers.on_batch();
  }
  if (this->config.min_feed_interval.count() > 0 && !reply.rows.empty()) {
    this->loop->After(this->config.min_feed_interval,
                      this->Guard([this] { this->ReadFeed(); }));
  } else {
    this->ReadFeed();
  }
}

}  // namespace peridot
