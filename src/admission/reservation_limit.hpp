#pragma once
/// How long capacity may be kept for a unit that has not come together, and
/// when it may be kept again. One limit holds for all units: where one gives
/// up, the next in line doesn't keep the same capacity at once.
#include "admission/admission.hpp"

namespace tulip::admission {

struct ReservationLimit {
  Millis idleMs = 0;    // for which other work was held back without a pause, most of the pool being idle
  Millis keptMs = 0;    // for which other work was held back without a pause
  Millis notedMs = -1;  // of the last plan that kept capacity; -1: the last one kept none
  Millis pausedUntilMs = 0;
  std::int64_t failures = 0;  // windows that ended in vain, since one brought a unit to its start
  JobId gaveUp;               // whose window was the last that ended in vain; others go first
};

bool mayReserve(const ReservationLimit& limit, Millis nowMs);

/// Takes note of a plan: what it kept counts against the limit. True if a window has ended by that, in vain; a pause
/// begins.
bool notePlan(ReservationLimit& limit, std::span<const Candidate> jobs, const Plan& plan,
              const config::Admission& rules, Millis nowMs);

}  // namespace tulip::admission
