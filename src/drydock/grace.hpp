#pragma once
#include "bearing/types.hpp"

namespace tulip::drydock {

inline constexpr Millis kChartGraceMs = 2000, kDrainGraceMs = 2000, kEmptyGraceMs = 5000, kCancelGraceMs = 3000, kEarlyGraceMs = 150;

}  // namespace tulip::drydock
