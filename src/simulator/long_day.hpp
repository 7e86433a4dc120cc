#pragma once
#include "simulator/world.hpp"

/// Long days: overlapping troubles at any hour, hundreds of changes of the configuration, rolling restarts, and at the
/// end the loss of the whole control side right after an acknowledgement.
namespace tulip::simulator {

/// The fleet of a site: a replica and a scheduler in one process, and links and disks that take time by the byte.
FleetPlan siteFleetOf(const std::string& load);

/// A long day on that fleet. Its length is drawn from the seed.
DayPlan longDayPlan(const std::string& load, std::uint64_t seed);

/// Lays out the day's troubles and changes.
void scheduleLongDay(World& world);

}  // namespace tulip::simulator
