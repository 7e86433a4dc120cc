#pragma once
/// What the steps of a process cost, and how long events waited for theirs, by kind of event: a few additions a step.
#include <array>
#include <cstdint>
#include <string>

#include "base/types.hpp"
#include "daemon/event_kind.hpp"

namespace tulip::daemon {

/// Processor time in thousandths of a millisecond.
using ProcessorMicros = std::int64_t;

struct StepCost {
  std::uint64_t steps = 0;
  ProcessorMicros processorUs = 0;
  ProcessorMicros longestUs = 0;
  Millis longestWaitMs = 0;

  void note(ProcessorMicros tookUs, Millis waitedMs);
};

using StepCosts = std::array<StepCost, kEventKinds>;

class StepTimes {
 public:
  void note(EventKind kind, ProcessorMicros tookUs, Millis waitedMs);

  /// Since the process began.
  const StepCosts& total() const { return total_; }

  /// One line on the steps since the last line, the dearest kinds first. Empty, and nothing begun anew, when none of
  /// them took or waited for more than a tenth of a lease.
  std::string takeSlowLine(Millis leaseMs);

 private:
  StepCosts total_{};
  StepCosts recent_{};
};

/// The processor time that the calling thread has had.
ProcessorMicros threadProcessorTime();

}  // namespace tulip::daemon
