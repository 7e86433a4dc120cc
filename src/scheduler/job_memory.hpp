#pragma once
/// What the open jobs hold of a scheduler's memory, and whether it bears one more. A large job is refused while much is
/// still free, so that small ones go on being taken.
#include "scheduler/scheduler.hpp"

namespace tulip::scheduler {

/// What an accepted job holds beside what runs of it, which the workers' capacity bounds.
std::size_t acceptedBytes(const Spec& spec);
/// Whether one more job can be accepted.
bool bears(const SchedulerState& scheduler, const Spec& spec);

}  // namespace tulip::scheduler
