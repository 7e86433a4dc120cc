#pragma once
#include <optional>

#include "scheduler/scheduler.hpp"

/// Due times of jobs that run at times of day (`times`, `firstAtMs`): when they fall due by the clocks of many
/// machines, and how late their starts are. They are kept as times of day and mapped to the fleet's time anew twice a
/// heartbeat: the fleet's time stands still while the whole control side is down, and the time of day doesn't.
namespace tulip::scheduler {

/// The time of day by the median of the clocks that the leader knows; none while it knows none.
std::optional<Millis> wallNow(const SchedulerState& scheduler, transport::Now now);

/// The time of day less the fleet's time; none while no clock is known.
std::optional<Millis> fleetTimeOffsetMs(const SchedulerState& scheduler, transport::Now now);

/// Whether the job's steps fall due at times of day.
bool hasWallTimes(const Spec& spec);

/// When the instance falls due, as a time of day.
Millis dueWallMs(const Spec& spec, std::uint32_t instance);

/// Gives a job with times that leaves out the first one the time of day of its acceptance as the first.
void acceptDueTimes(SchedulerState& scheduler, Spec& spec, transport::Now now);

/// Maps the time of day at which a job that is accepted first falls due to the fleet's time, as the two differ now.
void setFirstDue(SchedulerState& scheduler, Job& job, transport::Now now);

/// The same for all open jobs. The difference grows by each outage in which the fleet's time stood still.
void mapDueTimes(SchedulerState& scheduler, transport::Now now);

/// Counts how late the start of an instance is: called for each task that is about to start.
void noteDueStart(SchedulerState& scheduler, const Job& job, std::size_t task, transport::Now now);

}  // namespace tulip::scheduler
