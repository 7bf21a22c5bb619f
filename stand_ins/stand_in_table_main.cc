// Stand-in for the platform's transactional table.

#include <utility>

#include "stand_ins/http_shell.h"
#include "stand_ins/json_fields.h"
#include "stand_ins/store_shell.h"
#include "stand_ins/table_store.h"

namespace peridot::stand_ins {
namespace {

using nlohmann::json;

// A journal batch has up to 256 KiB, and a settings tree of the size expected
// in two years a few hundred KiB.
constexpr std::size_t kMaxBody = std::size_t{4} << 20;

Result<TableTransaction> ParseTransaction(const std::string& body) {
  BOOST_OUTCOME_TRY(object, ParseObject(body));
  TableTransaction transaction;
  JsonFields fields(object);
  fields.Text("op_id", transaction.operation_id, Presence::kRequired);
  fields.Objects("checks", [&](JsonFields& check) {
    std::string key;
    std::int64_t version = 0;
    check.Text("key", key, Presence::kRequired);
    check.Integer("version", version, Presence::kRequired);
    transaction.checks.push_back(
        {std::move(key), RowVersion(static_cast<std::uint64_t>(version))});
  });
  fields.Objects("puts", [&](JsonFields& put) {
    TablePut row;
    put.Text("key", row.key, Presence::kRequired);
    put.Text("value", row.value, Presence::kRequired);
    transaction.puts.push_back(std::move(row));
  });
  fields.Texts("deletes", transaction.erases);
  BOOST_OUTCOME_TRY(fields.Finish());
  return transaction;
}

Result<TableReadRequest> ParseRead(const std::string& body) {
  BOOST_OUTCOME_TRY(object, ParseObject(body));
  TableReadRequest request;
  JsonFields fields(object);
  fields.Texts("keys", request.keys);
  fields.Texts("prefixes", request.prefixes);
  BOOST_OUTCOME_TRY(fields.Finish());
  return request;
}

HttpReply CommittedReply(const CommitAnswer& answer) {
  json versions = json::object();
  for (const TableCheck& row : answer.versions) {
    versions[row.key] = row.version.value;
  }
  return JsonReply(200,
                   {{"committed", true}, {"versions", std::move(versions)}});
}

HttpReply ConflictReply(const CommitAnswer& answer) {
  json conflicts = json::array();
  for (const TableCheck& row : answer.conflicts) {
    conflicts.push_back({{"key", row.key}, {"version", row.version.value}});
  }
  return JsonReply(409,
                   {{"committed", false}, {"conflicts", std::move(conflicts)}});
}

class TableShell {
 public:
  explicit TableShell(ShellLoop& loop) : loop(loop) {}

  void Handle(HttpServer& server, const HttpRequest& request) {
    if (request.Is("POST", "/v1/transact"))
      return this->Transact(server, request);
    if (request.Is("POST", "/v1/read"))
      return this->Read(server, request);
    if (request.Is("POST", "/v1/fault")) {
      return server.Reply(request.id,
                          SetStoreFaults(&this->store, request.body));
    }
    server.Reply(request.id, ErrorReply(404, "there is no such resource"));
  }

 private:
  void Transact(HttpServer& server, const HttpRequest& request) {
    auto transaction = ParseTransaction(request.body);
    if (!transaction)
      return server.Reply(request.id, ErrorReply(transaction.error()));
    RespondWithLatency(this->loop, server, request.id,
                       this->store.Faults().latency,
                       [this, parsed = std::move(transaction).value()] {
                         return this->Commit(parsed);
                       });
  }

  std::optional<HttpReply> Commit(const TableTransaction& transaction) {
    const auto answer = this->store.Transact(transaction, this->loop.Now());
    if (!answer)
      return ErrorReply(answer.error());
    switch (answer.value().outcome) {
      case CommitOutcome::kCommitted:
        return CommittedReply(answer.value());
      case CommitOutcome::kConflict:
        return ConflictReply(answer.value());
      case CommitOutcome::kUnknown:
        break;
    }
    return std::nullopt;
  }

  void Read(HttpServer& server, const HttpRequest& request) {
    auto read = ParseRead(request.body);
    if (!read)
      return server.Reply(request.id, ErrorReply(read.error()));
    RespondWithLatency(this->loop, server, request.id,
                       this->store.Faults().latency,
                       [this, parsed = std::move(read).value()] {
                         return this->Snapshot(parsed);
                       });
  }

  HttpReply Snapshot(const TableReadRequest& request) {
    const auto rows = this->store.Read(request, this->loop.Now());
    if (!rows)
      return ErrorReply(rows.error());
    json list = json::array();
    for (const TableRow& row : rows.value()) {
      list.push_back({{"key", row.key},
                      {"version", row.version.value},
                      {"value", row.value}});
    }
    return JsonReply(200, {{"rows", std::move(list)}});
  }

  ShellLoop& loop;
  TableStore store;
};

int Main(int argc, char** argv) {
  return RunStoreProgram<TableShell>("stand_in_table", kMaxBody, argc, argv);
}

}  // namespace
}  // namespace peridot::stand_ins

int main(int argc, char** argv) {
  return peridot::stand_ins::Main(argc, argv);
}
