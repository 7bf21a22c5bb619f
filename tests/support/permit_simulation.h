// Simulates daemons with a permit ledger each, endpoints and the store in
// virtual time. Compares the number of tasks that run at the endpoints with the
// limit of the team. Not thread-safe.
//
// Index:
//   [SECTION] Options and results
//   [SECTION] PermitSimulation
//   [SECTION] Daemon
//   [SECTION] Endpoint and store
//   [SECTION] Faults
//   [SECTION] NaiveLedger
//
// The simulated daemon proves by its own reads and by peers that its settings
// are fresh, fences sessions by a failure detector, holds owner leases at
// endpoints and sends each start with a latest time, not_after. Each node's
// clock has its own rate; two rates differ by at most 0.9%.
//
// Limitation: the extension of freshness proofs while the store is down for all
// daemons is not modelled, so in a long store outage the daemons stop starting
// tasks.

#ifndef TESTS_SUPPORT_PERMIT_SIMULATION_H_
#define TESTS_SUPPORT_PERMIT_SIMULATION_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/coordination/permit_ledger.h"
#include "tests/support/event_schedule.h"
#include "tests/support/virtual_table.h"

namespace peridot::testing {

//-----------------------------------------------------------------------------
// [SECTION] Options and results
//-----------------------------------------------------------------------------

struct PermitSimulationOptions {
  std::uint64_t seed = 1;
  int daemons = 4;
  std::int64_t limit = 8;
  bool faults = true;
  Duration length = std::chrono::seconds(12);  // virtual time with faults
  int slow_percent = 3;  // of messages, which are delayed by up to 3 s
  Duration min_run_time = std::chrono::milliseconds(10);
  Duration max_run_time = std::chrono::milliseconds(900);
};

struct PermitSimulationResult {
  std::int64_t starts = 0;    // tasks that ran
  std::int64_t overruns = 0;  // checks at which more ran than allowed
  std::int64_t in_force = 0;  // reports of a limit in force
  std::int64_t adopted = 0;   // attempts that kept running under a new owner
  std::int64_t fenced_sessions = 0;  // sessions fenced
  std::int64_t writes = 0;           // table writes of the ledgers
  std::int64_t messages = 0;         // messages of the ledgers
  std::int64_t usable_at_end = 0;    // permits of running daemons at the end
  std::int64_t limit_at_end = 0;     // limit after the last change
  std::string first_overrun;
};

inline DaemonId DaemonName(int d) {
  std::string name = std::to_string(d);
  return DaemonId(name.insert(0, 1, 'd'));
}

//-----------------------------------------------------------------------------
// [SECTION] PermitSimulation
//-----------------------------------------------------------------------------

template <typename Ledger>
class PermitSimulation {
 public:
  using ms = std::chrono::milliseconds;

  explicit PermitSimulation(const PermitSimulationOptions& options)
      : options(options), schedule(options.seed) {
    this->daemons.resize(Size(options.daemons));
    this->endpoints.resize(Size(options.daemons));
    for (int node = 0; node < 2 * options.daemons + 1; ++node) {
      this->rates.push_back(
          1.0 + static_cast<double>(this->schedule.Random(-4500, 4500)) / 1e6);
    }
    this->sessions.resize(Size(options.daemons));
    this->schedule.RunUntil(Instant{} + std::chrono::seconds(1));
    this->SetLimit(options.limit);
    for (int d = 0; d < options.daemons; ++d) {
      this->Boot(d);
    }
  }

  // Runs the schedule with faults, then 10 s without faults and with demand at
  // daemon 0 only, in which all permits must become usable again.
  PermitSimulationResult Run() {
    if (this->options.faults) {
      this->NextFault();
    }
    for (int d = 0; d < this->options.daemons; ++d) {
      this->ChangeDemand(d);
    }
    this->schedule.RunUntil(this->schedule.Now() + this->options.length);
    this->fault_free_tail = true;
    this->Heal();
    for (Daemon& daemon : this->daemons) {
      daemon.backlog = 0;
    }
    this->daemons[0].backlog = 1'000'000;
    // Failure detection, expiry of leases and counting of permits take 6 s at
    // most.
    this->RunFor(std::chrono::seconds(10));
    for (const Daemon& daemon : this->daemons) {
      this->result.usable_at_end +=
          daemon.ledger ? daemon.ledger->Held().value : 0;
    }
    this->result.limit_at_end = this->settings.limit.value;
    this->result.writes = this->table.Writes();
    return this->result;
  }

  void RunFor(Duration length) {
    this->schedule.RunUntil(this->schedule.Now() + length);
  }
  void SetDemand(int d, std::int64_t backlog) {
    this->daemons[Size(d)].backlog = backlog;
  }
  PermitCount HeldBy(int d) const {
    const Daemon& daemon = this->daemons[Size(d)];
    return daemon.ledger ? daemon.ledger->Held() : PermitCount(0);
  }
  PermitSimulationResult& Result() { return this->result; }
  Instant Now() const { return this->schedule.Now(); }
  TableRow RowNow() const { return this->table.Read("permits/counts"); }

  void SetLimit(std::int64_t limit) {
    this->settings.limit = PermitCount(limit);
    this->settings.revision = Revision(this->settings.revision.value + 1);
    this->limits.push_back(this->settings.limit);
    this->max_running = std::max(this->max_running, limit);
  }

  void Kill(int d, Duration down) {
    this->schedule.Crash(d);
    this->daemons[Size(d)] = Daemon{};
    this->schedule.After(down, EventSchedule::kNoNode,
                         [this, d] { this->Boot(d); });
  }
  // Cuts the daemon from every other daemon, its endpoint and the store.
  void Isolate(int d) {
    for (int other = 0; other <= 2 * this->options.daemons; ++other) {
      if (other != d) {
        this->schedule.CutLink(d, other);
      }
    }
  }

 private:
  struct Settings {
    Revision revision;
    PermitCount limit;
  };
  // The data that a freshness proof covers.
  struct View {
    Settings settings;
    std::set<SessionId> fenced;
  };
  struct Attempt {
    int endpoint = 0;
  };
  struct LeaseView {
    Instant read_at{};     // receipt of the reply, on the daemon's clock
    Instant clock{};       // endpoint's clock in the reply
    Instant held_until{};  // on the daemon's clock
  };
  struct Daemon {
    SessionId session;
    std::unique_ptr<Ledger> ledger;  // null: down or joining
    View view;
    Instant proof{};  // settings were fresh then; own clock
    std::int64_t backlog = 0;
    std::map<int, LeaseView> leases;
    std::map<std::int64_t, Attempt> attempts;
    std::map<int, Instant> last_heard_at;
    std::set<SessionId> adopting;
  };
  struct Running {
    Instant ends{};  // virtual time, without clock drift
  };
  struct Endpoint {
    SessionId holder;
    Instant lease_until{};  // on the endpoint's clock
    std::map<std::int64_t, Running> running;
    std::set<std::int64_t> closed;  // ended, or fenced before a start
  };
  struct SessionRow {
    std::uint64_t incarnation = 0;
    std::uint64_t version = 0;
  };

  static constexpr Duration kSettingsLease = ms(1500);
  static constexpr Duration kOwnerLease = ms(2000);

  static std::size_t Size(int index) { return static_cast<std::size_t>(index); }
  int StoreNode() const { return this->options.daemons; }
  int EndpointNode(int e) const { return this->options.daemons + 1 + e; }

  Instant Local(int node) const {
    const auto real = this->schedule.Now().time_since_epoch();
    return Instant{} +
           Duration(static_cast<std::int64_t>(
               static_cast<double>(real.count()) * this->rates[Size(node)]));
  }

  // Sends a message. A message in transit is still delivered after a crash of
  // its sender or a restart of its receiver.
  void Post(int from, int to, EventSchedule::Action deliver) {
    const bool faulty = this->options.faults && !this->fault_free_tail;
    if (this->schedule.IsLinkCut(from, to) ||
        (faulty && this->schedule.Chance(5))) {
      return;
    }
    const int copies = faulty && this->schedule.Chance(5) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      const bool slow =
          faulty && this->schedule.Chance(this->options.slow_percent);
      const Duration delay = std::chrono::microseconds(
          this->schedule.Random(300, slow ? 3'000'000 : 3'000));
      this->schedule.After(delay, EventSchedule::kNoNode, [=, this] {
        if (this->IsUp(to)) {
          this->schedule.After(Duration::zero(), to, deliver);
        }
      });
    }
  }

  bool IsUp(int node) const {
    return node >= this->options.daemons ||
           this->daemons[Size(node)].ledger != nullptr;
  }

  // Sends a request to a node. Only the session that sent the request receives
  // the answer.
  template <typename Work, typename Done>
  void SendRequest(int d, int node, Work work, Done done) {
    const SessionId session = this->daemons[Size(d)].session;
    this->Post(d, node, [=, this] {
      if (node == this->StoreNode() && this->store_down) {
        return;
      }
      auto answer = work();
      this->Post(node, d, [=, this] {
        if (this->daemons[Size(d)].session == session) {
          done(answer);
        }
      });
    });
  }

  //---------------------------------------------------------------------------
  // [SECTION] Daemon
  //---------------------------------------------------------------------------

  // Starts the daemon with a new incarnation, which fences the former one.
  void Boot(int d) {
    SessionRow& row = this->sessions[Size(d)];
    if (row.incarnation > 0) {
      this->FenceInStore(d, row.incarnation);
    }
    ++row.incarnation;
    ++row.version;
    Daemon& daemon = this->daemons[Size(d)];
    daemon = Daemon{};
    daemon.session = this->Session(d, row.incarnation);
    PermitLedgerConfig config;
    config.team = TeamId("counts");
    config.self = daemon.session;
    daemon.ledger = this->MakeLedger(config);
    daemon.view = this->StoreView();
    daemon.proof = this->Local(d);
    for (int other = 0; other < this->options.daemons; ++other) {
      daemon.last_heard_at[other] = this->Local(d);
    }
    this->ApplyView(d);
    this->Tick(d);
    this->RenewLeases(d);
    this->Probe(d);
  }

  std::unique_ptr<Ledger> MakeLedger(const PermitLedgerConfig& config) {
    if constexpr (requires { Ledger(config, 1); }) {
      return std::make_unique<Ledger>(config, this->options.daemons);
    } else {
      return std::make_unique<Ledger>(config);
    }
  }

  static SessionId Session(int d, std::uint64_t incarnation) {
    return {DaemonName(d), Incarnation(incarnation)};
  }
  static int IndexOf(const SessionId& session) {
    return std::stoi(session.daemon.value.substr(1));
  }

  bool IsFresh(int d) const { return this->Local(d) < this->FreshUntil(d); }
  Instant FreshUntil(int d) const {
    return this->daemons[Size(d)].proof + ShortenForDrift(kSettingsLease);
  }

  void ApplyView(int d) {
    Daemon& daemon = this->daemons[Size(d)];
    const Instant now = this->Local(d);
    if (daemon.view.fenced.count(daemon.session) > 0) {
      this->Kill(d, ms(50));
      return;
    }
    for (const SessionId& session : daemon.view.fenced) {
      this->ExecuteAll(d, daemon.ledger->OnSessionFenced(session, now));
      this->Adopt(d, session);
    }
    this->ExecuteAll(
        d, daemon.ledger->OnLimit(daemon.view.settings.limit,
                                  daemon.view.settings.revision, now));
  }

  void UpdateView(int d, const View& view, Instant proof) {
    Daemon& daemon = this->daemons[Size(d)];
    if (proof > daemon.proof) {
      daemon.proof = proof;
      daemon.view = view;
      this->ApplyView(d);
    }
  }

  void Tick(int d) {
    Daemon& daemon = this->daemons[Size(d)];
    this->ExecuteAll(d, daemon.ledger->OnTick(this->Local(d)));
    this->ExecuteAll(d, daemon.ledger->OnDemand(PermitCount(daemon.backlog),
                                                this->Local(d)));
    this->StartTasks(d);
    this->schedule.After(kPermitTick, d, [this, d] { this->Tick(d); });
  }

  // The check and the send are separate events, so that a pause can fall
  // between them.
  void StartTasks(int d) {
    Daemon& daemon = this->daemons[Size(d)];
    const auto lease = daemon.leases.find(d);
    while (daemon.backlog > 0 && this->IsFresh(d) &&
           lease != daemon.leases.end() &&
           this->Local(d) < lease->second.held_until &&
           daemon.ledger->TryAcquire()) {
      --daemon.backlog;
      const std::int64_t id = this->next_attempt++;
      daemon.attempts[id] = {d};
      const Instant not_after = this->NotAfter(d, lease->second);
      const Duration run =
          Duration(this->schedule.Random(this->options.min_run_time.count(),
                                         this->options.max_run_time.count()));
      this->schedule.After(Duration::zero(), d, [=, this] {
        this->SendStart(d, id, not_after, run);
      });
    }
  }

  Instant NotAfter(int d, const LeaseView& lease) const {
    return lease.clock + ShortenForDrift(this->FreshUntil(d) - lease.read_at);
  }

  void SendStart(int d, std::int64_t id, Instant not_after, Duration run) {
    const SessionId session = this->daemons[Size(d)].session;
    this->Post(d, this->EndpointNode(d), [=, this] {
      if (!this->StartAt(d, id, session, not_after, run)) {
        this->SendAnswer(d, d, session, id);
        return;
      }
      this->schedule.After(run, EventSchedule::kNoNode, [=, this] {
        this->StopExpired();
        this->SendAnswer(d, d, session, id);
      });
    });
    this->schedule.After(run + ms(300), d, [=, this] { this->Resolve(d, id); });
  }

  void SendAnswer(int d, int e, const SessionId& session, std::int64_t id) {
    this->Post(this->EndpointNode(e), d, [=, this] {
      if (this->daemons[Size(d)].session == session) {
        this->OnAttemptEnded(d, id);
      }
    });
  }

  void OnAttemptEnded(int d, std::int64_t id) {
    Daemon& daemon = this->daemons[Size(d)];
    if (daemon.attempts.erase(id) > 0) {
      daemon.ledger->Release();
      this->StartTasks(d);
    }
  }

  // Fences the attempt at its endpoint every 200 ms until it is known to have
  // ended.
  void Resolve(int d, std::int64_t id) {
    const auto attempt = this->daemons[Size(d)].attempts.find(id);
    if (attempt == this->daemons[Size(d)].attempts.end()) {
      return;
    }
    const int e = attempt->second.endpoint;
    this->SendRequest(
        d, this->EndpointNode(e), [=, this] { return this->FenceAt(e, id); },
        [=, this](bool ended) {
          if (ended) {
            this->OnAttemptEnded(d, id);
          }
        });
    this->schedule.After(ms(200), d, [=, this] { this->Resolve(d, id); });
  }

  // Renews the owner leases every 400 ms; each renewal contains not_after.
  void RenewLeases(int d) {
    Daemon& daemon = this->daemons[Size(d)];
    std::set<int> endpoints_to_renew{d};
    for (const auto& [e, lease] : daemon.leases) {
      endpoints_to_renew.insert(e);
    }
    if (this->IsFresh(d)) {
      for (const int e : endpoints_to_renew) {
        this->Renew(d, e);
      }
    }
    this->schedule.After(ms(400), d, [this, d] { this->RenewLeases(d); });
  }

  void Renew(int d, int e) {
    Daemon& daemon = this->daemons[Size(d)];
    const SessionId session = daemon.session;
    const Instant sent = this->Local(d);
    const auto known = daemon.leases.find(e);
    const std::optional<Instant> not_after =
        known == daemon.leases.end()
            ? std::nullopt
            : std::optional(this->NotAfter(d, known->second));
    this->SendRequest(
        d, this->EndpointNode(e),
        [=, this] { return this->LeaseAt(e, session, not_after); },
        [=, this](std::optional<Instant> clock) {
          Daemon& self = this->daemons[Size(d)];
          if (!clock) {
            self.leases.erase(e);
            return;
          }
          self.leases[e] = {this->Local(d), *clock,
                            sent + ShortenForDrift(kOwnerLease)};
        });
  }

  // Reads the store, requests a freshness proof from each peer and suspects the
  // peers that have stopped responding; every 400 ms.
  void Probe(int d) {
    const Instant sent = this->Local(d);
    this->SendRequest(
        d, this->StoreNode(), [this] { return this->StoreView(); },
        [=, this](const View& view) { this->UpdateView(d, view, sent); });
    for (int peer = 0; peer < this->options.daemons; ++peer) {
      if (peer != d) {
        this->ProbePeer(d, peer, sent);
        this->Suspect(d, peer);
      }
    }
    this->schedule.After(ms(400), d, [this, d] { this->Probe(d); });
  }

  void ProbePeer(int d, int peer, Instant sent) {
    struct Reply {
      View view;
      std::optional<Duration> age;
    };
    this->SendRequest(
        d, peer,
        [=, this] {
          Reply reply;
          if (this->daemons[Size(peer)].ledger && this->IsFresh(peer)) {
            const Daemon& other = this->daemons[Size(peer)];
            reply.view = other.view;
            reply.age = this->Local(peer) - other.proof;
          }
          return reply;
        },
        [=, this](const Reply& reply) {
          this->daemons[Size(d)].last_heard_at[peer] = this->Local(d);
          if (reply.age) {
            this->UpdateView(d, reply.view,
                             sent - LengthenForDrift(*reply.age));
          }
        });
  }

  void Suspect(int d, int peer) {
    if (this->Local(d) - this->daemons[Size(d)].last_heard_at[peer] <
        ms(1500)) {
      return;
    }
    const std::uint64_t incarnation = this->sessions[Size(peer)].incarnation;
    this->SendRequest(
        d, this->StoreNode(),
        [=, this] {
          this->FenceInStore(peer, incarnation);
          return this->StoreView();
        },
        [](const View&) {});
  }

  // In 60% of the cases, takes over the running attempts of a fenced session
  // and the lease of their endpoint. The ledger must account for these
  // attempts.
  void Adopt(int d, const SessionId& fenced) {
    Daemon& daemon = this->daemons[Size(d)];
    const int e = IndexOf(fenced);
    if (!daemon.adopting.insert(fenced).second || !this->schedule.Chance(60)) {
      return;
    }
    const Duration delay = ms(this->schedule.Random(0, 800));
    this->schedule.After(delay, d, [=, this] {
      this->SendRequest(
          d, this->EndpointNode(e),
          [=, this] { return this->RunningAt(e, fenced); },
          [=, this](const std::vector<std::int64_t>& running) {
            this->AdoptRunning(d, e, fenced, running);
          });
    });
  }

  void AdoptRunning(int d,
                    int e,
                    const SessionId& fenced,
                    std::vector<std::int64_t> running) {
    Daemon& daemon = this->daemons[Size(d)];
    if (!this->IsFresh(d) || daemon.leases.count(e) > 0) {
      return;
    }
    const PermitCount accepted = daemon.ledger->AdoptRunning(
        fenced, PermitCount(static_cast<std::int64_t>(running.size())));
    running.resize(static_cast<std::size_t>(accepted.value));
    for (const std::int64_t id : running) {
      daemon.attempts[id] = {e};
      this->schedule.After(ms(200), d, [=, this] { this->Resolve(d, id); });
    }
    const SessionId session = daemon.session;
    // The daemon has no clock reading of this endpoint. The simulation instead
    // bounds the takeover by the virtual time at which the proof ends, which is
    // equally strict.
    const Duration left = ShortenForDrift(this->FreshUntil(d) - this->Local(d));
    const Instant until = this->schedule.Now() + ShortenForDrift(left);
    this->Post(d, this->EndpointNode(e), [=, this] {
      if (this->schedule.Now() <= until) {
        this->TakeOverAt(e, fenced, session, running);
      }
    });
    daemon.leases[e] = {};
  }

  void ExecuteAll(int d, const PermitActions& actions) {
    for (const PermitAction& action : actions) {
      std::visit([&](const auto& item) { this->Execute(d, item); }, action);
    }
  }

  void Execute(int d, const ReadPermitRow& read) {
    this->SendRequest(
        d, this->StoreNode(), [=, this] { return this->table.Read(read.key); },
        [=, this](const TableRow& row) {
          this->ExecuteAll(
              d, this->daemons[Size(d)].ledger->OnRowRead(row, this->Local(d)));
        });
  }

  void Execute(int d, const TransactPermits& write) {
    const std::string id = write.transaction.operation_id;
    const SessionId session = this->daemons[Size(d)].session;
    const auto answer = [=, this](const CommitAnswer& commit) {
      if (this->daemons[Size(d)].session == session) {
        this->ExecuteAll(d, this->daemons[Size(d)].ledger->OnTransactAnswer(
                                id, commit, this->Local(d)));
      }
    };
    this->SendRequest(
        d, this->StoreNode(),
        [=, this] { return this->table.Transact(write.transaction); }, answer);
    this->schedule.After(ms(300), d, [=] { answer(CommitAnswer{}); });
  }

  void Execute(int d, const SendPermitMessage& send) {
    ++this->result.messages;
    const int to = IndexOf(HeaderOf(send.message).to);
    this->Post(d, to, [=, this] {
      Daemon& daemon = this->daemons[Size(to)];
      if (daemon.ledger) {
        this->ExecuteAll(
            to, daemon.ledger->OnMessage(send.message, this->Local(to)));
      }
    });
  }

  void Execute(int d, const StopExcess& stop) {
    std::int64_t left = stop.count.value;
    for (const auto& [id, attempt] : this->daemons[Size(d)].attempts) {
      if (left-- <= 0) {
        break;
      }
      const int e = attempt.endpoint;
      this->Post(d, this->EndpointNode(e), [=, this, id = id] {
        this->endpoints[Size(e)].running.erase(id);
        this->endpoints[Size(e)].closed.insert(id);
      });
    }
  }

  // A limit in force bounds the running tasks by the highest limit set by this
  // or a later revision.
  void Execute(int, const LimitInForce& event) {
    ++this->result.in_force;
    std::int64_t highest = 0;
    for (std::size_t i = event.revision.value - 1; i < this->limits.size();
         ++i) {
      highest = std::max(highest, this->limits[i].value);
    }
    this->max_running = std::min(this->max_running, highest);
    this->Check("in force");
  }

  //---------------------------------------------------------------------------
  // [SECTION] Endpoint and store
  //---------------------------------------------------------------------------

  // Ends the runs whose run time has passed, and stops all runs of an endpoint
  // whose owner lease has expired.
  void StopExpired() {
    for (int e = 0; e < this->options.daemons; ++e) {
      Endpoint& endpoint = this->endpoints[Size(e)];
      const bool lapsed =
          this->Local(this->EndpointNode(e)) > endpoint.lease_until;
      std::erase_if(endpoint.running, [&](const auto& item) {
        const bool ended = lapsed || item.second.ends <= this->schedule.Now();
        if (ended) {
          endpoint.closed.insert(item.first);
        }
        return ended;
      });
    }
  }

  void Check(const char* when) {
    this->StopExpired();
    std::int64_t running = 0;
    for (const Endpoint& endpoint : this->endpoints) {
      running += static_cast<std::int64_t>(endpoint.running.size());
    }
    if (running <= this->max_running) {
      return;
    }
    ++this->result.overruns;
    if (this->result.first_overrun.empty()) {
      this->result.first_overrun =
          std::string(when) + " at_ms=" +
          std::to_string(this->schedule.Now().time_since_epoch() / ms(1)) +
          " running=" + std::to_string(running) +
          " limit=" + std::to_string(this->max_running);
    }
  }

  bool StartAt(int e,
               std::int64_t id,
               const SessionId& session,
               Instant not_after,
               Duration run) {
    this->StopExpired();
    Endpoint& endpoint = this->endpoints[Size(e)];
    const Instant now = this->Local(this->EndpointNode(e));
    const bool allowed = endpoint.holder == session &&
                         now <= endpoint.lease_until && now <= not_after &&
                         endpoint.closed.count(id) == 0 &&
                         endpoint.running.count(id) == 0;
    if (!allowed) {
      if (endpoint.running.count(id) == 0) {
        endpoint.closed.insert(id);
        return false;
      }
      return true;
    }
    endpoint.running[id] = {this->schedule.Now() + run};
    ++this->result.starts;
    this->Check("start");
    return true;
  }

  bool FenceAt(int e, std::int64_t id) {
    this->StopExpired();
    Endpoint& endpoint = this->endpoints[Size(e)];
    if (endpoint.running.count(id) > 0) {
      return false;
    }
    endpoint.closed.insert(id);
    return true;
  }

  // Acquires or renews the endpoint's lease. Returns the endpoint's clock, or
  // nothing if the request is refused: another session holds the lease, the
  // request arrived after not_after, or it has no not_after although attempts
  // of the session run.
  std::optional<Instant> LeaseAt(int e,
                                 const SessionId& session,
                                 std::optional<Instant> not_after) {
    this->StopExpired();
    Endpoint& endpoint = this->endpoints[Size(e)];
    const Instant now = this->Local(this->EndpointNode(e));
    const bool late = not_after && now > *not_after;
    const bool taken =
        endpoint.holder != session && now <= endpoint.lease_until;
    // A request without not_after starts a new lease. It is refused while the
    // session's attempts run: it may arrive late and would keep them
    // running after the session's authority has ended.
    const bool extends =
        !not_after && endpoint.holder == session && !endpoint.running.empty();
    if (late || taken || extends) {
      return std::nullopt;
    }
    if (endpoint.holder != session) {
      endpoint.running.clear();
    }
    endpoint.holder = session;
    endpoint.lease_until = std::max(endpoint.lease_until, now + kOwnerLease);
    return now;
  }

  std::vector<std::int64_t> RunningAt(int e, const SessionId& session) {
    this->StopExpired();
    std::vector<std::int64_t> found;
    if (this->endpoints[Size(e)].holder == session) {
      for (const auto& [id, running] : this->endpoints[Size(e)].running) {
        found.push_back(id);
      }
    }
    return found;
  }

  void TakeOverAt(int e,
                  const SessionId& from,
                  const SessionId& to,
                  const std::vector<std::int64_t>& keep) {
    this->StopExpired();
    Endpoint& endpoint = this->endpoints[Size(e)];
    const Instant now = this->Local(this->EndpointNode(e));
    if (endpoint.holder != from || now > endpoint.lease_until) {
      return;
    }
    std::erase_if(endpoint.running, [&](const auto& item) {
      const bool kept =
          std::find(keep.begin(), keep.end(), item.first) != keep.end();
      if (!kept) {
        endpoint.closed.insert(item.first);
      }
      return !kept;
    });
    this->result.adopted += static_cast<std::int64_t>(endpoint.running.size());
    endpoint.holder = to;
    endpoint.lease_until = now + kOwnerLease;
  }

  View StoreView() const { return {this->settings, this->fenced}; }

  void FenceInStore(int d, std::uint64_t incarnation) {
    const SessionId session = Session(d, incarnation);
    if (incarnation == this->sessions[Size(d)].incarnation &&
        this->fenced.insert(session).second) {
      ++this->sessions[Size(d)].version;
      ++this->result.fenced_sessions;
    }
  }

  //---------------------------------------------------------------------------
  // [SECTION] Faults
  //---------------------------------------------------------------------------

  void ChangeDemand(int d) {
    if (this->fault_free_tail) {
      return;
    }
    const bool busy = this->schedule.Chance(50);
    this->daemons[Size(d)].backlog =
        busy ? this->schedule.Random(1, 3 * this->options.limit) : 0;
    this->schedule.After(ms(this->schedule.Random(100, 2000)),
                         EventSchedule::kNoNode,
                         [this, d] { this->ChangeDemand(d); });
  }

  void NextFault() {
    if (this->fault_free_tail) {
      return;
    }
    this->InjectFault(static_cast<int>(this->schedule.Random(0, 7)));
    this->schedule.After(ms(this->schedule.Random(50, 2500)),
                         EventSchedule::kNoNode, [this] { this->NextFault(); });
  }

  void InjectFault(int kind) {
    const int nodes = 2 * this->options.daemons;
    const int d =
        static_cast<int>(this->schedule.Random(0, this->options.daemons - 1));
    const int other = static_cast<int>(this->schedule.Random(0, nodes));
    const Duration length = ms(this->schedule.Random(100, 6000));
    switch (kind) {
      case 0:
        this->Kill(d, length / 4);
        return;
      case 1:
        this->schedule.Pause(d, length);
        return;
      case 2:
        this->CutFor(d, other, length);
        return;
      case 3:
        this->Isolate(d);
        this->schedule.After(length, EventSchedule::kNoNode,
                             [this] { this->Heal(); });
        return;
      case 4:
        this->store_down = true;
        this->schedule.After(length / 2, EventSchedule::kNoNode,
                             [this] { this->store_down = false; });
        return;
      case 5:
        this->FenceInStore(d, this->sessions[Size(d)].incarnation);
        return;
      default:
        this->SetLimit(this->schedule.Random(0, 2 * this->options.limit));
        return;
    }
  }

  void CutFor(int a, int b, Duration length) {
    if (a == b) {
      return;
    }
    this->schedule.CutLink(a, b);
    this->schedule.After(length, EventSchedule::kNoNode,
                         [=, this] { this->schedule.RestoreLink(a, b); });
  }

  void Heal() {
    this->store_down = false;
    for (int a = 0; a <= 2 * this->options.daemons; ++a) {
      for (int b = 0; b < a; ++b) {
        this->schedule.RestoreLink(a, b);
      }
    }
  }

  PermitSimulationOptions options;
  EventSchedule schedule;
  VirtualTable table;
  std::vector<double> rates;
  std::vector<Daemon> daemons;
  std::vector<Endpoint> endpoints;
  std::vector<SessionRow> sessions;
  std::set<SessionId> fenced;
  Settings settings;
  std::vector<PermitCount> limits;  // index: revision - 1
  std::int64_t max_running = 0;
  std::int64_t next_attempt = 1;
  bool store_down = false;
  bool fault_free_tail = false;
  PermitSimulationResult result;
};

//-----------------------------------------------------------------------------
// [SECTION] NaiveLedger
//-----------------------------------------------------------------------------

// The naive implementation, for comparison: splits the limit evenly among the
// daemons that sent a message within the last second; no epochs, no fences and
// no table row.
class NaiveLedger {
 public:
  NaiveLedger(PermitLedgerConfig config, int daemons)
      : config(std::move(config)), daemons(daemons) {}

  bool TryAcquire() {
    const bool free = this->in_use < this->Held();
    this->in_use += PermitCount(free ? 1 : 0);
    return free;
  }
  void Release() { this->in_use -= PermitCount(1); }
  PermitCount AdoptRunning(const SessionId&, PermitCount count) {
    this->in_use += count;
    return count;
  }
  PermitActions OnDemand(PermitCount, Instant) { return {}; }
  PermitActions OnLimit(PermitCount limit, Revision revision, Instant) {
    if (revision <= this->revision) {
      return {};
    }
    this->limit = limit;
    this->revision = revision;
    PermitActions actions;
    actions.emplace_back(LimitInForce{revision, limit});
    return actions;
  }
  PermitActions OnRowRead(const TableRow&, Instant) { return {}; }
  PermitActions OnTransactAnswer(const std::string&,
                                 const CommitAnswer&,
                                 Instant) {
    return {};
  }
  PermitActions OnMessage(const PermitMessage& message, Instant now) {
    this->last_heard_at[HeaderOf(message).from.daemon] = now;
    return {};
  }
  PermitActions OnSessionFenced(const SessionId&, Instant) { return {}; }
  PermitActions OnTick(Instant now) {
    PermitActions actions;
    this->alive = 1;
    for (int d = 0; d < this->daemons; ++d) {
      const DaemonId peer = DaemonName(d);
      if (peer == this->config.self.daemon) {
        continue;
      }
      const Instant last = this->last_heard_at.emplace(peer, now).first->second;
      this->alive += now - last < std::chrono::seconds(1) ? 1 : 0;
      PermitDemand beat;
      beat.header.from = this->config.self;
      beat.header.to.daemon = peer;
      actions.emplace_back(SendPermitMessage{beat});
    }
    return actions;
  }
  PermitCount Held() const {
    return PermitCount(this->limit.value / this->alive);
  }
  PermitCount InUse() const { return this->in_use; }

 private:
  PermitLedgerConfig config;
  int daemons;
  int alive = 1'000'000;  // no permits before the first tick
  PermitCount limit;
  Revision revision;
  PermitCount in_use;
  std::map<DaemonId, Instant> last_heard_at;
};

}  // namespace peridot::testing

#endif  // TESTS_SUPPORT_PERMIT_SIMULATION_H_
