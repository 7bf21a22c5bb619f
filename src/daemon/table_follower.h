// Follows one table of the store: a full read, then the feed of changes.
//
// Index:
//   [SECTION] TableFollower
//
// Repeats the full read when the store has discarded the history that the feed
// needs. Not thread-safe: use it on the event loop's thread only.

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
  std::string table;
  std::vector<std::string> parts;
  // Delay after a failed call, so that an outage causes few calls.
  Milliseconds retry_delay{150};
  // Rows requested in one call of the full read. 100 jobs are 0.2 MB, which a
  // 10 Mbit/s link transfers in 0.2 s in parallel with three other parts.
  std::size_t page_rows = 100;
  // A page that was not answered is requested again with half the rows, down to
  // this number: the answer may be too large for the link and the timeout.
  std::size_t min_page_rows = 10;
  // Minimum time between an answer of the feed with changes and the next call,
  // so that changes in quick succession share one answer; 0: none.
  Milliseconds min_feed_interval{0};
  // Whether the keys are kept, so that a full read detects removed rows. Not
  // needed for tables whose rows are removed only after their last use.
  bool report_removed = true;
};

class TableFollower {
 public:
  struct Handlers {
    std::function<void(const StoreRow&)> on_row;  // also for removed rows
    std::function<void()> on_batch;   // after the rows of one answer
    std::function<void()> on_synced;  // after each full read
  };

  // The loop and the ports must outlive the follower.
  TableFollower(EventLoop* loop,
                const FleetPorts* ports,
                TableFollowerConfig config,
                Handlers handlers);
  ~TableFollower();
  TableFollower(const TableFollower&) = delete;
  TableFollower& operator=(const TableFollower&) = delete;

  // Starts the full read.
  void Start();

  bool Synced() const { return this->synced; }
  // Time of the last answer of the store, successful or not.
  Instant LastAnswer() const { return this->last_answer; }
  // Time of the last successful answer of the feed. The rows are at most as old
  // as this answer plus the wait of a feed call.
  Instant LastFeedAnswer() const { return this->last_feed_answer; }
  RowVersion Version() const { return this->version; }

 private:
  // Part of the full read, which reads all parts concurrently.
  void ReadPart(std::size_t part, const std::string& from, std::size_t rows);
  void OnRead(std::size_t part,
              const std::string& from,
              std::size_t rows,
              const StoreReply& reply);
  void FinishRead();
  void ReadFeed();
  void OnFeed(const StoreReply& reply);
  void Deliver(const StoreRow& row);
  // Wraps an action so that it does not run after destruction or after the full
  // read has been restarted.
  template <typename Action>
  auto Guard(Action action);

  EventLoop* loop;
  const FleetPorts* ports;
  TableFollowerConfig config;
  Handlers handlers;
  std::shared_ptr<bool> alive;
  bool synced = false;
  std::uint64_t read = 0;      // number of the full read
  std::size_t open_parts = 0;  // parts that the full read has not finished
  RowVersion read_version;     // lowest version of its answers
  RowVersion version;          // the feed continues after this version
  Instant last_answer{};
  Instant last_feed_answer{};
  std::map<std::string, RowVersion> known_rows;    // by part and key
  std::map<std::string, RowVersion> rows_of_read;  // of the current full read
};

}  // namespace peridot

#endif  // SRC_DAEMON_TABLE_FOLLOWER_H_
