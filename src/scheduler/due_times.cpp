#include "scheduler/due_times.hpp"

#include <algorithm>
#include <vector>

#include "scheduler/internal.hpp"

namespace tulip::scheduler {

using namespace transport;

std::optional<Millis> wallNow(const SchedulerState& scheduler, Now now) {
  std::vector<Millis> offsets;
  if (now.wallMs > 0) offsets.push_back(now.wallMs - now.steadyMs);
  for (const auto& [id, row] : scheduler.workers)
    if (row.wallKnown && now.steadyMs - row.heardMs <= bounds(scheduler).leaseMs) offsets.push_back(row.wallOffsetMs);
  if (offsets.empty()) return std::nullopt;
  const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  return now.steadyMs + *middle;
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

void noteDueStart(SchedulerState& scheduler, const Job& job, std::size_t task, Now now) {
  if (!hasWallTimes(*job.spec)) return;
  const auto instance = job.tasks[task].instance;
  const bool begun =
      std::ranges::any_of(job.tasks, [&](const Task& each) { return each.instance == instance && each.attempts > 0; });
  if (begun) return;
  if (const auto wallMs = wallNow(scheduler, now))
    scheduler.dueDelays.note(std::max<Millis>(0, *wallMs - dueWallMs(*job.spec, instance)), bounds(scheduler).leaseMs);
}

}  // namespace tulip::scheduler
