// Records of the journal and their rows. Internal to journal.h, except for the
// record types, which callers fill in.

#ifndef SRC_COORDINATION_JOURNAL_INTERNAL_H_
#define SRC_COORDINATION_JOURNAL_INTERNAL_H_

#include <cstddef>
#include <cstdint>

#include <string>
#include <variant>
#include <vector>

#include "src/state/error.h"
#include "src/state/ids.h"
#include "src/state/table_types.h"

namespace peridot {

struct AcceptedTask {
  TaskId task;
  TeamId team;
  QueueId queue;
  KeyId key;  // checked again at each start
  bool idempotent = false;
  std::string key_digest;        // empty: no idempotency key
  std::int64_t deadline_ms = 0;  // wall clock, since the Unix epoch
  std::string body;              // any bytes
  std::string body_object;       // name in the object store
};

struct AttemptIntent {
  TaskId task;
  AttemptId attempt;
  EndpointId endpoint;
  BootId boot;
};

struct AttemptEnd {
  TaskId task;
  AttemptId attempt;
  bool never_started = false;  // true: the endpoint will never start it
};

enum class JournalOutcome { kAnswered, kFailed, kCancelled, kUnknown };

struct TaskAnswer {
  TaskId task;
  JournalOutcome outcome = JournalOutcome::kUnknown;
  std::string body;         // any bytes
  std::string body_object;  // name in the object store
  std::string key_row;      // filled in by the journal
};

using JournalRecord =
    std::variant<AcceptedTask, AttemptIntent, AttemptEnd, TaskAnswer>;

const TaskId& TaskOf(const JournalRecord& record);
bool IsFinal(const JournalRecord& record);
// Bytes that the record takes in a row, within a small overhead.
std::size_t SizeOf(const JournalRecord& record);

// The last committed batch of a session; each batch replaces it.
struct JournalHead {
  std::string operation_id;
  std::uint64_t number = 0;
};

// The parts of a session row that the journal uses.
struct SessionFence {
  std::uint64_t incarnation = 0;
  bool fenced = false;
};

// The owner of an idempotency key.
struct KeyOwner {
  TaskId task;
  SessionId session;
};

std::string JournalPrefix(const SessionId& session);
std::string JournalBatchKey(const SessionId& session, std::uint64_t number);
std::string JournalHeadKey(const SessionId& session);
std::string AdoptedKey(const SessionId& session);
std::string IdempotencyKey(const AcceptedTask& task);
std::string JournalSessionKey(const DaemonId& daemon);

std::string SerializeBatch(const std::vector<JournalRecord>& records);
std::string SerializeHead(const JournalHead& head);
std::string SerializeSession(const SessionId& session);
std::string SerializeKeyOwner(const KeyOwner& owner);
// Returns the session row's value with `fenced` set, other fields unchanged.
Result<std::string> SetFenced(const TableRow& row);

// Errors of all: kMalformed.
Result<std::vector<JournalRecord>> ParseBatch(const TableRow& row);
Result<JournalHead> ParseHead(const TableRow& row);
Result<SessionId> ParseSessionId(const TableRow& row);
Result<KeyOwner> ParseKeyOwner(const TableRow& row);
Result<SessionFence> ParseSessionFence(const TableRow& row);
// Returns the session that the key of an `adopted` row names.
Result<SessionId> ParseAdoptedKey(const std::string& key);

}  // namespace peridot

#endif  // SRC_COORDINATION_JOURNAL_INTERNAL_H_
