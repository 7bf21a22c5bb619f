#include "src/daemon/table_client.h"

#include <utility>

#include "src/protocol/platform_http.h"

namespace peridot {
namespace {

// Longer than a slow store takes to answer, shorter than a caller's timeout. A
// later answer is treated as lost.
constexpr Duration kTimeout = std::chrono::seconds(2);
constexpr std::size_t kMaxAnswer = 64UL << 20;  // bytes

}  // namespace

TableClient::TableClient(HttpClient* http, HttpPeer peer)
    : http(http), peer(std::move(peer)) {}

void TableClient::Read(std::vector<std::string> keys,
                       std::vector<std::string> prefixes,
                       ReadCallback callback) {
  auto call = EncodeRead({std::move(keys), std::move(prefixes)});
  if (!call) {
    return callback(call.error());
  }
  HttpRequest request = ToHttpRequest(std::move(call.value()));
  request.timeout = kTimeout;
  request.max_response_bytes = kMaxAnswer;
  this->http->Send(this->peer, std::move(request),
                   [peer = this->peer, callback = std::move(callback)](
                       const HttpOutcome& outcome) {
                     if (!outcome.Answered()) {
                       return callback(OutcomeError(outcome, "read", peer));
                     }
                     callback(ParseRows(outcome.status, outcome.body));
                   });
}

void TableClient::Transact(const TableTransaction& transaction,
                           CommitCallback callback) {
  auto call = EncodeTransact(transaction);
  if (!call) {
    // Nothing was sent. The caller reads back and finds that the transaction
    // had no effect.
    return callback({});
  }
  HttpRequest request = ToHttpRequest(std::move(call.value()));
  request.timeout = kTimeout;
  this->http->Send(
      this->peer, std::move(request),
      [callback = std::move(callback)](const HttpOutcome& outcome) {
        if (!outcome.Answered()) {
          return callback({});
        }
        auto answer = ParseCommitAnswer(outcome.status, outcome.body);
        callback(answer ? std::move(answer.value()) : CommitAnswer{});
      });
}

}  // namespace peridot
