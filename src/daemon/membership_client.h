// Client of the platform's membership list.
//
// Index:
//   [SECTION] MembershipClient

#ifndef SRC_DAEMON_MEMBERSHIP_CLIENT_H_
#define SRC_DAEMON_MEMBERSHIP_CLIENT_H_

#include <functional>
#include <vector>

#include "src/coordination/membership.h"
#include "src/state/error.h"
#include "src/transport/http_client.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] MembershipClient
//-----------------------------------------------------------------------------

// Not thread-safe: use it on the event loop's thread only.
class MembershipClient {
 public:
  using ListCallback = std::function<void(Result<std::vector<ListedEndpoint>>)>;

  MembershipClient(HttpClient* http, HttpPeer peer);

  // Reads the list, which may be out of date. Errors: kUnavailable, kMalformed.
  void List(ListCallback callback);

 private:
  HttpClient* http;
  HttpPeer peer;
};

}  // namespace peridot

#endif  // SRC_DAEMON_MEMBERSHIP_CLIENT_H_
