#pragma once
#include <absl/container/flat_hash_map.h>

#include <optional>
#include <string>

#include "base/types.hpp"

/// The clocks of the machines that the leader hears, each as its difference to the leader's steady clock.
namespace tulip::scheduler {

struct ClockReading {
  Millis offsetMs = 0;  ///< The machine's time of day less the leader's steady time.
  Millis readMs = 0;    ///< When it was read, by the leader's steady clock.
};

/// By host: the daemons of one machine share its clock, which counts once.
using MachineClocks = absl::flat_hash_map<std::string, ClockReading>;

/// Notes what a daemon said of its machine's time of day. A time of 0 is none: earlier builds don't tell it.
void noteClock(MachineClocks& clocks, const Address& daemon, Millis wallMs, Millis readMs);

/// The median difference of the clocks read since then; of two in the middle the earlier clock, since a start that is
/// late does less harm than one that is early. None while no clock is known.
std::optional<Millis> medianOffsetMs(const MachineClocks& clocks, Millis sinceMs);

/// Drops what was read before then.
void forgetClocks(MachineClocks& clocks, Millis beforeMs);

}  // namespace tulip::scheduler
