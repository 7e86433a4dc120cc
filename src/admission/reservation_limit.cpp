#include "admission/reservation_limit.hpp"

#include <algorithm>

namespace tulip::admission {

namespace {

constexpr std::int64_t kMostDoublings = 3;  // of the pause

constexpr Millis kMostIdleMs = 1500;  // half of what ready work may be left waiting beside idle workers

Millis mostKeptMs(const config::Admission& rules) { return rules.reserveAfterMs * 8; }

void endWindow(ReservationLimit& limit) {
  limit.idleMs = limit.keptMs = 0;
  limit.notedMs = -1;
}

void pause(ReservationLimit& limit, const JobId& job, const config::Admission& rules, Millis nowMs) {
  const auto doublings = std::min(limit.failures, kMostDoublings);
  limit.pausedUntilMs = nowMs + (rules.reserveAfterMs << doublings);
  ++limit.failures;
  limit.gaveUp = job;
  endWindow(limit);
}

void noteStarts(ReservationLimit& limit, std::span<const Candidate> jobs, const Plan& plan) {
  if (limit.gaveUp.empty()) return;
  const bool begun =
      std::ranges::any_of(plan.starts, [&](const auto& start) { return jobs[start.job].id == limit.gaveUp; });
  if (!begun) return;
  limit.failures = 0;
  limit.gaveUp = JobId();
}

}  // namespace

bool mayReserve(const ReservationLimit& limit, Millis nowMs) { return nowMs >= limit.pausedUntilMs; }

bool notePlan(ReservationLimit& limit, std::span<const Candidate> jobs, const Plan& plan,
              const config::Admission& rules, Millis nowMs) {
  noteStarts(limit, jobs, plan);
  if (!plan.reservedFor) {
    endWindow(limit);
    if (mayReserve(limit, nowMs)) limit.failures = 0;  // nobody waits for it any more
    return false;
  }
  if (limit.notedMs >= 0) {
    const auto spanMs = nowMs - limit.notedMs;
    limit.keptMs = plan.heldBack ? limit.keptMs + spanMs : 0;
    limit.idleMs = plan.heldBackInIdlePool ? limit.idleMs + spanMs : 0;
  }
  limit.notedMs = nowMs;
  if (limit.idleMs < kMostIdleMs && limit.keptMs < mostKeptMs(rules)) return false;
  pause(limit, jobs[*plan.reservedFor].id, rules, nowMs);
  return true;
}

}  // namespace tulip::admission
