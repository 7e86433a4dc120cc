#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <filesystem>

#include "model/fingerprint.hpp"
#include "model/replays.hpp"
#include "model/search.hpp"

using namespace tulip;
using namespace tulip::model;

namespace {

WorldPlan planOf(int spares) {
  auto plan = usualPlan();
  plan.spares = spares;
  return plan;
}

Choice choiceOf(const char* line) {
  const auto choice = parseChoice(line);
  CHECK_TEXT(choice.has_value(), line);
  return *choice;
}

std::string described(const PathResult& result) {
  std::string text;
  for (const auto& violation : result.violations) text += violation.property + ": " + violation.detail + "\n";
  for (const auto& choice : result.taken) text += textOf(choice) + "\n";
  return text;
}

void checkHolds(const PathResult& result) {
  const auto text = described(result);
  CHECK_TEXT(result.violations.empty(), text.c_str());
}

bool breaks(const std::vector<Violation>& violations, std::string_view property) {
  return std::any_of(violations.begin(), violations.end(),
                     [&](const Violation& each) { return each.property == property; });
}

}  // namespace

TEST_GROUP(model){};

TEST(model, a_choice_is_read_back_as_it_was_written) {
  for (const auto* line : {"run 300",
                           "advance 20",
                           "deliver s1 r2 RegisterPrepare",
                           "drop r1 s1 AckState",
                           "duplicate r1 s1 AckState",
                           "delay r3 s2 SessionGrant",
                           "sync r1",
                           "fail-sync r1",
                           "kill s1",
                           "lose-power all",
                           "start r1",
                           "start r1 lower",
                           "start all higher",
                           "wipe r1",
                           "replace r2",
                           "cut r1",
                           "cut r1 r2",
                           "heal",
                           "order s1 4",
                           "stop s2"})
    STRCMP_EQUAL(line, textOf(choiceOf(line)).c_str());
}

TEST(model, what_is_no_choice_is_not_read) {
  for (const auto* line :
       {"", "run", "run -1", "run x", "order s1", "deliver s1 r2", "start r1 sideways", "explode r1", "heal r1"})
    CHECK_TEXT(!parseChoice(line).has_value(), line);
  std::size_t badLine = 0;
  CHECK_FALSE(parseReplay("# a path\nworld spares=0 formed\nrun 5\n\nrun five\n", badLine).has_value());
  LONGS_EQUAL(5, badLine);
  CHECK_FALSE(parseReplay("world spares=many\n", badLine).has_value());
  LONGS_EQUAL(1, badLine);
}

TEST(model, a_replay_is_read_back_as_it_was_written) {
  const std::string text = "world spares=0 formed\norder s1 0\nrun 60\n";
  std::size_t badLine = 0;
  const auto replay = parseReplay(text, badLine);
  CHECK(replay.has_value());
  STRCMP_EQUAL(text.c_str(), textOf(*replay).c_str());
}

TEST(model, a_settled_world_serves) {
  for (const int spares : {0, 1}) {
    const auto world = settledWorld(planOf(spares));
    CHECK(world.history().recordOf(0)->acknowledged);
    checkHolds({{}, checkProgress(world)});
  }
}

TEST(model, the_same_choices_lead_to_the_same_state) {
  const auto from = settledWorld(planOf(1));
  auto one = from;
  auto other = from;
  for (auto* world : {&one, &other})
    for (const auto* line : {"order s1 4", "run 20", "kill r1", "run 300"}) CHECK(world->apply(choiceOf(line)));
  CHECK_EQUAL(fingerprintOf(one), fingerprintOf(other));
  CHECK(fingerprintOf(one) != fingerprintOf(from));
}

TEST(model, a_copy_of_a_world_is_left_alone) {
  const auto from = settledWorld(planOf(0));
  const auto before = fingerprintOf(from);
  auto copy = from;
  for (const auto* line : {"order s1 4", "run 100", "lose-power all", "start all higher", "run 3000"})
    CHECK(copy.apply(choiceOf(line)));
  CHECK_EQUAL(before, fingerprintOf(from));
}

// The replica that grants s1's session is handed its order, and asks the other two.
TEST(model, messages_to_different_nodes_commute) {
  auto from = settledWorld(planOf(0));
  CHECK(from.apply(choiceOf("order s1 4")));
  std::string home;
  std::vector<std::string> others;
  for (const std::string replica : {"r1", "r2", "r3"}) {
    auto asked = from;
    if (home.empty() && asked.apply(choiceOf(("deliver s1 " + replica + " EditAsk").c_str()))) {
      home = replica;
      from = asked;
    } else {
      others.push_back(replica);
    }
  }
  LONGS_EQUAL(2, others.size());
  // The replica that grants the session hands the edit to the one that proposes for all.
  for (auto& other : others) {
    auto asked = from;
    if (!asked.apply(choiceOf(("deliver " + home + " " + other + " EditAsk").c_str()))) continue;
    std::swap(home, other);
    from = asked;
    break;
  }
  const auto toFirst = "deliver " + home + " " + others.front() + " RegisterPrepare";
  const auto toSecond = "deliver " + home + " " + others.back() + " RegisterPrepare";
  auto one = from;
  auto other = from;
  CHECK(one.apply(choiceOf(toFirst.c_str())));
  CHECK(one.apply(choiceOf(toSecond.c_str())));
  CHECK(other.apply(choiceOf(toSecond.c_str())));
  CHECK(other.apply(choiceOf(toFirst.c_str())));
  CHECK_EQUAL(fingerprintOf(one), fingerprintOf(other));
}

TEST(model, no_more_is_lost_at_once_than_the_plan_bears) {
  auto world = settledWorld(planOf(0));
  CHECK(world.apply(choiceOf("kill r1")));
  CHECK_FALSE(world.apply(choiceOf("kill r2")));
  CHECK_FALSE(world.apply(choiceOf("replace r2")));
  CHECK(world.apply(choiceOf("start r1")));
  CHECK_FALSE(world.apply(choiceOf("wipe r2")));
  CHECK(world.apply(choiceOf("run 5000")));
  CHECK(world.apply(choiceOf("replace r2")));
  CHECK_FALSE(world.apply(choiceOf("replace r3")));
}

TEST(model, all_may_lose_power_at_once_and_one_of_them_its_disk) {
  auto world = settledWorld(planOf(0));
  CHECK(world.apply(choiceOf("lose-power all")));
  CHECK(world.apply(choiceOf("wipe r1")));
  CHECK_FALSE(world.apply(choiceOf("wipe r2")));
}

TEST(model, a_configuration_that_replaces_an_acknowledged_one_is_seen) {
  auto world = settledWorld(planOf(0));
  world.history().inForce.begin()->second.textHash += 1;
  CHECK(world.apply(choiceOf("run 100")));
  CHECK(breaks(world.history().violations, property::kOneConfiguration));
}

TEST(model, a_session_on_an_older_configuration_than_was_acknowledged_is_seen) {
  auto world = settledWorld(planOf(0));
  world.history().acknowledgedVersion += 1;
  CHECK(world.apply(choiceOf("run 100")));
  CHECK(breaks(world.history().violations, property::kFresh));
  CHECK(breaks(world.history().violations, property::kKnowledge));
}

TEST(model, a_refused_order_that_comes_into_force_is_seen) {
  auto world = settledWorld(planOf(0));
  CHECK(world.apply(choiceOf("order s1 4")));
  world.history().orders[4].refused = true;
  CHECK(world.apply(choiceOf("run 500")));
  CHECK(breaks(world.history().violations, property::kRefused));
}

TEST(model, a_cluster_without_a_majority_makes_no_progress) {
  auto plan = planOf(0);
  plan.losses = 3;
  auto world = settledWorld(plan);
  for (const auto* line : {"lose-power all", "wipe r1", "wipe r2"}) CHECK(world.apply(choiceOf(line)));
  CHECK(breaks(checkProgress(world), property::kProgress));
}

// Eight candidates at five voters, whose promises bring a state that takes a fifth of a lease.
TEST(model, after_a_loss_of_power_one_of_many_candidates_leads_within_two_leases_and_keeps_it) {
  auto plan = planOf(0);
  plan.voters = 5;
  plan.losses = 2;
  plan.schedulers = 8;
  plan.stateMs = plan.bounds.leaseMs / 5;
  auto world = settledWorld(plan);
  for (int round = 0; round < 5; ++round) {
    for (const auto* line : {"lose-power all", "start all higher"}) CHECK(world.apply(choiceOf(line)));
    checkHolds({{}, checkRecovery(world)});
    world.run(3000 + 130 * round);
  }
}

TEST(model, when_the_leader_ends_one_of_many_candidates_leads_within_two_leases_and_keeps_it) {
  auto plan = planOf(0);
  plan.schedulers = 8;
  plan.stateMs = plan.bounds.leaseMs / 5;
  auto world = settledWorld(plan);
  for (int round = 0; round < 5; ++round) {
    const auto& machines = world.machines();
    const auto leader = std::find_if(machines.begin(), machines.end(), [&](const Machine& machine) {
      return machine.node && machine.node->scheduler && leads(*machine.node->scheduler, world.clockOf(machine));
    });
    CHECK(leader != machines.end());
    CHECK(world.apply(choiceOf(("kill " + leader->name).c_str())));
    checkHolds({{}, checkRecovery(world)});
    world.apply(choiceOf("start all higher"));
    world.run(3000 + 130 * round);
  }
}

TEST(model, a_cluster_without_a_majority_does_not_recover) {
  auto plan = planOf(0);
  plan.losses = 3;
  auto world = settledWorld(plan);
  for (const auto* line : {"lose-power all", "wipe r1", "wipe r2"}) CHECK(world.apply(choiceOf(line)));
  CHECK(breaks(checkRecovery(world), property::kRecovery));
}

TEST(model, a_failing_path_is_shortened_to_what_it_needs) {
  auto plan = planOf(0);
  plan.losses = 3;
  const auto from = settledWorld(plan);
  Path path;
  for (const auto* line : {"run 100", "order s1 4", "lose-power all", "wipe r1", "run 100", "wipe r2", "heal"})
    path.push_back(choiceOf(line));
  const auto shortest = shrink(from, path, property::kProgress);
  LONGS_EQUAL(3, shortest.size());
  CHECK(breaks(takePath(from, shortest).violations, property::kProgress));
}

TEST(model, orders_hold_under_every_order_of_messages) {
  SearchPlan plan;
  plan.states = 6000;
  plan.losses = 0;
  plan.messageFaults = 1;
  plan.progressEvery = 100;
  const auto result = runSearch(settledWorld(planOf(0)), plan);
  checkHolds(result.failure);
  LONGS_EQUAL(6000, result.states);
}

TEST(model, orders_hold_under_every_order_of_messages_and_losses) {
  SearchPlan plan;
  plan.states = 4000;
  plan.losses = 1;
  plan.messageFaults = 1;
  plan.progressEvery = 100;
  const auto result = runSearch(settledWorld(planOf(1)), plan);
  checkHolds(result.failure);
  LONGS_EQUAL(4000, result.states);
}

TEST(model, random_walks_hold) {
  for (const int spares : {0, 1}) {
    const auto result = runWalks(settledWorld(planOf(spares)), {1, 200, 60});
    checkHolds(result.failure);
    LONGS_EQUAL(200, result.walks);
  }
}

TEST(model, paths_that_broke_a_property_before_hold) {
  for (const auto& named : namedReplays()) {
    std::size_t badLine = 0;
    const auto replay = parseReplay(named.text, badLine);
    CHECK_TEXT(replay.has_value(), std::string(named.name).c_str());
    checkHolds(takeReplay(*replay));
  }
}
