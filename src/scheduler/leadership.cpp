// The scheduler's course: following, preparing and leading, and the steps between them.
#include "scheduler/leadership.hpp"

#include <tuple>

namespace tulip::scheduler {

using namespace transport;

void resetCourse(SchedulerState& scheduler, Now now, Outbox& out) {
  auto unknown = [&](const Waiting& each) {
    if (each.caller.remote.empty()) tell(scheduler, each.caller, Kind::unknownOutcome, nullptr, out);
  };
  for (const auto& each : scheduler.waiting) unknown(each);
  for (const auto& [seq, batch] : scheduler.batches)
    for (const auto& each : batch.answers) unknown(each);
  scheduler.promises.clear();
  scheduler.refusals.clear();
  scheduler.jobs.clear();
  scheduler.committedJobs.clear();
  scheduler.open.clear();
  scheduler.dirty.clear();
  scheduler.fresh.clear();
  scheduler.held.clear();
  scheduler.committedHeld.clear();
  scheduler.waiting.clear();
  scheduler.current.clear();
  scheduler.tombs.clear();
  scheduler.voters.clear();
  scheduler.batches.clear();
  scheduler.workers.clear();
  scheduler.clocks.clear();
  scheduler.ordersDue.clear();
  scheduler.sizes.clear();
  scheduler.longWaits.clear();
  scheduler.ended.clear();
  scheduler.openPer.clear();
  scheduler.reservationLimit = {};
  scheduler.openJobBytes = 0;
  scheduler.seq = scheduler.committed = 0;
  scheduler.leaseUntilMs = -1000000;
  scheduler.course = Course::following;
  scheduler.tryAtMs = now.steadyMs + bounds(scheduler).heartbeatMs();
}

void stepDown(SchedulerState& scheduler, Now now, Outbox& out, std::string_view why) {
  if (scheduler.course == Course::leading) {
    ++scheduler.counts.steppedDown;
    out.alarms.push_back("stepped down from term " + std::to_string(scheduler.term.number) + ": " + std::string(why));
  }
  resetCourse(scheduler, now, out);
}

namespace {

void lead(SchedulerState& scheduler, Now now, Outbox& out) {
  replicate(scheduler, now, out);
  if (scheduler.committed > 0 && now.steadyMs >= scheduler.leaseUntilMs)
    return stepDown(scheduler, now, out, "its lease lapsed");
  if (scheduler.committed == 0 && now.steadyMs - scheduler.leadSinceMs > 2 * bounds(scheduler).leaseMs)
    return stepDown(scheduler, now, out, "the first batch found no majority");
  if (!leads(scheduler, now)) return;
  const Millis epochMs = rulesOf(scheduler).epochMs;
  if (now.steadyMs - scheduler.epochMs < epochMs) return out.wakeBy(scheduler.epochMs + epochMs);
  scheduler.epochMs = now.steadyMs;
  // What takes time by all jobs and attempts is done at the pace of heartbeats, however often plans are due.
  const bool houseDue = now.steadyMs - scheduler.houseMs >= bounds(scheduler).heartbeatMs() / 2;
  if (houseDue) {
    keepHouse(scheduler, now);
    tellLongWaits(scheduler, now, out);
  }
  const bool due = scheduler.planDue || now.steadyMs - scheduler.plannedMs >= bounds(scheduler).heartbeatMs() / 2;
  if (due && now.steadyMs - scheduler.leadSinceMs >= bounds(scheduler).heartbeatMs() * 3 / 2) {
    scheduler.planDue = false;
    scheduler.plannedMs = now.steadyMs;
    if (!houseDue) settleJobs(scheduler, now);
    runEpoch(scheduler, now);
  }
  sealBatch(scheduler, now, out);
  if (scheduler.broken.empty()) return;
  out.alarms.push_back("invariant broken: " + scheduler.broken);
  scheduler.broken.clear();
  stepDown(scheduler, now, out, "an invariant did not hold");
}

}  // namespace

SchedulerState makeScheduler(const Settings& settings, const DaemonId& id, std::string incarnation) {
  SchedulerState scheduler;
  scheduler.client = control::makeControlClient(settings, id, std::move(incarnation));
  if (settings.firstThresholdMs > 0) {
    config::Admission rules;
    rules.lanes = 3;
    rules.thresholdsMs = {settings.firstThresholdMs, 4 * settings.firstThresholdMs};
    rules.epochMs = std::max<Millis>(10, settings.bounds.leaseMs / 40);
    rules.gangStartMs = settings.bounds.gangWaitMs * 2 / 3;
    rules.reserveAfterMs = 2 * settings.bounds.leaseMs;
    rules.rankFirst = true;
    rules.mostLoss = 0.1;
    rules.mostRackLoss = 1;
    scheduler.usual = std::move(rules);
  }
  return scheduler;
}

bool leads(const SchedulerState& scheduler, Now now) {
  return scheduler.course == Course::leading && scheduler.committed > 0 && now.steadyMs < scheduler.leaseUntilMs &&
         control::sessionLive(scheduler.client, now);
}

void schedulerHeard(SchedulerState& scheduler, const Heard& heard, Now now, Outbox& out) {
  const auto fleetMs = scheduler.client.fleetMs, fleetAtMs = scheduler.client.fleetAtMs;
  if (control::clientHeard(scheduler.client, heard, now, out)) {
    if (scheduler.course == Course::leading)
      std::tie(scheduler.client.fleetMs, scheduler.client.fleetAtMs) = std::tie(fleetMs, fleetAtMs);
    return;
  }
  if (scheduler.course == Course::leading && scheduler.committed > 0 && now.steadyMs >= scheduler.leaseUntilMs)
    return stepDown(scheduler, now, out, "its lease lapsed");
  if (const auto* promise = std::get_if<JobLogPromise>(&heard.message))
    onPromise(scheduler, heard, *promise, now, out);
  else if (const auto* accepted = std::get_if<JobLogAccepted>(&heard.message))
    onAccepted(scheduler, heard, *accepted, now, out);
  else if (const auto* report = std::get_if<AgentReport>(&heard.message))
    onReport(scheduler, heard, *report, now, out);
  else if (const auto* ask = std::get_if<CallAsk>(&heard.message))
    onCallAsk(scheduler, heard, *ask, now, out);
  else if (const auto* answer = std::get_if<CallAnswer>(&heard.message))
    onCallAnswer(scheduler, *answer, out);
}

void schedulerTick(SchedulerState& scheduler, Now now, Outbox& out) {
  if (scheduler.course == Course::following) follow(scheduler, now);
  if (scheduler.course == Course::probing || scheduler.course == Course::preparing) campaign(scheduler, now, out);
  if (scheduler.course == Course::leading) lead(scheduler, now, out);
  tickCalls(scheduler, now, out);
  const bool known = !scheduler.client.leader.http.empty() || leads(scheduler, now);
  scheduler.client.ready = control::sessionLive(scheduler.client, now) && known && !scheduler.client.leaving;
}

void schedulerResign(SchedulerState& scheduler, Now now, Outbox& out) {
  scheduler.client.leaving = true;
  if (scheduler.course == Course::leading) {
    for (const auto& [id, voter] : scheduler.voters) out.send(voter.peerAddress, Resign{scheduler.term});
    stepDown(scheduler, now, out, "a polite stop");
  }
}

}  // namespace tulip::scheduler
