#include "control/alarms.hpp"

#include <CppUTest/TestHarness.h>

#include "daemon/node.hpp"
#include "simulator/sim.hpp"

using namespace tulip;
using control::AlarmKind;
using control::Condition;
using simulator::Host;
using simulator::Micros;

namespace {

constexpr Micros kSecondUs = 1000000;

}  // namespace

TEST_GROUP(alarms) {
  simulator::Sim sim{5, simulator::FleetPlan{}};
  std::vector<std::pair<std::string, std::string>> lines;  // who wrote what

  void startAll() {
    sim.onAlarm = [this](Host& host, const std::string& text) { lines.emplace_back(host.name, text); };
    for (const auto& host : sim.all()) sim.start(*host);
    run(8);
  }

  void run(int seconds) { sim.runUntil(sim.nowUs() + seconds * kSecondUs); }

  std::vector<Host*> replicas() { return sim.hosts(Role::replica); }

  /// How many lines of the host begin with the alarm's name and, where asked, tell that it is over.
  int count(const Host& host, AlarmKind kind, bool over = false) {
    int found = 0;
    for (const auto& [who, text] : lines)
      found += who == host.name && text.starts_with(control::alarmName(kind)) &&
               (text.find(": over") != std::string::npos) == over;
    return found;
  }

  int countAll() {
    int found = 0;
    for (const auto& host : sim.all())
      for (int kind = 0; kind <= static_cast<int>(AlarmKind::fewerLosses); ++kind)
        found += count(*host, static_cast<AlarmKind>(kind)) + count(*host, static_cast<AlarmKind>(kind), true);
    return found;
  }

  void onceAndOver(const Host& host, AlarmKind kind) {
    LONGS_EQUAL(1, count(host, kind));
    LONGS_EQUAL(1, count(host, kind, true));
  }
};

TEST(alarms, a_start_and_an_ordinary_change_of_leader_raise_nothing) {
  startAll();
  auto* leader = sim.leader();
  CHECK(leader != nullptr);
  sim.crash(*leader);
  run(10);
  CHECK(sim.leader() != nullptr);
  CHECK(sim.leader() != leader);
  sim.start(*leader);
  run(5);
  sim.stopPolitely(*sim.leader());
  run(10);
  CHECK(sim.leader() != nullptr);
  sim.freeze(*replicas()[0], 2 * kSecondUs);
  run(10);
  LONGS_EQUAL(0, countAll());
}

TEST(alarms, twenty_seconds_without_a_majority_are_told_once_and_once_when_over) {
  startAll();
  auto all = replicas();
  sim.crash(*all[1]);
  sim.crash(*all[2]);
  run(20);
  LONGS_EQUAL(1, count(*all[0], AlarmKind::noMajority));
  LONGS_EQUAL(0, count(*all[0], AlarmKind::noMajority, true));
  for (auto* host : sim.hosts(Role::scheduler)) LONGS_EQUAL(1, count(*host, AlarmKind::noSession));
  sim.start(*all[1]);
  sim.start(*all[2]);
  run(15);
  onceAndOver(*all[0], AlarmKind::noMajority);
  for (auto* host : sim.hosts(Role::scheduler)) onceAndOver(*host, AlarmKind::noSession);
}

TEST(alarms, a_silent_voter_and_the_losses_that_can_no_longer_be_borne_are_told) {
  startAll();
  auto all = replicas();
  sim.crash(*all[2]);
  run(20);
  for (const auto* host : {all[0], all[1]}) {
    LONGS_EQUAL(1, count(*host, AlarmKind::voterSilent));
    LONGS_EQUAL(1, count(*host, AlarmKind::fewerLosses));
    LONGS_EQUAL(0, count(*host, AlarmKind::noMajority));
  }
  sim.start(*all[2]);
  run(15);
  for (const auto* host : {all[0], all[1]}) {
    onceAndOver(*host, AlarmKind::voterSilent);
    onceAndOver(*host, AlarmKind::fewerLosses);
  }
}

TEST(alarms, a_voter_whose_disk_takes_no_writes_is_told) {
  startAll();
  auto all = replicas();
  all[2]->diskBlocked = true;
  transport::Ask change;
  change.method = "PUT";
  change.path = "/configuration";
  change.body = R"({"pendings":{"a":{}},"pools":{"side":{"slots":8,"workers":11}}})";
  change.deadlineMs = 5000;
  int status = 0;
  sim.ask(*sim.hosts(Role::scheduler)[0], change, [&](simulator::Reply reply) { status = reply.status; });
  run(20);
  LONGS_EQUAL(200, status);
  for (const auto* host : all) LONGS_EQUAL(1, count(*host, AlarmKind::voterNotVoting));
  all[2]->diskBlocked = false;
  run(15);
  for (const auto* host : all) onceAndOver(*host, AlarmKind::voterNotVoting);
}

TEST(alarms, replicas_tell_that_nobody_leads) {
  startAll();
  for (auto* host : sim.hosts(Role::scheduler)) sim.crash(*host);
  run(20);
  for (const auto* host : replicas()) LONGS_EQUAL(1, count(*host, AlarmKind::noLeader));
  for (auto* host : sim.hosts(Role::scheduler)) sim.start(*host);
  run(15);
  for (const auto* host : replicas()) onceAndOver(*host, AlarmKind::noLeader);
}

TEST(alarms, a_process_that_stood_still_blames_nobody) {
  startAll();
  auto* frozen = replicas()[0];
  sim.freeze(*frozen, 30 * kSecondUs);
  run(45);
  for (const auto kind : {AlarmKind::voterSilent, AlarmKind::noMajority, AlarmKind::noLeader})
    LONGS_EQUAL(0, count(*frozen, kind));
}

TEST(alarms, the_counters_name_what_is_raised) {
  startAll();
  auto all = replicas();
  sim.crash(*all[2]);
  run(20);
  std::string body;
  transport::Ask ask;
  ask.method = "GET";
  ask.path = "/counters";
  sim.ask(*all[0], ask, [&](simulator::Reply reply) { body = reply.body; });
  run(1);
  CHECK(body.find("\"voter-silent\"") != std::string::npos);
  CHECK(body.find("\"fewer-losses-bearable\"") != std::string::npos);
}

TEST_GROUP(alarm_lines) {
  control::AlarmState alarms;
  Bounds bounds;
  std::vector<std::string> lines;

  void see(Millis nowMs, std::vector<Condition> conditions) {
    control::updateAlarms(alarms, conditions, bounds, {nowMs}, lines);
  }
};

TEST(alarm_lines, one_line_when_raised_and_one_when_over) {
  const auto holdOffMs = control::alarmHoldOffMs(AlarmKind::noMajority, bounds);
  const std::vector<Condition> condition{{{AlarmKind::noMajority, {}}, Condition::kSinceNow, "1 of 3 voters vote"}};
  for (Millis ms = 0; ms <= 2 * holdOffMs; ms += 100) {
    see(1000 + ms, condition);
    LONGS_EQUAL(ms >= holdOffMs, lines.size());
  }
  STRCMP_EQUAL(("no-majority for " + std::to_string(holdOffMs) + " ms: 1 of 3 voters vote").c_str(), lines[0].c_str());
  see(1000 + 2 * holdOffMs + 100, {});
  see(1000 + 2 * holdOffMs + 200, {});
  LONGS_EQUAL(2, lines.size());
  STRCMP_EQUAL(("no-majority: over after " + std::to_string(2 * holdOffMs + 100) + " ms").c_str(), lines[1].c_str());
}

TEST(alarm_lines, a_condition_shorter_than_its_hold_off_leaves_no_line) {
  const std::vector<Condition> condition{{{AlarmKind::noLeader, {}}, Condition::kSinceNow, "x"}};
  for (int turn = 0; turn < 5; ++turn) {
    const Millis fromMs = 1000 + turn * 10000;
    for (Millis ms = 0; ms < control::alarmHoldOffMs(AlarmKind::noLeader, bounds); ms += 100)
      see(fromMs + ms, condition);
    see(fromMs + 9000, {});
  }
  LONGS_EQUAL(0, lines.size());
}

TEST(alarm_lines, two_voters_are_two_alarms) {
  const auto holdOffMs = control::alarmHoldOffMs(AlarmKind::voterSilent, bounds);
  const Condition one{{AlarmKind::voterSilent, "a@1"}, Condition::kSinceNow, "not heard"},
      other{{AlarmKind::voterSilent, "b@2"}, Condition::kSinceNow, "not heard"};
  for (Millis ms = 0; ms <= holdOffMs; ms += 100) see(1000 + ms, {one, other});
  LONGS_EQUAL(2, lines.size());
  see(1000 + holdOffMs + 100, {other});
  LONGS_EQUAL(3, lines.size());
  CHECK(lines[2].starts_with("voter-silent a@1: over"));
}

TEST(alarm_lines, what_was_not_heard_while_this_process_stood_still_does_not_count) {
  const auto holdOffMs = control::alarmHoldOffMs(AlarmKind::voterSilent, bounds);
  constexpr Millis kAwakeMs = 60000;
  see(1000, {});
  for (Millis ms = 0; ms < holdOffMs; ms += 100)
    see(kAwakeMs + ms, {{{AlarmKind::voterSilent, "a@1"}, 1000, "not heard"}});
  LONGS_EQUAL(0, lines.size());
  see(kAwakeMs + holdOffMs, {{{AlarmKind::voterSilent, "a@1"}, 1000, "not heard"}});
  LONGS_EQUAL(1, lines.size());
}
