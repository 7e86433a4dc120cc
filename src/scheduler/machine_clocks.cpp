#include "scheduler/machine_clocks.hpp"

#include <algorithm>
#include <vector>

#include "base/address.hpp"

namespace tulip::scheduler {

void noteClock(MachineClocks& clocks, const Address& daemon, Millis wallMs, Millis readMs) {
  if (wallMs > 0) clocks[std::string(hostOf(daemon))] = {wallMs - readMs, readMs};
}

std::optional<Millis> medianOffsetMs(const MachineClocks& clocks, Millis sinceMs) {
  std::vector<Millis> offsets;
  offsets.reserve(clocks.size());
  for (const auto& [host, reading] : clocks)
    if (reading.readMs >= sinceMs) offsets.push_back(reading.offsetMs);
  if (offsets.empty()) return std::nullopt;
  const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>((offsets.size() - 1) / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  return *middle;
}

void forgetClocks(MachineClocks& clocks, Millis beforeMs) {
  absl::erase_if(clocks, [&](const auto& each) { return each.second.readMs < beforeMs; });
}

}  // namespace tulip::scheduler
