#include <CppUTest/TestHarness.h>

#include "config_of.hpp"
#include "scheduler/scheduler.hpp"

using namespace tulip;
using namespace tulip::transport;

namespace {

constexpr Millis kNowMs = 100000;
constexpr std::uint64_t kRequest = 7;
constexpr Millis kDeadlineMs = 3000;
const Millis kLeaseMs = Bounds{}.leaseMs;
const Millis kHeartbeatMs = Bounds{}.heartbeatMs();
static_assert(kDeadlineMs > 1500, "a call is given up before its deadline");

const Address kFront("10.0.0.9:1"), kFirst("10.0.0.1:1"), kSecond("10.0.0.2:1");

}  // namespace

TEST_GROUP(calls) {
  scheduler::SchedulerState scheduler;
  Outbox out;

  void setup() override { scheduler = life("one"); }

  scheduler::SchedulerState life(const char* incarnation) {
    Settings settings;
    settings.role = Role::scheduler;
    settings.peerAddress = kFront;
    auto made = scheduler::makeScheduler(settings, DaemonId("front"), incarnation);
    made.client.sessionUntilMs = kNowMs * 2;
    made.client.config = fixture::configOf(
        R"({"pendings":{"a":{}},"pools":{"s":{"slots":8,"workers":2}},"gangway":{"mostOpenJobs":1}})");
    follow(made, kFirst);
    return made;
  }

  static void follow(scheduler::SchedulerState & each, const Address& leader) {
    each.client.leader = {Ballot{1, "x"}, leader, leader};
  }

  void call(CallKind kind) {
    CallAsk ask;
    ask.requestId = kRequest;
    ask.call = kind;
    ask.job = JobId("j");
    ask.pending = QueueName("a");
    if (kind == CallKind::submit) ask.spec = specOf("j");
    scheduler::callLeader(scheduler, std::move(ask), kDeadlineMs, {kNowMs}, out);
  }

  static std::string specOf(const char* id) {
    jobs::Spec spec;
    spec.id = JobId(id);
    spec.pending = QueueName("a");
    spec.steps.resize(1);
    spec.steps[0].name = "t";
    spec.steps[0].need.slots = 1;
    return jobs::packSpec(spec);
  }

  std::vector<const CallAsk*> sent(const Address& to) const {
    std::vector<const CallAsk*> asks;
    for (const auto& send : out.sends)
      if (const auto* ask = std::get_if<CallAsk>(&send.message); ask && send.to == to) asks.push_back(ask);
    return asks;
  }

  void hear(const CallAnswer& answer, const Address& from = kFirst) {
    scheduler::schedulerHeard(scheduler, Heard{DaemonId("leader"), from, answer}, {kNowMs + 1}, out);
  }

  void tick(Millis afterMs) { scheduler::schedulerTick(scheduler, {kNowMs + afterMs}, out); }

  static CallAnswer answerTo(const CallAsk& ask, Kind kind) {
    CallAnswer answer;
    answer.requestId = ask.requestId;
    answer.id = ask.id;
    answer.kind = static_cast<std::int64_t>(kind);
    return answer;
  }

  void refuse(const CallAsk& ask, const Address& from) { hear(answerTo(ask, Kind::noLeader), from); }

  void onlyAnswer(Kind kind) {
    LONGS_EQUAL(1, out.answers.size());
    LONGS_EQUAL(static_cast<int>(kind), static_cast<int>(out.answers[0].kind));
  }

  /// The front daemon comes to lead by itself.
  void lead(Millis nowMs) {
    scheduler.course = scheduler::Course::leading;
    scheduler.committed = 1;
    scheduler.leaseUntilMs = nowMs + 10000;
    scheduler.client.leader = {};
  }
};

TEST(calls, a_queue_s_count_is_of_accepted_jobs_of_which_no_task_has_begun) {
  lead(kNowMs);
  auto config = std::make_shared<config::Config>(*scheduler.client.config);
  config->http.mostOpenJobs = 100;
  scheduler.client.config = config;
  for (const char* id : {"waits", "is-ordered", "runs"}) {
    jobs::Spec spec;
    CHECK(jobs::unpackSpec(specOf(id), spec));
    scheduler::submitSpec(scheduler, {kRequest, true, {}}, std::move(spec), {kNowMs}, out);
  }
  for (const char* id : {"is-ordered", "runs"})
    jobs::startRun(scheduler.jobs.at(JobId(id)), 0, WorkerId("w"), "life", kNowMs);
  scheduler.jobs.at(JobId("runs")).tasks.edit(0).confirmed = true;
  const auto count = [&](const char* queue) {
    scheduler::countPending(scheduler, {kRequest, true, {}}, QueueName(queue), out);
    return out.answers.back().brief.count;
  };
  LONGS_EQUAL(2, count("a"));
  LONGS_EQUAL(0, count("other"));
}

TEST(calls, an_answer_to_an_earlier_life_is_told_to_nobody) {
  call(CallKind::cancelJob);
  const auto earlier = *sent(kFirst).at(0);
  scheduler = life("two");
  out = {};
  call(CallKind::getJob);
  hear(answerTo(earlier, Kind::noSuchJob));
  LONGS_EQUAL(0, out.answers.size());
  hear(answerTo(*sent(kFirst).at(0), Kind::ok));
  onlyAnswer(Kind::ok);
}

TEST(calls, the_leader_answers_with_the_id_it_was_asked_with) {
  lead(kNowMs);
  for (const auto kind : {CallKind::getJob, CallKind::cancelJob, CallKind::countPending}) {
    CallAsk ask;
    ask.requestId = kRequest;
    ask.id = {incarnationOf("another"), kRequest};
    ask.call = kind;
    ask.job = JobId("unknown");
    ask.pending = QueueName("a");
    out = {};
    scheduler::schedulerHeard(scheduler, Heard{DaemonId("other"), kSecond, ask}, {kNowMs}, out);
    LONGS_EQUAL(1, out.sends.size());
    const auto* answer = std::get_if<CallAnswer>(&out.sends[0].message);
    CHECK(answer != nullptr);
    CHECK(answer->id == ask.id);
  }
}

TEST(calls, a_call_goes_to_the_next_leader_and_is_answered_once) {
  call(CallKind::submit);
  LONGS_EQUAL(1, sent(kFirst).size());
  follow(scheduler, kSecond);
  scheduler.client.heartbeatSentMs = kNowMs;
  tick(10);
  LONGS_EQUAL(1, sent(kSecond).size());
  const auto ask = *sent(kSecond)[0];
  CHECK(ask.id == sent(kFirst)[0]->id);
  hear(answerTo(ask, Kind::ok), kSecond);
  hear(answerTo(ask, Kind::ok), kFirst);
  onlyAnswer(Kind::ok);
}

TEST(calls, a_refusal_is_no_last_word_once_a_second_copy_is_out) {
  call(CallKind::submit);
  follow(scheduler, kSecond);
  tick(10);
  hear(answerTo(*sent(kSecond).at(0), Kind::overloaded), kSecond);
  onlyAnswer(Kind::unknownOutcome);
}

TEST(calls, a_refusal_of_the_only_copy_is_told_as_it_is) {
  call(CallKind::submit);
  hear(answerTo(*sent(kFirst).at(0), Kind::overloaded));
  onlyAnswer(Kind::overloaded);
}

TEST(calls, a_daemon_that_comes_to_lead_does_not_refuse_what_it_has_sent_elsewhere) {
  call(CallKind::submit);
  lead(kNowMs + 10);
  Outbox ignored;
  scheduler::submitJob(scheduler, 1, R"({"id":"full","pending":"a","tasks":[{"name":"t"}]})", {kNowMs + 10}, ignored);
  LONGS_EQUAL(1, scheduler.open.size());
  scheduler.client.heartbeatSentMs = kNowMs + 10;
  tick(10);
  onlyAnswer(Kind::unknownOutcome);
}

TEST(calls, without_an_answer_the_outcome_is_unknown_and_never_a_refusal) {
  call(CallKind::cancelJob);
  tick(kDeadlineMs);
  onlyAnswer(Kind::unknownOutcome);
}

TEST(calls, a_call_that_never_left_is_told_as_not_done) {
  scheduler.client.leader = {};
  call(CallKind::submit);
  tick(kDeadlineMs);
  LONGS_EQUAL(0, sent(kFirst).size());
  onlyAnswer(Kind::noLeader);
}

TEST(calls, a_daemon_that_does_not_lead_says_so_to_the_one_that_asked_it) {
  CallAsk ask;
  ask.requestId = kRequest;
  ask.id = {incarnationOf("another"), kRequest};
  ask.call = CallKind::submit;
  ask.spec = specOf("j");
  scheduler::schedulerHeard(scheduler, Heard{DaemonId("other"), kSecond, ask}, {kNowMs}, out);
  LONGS_EQUAL(1, out.sends.size());
  const auto* answer = std::get_if<CallAnswer>(&out.sends[0].message);
  CHECK(answer != nullptr);
  CHECK(answer->id == ask.id);
  LONGS_EQUAL(static_cast<int>(Kind::noLeader), answer->kind);
  CHECK(answer->retryMs > 0);
  CHECK(scheduler.jobs.empty());
}

TEST(calls, a_call_that_a_former_leader_refused_goes_to_the_next) {
  call(CallKind::submit);
  refuse(*sent(kFirst).at(0), kFirst);
  LONGS_EQUAL(0, out.answers.size());
  follow(scheduler, kSecond);
  tick(10);
  hear(answerTo(*sent(kSecond).at(0), Kind::overloaded), kSecond);
  onlyAnswer(Kind::overloaded);
}

TEST(calls, a_call_whose_only_copy_was_refused_is_told_as_not_done_within_half_a_lease) {
  call(CallKind::submit);
  refuse(*sent(kFirst).at(0), kFirst);
  tick(kLeaseMs / 2);
  onlyAnswer(Kind::noLeader);
  CHECK(out.answers[0].retryMs > 0);
}

TEST(calls, a_refusal_for_want_of_the_lead_says_nothing_of_an_earlier_copy) {
  call(CallKind::submit);
  tick(kHeartbeatMs);
  LONGS_EQUAL(2, sent(kFirst).size());
  refuse(*sent(kFirst).at(0), kFirst);
  tick(kLeaseMs / 2);
  LONGS_EQUAL(0, out.answers.size());
  tick(kLeaseMs);
  onlyAnswer(Kind::unknownOutcome);
}

TEST(calls, a_silent_leader_holds_no_change_longer_than_a_lease) {
  call(CallKind::submit);
  tick(kLeaseMs - 1);
  LONGS_EQUAL(0, out.answers.size());
  tick(kLeaseMs);
  onlyAnswer(Kind::unknownOutcome);
  LONGS_EQUAL(0, scheduler.forwards.size());
}

TEST(calls, a_silent_leader_holds_no_read_longer_than_a_lease) {
  call(CallKind::getJob);
  tick(kLeaseMs);
  onlyAnswer(Kind::noLeader);
  CHECK(out.answers[0].retryMs > 0);
}

TEST(calls, a_new_leader_is_asked_within_the_same_lease) {
  call(CallKind::submit);
  follow(scheduler, kSecond);
  tick(kLeaseMs / 2);
  LONGS_EQUAL(1, sent(kSecond).size());
  tick(kLeaseMs);
  onlyAnswer(Kind::unknownOutcome);
}

TEST(calls, a_daemon_long_without_a_leader_holds_no_call) {
  scheduler.client.leader = {};
  tick(-kLeaseMs / 2);
  call(CallKind::submit);
  onlyAnswer(Kind::noLeader);
  CHECK(out.answers[0].retryMs > 0);
}

TEST(calls, a_leader_known_again_ends_the_time_without_one) {
  scheduler.client.leader = {};
  tick(0);
  follow(scheduler, kFirst);
  tick(kLeaseMs);
  scheduler.client.leader = {};
  tick(kLeaseMs + 1);
  call(CallKind::submit);
  LONGS_EQUAL(0, out.answers.size());
}

TEST(calls, a_leader_without_a_majority_tells_its_callers_within_a_lease) {
  lead(kNowMs);
  call(CallKind::submit);
  tick(kLeaseMs - 1);
  LONGS_EQUAL(1, scheduler.batches.size());
  LONGS_EQUAL(0, out.answers.size());
  tick(kLeaseMs);
  onlyAnswer(Kind::unknownOutcome);
  CHECK(scheduler.jobs.contains(JobId("j")));
}

TEST(calls, a_leader_without_a_majority_tells_the_daemons_that_asked_it) {
  lead(kNowMs);
  CallAsk ask;
  ask.requestId = kRequest;
  ask.id = {incarnationOf("another"), kRequest};
  ask.call = CallKind::submit;
  ask.spec = specOf("j");
  scheduler::schedulerHeard(scheduler, Heard{DaemonId("other"), kSecond, ask}, {kNowMs}, out);
  tick(kLeaseMs);
  LONGS_EQUAL(1, out.sends.size());
  const auto* answer = std::get_if<CallAnswer>(&out.sends[0].message);
  CHECK(answer != nullptr);
  LONGS_EQUAL(static_cast<int>(Kind::unknownOutcome), answer->kind);
}
