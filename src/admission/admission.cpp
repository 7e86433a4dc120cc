#include "admission/admission.hpp"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <limits>
#include <numeric>
#include <tuple>

namespace tulip::admission {

namespace {

constexpr std::size_t kFewestSizes = 16;

std::int64_t laneOf(const Counters& counters, const chart::Admission& rules) {
  return std::min(counters.lane, rules.lanes - 1);
}

std::int64_t slotsOf(std::span<const berth::Need> needs) {
  std::int64_t sum = 0;
  for (const auto& need : needs) sum += need.room.slots;
  return sum;
}

struct Planner {
  std::span<const Candidate> jobs;
  Field field;
  const chart::Admission& rules;
  std::vector<berth::Room> coming;
  std::vector<std::vector<bool>> stopped;
  std::vector<std::size_t> lowestFirst;
  absl::flat_hash_set<std::string> hopeless;
  Plan out;

  std::string shapeOf(std::size_t at, std::span<const berth::Need> needs) const {
    std::string shape = std::to_string(laneOf(jobs[at].counters, rules));
    for (const auto& need : needs) {
      shape += '/' + std::to_string(need.room.slots);
      for (const auto& [name, amount] : need.room.more) shape += ',' + name + '=' + std::to_string(amount);
      for (const auto& [name, value] : need.labels) shape += ';' + name + '=' + value;
    }
    return shape;
  }

  bool withinQuota(const Candidate& job, std::int64_t slots) const {
    auto quota = field.quotaSlots.find(job.pending);
    if (quota == field.quotaSlots.end() || quota->second == 0) return true;
    auto held = field.heldSlots.find(job.pending);
    return (held == field.heldSlots.end() ? 0 : held->second) + slots <= quota->second;
  }

  std::vector<berth::Room> withComing() const {
    auto sum = field.free;
    for (std::size_t i = 0; i < sum.size(); ++i) berth::add(sum[i], coming[i]);
    return sum;
  }

  void claim(std::span<const berth::Need> needs, const berth::Match& match) {
    for (std::size_t i = 0; i < needs.size(); ++i) {
      auto& free = field.free[match[i]];
      auto& soon = coming[match[i]];
      auto part = [](std::int64_t& fromFree, std::int64_t& fromSoon, std::int64_t amount) {
        const auto first = std::min(std::max<std::int64_t>(fromFree, 0), amount);
        fromFree -= first;
        fromSoon -= amount - first;
      };
      part(free.slots, soon.slots, needs[i].room.slots);
      for (const auto& [name, amount] : needs[i].room.more) part(free.more[name], soon.more[name], amount);
    }
  }

  std::vector<std::vector<Stop>> victimUnits(std::size_t lane) const {
    std::vector<std::vector<Stop>> units;
    for (const auto at : lowestFirst) {
      const auto& job = jobs[at];
      if (laneOf(job.counters, rules) <= static_cast<std::int64_t>(lane)) continue;
      if (job.counters.preemptions >= rules.mostPushes) continue;
      std::vector<Stop> whole;
      for (std::size_t r = job.runs.size(); r-- > 0;) {
        if (job.runs[r].stopping || stopped[at][r]) continue;
        if (job.gang) whole.push_back({at, r});
        else units.push_back({{at, r}});
      }
      if (!whole.empty()) units.push_back(std::move(whole));
    }
    return units;
  }

  void yieldRoom(std::vector<berth::Room>& rooms, std::span<const Stop> unit) const {
    for (const auto& stop : unit) {
      const auto& run = jobs[stop.job].runs[stop.task];
      berth::add(rooms[run.berth], run.room);
    }
  }

  bool preempt(std::span<const berth::Need> needs, std::size_t lane) {
    if (rules.rule == chart::Rule::fifo) return false;
    const auto units = victimUnits(lane);
    if (units.empty()) return false;
    auto base = withComing();
    std::vector<std::size_t> chosen;
    auto works = [&](const std::vector<std::size_t>& picks) {
      auto rooms = base;
      for (auto pick : picks) yieldRoom(rooms, units[pick]);
      return berth::match(needs, field.berths, rooms, rules.layout).has_value();
    };
    bool enough = false;
    for (std::size_t u = 0; u < units.size() && !enough; ++u) {
      const bool usable = std::any_of(units[u].begin(), units[u].end(), [&](const Stop& stop) {
        const auto& berth = field.berths[jobs[stop.job].runs[stop.task].berth];
        return std::any_of(needs.begin(), needs.end(), [&](const auto& need) { return berth::suits(need, berth); });
      });
      if (!usable) continue;
      chosen.push_back(u);
      enough = works(chosen);
    }
    if (!enough) return false;
    for (std::size_t i = chosen.size(); i-- > 0;) {
      auto fewer = chosen;
      fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(i));
      if (works(fewer)) chosen = std::move(fewer);
    }
    for (auto pick : chosen) {
      yieldRoom(coming, units[pick]);
      for (const auto& stop : units[pick]) {
        stopped[stop.job][stop.task] = true;
        out.stops.push_back({stop.job, jobs[stop.job].runs[stop.task].task});
      }
    }
    auto rooms = withComing();
    claim(needs, *berth::match(needs, field.berths, rooms, rules.layout));
    return true;
  }

  bool reserve(std::span<const berth::Need> needs) {
    std::vector<berth::Room> whole;
    for (const auto& berth : field.berths) whole.push_back(berth.total);
    auto biased = field.berths;
    const auto sum = withComing();
    for (std::size_t i = 0; i < biased.size(); ++i) biased[i].doubt = static_cast<int>(whole[i].slots - sum[i].slots);
    const auto match = berth::match(needs, biased, whole, rules.layout);
    if (!match) return false;
    claim(needs, *match);
    return true;
  }

  bool place(std::size_t at, std::span<const berth::Need> needs) {
    const auto& job = jobs[at];
    const auto slots = slotsOf(needs);
    if (!withinQuota(job, slots)) return false;
    auto shape = shapeOf(at, needs);
    if (hopeless.contains(shape)) {
      ++out.passedOver;
      return false;
    }
    ++out.tries;
    if (auto match = berth::match(needs, field.berths, field.free, rules.layout)) {
      for (std::size_t i = 0; i < needs.size(); ++i) out.starts.push_back({at, needs[i].task, (*match)[i]});
      field.heldSlots[job.pending] += slots;
      return true;
    }
    auto soon = withComing();
    if (auto match = berth::match(needs, field.berths, soon, rules.layout)) {
      claim(needs, *match);
      field.heldSlots[job.pending] += slots;
      return true;
    }
    if (preempt(needs, static_cast<std::size_t>(laneOf(job.counters, rules)))) {
      hopeless.clear();
      field.heldSlots[job.pending] += slots;
      return true;
    }
    ++out.passedOver;
    hopeless.insert(std::move(shape));
    return false;
  }
};

}  // namespace

void accrue(Counters& counters, std::int64_t heldSlots, bool waiting, Millis spanMs) {
  if (spanMs <= 0) return;
  if (heldSlots > 0) {
    counters.servedMs += heldSlots * spanMs;
    counters.totalServedMs += heldSlots * spanMs;
    counters.ranMs += spanMs;
    counters.waitMs = 0;
  } else if (waiting) {
    counters.waitMs += spanMs;
  }
}

bool settle(Counters& counters, const chart::Admission& rules, bool holds) {
  const auto before = counters.lane;
  counters.lane = std::min(counters.lane, rules.lanes - 1);
  while (counters.lane < rules.lanes - 1 && counters.servedMs >= rules.thresholdsMs[static_cast<std::size_t>(counters.lane)])
    ++counters.lane;
  if (rules.promoteKnob && counters.lane > 0 && !holds && counters.ranMs > 0 &&
      static_cast<double>(counters.waitMs) >= *rules.promoteKnob * static_cast<double>(counters.ranMs)) {
    counters.lane = 0;
    counters.servedMs = counters.ranMs = counters.waitMs = 0;
    ++counters.promotions;
  }
  return counters.lane != before;
}

double gittinsIndex(std::int64_t servedMs, std::span<const std::int64_t> sizes, std::int64_t quantumMs) {
  double done = 0, spent = 0;
  for (const auto size : sizes) {
    if (size <= servedMs) continue;
    const auto left = size - servedMs;
    done += left <= quantumMs;
    spent += static_cast<double>(std::min(left, quantumMs));
  }
  return spent > 0 ? done / spent : 0;
}

std::vector<std::size_t> order(std::span<const Candidate> jobs, const chart::Admission& rules, std::span<const std::int64_t> sizes) {
  std::vector<std::size_t> ranking(jobs.size());
  std::iota(ranking.begin(), ranking.end(), 0);
  const bool byIndex = rules.rule == chart::Rule::gittins && sizes.size() >= kFewestSizes;
  std::vector<double> index(jobs.size(), 0);
  if (byIndex)
    for (std::size_t i = 0; i < jobs.size(); ++i) {
      const auto lane = laneOf(jobs[i].counters, rules);
      if (lane < rules.lanes - 1)
        index[i] = gittinsIndex(jobs[i].counters.servedMs, sizes, rules.thresholdsMs[static_cast<std::size_t>(lane)]);
    }
  std::sort(ranking.begin(), ranking.end(), [&](std::size_t a, std::size_t b) {
    const auto &x = jobs[a], &y = jobs[b];
    if (rules.rule == chart::Rule::fifo) return std::tie(x.acceptedMs, x.id) < std::tie(y.acceptedMs, y.id);
    auto key = [&](const Candidate& job, std::size_t at) {
      const bool fresh = job.counters.firstStartMs < 0;
      return std::tuple(laneOf(job.counters, rules), -index[at], fresh, fresh ? 0 : job.counters.firstStartMs, -job.rank, job.acceptedMs);
    };
    const auto kx = key(x, a), ky = key(y, b);
    return kx != ky ? kx < ky : x.id < y.id;
  });
  return ranking;
}

Plan plan(std::span<const Candidate> jobs, Field field, const chart::Admission& rules, std::span<const std::int64_t> sizes) {
  auto ranking = order(jobs, rules, sizes);
  Planner planner{jobs, std::move(field), rules, {}, {}, {}, {}, {}};
  planner.coming.resize(planner.field.berths.size());
  planner.stopped.resize(jobs.size());
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    planner.stopped[i].resize(jobs[i].runs.size());
    for (const auto& run : jobs[i].runs)
      if (run.stopping && run.berth < planner.coming.size()) berth::add(planner.coming[run.berth], run.room);
  }
  for (auto at = ranking.rbegin(); at != ranking.rend(); ++at)
    if (!jobs[*at].runs.empty()) planner.lowestFirst.push_back(*at);
  std::optional<std::size_t> longest;
  for (const auto at : ranking) {
    const auto& job = jobs[at];
    if (!job.gang || job.ready.empty() || job.readyForMs < rules.reserveAfterMs) continue;
    if (!planner.withinQuota(job, slotsOf(job.ready))) continue;
    if (!longest || std::tuple(-job.readyForMs, job.id) < std::tuple(-jobs[*longest].readyForMs, jobs[*longest].id)) longest = at;
  }
  if (longest && !planner.place(*longest, jobs[*longest].ready) && planner.reserve(jobs[*longest].ready))
    planner.out.reservedFor = longest;
  for (const auto at : ranking) {
    const auto& job = jobs[at];
    if (job.ready.empty() || (longest && *longest == at)) continue;
    if (job.gang) planner.place(at, job.ready);
    else
      for (const auto& need : job.ready) planner.place(at, std::span(&need, 1));
  }
  return std::move(planner.out);
}

}  // namespace tulip::admission
