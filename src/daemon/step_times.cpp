#include "daemon/step_times.hpp"

#include <algorithm>
#include <ctime>
#include <vector>

namespace tulip::daemon {

namespace {

constexpr ProcessorMicros kMicrosPerMilli = 1000;
constexpr ProcessorMicros kMicrosPerSecond = 1000000;
constexpr std::int64_t kNanosPerMicro = 1000;
constexpr Millis kSlowPerLease = 10;  // this part of a lease is worth a line

std::string textOf(EventKind kind, const StepCost& cost) {
  return std::string(nameOf(kind)) + " " + std::to_string(cost.steps) + " in " +
         std::to_string(cost.processorUs / kMicrosPerMilli) + " ms, longest " +
         std::to_string(cost.longestUs / kMicrosPerMilli) + " ms, waited " + std::to_string(cost.longestWaitMs) + " ms";
}

}  // namespace

void StepCost::note(ProcessorMicros tookUs, Millis waitedMs) {
  ++steps;
  processorUs += tookUs;
  longestUs = std::max(longestUs, tookUs);
  longestWaitMs = std::max(longestWaitMs, waitedMs);
}

void StepTimes::note(EventKind kind, ProcessorMicros tookUs, Millis waitedMs) {
  const auto place = static_cast<std::size_t>(kind);
  total_.at(place).note(tookUs, waitedMs);
  recent_.at(place).note(tookUs, waitedMs);
}

std::string StepTimes::takeSlowLine(Millis leaseMs) {
  const Millis slowMs = leaseMs / kSlowPerLease;
  const bool slow = std::ranges::any_of(recent_, [&](const StepCost& cost) {
    return cost.longestUs / kMicrosPerMilli > slowMs || cost.longestWaitMs > slowMs;
  });
  if (!slow) return {};
  std::vector<std::size_t> places;
  for (std::size_t place = 0; place < recent_.size(); ++place)
    if (recent_.at(place).steps > 0) places.push_back(place);
  std::ranges::sort(places, [&](std::size_t one, std::size_t other) {
    return recent_.at(one).processorUs > recent_.at(other).processorUs;
  });
  std::string line = "slow steps:";
  for (const auto place : places) line += " " + textOf(static_cast<EventKind>(place), recent_.at(place)) + ";";
  recent_ = {};
  return line;
}

ProcessorMicros threadProcessorTime() {
  timespec spent{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
  return spent.tv_sec * kMicrosPerSecond + spent.tv_nsec / kNanosPerMicro;
}

}  // namespace tulip::daemon
