#include "model/walk.hpp"

#include <algorithm>
#include <random>

namespace tulip::model {
namespace {

constexpr Millis kFormMs = 8000;

class Walker {
 public:
  Walker(World world, std::uint64_t seed) : world_(std::move(world)), random_(seed) {}

  PathResult walk(int choices) {
    PathResult result;
    for (int i = 0; i < choices && world_.history().violations.empty(); ++i) {
      const auto choice = draw();
      if (world_.apply(choice)) result.taken.push_back(choice);
    }
    result.violations = world_.history().violations;
    if (result.violations.empty()) result.violations = checkProgress(world_);
    return result;
  }

 private:
  struct Weight {
    int weight;
    Choice (Walker::*draw)();
  };

  std::size_t below(std::size_t bound) { return bound < 2 ? 0 : static_cast<std::size_t>(random_() % bound); }

  // Messages and time are drawn most; faults seldom, so that what one breaks
  // has the time to matter.
  Choice draw() {
    static constexpr Weight kWeights[] = {{30, &Walker::drawFlight}, {20, &Walker::drawRun}, {6, &Walker::drawAdvance},
                                          {8, &Walker::drawOrder},   {8, &Walker::drawEnd},  {10, &Walker::drawStart},
                                          {4, &Walker::drawCut},     {2, &Walker::drawHeal}, {3, &Walker::drawDisk},
                                          {4, &Walker::drawEmpty}};
    int total = 0;
    for (const auto& each : kWeights) total += each.weight;
    auto at = static_cast<int>(below(static_cast<std::size_t>(total)));
    for (const auto& each : kWeights) {
      if (at < each.weight) return (this->*each.draw)();
      at -= each.weight;
    }
    return drawRun();
  }

  const Machine& anyMachine() { return world_.machines()[below(world_.machines().size())]; }

  // Of what steers the cluster; heartbeats are drawn only now and then.
  Choice drawFlight() {
    std::vector<const InFlight*> wanted;
    for (const auto& flight : world_.inFlight()) {
      const auto kind = kindOf(*flight.message);
      const bool background = kind.ends_with("Heartbeat") || kind == "SessionGrant" || kind.starts_with("Incarnation");
      if (!background || below(8) == 0) wanted.push_back(&flight);
    }
    if (wanted.empty()) return drawRun();
    const auto& flight = *wanted[below(wanted.size())];
    const auto* to = world_.at(flight.to);
    if (!to) return drawRun();
    constexpr Action kActions[] = {Action::deliver, Action::deliver,   Action::deliver, Action::deliver,
                                   Action::drop,    Action::duplicate, Action::delay};
    return {kActions[below(std::size(kActions))], world_.machines()[flight.from].name, to->name,
            std::string(kindOf(*flight.message)), 0};
  }

  Choice drawRun() {
    constexpr Millis kSpans[] = {5, 5, 10, 20, 50, 100, 300, 1000, 2500, 5000};
    return {Action::run, {}, {}, {}, kSpans[below(std::size(kSpans))]};
  }

  Choice drawAdvance() {
    constexpr Millis kSpans[] = {20, 100, 200, 600, 1100};
    return {Action::advance, {}, {}, {}, kSpans[below(std::size(kSpans))]};
  }

  // A new order on top of the newest one, its twin, or one that was sent
  // before.
  Choice drawOrder() {
    const auto& history = world_.history();
    const auto newest = history.inForce.empty() ? -1 : history.inForce.rbegin()->second.order;
    const auto number = newest < 0 ? 0 : static_cast<std::int64_t>(orderOf(newest).number);
    auto order = number * kOrdersPerNumber + static_cast<std::int64_t>(below(kOrdersPerNumber - 1));
    if (!history.orders.empty() && below(3) == 0) order = history.orders.rbegin()->first;
    return {Action::order, anyMachine().name, {}, {}, order};
  }

  Choice drawEnd() {
    const auto action = below(3) == 0 ? Action::kill : Action::losePower;
    if (below(8) == 0) return {action, std::string(kAllNodes), {}, {}, 0};
    if (below(8) == 0) return {Action::stop, anyMachine().name, {}, {}, 0};
    return {action, anyMachine().name, {}, {}, 0};
  }

  Choice drawStart() {
    const auto clock = std::string(below(2) == 0 ? kClockLower : kClockHigher);
    if (below(3) == 0) return {Action::start, std::string(kAllNodes), {}, clock, 0};
    return {Action::start, anyMachine().name, {}, clock, 0};
  }

  Choice drawCut() {
    const auto& from = anyMachine();
    const auto& to = anyMachine();
    return {Action::cut, from.name, below(2) == 0 || &from == &to ? std::string() : to.name, {}, 0};
  }

  Choice drawHeal() { return {Action::heal, {}, {}, {}, 0}; }

  Choice drawDisk() { return {below(6) == 0 ? Action::failSync : Action::sync, anyMachine().name, {}, {}, 0}; }

  Choice drawEmpty() { return {below(2) == 0 ? Action::wipe : Action::replace, anyMachine().name, {}, {}, 0}; }

  World world_;
  std::mt19937_64 random_;
};

bool breaks(const PathResult& result, std::string_view property) {
  return std::any_of(result.violations.begin(), result.violations.end(),
                     [&](const Violation& each) { return each.property == property; });
}

// Leaves out runs of choices, the longest first.
bool leaveOut(const World& from, Path& path, std::string_view property) {
  for (auto length = std::max<std::size_t>(1, path.size() / 2); length > 0; length /= 2)
    for (std::size_t at = 0; at + length <= path.size(); ++at) {
      Path shorter(path.begin(), path.begin() + static_cast<std::ptrdiff_t>(at));
      shorter.insert(shorter.end(), path.begin() + static_cast<std::ptrdiff_t>(at + length), path.end());
      if (!breaks(takePath(from, shorter), property)) continue;
      path = std::move(shorter);
      return true;
    }
  return false;
}

bool shortenSpan(const World& from, Path& path, std::string_view property) {
  constexpr Millis kLeastSpanMs = 10;
  for (auto& choice : path) {
    const bool span = choice.action == Action::run || choice.action == Action::advance;
    if (!span || choice.amount < 2 * kLeastSpanMs) continue;
    const auto before = choice.amount;
    choice.amount = before / 2 / kLeastSpanMs * kLeastSpanMs;
    if (breaks(takePath(from, path), property)) return true;
    choice.amount = before;
  }
  return false;
}

}  // namespace

World formedWorld(const WorldPlan& plan) {
  World world(plan);
  world.run(kFormMs);
  return world;
}

World settledWorld(const WorldPlan& plan) {
  auto world = formedWorld(plan);
  world.apply({Action::order, "s1", {}, {}, 0});
  world.run(kFormMs);
  return world;
}

PathResult takePath(World world, const Path& path) {
  PathResult result;
  for (const auto& choice : path) {
    if (!world.apply(choice)) continue;
    result.taken.push_back(choice);
    if (!world.history().violations.empty()) break;
  }
  result.violations = world.history().violations;
  if (result.violations.empty()) result.violations = checkProgress(std::move(world));
  return result;
}

WalkResult runWalks(const World& from, const WalkPlan& plan) {
  WalkResult result;
  for (int i = 0; i < plan.walks; ++i) {
    const auto seed = plan.seed + static_cast<std::uint64_t>(i);
    auto walked = Walker(from, seed).walk(plan.choices);
    ++result.walks;
    result.choices += walked.taken.size();
    if (walked.violations.empty()) continue;
    result.failingSeed = seed;
    result.failure = std::move(walked);
    break;
  }
  return result;
}

Path shrink(const World& from, const Path& path, std::string_view property) {
  Path shorter = path;
  while (leaveOut(from, shorter, property) || shortenSpan(from, shorter, property)) {
  }
  return shorter;
}

}  // namespace tulip::model
