# The guards that scripts/mutate disables, each with its name, file, tests and
# perl expression. scripts/mutate reads this file as part of itself.

readonly dispatcher=src/coordination/dispatcher_internal.h
readonly start="[dispatcher],[matrix]"

# Dispatcher::CheckStart
guard start_deadline "${dispatcher}" "${start}" \
  's/(CheckStart\(const TaskSpec& spec,.*?)now >= spec\.deadline/$1false/s'
guard start_proof "${dispatcher}" "${start}" \
  's/now >= this->settings->ProofExpiry\(\)/false/'
guard start_key "${dispatcher}" "${start}" \
  's/(CheckStart\(const TaskSpec& spec,.*?)caller != StartBlock::kNone/$1false/s'
guard start_zone "${dispatcher}" "${start}" \
  's/!this->settings->IsZoneIn\(grant\.zone\.value\)/false/'
guard start_lease "${dispatcher}" "${start}" \
  's/(case LeaseRefusal::kNoLease:\s*)return StartBlock::kEndpointLease/$1return StartBlock::kNone/'
guard start_leaving "${dispatcher}" "${start}" \
  's/return StartBlock::kEndpointLeaving/return StartBlock::kNone/'
guard start_proven_live "${dispatcher}" "${start}" \
  's/return StartBlock::kEndpointNotProven/return StartBlock::kNone/'
guard start_permit "${dispatcher}" "${start}" \
  's/!this->permits->TryAcquire\(team\)/!this->permits->TryAcquire(team) \&\& false/'
guard start_checks_after_intent "${dispatcher}" "${start}" \
  's/committed \? this->CheckStart\(task\.spec, flight\.grant, now\)/committed ? (static_cast<void>(flight), StartBlock::kNone)/'
guard start_caps_not_after "${dispatcher}" "${start}" \
  's/lease\.NotAfterUs\(std::min\(this->settings->ProofExpiry\(\),\s*task->spec\.deadline\)\)/lease.NotAfterUs(task->spec.deadline)/'

# EndpointLease
readonly lease=src/coordination/endpoint_lease.cc
guard lease_valid_until "${lease}" "[endpoint_lease]" \
  's/!this->held \|\| now >= this->valid_until/!this->held/'
guard lease_leaving "${lease}" "[endpoint_lease]" \
  's/if \(this->IsLeaving\(\)\)/if (false)/'
guard lease_proven_live "${lease}" "[endpoint_lease]" \
  's/!idempotent && now - this->last_answer/!idempotent \&\& false \&\& now - this->last_answer/'
guard not_after_drift "${lease}" "[endpoint_lease]" \
  's/ShortenForDrift\(left\) : LengthenForDrift\(left\)/left : left/'
guard not_after_reading "${lease}" "[endpoint_lease]" \
  's/expiry - this->clock_read_by/expiry - this->clock_read_by + this->config.lease/'

# CheckAttemptResponse
readonly answer=src/protocol/endpoint_http.cc
guard answer_attempt_id "${answer}" "[endpoint_http]" \
  's/FindHeader\(headers, "Peridot-Attempt"\) != asked\.value/asked.value.empty()/'
guard answer_length "${answer}" "[endpoint_http]" \
  's/if \(length != body\.size\(\)\)/if (!length)/'
guard answer_digest "${answer}" "[endpoint_http]" \
  's/digest\.empty\(\) \|\| FindHeader\(headers, "Peridot-Digest"\) != digest/digest.empty()/'

# TaskExecution
readonly attempt=src/coordination/attempt.cc
guard no_retry_after_unknown "${attempt}" "${start}" \
  's/(::AfterUnknown.*?bool again = )this->idempotent && /$1/s'
guard no_retry_after_failure "${attempt}" "${start}" \
  's/(::AfterFailure.*?bool again = )this->idempotent && /$1/s'
guard fence_after_no_answer "${attempt}" "${start}" \
  's/(case AttemptReply::kNoAnswer:\s*)return TaskStep::kFence/$1return this->AfterNeverStarted(now)/'

# PermitLedger
guard permit_transfer_epoch src/coordination/permit_ledger.cc "[permits]" \
  's/transfer\.header\.epoch != this->epoch \|\| //'

# SettingsLease
readonly settings=src/coordination/settings_lease.cc
guard revision_monotony "${settings}" "[settings_lease]" \
  's/if \(revision <= this->known_revision\)/if (revision == this->known_revision)/'
guard adopted_revision_monotony "${settings}" "[settings_lease]" \
  's/revision <= this->adopted_revision \|\| revision != this->known_revision/revision == this->adopted_revision/'
guard proof_of_known_revision "${settings}" "[settings_lease]" \
  's/(::RecordProof.*?)if \(revision != this->known_revision\)/$1if (false)/s'
guard proof_age_of_peer "${settings}" "[settings_lease]" \
  's/sent - UpperBound\(reply\.proof_age\)/sent/'
guard proof_counts_from_sending "${settings}" "[settings_lease]" \
  's/this->RecordProof\(read\.revision, sent\)/this->RecordProof(read.revision, now)/'
guard registry_fence "${settings}" "[settings_lease]" \
  's/(::IsFenced.*?)return true;/$1return false;/s'
guard registry_lists_session "${settings}" "[settings_lease]" \
  's/ &&\s*!read\.registry\.ContainsSession\(session\)/ \&\& false/'

# Envelope
readonly envelope=src/protocol/envelope.cc
guard envelope_size "${envelope}" "[envelope]" \
  's/(::ParseFromArray|ParseFromArray)(.*?)if \(bytes\.size\(\) > MaxBytes\(envelope\)\)/$1$2if (false)/s'
guard envelope_version "${envelope}" "[envelope]" \
  's/envelope\.protocol_version\(\) != kProtocolVersion/false/'
guard envelope_receiver "${envelope}" "[envelope]" \
  's/envelope\.receiver\(\) != expected\.receiver\.value/false/'
guard envelope_sender "${envelope}" "[envelope]" \
  's/if \(!registered\) \{\s*return EnvelopeRefusal::kUnknownSender;\s*\}/if (!registered) { return std::nullopt; }/'
guard envelope_incarnation "${envelope}" "[envelope]" \
  's/envelope\.incarnation\(\) < registered->value/false/'
guard envelope_body "${envelope}" "[envelope]" \
  's/if \(!valid\)/if (!valid \&\& envelope.protocol_version() == 0)/'

# JobScheduler
readonly runs=src/coordination/job_scheduler_runs.cc
readonly place=src/coordination/job_scheduler_place.cc
readonly jobs="[job_scheduler]"
guard jobs_failed_run_once "${runs}" "${jobs}" \
  's/failed\.insert\(run\)\.second/failed.insert(run + 5000 + failed.size()).second/'
guard jobs_done_stays_done "${runs}" "${jobs}" \
  's/return task\.step->job->done\.contains\(NameOf\(task\)\) \? TaskPhase::kDone\s*: TaskPhase::kWaiting/return static_cast<void>(task), TaskPhase::kWaiting/'
guard jobs_wait_for_unseen "${place}" "${jobs}" \
  's/job->before_takeover && this->unrecovered/false \&\& this->unrecovered/'
guard jobs_zone_out "${place}" "${jobs}" \
  's/!this->zones_out\.contains\(endpoint\.row\.zone\) &&/true \&\&/'
guard jobs_draining "${place}" "${jobs}" \
  's/endpoint\.listed && endpoint\.row\.ready &&/endpoint.listed \&\&/'
guard jobs_cordoned "${place}" "${jobs}" \
  's/!this->cordoned\.contains\(endpoint\.row\.id\)/true/'
guard jobs_recorded_before_shown src/coordination/job_scheduler.cc "${jobs}" \
  's/IsFinal\(job->recorded\)\) \{\s*return job->cancelled/IsFinal(job->decided)) {\n    return !job->cancelled ? job->decided : job->cancelled/'
guard jobs_lease_before_start src/coordination/job_scheduler.cc "${jobs}" \
  's/if \(may_start && !state\.fenced\) \{/if (!state.fenced) {/'

# OwnerLease
readonly owner=src/coordination/owner_lease.cc
guard owner_over_by_epoch "${owner}" "[owner_lease]" \
  's/return this->row\.epoch == this->gone_epoch &&\s+/return /'
guard owner_counts_from_sending "${owner}" "[owner_lease]" \
  's/ - this->config\.margin//'
guard owner_lost "${owner}" "[owner_lease]" \
  's/if \(this->held && !mine\)/if (false \&\& !mine)/'

# HostPlanner
readonly hosts=src/coordination/host_planner.cc
guard hosts_list_after_answer "${hosts}" "[host_planner]" \
  's/  host\.ordered = now;\n  if \(reply == HostOrderReply::kDone/  if (reply == HostOrderReply::kDone/'
guard hosts_quiet_after_takeover "${hosts}" "[host_planner]" \
  's/now < this->orders_from/false/'
guard hosts_idle_only "${hosts}" "[host_planner]" \
  's/found == endpoints\.end\(\) \|\| found->second->idle\) \{\s*if \(down/true) {\n      if (down/'
guard hosts_smallest_pool_first "${hosts}" "[host_planner]" \
  's/return a\.second->capacity < b\.second->capacity;/return a.second->wanted > b.second->wanted;/'
guard hosts_hopeless_last "${hosts}" "[host_planner]" \
  's/load\.expired_core_seconds \/ expired_backlog_drain_time/load.expired_core_seconds \/ std::min(backlog_drain_time, expired_backlog_drain_time)/'

# Handover to a daemon on a stronger host
guard owner_weak_waits "${owner}" "[owner_lease]" \
  's/return this->config\.strength >= this->best_strength \|\|/return true ||/'
guard owner_hands_over_late "${owner}" "[owner_lease]" \
  's/now - this->held_since < this->config\.handover_after/now < this->held_since/'

# First confirmed run of a job
guard jobs_begun_when_confirmed "${runs}" "[job_scheduler]" \
  's/  task->endpoint = endpoint;\n  task->run = run;/  task->endpoint = endpoint;\n  task->step->job->begun = true;\n  task->run = run;/'
