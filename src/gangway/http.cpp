#include "gangway/http.hpp"

#include <boost/beast/core.hpp>
#include <optional>

#include "signal/wire.hpp"

namespace tulip::gangway {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t kMostSessions = 4096;
constexpr auto kIdle = std::chrono::seconds(60);

struct Outgoing : std::enable_shared_from_this<Outgoing> {
  Outgoing(asio::io_context& context, CallOut out, std::function<void(CallReply)> finished)
      : stream(context), call(std::move(out)), done(std::move(finished)) {}

  void run() {
    stream.expires_after(std::chrono::milliseconds(std::max<Millis>(1, call.cutoffMs)));
    stream.async_connect(signal::endpointOf(call.to), [self = shared_from_this()](beast::error_code failed) {
      if (failed) return self->finish();
      self->reply.reached = true;
      self->request = {http::string_to_verb(self->call.method), self->call.target, 11};
      self->request.set(http::field::host, self->call.to.value);
      self->request.set(http::field::content_type, "application/json");
      self->request.keep_alive(false);
      for (const auto& [name, value] : self->call.headers) self->request.set(name, value);
      self->request.body() = std::move(self->call.body);
      self->request.prepare_payload();
      self->reply.sent = true;
      http::async_write(self->stream, self->request, [self](beast::error_code lost, std::size_t) {
        if (lost) return self->finish();
        self->parser.body_limit(64u << 20);
        http::async_read(self->stream, self->buffer, self->parser, [self](beast::error_code gone, std::size_t) {
          if (!gone) {
            auto& got = self->parser.get();
            self->reply.status = static_cast<int>(got.result_int());
            self->reply.body = got.body();
            if (auto ms = got.find("X-Tulippitch-Retry-Ms"); ms != got.end())
              self->reply.retryAfterMs = std::atoll(std::string(ms->value()).c_str());
          }
          self->finish();
        });
      });
    });
  }

  void finish() {
    beast::error_code ignored;
    stream.socket().close(ignored);
    auto call_done = std::move(done);
    done = nullptr;
    if (call_done) call_done(std::move(reply));
  }

  beast::tcp_stream stream;
  CallOut call;
  std::function<void(CallReply)> done;
  http::request<http::string_body> request;
  http::response_parser<http::string_body> parser;
  beast::flat_buffer buffer;
  CallReply reply;
};

}  // namespace

void callHttp(asio::io_context& context, CallOut call, std::function<void(CallReply)> done) {
  std::make_shared<Outgoing>(context, std::move(call), std::move(done))->run();
}

CallReply callNow(CallOut call) {
  asio::io_context context;
  CallReply reply;
  callHttp(context, std::move(call), [&](CallReply got) { reply = std::move(got); });
  context.run();
  return reply;
}

struct HttpServer::Session : std::enable_shared_from_this<HttpServer::Session> {
  Session(HttpServer& owner, tcp::socket socket) 
      : server(owner), counts(owner.counts_), stream(std::move(socket)), cutoff(owner.context_) {
    ++counts->open;
  }
  ~Session() { --counts->open; }

  void read() {
    parser.emplace();
    parser->body_limit(server.maxBodyBytes_);
    stream.expires_after(kIdle);
    http::async_read(stream, buffer, *parser, [self = shared_from_this()](beast::error_code failed, std::size_t) { self->onRead(failed); });
  }

  void onRead(beast::error_code failed) {
    if (server.closed_) return;
    if (failed == http::error::body_limit) {
      closing = true;
      return write(rowOf(Kind::tooLarge).status, "{\"error\":\"too-large\"}", 0);
    }
    if (failed) return shut();
    stream.expires_never();
    const auto& request = parser->get();
    signal::Ask ask;
    ask.method = std::string(request.method_string());
    const std::string target(request.target());
    const auto mark = target.find('?');
    ask.path = target.substr(0, mark);
    if (mark != std::string::npos) ask.query = target.substr(mark + 1);
    ask.body = request.body();
    auto header = [&](const char* name) {
      auto found = request.find(name);
      return found == request.end() ? std::string() : std::string(found->value());
    };
    ask.transactionName = header("X-Tulippitch-Transaction");
    ask.hops = std::atoi(header("X-Tulippitch-Hops").c_str());
    const auto asked = std::atoll(header("X-Tulippitch-Cutoff-Ms").c_str());
    ask.cutoffMs = asked > 0 ? std::min<Millis>(asked, server.bounds_.callMs * 12) : server.bounds_.callMs;
    ask.transaction = transaction = ++server.next_;
    method = ask.method;
    hops = ask.hops;
    until = std::chrono::steady_clock::now() + std::chrono::milliseconds(ask.cutoffMs);
    server.asking_[transaction] = shared_from_this();
    ++server.counts_->asks;
    cutoff.expires_at(until);
    cutoff.async_wait([self = shared_from_this(), mine = transaction](beast::error_code cancelled) {
      if (cancelled || self->transaction != mine || !self->server.asking_.contains(mine)) return;
      ++self->server.counts_->cutoffs;
      self->server.answerKind(mine, self->method == "GET" ? Kind::cutoffPassed : Kind::unknownOutcome);
    });
    if (!server.give_(std::move(ask))) {
      ++server.counts_->overloaded;
      server.answerKind(transaction, Kind::overloaded);
    }
  }

  void write(int status, std::string body, Millis retryMs) {
    cutoff.cancel();
    response = {static_cast<http::status>(status), 11};
    response.set(http::field::server, "tulippitch");
    response.set(http::field::content_type, "application/json");
    if (retryMs > 0) {
      response.set(http::field::retry_after, std::to_string((retryMs + 999) / 1000));
      response.set("X-Tulippitch-Retry-Ms", std::to_string(retryMs));
    }
    const bool keep = !closing && parser->get().keep_alive();
    response.keep_alive(keep);
    response.body() = std::move(body);
    response.prepare_payload();
    stream.expires_after(kIdle);
    http::async_write(stream, response, [self = shared_from_this(), keep](beast::error_code failed, std::size_t) {
      if (failed || !keep || self->server.closed_) return self->shut();
      self->read();
    });
  }

  void shut() {
    beast::error_code ignored;
    stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    stream.socket().close(ignored);
  }

  HttpServer& server;
  std::shared_ptr<HttpCounts> counts;
  beast::tcp_stream stream;
  asio::steady_timer cutoff;
  beast::flat_buffer buffer;
  std::optional<http::request_parser<http::string_body>> parser;
  http::response<http::string_body> response;
  std::uint64_t transaction = 0;
  std::string method;
  int hops = 0;
  std::chrono::steady_clock::time_point until;
  bool closing = false;
};

HttpServer::HttpServer(asio::io_context& context, Address self, Bounds bounds, std::size_t maxBodyBytes, Give give)
    : context_(context), acceptor_(context), self_(std::move(self)), bounds_(bounds), maxBodyBytes_(maxBodyBytes), give_(std::move(give)) {}

void HttpServer::listen() {
  const auto endpoint = signal::endpointOf(self_);
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen();
  accept();
}

void HttpServer::accept() {
  acceptor_.async_accept([this](beast::error_code failed, tcp::socket socket) {
    if (closed_ || failed == asio::error::operation_aborted) return;
    if (!failed && counts_->open < kMostSessions) {
      beast::error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      std::make_shared<Session>(*this, std::move(socket))->read();
    }
    accept();
  });
}

void HttpServer::answer(const signal::Answer& answer) {
  auto found = asking_.find(answer.transaction);
  if (found == asking_.end()) return;
  auto session = std::move(found->second);
  asking_.erase(found);
  ++counts_->answers;
  session->write(answer.status, answer.body, answer.retryMs);
}

void HttpServer::answerKind(std::uint64_t transaction, Kind kind) {
  const auto& row = rowOf(kind);
  answer({transaction, row.status, static_cast<Millis>(row.retryTerms * static_cast<double>(bounds_.termMs)),
          "{\"error\":\"" + std::string(row.name) + "\",\"meaning\":\"" + std::string(row.meaning) + "\"}"});
}

void HttpServer::proxy(const signal::Proxy& proxy) {
  auto found = asking_.find(proxy.transaction);
  if (found == asking_.end()) return;
  const auto& session = *found->second;
  const auto& request = session.parser->get();
  ++counts_->proxied;
  CallOut call;
  call.to = proxy.http;
  call.method = session.method;
  call.target = std::string(request.target());
  call.body = request.body();
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(session.until - std::chrono::steady_clock::now()).count();
  call.cutoffMs = std::max<Millis>(1, left);
  call.headers["X-Tulippitch-Cutoff-Ms"] = std::to_string(call.cutoffMs);
  call.headers["X-Tulippitch-Hops"] = std::to_string(session.hops + 1);
  if (auto name = request.find("X-Tulippitch-Transaction"); name != request.end())
    call.headers["X-Tulippitch-Transaction"] = std::string(name->value());
  callHttp(context_, std::move(call), [this, transaction = proxy.transaction, method = session.method](CallReply reply) {
    if (closed_) return;
    if (reply.status > 0) return answer({transaction, reply.status, std::max<Millis>(0, reply.retryAfterMs), std::move(reply.body)});
    answerKind(transaction, reply.sent && method != "GET" ? Kind::unknownOutcome : Kind::noLeader);
  });
}

void HttpServer::close() {
  closed_ = true;
  beast::error_code ignored;
  acceptor_.close(ignored);
  auto asking = std::move(asking_);
  asking_.clear();
  for (auto& [transaction, session] : asking) {
    session->cutoff.cancel();
    session->shut();
  }
}

}  // namespace tulip::gangway
