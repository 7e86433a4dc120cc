#include "scheduler/job_memory.hpp"

#include "scheduler/internal.hpp"

namespace tulip::scheduler {

namespace {

constexpr std::size_t kTextCopies = 4;  // as read, as stored here, and at a replica and on its way there
constexpr std::size_t kJobCopies = 2;   // as it is, and as committed
constexpr std::size_t kJobBytes = sizeof(Job) + 512;
constexpr std::size_t kSpecBytes = sizeof(Spec) + 512;
constexpr std::size_t kStepBytes = sizeof(Step) + 256;
constexpr std::size_t kNewcomerPart = 8;  // of what is free, that one job may take

}  // namespace

std::size_t acceptedBytes(const Spec& spec) {
  std::size_t textBytes = spec.payload.size();
  for (const auto& step : spec.steps) textBytes += step.payload.size() + step.name.size();
  return kJobCopies * kJobBytes + kSpecBytes + spec.steps.size() * kStepBytes + kTextCopies * textBytes;
}

bool bears(const SchedulerState& scheduler, const Spec& spec) {
  const auto most = jobBytes(scheduler.client.settings.limits);
  const auto free = most - std::min(most, scheduler.openJobBytes);
  return acceptedBytes(spec) <= free / kNewcomerPart;
}

}  // namespace tulip::scheduler
