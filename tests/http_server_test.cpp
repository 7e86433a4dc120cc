#include "http/http.hpp"

#include <CppUTest/TestHarness.h>

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include "transport/wire.hpp"

using namespace tulip;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr auto kPatience = std::chrono::seconds(60);  // a test that hangs fails; no test waits for time to pass

/// A connection that writes what it is told and keeps all that comes back.
struct Client {
  explicit Client(asio::io_context& context) : socket(context) {}

  void connect(const Address& to) {
    socket.connect(transport::endpointOf(to));
    read();
  }

  void send(std::string_view text) { asio::write(socket, asio::buffer(text.data(), text.size())); }

  void reset() {
    socket.set_option(asio::socket_base::linger(true, 0));
    socket.close();
  }

  bool holds(std::string_view text) const { return received.find(text) != std::string::npos; }

  std::size_t count(std::string_view text) const {
    std::size_t found = 0;
    for (auto at = received.find(text); at != std::string::npos; at = received.find(text, at + text.size())) ++found;
    return found;
  }

  void read() {
    socket.async_read_some(asio::buffer(part), [this](boost::system::error_code failed, std::size_t size) {
      if (failed) {
        ended = true;
        return;
      }
      received.append(part.data(), size);
      read();
    });
  }

  tcp::socket socket;
  std::array<char, 65536> part;
  std::string received;
  bool ended = false;
};

std::string requestText(std::string_view method, std::string_view target, std::string_view body = {}) {
  return std::string(method) + " " + std::string(target) +
         " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

}  // namespace

TEST_GROUP(http_server) {
  asio::io_context context;
  std::vector<transport::Ask> asks;
  std::unique_ptr<http::HttpServer> server;
  std::vector<std::unique_ptr<Client>> clients;

  void setup() override { begin(connectionLimits({})); }

  void begin(const ConnectionLimits& limits) {
    Bounds bounds;
    bounds.leaseMs = 10;
    bounds.callMs = 60000;
    server = std::make_unique<http::HttpServer>(
        context, bounds, 1 << 20,
        [this](std::size_t, transport::Ask&& ask) {
          asks.push_back(std::move(ask));
          return true;
        },
        nullptr, limits);
    server->listen(Address("127.0.0.1:0"), FaceKind::own, 0);
  }

  void teardown() override {
    server->close();
    boost::system::error_code ignored;
    for (const auto& each : clients) each->socket.close(ignored);
    settle();
    clients.clear();
    server.reset();
  }

  Client& client() {
    clients.push_back(std::make_unique<Client>(context));
    clients.back()->connect(server->boundAddresses().front());
    return *clients.back();
  }

  template <class Done>
  void runUntil(Done done) {
    const auto until = std::chrono::steady_clock::now() + kPatience;
    while (!done()) {
      context.restart();
      CHECK(context.run_one_until(until) > 0);
    }
  }

  /// Everything that can happen without new input has happened.
  void settle() {
    context.restart();
    while (context.poll() > 0) context.restart();
  }

  void answer(std::size_t at, std::string body, int status = 200) {
    server->answer({asks.at(at).requestId, status, 0, std::move(body), Kind::ok, {}});
  }

  bool allClosed() const { return server->counts().open == 0; }
};

TEST(http_server, pipelined_requests_are_answered_in_order_one_at_a_time) {
  auto& caller = client();
  caller.send(requestText("GET", "/a") + requestText("GET", "/b") + requestText("POST", "/c", "body"));
  runUntil([&] { return asks.size() == 1; });
  settle();
  LONGS_EQUAL(1, asks.size());
  for (std::size_t at = 0; at < 3; ++at) {
    answer(at, "\"" + asks[at].path + "\"");
    runUntil([&] { return caller.count("HTTP/1.1 200") == at + 1; });
    if (at < 2) runUntil([&] { return asks.size() == at + 2; });
  }
  CHECK(caller.received.find("\"/a\"") < caller.received.find("\"/b\""));
  CHECK(caller.received.find("\"/b\"") < caller.received.find("\"/c\""));
  STRCMP_EQUAL("body", asks[2].body.c_str());
}

TEST(http_server, a_caller_is_sent_on_with_the_target_that_it_asked_for) {
  auto& caller = client();
  caller.send(requestText("GET", "/a?b=1"));
  runUntil([&] { return asks.size() == 1; });
  transport::Outbox out;
  out.redirect(asks[0].requestId, Address("10.0.0.1:8166"));
  server->answer(out.answers.at(0));
  runUntil([&] { return caller.holds("\r\n\r\n"); });
  CHECK(caller.holds("HTTP/1.1 307 Temporary Redirect\r\n"));
  CHECK(caller.holds("\r\nLocation: http://10.0.0.1:8166/a?b=1\r\n"));
}

TEST(http_server, answers_are_counted_by_status_and_metrics_are_plain_text) {
  server->listen(Address("127.0.0.1:0"), FaceKind::metrics, 0);
  clients.push_back(std::make_unique<Client>(context));
  auto& caller = *clients.back();
  caller.connect(server->boundAddresses().at(1));
  caller.send(requestText("GET", "/metrics"));
  runUntil([&] { return asks.size() == 1; });
  CHECK(asks[0].face == FaceKind::metrics);
  answer(0, "a 1\n");
  runUntil([&] { return caller.holds("a 1\n"); });
  CHECK(caller.holds("\r\nContent-Type: text/plain; version=0.0.4; charset=utf-8\r\n"));
  LONGS_EQUAL(1, server->counts().byStatus[200].load());
  LONGS_EQUAL(0, server->counts().byStatus[404].load());
}

TEST(http_server, a_client_that_has_shut_its_sending_side_gets_its_answer) {
  auto& caller = client();
  caller.send(requestText("GET", "/a"));
  caller.socket.shutdown(tcp::socket::shutdown_send);
  runUntil([&] { return asks.size() == 1; });
  settle();
  answer(0, "\"late\"");
  runUntil([&] { return caller.ended; });
  CHECK(caller.holds("\"late\""));
  runUntil([&] { return allClosed(); });
}

TEST(http_server, pipelined_requests_of_a_half_closed_client_are_all_answered) {
  auto& caller = client();
  caller.send(requestText("GET", "/a") + requestText("GET", "/b"));
  caller.socket.shutdown(tcp::socket::shutdown_send);
  runUntil([&] { return asks.size() == 1; });
  answer(0, "\"one\"");
  runUntil([&] { return asks.size() == 2; });
  answer(1, "\"two\"");
  runUntil([&] { return caller.ended; });
  CHECK(caller.holds("\"one\""));
  CHECK(caller.holds("\"two\""));
}

TEST(http_server, an_answer_for_a_client_that_went_away_reaches_nobody_else) {
  auto& gone = client();
  gone.send(requestText("GET", "/gone"));
  runUntil([&] { return asks.size() == 1; });
  gone.reset();
  auto& other = client();
  other.send(requestText("GET", "/other"));
  runUntil([&] { return asks.size() == 2; });
  answer(0, "\"for the one gone\"");
  settle();
  STRCMP_EQUAL("", other.received.c_str());
  answer(1, "\"for the other\"");
  runUntil([&] { return other.holds("\"for the other\""); });
  CHECK_FALSE(other.holds("gone"));
  runUntil([&] { return server->counts().open == 1; });
  answer(0, "\"again\"");
  settle();
  CHECK_FALSE(other.holds("again"));
}

TEST(http_server, an_answer_larger_than_every_buffer_arrives_whole) {
  auto& caller = client();
  caller.send(requestText("GET", "/large"));
  runUntil([&] { return asks.size() == 1; });
  const std::string body(32u << 20, 'x');
  answer(0, body);
  server->leave();
  runUntil([&] { return caller.received.size() > body.size() && caller.ended == false && server->answered(); });
  const auto head = caller.received.find("\r\n\r\n");
  runUntil([&] { return caller.received.size() == head + 4 + body.size(); });
  CHECK(caller.received.substr(head + 4) == body);
}

TEST(http_server, a_connection_reset_in_the_middle_of_its_answer_frees_everything) {
  auto& caller = client();
  caller.send(requestText("GET", "/large"));
  runUntil([&] { return asks.size() == 1; });
  answer(0, std::string(32u << 20, 'x'));
  runUntil([&] { return caller.received.size() > 100000; });
  caller.reset();
  runUntil([&] { return allClosed() && server->answered(); });
}

TEST(http_server, requests_cut_short_are_not_carried_out) {
  const auto whole = requestText("POST", "/jobs", "{\"id\":\"a\"}");
  for (const std::size_t size : {std::size_t{1}, whole.size() / 2, whole.size() - 1}) {
    auto& caller = client();
    caller.send(std::string_view(whole).substr(0, size));
    caller.socket.shutdown(tcp::socket::shutdown_send);
    runUntil([&] { return caller.ended; });
    auto& other = client();
    other.send(std::string_view(whole).substr(0, size));
    settle();
    other.reset();
  }
  runUntil([&] { return allClosed(); });
  LONGS_EQUAL(0, asks.size());
}

TEST(http_server, requests_that_were_read_before_the_stop_are_all_answered) {
  auto& caller = client();
  caller.send(requestText("GET", "/a") + requestText("GET", "/b"));
  runUntil([&] { return asks.size() == 1; });
  server->leave();
  answer(0, "\"one\"");
  runUntil([&] { return caller.holds("\"one\"") || caller.ended; });
  CHECK_FALSE(server->answered());
  runUntil([&] { return asks.size() == 2 || caller.ended; });
  LONGS_EQUAL(2, asks.size());
  CHECK_FALSE(server->answered());
  answer(1, "\"two\"");
  runUntil([&] { return caller.ended; });
  CHECK(caller.holds("\"two\""));
  LONGS_EQUAL(1, caller.count("Connection: close"));
  CHECK(server->answered());
}

TEST(http_server, what_is_unanswered_at_the_end_of_a_stop_is_told_that_its_outcome_is_unknown) {
  auto& reader = client();
  auto& submitter = client();
  auto& idle = client();
  reader.send(requestText("GET", "/jobs/a"));
  submitter.send(requestText("POST", "/jobs", "{}"));
  runUntil([&] { return asks.size() == 2; });
  server->leave();
  CHECK_FALSE(server->answered());
  server->answerOutstanding();
  runUntil([&] { return reader.ended && submitter.ended; });
  CHECK(reader.holds("HTTP/1.1 504"));
  CHECK(submitter.holds("unknown-outcome"));
  CHECK(server->answered());
  CHECK_FALSE(idle.ended);
}

TEST(http_server, a_request_that_comes_on_an_idle_connection_after_the_stop_is_still_answered) {
  auto& caller = client();
  caller.send(requestText("GET", "/a"));
  runUntil([&] { return asks.size() == 1; });
  answer(0, "\"one\"");
  runUntil([&] { return caller.holds("\"one\""); });
  server->leave();
  caller.send(requestText("GET", "/b"));
  runUntil([&] { return asks.size() == 2; });
  answer(1, "\"two\"");
  runUntil([&] { return caller.ended; });
  CHECK(caller.holds("\"two\""));
}

TEST(http_server, new_bounds_leave_requests_under_way_alone) {
  auto& caller = client();
  caller.send(requestText("GET", "/a"));
  runUntil([&] { return asks.size() == 1; });
  Bounds bounds;
  bounds.callMs = 100;
  server->rebound(bounds);
  settle();
  answer(0, "\"one\"");
  runUntil([&] { return caller.holds("\"one\""); });
}

TEST(http_server, the_answer_to_head_has_no_body) {
  auto& caller = client();
  caller.send(requestText("HEAD", "/a"));
  runUntil([&] { return asks.size() == 1; });
  answer(0, "\"body\"", 405);
  runUntil([&] { return caller.holds("\r\n\r\n"); });
  caller.send(requestText("GET", "/b"));
  runUntil([&] { return asks.size() == 2; });
  answer(1, "\"two\"");
  runUntil([&] { return caller.holds("\"two\""); });
  CHECK_FALSE(caller.holds("\"body\""));
}

namespace {

/// A daemon that is forwarded to: it takes connections and ends them as it is told.
struct Leader {
  explicit Leader(asio::io_context& context) : acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    accept();
  }

  void accept() {
    acceptor.async_accept([this](boost::system::error_code failed, tcp::socket socket) {
      if (failed) return;
      ++connections;
      auto held = std::make_shared<tcp::socket>(std::move(socket));
      auto text = std::make_shared<std::array<char, 4096>>();
      held->async_read_some(asio::buffer(*text), [this, held, text](boost::system::error_code, std::size_t size) {
        requests.emplace_back(text->data(), size);
        if (reply.empty()) {
          held->set_option(asio::socket_base::linger(true, 0));
        } else {
          asio::write(*held, asio::buffer(reply));
        }
        held->close();
      });
      accept();
    });
  }

  Address address() const { return Address("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port())); }

  tcp::acceptor acceptor;
  int connections = 0;
  std::vector<std::string> requests;
  std::string reply;  // empty: the connection is reset once the request is there
};

const char kAccepted[] = "HTTP/1.1 201 Created\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}";

}  // namespace

TEST(http_server, a_forwarded_call_that_may_be_repeated_outlives_the_leader) {
  Leader first(context), second(context);
  second.reply = kAccepted;
  auto& caller = client();
  caller.send(requestText("POST", "/jobs", "{\"id\":\"a\"}"));
  runUntil([&] { return asks.size() == 1; });
  server->forward({asks[0].requestId, first.address()});
  runUntil([&] { return asks.size() == 2 || caller.ended || !caller.received.empty(); });
  LONGS_EQUAL(2, asks.size());
  CHECK(asks[0].requestId == asks[1].requestId);
  STRCMP_EQUAL("{\"id\":\"a\"}", asks[1].body.c_str());
  server->forward({asks[1].requestId, second.address()});
  runUntil([&] { return caller.holds("HTTP/1.1 201"); });
  LONGS_EQUAL(1, first.connections);
  LONGS_EQUAL(1, second.connections);
}

TEST(http_server, a_refusal_after_the_call_has_left_is_no_last_word) {
  Leader leader(context);
  auto& caller = client();
  caller.send(requestText("POST", "/jobs", "{\"id\":\"a\"}"));
  runUntil([&] { return asks.size() == 1; });
  server->forward({asks[0].requestId, leader.address()});
  runUntil([&] { return asks.size() == 2 || !caller.received.empty(); });
  LONGS_EQUAL(2, asks.size());
  server->answer({asks[1].requestId, 503, 0, "{\"error\":\"overloaded\"}", Kind::overloaded, {}});
  runUntil([&] { return caller.holds("unknown-outcome"); });
  CHECK_FALSE(caller.holds("overloaded"));
}

TEST(http_server, a_change_without_a_name_that_has_left_is_never_sent_twice) {
  Leader leader(context);
  auto& caller = client();
  caller.send(requestText("PATCH", "/configuration", "{}"));
  runUntil([&] { return asks.size() == 1; });
  server->forward({asks[0].requestId, leader.address()});
  runUntil([&] { return caller.holds("unknown-outcome"); });
  settle();
  LONGS_EQUAL(1, asks.size());
  LONGS_EQUAL(1, leader.connections);
}

TEST(http_server, a_client_that_goes_away_while_its_call_is_forwarded_harms_nothing) {
  Leader leader(context);
  leader.reply = kAccepted;
  auto& caller = client();
  caller.send(requestText("POST", "/jobs", "{\"id\":\"a\"}"));
  runUntil([&] { return asks.size() == 1; });
  server->forward({asks[0].requestId, leader.address()});
  caller.reset();
  runUntil([&] { return leader.connections == 1 && allClosed(); });
  CHECK(server->answered());
}

TEST(http_server, the_connection_that_waited_longest_gives_way_to_a_new_one) {
  auto limits = connectionLimits({});
  limits.clientConnections = 3;
  begin(limits);
  auto& asked = client();
  asked.send(requestText("GET", "/asked"));
  runUntil([&] { return asks.size() == 1; });
  auto& longest = client();
  runUntil([&] { return server->counts().open == 2; });
  auto& later = client();
  runUntil([&] { return server->counts().open == 3; });
  auto& fresh = client();
  fresh.send(requestText("GET", "/fresh"));
  runUntil([&] { return asks.size() == 2; });
  runUntil([&] { return longest.ended; });
  CHECK_FALSE(later.ended);
  CHECK_FALSE(asked.ended);
  answer(0, "\"asked\"");
  answer(1, "\"fresh\"");
  runUntil([&] { return asked.holds("\"asked\"") && fresh.holds("\"fresh\""); });
  LONGS_EQUAL(1, server->counts().closedForOthers.load());
}

TEST(http_server, a_crowd_at_one_listener_leaves_the_connections_of_another_alone) {
  auto limits = connectionLimits({});
  limits.clientConnections = 6;
  begin(limits);
  server->listen(Address("127.0.0.1:0"), FaceKind::ready, 0);
  clients.push_back(std::make_unique<Client>(context));
  auto& probe = *clients.back();
  probe.connect(server->boundAddresses().at(1));
  runUntil([&] { return server->counts().open == 1; });
  for (int i = 0; i < 20; ++i) {
    const auto closed = server->counts().closedForOthers.load();
    client();
    runUntil([&] { return i < 5 ? server->counts().open >= 2u + i : server->counts().closedForOthers > closed; });
  }
  settle();
  CHECK_FALSE(probe.ended);
  CHECK(server->counts().open <= limits.clientConnections);
}

TEST(http_server, the_requests_that_hold_most_give_way_and_a_small_one_is_served) {
  constexpr std::size_t kAnnounced = 1000000, kSent = 200000;
  auto limits = connectionLimits({});
  limits.clientBytes = 1 << 20;
  begin(limits);
  for (int i = 0; i < 20; ++i) {
    auto& large = client();
    large.send("POST /jobs HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(kAnnounced) + "\r\n\r\n");
    boost::system::error_code ignored;
    asio::write(large.socket, asio::buffer(std::string(kSent, 'x')), ignored);
    settle();
  }
  CHECK(server->counts().closedForOthers > 0);
  CHECK(server->counts().open < 20);
  auto& small = client();
  small.send(requestText("POST", "/jobs", "{}"));
  runUntil([&] { return asks.size() == 1; });
  answer(0, "\"small\"");
  runUntil([&] { return small.holds("\"small\""); });
}

TEST(http_server, what_lies_between_and_behind_chunks_is_bounded) {
  for (const std::string part : {"4;name=", "4\r\nabcd\r\n0\r\nTrailer: "}) {
    auto& caller = client();
    caller.send("POST /jobs HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + part);
    for (int i = 0; i < 20 && caller.received.empty(); ++i) {
      caller.send(std::string(1000, 'x'));
      settle();
    }
    runUntil([&] { return caller.holds("HTTP/1.1 413"); });
  }
  LONGS_EQUAL(0, asks.size());
}

TEST(http_server, chunks_with_extensions_and_trailers_within_the_bound_are_read) {
  auto& caller = client();
  caller.send(
      "POST /jobs HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2;name=value\r\n{}\r\n0\r\nTrailer: " +
      std::string(8000, 'x') + "\r\n\r\n");
  runUntil([&] { return asks.size() == 1; });
  STRCMP_EQUAL("{}", asks[0].body.c_str());
}

TEST(http_server, a_body_that_would_grow_beyond_memory_is_refused_unread) {
  auto limits = connectionLimits({});
  limits.parsedBytes = 1 << 20;
  begin(limits);
  std::string objects = "[{}";
  while (objects.size() < 100000) objects += ",{}";
  auto& refused = client();
  refused.send(requestText("POST", "/jobs", objects + "]"));
  runUntil([&] { return refused.holds("HTTP/1.1 413"); });
  LONGS_EQUAL(0, asks.size());
  auto& served = client();
  served.send(requestText("POST", "/jobs", "{\"text\":\"" + std::string(100000, '{') + "\"}"));
  runUntil([&] { return asks.size() == 1; });
}

namespace {

/// Leaves the process no descriptor but those that are open.
class NoFreeDescriptor {
 public:
  NoFreeDescriptor() {
    getrlimit(RLIMIT_NOFILE, &before_);
    const int lowest = open("/dev/null", O_RDONLY);
    close(lowest);
    auto fewer = before_;
    fewer.rlim_cur = static_cast<rlim_t>(lowest);
    setrlimit(RLIMIT_NOFILE, &fewer);
  }
  ~NoFreeDescriptor() { setrlimit(RLIMIT_NOFILE, &before_); }
  NoFreeDescriptor(const NoFreeDescriptor&) = delete;
  NoFreeDescriptor& operator=(const NoFreeDescriptor&) = delete;

 private:
  rlimit before_{};
};

}  // namespace

TEST(http_server, without_a_free_descriptor_an_idle_connection_gives_way_and_accepting_does_not_spin) {
  constexpr int kMostHandlers = 1000;
  auto& idle = client();
  runUntil([&] { return server->counts().open == 1; });
  clients.push_back(std::make_unique<Client>(context));
  auto& caller = *clients.back();
  caller.socket.open(tcp::v4());
  const NoFreeDescriptor none;
  caller.connect(server->boundAddresses().front());
  caller.send(requestText("GET", "/a"));
  int handlers = 0;
  runUntil([&] { return !asks.empty() || ++handlers > kMostHandlers; });
  LONGS_EQUAL(1, asks.size());
  runUntil([&] { return idle.ended; });
}
