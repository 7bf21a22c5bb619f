// HTTP interface for operators: settings, keys, zones, hosts and status.
//
// Index:
//   [SECTION] AdminApi
//
// Every request needs an operators' key: the key of the daemon's configuration
// or a key of the team that is reserved for operators.

#ifndef SRC_DAEMON_ADMIN_API_H_
#define SRC_DAEMON_ADMIN_API_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "src/daemon/daemon_config.h"
#include "src/daemon/dispatch_task.h"
#include "src/daemon/permit_task.h"
#include "src/daemon/settings_task.h"
#include "src/protocol/problem.h"
#include "src/transport/event_loop.h"
#include "src/transport/http_server.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] AdminApi
//-----------------------------------------------------------------------------

// Not thread-safe: use it on the event loop's thread only.
class AdminApi {
 public:
  AdminApi(EventLoop* loop,
           HttpServer* server,
           SettingsTask* settings,
           const PermitTask* permits,
           const DispatchTask* dispatch,
           const DaemonConfig* config);

 private:
  using Handler =
      std::function<void(const HttpServerRequest&, const HttpResponder&)>;
  using Edit = std::function<Result<void>(SettingsDocument*)>;

  void Route(HttpServer* server,
             HttpMethod method,
             std::string path,
             Handler handler);
  bool IsOperator(const HttpServerRequest& request) const;
  void GetSettings(const HttpResponder& responder);
  void PutSettings(const HttpServerRequest& request,
                   const HttpResponder& responder);
  void GrantKey(const HttpServerRequest& request,
                const HttpResponder& responder);
  void WithdrawKey(const HttpServerRequest& request,
                   const HttpResponder& responder);
  void PutZone(const HttpServerRequest& request,
               const HttpResponder& responder);
  void GetStatus(const HttpResponder& responder);
  void GetHosts(const HttpResponder& responder);
  void GetPools(const HttpResponder& responder);
  // Applies an edit to the adopted settings and writes the result. Answers the
  // request with an error if the edit or the edited settings are invalid.
  void ChangeSettings(const Edit& edit,
                      std::function<void(const ChangeAnswer&)> done,
                      const HttpResponder& responder);
  // Returns the team's limit in the adopted settings, or 0 if they have no such
  // team.
  std::int64_t LimitOf(const TeamId& team) const;
  // Answers the request for a change once the limits of its teams are in force
  // as well, or at `until`.
  void AwaitLimits(const std::vector<TeamId>& teams,
                   const ChangeAnswer& answer,
                   Revision base,
                   Instant until,
                   const HttpResponder& responder);
  void AnswerChange(const ChangeAnswer& answer,
                    Revision base,
                    const HttpResponder& responder);

  EventLoop* loop;
  SettingsTask* settings;
  const PermitTask* permits;
  const DispatchTask* dispatch;
  const DaemonConfig* config;
};

}  // namespace peridot

#endif  // SRC_DAEMON_ADMIN_API_H_
