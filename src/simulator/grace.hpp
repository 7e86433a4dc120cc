#pragma once
#include "base/types.hpp"

namespace tulip::simulator {

inline constexpr Millis kConfigGraceMs = 2000, kDrainGraceMs = 2000, kEmptyGraceMs = 5000, kCancelGraceMs = 3000,
                        kEarlyGraceMs = 150;
inline constexpr Millis kInTouchMs = 3000, kSettledMs = 8000, kStallMs = 3000, kNotedMs = 1000, kClockStepMs = 5000,
                        kCoreSettledMs = 4000, kServedWithinMs = 5000;

}  // namespace tulip::simulator
