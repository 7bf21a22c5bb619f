// Simulates a fleet of daemons, endpoints and one store under a seeded schedule
// of faults. Every start is checked at the endpoint that accepts it. Not
// thread-safe.
//
// Index:
//   [SECTION] Options and counters
//   [SECTION] SettingsFleet
//   [SECTION] Random schedule
//
// Settings texts are "LEASE_MS ZONES_OUT", where ZONES_OUT is a bit mask. The
// naive implementation polls, uses the last value without a lease and reports a
// change in force one second, i.e. two polls, after the answer to its commit.

#ifndef TESTS_SUPPORT_SETTINGS_FLEET_H_
#define TESTS_SUPPORT_SETTINGS_FLEET_H_

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "src/coordination/settings_lease.h"
#include "tests/support/event_schedule.h"
#include "tests/support/fake_table.h"

namespace peridot::testing {

//-----------------------------------------------------------------------------
// [SECTION] Options and counters
//-----------------------------------------------------------------------------

struct FleetOptions {
  int daemons = 5;
  int zones = 3;
  bool naive = false;
  bool start_other_zones_later =
      false;                 // only zone 0 starts before BootOtherZones()
  bool change_lease = true;  // operators also change settings_lease_ms
  int count_zone = -1;       // zone of attempts and served; -1: all zones
  SettingsLeaseOptions lease;
  NetworkOptions network;
  Duration start_period = std::chrono::milliseconds(100);
  Duration tick_period = std::chrono::milliseconds(50);
};

struct FleetCounts {
  std::int64_t starts = 0;            // accepted by an endpoint
  std::int64_t attempts = 0;          // tried by a running daemon
  std::int64_t served = 0;            // attempts that an endpoint accepted
  std::int64_t forbidden_starts = 0;  // forbidden by a change in force
  std::int64_t stale_starts = 0;      // with a revision below one in force
  std::int64_t late_starts = 0;       // more than a lease after the next commit
  std::int64_t fenced_starts = 0;     // by a session whose fence is in force
  std::int64_t rollbacks =
      0;  // adoptions of no higher revision, store rollbacks
  std::int64_t false_outcomes = 0;  // writes whose outcome was misreported
  std::int64_t committed = 0;       // settings changes
  std::int64_t in_force = 0;        // settings changes reported in force
  Duration in_force_max{};          // from the operator's request to the report

  void Add(const FleetCounts& other) {
    this->starts += other.starts;
    this->attempts += other.attempts;
    this->served += other.served;
    this->forbidden_starts += other.forbidden_starts;
    this->stale_starts += other.stale_starts;
    this->late_starts += other.late_starts;
    this->fenced_starts += other.fenced_starts;
    this->rollbacks += other.rollbacks;
    this->false_outcomes += other.false_outcomes;
    this->committed += other.committed;
    this->in_force += other.in_force;
    this->in_force_max = std::max(this->in_force_max, other.in_force_max);
  }
  std::int64_t Violations() const {
    return this->forbidden_starts + this->stale_starts + this->late_starts +
           this->fenced_starts + this->rollbacks + this->false_outcomes;
  }
};

//-----------------------------------------------------------------------------
// [SECTION] SettingsFleet
//-----------------------------------------------------------------------------

class SettingsFleet {
 public:
  using Node = EventSchedule::Node;

  SettingsFleet(std::uint64_t seed, FleetOptions options)
      : options(std::move(options)),
        schedule(seed, this->options.network),
        daemons(static_cast<std::size_t>(this->options.daemons)) {
    this->Put(SettingsKey(), "1500 0");
    this->commits.push_back({});  // revision 0 does not exist
    this->commits.push_back({0, std::chrono::milliseconds(1500), Instant{}});
    for (int zone = 0; zone < this->options.zones; ++zone) {
      this->endpoint_rates.push_back(this->RandomRate());
    }
    for (Node node = 0; node < this->options.daemons; ++node) {
      this->At(node).rate = this->RandomRate();
      if (!this->options.start_other_zones_later || this->ZoneOf(node) == 0) {
        this->Boot(node, std::chrono::milliseconds(node));
      }
    }
  }

  EventSchedule& Schedule() { return this->schedule; }
  const FleetCounts& Counts() const { return this->counts; }
  void RunFor(Duration length) {
    this->schedule.RunUntil(this->schedule.Now() + length);
  }
  // Compares the reported outcomes of writes with the table. Call it once, at
  // the end of the schedule.
  void Finish() {
    for (const auto& [operation, committed] : this->outcomes) {
      const bool took_effect = this->table.applied.count(operation) > 0;
      this->counts.false_outcomes += took_effect != committed ? 1 : 0;
    }
  }

  void BootOtherZones() {
    for (Node node = 0; node < this->options.daemons; ++node) {
      if (this->ZoneOf(node) != 0) {
        this->Boot(node, this->RandomMs(0, 500));
      }
    }
  }

  // Cuts the daemons of the zone off from the store or from the daemons and
  // endpoints of other zones.
  void CutZone(int zone, bool from_store, bool from_others) {
    this->ForEachLink(zone, from_store, from_others,
                      [&](Node a, Node b) { this->schedule.CutLink(a, b); });
  }
  void Heal() {
    for (int zone = 0; zone < this->options.zones; ++zone) {
      this->ForEachLink(zone, true, true, [&](Node a, Node b) {
        this->schedule.RestoreLink(a, b);
      });
    }
  }
  void CrashFor(Node node, Duration down) {
    this->At(node).lease.reset();
    this->schedule.Crash(node);
    this->Boot(node, down);
  }
  bool store_down = false;
  bool store_slow = false;
  bool store_loses_writes = false;  // drops requests, not answers
  bool store_loses_answers = false;

  // An operator at this daemon changes the settings: toggles a zone and in some
  // cases sets another lease time.
  void Change(Node node) {
    Daemon& daemon = this->At(node);
    if (!daemon.lease) {
      return;
    }
    const std::int64_t zone = this->schedule.Random(0, this->options.zones - 1);
    const int lease_ms = this->options.change_lease && this->schedule.Chance(20)
                             ? kLeases[this->schedule.Random(0, 2)]
                             : daemon.lease_ms;
    ControlWrite write;
    write.operation_id = this->NextOperation(node);
    write.base = daemon.lease->KnownRevision();
    write.text = std::to_string(lease_ms) + " " +
                 std::to_string(daemon.zones_out ^ (1 << zone));
    this->requested[write.operation_id] = this->schedule.Now();
    this->BeginControlWrite(node, std::move(write));
  }
  // An operator at this daemon writes settings with all zones in.
  void KeepZoneIn(Node node) {
    Daemon& daemon = this->At(node);
    if (!daemon.lease) {
      return;
    }
    ControlWrite write;
    write.operation_id = this->NextOperation(node);
    write.base = daemon.lease->KnownRevision();
    write.text = std::to_string(daemon.lease_ms) + " 0 " + write.operation_id;
    this->requested[write.operation_id] = this->schedule.Now();
    this->BeginControlWrite(node, std::move(write));
  }
  // The daemon fences the target's session, as it does before a takeover.
  void Fence(Node node, Node target) {
    Daemon& daemon = this->At(node);
    if (!daemon.lease || node == target) {
      return;
    }
    const std::optional<SessionId> session = this->ListedSession(node, target);
    if (session) {
      this->EndSession(node, *session, ControlWriteKind::kRegistry);
    }
  }
  void Leave(Node node) {
    Daemon& daemon = this->At(node);
    if (daemon.lease) {
      daemon.lease->OnLeave();
      this->EndSession(node, daemon.lease->Session(), ControlWriteKind::kGone);
    }
  }

  // Injects a random fault or a random action of an operator.
  void InjectRandomFault() {
    const Node node =
        static_cast<Node>(this->schedule.Random(0, this->options.daemons - 1));
    const Node other =
        static_cast<Node>(this->schedule.Random(0, this->options.daemons - 1));
    const int zone =
        static_cast<int>(this->schedule.Random(0, this->options.zones - 1));
    switch (this->schedule.Random(0, 17)) {
      case 0:
        return this->schedule.Pause(node, this->RandomMs(50, 5000));
      case 1:
        return this->CrashFor(node, this->RandomMs(10, 3000));
      case 2:
        return this->CutZone(zone, true, true);
      case 3:
        return this->CutZone(zone, true, false);
      case 4:
        return this->CutZone(zone, false, true);
      case 5:
        this->store_down = !this->store_down;
        return;
      case 6:
        this->store_slow = !this->store_slow;
        return;
      case 7:
        this->store_loses_answers = !this->store_loses_answers;
        return;
      case 8:
        return this->Fence(node, other);
      case 9:
        return this->schedule.Chance(30) ? this->Leave(node) : this->Heal();
      case 10:  // concurrent changes by two operators
        this->Change(node);
        return this->Change(other);
      case 11:
        this->Heal();
        this->store_down = false;
        this->store_slow = false;
        return;
      default:
        return this->Change(node);
    }
  }
  void InjectFaultsFor(Duration length) {
    const Instant end = this->schedule.Now() + length;
    while (this->schedule.Now() < end) {
      this->RunFor(this->RandomMs(20, 800));
      this->InjectRandomFault();
    }
  }

 private:
  struct Heartbeat {
    Instant reading{};   // on the endpoint's clock
    Instant received{};  // on the daemon's clock
  };
  struct Daemon {
    double rate = 1;
    std::uint64_t boot = 0;
    std::optional<SettingsLease> lease;
    std::string text;
    int lease_ms = 1500;
    int zones_out = 0;
    Revision adopted;
    std::map<int, Heartbeat> heartbeats;
  };
  struct Commit {
    int zones_out = 0;
    Duration lease{};
    Instant at{};
  };
  struct Start {
    SessionId session;
    Revision revision;
    int zone = 0;
    Instant not_after{};
    bool is_counted = true;
  };

  static constexpr int kLeases[] = {500, 1500, 3000};

  Daemon& At(Node node) {
    return this->daemons[static_cast<std::size_t>(node)];
  }
  Node EndpointNode(int zone) const { return this->options.daemons + zone; }
  Node StoreNode() const { return this->options.daemons + this->options.zones; }
  int ZoneOf(Node node) const { return node % this->options.zones; }
  static DaemonId NameOf(Node node) {
    return DaemonId(std::string("d").append(std::to_string(node)));
  }
  static Node NodeOf(const DaemonId& id) {
    return std::stoi(id.value.substr(1));
  }
  Duration RandomMs(int low, int high) {
    return std::chrono::milliseconds(this->schedule.Random(low, high));
  }
  // Returns a clock rate. Any two differ by at most kMaxClockDriftPercent.
  double RandomRate() {
    return 1.0 + static_cast<double>(this->schedule.Random(-49, 49)) / 10000.0;
  }
  Instant Clock(double rate) const {
    const auto elapsed = this->schedule.Now().time_since_epoch();
    return Instant{} + std::chrono::hours(1) +
           Duration(static_cast<std::int64_t>(
               static_cast<double>(elapsed.count()) * rate));
  }
  Instant Local(Node node) { return this->Clock(this->At(node).rate); }
  std::string NextOperation(Node node) {
    return "op-" + std::to_string(node) + "-" +
           std::to_string(++this->operations);
  }
  void Put(const std::string& key, const std::string& value) {
    this->table.Transact({"initial-" + key, {}, {{key, value}}, {}});
  }

  template <typename F>
  void ForEachLink(int zone, bool store, bool others, F apply) {
    for (Node node = zone; node < this->options.daemons;
         node += this->options.zones) {
      if (store) {
        apply(node, this->StoreNode());
      }
      for (Node other = 0; others && other < this->StoreNode(); ++other) {
        const int other_zone = other < this->options.daemons
                                   ? this->ZoneOf(other)
                                   : other - this->options.daemons;
        if (other_zone != zone) {
          apply(node, other);
        }
      }
    }
  }

  // Like EventSchedule::Send(), but a message in transit is delivered to the
  // new process of a node that restarts meanwhile.
  template <typename F>
  void Deliver(Node from, Node to, F action) {
    // The schedule copies its events, so the action is shared, not copied.
    auto shared = std::make_shared<F>(std::move(action));
    this->schedule.Send(from, EventSchedule::kNoNode, [=, this] {
      if (!this->schedule.IsLinkCut(from, to)) {
        this->schedule.After(Duration(0), to, [shared] { (*shared)(); });
      }
    });
  }
  template <typename Apply, typename Reply>
  void CallStore(Node node, Apply apply_value, Reply reply_value) {
    const auto apply = std::make_shared<Apply>(std::move(apply_value));
    const auto reply = std::make_shared<Reply>(std::move(reply_value));
    this->Deliver(node, this->StoreNode(), [=, this] {
      if (this->store_down) {
        return;
      }
      // A request that the store has received takes effect even if an outage
      // starts afterwards.
      this->schedule.After(
          this->StoreDelay(), EventSchedule::kNoNode, [=, this] {
            const auto result =
                std::make_shared<const decltype((*apply)())>((*apply)());
            if (this->store_loses_answers && this->schedule.Chance(50)) {
              return;
            }
            this->schedule.After(this->StoreDelay(), EventSchedule::kNoNode,
                                 [=, this] {
                                   this->Deliver(this->StoreNode(), node,
                                                 [=] { (*reply)(*result); });
                                 });
          });
    });
  }
  Duration StoreDelay() {
    return this->store_slow ? this->RandomMs(0, 2000) : Duration(0);
  }

  // Row formats: the registry row is e.g. "d0:1;d1:4;" (daemon:incarnation), a
  // session row is "INCARNATION FENCED".
  static std::string EncodeRegistry(const std::vector<SessionId>& active) {
    std::string text;
    for (const SessionId& session : active) {
      text += session.daemon.value + ":" +
              std::to_string(session.incarnation.value) + ";";
    }
    return text;
  }
  RegistryView ReadRegistry() const {
    const TableRow row = this->table.Read(RegistryKey());
    RegistryView view{RegistryVersion(row.version.value), {}};
    std::istringstream in(row.value);
    for (std::string entry; std::getline(in, entry, ';');) {
      const std::size_t colon = entry.find(':');
      view.active.push_back(
          {DaemonId(entry.substr(0, colon)),
           Incarnation(std::stoull(entry.substr(colon + 1)))});
    }
    return view;
  }
  StoreRead ReadAll(const DaemonId& daemon, std::uint64_t read_id) const {
    const TableRow settings = this->table.Read(SettingsKey());
    const TableRow session = this->table.Read(SessionKey(daemon));
    StoreRead read;
    read.read_id = read_id;
    read.revision = Revision(settings.version.value);
    read.text = settings.value;
    read.registry = this->ReadRegistry();
    std::istringstream in(session.value);
    in >> read.incarnation.value >> read.fenced;
    read.session_version = session.version;
    read.last_operation = this->table.Read(OperationKey(daemon)).value;
    return read;
  }
  CommitAnswer Transact(const TableTransaction& transaction) {
    CommitAnswer answer = this->table.Transact(transaction);
    const TableRow row = this->table.Read(SettingsKey());
    if (row.version.value >= this->commits.size()) {
      Commit commit;
      int lease_ms = 0;
      std::istringstream(row.value) >> lease_ms >> commit.zones_out;
      commit.lease = std::chrono::milliseconds(lease_ms);
      commit.at = this->schedule.Now();
      this->commits.push_back(commit);
      ++this->counts.committed;
    }
    return answer;
  }

  // Start of a daemon process and registration of its session.
  void Boot(Node node, Duration delay) {
    Daemon& daemon = this->At(node);
    const double rate = daemon.rate;
    const std::uint64_t boot = daemon.boot + 1;
    daemon = Daemon();
    daemon.rate = rate;
    daemon.boot = boot;
    this->schedule.After(delay, node,
                         [=, this] { this->Register(node, boot); });
  }
  bool IsRegistering(Node node, std::uint64_t boot) {
    return this->At(node).boot == boot && !this->At(node).lease;
  }
  void Register(Node node, std::uint64_t boot) {
    if (!this->IsRegistering(node, boot)) {
      return;
    }
    this->CallStore(
        node, [=, this] { return this->ReadAll(NameOf(node), 0); },
        [=, this](const StoreRead& read) {
          this->CommitRegistration(node, boot, read);
        });
    this->schedule.After(std::chrono::seconds(1), node,
                         [=, this] { this->Register(node, boot); });
  }
  void CommitRegistration(Node node,
                          std::uint64_t boot,
                          const StoreRead& read) {
    if (!this->IsRegistering(node, boot)) {
      return;
    }
    const SessionId session{NameOf(node),
                            Incarnation(read.incarnation.value + 1)};
    std::vector<SessionId> active = read.registry.active;
    const bool first = active.empty();
    std::erase_if(active, [&](const SessionId& other) {
      return other.daemon == session.daemon;
    });
    active.push_back(session);
    TableTransaction transaction;
    transaction.operation_id = this->NextOperation(node);
    transaction.checks = {
        {RegistryKey(), RowVersion(read.registry.version.value)},
        {SessionKey(session.daemon), read.session_version}};
    transaction.puts = {{RegistryKey(), EncodeRegistry(active)},
                        {SessionKey(session.daemon),
                         std::to_string(session.incarnation.value) + " 0"}};
    const RegistryVersion version(read.registry.version.value + 1);
    this->CallStore(
        node, [=, this] { return this->Transact(transaction); },
        [=, this](const CommitAnswer& answer) {
          if (answer.outcome != CommitOutcome::kCommitted ||
              !this->IsRegistering(node, boot)) {
            return;
          }
          this->At(node).lease.emplace(
              Registration{session, version, this->Local(node), first},
              this->options.lease);
          this->Tick(node, boot);
          this->SendHeartbeats(node, boot);
          this->TryStart(node, boot);
        });
  }
  bool IsRunning(Node node, std::uint64_t boot) {
    return this->At(node).boot == boot && this->At(node).lease.has_value();
  }
  void Tick(Node node, std::uint64_t boot) {
    if (!this->IsRunning(node, boot)) {
      return;
    }
    this->ExecuteActions(node, this->At(node).lease->OnTick(this->Local(node)));
    if (!this->IsRunning(node, boot)) {
      return;
    }
    const SettingsLease& lease = *this->At(node).lease;
    if (!this->options.naive &&
        lease.IsInForce(lease.KnownRevision(), this->Local(node))) {
      this->max_in_force = std::max(this->max_in_force, lease.KnownRevision());
    }
    this->schedule.After(this->options.tick_period, node,
                         [=, this] { this->Tick(node, boot); });
  }

  // Sends heartbeats, from which the daemon gets the endpoints' clock readings.
  void SendHeartbeats(Node node, std::uint64_t boot) {
    if (!this->IsRunning(node, boot)) {
      return;
    }
    for (int zone = 0; zone < this->options.zones; ++zone) {
      this->Deliver(node, this->EndpointNode(zone), [=, this] {
        const Instant reading = this->EndpointClock(zone);
        this->Deliver(this->EndpointNode(zone), node, [=, this] {
          Heartbeat& last = this->At(node).heartbeats[zone];
          if (reading > last.reading) {
            last = {reading, this->Local(node)};
          }
        });
      });
    }
    this->schedule.After(std::chrono::milliseconds(500), node,
                         [=, this] { this->SendHeartbeats(node, boot); });
  }
  Instant EndpointClock(int zone) const {
    return this->Clock(this->endpoint_rates[static_cast<std::size_t>(zone)]);
  }
  // Tries to start a task. The check and the send are separate events, so that
  // a pause can fall between them.
  void TryStart(Node node, std::uint64_t boot) {
    if (!this->IsRunning(node, boot)) {
      return;
    }
    this->schedule.After(this->options.start_period, node,
                         [=, this] { this->TryStart(node, boot); });
    const int zone = this->schedule.Chance(80)
                         ? this->ZoneOf(node)
                         : static_cast<int>(this->schedule.Random(
                               0, this->options.zones - 1));
    Daemon& daemon = this->At(node);
    const int counted = this->options.count_zone;
    const bool is_counted = counted < 0 || this->ZoneOf(node) == counted;
    this->counts.attempts += is_counted ? 1 : 0;
    const auto beat = daemon.heartbeats.find(zone);
    if (beat == daemon.heartbeats.end() ||
        ((daemon.zones_out >> zone) & 1) != 0) {
      return;
    }
    Start start{daemon.lease->Session(), daemon.adopted, zone, Instant::max(),
                is_counted};
    if (!this->options.naive) {
      if (!daemon.lease->MayAct(this->Local(node))) {
        return;
      }
      const Duration left =
          *daemon.lease->ProofExpiry() - beat->second.received;
      start.not_after = beat->second.reading + ShortenForDrift(left);
    } else if (daemon.adopted.value == 0) {
      return;
    }
    this->schedule.After(this->RandomMs(0, 2), node, [=, this] {
      this->Deliver(node, this->EndpointNode(zone),
                    [=, this] { this->Accept(start); });
    });
  }
  void Accept(const Start& start) {
    if (this->EndpointClock(start.zone) > start.not_after) {
      return;
    }
    ++this->counts.starts;
    this->counts.served += start.is_counted ? 1 : 0;
    const Instant now = this->schedule.Now();
    bool forbidden = false;
    for (std::uint64_t later = start.revision.value + 1;
         later <= this->max_in_force.value; ++later) {
      forbidden |= ((this->commits[later].zones_out >> start.zone) & 1) != 0;
    }
    const std::uint64_t next = start.revision.value + 1;
    const bool late =
        next < this->commits.size() &&
        now > this->commits[next].at + this->commits[next - 1].lease;
    this->counts.forbidden_starts += forbidden ? 1 : 0;
    this->counts.stale_starts += start.revision < this->max_in_force ? 1 : 0;
    this->counts.late_starts += late ? 1 : 0;
    this->counts.fenced_starts +=
        static_cast<std::int64_t>(this->fenced.count(start.session));
  }

  // Execution of the module's actions.
  void ExecuteActions(Node node, const SettingsActions& actions) {
    for (const SettingsAction& action : actions) {
      if (!this->At(node).lease) {
        return;
      }
      std::visit([&](const auto& a) { this->Execute(node, a); }, action);
    }
  }
  template <typename F>
  void ApplyInput(Node node, F input) {
    Daemon& daemon = this->At(node);
    if (daemon.lease) {
      this->ExecuteActions(node, input(*daemon.lease, this->Local(node)));
    }
  }
  void Execute(Node node, const SendRead& action) {
    this->CallStore(
        node, [=, this] { return this->ReadAll(NameOf(node), action.read_id); },
        [=, this](const StoreRead& read) {
          this->ApplyInput(node, [&](SettingsLease& lease, Instant now) {
            return lease.OnRead(read, now);
          });
        });
  }
  void Execute(Node node, const SendWrite& action) {
    if (this->store_loses_writes) {
      return;
    }
    const TableTransaction transaction = action.transaction;
    this->CallStore(
        node, [=, this] { return this->Transact(transaction); },
        [=, this](const CommitAnswer& answer) {
          this->ApplyInput(node, [&](SettingsLease& lease, Instant now) {
            return lease.OnWriteAnswer(transaction.operation_id, answer, now);
          });
        });
  }
  void Execute(Node node, const SendProbe& action) {
    const SessionId self = this->At(node).lease->Session();
    const Node peer = NodeOf(action.peer.daemon);
    this->Deliver(node, peer, [=, this] {
      if (!this->At(peer).lease) {
        return;
      }
      const SettingsLease& lease = *this->At(peer).lease;
      const SessionId from = lease.Session();
      const FreshnessReply reply =
          lease.MakeProbeReply(self, action.probe_id, this->Local(peer));
      this->Deliver(peer, node, [=, this] {
        this->ApplyInput(node, [&](SettingsLease& own, Instant now) {
          return own.OnProbeReply(from, reply, now);
        });
      });
    });
  }
  void Execute(Node node, const FetchDocument& action) {
    const Node peer = NodeOf(action.peer.daemon);
    this->Deliver(node, peer, [=, this] {
      const Daemon& other = this->At(peer);
      if (!other.lease || !other.lease->CanServeDocument()) {
        return;
      }
      const PeerDocument document{other.lease->AdoptedRevision(), other.text,
                                  other.lease->Registry()};
      this->Deliver(peer, node, [=, this] {
        this->ApplyInput(node, [&](SettingsLease& lease, Instant now) {
          return lease.OnPeerDocument(document, now);
        });
      });
    });
  }
  void Execute(Node node, const AdoptSettings& action) {
    Daemon& daemon = this->At(node);
    this->counts.rollbacks += action.revision <= daemon.adopted ? 1 : 0;
    daemon.text = action.text;
    daemon.adopted = action.revision;
    std::istringstream(action.text) >> daemon.lease_ms >> daemon.zones_out;
    daemon.lease->OnAdopted(action.revision,
                            std::chrono::milliseconds(daemon.lease_ms));
  }
  void Execute(Node node, const WriteChanged& action) {
    // Any report except committed means that the write had no effect: it was in
    // conflict or not sent.
    if (action.state != WriteState::kInForce) {
      this->outcomes[action.operation_id] =
          action.state == WriteState::kCommitted;
    }
    if (this->options.naive && action.state == WriteState::kCommitted) {
      this->schedule.After(std::chrono::seconds(1), node,
                           [=, this] { this->ReportInForce(action); });
    }
    if (!this->options.naive && action.state == WriteState::kInForce) {
      this->ReportInForce(action);
    }
  }
  void Execute(Node, const ReportStoreRollback&) { ++this->counts.rollbacks; }
  void Execute(Node node, const StopSession&) {
    this->schedule.Crash(node);
    this->At(node).lease.reset();
    this->Boot(node, std::chrono::milliseconds(100));
  }
  void ReportInForce(const WriteChanged& change) {
    const auto target = this->fence_targets.find(change.operation_id);
    if (target != this->fence_targets.end()) {
      this->fenced.insert(target->second);
    }
    if (change.revision.value == 0) {
      return;
    }
    this->max_in_force = std::max(this->max_in_force, change.revision);
    ++this->counts.in_force;
    this->counts.in_force_max =
        std::max(this->counts.in_force_max,
                 this->schedule.Now() - this->requested[change.operation_id]);
  }

  // Control writes: fences and the end of a session.
  std::optional<SessionId> ListedSession(Node node, Node target) {
    for (const SessionId& s : this->At(node).lease->Registry().active) {
      if (s.daemon == NameOf(target)) {
        return s;
      }
    }
    return std::nullopt;
  }
  void EndSession(Node node, const SessionId& session, ControlWriteKind kind) {
    const RegistryView& view = this->At(node).lease->Registry();
    std::vector<SessionId> active = view.active;
    std::erase(active, session);
    ControlWrite write;
    write.kind = kind;
    write.operation_id = this->NextOperation(node);
    write.registry_change.checks = {
        {RegistryKey(), RowVersion(view.version.value)}};
    write.registry_change.puts = {
        {RegistryKey(), EncodeRegistry(active)},
        {SessionKey(session.daemon),
         std::to_string(session.incarnation.value) + " 1"}};
    if (kind == ControlWriteKind::kRegistry) {
      this->fence_targets[write.operation_id] = session;
    }
    this->BeginControlWrite(node, std::move(write));
  }
  void BeginControlWrite(Node node, ControlWrite write) {
    Result<SettingsActions> started =
        this->At(node).lease->BeginWrite(std::move(write), this->Local(node));
    if (started.has_value()) {
      this->ExecuteActions(node, started.value());
    }
  }

  FleetOptions options;
  EventSchedule schedule;
  FakeTable table;
  std::vector<Daemon> daemons;
  std::vector<double> endpoint_rates;
  std::vector<Commit> commits;  // index: revision
  Revision max_in_force;
  std::set<SessionId> fenced;  // sessions whose fence is in force
  std::map<std::string, SessionId> fence_targets;
  std::map<std::string, Instant> requested;
  std::map<std::string, bool> outcomes;  // true: reported as committed
  std::uint64_t operations = 0;
  FleetCounts counts;
};

//-----------------------------------------------------------------------------
// [SECTION] Random schedule
//-----------------------------------------------------------------------------

// Runs about 20 s of faults. Every fourth schedule starts only zone 0, which is
// then cut off while the rest of the fleet registers.
inline FleetCounts RunSettingsSchedule(std::uint64_t seed, bool naive) {
  FleetOptions options;
  options.naive = naive;
  options.start_other_zones_later = seed % 4 == 0;
  // Short enough that the extension expires within the schedule.
  options.lease.max_extension_without_store = std::chrono::seconds(6);
  options.network.loss_percent = 2;
  options.network.duplicate_percent = 2;
  SettingsFleet fleet(seed, options);
  fleet.RunFor(std::chrono::seconds(1));
  if (options.start_other_zones_later) {
    fleet.CutZone(0, true, true);
    fleet.BootOtherZones();
    fleet.RunFor(std::chrono::seconds(1));
  }
  fleet.InjectFaultsFor(std::chrono::seconds(20));
  fleet.Finish();
  return fleet.Counts();
}

}  // namespace peridot::testing

#endif  // TESTS_SUPPORT_SETTINGS_FLEET_H_
