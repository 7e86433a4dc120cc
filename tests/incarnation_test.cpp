#include <CppUTest/TestHarness.h>

#include <utility>

#include <deque>
#include <random>

#include "control/replica.hpp"
#include "daemon/node.hpp"
#include "transport/peer_incarnations.hpp"

using namespace tulip;
using namespace tulip::transport;

namespace {

const Address kSelf("10.0.0.1:1"), kPeer("10.0.0.2:1"), kThird("10.0.0.3:1");
constexpr std::uint64_t kSelfIncarnation = 100;
constexpr Millis kStartMs = 100000;

// The bodies that the tables send: a message is told apart by its number.
Message messageOf(std::uint64_t number) { return Resign{{number, "owner"}}; }
std::uint64_t numberOf(const Heard& heard) { return std::get<Resign>(heard.message).term.number; }

PeerIncarnations stateOf(const Address& address, std::uint64_t incarnation) {
  PeerIncarnations state;
  state.self = Incarnation{incarnation};
  state.address = address;
  state.bounds.leaseMs = 1000;
  return state;
}

// The numbers of the messages that are handled when this one is heard.
std::string handled(PeerIncarnations& state, const Heard& heard, Millis nowMs, Outbox& out) {
  std::vector<Heard> released;
  const bool admitted = admit(state, heard, {nowMs}, out, released);
  std::string numbers;
  for (const auto& earlier : released) numbers += std::to_string(numberOf(earlier)) + " ";
  if (admitted) numbers += std::to_string(numberOf(heard)) + " ";
  if (!numbers.empty()) numbers.pop_back();
  return numbers;
}

enum class Step { message, proof, tick };

struct Row {
  Step step = Step::message;
  std::uint64_t from = 0;    // the sender's incarnation; 0: of the protocol before incarnations
  std::uint64_t to = 0;      // the addressee's as the sender knows it
  std::uint64_t number = 0;  // of the message, or of the probe that is answered
  Millis afterMs = 0;        // since the row before
  const char* handled = "";
  int probes = 0;  // sent by this row
};

struct Table {
  const char* name;
  std::vector<Row> rows;
};

constexpr auto kMessage = Step::message, kProof = Step::proof, kTick = Step::tick;

const std::vector<Table> kTables{
    {"a first message that names this process is handled at once", {{kMessage, 1, 100, 7, 0, "7", 0}}},
    {"a first message that names nobody waits for the proof, with those after it",
     {{kMessage, 1, 0, 7, 0, "", 1}, {kMessage, 1, 0, 8, 1, "", 0}, {kProof, 1, 100, 1, 1, "7 8", 0}}},
    {"a restarted peer is heard after one round trip, and its earlier process no more",
     {{kMessage, 1, 100, 1, 0, "1", 0},
      {kMessage, 2, 0, 2, 10, "", 1},
      {kProof, 2, 100, 1, 1, "2", 0},
      {kMessage, 1, 100, 3, 1, "", 1},
      {kMessage, 2, 100, 4, 1, "4", 0}}},
    {"a delayed message of the earlier process that comes first does not keep the later one out",
     {{kMessage, 1, 100, 1, 0, "1", 0},
      {kMessage, 2, 100, 2, 0, "", 1},
      {kMessage, 1, 100, 3, 0, "3", 0},
      {kProof, 2, 100, 1, 1, "2", 0}}},
    {"a delayed proof of the earlier process takes nothing back",
     {{kMessage, 1, 0, 1, 0, "", 1},
      {kMessage, 2, 0, 2, 1, "", 1},
      {kProof, 2, 100, 2, 1, "2", 0},
      {kProof, 1, 100, 1, 1, "", 1},
      {kMessage, 2, 100, 3, 1, "3", 0}}},
    {"a lost proof or probe is asked for again",
     {{kMessage, 1, 100, 1, 0, "1", 0},
      {kMessage, 2, 0, 2, 0, "", 1},
      {kTick, 0, 0, 0, 10, "", 0},
      {kTick, 0, 0, 0, 60, "", 1},
      {kProof, 2, 100, 1, 1, "2", 0}}},
    {"a later message asks again too",
     {{kMessage, 1, 100, 1, 0, "1", 0},
      {kMessage, 2, 0, 2, 0, "", 1},
      {kMessage, 2, 0, 3, 60, "", 1},
      {kProof, 2, 100, 1, 1, "2 3", 0}}},
    {"two restarts, the proof of the middle process delayed",
     {{kMessage, 1, 100, 1, 0, "1", 0},
      {kMessage, 2, 0, 2, 0, "", 1},
      {kMessage, 3, 0, 3, 1, "", 1},
      {kProof, 3, 100, 2, 1, "3", 0},
      {kProof, 2, 100, 1, 1, "", 1},
      {kMessage, 3, 100, 4, 1, "4", 0}}},
    {"two restarts, one proved after the other",
     {{kMessage, 1, 100, 1, 0, "1", 0},
      {kMessage, 2, 0, 2, 0, "", 1},
      {kProof, 2, 100, 1, 1, "2", 0},
      {kMessage, 3, 0, 3, 1, "", 1},
      {kProof, 3, 100, 2, 1, "3", 0}}},
    {"a process that was superseded but runs is never locked out",
     {{kMessage, 1, 100, 1, 0, "1", 0},
      {kMessage, 2, 0, 2, 0, "", 1},
      {kProof, 2, 100, 1, 1, "2", 0},
      {kMessage, 1, 100, 3, 1, "", 1},
      {kProof, 1, 100, 2, 1, "3", 0}}},
    {"a proof for another process of this address proves nothing",
     {{kMessage, 1, 100, 1, 0, "1", 0}, {kMessage, 2, 0, 2, 0, "", 1}, {kProof, 2, 99, 1, 100, "", 1}}},
    {"what is meant for an earlier process is dropped, and its sender learns of this one",
     {{kMessage, 1, 100, 1, 0, "1", 0}, {kMessage, 1, 99, 2, 1, "", 1}, {kMessage, 1, 99, 3, 1, "", 0}}},
    {"what an unknown process means for an earlier one is dropped, and its sender learns of this one",
     {{kMessage, 1, 99, 1, 0, "", 1}, {kProof, 1, 100, 1, 1, "", 0}, {kMessage, 1, 100, 2, 1, "2", 0}}},
    {"a peer of the protocol before incarnations is heard, upgraded and taken back",
     {{kMessage, 0, 0, 1, 0, "1", 0},
      {kMessage, 1, 100, 2, 1, "2", 0},
      {kMessage, 0, 0, 3, 1, "", 0},
      {kMessage, 0, 0, 4, 2200, "4", 0}}},
    {"a candidate that is heard no more is forgotten",
     {{kMessage, 1, 100, 1, 0, "1", 0},
      {kMessage, 2, 0, 2, 0, "", 1},
      {kTick, 0, 0, 0, 1100, "", 0},
      {kProof, 2, 100, 1, 1, "", 1},
      {kProof, 2, 100, 2, 1, "", 0},
      {kMessage, 2, 100, 3, 1, "3", 0}}},
};

int probesIn(const Outbox& out) {
  int count = 0;
  for (const auto& send : out.sends) count += std::holds_alternative<IncarnationProbe>(send.message);
  return count;
}

std::string play(const Table& table, const DaemonId& laterId) {
  auto state = stateOf(kSelf, kSelfIncarnation);
  Millis nowMs = kStartMs;
  for (std::size_t at = 0; at < table.rows.size(); ++at) {
    const auto& row = table.rows[at];
    nowMs += row.afterMs;
    Outbox out;
    std::string got;
    if (row.step == kTick) {
      retryProbes(state, {nowMs}, out);
    } else {
      const Message body = row.step == kProof ? Message(IncarnationProof{row.number}) : messageOf(row.number);
      const auto id = row.from > 1 ? laterId : DaemonId("peer");
      got = handled(state, Heard{id, kPeer, body, kSelf, Incarnation{row.from}, Incarnation{row.to}}, nowMs, out);
    }
    if (got != row.handled)
      return std::string(table.name) + ": row " + std::to_string(at) + " handled '" + got + "', wanted '" +
             row.handled + "'";
    if (probesIn(out) != row.probes)
      return std::string(table.name) + ": row " + std::to_string(at) + " sent " + std::to_string(probesIn(out)) +
             " probes";
  }
  return {};
}

}  // namespace

TEST_GROUP(incarnation){};

TEST(incarnation, tables_of_restarts_delays_and_losses) {
  for (const auto& table : kTables) STRCMP_EQUAL("", play(table, DaemonId("peer")).c_str());
}

TEST(incarnation, the_same_when_the_address_is_taken_by_another_daemon) {
  for (const auto& table : kTables) STRCMP_EQUAL("", play(table, DaemonId("another")).c_str());
}

TEST(incarnation, what_is_held_is_bounded_and_keeps_its_order) {
  auto state = stateOf(kSelf, kSelfIncarnation);
  Outbox out;
  const auto heardOf = [](Message body, std::uint64_t to) {
    return Heard{DaemonId("peer"), kPeer, std::move(body), kSelf, Incarnation{1}, Incarnation{to}};
  };
  for (std::uint64_t number = 1; number <= 100; ++number)
    STRCMP_EQUAL("", handled(state, heardOf(messageOf(number), 0), kStartMs, out).c_str());
  LONGS_EQUAL(1, probesIn(out));
  STRCMP_EQUAL("1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16",
               handled(state, heardOf(IncarnationProof{1}, kSelfIncarnation), kStartMs, out).c_str());
  CHECK(state.unproved.empty());
}

TEST(incarnation, a_message_of_an_earlier_process_of_this_very_address_is_dropped) {
  auto state = stateOf(kSelf, kSelfIncarnation);
  Outbox out;
  const auto own = [](std::uint64_t from, std::uint64_t to) {
    return Heard{DaemonId("self"), kSelf, messageOf(1), kSelf, Incarnation{from}, Incarnation{to}};
  };
  STRCMP_EQUAL("1", handled(state, own(kSelfIncarnation, kSelfIncarnation), kStartMs, out).c_str());
  STRCMP_EQUAL("", handled(state, own(99, 99), kStartMs, out).c_str());
  CHECK(out.sends.empty());
}

TEST(incarnation, messages_name_the_addressee_once_it_is_known) {
  auto state = stateOf(kSelf, kSelfIncarnation);
  Outbox out;
  handled(state, Heard{DaemonId("peer"), kPeer, messageOf(1), kSelf, Incarnation{7}, state.self}, kStartMs, out);
  std::vector<Send> sends{{kPeer, messageOf(2), {}},
                          {kThird, messageOf(3), {}},
                          {kSelf, messageOf(4), {}},
                          {kPeer, messageOf(5), Incarnation{6}}};
  addressTo(state, sends);
  LONGS_EQUAL(7, sends[0].toIncarnation.value);
  LONGS_EQUAL(0, sends[1].toIncarnation.value);
  LONGS_EQUAL(kSelfIncarnation, sends[2].toIncarnation.value);
  LONGS_EQUAL(6, sends[3].toIncarnation.value);
}

namespace {

// Two addresses whose processes send to each other and start again at random, over a network that loses, repeats and
// reorders. Incarnations rise here, so that what is handled can be checked; the code under test never orders them.
class Pair {
 public:
  explicit Pair(std::uint64_t seed) : random_(seed) {
    for (std::size_t side : {0u, 1u}) restart(side);
  }

  std::string play() {
    for (int round = 0; round < 400 && broken_.empty(); ++round) {
      nowMs_ += 5;
      const bool calm = round >= 300;
      for (std::size_t side : {0u, 1u}) {
        if (!calm && below(40) == 0) restart(side);
        Outbox out;
        retryProbes(states_[side], {nowMs_}, out);
        out.send(addresses_[1 - side], messageOf(++number_));
        carry(side, std::move(out), calm);
      }
      deliver(calm);
    }
    for (std::size_t side : {0u, 1u})
      if (newest_[side] != states_[1 - side].self.value) broken_ += " a running process is not heard";
    return broken_;
  }

 private:
  std::uint64_t below(std::uint64_t bound) { return random_() % bound; }

  void restart(std::size_t side) {
    states_[side] = stateOf(addresses_[side], ++incarnations_);
    newest_[side] = 0;
  }

  void carry(std::size_t side, Outbox&& out, bool calm) {
    addressTo(states_[side], out.sends);
    for (auto& send : out.sends) {
      if (!calm && below(5) == 0) continue;
      const auto copies = !calm && below(8) == 0 ? 2 : 1;
      for (int copy = 0; copy < copies; ++copy)
        flying_.push_back(
            {nowMs_ + (calm ? 1 : static_cast<Millis>(below(60))), 1 - side,
             Heard{DaemonId("d"), addresses_[side], send.message, send.to, states_[side].self, send.toIncarnation}});
    }
  }

  void deliver(bool calm) {
    auto flying = std::move(flying_);
    flying_.clear();
    for (auto& each : flying) {
      if (each.atMs > nowMs_) {
        flying_.push_back(std::move(each));
        continue;
      }
      Outbox out;
      std::vector<Heard> released;
      const bool admitted = admit(states_[each.side], each.heard, {nowMs_}, out, released);
      if (admitted) released.push_back(each.heard);
      for (const auto& heard : released) note(each.side, heard.incarnation.value);
      carry(each.side, std::move(out), calm);
    }
  }

  void note(std::size_t side, std::uint64_t incarnation) {
    if (incarnation < newest_[side]) broken_ = "an earlier process is heard after a later one";
    newest_[side] = incarnation;
  }

  struct Flying {
    Millis atMs;
    std::size_t side;
    Heard heard;
  };
  std::mt19937_64 random_;
  const Address addresses_[2] = {kSelf, kPeer};
  PeerIncarnations states_[2];
  std::uint64_t newest_[2] = {0, 0};
  std::uint64_t incarnations_ = 0, number_ = 0;
  std::vector<Flying> flying_;
  Millis nowMs_ = kStartMs;
  std::string broken_;
};

}  // namespace

TEST(incarnation, whatever_is_lost_repeated_and_delayed_only_later_processes_take_over_and_running_ones_are_heard) {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    Pair pair(seed);
    STRCMP_EQUAL_TEXT("", pair.play().c_str(), std::to_string(seed).c_str());
  }
}

namespace {

Settings replicaSettings(const Address& address) {
  Settings settings;
  settings.role = Role::replica;
  settings.peerAddress = address;
  settings.zone = ZoneName("a");
  settings.dataFolder = "simulated";
  settings.seeds = {kSelf, kPeer, kThird};
  return settings;
}

const Membership kThree{1, {{DaemonId("a"), kSelf}, {DaemonId("b"), kPeer}, {DaemonId("c"), kThird}}, 0};

storage::Image voterImage() {
  storage::Image image;
  image.id = DaemonId("a");
  image.membership = kThree;
  image.voting = true;
  return image;
}

control::ReplicaState voter() { return control::makeReplica(replicaSettings(kSelf), voterImage(), "self", {kStartMs}); }

struct Sender {
  const char* id;
  Address address;
  Incarnation incarnation;
};

const Sender kB1{"b", kPeer, {11}}, kB2{"b", kPeer, {12}}, kC1{"c", kThird, {21}};

struct Beat {
  std::uint64_t number;
  Millis sentMs;
  Millis acknowledgedMs;
  Incarnation acknowledged;
};

void hears(control::ReplicaState& replica, const Sender& sender, const Beat& beat, Millis nowMs) {
  ReplicaHeartbeat heartbeat;
  heartbeat.voter = {DaemonId(sender.id), sender.address};
  heartbeat.empty = false;
  heartbeat.membership = kThree;
  heartbeat.voting = true;
  heartbeat.number = beat.number;
  heartbeat.sentMs = beat.sentMs;
  heartbeat.acknowledgedMs = beat.acknowledgedMs;
  heartbeat.acknowledgedIncarnation = beat.acknowledged;
  Outbox out;
  control::replicaStep(replica, Heard{DaemonId(sender.id), sender.address, heartbeat, kSelf, sender.incarnation},
                       {nowMs}, out);
}

}  // namespace

TEST_GROUP(identity) {
  control::ReplicaState a = voter();
  Incarnation self = a.client.process;
};

// The smallest sequence of a core machine that loses power and another one that is lost after it.
TEST(identity, a_voter_whose_clock_starts_lower_after_a_power_loss_is_heard_and_bears_the_next_loss) {
  hears(a, kB1, {50, 900000, kStartMs, self}, kStartMs + 10);
  hears(a, kC1, {50, 700000, kStartMs, self}, kStartMs + 10);
  CHECK(control::hasQuorumLease(a, {kStartMs + 10}));
  const Millis laterMs = kStartMs + 5000;
  hears(a, kB2, {1, 800, laterMs - 5, self}, laterMs);
  CHECK(control::hasQuorumLease(a, {laterMs}));
  LONGS_EQUAL(laterMs, a.others.at(kPeer).heardMs);
}

TEST(identity, acknowledgements_go_on_while_changes_come_faster_than_heartbeats) {
  const auto gapMs = a.client.settings.bounds.heartbeatMs() / 3;
  const int changes = 30;
  Outbox out;
  for (int i = 1; i <= changes; ++i) {
    const Millis nowMs = kStartMs + i * gapMs;
    config::Stored stored;
    stored.version = static_cast<Version>(i);
    stored.text = "{}";
    const RegisterChosen chosen{"chart", {static_cast<std::uint64_t>(i), "p"}, config::writeStored(stored)};
    control::replicaStep(a, Heard{DaemonId("p"), kThird, chosen}, {nowMs}, out);
    hears(a, kB1, {static_cast<std::uint64_t>(i), nowMs, nowMs - 1, self}, nowMs);
    for (const auto& persist : std::exchange(out.persists, {}))
      control::replicaStep(a, Persisted{persist.ticket, true}, {nowMs}, out);
    control::replicaStep(a, Tick{}, {nowMs}, out);
  }
  int acknowledged = 0, values = 0;
  for (const auto& send : out.sends) {
    const auto* sent = std::get_if<ReplicaHeartbeat>(&send.message);
    if (!sent || send.to != kPeer) continue;
    acknowledged += sent->acknowledgedMs > 0 ? 1 : 0;
    values += sent->configValue.empty() ? 0 : 1;
  }
  const int heartbeats = changes / 3;
  CHECK(acknowledged >= heartbeats / 2);
  CHECK(values <= heartbeats);
}

TEST(identity, a_heartbeat_that_comes_after_a_later_one_of_its_process_says_nothing) {
  hears(a, kB1, {7, 900000, kStartMs, self}, kStartMs + 10);
  hears(a, kB1, {6, 900000, kStartMs, self}, kStartMs + 500);
  LONGS_EQUAL(kStartMs + 10, a.others.at(kPeer).heardMs);
  hears(a, kB1, {8, 900000, kStartMs, self}, kStartMs + 600);
  LONGS_EQUAL(kStartMs + 600, a.others.at(kPeer).heardMs);
}

TEST(identity, no_lease_is_counted_from_a_heartbeat_of_an_earlier_process) {
  hears(a, kB1, {1, 10, kStartMs + 5, Incarnation{99}}, kStartMs + 10);
  CHECK_FALSE(control::hasQuorumLease(a, {kStartMs + 10}));
  hears(a, kB1, {2, 10, kStartMs - 5, self}, kStartMs + 10);
  CHECK_FALSE(control::hasQuorumLease(a, {kStartMs + 10}));
  hears(a, kB1, {3, 10, kStartMs + 5, self}, kStartMs + 10);
  CHECK(control::hasQuorumLease(a, {kStartMs + 10}));
}

TEST(identity, a_grant_for_an_earlier_process_at_this_address_gives_no_session) {
  Settings settings = replicaSettings(kThird);
  settings.role = Role::scheduler;
  auto client = control::makeControlClient(settings, DaemonId("p"), "later");
  SessionGrant grant;
  grant.heartbeat = 1;
  grant.sentMs = kStartMs;
  grant.leaseMs = 1000;
  grant.membership = kThree;
  grant.grantee = incarnationOf("earlier");
  Outbox out;
  const auto hear = [&] { control::clientHeard(client, Heard{DaemonId("a"), kSelf, grant}, {kStartMs + 10}, out); };
  hear();
  CHECK_FALSE(control::sessionLive(client, {kStartMs + 10}));
  grant.grantee = client.process;
  hear();
  CHECK(control::sessionLive(client, {kStartMs + 10}));
}

TEST(identity, the_leader_of_a_grant_that_comes_after_a_later_one_is_not_taken) {
  Settings settings = replicaSettings(kThird);
  settings.role = Role::scheduler;
  auto client = control::makeControlClient(settings, DaemonId("p"), "i");
  const auto hear = [&](std::uint64_t heartbeat, std::uint64_t term) {
    SessionGrant grant;
    grant.heartbeat = heartbeat;
    grant.sentMs = kStartMs;
    grant.leaseMs = 1000;
    grant.membership = kThree;
    grant.leader = {{term, "leader"}, kPeer, kPeer};
    Outbox out;
    control::clientHeard(client, Heard{DaemonId("a"), kSelf, grant}, {kStartMs + 10}, out);
  };
  hear(5, 9);
  hear(4, 8);
  LONGS_EQUAL(9, client.leader.term.number);
  hear(5, 10);
  LONGS_EQUAL(10, client.leader.term.number);
}

TEST(identity, the_state_of_another_proposal_confirms_nothing) {
  Settings settings = replicaSettings(Address("10.0.0.9:1"));
  settings.role = Role::scheduler;
  auto client = control::makeControlClient(settings, DaemonId("p"), "i");
  client.membership = kThree;
  Outbox out;
  control::Edit edit;
  edit.whole = true;
  edit.body = "{}";
  control::proposeConfig(client, 77, edit, 4000, {kStartMs}, out);
  const auto tell = [&](const Address& from, Message message) {
    control::clientHeard(client, Heard{DaemonId("q"), from, std::move(message)}, {kStartMs + 10}, out);
  };
  const auto ballot = client.proposals.front().ballot;
  for (const auto& from : {kSelf, kPeer}) tell(from, RegisterPromise{"chart", ballot, true, ballot, {}, {}});
  for (const auto& from : {kSelf, kPeer}) tell(from, RegisterAccepted{"chart", ballot, true, ballot});
  const auto version = client.proposals.front().version;
  const Ballot another{ballot.number, "p/earlier"};
  for (const auto& from : {kSelf, kPeer, kThird}) tell(from, AckState{version, ballot.number, true, {}, {}, another});
  LONGS_EQUAL(0, out.answers.size());
  for (const auto& from : {kSelf, kPeer, kThird})
    tell(from, AckState{version + 1, ballot.number, true, {}, {}, ballot});
  LONGS_EQUAL(0, out.answers.size());
  for (const auto& from : {kSelf, kPeer, kThird}) tell(from, AckState{version, ballot.number, true, {}, {}, ballot});
  LONGS_EQUAL(1, out.answers.size());
  LONGS_EQUAL(200, out.answers.front().status);
}

TEST(identity, the_state_given_to_an_earlier_process_is_not_caught_up_from) {
  auto image = voterImage();
  image.voting = false;
  auto replica = control::makeReplica(replicaSettings(kSelf), image, "self", {kStartMs});
  Outbox out;
  const auto give = [&](const char* id, Incarnation asker) {
    CatchUpGive state;
    state.membership = 1;
    state.id = DaemonId(id);
    state.question = {asker, 1};
    control::replicaStep(replica, Heard{DaemonId(id), kPeer, state, kSelf, {11}}, {kStartMs + 10}, out);
  };
  for (const char* id : {"b", "c"}) give(id, Incarnation{99});
  CHECK_FALSE(replica.image.voting);
  for (const char* id : {"b", "c"}) give(id, replica.client.process);
  CHECK(replica.image.voting);
}

TEST(identity, a_node_handles_no_message_of_a_superseded_process) {
  auto node = daemon::makeNode(replicaSettings(kSelf), DaemonId("a"), "self", voterImage(), {kStartMs});
  const auto hear = [&](Message message, std::uint64_t from, Millis nowMs) {
    Outbox out;
    daemon::nodeStep(node, Heard{DaemonId("b"), kPeer, std::move(message), kSelf, {from}, node.incarnations.self},
                     {nowMs}, out);
    return out;
  };
  const auto heartbeatOf = [](Millis sentMs) {
    ReplicaHeartbeat heartbeat;
    heartbeat.voter = {DaemonId("b"), kPeer};
    heartbeat.membership = kThree;
    heartbeat.number = 1;
    heartbeat.sentMs = sentMs;
    return heartbeat;
  };
  hear(heartbeatOf(900000), 11, kStartMs + 10);
  LONGS_EQUAL(kStartMs + 10, node.replica->others.at(kPeer).heardMs);
  const auto probed = hear(heartbeatOf(5), 12, kStartMs + 20);
  LONGS_EQUAL(kStartMs + 10, node.replica->others.at(kPeer).heardMs);
  const auto* probe = std::get_if<IncarnationProbe>(&probed.sends.at(0).message);
  CHECK(probe != nullptr);
  LONGS_EQUAL(12, probed.sends.at(0).toIncarnation.value);
  hear(IncarnationProof{probe->number}, 12, kStartMs + 21);
  LONGS_EQUAL(kStartMs + 21, node.replica->others.at(kPeer).heardMs);
  LONGS_EQUAL(5, node.replica->others.at(kPeer).last.sentMs);
  hear(heartbeatOf(900001), 11, kStartMs + 30);
  LONGS_EQUAL(kStartMs + 21, node.replica->others.at(kPeer).heardMs);
  const auto answered = hear(IncarnationProbe{9}, 12, kStartMs + 31);
  LONGS_EQUAL(9, std::get<IncarnationProof>(answered.sends.at(0).message).number);
}
