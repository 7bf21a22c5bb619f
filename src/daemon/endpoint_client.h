// Client of the endpoints: leases, heartbeats and task attempts.
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
  kRefused,  // the endpoint has no such lease or grants none
  kFailed,   // no usable answer
};

//-----------------------------------------------------------------------------
// [SECTION] EndpointClient
//-----------------------------------------------------------------------------

// An EndpointId is the endpoint's "IP:port". Not thread-safe: use it on the
// event loop's thread only. Each callback is called once, from the loop.
class EndpointClient {
 public:
  using LeaseCallback = std::function<void(LeaseResult, const EndpointReport&)>;
  // The body is the complete result if the reply is kDone.
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

  // Sends the attempt. One that is not idempotent goes over a connection that
  // responded within the last second, or over a new one. A response that does
  // not match this attempt's id, length and digest is discarded, its connection
  // is closed, and the reply is kNoAnswer. The reply is also kNoAnswer when two
  // consecutive heartbeats, sent after the attempt, do not list it as running:
  // it has ended or was never received, and its connection no longer delivers
  // data.
  void Start(const StartAttempt& attempt,
             const std::string& payload,
             Duration timeout,
             ReplyCallback callback);

  // Requests the outcome of the attempt over a proven or new connection. The
  // endpoint does not start the attempt afterwards.
  void Fence(const EndpointId& endpoint,
             const AttemptId& attempt,
             const BootId& boot,
             FenceCallback callback);

  void Stop(const EndpointId& endpoint, const AttemptId& attempt);

  // Closes all connections to the endpoint, because one of them stopped
  // responding.
  void ReplaceConnections(const EndpointId& endpoint);

 private:
  void FetchResult(const EndpointId& endpoint,
                   const AttemptId& attempt,
                   FenceCallback callback);
  void CancelUnlistedAttempts(const EndpointId& endpoint,
                              std::uint64_t heartbeat_number,
                              const std::vector<AttemptId>& running);

  // An attempt without a response so far.
  struct OpenAttempt {
    EndpointId endpoint;
    std::uint64_t number = 0;  // send order of attempts and heartbeats
    HttpClient::RequestId request = 0;
    bool missing_from_last_heartbeat =
        false;  // from the response to the last heartbeat
  };

  HttpClient* http;
  std::uint64_t next_number = 1;
  std::map<AttemptId, OpenAttempt> open;
};

}  // namespace peridot

#endif  // SRC_DAEMON_ENDPOINT_CLIENT_H_
