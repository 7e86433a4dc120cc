#pragma once
#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/container/node_hash_map.h>

#include <deque>
#include <memory>

#include "admission/reservation_limit.hpp"
#include "base/duration_histogram.hpp"
#include "control/client.hpp"
#include "http/call_policy.hpp"
#include "jobs/job.hpp"
#include "scheduler/held_attempts.hpp"
#include "scheduler/machine_clocks.hpp"
#include "scheduler/pace.hpp"
#include "scheduler/promised_state.hpp"
#include "scheduler/run_waits.hpp"

namespace tulip::scheduler {

using namespace jobs;

struct WorkerHealth {
  std::int64_t clean = 0, failed = 0;
  double failRate = 0;
  double pace = 1;
  Millis shunnedUntilMs = 0;
  std::int64_t shuns = 0;
  std::int64_t sinceShun = 0;  // clean ends since the last shun
};

struct LinePace {
  double meanMs = 0;
  std::int64_t ends = 0;
};

struct WorkerRow {
  WorkerId id;
  transport::AgentReport last;
  Address agent;
  Millis heardMs = -1;
  std::uint64_t ordersSeq = 0;
  absl::flat_hash_map<std::string, std::uint64_t> firstOrdered;
  absl::flat_hash_set<std::string> listed;
  absl::flat_hash_set<std::string> unstarted;  // of the listed ones, those that its worker has not shown yet
  Millis pacedMs = -1000000;
  bool leaseWithheld = false;  // it is sent nothing, so that its worker's lease lapses and all that runs there is over
  WorkerHealth standing;
};

struct VoterRow {
  Address peerAddress;
  bool promised = false;
  std::uint64_t ackedSeq = 0;
  std::uint64_t sentSeq = 0;
  absl::btree_set<std::string> owed;
  std::optional<transport::JobLogAccept> inflight;
  Millis sentMs = -1000000;
  Millis heartbeatMs = -1000000;
  Millis leaseAcknowledgedMs = -1000000;
  Millis aheadSinceMs = -1;  // since when it rejects this term for a newer one that it promised
};

enum class HeldAnswer : std::uint8_t { submitted, cancelled };

// Who is told: a caller here, through the own interface or a protocol adapter, or a daemon that passed its call on.
struct Caller {
  std::uint64_t requestId = 0;
  bool brief = false;
  Address remote;
  CallId callId{};                                 // of a call that was passed on
  std::optional<http::CallClass> alsoElsewhere{};  // set when another copy of the call may still arrive elsewhere
};

struct Waiting {
  Caller caller;
  JobId job;
  HeldAnswer kind = HeldAnswer::submitted;
  Millis sinceMs = 0;
};

struct Batch {
  std::vector<std::shared_ptr<const Job>> jobs;
  std::vector<JobId> dropped;
  std::vector<Waiting> answers;
  Millis sealedMs = -1;  // -1: the batch only repeats what was written under earlier terms
};

// A call of this daemon's caller that only the leader can answer.
struct Forward {
  transport::CallAsk ask;
  Millis sinceMs = 0;
  Millis sentMs = -1000000;
  Millis firstSentMs = 0;  // of the oldest copy that may have been carried out
  Millis deadlineMs = 0;
  Address sentTo;
  bool sent = false;  // a copy may have been carried out
  bool repeated = false;
};

// Probing: asks whether a majority would promise a term. Preparing: asks for the promises.
enum class Course : std::uint8_t { following, probing, preparing, leading };

struct SchedulerCounts {
  std::uint64_t takeovers = 0, epochs = 0, batches = 0, starts = 0, stops = 0, preempted = 0, lost = 0, failures = 0,
                cleans = 0, submitted = 0, rejected = 0, passedOver = 0, reservations = 0, reports = 0, shuns = 0,
                rewritten = 0, steppedDown = 0, gangRetries = 0, promotions = 0, dropped = 0, lateEnds = 0, stalls = 0,
                forwarded = 0, outbid = 0, overdueRuns = 0, vainReservations = 0;
};

struct SchedulerState {
  control::ControlClient client;
  Course course = Course::following;
  Ballot term;
  std::uint64_t highestSeen = 0;
  Millis prepareSentMs = -1000000;
  Millis tryAtMs = 0;
  Millis prepareStartMs = 0;
  std::uint64_t campaigns = 0;        // of this process
  std::uint64_t failedCampaigns = 0;  // since a leader was last heard, or this scheduler last led
  std::uint64_t yields = 0;           // chances left to better placed schedulers since then
  Promises promises;
  Millis valuesAskedMs = -1000000;  // when a voter was last asked for values that its promise had left out
  std::uint64_t valueAsks = 0;      // of this campaign
  Version campaignMembership = 0;   // that the answers below are of
  std::set<DaemonId> refusals;      // voters that refused the present term

  absl::node_hash_map<JobId, Job> jobs;
  absl::flat_hash_map<JobId, std::shared_ptr<const Job>> committedJobs;
  absl::btree_set<JobId> open;
  absl::btree_set<JobId> dirty;
  absl::btree_set<JobId> fresh;  // whose spec is still to be written
  HeldAttempts held;
  HeldAttempts committedHeld;
  std::vector<Waiting> waiting;
  absl::btree_map<std::string, transport::Entry> current;
  std::deque<std::pair<std::uint64_t, std::string>> tombs;
  std::map<DaemonId, VoterRow> voters;
  std::uint64_t seq = 0;
  std::uint64_t acceptNumber = 0;  // of the newest accept sent, batch or heartbeat
  std::uint64_t committed = 0;
  std::map<std::uint64_t, Batch> batches;
  Millis leaseUntilMs = -1000000;
  Millis leadSinceMs = 0;
  Millis epochMs = -1000000;
  Millis plannedMs = -1000000;
  Millis houseMs = -1000000;
  Millis fencedMs = -1000000;
  bool planDue = false;
  placement::Kinds kinds;
  admission::ReservationLimit reservationLimit;
  std::optional<config::Admission> usual;  // rules that the settings bring, for a configuration without any
  std::map<WorkerId, WorkerRow> workers;
  MachineClocks clocks;  // of the machines of voters and agents
  std::set<WorkerId> ordersDue;
  std::map<QueueName, LinePace> paces;                // of queues whose work comes without estimates
  std::map<QueueName, EstimateError> estimateErrors;  // of queues whose work comes with them
  RunWaits runWaits;
  std::set<JobId> longWaits;  // told of in the log, once each
  std::deque<std::int64_t> sizes;
  std::deque<std::pair<Millis, JobId>> ended;
  std::map<QueueName, std::int64_t> openPer;
  std::size_t openJobBytes = 0;  // that the open jobs hold
  std::map<std::uint64_t, Forward> forwards;
  Millis leaderlessSinceMs = -1;  // since when no leader is known here; -1: one is
  SchedulerCounts counts;
  DurationHistogram batchTimes;  // from sealing a batch to its commit
  DurationHistogram dueDelays;   // from the time of day at which an instance fell due to the order of its first task
  std::string broken;
};

SchedulerState makeScheduler(const Settings& settings, const DaemonId& id, std::string incarnation);
bool leads(const SchedulerState& scheduler, transport::Now now);
void schedulerHeard(SchedulerState& scheduler, const transport::Heard& heard, transport::Now now,
                    transport::Outbox& out);
void schedulerTick(SchedulerState& scheduler, transport::Now now, transport::Outbox& out);
void schedulerResign(SchedulerState& scheduler, transport::Now now, transport::Outbox& out);

void submitJob(SchedulerState& scheduler, std::uint64_t requestId, std::string_view body, transport::Now now,
               transport::Outbox& out);
void submitSpec(SchedulerState& scheduler, const Caller& caller, Spec spec, transport::Now now, transport::Outbox& out);
void cancelJob(SchedulerState& scheduler, const Caller& caller, const JobId& id, transport::Now now,
               transport::Outbox& out);
void getJob(const SchedulerState& scheduler, const Caller& caller, const JobId& id, transport::Outbox& out);
void countPending(const SchedulerState& scheduler, const Caller& caller, const QueueName& line, transport::Outbox& out);
// Answers here when this scheduler leads, otherwise by the leader, asked again until it answers or the cutoff passes.
void callLeader(SchedulerState& scheduler, transport::CallAsk ask, Millis deadlineMs, transport::Now now,
                transport::Outbox& out);
void listJobs(const SchedulerState& scheduler, std::uint64_t requestId, const std::map<std::string, std::string>& query,
              transport::Outbox& out);
void traceJobs(const SchedulerState& scheduler, std::uint64_t requestId, transport::Outbox& out);
json_t* workersView(const SchedulerState& scheduler, transport::Now now);
void snapshotJobs(const SchedulerState& scheduler, std::uint64_t requestId, Json members, transport::Now now,
                  transport::Outbox& out);
void listWorkers(const SchedulerState& scheduler, std::uint64_t requestId, transport::Now now, transport::Outbox& out);
std::string countersJson(const SchedulerState& scheduler);
// Whether what is held at the worker fits there; says otherwise.
std::string checkCapacity(SchedulerState& scheduler, const WorkerId& worker);

}  // namespace tulip::scheduler
