// Stand-in for the platform's membership list.

#include <utility>

#include "stand_ins/http_shell.h"
#include "stand_ins/json_fields.h"
#include "stand_ins/membership_list.h"

namespace peridot::stand_ins {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxBody = std::size_t{64} << 10;  // fields of one host
constexpr std::int64_t kMaxLagMs = 3'600'000;            // 1 h

std::int64_t Millis(Duration d) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

Result<ListedHost> ParseHost(std::string name, const std::string& body) {
  BOOST_OUTCOME_TRY(object, ParseObject(body));
  ListedHost host;
  std::string named = name;
  std::string state = "live";
  JsonFields fields(object);
  fields.Text("host", named, Presence::kOptional);
  fields.Text("endpoint", host.endpoint, Presence::kRequired);
  fields.Text("zone", host.zone.value, Presence::kRequired);
  fields.Text("rack", host.rack.value, Presence::kRequired);
  fields.Text("pool", host.pool.value, Presence::kRequired);
  fields.Text("state", state, Presence::kOptional);
  BOOST_OUTCOME_TRY(fields.Finish());
  if (named != name) {
    return MakeError(ErrorCode::kMalformed, "parse", "client",
                     "the field 'host' differs from the name in the path");
  }
  if (state != "live" && state != "leaving") {
    return MakeError(ErrorCode::kMalformed, "parse", "client",
                     "the field 'state' is neither 'live' nor 'leaving'");
  }
  host.host = HostId(std::move(name));
  host.leaving = state == "leaving";
  return host;
}

json HostObject(const ListedHost& host) {
  return {
      {"host", host.host.value}, {"endpoint", host.endpoint},
      {"zone", host.zone.value}, {"rack", host.rack.value},
      {"pool", host.pool.value}, {"state", host.leaving ? "leaving" : "live"}};
}

class MembershipShell {
 public:
  MembershipShell(ShellLoop& loop, Duration lag) : loop(loop) {
    this->list.SetFaults({.lag = lag});
  }

  HttpReply Handle(const HttpRequest& request) {
    if (request.Is("GET", "/v1/hosts"))
      return this->List();
    if (request.Is("POST", "/v1/fault"))
      return this->SetFaults(request.body);
    const std::optional<std::string> name = request.PathBetween("/v1/hosts/");
    if (name && request.method == "PUT")
      return this->Put(*name, request.body);
    if (name && request.method == "DELETE") {
      this->list.Remove(HostId(*name), this->loop.Now());
      return JsonReply(200, json::object());
    }
    return ErrorReply(404, "there is no such resource");
  }

 private:
  HttpReply List() {
    const auto hosts = this->list.List(this->loop.Now());
    if (!hosts)
      return ErrorReply(hosts.error());
    json objects = json::array();
    for (const ListedHost& host : hosts.value()) {
      objects.push_back(HostObject(host));
    }
    return JsonReply(200, {{"hosts", std::move(objects)}});
  }

  HttpReply Put(const std::string& name, const std::string& body) {
    const auto host = ParseHost(name, body);
    if (!host)
      return ErrorReply(host.error());
    this->list.Put(host.value(), this->loop.Now());
    return JsonReply(200, json::object());
  }

  HttpReply SetFaults(const std::string& body) {
    const auto faults = PatchFaults(this->list.Faults(), body);
    if (!faults)
      return ErrorReply(faults.error());
    this->list.SetFaults(faults.value());
    return JsonReply(200, json::object());
  }

  static Result<MembershipFaults> PatchFaults(MembershipFaults faults,
                                              const std::string& body) {
    BOOST_OUTCOME_TRY(object, ParseObject(body));
    std::int64_t lag_ms = Millis(faults.lag);
    JsonFields fields(object);
    fields.Bool("down", faults.down);
    fields.Integer("lag_ms", lag_ms, Presence::kOptional, 0, kMaxLagMs);
    BOOST_OUTCOME_TRY(fields.Finish());
    faults.lag = std::chrono::milliseconds(lag_ms);
    return faults;
  }

  ShellLoop& loop;
  MembershipList list;
};

int Main(int argc, char** argv) {
  boost::program_options::options_description options("stand_in_membership");
  AddPortOption(options);
  const int default_lag_ms = static_cast<int>(Millis(MembershipFaults{}.lag));
  options.add_options()(
      "lag-ms", BoundedOption(default_lag_ms, 0, static_cast<int>(kMaxLagMs)),
      "age of the list in ms");
  const CommandLine line = ParseCommandLine(argc, argv, options);
  if (line.exit_code)
    return *line.exit_code;
  const auto loop = ShellLoop::Create();
  if (!loop)
    return ReportFailure(loop.error());
  const std::chrono::milliseconds lag(line.values.at("lag-ms").as<int>());
  MembershipShell shell(*loop.value(), lag);
  return Serve(*loop.value(), {.port = PortOf(line), .max_body = kMaxBody},
               [&shell](HttpServer& server, const HttpRequest& request) {
                 server.Reply(request.id, shell.Handle(request));
               });
}

}  // namespace
}  // namespace peridot::stand_ins

int main(int argc, char** argv) {
  return peridot::stand_ins::Main(argc, argv);
}
