// Simulates a fleet of Membership modules that exchange encoded messages of
// peer.proto. Counts the bytes of the messages and measures the processor time
// of the modules and of encoding and decoding. Not thread-safe.

#ifndef TESTS_SUPPORT_MEMBERSHIP_FLEET_H_
#define TESTS_SUPPORT_MEMBERSHIP_FLEET_H_

#include <time.h>

#include <chrono>
#include <cstdio>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/coordination/membership.h"
#include "src/protocol/generated/peer.pb.h"
#include "tests/support/event_schedule.h"

namespace peridot::testing {

class MembershipFleet {
 public:
  MembershipFleet(std::uint64_t seed, int daemons, MembershipOptions options)
      : options(options),
        schedule(seed),
        nodes(static_cast<std::size_t>(daemons)) {
    for (int i = 0; i < daemons; ++i) {
      this->sessions.push_back({NameOf(i), Incarnation(1)});
    }
    this->registry = {RegistryVersion(1), this->sessions};
    for (int i = 0; i < daemons; ++i) {
      this->Start(i,
                  Duration(this->schedule.Random(0, options.period.count())));
    }
    this->RunFor(std::chrono::seconds(5));  // to join and exchange updates
    this->ResetCounters();
  }

  void RunFor(Duration length) {
    this->schedule.RunUntil(this->schedule.Now() + length);
  }
  void ResetCounters() {
    this->bytes = 0;
    this->cpu = Duration(0);
  }
  // Sums over all daemons since the last ResetCounters(): bytes sent and
  // received, and processor time.
  std::int64_t Bytes() const { return this->bytes; }
  Duration Cpu() const { return this->cpu; }

  // Daemon 1 starts to leave. Returns the time until no other daemon considers
  // it usable.
  Duration TimeToDetectLeaving() {
    this->At(1)->OnLeave();
    return this->TimeUntil([this] { return this->AllAgree(1, false); });
  }
  // Daemon 2 crashes. Returns the time until no other daemon considers it
  // usable: the first daemon to suspect it fences it, which takes 10 ms, and
  // the change spreads from there.
  Duration TimeToDetectCrash() {
    this->At(2).reset();
    this->schedule.Crash(2);
    return this->TimeUntil([this] { return this->AllAgree(2, false); });
  }
  // Daemon 2 starts again with its next incarnation. Returns the time until
  // every other daemon considers it usable.
  Duration TimeToDetectReturn() {
    const SessionId session{NameOf(2), Incarnation(2)};
    this->registry.version.value += 1;
    std::erase_if(this->registry.active, [&](const SessionId& s) {
      return s.daemon == session.daemon;
    });
    this->registry.active.push_back(session);
    this->sessions[2] = session;
    this->Start(2, Duration(0));
    return this->TimeUntil([this] { return this->AllAgree(2, true); });
  }
  // Restarts a random daemon, which changes the registry. Daemons 0 to 2 are
  // left out.
  void RestartRandomDaemon() {
    const int node = static_cast<int>(this->schedule.Random(
        3, static_cast<std::int64_t>(this->nodes.size()) - 1));
    SessionId& session = this->sessions[static_cast<std::size_t>(node)];
    session.incarnation.value += 1;
    this->schedule.Crash(node);
    this->registry.version.value += 1;
    for (SessionId& listed : this->registry.active) {
      listed = listed.daemon == session.daemon ? session : listed;
    }
    this->Start(node, Duration(0));
  }

 private:
  std::optional<Membership>& At(int node) {
    return this->nodes[static_cast<std::size_t>(node)];
  }
  static DaemonId NameOf(int node) {
    char name[32];
    std::snprintf(name, sizeof(name), "entry-host-%04d", node);
    return DaemonId(name);
  }
  static int NodeOf(const std::string& name) {
    return std::stoi(name.substr(sizeof("entry-host-") - 1));
  }

  // Calls `work` for a daemon and adds the processor time of the call.
  template <typename F>
  void MeasureCpu(F work) {
    const Duration before = ThreadCpu();
    work();
    this->cpu += ThreadCpu() - before;
  }
  static Duration ThreadCpu() {
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return std::chrono::seconds(now.tv_sec) + Duration(now.tv_nsec);
  }

  void Start(int node, Duration delay) {
    this->schedule.After(delay, node, [this, node] {
      const SessionId& self = this->sessions[static_cast<std::size_t>(node)];
      this->At(node).emplace(self, this->schedule.Random(0, 1 << 30),
                             this->options);
      this->At(node)->OnRegistry(this->registry);
      this->Tick(node);
    });
  }
  void Tick(int node) {
    MembershipActions actions;
    this->MeasureCpu(
        [&] { actions = this->At(node)->OnTick(this->schedule.Now()); });
    for (const MembershipAction& action : actions) {
      if (const auto* probe = std::get_if<ProbeMember>(&action)) {
        this->SendProbe(node, probe->peer);
      } else if (const auto* suspected =
                     std::get_if<MemberSuspected>(&action)) {
        this->Fence(node, suspected->session);
      }
    }
    this->schedule.After(this->options.period, node,
                         [this, node] { this->Tick(node); });
  }
  void Fence(int node, const SessionId& session) {
    this->schedule.After(std::chrono::milliseconds(10), node, [=, this] {
      if (std::erase(this->registry.active, session) > 0) {
        this->registry.version.value += 1;
      }
      this->At(node)->OnRegistry(this->registry);
    });
  }

  proto::Envelope NewEnvelope(int from, const DaemonId& to) {
    proto::Envelope envelope;
    envelope.set_protocol_version(1);
    const SessionId& self = this->sessions[static_cast<std::size_t>(from)];
    envelope.set_sender(self.daemon.value);
    envelope.set_incarnation(self.incarnation.value);
    envelope.set_receiver(to.value);
    envelope.set_sequence(++this->sequence);
    return envelope;
  }
  void SendProbe(int node, const SessionId& peer) {
    std::string wire;
    const std::uint64_t id = (1ULL << 32U) + this->sequence;
    this->MeasureCpu([&] {
      proto::Envelope envelope = this->NewEnvelope(node, peer.daemon);
      envelope.mutable_probe_request()->set_probe_id(id);
      wire = envelope.SerializeAsString();
    });
    this->SendMessage(node, NodeOf(peer.daemon.value), std::move(wire));
  }
  void SendMessage(int from, int to, std::string wire) {
    this->bytes += static_cast<std::int64_t>(wire.size());  // sent
    this->schedule.Send(from, to, [=, this] {
      if (!this->At(to)) {
        return;
      }
      this->bytes += static_cast<std::int64_t>(wire.size());  // received
      this->Receive(to, wire);
    });
  }
  void Receive(int node, const std::string& wire) {
    std::string answer;
    int to = 0;
    this->MeasureCpu([&] {
      proto::Envelope envelope;
      envelope.ParseFromString(wire);
      const SessionId from{DaemonId(envelope.sender()),
                           Incarnation(envelope.incarnation())};
      to = NodeOf(envelope.sender());
      std::vector<MemberUpdate> updates;
      for (const proto::MemberState& state : envelope.probe_reply().updates()) {
        updates.push_back(
            {{DaemonId(state.daemon()), Incarnation(state.incarnation())},
             static_cast<MemberPhase>(state.state())});
      }
      this->At(node)->OnMessage(from, updates);
      if (envelope.has_probe_request()) {
        answer = this->MakeReply(node, from.daemon,
                                 envelope.probe_request().probe_id());
      }
    });
    if (!answer.empty()) {
      this->SendMessage(node, to, std::move(answer));
    }
  }
  std::string MakeReply(int node, const DaemonId& to, std::uint64_t probe_id) {
    proto::Envelope envelope = this->NewEnvelope(node, to);
    proto::ProbeReply& reply = *envelope.mutable_probe_reply();
    reply.set_probe_id(probe_id);
    reply.set_revision(100000);
    reply.set_proof_age_us(250000);
    reply.set_has_proof(true);
    reply.set_registry_version(this->registry.version.value);
    reply.set_no_outstanding_write(true);
    for (const MemberUpdate& update : this->At(node)->TakeUpdates()) {
      proto::MemberState& state = *reply.add_updates();
      state.set_daemon(update.session.daemon.value);
      state.set_incarnation(update.session.incarnation.value);
      state.set_state(static_cast<std::uint32_t>(update.phase));
    }
    return envelope.SerializeAsString();
  }

  // Returns whether all other daemons agree that the node is usable, or that it
  // is not.
  bool AllAgree(int node, bool usable) {
    const SessionId& session = this->sessions[static_cast<std::size_t>(node)];
    for (std::size_t other = 0; other < this->nodes.size(); ++other) {
      if (static_cast<int>(other) == node || !this->nodes[other]) {
        continue;
      }
      const auto& members = this->nodes[other]->Members();
      const auto found = members.find(session.daemon);
      const bool is_usable = found != members.end() &&
                             found->second.incarnation == session.incarnation &&
                             found->second.phase == MemberPhase::kLive &&
                             !found->second.suspected;
      if (is_usable != usable) {
        return false;
      }
    }
    return true;
  }
  Duration TimeUntil(const std::function<bool()>& done) {
    const Instant start = this->schedule.Now();
    while (!done() && this->schedule.Now() - start < std::chrono::minutes(5)) {
      this->RunFor(std::chrono::milliseconds(10));
    }
    return this->schedule.Now() - start;
  }

  MembershipOptions options;
  EventSchedule schedule;
  std::vector<std::optional<Membership>> nodes;
  std::vector<SessionId> sessions;
  RegistryView registry;
  std::uint64_t sequence = 0;
  std::int64_t bytes = 0;
  Duration cpu{};
};

}  // namespace peridot::testing

#endif  // TESTS_SUPPORT_MEMBERSHIP_FLEET_H_
