#include "model/search.hpp"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <deque>

#include "model/fingerprint.hpp"

namespace tulip::model {
namespace {

struct Spent {
  int losses = 0;
  int messageFaults = 0;
  int orders = 0;
  int spans = 0;
  bool operator==(const Spent&) const = default;
};

constexpr std::size_t kNoParent = static_cast<std::size_t>(-1);

struct Visited {
  std::size_t parent = kNoParent;
  Choice choice;
};

struct Open {
  World world;
  Spent spent;
  std::size_t index = 0;
  int depth = 0;
};

// Heartbeats and grants arrive with the time that passes; everything else is
// explored message by message.
bool isExplored(const InFlight& flight) {
  const auto kind = kindOf(*flight.message);
  return !kind.ends_with("Heartbeat") && kind != "SessionGrant" && kind != "Referral" &&
         !kind.starts_with("Incarnation") && !kind.starts_with("JobLog");
}

class Search {
 public:
  explicit Search(const SearchPlan& plan) : plan_(plan) {}

  SearchResult run(const World& from) {
    visit(from, {}, kNoParent, {}, 0);
    while (!open_.empty() && result_.failure.violations.empty()) {
      const Open next = std::move(open_.front());
      open_.pop_front();
      expand(next);
    }
    result_.states = visited_.size();
    return std::move(result_);
  }

 private:
  void expand(const Open& from) {
    if (from.depth >= plan_.depth) {
      result_.exhausted = false;
      return;
    }
    for (const auto& choice : choicesOf(from)) {
      if (!result_.failure.violations.empty()) return;
      if (visited_.size() >= plan_.states) {
        result_.exhausted = false;
        return;
      }
      World world = from.world;
      if (!world.apply(choice)) continue;
      ++result_.transitions;
      visit(std::move(world), spend(from.spent, choice), from.index, choice, from.depth + 1);
    }
  }

  void visit(World world, const Spent& spent, std::size_t parent, const Choice& choice, int depth) {
    const auto fingerprint = fingerprintOf(world) ^ spentHash(spent);
    if (!seen_.insert(fingerprint).second) return;
    visited_.push_back({parent, choice});
    result_.depth = std::max(result_.depth, depth);
    const auto index = visited_.size() - 1;
    auto violations = world.history().violations;
    if (violations.empty() && fingerprint % plan_.progressEvery == 0) {
      ++result_.progressChecks;
      violations = checkProgress(world);
    }
    if (!violations.empty()) {
      result_.failure = {pathTo(index), std::move(violations)};
      return;
    }
    open_.push_back({std::move(world), spent, index, depth});
  }

  static std::uint64_t spentHash(const Spent& spent) {
    std::uint64_t hash = 0;
    for (const int each : {spent.losses, spent.messageFaults, spent.orders, spent.spans})
      hash = (hash + static_cast<std::uint64_t>(each) + 1) * 0x9e3779b97f4a7c15ull;
    return hash;
  }

  static Spent spend(Spent spent, const Choice& choice) {
    switch (choice.action) {
      case Action::drop:
      case Action::duplicate:
      case Action::delay:
        ++spent.messageFaults;
        break;
      case Action::kill:
      case Action::losePower:
      case Action::wipe:
      case Action::replace:
        ++spent.losses;
        break;
      case Action::order:
        ++spent.orders;
        break;
      case Action::run:
        ++spent.spans;
        break;
      default:
        break;
    }
    return spent;
  }

  std::vector<Choice> choicesOf(const Open& from) const {
    std::vector<Choice> choices;
    addOrders(from, choices);
    addFlights(from, choices);
    for (const auto& machine : from.world.machines()) addMachine(from, machine, choices);
    if (from.spent.spans < plan_.spans)
      for (const Millis spanMs : {from.world.plan().bounds.heartbeatMs(), from.world.plan().bounds.catchUpMs + 1000})
        choices.push_back({Action::run, {}, {}, {}, spanMs});
    return choices;
  }

  // Two operators bring different changes under one number, each to its own
  // scheduler.
  void addOrders(const Open& from, std::vector<Choice>& choices) const {
    if (from.spent.orders >= plan_.orders) return;
    const auto order = kOrdersPerNumber + from.spent.orders;
    choices.push_back({Action::order, from.spent.orders % 2 == 0 ? "s1" : "s2", {}, {}, order});
  }

  void addFlights(const Open& from, std::vector<Choice>& choices) const {
    for (const auto& flight : from.world.inFlight()) {
      const auto* to = from.world.at(flight.to);
      if (!to || !isExplored(flight)) continue;
      const Choice deliver{Action::deliver, from.world.machines()[flight.from].name, to->name,
                           std::string(kindOf(*flight.message)), 0};
      if (std::find(choices.begin(), choices.end(), deliver) != choices.end()) continue;
      choices.push_back(deliver);
      if (from.spent.messageFaults >= plan_.messageFaults) continue;
      for (const auto action : {Action::drop, Action::duplicate, Action::delay}) {
        choices.push_back(deliver);
        choices.back().action = action;
      }
    }
  }

  void addMachine(const Open& from, const Machine& machine, std::vector<Choice>& choices) const {
    if (!machine.unsynced.empty()) choices.push_back({Action::sync, machine.name, {}, {}, 0});
    if (!machine.node) {
      choices.push_back({Action::start, machine.name, {}, std::string(kClockLower), 0});
      if (machine.powerLost) choices.push_back({Action::start, machine.name, {}, std::string(kClockHigher), 0});
    }
    if (from.spent.losses >= plan_.losses) return;
    for (const auto action : {Action::kill, Action::losePower, Action::wipe, Action::replace})
      if (machine.isReplica() || action == Action::kill) choices.push_back({action, machine.name, {}, {}, 0});
  }

  Path pathTo(std::size_t index) const {
    Path path;
    for (; visited_[index].parent != kNoParent; index = visited_[index].parent) path.push_back(visited_[index].choice);
    std::reverse(path.begin(), path.end());
    return path;
  }

  SearchPlan plan_;
  SearchResult result_;
  absl::flat_hash_set<std::uint64_t> seen_;
  std::vector<Visited> visited_;
  std::deque<Open> open_;
};

}  // namespace

SearchResult runSearch(const World& from, const SearchPlan& plan) { return Search(plan).run(from); }

}  // namespace tulip::model
