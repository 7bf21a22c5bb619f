#include "src/coordination/permit_ledger.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace peridot {
namespace {

constexpr PermitCount kNone{0};

}  // namespace

const PermitHeader& HeaderOf(const PermitMessage& message) {
  return std::visit(
      [](const auto& body) -> const PermitHeader& { return body.header; },
      message);
}

PermitLedger::PermitLedger(PermitLedgerConfig config)
    : config(std::move(config)) {}

//-----------------------------------------------------------------------------
// [SECTION] Use of permits
//-----------------------------------------------------------------------------

bool PermitLedger::TryAcquire() {
  if (this->fenced || this->in_use >= this->held - this->reserved_for_peers) {
    return false;
  }
  this->in_use += PermitCount(1);
  return true;
}

void PermitLedger::Release() {
  this->in_use -= PermitCount(1);
  if (!this->open && this->row.shed) {
    this->held = std::min(this->held, this->in_use);
  }
}

// The attempts use permits that the row still counts for the fenced session.
// The next epoch starts the removal of that session, and the report of this
// ledger for it must include them. After that report only free permits can
// cover adopted attempts.
PermitCount PermitLedger::AdoptRunning(const SessionId& fenced_session,
                                       PermitCount count) {
  if (this->fenced) {
    return kNone;
  }
  const bool will_report = this->open && this->IsMember() &&
                           this->row.Find(fenced_session) != nullptr;
  const PermitCount free = std::max(kNone, this->held - this->in_use);
  const PermitCount accepted = will_report ? count : std::min(count, free);
  this->in_use += accepted;
  return accepted;
}

PermitCount PermitLedger::Wanted() const {
  return this->in_use + this->waiting;
}

PermitCount PermitLedger::ReportCount() const {
  return std::max(this->held, this->in_use);
}

//-----------------------------------------------------------------------------
// [SECTION] Inputs
//-----------------------------------------------------------------------------

PermitActions PermitLedger::OnDemand(PermitCount waiting, Instant now) {
  this->waiting = waiting;
  PermitActions actions;
  this->SendDemands(now, actions);
  this->Propose(now, actions);
  return actions;
}

PermitActions PermitLedger::OnLimit(PermitCount limit,
                                    Revision revision,
                                    Instant now) {
  PermitActions actions;
  if (revision <= this->limit_revision) {
    return actions;
  }
  this->limit = limit;
  this->limit_revision = revision;
  if (!this->row_known) {
    this->RequestRow(now, actions);
  }
  this->Propose(now, actions);
  return actions;
}

PermitActions PermitLedger::OnRowRead(const TableRow& row, Instant now) {
  PermitActions actions;
  this->read_sent.reset();
  this->read_required = false;
  this->ApplyRow(row, now);
  this->AnnounceLimit(actions);
  this->SendReports(now, actions);
  this->SendDemands(now, actions);
  this->Propose(now, actions);
  return actions;
}

PermitActions PermitLedger::OnTransactAnswer(const std::string& operation_id,
                                             const CommitAnswer& answer,
                                             Instant now) {
  PermitActions actions;
  if (operation_id != this->pending_operation) {
    return actions;
  }
  this->pending_operation.clear();
  const std::string key = PermitRowKey(this->config.team);
  const auto written = std::find_if(
      answer.versions.begin(), answer.versions.end(),
      [&](const TableCheck& version) { return version.key == key; });
  if (answer.outcome != CommitOutcome::kCommitted ||
      written == answer.versions.end()) {
    // An unknown outcome is not resolved by its operation id: each next row is
    // a function of the row that is read back, and a write still in flight
    // fails its version check as soon as any other write has committed.
    const std::string session = SessionRowKey(this->config.self.daemon);
    this->session_lost = std::any_of(
        answer.conflicts.begin(), answer.conflicts.end(),
        [&](const TableCheck& conflict) { return conflict.key == session; });
    this->read_required = true;
    this->RequestRow(now, actions);
    return actions;
  }
  this->ApplyRow({key, written->version, SerializePermitRow(this->pending_row)},
                 now);
  this->BroadcastRow(actions);
  this->AnnounceLimit(actions);
  this->SendReports(now, actions);
  this->SendDemands(now, actions);
  return actions;
}

PermitActions PermitLedger::OnMessage(const PermitMessage& message,
                                      Instant now) {
  PermitActions actions;
  const PermitHeader& header = HeaderOf(message);
  if (header.to != this->config.self) {
    return actions;
  }
  const auto peer = this->peers.find(header.from);
  if (peer != this->peers.end()) {
    peer->second.unanswered_request_since.reset();
  }
  std::visit([&](const auto& body) { this->OnBody(body, now, actions); },
             message);
  this->CompareRows(header, now, actions);
  return actions;
}

PermitActions PermitLedger::OnSessionFenced(const SessionId& session,
                                            Instant now) {
  if (session == this->config.self) {
    this->fenced = true;
    return {};
  }
  const Duration lapse = LengthenForDrift(this->config.leases.settings_lease +
                                          this->config.leases.owner_lease);
  this->lapse_at.emplace(session, now + lapse);
  return {};
}

PermitActions PermitLedger::OnSessionGone(const SessionId& session,
                                          Instant now) {
  if (session == this->config.self) {
    this->fenced = true;
    return {};
  }
  Instant& at = this->lapse_at.emplace(session, now).first->second;
  at = std::min(at, now);
  PermitActions actions;
  this->Propose(now, actions);
  return actions;
}

void PermitLedger::OnSessionRow(RowVersion version) {
  this->session_version = version;
  this->session_lost = false;
}

void PermitLedger::OnLeaseBounds(const LeaseBounds& bounds) {
  this->config.leases = bounds;
}

PermitActions PermitLedger::OnTick(Instant now) {
  PermitActions actions;
  const PermitTunables& tunables = this->config.tunables;
  if (!this->pending_operation.empty() &&
      now - this->pending_since >= tunables.answer_timeout) {
    this->pending_operation.clear();
    this->read_required = true;
  }
  // Rows are sent to members only, so a daemon that is about to join polls for
  // them.
  const bool joining = !this->IsMember() && this->Wanted() > kNone;
  const Duration period = joining ? tunables.join_poll : tunables.row_poll;
  const bool poll = now - this->row_applied_at >= period;
  if (this->read_required || !this->row_known || poll) {
    this->RequestRow(now, actions);
  }
  this->SendReports(now, actions);
  this->SendTransfers(now, actions);
  this->SendDemands(now, actions);
  this->RequestStops(actions);
  this->Propose(now, actions);
  return actions;
}

//-----------------------------------------------------------------------------
// [SECTION] Row and epoch
//-----------------------------------------------------------------------------

void PermitLedger::ApplyRow(const TableRow& table_row, Instant now) {
  const Result<PermitRow> parsed = ParsePermitRow(table_row);
  if (parsed.has_error()) {
    ++this->malformed_rows;
    return;
  }
  const PermitRow& next = parsed.value();
  this->row_applied_at = now;
  if (this->row_known && next.version <= this->row.version) {
    return;
  }
  this->row_known = true;
  this->read_required = false;
  this->proposal_due.reset();
  if (next.epoch > this->epoch) {
    this->BeginEpoch(next);
  }
  this->row = next;
  if (next.open) {
    this->OpenEpoch(next);
  }
  this->RecordSupersededSessions(next, now);
}

// Until the row opens, the count that this ledger reports cannot grow: it
// accepts no transfers, sends none, and adopts only what its free permits
// cover.
void PermitLedger::BeginEpoch(const PermitRow& next) {
  this->epoch = next.epoch;
  this->open = false;
  this->granted = kNone;
  this->reserved_for_peers = kNone;
  this->stops_requested = kNone;
  this->report_sent = Instant{};
  this->announced_demand = kNone;
  for (auto& [session, peer] : this->peers) {
    peer.sent = kNone;
    peer.acknowledged = kNone;
    peer.received = kNone;
    peer.report.reset();
  }
  if (next.Find(this->config.self) == nullptr) {
    this->held = kNone;
  } else if (next.shed) {
    this->held = std::min(this->held, this->in_use);
  }
}

void PermitLedger::OpenEpoch(const PermitRow& next) {
  const PermitMember* self = next.Find(this->config.self);
  const PermitCount total = self == nullptr ? kNone : self->granted;
  this->held = this->open ? this->held + total - this->granted : total;
  this->granted = total;
  this->open = true;
}

// A session with a later incarnation has fenced the earlier sessions of its
// daemon.
void PermitLedger::RecordSupersededSessions(const PermitRow& next,
                                            Instant now) {
  for (std::size_t i = 1; i < next.members.size(); ++i) {
    const SessionId& earlier = next.members[i - 1].session;
    if (earlier.daemon == next.members[i].session.daemon) {
      this->OnSessionFenced(earlier, now);
    }
  }
}

void PermitLedger::RequestRow(Instant now, PermitActions& actions) {
  const Duration timeout = this->config.tunables.answer_timeout;
  if (this->read_sent && now - *this->read_sent < timeout) {
    return;
  }
  this->read_sent = now;
  actions.emplace_back(ReadPermitRow{PermitRowKey(this->config.team)});
}

void PermitLedger::SendRow(const SessionId& to, PermitActions& actions) const {
  PermitRowNotice notice{this->Header(to), {}};
  notice.row = {PermitRowKey(this->config.team), this->row.version,
                SerializePermitRow(this->row)};
  actions.emplace_back(SendPermitMessage{std::move(notice)});
}

void PermitLedger::BroadcastRow(PermitActions& actions) const {
  for (const PermitMember& member : this->row.members) {
    if (member.session != this->config.self) {
      this->SendRow(member.session, actions);
    }
  }
}

void PermitLedger::AnnounceLimit(PermitActions& actions) {
  if (!this->open || this->row.revision <= this->announced_revision) {
    return;
  }
  this->announced_revision = this->row.revision;
  actions.emplace_back(LimitInForce{this->row.revision, this->row.limit});
}

//-----------------------------------------------------------------------------
// [SECTION] Proposals
//-----------------------------------------------------------------------------

bool PermitLedger::HasLapsed(const SessionId& session, Instant now) const {
  const auto found = this->lapse_at.find(session);
  return found != this->lapse_at.end() && now >= found->second;
}

// Returns true only once every fenced member has lapsed: a count that includes
// one that has not would stop all transfers until it has.
bool PermitLedger::IsReclaimDue(Instant now) const {
  bool any = false;
  for (const PermitMember& member : this->row.members) {
    if (this->lapse_at.count(member.session) == 0) {
      continue;
    }
    if (!this->HasLapsed(member.session, now)) {
      return false;
    }
    any = true;
  }
  return any;
}

std::optional<PermitRow> PermitLedger::NextRow(Instant now) const {
  if (this->fenced || this->session_lost || !this->row_known ||
      this->read_required) {
    return std::nullopt;
  }
  const bool new_limit = this->limit_revision > this->row.revision;
  if (this->row.version.value == 0) {
    const bool create =
        new_limit && this->limit > kNone && this->Wanted() > kNone;
    return create ? std::optional(this->CountingRow(now)) : std::nullopt;
  }
  const bool lowered = new_limit && this->limit < this->row.limit;
  if (lowered || (new_limit && !this->row.open) || this->IsReclaimDue(now)) {
    return this->CountingRow(now);
  }
  if (new_limit) {
    return this->RaisedRow();
  }
  if (!this->row.open) {
    return this->RowAfterCount();
  }
  if (!this->IsMember() && this->Wanted() > kNone) {
    PermitRow next = this->row;
    next.Add(this->config.self);
    return next;
  }
  return std::nullopt;
}

// Returns the row of a new epoch without the members that have lapsed. The row
// opens only with the report of every other member; the writer joins, so that
// there is a member that can open it.
PermitRow PermitLedger::CountingRow(Instant now) const {
  PermitRow next;
  next.epoch = PermitEpoch(this->row.epoch.value + 1);
  next.shed = !this->row.open && this->row.shed;
  next.limit = this->row.limit;
  next.revision = this->row.revision;
  if (this->limit_revision > this->row.revision) {
    next.shed = next.shed || this->limit < this->row.limit;
    next.limit = this->limit;
    next.revision = this->limit_revision;
  }
  for (const PermitMember& member : this->row.members) {
    if (!this->HasLapsed(member.session, now)) {
      next.Add(member.session);
    }
  }
  next.Add(this->config.self);
  return next;
}

// The row opens only with a report of every member and a sum within the limit.
// If the sum is larger (the limit was lowered, or an attempt was counted by
// both its former and its new owner), a new epoch first takes back free
// permits.
std::optional<PermitRow> PermitLedger::RowAfterCount() const {
  PermitRow next = this->row;
  PermitCount sum;
  for (PermitMember& member : next.members) {
    member.granted = this->ReportCount();
    if (member.session != this->config.self) {
      const auto peer = this->peers.find(member.session);
      if (peer == this->peers.end() || !peer->second.report) {
        return std::nullopt;
      }
      member.granted = *peer->second.report;
    }
    sum += member.granted;
  }
  if (!this->IsMember()) {
    return std::nullopt;
  }
  if (sum <= next.limit) {
    next.open = true;
    next.shed = false;
    this->GrantExtra(next, next.limit - sum);
    return next;
  }
  if (this->row.shed) {
    return std::nullopt;
  }
  for (PermitMember& member : next.members) {
    member.granted = kNone;
  }
  next.epoch = PermitEpoch(this->row.epoch.value + 1);
  next.shed = true;
  return next;
}

PermitRow PermitLedger::RaisedRow() const {
  PermitRow next = this->row;
  next.limit = this->limit;
  next.revision = this->limit_revision;
  this->GrantExtra(next, next.limit - this->row.limit);
  return next;
}

// Satisfies demands first and divides the remainder evenly; transfers move it
// later according to demand.
void PermitLedger::GrantExtra(PermitRow& next, PermitCount extra) const {
  if (next.members.empty()) {
    return;
  }
  std::vector<PermitCount> shortages;
  for (const PermitMember& member : next.members) {
    const bool self = member.session == this->config.self;
    const auto peer = this->peers.find(member.session);
    const bool known = peer != this->peers.end();
    const PermitCount wanted =
        self ? this->Wanted() : (known ? peer->second.wanted : kNone);
    const PermitCount has = !this->row.open ? member.granted
                                            : (self    ? this->held
                                               : known ? peer->second.held
                                                       : kNone);
    shortages.push_back(std::max(kNone, wanted - has));
  }
  const std::vector<PermitCount> more = DivideMaxMin(extra, shortages);
  for (std::size_t i = 0; i < more.size(); ++i) {
    next.members[i].granted += more[i];
    extra -= more[i];
  }
  const std::vector<PermitCount> rest =
      DivideMaxMin(extra, std::vector<PermitCount>(next.members.size(), extra));
  for (std::size_t i = 0; i < rest.size(); ++i) {
    next.members[i].granted += rest[i];
  }
}

// Members write after a delay by rank, so that usually only one of them writes.
Duration PermitLedger::ProposalDelay(Instant now) const {
  const bool join = this->row.open && !this->IsMember() &&
                    this->limit_revision <= this->row.revision &&
                    !this->IsReclaimDue(now);
  if (this->row.version.value == 0 || join) {
    return Duration::zero();
  }
  int rank = 0;
  for (const PermitMember& member : this->row.members) {
    if (member.session == this->config.self) {
      break;
    }
    rank += this->lapse_at.count(member.session) == 0 ? 1 : 0;
  }
  return this->config.tunables.proposal_stagger * rank;
}

void PermitLedger::Propose(Instant now, PermitActions& actions) {
  if (!this->pending_operation.empty()) {
    return;
  }
  std::optional<PermitRow> next = this->NextRow(now);
  if (!next) {
    this->proposal_due.reset();
    return;
  }
  if (!this->proposal_due) {
    this->proposal_due = now + this->ProposalDelay(now);
  }
  if (now < *this->proposal_due) {
    return;
  }
  this->proposal_due.reset();
  const SessionId& self = this->config.self;
  TableTransaction transaction;
  const std::string key = PermitRowKey(this->config.team);
  transaction.operation_id = key + "/" + self.daemon.value + "/" +
                             std::to_string(self.incarnation.value) + "/" +
                             std::to_string(this->next_operation++);
  transaction.checks.push_back({key, this->row.version});
  if (this->session_version.value > 0) {
    transaction.checks.push_back(
        {SessionRowKey(self.daemon), this->session_version});
  }
  transaction.puts.push_back({key, SerializePermitRow(*next)});
  this->pending_operation = transaction.operation_id;
  this->pending_since = now;
  this->pending_row = *std::move(next);
  actions.emplace_back(TransactPermits{std::move(transaction)});
}

//-----------------------------------------------------------------------------
// [SECTION] Messages
//-----------------------------------------------------------------------------

PermitHeader PermitLedger::Header(const SessionId& to) const {
  return {this->config.self, to, this->epoch, this->row.version};
}

bool PermitLedger::CanTransfer() const {
  return this->open && !this->fenced && this->IsMember();
}

// A peer with an older row is sent this one; a later row at a peer causes a
// read.
void PermitLedger::CompareRows(const PermitHeader& header,
                               Instant now,
                               PermitActions& actions) {
  if (!this->row_known || header.row_version > this->row.version) {
    this->RequestRow(now, actions);
  } else if (header.row_version < this->row.version) {
    this->SendRow(header.from, actions);
  }
}

void PermitLedger::OnBody(const PermitRowNotice& notice,
                          Instant now,
                          PermitActions& actions) {
  if (notice.row.version.value == 0 ||
      notice.row.key != PermitRowKey(this->config.team)) {
    return;
  }
  this->ApplyRow(notice.row, now);
  this->AnnounceLimit(actions);
  this->SendReports(now, actions);
  this->SendDemands(now, actions);
}

void PermitLedger::OnBody(const PermitReport& report,
                          Instant now,
                          PermitActions& actions) {
  if (report.header.epoch != this->epoch || this->open) {
    return;
  }
  Peer& peer = this->peers[report.header.from];
  peer.wanted = report.wanted;
  peer.last_heard_at = now;
  peer.report =
      peer.report ? std::min(*peer.report, report.count) : report.count;
  this->Propose(now, actions);
}

void PermitLedger::OnBody(const PermitDemand& demand,
                          Instant now,
                          PermitActions& actions) {
  Peer& peer = this->peers[demand.header.from];
  const bool same_epoch = demand.header.epoch == this->epoch;
  if (same_epoch && demand.received < peer.acknowledged) {
    return;  // a later demand has arrived before this one
  }
  peer.wanted = demand.wanted;
  peer.held = demand.held;
  peer.last_heard_at = now;
  if (same_epoch) {
    peer.acknowledged = demand.received;
  }
  if (demand.ask) {
    this->SendDemand(demand.header.from, false, actions);
  }
  this->SendTransfers(now, actions);
}

void PermitLedger::OnBody(const PermitTransfer& transfer,
                          Instant,
                          PermitActions& actions) {
  if (transfer.header.epoch != this->epoch || !this->CanTransfer()) {
    return;
  }
  Peer& peer = this->peers[transfer.header.from];
  if (transfer.given > peer.received) {
    this->held += transfer.given - peer.received;
    peer.received = transfer.given;
  }
  this->SendDemand(transfer.header.from, false, actions);
}

void PermitLedger::SendDemand(const SessionId& to,
                              bool ask,
                              PermitActions& actions) const {
  PermitDemand demand{this->Header(to), this->Wanted(), this->held, {}, ask};
  const auto peer = this->peers.find(to);
  if (peer != this->peers.end()) {
    demand.received = peer->second.received;
  }
  actions.emplace_back(SendPermitMessage{demand});
}

// A new or much larger shortage is sent at once. An unmet one is repeated with
// exponential back-off, which also replaces lost messages. A daemon that has
// announced a demand also announces its fall, since peers reserve a part of the
// limit for it.
void PermitLedger::SendDemands(Instant now, PermitActions& actions) {
  if (!this->CanTransfer()) {
    return;
  }
  const PermitTunables& tunables = this->config.tunables;
  const PermitCount wanted = std::min(this->Wanted(), this->row.limit);
  const PermitCount announced_demand = this->announced_demand;
  const bool rising =
      wanted > this->held && (announced_demand == kNone ||
                              wanted > announced_demand + announced_demand);
  const bool falling =
      announced_demand > kNone && wanted + wanted <= announced_demand;
  if (wanted <= this->held && !falling) {
    return;
  }
  const Duration wait = rising    ? tunables.demand_interval
                        : falling ? tunables.demand_repeat
                                  : this->demand_wait;
  if (now - this->demand_sent < wait) {
    return;
  }
  this->demand_wait = rising || falling ? tunables.demand_repeat
                                        : std::min(this->demand_wait * 2,
                                                   tunables.demand_repeat_max);
  this->demand_sent = now;
  this->announced_demand = wanted;
  for (const PermitMember& member : this->row.members) {
    if (member.session != this->config.self) {
      this->SendDemand(member.session, false, actions);
    }
  }
}

void PermitLedger::SendReports(Instant now, PermitActions& actions) {
  const Duration repeat = this->config.tunables.message_repeat;
  if (!this->row_known || this->open || this->fenced || !this->IsMember() ||
      now - this->report_sent < repeat) {
    return;
  }
  this->report_sent = now;
  for (const PermitMember& member : this->row.members) {
    if (member.session != this->config.self) {
      actions.emplace_back(SendPermitMessage{PermitReport{
          this->Header(member.session), this->ReportCount(), this->Wanted()}});
    }
  }
}

PermitCount PermitLedger::WantedBy(const SessionId& session,
                                   Instant now) const {
  if (session == this->config.self) {
    return this->Wanted();
  }
  const auto peer = this->peers.find(session);
  if (peer == this->peers.end() || this->lapse_at.count(session) > 0) {
    return kNone;
  }
  const PermitTunables& tunables = this->config.tunables;
  const std::optional<Instant>& unanswered_request_since =
      peer->second.unanswered_request_since;
  const bool silent = unanswered_request_since &&
                      now - *unanswered_request_since >= tunables.peer_timeout;
  const bool valid = now - peer->second.last_heard_at < tunables.demand_valid;
  return valid && !silent ? peer->second.wanted : kNone;
}

std::vector<PermitCount> PermitLedger::Targets(Instant now) const {
  std::vector<PermitCount> wanted;
  wanted.reserve(this->row.members.size());
  for (const PermitMember& member : this->row.members) {
    wanted.push_back(this->WantedBy(member.session, now));
  }
  return DivideMaxMin(this->row.limit, wanted);
}

// Transfers permits above the share of this daemon to members below theirs, and
// repeats transfers that have not been acknowledged. Permits that are due but
// in use, or due to a peer without a recent message, are reserved: TryAcquire
// leaves them for a later transfer when they are free.
void PermitLedger::SendTransfers(Instant now, PermitActions& actions) {
  if (!this->CanTransfer()) {
    return;
  }
  const std::vector<PermitMember>& members = this->row.members;
  const std::vector<PermitCount> targets = this->Targets(now);
  std::size_t own = 0;
  while (members[own].session != this->config.self) {
    ++own;
  }
  PermitCount above = std::max(kNone, this->held - targets[own]);
  PermitCount spare = std::min(above, this->held - this->in_use);
  this->reserved_for_peers = kNone;
  for (std::size_t step = 1; step < members.size(); ++step) {
    const std::size_t index = (own + step) % members.size();
    const auto found = this->peers.find(members[index].session);
    if (found == this->peers.end()) {
      continue;
    }
    Peer& peer = found->second;
    const PermitCount in_flight = peer.sent - peer.acknowledged;
    const PermitCount deficit = targets[index] - peer.held - in_flight;
    const PermitCount due = std::max(kNone, std::min(above, deficit));
    const bool last_heard_at =
        now - peer.last_heard_at < this->config.tunables.recent_contact;
    const PermitCount transfer = last_heard_at ? std::min(spare, due) : kNone;
    above -= due;
    this->reserved_for_peers += due - transfer;
    const bool repeat =
        now - peer.transfer_sent >= this->config.tunables.message_repeat;
    if (transfer > kNone) {
      spare -= transfer;
      this->held -= transfer;
      peer.sent += transfer;
      this->SendTransfer(members[index].session, peer, now, actions);
    } else if (in_flight > kNone && repeat) {
      this->SendTransfer(members[index].session, peer, now, actions);
    } else if (due > kNone && !last_heard_at && repeat) {
      this->RequestDemand(members[index].session, peer, now, actions);
    }
  }
}

// Permits sent to a crashed peer are unusable until the next reclaim, so a peer
// without a recent message is first sent a demand request.
void PermitLedger::RequestDemand(const SessionId& to,
                                 Peer& peer,
                                 Instant now,
                                 PermitActions& actions) const {
  peer.transfer_sent = now;
  peer.unanswered_request_since = peer.unanswered_request_since.value_or(now);
  this->SendDemand(to, true, actions);
}

void PermitLedger::SendTransfer(const SessionId& to,
                                Peer& peer,
                                Instant now,
                                PermitActions& actions) const {
  peer.transfer_sent = now;
  peer.unanswered_request_since = peer.unanswered_request_since.value_or(now);
  actions.emplace_back(
      SendPermitMessage{PermitTransfer{this->Header(to), peer.sent}});
}

// Requests that this daemon stops its share of the tasks by which the reported
// sum exceeds the limit.
void PermitLedger::RequestStops(PermitActions& actions) {
  if (!this->row_known || this->open || !this->row.shed || !this->IsMember()) {
    return;
  }
  PermitCount sum = this->ReportCount();
  for (const PermitMember& member : this->row.members) {
    const auto peer = this->peers.find(member.session);
    if (peer != this->peers.end() && peer->second.report) {
      sum += *peer->second.report;
    }
  }
  const std::int64_t excess = sum.value - this->row.limit.value;
  if (excess <= 0) {
    return;
  }
  const PermitCount own((excess * this->ReportCount().value + sum.value - 1) /
                        sum.value);
  if (own > this->stops_requested) {
    actions.emplace_back(StopExcess{own - this->stops_requested});
    this->stops_requested = own;
  }
}

}  // namespace peridot
