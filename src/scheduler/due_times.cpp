#include "scheduler/due_times.hpp"

#include <algorithm>

#include "scheduler/internal.hpp"

namespace tulip::scheduler {

using namespace transport;

std::optional<Millis> wallNow(const SchedulerState& scheduler, Now now) {
  const auto offsetMs = medianOffsetMs(scheduler.clocks, now.steadyMs - bounds(scheduler).leaseMs);
  if (!offsetMs) return std::nullopt;
  return now.steadyMs + *offsetMs;
}

std::optional<Millis> fleetTimeOffsetMs(const SchedulerState& scheduler, Now now) {
  const auto wallMs = wallNow(scheduler, now);
  if (!wallMs) return std::nullopt;
  return *wallMs - fleet(scheduler, now);
}

bool hasWallTimes(const Spec& spec) { return spec.times > 0 && spec.firstWallMs > 0; }

Millis dueWallMs(const Spec& spec, std::uint32_t instance) {
  return spec.firstWallMs + static_cast<Millis>(instance) * spec.everyMs;
}

namespace {

void readOwnClock(SchedulerState& scheduler, Now now) {
  noteClock(scheduler.clocks, scheduler.client.settings.peerAddress, now.wallMs, now.steadyMs);
}

void mapFirstDue(Job& job, Millis fleetTimeOffsetMs) {
  if (hasWallTimes(*job.spec)) job.firstDueMs = dueWallMs(*job.spec, 0) - fleetTimeOffsetMs;
}

}  // namespace

void acceptDueTimes(SchedulerState& scheduler, Spec& spec, Now now) {
  if (spec.times <= 0 || spec.firstWallMs > 0) return;
  readOwnClock(scheduler, now);
  spec.firstWallMs = wallNow(scheduler, now).value_or(0);
}

void setFirstDue(SchedulerState& scheduler, Job& job, Now now) {
  if (job.spec->times <= 0) return;
  readOwnClock(scheduler, now);
  job.firstDueMs = job.acceptedMs;
  if (const auto offsetMs = fleetTimeOffsetMs(scheduler, now)) mapFirstDue(job, *offsetMs);
}

void mapDueTimes(SchedulerState& scheduler, Now now) {
  readOwnClock(scheduler, now);
  forgetClocks(scheduler.clocks, now.steadyMs - bounds(scheduler).leaseMs);
  const auto offsetMs = fleetTimeOffsetMs(scheduler, now);
  if (!offsetMs) return;
  for (const auto& id : scheduler.open) mapFirstDue(scheduler.jobs.at(id), *offsetMs);
}

void noteDueStart(SchedulerState& scheduler, const Job& job, std::size_t task, Now now) {
  if (!hasWallTimes(*job.spec)) return;
  const auto instance = job.instanceOf(task);
  if (!job.tasks.untouched(instance)) return;
  if (const auto wallMs = wallNow(scheduler, now))
    scheduler.dueDelays.note(std::max<Millis>(0, *wallMs - dueWallMs(*job.spec, instance)), bounds(scheduler).leaseMs);
}

}  // namespace tulip::scheduler
