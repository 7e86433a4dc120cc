#pragma once
#include "transport/core.hpp"

/// The clocks of a simulated machine: a steady one that starts anew with each
/// power-on, and the time of day.
namespace tulip::simulator {

using Micros = std::int64_t;

/// The time of day at which every simulated day starts.
inline constexpr Millis kWallEpochMs = 1700000000000;
/// How far the rate of a steady clock may be off, as a share.
inline constexpr double kMostDrift = 0.02;

struct MachineClock {
  Micros offsetUs = 0;      ///< What the steady clock showed at simulated time zero.
  double rate = 1.0;        ///< Steady microseconds per simulated microsecond.
  Millis wallOffsetMs = 0;  ///< How far the time of day is off.
};

/// Draws a value from 0 up to, but not including, its argument.
using Draw = std::function<std::int64_t(std::int64_t bound)>;

/// What the machine's clocks show at the simulated time.
transport::Now read(const MachineClock& clock, Micros nowUs);

/// The simulated time at which the steady clock shows steadyMs.
Micros whenShows(const MachineClock& clock, Millis steadyMs);

/// The clock of a machine that is switched on: a new start value, often near
/// zero, and a new rate. The time of day is kept by a battery.
MachineClock switchedOn(const MachineClock& before, Micros nowUs, const Draw& draw);

}  // namespace tulip::simulator
