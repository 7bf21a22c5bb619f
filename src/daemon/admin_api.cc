#include "src/daemon/admin_api.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "src/protocol/settings_yaml.h"
#include "src/protocol/task_http.h"

namespace peridot {
namespace {

using nlohmann::json;

// Longer than the longest settings lease plus clock drift, so that the usual
// answer is "in force".
constexpr Duration kChangeLimit = std::chrono::seconds(10);
constexpr Duration kLimitCheckInterval = std::chrono::milliseconds(20);

HttpResponse JsonAnswer(const json& body) {
  return {200, {{"Content-Type", "application/json"}}, body.dump()};
}

HttpResponse BadRequest(const std::string& detail) {
  return FormatProblem(MakeProblem(RefusalCode::kBadRequest, detail));
}

// Adds both revisions to the problem: the one on which the refused change is
// based and the one that was written first.
HttpResponse RevisionConflict(Revision expected, Revision actual) {
  HttpResponse answer = FormatProblem(MakeProblem(
      RefusalCode::kRevisionConflict,
      "the settings were changed since the revision that was expected"));
  json body = json::parse(answer.body, nullptr, false);
  body["expected"] = expected.value;
  body["actual"] = actual.value;
  answer.body = body.dump();
  return answer;
}

// Returns the path without its prefix of the given length.
std::string PathSuffix(const std::string& path, std::size_t prefix) {
  return path.size() > prefix ? path.substr(prefix) : std::string();
}

std::optional<std::uint64_t> ParseRevision(const HttpHeaders& headers) {
  const auto text = FindHeader(headers, "If-Match");
  if (!text || text->empty() || text->size() > 19 ||
      text->find_first_not_of("0123456789") != std::string_view::npos) {
    return std::nullopt;
  }
  return std::stoull(std::string(*text));
}

std::optional<std::string> JsonText(const std::string& body, const char* name) {
  const json object = json::parse(body, nullptr, false);
  if (!object.is_object() || !object.contains(name) ||
      !object[name].is_string()) {
    return std::nullopt;
  }
  return object[name].get<std::string>();
}

}  // namespace

AdminApi::AdminApi(EventLoop* loop,
                   HttpServer* server,
                   SettingsTask* settings,
                   const PermitTask* permits,
                   const DispatchTask* dispatch,
                   const DaemonConfig* config)
    : loop(loop),
      settings(settings),
      permits(permits),
      dispatch(dispatch),
      config(config) {
  const auto route = [&](HttpMethod method, const std::string& path,
                         Handler handler) {
    this->Route(server, method, "/v1/admin/" + path, std::move(handler));
  };
  route(HttpMethod::kGet, "settings",
        [this](const auto&, const auto& to) { this->GetSettings(to); });
  route(HttpMethod::kPut, "settings",
        [this](const auto& request, const auto& to) {
          this->PutSettings(request, to);
        });
  route(HttpMethod::kPost, "keys", [this](const auto& request, const auto& to) {
    this->GrantKey(request, to);
  });
  route(HttpMethod::kDelete, "keys/",
        [this](const auto& request, const auto& to) {
          this->WithdrawKey(request, to);
        });
  route(HttpMethod::kPut, "zones/",
        [this](const auto& request, const auto& to) {
          this->PutZone(request, to);
        });
  route(HttpMethod::kGet, "status",
        [this](const auto&, const auto& to) { this->GetStatus(to); });
  route(HttpMethod::kGet, "hosts",
        [this](const auto&, const auto& to) { this->GetHosts(to); });
  route(HttpMethod::kGet, "pools",
        [this](const auto&, const auto& to) { this->GetPools(to); });
}

void AdminApi::Route(HttpServer* server,
                     HttpMethod method,
                     std::string path,
                     Handler handler) {
  server->Route(
      method, std::move(path),
      [this, handler = std::move(handler)](const HttpServerRequest& request,
                                           const HttpResponder& responder) {
        if (!this->IsOperator(request)) {
          return responder.Send(
              FormatProblem(MakeProblem(RefusalCode::kKeyUnknown,
                                        "an operators' key is "
                                        "required")));
        }
        handler(request, responder);
      });
}

bool AdminApi::IsOperator(const HttpServerRequest& request) const {
  const auto key = ParseBearerKey(request.headers);
  if (!key || !key.value()) {
    return false;
  }
  const KeyDigest digest = DigestKeyText(*key.value());
  if (digest == this->config->admin_key_digest) {
    return true;
  }
  const SettingsTree* tree = this->settings->Tree();
  const TeamKey* granted = tree == nullptr ? nullptr : tree->FindKey(digest);
  return granted != nullptr && granted->IsAdmin() &&
         this->settings->TeamOfKey(granted->id) != nullptr;
}

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

void AdminApi::GetSettings(const HttpResponder& responder) {
  const SettingsTree* tree = this->settings->Tree();
  const Revision revision =
      tree == nullptr ? Revision() : tree->CurrentRevision();
  responder.Send({200,
                  {{"Content-Type", "application/yaml"},
                   {"Peridot-Revision", std::to_string(revision.value)}},
                  FormatSettings(tree == nullptr ? SettingsDocument()
                                                 : tree->Document())});
}

void AdminApi::PutSettings(const HttpServerRequest& request,
                           const HttpResponder& responder) {
  const auto revision = ParseRevision(request.headers);
  if (!revision) {
    return responder.Send(
        BadRequest("expected a header If-Match with a revision"));
  }
  const Revision base(*revision);
  const auto tree = ParseSettings(request.body, "settings", base);
  if (!tree) {
    return responder.Send(BadRequest(tree.error().message));
  }
  std::vector<TeamId> teams;
  for (const TeamSettings& team : tree.value().Teams()) {
    // A team that never had a task has no permit row, so no daemon holds a
    // permit of it.
    const bool has_row = this->permits->IsLimitInForce(team.id, Revision());
    if (has_row || team.limit.value < this->LimitOf(team.id)) {
      teams.push_back(team.id);
    }
  }
  const Instant until = this->loop->Now() + kChangeLimit;
  this->settings->ChangeSettings(
      tree.value().Document(), base, kChangeLimit,
      [this, teams, base, until, responder](const ChangeAnswer& answer) {
        this->AwaitLimits(teams, answer, base, until, responder);
      });
}

std::int64_t AdminApi::LimitOf(const TeamId& team) const {
  const SettingsTree* tree = this->settings->Tree();
  const TeamSettings* found =
      tree == nullptr ? nullptr : tree->FindTeam(team.value);
  return found == nullptr ? 0 : found->limit.value;
}

// The settings are in force when every proof of an older revision has expired.
// Permits above a lowered limit can stay in use for longer, because they are
// returned through the table.
void AdminApi::AwaitLimits(const std::vector<TeamId>& teams,
                           const ChangeAnswer& answer,
                           Revision base,
                           Instant until,
                           const HttpResponder& responder) {
  const bool limits_in_force =
      std::all_of(teams.begin(), teams.end(), [&](const TeamId& team) {
        return this->permits->IsLimitInForce(team, answer.revision);
      });
  if (answer.result != ChangeResult::kInForce || limits_in_force) {
    return this->AnswerChange(answer, base, responder);
  }
  if (this->loop->Now() >= until) {
    ChangeAnswer committed = answer;
    committed.result = ChangeResult::kCommitted;
    return this->AnswerChange(committed, base, responder);
  }
  this->loop->After(kLimitCheckInterval, [=, this] {
    this->AwaitLimits(teams, answer, base, until, responder);
  });
}

void AdminApi::ChangeSettings(const Edit& edit,
                              std::function<void(const ChangeAnswer&)> done,
                              const HttpResponder& responder) {
  const SettingsTree* tree = this->settings->Tree();
  SettingsDocument document =
      tree == nullptr ? SettingsDocument() : tree->Document();
  const Revision base = tree == nullptr ? Revision() : tree->CurrentRevision();
  const auto edited = edit(&document);
  if (!edited) {
    return responder.Send(BadRequest(edited.error().message));
  }
  const auto checked = SettingsTree::Create(document, base);
  if (!checked) {
    return responder.Send(BadRequest(checked.error().message));
  }
  this->settings->ChangeSettings(
      document, base, kChangeLimit,
      [this, base, done = std::move(done),
       responder](const ChangeAnswer& answer) {
        const bool accepted = answer.result == ChangeResult::kInForce ||
                              answer.result == ChangeResult::kCommitted;
        if (accepted && done) {
          return done(answer);
        }
        this->AnswerChange(answer, base, responder);
      });
}

void AdminApi::AnswerChange(const ChangeAnswer& answer,
                            Revision base,
                            const HttpResponder& responder) {
  switch (answer.result) {
    case ChangeResult::kInForce:
    case ChangeResult::kCommitted:
      return responder.Send(
          JsonAnswer({{"revision", answer.revision.value},
                      {"in_force", answer.result == ChangeResult::kInForce}}));
    case ChangeResult::kConflict:
      return responder.Send(RevisionConflict(base, answer.revision));
    case ChangeResult::kUnavailable:
      return responder.Send(FormatProblem(
          MakeProblem(RefusalCode::kStoreUnavailable, answer.message)));
    case ChangeResult::kUnknown:
      return responder.Send(FormatProblem(
          MakeProblem(RefusalCode::kOutcomeUnknown,
                      "the table did not answer whether it took the change")));
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Keys and zones
//-----------------------------------------------------------------------------

void AdminApi::GrantKey(const HttpServerRequest& request,
                        const HttpResponder& responder) {
  const auto team = JsonText(request.body, "team");
  const auto secret = KeySecret::Generate();
  if (!team || !secret) {
    return responder.Send(BadRequest("expected an object with \"team\""));
  }
  const KeyDigest digest = secret.value().Digest();
  const TeamKey key{MakeKeyId(digest), TeamId(*team), digest};
  this->ChangeSettings(
      [key](SettingsDocument* document) -> Result<void> {
        document->keys.push_back(key);
        return boost::outcome_v2::success();
      },
      [key, secret = secret.value(), responder](const ChangeAnswer& answer) {
        responder.Send(JsonAnswer(
            {{"id", key.id.value},
             {"key", secret.RevealText()},
             {"revision", answer.revision.value},
             {"in_force", answer.result == ChangeResult::kInForce}}));
      },
      responder);
}

void AdminApi::WithdrawKey(const HttpServerRequest& request,
                           const HttpResponder& responder) {
  const KeyId id(
      PathSuffix(request.path, std::string("/v1/admin/keys/").size()));
  if (this->settings->TeamOfKey(id) == nullptr) {
    return responder.Send(BadRequest("there is no key with this id"));
  }
  this->settings->Restrict(RestrictionKind::kWithdrawKey, id.value, 0);
  this->ChangeSettings(
      [id](SettingsDocument* document) -> Result<void> {
        std::erase_if(document->keys,
                      [&](const TeamKey& key) { return key.id == id; });
        return boost::outcome_v2::success();
      },
      {}, responder);
}

void AdminApi::PutZone(const HttpServerRequest& request,
                       const HttpResponder& responder) {
  const ZoneId zone(
      PathSuffix(request.path, std::string("/v1/admin/zones/").size()));
  const bool out = request.body == "out";
  if (!out && request.body != "in") {
    return responder.Send(BadRequest("expected the body \"in\" or \"out\""));
  }
  const SettingsTree* tree = this->settings->Tree();
  if (tree == nullptr || !tree->Document().zones.contains(zone)) {
    return responder.Send(BadRequest("there is no zone of this name"));
  }
  if (out) {
    this->settings->Restrict(RestrictionKind::kZoneOut, zone.value, 0);
  }
  this->ChangeSettings(
      [zone, out](SettingsDocument* document) -> Result<void> {
        document->zones[zone] = out ? ZoneState::kOut : ZoneState::kIn;
        return boost::outcome_v2::success();
      },
      {}, responder);
}

//-----------------------------------------------------------------------------
// [SECTION] Status
//-----------------------------------------------------------------------------

void AdminApi::GetStatus(const HttpResponder& responder) {
  const SettingsTree* tree = this->settings->Tree();
  const Instant now = this->loop->Now();
  const Duration left = this->settings->ProofExpiry() - now;
  json teams = json::array();
  json daemons = json::array();
  if (tree != nullptr) {
    for (const TeamSettings& team : tree->Teams()) {
      teams.push_back({{"team", team.id.value},
                       {"limit", team.limit.value},
                       {"permits_held", this->permits->Held(team.id).value},
                       {"in_use", this->permits->InUse(team.id).value}});
    }
  }
  for (const RegisteredDaemon& entry :
       this->settings->KnownRegistry().daemons) {
    daemons.push_back({{"daemon", entry.session.daemon.value},
                       {"incarnation", entry.session.incarnation.value},
                       {"zone", entry.zone.value}});
  }
  responder.Send(JsonAnswer(
      {{"daemon", this->settings->Session().daemon.value},
       {"incarnation", this->settings->Session().incarnation.value},
       {"zone", this->config->zone.value},
       {"revision", tree == nullptr ? 0 : tree->CurrentRevision().value},
       {"may_act", left > Duration::zero()},
       {"open_tasks", this->dispatch->OpenTasks()},
       {"open_attempts", this->dispatch->OpenAttempts()},
       {"owned_endpoints", this->dispatch->OwnedEndpoints()},
       {"teams", std::move(teams)},
       {"daemons", std::move(daemons)}}));
}

void AdminApi::GetHosts(const HttpResponder& responder) {
  json hosts = json::array();
  for (const DispatchTask::HostStatus& host : this->dispatch->Hosts()) {
    json entry = {{"host", host.listed.host.value},
                  {"endpoint", host.listed.endpoint.value},
                  {"pool", host.listed.pool.value},
                  {"zone", host.listed.zone.value},
                  {"rack", host.listed.rack.value},
                  {"leaving", host.leaving},
                  {"owned", host.owned}};
    if (host.slots > SlotCount()) {
      entry["slots"] = host.slots.value;
    }
    hosts.push_back(std::move(entry));
  }
  responder.Send(JsonAnswer(hosts));
}

void AdminApi::GetPools(const HttpResponder& responder) {
  std::map<PoolId, std::int64_t> hosts;
  for (const DispatchTask::HostStatus& host : this->dispatch->Hosts()) {
    ++hosts[host.listed.pool];
  }
  json pools = json::array();
  if (const SettingsTree* tree = this->settings->Tree()) {
    for (const PoolSettings& pool : tree->Pools()) {
      pools.push_back({{"pool", pool.id.value},
                       {"hosts", hosts[pool.id]},
                       {"max_unavailable", pool.max_unavailable.value}});
    }
  }
  responder.Send(JsonAnswer(pools));
}

}  // namespace peridot
