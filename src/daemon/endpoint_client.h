// Requests to endpoints.
//
// Index:
//   [SECTION] Results
//   [SECTION] EndpointClient

#ifndef SRC_DAEMON_ENDPOINT_CLIENT_H_
#define SRC_DAEMON_ENDPOINT_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "src/coordination/attempt.h"
#include "src/coordination/dispatcher.h"
#include "src/coordination/endpoint_lease.h"
#include "src/state/ids.h"
#include "src/transport/http_client.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Results
//-----------------------------------------------------------------------------

enum class LeaseResult {
  kReport,   // the lease is held
  kRefused,  // the endpoint knows no such lease or gives none
  kFailed,   // no usable answer
};

//-----------------------------------------------------------------------------
// [SECTION] EndpointClient
//-----------------------------------------------------------------------------

// An EndpointId is the endpoint's "IP:port". Not thread-safe: lives on the
// loop's thread. Each callback is called once, from the loop.
class EndpointClient {
 public:
  using LeaseCallback = std::function<void(LeaseResult, const EndpointReport&)>;
  // The body is the whole answer if the reply is kDone.
  using ReplyCallback = std::function<void(AttemptReply, std::string body)>;
  using FenceCallback = std::function<void(FenceReply, std::string body)>;

  explicit EndpointClient(HttpClient* http);

  void Acquire(const EndpointId& endpoint,
               const SessionId& holder,
               Duration lease,
               LeaseCallback callback);
  void Heartbeat(const EndpointId& endpoint,
                 const LeaseId& lease,
                 std::int64_t until_us,
                 LeaseCallback callback);
  void Release(const EndpointId& endpoint, const LeaseId& lease);

  // Sends the attempt over a connection that answered a moment ago, or a new
  // one. An answer that does not carry this attempt's id, length and digest is
  // dropped, its connection is closed, and the reply is kNoAnswer. So it is
  // when two heartbeats in a row, sent after the attempt, do not list it as
  // running: it has ended, or never arrived, on a connection that went silent.
  void Start(const StartAttempt& attempt,
             const std::string& payload,
             Duration timeout,
             ReplyCallback callback);

  // Asks over a new connection what became of the attempt, which will not start
  // any more.
  void Fence(const EndpointId& endpoint,
             const AttemptId& attempt,
             const BootId& boot,
             FenceCallback callback);

  void Stop(const EndpointId& endpoint, const AttemptId& attempt);

  // Closes every connection to the endpoint: one of them went silent.
  void ReplaceConnections(const EndpointId& endpoint);

 private:
  void FetchResult(const EndpointId& endpoint,
                   const AttemptId& attempt,
                   FenceCallback callback);
  void DropUnheard(const EndpointId& endpoint,
                   std::uint64_t before,
                   const std::vector<AttemptId>& running);

  // An attempt whose answer has not come.
  struct OpenAttempt {
    EndpointId endpoint;
    std::uint64_t number = 0;  // order of sending among attempts and heartbeats
    HttpClient::RequestId request = 0;
    bool missed = false;  // the last heartbeat's answer did not list it
  };

  HttpClient* http;
  std::uint64_t next_number = 1;
  std::map<AttemptId, OpenAttempt> open;
};

}  // namespace peridot

#endif  // SRC_DAEMON_ENDPOINT_CLIENT_H_
