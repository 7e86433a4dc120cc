#include <CppUTest/TestHarness.h>

#include "control/replica.hpp"

using namespace tulip;
using namespace tulip::transport;

namespace {

const Address kA("10.0.0.1:1"), kB("10.0.0.2:1"), kC("10.0.0.3:1"), kD("10.0.0.4:1");

Settings settingsOf(const Address& address) {
  Settings settings;
  settings.role = Role::replica;
  settings.peerAddress = address;
  settings.zone = ZoneName("a");
  settings.dataFolder = "simulated";
  settings.seeds = {kA, kB, kC};
  return settings;
}

control::ReplicaState replicaOf(const char* id, const Address& address, const Membership& membership, bool voting) {
  storage::Image image;
  image.id = DaemonId(id);
  image.membership = membership;
  image.voting = voting;
  return control::makeReplica(settingsOf(address), image, "i", {100000});
}

Outbox hears(control::ReplicaState& replica, const char* from, const Address& address, Message message,
             Millis nowMs = 100010) {
  Outbox out;
  control::replicaStep(replica, Heard{DaemonId(from), address, std::move(message)}, {nowMs}, out);
  Outbox synced;
  for (const auto& persist : out.persists)
    control::replicaStep(replica, Persisted{persist.ticket, true}, {nowMs + 1}, synced);
  for (auto& send : synced.sends) out.sends.push_back(std::move(send));
  return out;
}

template <class Body>
const Body* only(const Outbox& out) {
  for (const auto& send : out.sends)
    if (const auto* body = std::get_if<Body>(&send.message)) return body;
  return nullptr;
}

}  // namespace

TEST_GROUP(membership){};

TEST(membership, a_voter_taken_over_keeps_what_the_others_promised) {
  const Membership next{2, {{DaemonId("a"), kA}, {DaemonId("b"), kB}, {DaemonId("d"), kD}}};
  auto a = replicaOf("a", kA, next, true), b = replicaOf("b", kB, next, true), d = replicaOf("d", kD, next, false);
  a.image.registers["chart"] = {{9, "x"}, {3, "x"}, "old"};
  b.image.registers["chart"] = {{4, "x"}, {3, "x"}, "old"};
  for (auto* each : {&a, &b}) {
    const auto given = hears(*each, "d", kD, CatchUpAsk{2, DaemonId("d")});
    const auto* give = only<CatchUpGive>(given);
    CHECK(give != nullptr);
    hears(d, each->image.id.value.c_str(), each->client.settings.peerAddress, *give);
  }
  CHECK(d.image.voting);
  STRCMP_EQUAL("old", d.image.registers["chart"].value.c_str());
  const auto answered = hears(d, "p", Address("10.0.0.9:1"), RegisterAccept{2, "chart", {5, "y"}, "new"});
  const auto* accepted = only<RegisterAccepted>(answered);
  CHECK(accepted != nullptr);
  CHECK_FALSE(accepted->ok);
  LONGS_EQUAL(9, accepted->promised.number);
}

TEST(membership, a_change_without_a_name_that_was_finished_by_another_is_committed_as_done) {
  const Membership membership{1, {{DaemonId("a"), kA}, {DaemonId("b"), kB}, {DaemonId("c"), kC}}};
  Settings settings = settingsOf(Address("10.0.0.9:1"));
  settings.role = Role::scheduler;
  auto client = control::makeControlClient(settings, DaemonId("p"), "i");
  client.membership = membership;
  Outbox out;
  control::Edit edit;
  edit.body = "{\"pendings\":{\"gate\":{}}}";
  edit.expected = 0;
  control::proposeConfig(client, 77, edit, 4000, {100000}, out);
  const auto first = client.proposals.front().ballot;
  auto tell = [&](const Address& from, Message message, Millis nowMs) {
    control::clientHeard(client, Heard{DaemonId("q"), from, std::move(message)}, {nowMs}, out);
  };
  tell(kA, RegisterPromise{"chart", first, true, first, {}, {}}, 100001);
  tell(kB, RegisterPromise{"chart", first, true, first, {}, {}}, 100001);
  const auto value = client.proposals.front().value;
  CHECK_FALSE(value.empty());
  tell(kA, RegisterAccepted{"chart", first, true, first}, 100002);
  const Ballot theirs{first.number + 1, "other"};
  tell(kB, RegisterAccepted{"chart", first, false, theirs}, 100003);
  control::clientTick(client, {100900}, out);
  const auto second = client.proposals.front().ballot;
  CHECK(theirs < second);
  for (const auto& from : {kA, kB}) tell(from, RegisterPromise{"chart", second, true, second, theirs, value}, 100901);
  for (const auto& from : {kA, kB}) tell(from, RegisterAccepted{"chart", second, true, second}, 100902);
  for (const auto& from : {kA, kB, kC}) tell(from, AckState{1, second.number, true, {}}, 100903);
  LONGS_EQUAL(1, out.answers.size());
  LONGS_EQUAL(200, out.answers.front().status);
  STRCMP_EQUAL("{\"revision\":1}", out.answers.front().body.c_str());
}

TEST(membership, a_replica_whose_disk_hangs_says_so_and_votes_again_when_it_is_through) {
  const Membership membership{1, {{DaemonId("a"), kA}, {DaemonId("b"), kB}, {DaemonId("c"), kC}}};
  auto a = replicaOf("a", kA, membership, true);
  Outbox out;
  control::replicaStep(a, Heard{DaemonId("p"), kD, RegisterPrepare{1, "chart", {5, "p"}}}, {101000}, out);
  LONGS_EQUAL(1, out.persists.size());
  const auto ailsAt = [&](Millis nowMs) {
    Outbox heartbeats;
    control::replicaStep(a, Tick{}, {nowMs}, heartbeats);
    const auto* heartbeat = only<ReplicaHeartbeat>(heartbeats);
    CHECK(heartbeat != nullptr);
    return heartbeat->ailing;
  };
  CHECK_FALSE(ailsAt(102000));
  CHECK(ailsAt(103000));
  const auto rejected = hears(a, "p", kD, RegisterPrepare{1, "chart", {7, "p"}}, 103001);
  LONGS_EQUAL(0, rejected.persists.size());
  Outbox through;
  control::replicaStep(a, Persisted{out.persists.front().ticket, true}, {104000}, through);
  CHECK(only<RegisterPromise>(through) != nullptr);
  CHECK_FALSE(ailsAt(105000));
}

TEST(membership, a_replica_that_voted_for_the_next_membership_takes_no_more_part_in_this_one) {
  const Membership membership{1, {{DaemonId("a"), kA}, {DaemonId("b"), kB}, {DaemonId("c"), kC}}};
  auto a = replicaOf("a", kA, membership, true);
  CHECK(only<RegisterPromise>(hears(a, "p", kD, RegisterPrepare{1, "chart", {5, "p"}})) != nullptr);
  hears(a, "b", kB, RegisterAccept{1, "cohort/2", {6, "b"}, "next"});
  CHECK(only<RegisterPromise>(hears(a, "p", kD, RegisterPrepare{1, "chart", {7, "p"}})) == nullptr);
  CHECK(only<RegisterAccepted>(hears(a, "p", kD, RegisterAccept{1, "chart", {7, "p"}, "late"})) == nullptr);
  CHECK(only<JobLogPromise>(hears(a, "p", kD, JobLogPrepare{1, {9, "p"}, {}})) == nullptr);
  auto again = control::makeReplica(settingsOf(kA), a.image, "j", {200000});
  CHECK(only<RegisterPromise>(hears(again, "p", kD, RegisterPrepare{1, "chart", {8, "p"}}, 200010)) == nullptr);
}

TEST(membership, a_replica_grants_no_session_before_it_has_read_the_configuration) {
  const Membership membership{1, {{DaemonId("a"), kA}, {DaemonId("b"), kB}, {DaemonId("c"), kC}}};
  auto a = replicaOf("a", kA, membership, true);
  ReplicaHeartbeat heartbeat;
  heartbeat.voter = {DaemonId("b"), kB};
  heartbeat.membership = membership;
  heartbeat.sentMs = 1;
  heartbeat.acknowledgedMs = 100000;
  hears(a, "b", kB, heartbeat);
  CHECK(control::hasQuorumLease(a, {100010}));
  SessionHeartbeat me;
  me.me.id = DaemonId("t");
  me.me.role = Role::agent;
  me.sentMs = 5;
  CHECK(only<SessionGrant>(hears(a, "t", kD, me)) == nullptr);
  heartbeat.configBallot = {4, "p"};
  config::Stored stored;
  stored.version = 7;
  stored.text = "{}";
  heartbeat.configValue = config::writeStored(stored);
  ++heartbeat.sentMs;
  hears(a, "b", kB, heartbeat);
  const auto granted = hears(a, "t", kD, me);
  CHECK(only<SessionGrant>(granted) != nullptr);
  LONGS_EQUAL(7, only<SessionGrant>(granted)->configVersion);
  stored.version = 6;
  hears(a, "p", kD, RegisterChosen{"chart", {3, "p"}, config::writeStored(stored)});
  LONGS_EQUAL(7, only<SessionGrant>(hears(a, "t", kD, me))->configVersion);
}
