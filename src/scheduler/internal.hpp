#pragma once
#include "scheduler/scheduler.hpp"

// What the files of the leading scheduler share: orders (reports and what is wanted), workers' health, epochs and
// calls. What elections, takeover and replication share is in leadership.hpp.
namespace tulip::scheduler {

inline const Bounds& bounds(const SchedulerState& scheduler) { return scheduler.client.settings.bounds; }
inline Millis fleet(const SchedulerState& scheduler, transport::Now now) {
  return control::fleetNow(scheduler.client, now);
}
inline const config::Admission& rulesOf(const SchedulerState& scheduler) {
  const auto& config = *scheduler.client.config;
  return scheduler.usual && !config.admissionGiven ? *scheduler.usual : config.admission;
}
inline bool isOn(const SchedulerState& scheduler, config::Mechanism mechanism) {
  return !rulesOf(scheduler).without.contains(mechanism);
}
inline std::string specKey(const JobId& id) { return "~" + id.value; }

const config::Queue& queueOf(const SchedulerState& scheduler, const Job& job);
/// Where the job's tasks may run: where its queue is sent, or was last sent before it was removed; empty: anywhere.
const PoolName& poolFor(const SchedulerState& scheduler, const Job& job);
void noteEnded(SchedulerState& scheduler, const Job& job);
placement::Load totalOf(SchedulerState& scheduler, const WorkerRow& row);

/// Changes a job, and brings in line what follows from it. It costs what is changed, so that it may be called in a loop
/// over the attempts of a job; the whole job is checked once, before its next batch.
template <class Change>
void change(SchedulerState& scheduler, const JobId& id, Change&& apply) {
  auto found = scheduler.jobs.find(id);
  if (found == scheduler.jobs.end()) return;
  auto& job = found->second;
  const bool wasOpen = job.state == JobState::open;
  apply(job);
  updateHoldings(scheduler.held, job, takeChangedHoldings(job));
  if (wasOpen && job.state != JobState::open) noteEnded(scheduler, job);
  scheduler.dirty.insert(id);
  scheduler.planDue = true;
}

void onReport(SchedulerState& scheduler, const transport::Heard& heard, const transport::AgentReport& report,
              transport::Now now, transport::Outbox& out);
void sendOrders(SchedulerState& scheduler, WorkerRow& row, transport::Now now, transport::Outbox& out);
void finishRun(SchedulerState& scheduler, const JobId& id, std::size_t at, transport::AttemptOutcome outcome,
               const std::string& detail, transport::Now now);

void judgeWorker(SchedulerState& scheduler, WorkerRow& row, Job& job, std::size_t task,
                 transport::AttemptOutcome outcome, transport::Now now);
void judgeProgress(SchedulerState& scheduler, transport::Now now);
/// How long a task at work will have taken by its end, near its data; 0 while that can't be told.
Millis projectedMs(const SchedulerState& scheduler, const Job& job, std::size_t task, Millis fleetMs);
// How many times as long as expected a run at work takes there; 0 while it can't be told.
double paceOf(const SchedulerState& scheduler, const Job& job, std::size_t task, Millis fleetMs);
void observeRuns(SchedulerState& scheduler, WorkerRow& row, std::vector<double> paces, transport::Now now);
Millis leftMs(const Job& job, std::size_t task, Millis fleetMs, double pace);
// lastResort: a shunned worker will do.
bool usableWorker(const SchedulerState& scheduler, const WorkerRow& row, transport::Now now, bool lastResort = false);

/// Checks each wait of a run against its bound: one past it is an alarm and goes to its way out.
void checkRunWaits(SchedulerState& scheduler, transport::Now now, transport::Outbox& out);
/// Ends the runs of workers that were silent for so long that they are over, and of those marked as gone.
void endSilentRuns(SchedulerState& scheduler, transport::Now now);

void keepHouse(SchedulerState& scheduler, transport::Now now);
/// Brings the service that each open job has had, and the lane that follows from it, up to now.
void settleJobs(SchedulerState& scheduler, transport::Now now);
void tellLongWaits(SchedulerState& scheduler, transport::Now now, transport::Outbox& out);
void runEpoch(SchedulerState& scheduler, transport::Now now);

void tell(const SchedulerState& scheduler, const Caller& caller, Kind kind, const Job* job, transport::Outbox& out,
          std::string_view detail = {});
void onCallAsk(SchedulerState& scheduler, const transport::Heard& heard, const transport::CallAsk& ask,
               transport::Now now, transport::Outbox& out);
void onCallAnswer(SchedulerState& scheduler, const transport::CallAnswer& answer, transport::Outbox& out);
/// Sends forwarded calls again, and answers every caller whose wait is past its bound.
void tickCalls(SchedulerState& scheduler, transport::Now now, transport::Outbox& out);
void tickForwards(SchedulerState& scheduler, transport::Now now, transport::Outbox& out);

}  // namespace tulip::scheduler
