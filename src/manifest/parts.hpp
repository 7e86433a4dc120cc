#pragma once
#include "manifest/pilot.hpp"

// What the files of the leading pilot share: succession (terms, seats, batches), orders (reports and what is wanted), standing (workers'
// trust), epoch (house and plan), calls.
namespace tulip::manifest {

inline const Bounds& bounds(const PilotState& pilot) { return pilot.crew.env.bounds; }
inline Millis fleet(const PilotState& pilot, signal::Now now) { return watch::fleetNow(pilot.crew, now); }
inline const chart::Admission& rulesOf(const PilotState& pilot) {
  const auto& chart = *pilot.crew.chart;
  return pilot.usual && !chart.admissionGiven ? *pilot.usual : chart.admission;
}
inline std::string specKey(const JobId& id) { return "~" + id.value; }

const chart::Pending& lineOf(const PilotState& pilot, const Job& job);
void indexRuns(HeldRuns& held, const Job& job, bool in);
void noteEnded(PilotState& pilot, const Job& job);
berth::Load totalOf(PilotState& pilot, const WorkerRow& row);

template <class Change> void change(PilotState& pilot, const JobId& id, Change&& apply) {
  auto found = pilot.jobs.find(id);
  if (found == pilot.jobs.end()) return;
  auto& job = found->second;
  const bool wasOpen = job.state == JobState::open;
  indexRuns(pilot.held, job, false);
  apply(job);
  indexRuns(pilot.held, job, true);
  if (wasOpen && job.state != JobState::open) noteEnded(pilot, job);
  if (auto fault = checkJob(job); !fault.empty() && pilot.broken.empty()) pilot.broken = job.id.value + ": " + fault;
  pilot.dirty.insert(id);
  pilot.planDue = true;
}

void stepDown(PilotState& pilot, signal::Now now, signal::Outbox& out, std::string_view why);
void lead(PilotState& pilot, signal::Now now, signal::Outbox& out);
void onPromise(PilotState& pilot, const signal::Heard& heard, const signal::RangePromise& promise, signal::Now now, signal::Outbox& out);
void onAccepted(PilotState& pilot, const signal::Heard& heard, const signal::RangeAccepted& reply, signal::Now now, signal::Outbox& out);
void follow(PilotState& pilot, signal::Now now);
void prepare(PilotState& pilot, signal::Now now, signal::Outbox& out);

void onReport(PilotState& pilot, const signal::Heard& heard, const signal::TenderReport& report, signal::Now now, signal::Outbox& out);
void sendOrders(PilotState& pilot, WorkerRow& row, signal::Now now, signal::Outbox& out);
void finishRun(PilotState& pilot, const JobId& id, std::size_t at, signal::RunOutcome outcome, const std::string& detail, signal::Now now);

void judgeWorker(PilotState& pilot, WorkerRow& row, const Job& job, std::size_t task, signal::RunOutcome outcome, signal::Now now);
void judgeProgress(PilotState& pilot, signal::Now now);
// How many times as long as estimated a run at work takes there; 0 while it can't be told.
double paceOf(const PilotState& pilot, const Job& job, std::size_t task, Millis fleetMs);
void observeRuns(PilotState& pilot, WorkerRow& row, std::vector<double> paces, signal::Now now);
Millis leftMs(const Job& job, std::size_t task, Millis fleetMs, double pace);
// lastResort: a shunned worker will do.
bool usableWorker(const PilotState& pilot, const WorkerRow& row, signal::Now now, bool lastResort = false);

void keepHouse(PilotState& pilot, signal::Now now);
void tellLongWaits(PilotState& pilot, signal::Now now, signal::Outbox& out);
void runEpoch(PilotState& pilot, signal::Now now);

Millis wallNow(const PilotState& pilot, signal::Now now);
void tell(PilotState& pilot, const Caller& caller, Kind kind, const Job* job, signal::Outbox& out, std::string_view detail = {});
void onCallAsk(PilotState& pilot, const signal::Heard& heard, const signal::CallAsk& ask, signal::Now now, signal::Outbox& out);
void onCallAnswer(PilotState& pilot, const signal::CallAnswer& answer, signal::Outbox& out);
void tickForwards(PilotState& pilot, signal::Now now, signal::Outbox& out);

}  // namespace tulip::manifest
