#include <CppUTest/TestHarness.h>

#include <set>

#include "control/replica.hpp"
#include "scheduler/scheduler.hpp"

using namespace tulip;
using namespace tulip::transport;

namespace {

constexpr Millis kStartMs = 100000;

const Address kA("10.0.0.1:1"), kB("10.0.0.2:1"), kC("10.0.0.3:1");
const std::vector<std::pair<DaemonId, Address>> kVoters{{DaemonId("a"), kA}, {DaemonId("b"), kB}, {DaemonId("c"), kC}};

Membership threeVoters() {
  Membership membership{1, {}};
  for (const auto& [id, address] : kVoters) membership.voters.push_back({id, address});
  return membership;
}

template <class Body>
std::vector<Body> sent(const Outbox& out) {
  std::vector<Body> bodies;
  for (const auto& send : out.sends)
    if (const auto* body = std::get_if<Body>(&send.message)) bodies.push_back(*body);
  return bodies;
}

}  // namespace

TEST_GROUP(election_voter) {
  control::ReplicaState replica;
  Millis leaseMs = 0;
  const Ballot first{5, "scheduler-a/1"}, second{6, "scheduler-b/1"};

  void setup() override {
    Settings settings;
    settings.role = Role::replica;
    settings.peerAddress = kA;
    settings.dataFolder = "d";
    leaseMs = settings.bounds.leaseMs;
    storage::Image image;
    image.id = DaemonId("a");
    image.voting = true;
    image.membership = threeVoters();
    image.jobs["j"] = Entry{"j", {}, "job"};
    replica = control::makeReplica(settings, image, "i", {kStartMs - 2 * leaseMs});
  }

  Outbox hear(const Message& message, Millis atMs) {
    Outbox out;
    control::replicaStep(replica, Heard{DaemonId("scheduler"), kB, message}, {atMs}, out);
    return out;
  }

  JobLogPromise asks(const Ballot& term, bool probe, Millis atMs) {
    JobLogPrepare ask{1, term, {}};
    ask.probe = probe;
    auto out = hear(ask, atMs);
    for (const auto& persist : out.persists)
      control::replicaStep(replica, Persisted{persist.ticket, true}, {atMs}, out);
    const auto promises = sent<JobLogPromise>(out);
    LONGS_EQUAL(1, promises.size());
    return promises.front();
  }
};

TEST(election_voter, a_probe_promises_and_writes_nothing_and_is_answered_without_the_state) {
  JobLogPrepare probe{1, second, {}};
  probe.probe = true;
  const auto out = hear(probe, kStartMs);
  CHECK(out.persists.empty());
  const auto answers = sent<JobLogPromise>(out);
  LONGS_EQUAL(1, answers.size());
  CHECK(answers[0].ok && answers[0].probe && answers[0].entries.empty());
  CHECK(replica.image.jobLogPromised == Ballot{});
  CHECK(asks(first, false, kStartMs).ok);
}

TEST(election_voter, a_promise_gives_its_candidate_a_lease) {
  const auto given = asks(first, false, kStartMs);
  CHECK(given.ok && !given.entries.empty());
  for (const bool probe : {true, false}) {
    const auto refusal = asks(second, probe, kStartMs + leaseMs - 1);
    CHECK_FALSE(refusal.ok);
    CHECK(refusal.promised == first);
    LONGS_EQUAL(1, refusal.leaseLeftMs);
  }
  CHECK(asks(first, false, kStartMs + leaseMs - 1).ok);
  CHECK(asks(second, false, kStartMs + 2 * leaseMs).ok);
}

TEST(election_voter, asked_for_versions_only_it_gives_the_sizes_of_the_values_that_it_leaves_out) {
  replica.image.jobs["k"] = Entry{"k", {first, 2}, {}};
  JobLogPrepare ask{1, second, {}};
  ask.versionsOnly = true;
  auto out = hear(ask, kStartMs);
  for (const auto& persist : out.persists)
    control::replicaStep(replica, Persisted{persist.ticket, true}, {kStartMs}, out);
  const auto promises = sent<JobLogPromise>(out);
  LONGS_EQUAL(1, promises.size());
  const auto& promise = promises.front();
  CHECK(promise.ok);
  LONGS_EQUAL(2, promise.entries.size());
  CHECK(promise.entries[0].key == "j" && promise.entries[0].value.empty());
  CHECK(promise.entries[1].key == "k" && promise.entries[1].version == (EntryVersion{first, 2}));
  CHECK(promise.leftOut == (std::vector<std::uint64_t>{3, 0}));
  CHECK(replica.image.jobLogPromised == second);
}

TEST(election_voter, a_promise_that_waits_for_the_disk_without_values_is_no_answer_to_a_question_for_them) {
  JobLogPrepare ask{1, second, {}};
  ask.versionsOnly = true;
  const auto bare = hear(ask, kStartMs), bareAgain = hear(ask, kStartMs);
  ask.versionsOnly = false;
  const auto whole = hear(ask, kStartMs), wholeAgain = hear(ask, kStartMs);
  Outbox out;
  for (const auto* each : {&bare, &bareAgain, &whole, &wholeAgain})
    for (const auto& persist : each->persists)
      control::replicaStep(replica, Persisted{persist.ticket, true}, {kStartMs}, out);
  const auto promises = sent<JobLogPromise>(out);
  LONGS_EQUAL(2, promises.size());
  CHECK(promises[0].entries[0].value.empty());
  CHECK(promises[1].entries[0].value == "job");
}

TEST(election_voter, a_candidate_that_resigns_gives_its_lease_back) {
  CHECK(asks(first, false, kStartMs).ok);
  hear(Resign{second}, kStartMs + 1);
  CHECK_FALSE(asks(second, true, kStartMs + 1).ok);
  hear(Resign{first}, kStartMs + 2);
  CHECK(asks(second, true, kStartMs + 2).ok);
}

TEST_GROUP(election_candidate) {
  scheduler::SchedulerState scheduler = make("i");
  Outbox out;

  static scheduler::SchedulerState make(const char* incarnation, bool beside = true) {
    Settings settings;
    settings.role = Role::scheduler;
    settings.peerAddress = Address(beside ? "10.0.0.1:9" : "10.0.0.9:9");
    auto made = scheduler::makeScheduler(settings, DaemonId("me"), incarnation);
    made.client.membership = threeVoters();
    made.client.sessionUntilMs = 10 * kStartMs;
    return made;
  }

  void knowSchedulerAt(const char* address) {
    Member member;
    member.id = DaemonId("other");
    member.peerAddress = Address(address);
    scheduler.client.members = {member};
  }

  Outbox tick(Millis atMs) {
    Outbox got;
    scheduler::schedulerTick(scheduler, {atMs}, got);
    return got;
  }

  // When the candidate first asks, from then on.
  Millis runUntilItAsks(Millis fromMs) {
    for (Millis atMs = fromMs; atMs < fromMs + 10 * scheduler.client.settings.bounds.leaseMs; ++atMs) {
      out = tick(atMs);
      if (!sent<JobLogPrepare>(out).empty()) return atMs;
    }
    FAIL("never asked");
    return 0;
  }

  Outbox answer(std::size_t voter, bool ok, bool probe, Millis atMs, Ballot promised = {}) {
    JobLogPromise promise;
    promise.term = scheduler.term;
    promise.ok = ok;
    promise.probe = probe;
    promise.promised = promised;
    promise.membership = 1;
    Outbox got;
    const auto& [id, address] = kVoters[voter];
    scheduler::schedulerHeard(scheduler, Heard{id, address, promise}, {atMs}, got);
    return got;
  }

  // Leads, with its first batch acknowledged by all.
  Millis lead() {
    const auto atMs = runUntilItAsks(kStartMs);
    for (const bool probe : {true, false})
      for (std::size_t voter = 0; voter < kVoters.size(); ++voter) answer(voter, true, probe, atMs);
    for (std::size_t voter = 0; voter < kVoters.size(); ++voter) accepts(voter, true, 1, atMs, {});
    CHECK(scheduler::leads(scheduler, {atMs}));
    return atMs;
  }

  void accepts(std::size_t voter, bool ok, std::uint64_t seq, Millis sentMs, Ballot promised) {
    const auto& [id, address] = kVoters[voter];
    const JobLogAccepted reply{scheduler.term, seq, sentMs, ok, seq > 0, promised};
    scheduler::schedulerHeard(scheduler, Heard{id, address, reply}, {sentMs}, out);
  }
};

TEST(election_candidate, asks_for_promises_only_once_a_majority_would_give_them) {
  const auto atMs = runUntilItAsks(kStartMs);
  for (const auto& ask : sent<JobLogPrepare>(out)) CHECK(ask.probe);
  CHECK(sent<JobLogPrepare>(answer(0, true, true, atMs)).empty());
  const auto asks = sent<JobLogPrepare>(answer(1, true, true, atMs));
  LONGS_EQUAL(3, asks.size());
  for (const auto& ask : asks) CHECK_FALSE(ask.probe);
  answer(2, true, true, atMs);
  answer(0, true, false, atMs);
  CHECK(scheduler.course == scheduler::Course::preparing);
  answer(1, true, false, atMs);
  CHECK(scheduler.course == scheduler::Course::leading);
}

// An answer brings a voter's whole state: copies of it on one link hold up every acknowledgement behind them.
TEST(election_candidate, beside_no_voter_leaves_its_chances_to_better_placed_ones_for_waits_that_double) {
  scheduler = make("i", false);
  knowSchedulerAt("10.0.0.1:9");
  auto atMs = runUntilItAsks(kStartMs);
  Millis waitMs = 2 * scheduler.client.settings.bounds.heartbeatMs();
  for (int chance = 0; chance < 3; ++chance) {
    for (std::size_t voter = 0; voter < 2; ++voter) CHECK(sent<JobLogPrepare>(answer(voter, true, true, atMs)).empty());
    CHECK(scheduler.course == scheduler::Course::following);
    const auto againMs = runUntilItAsks(atMs);
    CHECK(againMs >= atMs + waitMs);
    atMs = againMs;
    waitMs *= 2;
  }
  answer(0, true, true, atMs);
  LONGS_EQUAL(3, sent<JobLogPrepare>(answer(1, true, true, atMs)).size());
}

// Where no scheduler runs beside a voter, a wait for better placed ones only lengthens the time without a leader.
TEST(election_candidate, beside_no_voter_it_leaves_no_chance_to_schedulers_that_are_no_better_placed) {
  scheduler = make("i", false);
  knowSchedulerAt("10.0.0.8:9");
  const auto atMs = runUntilItAsks(kStartMs);
  CHECK(atMs <= kStartMs + 2 * scheduler.client.settings.bounds.heartbeatMs());
  answer(0, true, true, atMs);
  LONGS_EQUAL(3, sent<JobLogPrepare>(answer(1, true, true, atMs)).size());
}

TEST(election_candidate, asks_only_the_voter_beside_it_for_values) {
  const auto atMs = runUntilItAsks(kStartMs);
  answer(0, true, true, atMs);
  const auto out = answer(1, true, true, atMs);
  std::size_t asked = 0;
  for (const auto& send : out.sends)
    if (const auto* ask = std::get_if<JobLogPrepare>(&send.message)) {
      ++asked;
      CHECK(ask->versionsOnly == (send.to != kA));
    }
  LONGS_EQUAL(3, asked);
}

TEST(election_candidate, a_voter_is_asked_for_its_promise_twice_a_lease_at_most) {
  const auto leaseMs = scheduler.client.settings.bounds.leaseMs;
  const auto startMs = runUntilItAsks(kStartMs);
  auto asked = sent<JobLogPrepare>(answer(0, true, true, startMs)).size();
  asked += sent<JobLogPrepare>(answer(1, true, true, startMs)).size();
  LONGS_EQUAL(3, asked);
  Millis atMs = startMs;
  const auto asksUntil = [&](Millis untilMs) {
    std::size_t asks = 0;
    for (; atMs < untilMs; ++atMs) asks += sent<JobLogPrepare>(tick(atMs)).size();
    return asks;
  };
  LONGS_EQUAL(0, asksUntil(startMs + leaseMs / 3));
  answer(0, true, false, atMs);
  answer(1, true, false, atMs);
  CHECK(scheduler.course == scheduler::Course::leading);
  LONGS_EQUAL(0, asksUntil(startMs + leaseMs / 2));
  LONGS_EQUAL(1, asksUntil(startMs + leaseMs - 1));
}

TEST(election_candidate, a_refused_probe_is_repeated_with_a_term_above_the_one_promised) {
  const auto atMs = runUntilItAsks(kStartMs);
  answer(0, false, true, atMs, {41, "other"});
  CHECK(scheduler.course == scheduler::Course::following);
  LONGS_EQUAL(0, scheduler.counts.outbid);
  runUntilItAsks(atMs);
  CHECK(scheduler.course == scheduler::Course::probing);
  LONGS_EQUAL(42, scheduler.term.number);
}

TEST(election_candidate, probes_a_voter_again_that_refused_for_the_lease_of_another) {
  const auto startMs = runUntilItAsks(kStartMs);
  answer(0, false, true, startMs);
  const auto heartbeatMs = scheduler.client.settings.bounds.heartbeatMs();
  CHECK(sent<JobLogPrepare>(tick(startMs + heartbeatMs / 2)).empty());
  LONGS_EQUAL(3, sent<JobLogPrepare>(tick(startMs + heartbeatMs)).size());
  answer(0, true, true, startMs + heartbeatMs);
  answer(1, true, true, startMs + heartbeatMs);
  CHECK(scheduler.course == scheduler::Course::preparing);
}

TEST(election_candidate, that_can_not_win_gives_its_leases_back_and_counts_it) {
  const auto atMs = runUntilItAsks(kStartMs);
  for (std::size_t voter = 0; voter < 2; ++voter) answer(voter, true, true, atMs);
  CHECK(scheduler.course == scheduler::Course::preparing);
  const auto term = scheduler.term;
  answer(0, true, false, atMs);
  answer(1, false, false, atMs, {99, "other"});
  const auto resigned = sent<Resign>(answer(2, false, false, atMs, {99, "other"}));
  LONGS_EQUAL(3, resigned.size());
  CHECK(resigned[0].term == term);
  CHECK(scheduler.course == scheduler::Course::following);
  LONGS_EQUAL(1, scheduler.counts.outbid);
}

TEST(election_candidate, waits_differ_from_incarnation_to_incarnation_and_grow) {
  const auto waitAfter = [&](const char* incarnation, std::uint64_t failures) {
    scheduler = make(incarnation);
    scheduler.failedCampaigns = failures;
    const auto atMs = runUntilItAsks(kStartMs);
    answer(0, false, true, atMs, {41, "other"});
    answer(1, false, true, atMs, {41, "other"});
    return runUntilItAsks(atMs) - atMs;
  };
  const std::vector<const char*> incarnations{"i1", "i2", "i3", "i4", "i5", "i6", "i7", "i8"};
  Millis mostAtFirst = 0, mostLater = 0;
  std::set<Millis> waits;
  for (const auto* incarnation : incarnations) {
    mostAtFirst = std::max(mostAtFirst, waitAfter(incarnation, 0));
    const auto later = waitAfter(incarnation, 2);
    mostLater = std::max(mostLater, later);
    waits.insert(later);
  }
  CHECK(waits.size() >= incarnations.size() - 1);
  CHECK(mostLater > mostAtFirst);
  const auto leaseMs = scheduler.client.settings.bounds.leaseMs;
  CHECK(waitAfter("i1", 1000) <= 2 * leaseMs);
}

TEST(election_candidate, a_leader_that_one_voter_refuses_goes_on_with_the_majority) {
  const auto atMs = lead();
  accepts(2, false, 0, atMs + 1, {99, "other"});
  CHECK(scheduler::leads(scheduler, {atMs + 1}));
  accepts(1, false, 0, atMs + 2, {99, "other"});
  CHECK(scheduler.course == scheduler::Course::following);
  LONGS_EQUAL(1, scheduler.counts.steppedDown);
}
