#include "src/coordination/journal_internal.h"

#include <openssl/evp.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <type_traits>
#include <utility>

namespace peridot {
namespace {

using nlohmann::json;

// Bytes of the JSON names and braces of one record.
constexpr std::size_t kRecordOverhead = 160;

// Returns base64, since JSON strings cannot hold arbitrary bytes.
std::string EncodeBytes(const std::string& bytes) {
  std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
  const int length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(length));
  return text;
}

// Returns an empty string for text that is not base64.
std::string DecodeBytes(const std::string& text) {
  std::string bytes(3 * (text.size() / 4) + 1, '\0');
  const int length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  const auto padding =
      std::count(text.end() - std::min<std::ptrdiff_t>(
                                  2, static_cast<std::ptrdiff_t>(text.size())),
                 text.end(), '=');
  bytes.resize(length < 0 ? 0
                          : static_cast<std::size_t>(length) -
                                static_cast<std::size_t>(padding));
  return bytes;
}

json ToJson(const AcceptedTask& task) {
  return {{"kind", "accepted"},
          {"task", task.task.value},
          {"team", task.team.value},
          {"queue", task.queue.value},
          {"key_id", task.key.value},
          {"idempotent", task.idempotent},
          {"key", task.key_digest},
          {"deadline_ms", task.deadline_ms},
          {"body", EncodeBytes(task.body)},
          {"object", task.body_object}};
}

json ToJson(const AttemptIntent& intent) {
  return {{"kind", "intent"},
          {"task", intent.task.value},
          {"attempt", intent.attempt.value},
          {"endpoint", intent.endpoint.value},
          {"boot", intent.boot.value}};
}

json ToJson(const AttemptEnd& end) {
  return {{"kind", "ended"},
          {"task", end.task.value},
          {"attempt", end.attempt.value},
          {"never_started", end.never_started}};
}

json ToJson(const TaskAnswer& answer) {
  return {{"kind", "finished"},
          {"task", answer.task.value},
          {"outcome", static_cast<int>(answer.outcome)},
          {"body", EncodeBytes(answer.body)},
          {"object", answer.body_object},
          {"key_row", answer.key_row}};
}

JournalRecord RecordFromJson(const json& value) {
  const auto text = [&](const char* name) {
    return value.at(name).get<std::string>();
  };
  const auto kind = text("kind");
  const TaskId task(text("task"));
  if (kind == "accepted") {
    return AcceptedTask{task,
                        TeamId(text("team")),
                        QueueId(text("queue")),
                        KeyId(text("key_id")),
                        value.at("idempotent").get<bool>(),
                        text("key"),
                        value.at("deadline_ms").get<std::int64_t>(),
                        DecodeBytes(text("body")),
                        text("object")};
  }
  if (kind == "intent") {
    return AttemptIntent{task, AttemptId(text("attempt")),
                         EndpointId(text("endpoint")), BootId(text("boot"))};
  }
  if (kind == "ended") {
    return AttemptEnd{task, AttemptId(text("attempt")),
                      value.at("never_started").get<bool>()};
  }
  return TaskAnswer{task,
                    static_cast<JournalOutcome>(value.at("outcome").get<int>()),
                    DecodeBytes(text("body")), text("object"), text("key_row")};
}

json SessionToJson(const SessionId& session) {
  return {{"daemon", session.daemon.value},
          {"incarnation", session.incarnation.value}};
}

SessionId SessionFromJson(const json& value) {
  return {DaemonId(value.at("daemon").get<std::string>()),
          Incarnation(value.at("incarnation").get<std::uint64_t>())};
}

std::string SessionPath(const SessionId& session) {
  return session.daemon.value + "/" + std::to_string(session.incarnation.value);
}

// Parses the value of the row as JSON and calls read on it.
template <typename T, typename Read>
Result<T> Parse(const TableRow& row, const char* step, Read read) {
  try {
    return read(json::parse(row.value));
  } catch (const json::exception& error) {
    return MakeError(ErrorCode::kMalformed, step, row.key, error.what());
  }
}

}  // namespace

const TaskId& TaskOf(const JournalRecord& record) {
  return std::visit([](const auto& body) -> const TaskId& { return body.task; },
                    record);
}

bool IsFinal(const JournalRecord& record) {
  return std::holds_alternative<TaskAnswer>(record);
}

std::size_t SizeOf(const JournalRecord& record) {
  return std::visit(
      [](const auto& body) {
        std::size_t size = kRecordOverhead + body.task.value.size();
        if constexpr (requires { body.body; }) {
          size += body.body.size() * 4 / 3;
        }
        return size;
      },
      record);
}

std::string JournalPrefix(const SessionId& session) {
  return "journal/" + SessionPath(session) + "/";
}

std::string JournalBatchKey(const SessionId& session, std::uint64_t number) {
  return JournalPrefix(session) + std::to_string(number);
}

std::string JournalHeadKey(const SessionId& session) {
  return JournalPrefix(session) + "head";
}

std::string AdoptedKey(const SessionId& session) {
  return "adopted/" + SessionPath(session);
}

std::string IdempotencyKey(const AcceptedTask& task) {
  return "idem/" + task.team.value + "/" + task.key_digest;
}

std::string JournalSessionKey(const DaemonId& daemon) {
  return "session/" + daemon.value;
}

std::string SerializeBatch(const std::vector<JournalRecord>& records) {
  json list = json::array();
  for (const JournalRecord& record : records) {
    list.push_back(
        std::visit([](const auto& body) { return ToJson(body); }, record));
  }
  const json value = {{"records", std::move(list)}};
  return value.dump();
}

std::string SerializeHead(const JournalHead& head) {
  const json value = {{"op", head.operation_id}, {"number", head.number}};
  return value.dump();
}

std::string SerializeSession(const SessionId& session) {
  return SessionToJson(session).dump();
}

std::string SerializeKeyOwner(const KeyOwner& owner) {
  json value = SessionToJson(owner.session);
  value["task"] = owner.task.value;
  return value.dump();
}

Result<std::string> SetFenced(const TableRow& row) {
  return Parse<std::string>(row, "fence_session", [](json value) {
    value["fenced"] = true;
    return value.dump();
  });
}

Result<std::vector<JournalRecord>> ParseBatch(const TableRow& row) {
  return Parse<std::vector<JournalRecord>>(
      row, "parse_batch", [](const json& value) {
        std::vector<JournalRecord> records;
        for (const json& record : value.at("records")) {
          records.push_back(RecordFromJson(record));
        }
        return records;
      });
}

Result<JournalHead> ParseHead(const TableRow& row) {
  return Parse<JournalHead>(row, "parse_head", [](const json& value) {
    return JournalHead{value.at("op").get<std::string>(),
                       value.at("number").get<std::uint64_t>()};
  });
}

Result<SessionId> ParseSessionId(const TableRow& row) {
  return Parse<SessionId>(row, "parse_adopted", SessionFromJson);
}

Result<KeyOwner> ParseKeyOwner(const TableRow& row) {
  return Parse<KeyOwner>(row, "parse_key_owner", [](const json& value) {
    return KeyOwner{TaskId(value.at("task").get<std::string>()),
                    SessionFromJson(value)};
  });
}

Result<SessionFence> ParseSessionFence(const TableRow& row) {
  return Parse<SessionFence>(row, "parse_session", [](const json& value) {
    return SessionFence{value.at("incarnation").get<std::uint64_t>(),
                        value.at("fenced").get<bool>()};
  });
}

Result<SessionId> ParseAdoptedKey(const std::string& key) {
  const std::size_t begin = key.find('/');
  const std::size_t end = key.rfind('/');
  const std::string digits =
      end == std::string::npos ? std::string() : key.substr(end + 1);
  const bool number =
      !digits.empty() && digits.size() < 19 &&
      digits.find_first_not_of("0123456789") == std::string::npos;
  if (begin == end || !number) {
    return MakeError(ErrorCode::kMalformed, "parse_adopted", key,
                     "expected adopted/DAEMON/INCARNATION");
  }
  return SessionId{DaemonId(key.substr(begin + 1, end - begin - 1)),
                   Incarnation(std::stoull(digits))};
}

}  // namespace peridot
