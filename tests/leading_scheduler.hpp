#pragma once
#include <CppUTest/TestHarness.h>

#include <string>
#include <utility>
#include <vector>

#include "scheduler/scheduler.hpp"

/// A scheduler that leads, with two of its three voters answering, as tests drive it: message by message, on a clock of
/// the test's own.
namespace tulip::fixture {

inline const Address kVoterA("10.0.0.1:1"), kVoterB("10.0.0.2:1"), kVoterC("10.0.0.3:1");
inline constexpr Millis kLeadsAtMs = 1000000;

struct LeadingScheduler {
  scheduler::SchedulerState state;
  const Ballot term{3, "me/i"}, base{2, "p2"};
  transport::Outbox out;
  Millis nowMs = kLeadsAtMs;
  Millis wallMs = 0;

  /// Takes over what the voters hold.
  void lead(const std::vector<transport::Entry>& entries, const std::string& adapter = {}) {
    Settings settings;
    settings.role = Role::scheduler;
    settings.peerAddress = Address("10.0.0.9:1");
    settings.adapter = adapter;
    state = scheduler::makeScheduler(settings, DaemonId("me"), "i");
    state.client.membership = {1, {{DaemonId("a"), kVoterA}, {DaemonId("b"), kVoterB}, {DaemonId("c"), kVoterC}}};
    state.client.sessionUntilMs = nowMs + 10000000;
    state.course = scheduler::Course::preparing;
    state.term = term;
    state.prepareStartMs = nowMs;
    for (const auto& [id, from] : {std::pair("a", kVoterA), std::pair("b", kVoterB)}) {
      transport::JobLogPromise promise;
      promise.term = promise.promised = term;
      promise.ok = true;
      promise.base = base;
      promise.entries = entries;
      hear(id, from, std::move(promise));
    }
    acknowledge();
    CHECK(scheduler::leads(state, now()));
  }

  /// What the voters hold of a job.
  std::vector<transport::Entry> entriesOf(const jobs::Job& job) const {
    return {{job.id.value, {base, 1}, jobs::packJob(job)}, {"~" + job.id.value, {base, 1}, jobs::packSpec(*job.spec)}};
  }

  transport::Now now() const { return {nowMs, wallMs}; }

  void hear(const std::string& id, const Address& from, transport::Message message) {
    scheduler::schedulerHeard(state, transport::Heard{DaemonId(id), from, std::move(message)}, now(), out);
  }

  /// Two of the three voters have synced everything that was sent.
  void acknowledge() {
    for (const auto& [id, from] : {std::pair("a", kVoterA), std::pair("b", kVoterB)})
      hear(id, from, transport::JobLogAccepted{term, state.seq, nowMs, true, true, term});
  }

  void tick() { scheduler::schedulerTick(state, now(), out); }

  void passEpoch() {
    nowMs += state.client.settings.bounds.heartbeatMs();
    tick();
  }

  /// Plans and commits until nothing is left to be done.
  void commit() {
    constexpr int kTurns = 6;
    for (int turn = 0; turn < kTurns; ++turn) {
      passEpoch();
      acknowledge();
    }
  }
};

}  // namespace tulip::fixture
