// Follows one table of the store: a whole read, then the feed of changes.
//
// Index:
//   [SECTION] TableFollower
//
// Starts over with a whole read when the store has dropped its history. Not
// thread-safe: lives on the loop's thread.

#ifndef SRC_DAEMON_TABLE_FOLLOWER_H_
#define SRC_DAEMON_TABLE_FOLLOWER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/daemon/fleet_ports.h"
#include "src/transport/event_loop.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] TableFollower
//-----------------------------------------------------------------------------

struct TableFollowerConfig {
  std::string table;               // default: empty
  std::vector<std::string> parts;  // default: none; parts to read
  // Pause after a call that failed, so that an outage costs few calls.
  Milliseconds retry{150};  // default: 150 ms
  // Rows asked for in one call of the whole read. 100 jobs are 0.2 MB, which
  // a link of 10 Mbit/s carries in 0.2 s beside three other parts.
  std::size_t page_rows = 100;  // default: 100
  // A page that got no answer is asked for again with half the rows: the
  // answer may be too large for the link within the timeout.
  std::size_t page_rows_least = 10;  // default: 10
  // Least time between two calls of the feed: changes that come in quick
  // succession share one answer.
  Milliseconds spacing{0};  // default: 0, none
  // Keep the keys, so that a whole read tells which rows are gone. Not needed
  // for rows that are never removed while they matter.
  bool report_removed = true;  // default: true
};

class TableFollower {
 public:
  struct Handlers {
    std::function<void(const StoreRow&)> on_row;  // also removed ones
    std::function<void()> on_batch;   // after the rows of one answer
    std::function<void()> on_synced;  // after each whole read
  };

  // The loop and the ports must outlive the follower.
  TableFollower(EventLoop* loop,
                const FleetPorts* ports,
                TableFollowerConfig config,
                Handlers handlers);
  ~TableFollower();
  TableFollower(const TableFollower&) = delete;
  TableFollower& operator=(const TableFollower&) = delete;

  // Begins with the whole read.
  void Start();

  bool Synced() const { return this->synced; }
  // Last answer of the store, good or bad.
  Instant LastAnswer() const { return this->last_answer; }
  // Last good answer of the feed; what is known is at most this old and the
  // wait of a feed older.
  Instant LastGood() const { return this->last_good; }
  RowVersion Version() const { return this->version; }

 private:
  // The whole read: all parts at the same time.
  void ReadPart(std::size_t part, const std::string& from, std::size_t rows);
  void OnRead(std::size_t part,
              const std::string& from,
              std::size_t rows,
              const StoreReply& reply);
  void FinishRead();
  void Follow();
  void OnFeed(const StoreReply& reply);
  void Deliver(const StoreRow& row);
  // Wraps an action so that it does not run after destruction or for a read
  // that has been started again.
  template <typename Action>
  auto Guard(Action action);

  EventLoop* loop;
  const FleetPorts* ports;
  TableFollowerConfig config;
  Handlers handlers;
  std::shared_ptr<bool> alive;
  bool synced = false;
  std::uint64_t read = 0;      // number of the whole read
  std::size_t open_parts = 0;  // of the whole read under way
  RowVersion read_version;     // lowest version of its answers
  RowVersion version;          // the feed goes on from here
  Instant last_answer{};
  Instant last_good{};
  std::map<std::string, RowVersion> known;     // by part and key
  std::map<std::string, RowVersion> read_now;  // of the whole read under way
};

}  // namespace peridot

#endif  // SRC_DAEMON_TABLE_FOLLOWER_H_
