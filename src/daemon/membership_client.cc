#include "src/daemon/membership_client.h"

#include <utility>

#include "src/protocol/platform_http.h"

namespace peridot {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(2);
// In bytes; 10,000 hosts take 2 MiB.
constexpr std::size_t kMaxAnswer = 16UL << 20;

}  // namespace

MembershipClient::MembershipClient(HttpClient* http, HttpPeer peer)
    : http(http), peer(std::move(peer)) {}

void MembershipClient::List(ListCallback callback) {
  HttpRequest request = ToHttpRequest(EncodeListHosts());
  request.timeout = kTimeout;
  request.max_response_bytes = kMaxAnswer;
  this->http->Send(
      this->peer, std::move(request),
      [peer = this->peer,
       callback = std::move(callback)](const HttpOutcome& outcome) {
        if (!outcome.Answered()) {
          return callback(OutcomeError(outcome, "list hosts", peer));
        }
        const auto hosts = ParseHosts(outcome.status, outcome.body);
        if (!hosts) {
          return callback(hosts.error());
        }
        std::vector<ListedEndpoint> listed;
        listed.reserve(hosts.value().size());
        for (const HostRecord& host : hosts.value()) {
          listed.push_back({host.endpoint, host.host, host.zone, host.rack,
                            host.pool, host.state == HostState::kLeaving});
        }
        callback(std::move(listed));
      });
}

}  // namespace peridot
