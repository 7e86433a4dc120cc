#pragma once
#include <cstdint>
#include <map>
#include <string_view>

#include "base/settings.hpp"
#include "config/config.hpp"

/// The waits of the leading scheduler for its runs: what each run that holds capacity is waiting for, since when, after
/// which bound that is a fault, and the way out. docs/design/runs.md has the table.
namespace tulip::scheduler {

struct SchedulerState;
struct WorkerRow;

enum class RunWaitKind : std::uint8_t {
  start,    // ordered, and its worker has not shown it at work
  stop,     // told to stop, and its end has not been reported
  release,  // done by the end of another member of its gang, and its own end has not been reported
};

struct RunWait {
  RunWaitKind kind = RunWaitKind::start;
  Millis sinceMs = 0;
  bool overdue = false;  // past its bound, and told of
};

using RunWaits = std::map<AttemptId, RunWait>;

/// How long a run may wait: three times what makes a silent worker lost (its own silence, and that of an agent that
/// restarted just before it would have said so), and the time to deliver and carry out a stop.
Millis runWaitBoundMs(const Bounds& bounds, std::int64_t lostAfterLeases);

std::string_view waitName(RunWaitKind kind);

}  // namespace tulip::scheduler
