#pragma once
#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <deque>
#include <memory>

#include "manifest/job.hpp"
#include "watch/crew.hpp"

namespace tulip::manifest {

struct Standing {
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
  signal::TenderReport last;
  Address tender;
  Millis heardMs = -1;
  std::uint64_t ordersSeq = 0;
  absl::flat_hash_map<std::string, std::uint64_t> firstOrdered;
  absl::flat_hash_set<std::string> listed;
  Millis wallOffsetMs = 0;
  bool wallKnown = false;
  Millis pacedMs = -1000000;
  Standing standing;
};

struct SeatRow {
  Address signal;
  bool promised = false;
  std::uint64_t ackedSeq = 0;
  std::uint64_t sentSeq = 0;
  absl::btree_set<std::string> owed;
  std::optional<signal::RangeAccept> inflight;
  Millis sentMs = -1000000;
  Millis beatMs = -1000000;
  Millis leaseEchoMs = -1000000;
  Millis aheadSinceMs = -1;  // since when it denies this term for a newer one that it promised
};

enum class HeldAnswer : std::uint8_t { submitted, cancelled };

// Who is told: a caller here, through the own interface or a dialect, or a daemon that passed its call on.
struct Caller {
  std::uint64_t transaction = 0;
  bool brief = false;
  Address remote;
};

struct Waiting {
  Caller caller;
  JobId job;
  HeldAnswer kind = HeldAnswer::submitted;
};

struct Batch {
  std::vector<std::shared_ptr<const Job>> jobs;
  std::vector<JobId> dropped;
  std::vector<Waiting> answers;
};

// A call of this daemon's caller that only the leader can answer.
struct Forward {
  signal::CallAsk ask;
  Millis sinceMs = 0;
  Millis sentMs = -1000000;
  Millis cutoffMs = 0;
  Address sentTo;
  bool sent = false;
  bool repeated = false;
};

enum class Course : std::uint8_t { following, preparing, leading };

struct PilotCounts {
  std::uint64_t takeovers = 0, epochs = 0, batches = 0, starts = 0, stops = 0, preempted = 0, lost = 0, failures = 0, cleans = 0,
                submitted = 0, denied = 0, passedOver = 0, reservations = 0, reports = 0, shuns = 0, rewritten = 0, steppedDown = 0,
                gangRetries = 0, promotions = 0, dropped = 0, lateEnds = 0, stalls = 0, forwarded = 0;
};

using HeldRuns = std::map<WorkerId, std::map<RunId, std::pair<JobId, std::size_t>>>;

struct PilotState {
  watch::Crew crew;
  Course course = Course::following;
  Ballot term;
  std::uint64_t highestSeen = 0;
  Millis prepareSentMs = -1000000;
  Millis tryAtMs = 0;
  Millis prepareStartMs = 0;
  std::map<DaemonId, signal::RangePromise> promises;

  absl::btree_map<JobId, Job> jobs;
  absl::btree_map<JobId, std::shared_ptr<const Job>> told;
  absl::btree_set<JobId> open;
  absl::btree_set<JobId> dirty;
  absl::btree_set<JobId> fresh;  // whose spec is still to be written
  HeldRuns held;
  HeldRuns toldHeld;
  std::vector<Waiting> waiting;
  absl::btree_map<std::string, signal::Entry> current;
  std::deque<std::pair<std::uint64_t, std::string>> tombs;
  std::map<DaemonId, SeatRow> seats;
  std::uint64_t seq = 0;
  std::uint64_t committed = 0;
  std::map<std::uint64_t, Batch> batches;
  Millis leaseUntilMs = -1000000;
  Millis leadSinceMs = 0;
  Millis epochMs = -1000000;
  Millis plannedMs = -1000000;
  Millis houseMs = -1000000;
  Millis sealedMs = -1000000;
  bool planDue = false;
  berth::Kinds kinds;
  std::optional<chart::Admission> usual;  // rules that the settings bring, for a configuration without any
  std::map<WorkerId, WorkerRow> workers;
  std::set<WorkerId> ordersDue;
  std::map<PendingName, LinePace> paces;
  std::set<JobId> longWaits;  // told of in the log, once each
  std::deque<std::int64_t> sizes;
  std::deque<std::pair<Millis, JobId>> ended;
  std::map<PendingName, std::int64_t> openPer;
  std::map<std::uint64_t, Forward> forwards;
  PilotCounts counts;
  std::string broken;
};

PilotState makePilot(const Env& env, const DaemonId& id, std::string incarnation);
bool leads(const PilotState& pilot, signal::Now now);
void pilotHeard(PilotState& pilot, const signal::Heard& heard, signal::Now now, signal::Outbox& out);
void pilotTick(PilotState& pilot, signal::Now now, signal::Outbox& out);
void pilotResign(PilotState& pilot, signal::Now now, signal::Outbox& out);

void submitJob(PilotState& pilot, std::uint64_t transaction, std::string_view body, signal::Now now, signal::Outbox& out);
void submitSpec(PilotState& pilot, const Caller& caller, Spec spec, signal::Now now, signal::Outbox& out);
void cancelJob(PilotState& pilot, const Caller& caller, const JobId& id, signal::Now now, signal::Outbox& out);
void getJob(const PilotState& pilot, const Caller& caller, const JobId& id, signal::Outbox& out);
void countPending(const PilotState& pilot, const Caller& caller, const PendingName& line, signal::Outbox& out);
// Answers here when this pilot leads, otherwise by the leader, asked again until it answers or the cutoff passes.
void callLeader(PilotState& pilot, signal::CallAsk ask, Millis cutoffMs, signal::Now now, signal::Outbox& out);
void listJobs(const PilotState& pilot, std::uint64_t transaction, const std::map<std::string, std::string>& query, signal::Outbox& out);
void traceJobs(const PilotState& pilot, std::uint64_t transaction, signal::Outbox& out);
json_t* workersView(const PilotState& pilot, signal::Now now);
void snapshotJobs(const PilotState& pilot, std::uint64_t transaction, Json members, signal::Now now, signal::Outbox& out);
void listWorkers(const PilotState& pilot, std::uint64_t transaction, signal::Now now, signal::Outbox& out);
std::string countersJson(const PilotState& pilot);
std::string checkRoom(const PilotState& pilot);

}  // namespace tulip::manifest
