// One plan: jobs in their order, with capacity reserved for the one that smaller work has kept out for longest.
#include "admission/admission.hpp"

#include <algorithm>
#include <tuple>

#include "admission/planner.hpp"

namespace tulip::admission {

namespace {

/// Whether what must start first of the unit may start: all of it, or a task.
bool mayBegin(const Planner& planner, const Candidate& job, const Unit& unit) {
  if (unit.loads.empty()) return false;
  if (!job.gang && !unit.whole) return planner.tenantAllows(job, {unit.loads.data(), 1});
  const std::vector<placement::Load> needs =
      unit.loads.size() == 1 ? std::vector<placement::Load>(unit.tasks.size(), unit.loads.front()) : unit.loads;
  return planner.tenantAllows(job, needs);
}

std::int64_t slotsOf(const Unit& unit) {
  std::int64_t sum = 0;
  for (std::size_t i = 0; i < unit.tasks.size() && !unit.loads.empty(); ++i)
    sum += unit.loads[unit.loads.size() == 1 ? 0 : i][0];
  return sum;
}

/// A unit of a job, by their places.
struct ReadyUnit {
  std::size_t job = 0;
  std::size_t unit = 0;
};

// The wide unit that has been ready for longest, once that is long enough for a reservation.
std::optional<ReadyUnit> longestWaiting(std::span<const Candidate> jobs, std::span<const std::size_t> ranking,
                                        const config::Admission& rules, const Planner& planner) {
  std::optional<ReadyUnit> longest;
  if (!planner.mayReserve() || rules.without.contains(config::Mechanism::reservation)) return longest;
  const auto key = [&](const Candidate& each) {
    return std::tuple(planner.gaveUp(each), rules.rankFirst ? -each.rank : 0, -each.readyForMs, each.id.view());
  };
  for (const auto at : ranking) {
    const auto& job = jobs[at];
    if (job.readyForMs < rules.reserveAfterMs) continue;
    if (longest && key(job) >= key(jobs[longest->job])) continue;
    for (std::size_t u = 0; u < job.ready.size(); ++u)
      if (planner.wide(job, job.ready[u]) && slotsOf(job.ready[u]) <= planner.quotaLeft(job) &&
          mayBegin(planner, job, job.ready[u])) {
        longest = ReadyUnit{at, u};
        break;
      }
  }
  return longest;
}

}  // namespace

bool withinLimit(const TenantUse& use, std::span<const placement::Load> needs) {
  for (std::size_t kind = 0; kind < placement::kMostKinds; ++kind) {
    const auto limit = use.limit[kind];
    if (limit <= 0) continue;
    std::int64_t wanted = 0, largest = 0;
    for (const auto& need : needs) {
      wanted += need[kind];
      largest = std::max(largest, need[kind]);
    }
    if (wanted == 0 || use.held[kind] + wanted <= limit) continue;
    const bool littleHeld = use.held[kind] * 2 <= limit;
    if (!littleHeld || use.held[kind] + wanted - largest > limit) return false;
  }
  return true;
}

Plan plan(std::span<const Candidate> jobs, Field field, const config::Admission& given,
          std::span<const std::int64_t> sizes) {
  auto rules = given;
  rules.rankFirst = rules.rankFirst || field.rankFirst;
  if (field.mostLoss > 0) rules.mostLoss = field.mostLoss;
  const auto ranking = order(jobs, rules, sizes);
  Planner planner(jobs, std::move(field), rules, ranking);
  const auto place = [&](std::size_t at, const Unit& unit) {
    return jobs[at].gang || unit.whole ? planner.placeWhole(at, unit) : planner.placeEach(at, unit) > 0;
  };
  const auto longest = longestWaiting(jobs, ranking, rules, planner);
  std::optional<std::size_t> reservedFor;
  bool poolIdle = false;
  std::size_t passedOverBefore = 0;
  bool considered = !longest;
  for (const auto at : ranking) {
    const auto& job = jobs[at];
    if (!considered && (!rules.rankFirst || job.rank <= jobs[longest->job].rank)) {
      considered = true;
      const auto& unit = jobs[longest->job].ready[longest->unit];
      const auto count = jobs[longest->job].gang || unit.whole ? unit.tasks.size() : 1;
      if (!unit.tasks.empty() && !place(longest->job, unit) && planner.reserve(unit, count)) {
        reservedFor = longest->job;
        poolIdle = planner.poolIdle(unit);
        passedOverBefore = planner.passedOver();
      }
    }
    for (std::size_t u = 0; u < job.ready.size(); ++u) {
      if (longest && longest->job == at && longest->unit == u) continue;
      place(at, job.ready[u]);
    }
  }
  const bool heldBack = reservedFor && planner.passedOver() > passedOverBefore;
  auto made = planner.finish();
  made.reservedFor = reservedFor;
  made.heldBack = heldBack;
  made.heldBackInIdlePool = heldBack && poolIdle;
  return made;
}

}  // namespace tulip::admission
