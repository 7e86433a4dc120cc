#include <CppUTest/TestHarness.h>

#include "control/replica.hpp"
#include "daemon/event_queue.hpp"
#include "scheduler/scheduler.hpp"
#include "transport/wire.hpp"

using namespace tulip;

namespace {

constexpr std::size_t kJobs = 100;
constexpr std::size_t kJobBytes = 1000;
constexpr Millis kNowMs = 100000;
constexpr Millis kNeverMs = 3600 * 1000;  // no connection is given up in the time of a test

std::vector<transport::Entry> jobLog() {
  std::vector<transport::Entry> entries;
  for (std::size_t i = 0; i < kJobs; ++i)
    entries.push_back({"job" + std::to_string(i), {}, std::string(kJobBytes, 'j')});
  return entries;
}

/// A voter with a job log, whose leader's lease is over.
control::ReplicaState voterWithJobs() {
  const Address self("10.0.0.1:1");
  Settings settings;
  settings.role = Role::replica;
  settings.peerAddress = self;
  settings.dataFolder = "d";
  storage::Image image;
  image.id = DaemonId("a");
  image.voting = true;
  image.membership = {1, {{image.id, self}}};
  for (const auto& entry : jobLog()) image.jobs.emplace(entry.key, entry);
  return control::makeReplica(settings, std::move(image), "i", {kNowMs - 10 * settings.bounds.leaseMs});
}

std::size_t entriesOf(const transport::Send& send) {
  const auto* promise = std::get_if<transport::JobLogPromise>(&send.message);
  return promise ? promise->entries.size() : 0;
}

std::size_t entriesWaiting(const control::ReplicaState& replica) {
  std::size_t entries = 0;
  for (const auto& [ticket, unsynced] : replica.waiting)
    for (const auto& send : unsynced.sends) entries += entriesOf(send);
  return entries;
}

transport::Frame frameOf(transport::Message message, const char* to) {
  transport::Frame frame;
  frame.from = Address("127.0.0.1:1");
  frame.to = Address(to);
  frame.message = std::move(message);
  return frame;
}

transport::JobLogPromise wholePromise(std::uint64_t term) {
  transport::JobLogPromise promise;
  promise.term = {term, "candidate"};
  promise.ok = true;
  promise.entries = jobLog();
  return promise;
}

}  // namespace

TEST_GROUP(overload){};

namespace {

const auto kAtOnce = std::chrono::steady_clock::time_point::min();

daemon::QueuedEvent heardEvent(transport::Message message) {
  return {0, transport::Heard{DaemonId("d"), Address("10.0.0.1:1"), std::move(message)}, 0};
}

daemon::QueuedEvent askedEvent() { return {0, transport::Ask{}, 0}; }

}  // namespace

TEST(overload, callers_never_fill_a_queue_that_daemons_need) {
  daemon::EventQueue queue(8);
  int taken = 0;
  while (queue.offerWithin(askedEvent(), 2)) ++taken;
  LONGS_EQUAL(2, taken);
  while (queue.offer(heardEvent(transport::AgentReport{}))) ++taken;
  LONGS_EQUAL(8, taken);
  while (queue.offer(heardEvent(transport::JobLogAccepted{}))) ++taken;
  LONGS_EQUAL(16, taken);
  LONGS_EQUAL(16, queue.takeUntil(kAtOnce, 100).size());
  CHECK(queue.offerWithin(askedEvent(), 2));
}

// A leader's lease lapsed while acknowledgements of its heartbeats waited behind hundreds of reports and calls.
TEST(overload, leases_and_acknowledgements_do_not_wait_behind_work) {
  constexpr std::size_t kReports = 1000;
  constexpr std::size_t kAtOnceReports = 16;
  daemon::EventQueue queue(4 * kReports);
  for (std::size_t i = 0; i < kReports; ++i) CHECK(queue.offer(heardEvent(transport::AgentReport{})));
  for (const transport::Message& message :
       {transport::Message(transport::JobLogAccepted{}), transport::Message(transport::SessionGrant{}),
        transport::Message(transport::AckQuery{})})
    CHECK(queue.offer(heardEvent(message)));
  CHECK(queue.push({0, transport::Persisted{}, 0}));
  CHECK(queue.offer({0, transport::PoliteStop{}, 0}));
  const auto first = queue.takeUntil(kAtOnce, kAtOnceReports);
  LONGS_EQUAL(4 + kAtOnceReports, first.size());
  CHECK(daemon::kindOf(first[0].event) == daemon::EventKind::replication);
  CHECK(daemon::kindOf(first[1].event) == daemon::EventKind::session);
  CHECK(daemon::kindOf(first[2].event) == daemon::EventKind::configuration);
  CHECK(daemon::kindOf(first[3].event) == daemon::EventKind::disk);
  CHECK(daemon::kindOf(first[4].event) == daemon::EventKind::report);
  const auto rest = queue.takeUntil(kAtOnce, 2 * kReports);
  LONGS_EQUAL(kReports - kAtOnceReports + 1, rest.size());
  CHECK(daemon::kindOf(rest.back().event) == daemon::EventKind::stop);
}

TEST(overload, a_closed_queue_takes_nothing_and_holds_nobody) {
  daemon::EventQueue queue(1);
  CHECK(queue.push(askedEvent()));
  queue.close();
  CHECK_FALSE(queue.offer(askedEvent()));
  CHECK_FALSE(queue.push(askedEvent()));
  LONGS_EQUAL(1, queue.takeUntil(kAtOnce, 1).size());
  LONGS_EQUAL(0, queue.takeUntil(kAtOnce, 1).size());
}

TEST(overload, a_flood_on_one_queue_line_leaves_the_others_their_share) {
  auto scheduler = scheduler::makeScheduler(Settings{}, DaemonId("p"), "i");
  auto config = std::make_shared<config::Config>();
  std::vector<config::Fault> faults;
  CHECK(config::readConfigText(
      R"({"pendings":{"a":{},"b":{}},"pools":{"s":{"slots":8,"workers":2}},"gangway":{"mostOpenJobs":40}})", *config,
      faults));
  scheduler.client.config = config;
  transport::Outbox out;
  int id = 0;
  auto submit = [&](const char* line) {
    const auto rejected = scheduler.counts.rejected;
    scheduler::submitJob(
        scheduler, 1, R"({"id":"j)" + std::to_string(++id) + R"(","pending":")" + line + R"(","tasks":[{"name":"t"}]})",
        {1}, out);
    return scheduler.counts.rejected == rejected;
  };
  int a = 0, b = 0;
  for (int i = 0; i < 1000; ++i) a += submit("a");
  for (int i = 0; i < 1000; ++i) b += submit("b");
  LONGS_EQUAL(20, a);
  LONGS_EQUAL(10, b);
  LONGS_EQUAL(30, scheduler.jobs.size());
  LONGS_EQUAL(1970, out.answers.size());
  for (const auto& answer : out.answers) {
    LONGS_EQUAL(503, answer.status);
    CHECK(answer.retryMs > 0);
  }
}

TEST(overload, a_replica_holds_its_job_log_once_for_all_promises_that_wait_for_the_disk) {
  auto replica = voterWithJobs();
  transport::Outbox out;
  std::uint64_t last = 0;
  for (std::uint64_t term = 1; term <= 30; ++term)
    for (int repeat = 0; repeat < 3; ++repeat) {
      const transport::JobLogPrepare prepare{1, {last = term, "candidate"}, {}};
      control::replicaStep(replica, transport::Heard{DaemonId("p"), Address("10.0.0.2:1"), prepare},
                           {kNowMs + static_cast<Millis>(term)}, out);
      CHECK(entriesWaiting(replica) <= kJobs);
    }
  LONGS_EQUAL(0, out.sends.size());
  for (const auto& persist : out.persists)
    control::replicaStep(replica, transport::Persisted{persist.ticket, true}, {kNowMs + 100}, out);
  std::size_t promised = 0;
  for (const auto& send : out.sends) {
    if (!entriesOf(send)) continue;
    ++promised;
    LONGS_EQUAL(last, std::get<transport::JobLogPromise>(send.message).term.number);
  }
  LONGS_EQUAL(1, promised);
}

TEST(overload, state_sent_again_to_a_peer_that_takes_nothing_is_held_once) {
  boost::asio::io_context context;  // never run: no connection comes about
  transport::Wire wire(
      context, Bounds{}.leaseMs, [](transport::Frame&&) {}, [](std::string) {});
  const auto onePromise = transport::encode(frameOf(wholePromise(1), "127.0.0.1:2")).size();
  for (std::uint64_t term = 1; term <= 30; ++term) {
    wire.send(frameOf(wholePromise(term), "127.0.0.1:2"));
    transport::JobLogAccept batch;
    batch.seq = term;
    batch.entries = jobLog();
    wire.send(frameOf(batch, "127.0.0.1:2"));
    transport::CatchUpGive state;
    state.entries = jobLog();
    wire.send(frameOf(state, "127.0.0.1:2"));
  }
  CHECK(wire.counts().queuedBytes < 4 * onePromise);
  LONGS_EQUAL(3 * 29, wire.counts().superseded);
  LONGS_EQUAL(0, wire.counts().dropped);
}

TEST(overload, state_for_one_peer_takes_no_place_of_another) {
  boost::asio::io_context context;
  transport::Wire wire(
      context, Bounds{}.leaseMs, [](transport::Frame&&) {}, [](std::string) {});
  for (const char* to : {"127.0.0.1:2", "127.0.0.1:3"}) wire.send(frameOf(wholePromise(1), to));
  LONGS_EQUAL(0, wire.counts().superseded);
}

TEST(overload, short_answers_and_heartbeats_take_no_place_of_one_another) {
  boost::asio::io_context context;
  transport::Wire wire(
      context, Bounds{}.leaseMs, [](transport::Frame&&) {}, [](std::string) {});
  for (int i = 0; i < 3; ++i) {
    wire.send(frameOf(transport::JobLogPromise{}, "127.0.0.1:2"));
    wire.send(frameOf(transport::JobLogAccept{}, "127.0.0.1:2"));
  }
  LONGS_EQUAL(0, wire.counts().superseded);
}

TEST(overload, what_waits_for_a_connection_that_is_given_up_is_no_longer_counted) {
  boost::asio::io_context context;
  transport::Wire wire(
      context, Bounds{}.leaseMs, [](transport::Frame&&) {}, [](std::string) {});
  wire.send(frameOf(wholePromise(1), "127.0.0.1:2"));
  CHECK(wire.counts().queuedBytes > 0);
  wire.close();
  LONGS_EQUAL(0, wire.counts().queuedBytes);
}

TEST(overload, state_that_is_being_written_to_a_peer_that_reads_nothing_is_not_queued_behind_itself) {
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor(context, {boost::asio::ip::address_v4::loopback(), 0});
  const auto to = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  transport::Wire wire(
      context, kNeverMs, [](transport::Frame&&) {}, [](std::string) {});
  auto promise = wholePromise(1);
  promise.entries.front().value.assign(std::size_t{16} << 20, 'j');  // more than the sockets buffer
  wire.send(frameOf(promise, to.c_str()));
  while (wire.counts().queuedBytes > 0) context.run_one();  // until connected: it is being written from here on
  LONGS_EQUAL(0, wire.counts().queuedBytes);
  for (int again = 0; again < 10; ++again) wire.send(frameOf(promise, to.c_str()));
  LONGS_EQUAL(0, wire.counts().queuedBytes);
  LONGS_EQUAL(10, wire.counts().superseded);
  wire.send(frameOf(transport::JobLogPromise{}, to.c_str()));
  CHECK(wire.counts().queuedBytes > 0);
}

namespace {

/// Connections that send what they are told to a wire, and are closed by it or not.
struct StrangePeers {
  explicit StrangePeers(const ConnectionLimits& limits)
      : at("127.0.0.1:" + std::to_string(freePort())),
        wire(
            context, kNeverMs, [this](transport::Frame&&) { ++frames; }, [](std::string) {}, limits) {
    wire.listen(at);
  }

  int freePort() {
    boost::asio::ip::tcp::acceptor acceptor(context, {boost::asio::ip::address_v4::loopback(), 0});
    return acceptor.local_endpoint().port();
  }

  boost::asio::ip::tcp::socket& connect() {
    sockets.push_back(std::make_unique<boost::asio::ip::tcp::socket>(context));
    sockets.back()->connect(transport::endpointOf(at));
    settle();
    return *sockets.back();
  }

  void send(boost::asio::ip::tcp::socket& socket, const std::string& bytes) {
    socket.non_blocking(true);
    std::size_t sent = 0;
    boost::system::error_code failed;
    while (sent < bytes.size() && (!failed || failed == boost::asio::error::would_block)) {
      sent += socket.write_some(boost::asio::buffer(bytes.data() + sent, bytes.size() - sent), failed);
      settle();
    }
  }

  void settle() {
    context.restart();
    while (context.poll() > 0) context.restart();
  }

  boost::asio::io_context context;
  Address at;
  int frames = 0;
  transport::Wire wire;
  std::vector<std::unique_ptr<boost::asio::ip::tcp::socket>> sockets;
};

std::string lengthOf(std::uint32_t size) {
  return {static_cast<char>(size >> 24), static_cast<char>(size >> 16), static_cast<char>(size >> 8),
          static_cast<char>(size)};
}

std::string wholeFrame(const Address& to) {
  const auto body = transport::encode(frameOf(transport::JobLogPromise{}, to.value.c_str()));
  return lengthOf(static_cast<std::uint32_t>(body.size())) + body;
}

}  // namespace

TEST(overload, connections_that_send_nothing_readable_give_way_and_a_peer_stays) {
  auto limits = connectionLimits({});
  limits.unprovenPeers = 4;
  StrangePeers peers(limits);
  auto& peer = peers.connect();
  peers.send(peer, wholeFrame(peers.at));
  LONGS_EQUAL(1, peers.frames);
  for (int i = 0; i < 20; ++i) peers.connect();
  LONGS_EQUAL(16, peers.wire.counts().closedUnproven);
  LONGS_EQUAL(5, peers.wire.connections());
  peers.send(peer, wholeFrame(peers.at));
  LONGS_EQUAL(2, peers.frames);
}

TEST(overload, unreadable_frames_hold_no_more_than_their_part_of_the_memory) {
  constexpr std::size_t kPart = 300000;
  auto limits = connectionLimits({});
  limits.unprovenPeerBytes = 1 << 20;
  StrangePeers peers(limits);
  for (int i = 0; i < 10; ++i) peers.send(peers.connect(), lengthOf(1000000) + std::string(kPart, 'f'));
  CHECK(peers.wire.counts().closedUnproven >= 6);
  CHECK(peers.wire.connections() <= 4);
  peers.send(peers.connect(), lengthOf(200u << 20) + "more than may be held");
  LONGS_EQUAL(1, peers.wire.counts().malformed);
  auto& peer = peers.connect();
  peers.send(peer, wholeFrame(peers.at));
  LONGS_EQUAL(1, peers.frames);
}

TEST(overload, a_frame_of_more_elements_than_memory_bears_is_malformed) {
  constexpr std::uint32_t kElements = 100000;
  constexpr char kList32 = static_cast<char>(0xdd);
  const auto list = std::string(1, kList32) + lengthOf(kElements) + std::string(kElements, '\x90');
  transport::Frame frame;
  CHECK(transport::decode(list, frame, kElements) == transport::Decoded::malformed);
  const auto whole = transport::encode(frameOf(wholePromise(1), "127.0.0.1:2"));
  CHECK(transport::decode(whole, frame, kJobs * sizeof(msgpack::object)) == transport::Decoded::malformed);
  CHECK(transport::decode(whole, frame, 100 * whole.size()) == transport::Decoded::ok);
}
