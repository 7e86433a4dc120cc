#include "simulator/clock.hpp"

namespace tulip::simulator {

transport::Now read(const MachineClock& clock, Micros nowUs) {
  const auto steadyUs = static_cast<double>(nowUs) * clock.rate + static_cast<double>(clock.offsetUs);
  return {static_cast<Millis>(steadyUs / 1000.0), kWallEpochMs + nowUs / 1000 + clock.wallOffsetMs};
}

Micros whenShows(const MachineClock& clock, Millis steadyMs) {
  const auto sinceZeroUs = static_cast<double>(steadyMs) * 1000.0 - static_cast<double>(clock.offsetUs);
  return static_cast<Micros>(sinceZeroUs / clock.rate) + 1;
}

MachineClock switchedOn(const MachineClock& before, Micros nowUs, const Draw& draw) {
  constexpr Micros kSecondUs = 1000000;
  constexpr Micros kFreshBootUs = 20 * kSecondUs;
  constexpr Micros kLongUpUs = 7200 * kSecondUs;
  constexpr std::int64_t kDriftSteps = 4001;
  constexpr std::int64_t kHalfDrift = kDriftSteps / 2;
  const bool freshBoot = draw(2) == 0;
  const Micros shownUs = draw(freshBoot ? kFreshBootUs : kLongUpUs);
  const auto drift = static_cast<double>(draw(kDriftSteps) - kHalfDrift) / static_cast<double>(kHalfDrift) * kMostDrift;
  MachineClock clock = before;
  clock.rate = 1.0 + drift;
  clock.offsetUs = shownUs - static_cast<Micros>(static_cast<double>(nowUs) * clock.rate);
  return clock;
}

}  // namespace tulip::simulator
