#include "http/http.hpp"

#include <boost/beast/core.hpp>
#include <optional>

#include "transport/wire.hpp"

namespace tulip::http {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace beast_http = boost::beast::http;
using tcp = asio::ip::tcp;
using Steady = std::chrono::steady_clock;

namespace {

constexpr std::size_t kMostSessions = 3072;
constexpr std::uint32_t kHeaderBytes = 16384;
constexpr std::size_t kKeptBytes = 16384;
constexpr Millis kIdleCalls = 20;
constexpr Millis kMostCalls = 12;

struct Outgoing : std::enable_shared_from_this<Outgoing> {
  Outgoing(asio::io_context& context, CallOut out, std::function<void(CallReply)> finished)
      : stream(context), call(std::move(out)), done(std::move(finished)) {}

  void run() {
    stream.expires_after(std::chrono::milliseconds(std::max<Millis>(1, call.deadlineMs)));
    stream.async_connect(transport::endpointOf(call.to), [self = shared_from_this()](beast::error_code failed) {
      if (failed) return self->finish();
      self->reply.reached = true;
      self->request = {beast_http::string_to_verb(self->call.method), self->call.target, 11};
      self->request.set(beast_http::field::host, self->call.to.value);
      self->request.set(beast_http::field::content_type, "application/json");
      self->request.keep_alive(false);
      for (const auto& [name, value] : self->call.headers) self->request.set(name, value);
      self->request.body() = std::move(self->call.body);
      self->request.prepare_payload();
      self->reply.sent = true;
      beast_http::async_write(self->stream, self->request, [self](beast::error_code lost, std::size_t) {
        if (lost) return self->finish();
        self->parser.body_limit(64u << 20);
        beast_http::async_read(self->stream, self->buffer, self->parser, [self](beast::error_code gone, std::size_t) {
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
  beast_http::request<beast_http::string_body> request;
  beast_http::response_parser<beast_http::string_body> parser;
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

struct HttpServer::Door {
  Door(asio::io_context& context, FaceKind spoken, std::size_t owner) : acceptor(context), face(spoken), node(owner) {}
  tcp::acceptor acceptor;
  FaceKind face;
  std::size_t node;
};

struct HttpServer::Session : std::enable_shared_from_this<HttpServer::Session> {
  Session(HttpServer& owner, tcp::socket connected, const Door& door)
      : server(owner), counts(owner.counts_), socket(std::move(connected)), face(door.face), node(door.node) {
    ++counts->open;
    server.sessions_.insert(this);
  }
  ~Session() {
    --counts->open;
    if (!orphan) server.sessions_.erase(this);
  }

  Steady::time_point idleUntil() const {
    return since + std::chrono::milliseconds(server.bounds_.callMs * (draining ? 1 : kIdleCalls));
  }

  void read() {
    since = Steady::now();
    parser.emplace();
    parser->body_limit(server.maxBodyBytes_);
    parser->header_limit(kHeaderBytes);
    beast_http::async_read(socket, buffer, *parser, [self = shared_from_this()](beast::error_code failed, std::size_t) {
      self->onRead(failed);
    });
  }

  void onRead(beast::error_code failed) {
    if (orphan || gone) return;
    if (failed == beast_http::error::body_limit) return rejectUnread(Kind::tooLarge);
    if (failed == beast_http::error::header_limit) return rejectUnread(Kind::tooLarge);
    if (failed && failed != beast_http::error::end_of_stream && failed != beast_http::error::partial_message &&
        failed.category() == beast_http::make_error_code(beast_http::error::bad_method).category())
      return rejectUnread(Kind::malformed);
    if (failed) return shut();
    auto& request = parser->get();
    transport::Ask ask;
    ask.face = face;
    ask.method = std::string(request.method_string());
    const std::string_view target(request.target().data(), request.target().size());
    const auto mark = target.find('?');
    ask.path = std::string(target.substr(0, mark));
    if (mark != std::string_view::npos) ask.query = std::string(target.substr(mark + 1));
    auto header = [&](std::string_view name) {
      auto found = name.empty() ? request.end() : request.find(beast::string_view(name.data(), name.size()));
      return found == request.end() ? std::string() : std::string(found->value());
    };
    if (face == FaceKind::own) {
      ask.body = request.body();
      ask.requestName = header("X-Tulippitch-Transaction");
      ask.hops = std::atoi(header("X-Tulippitch-Hops").c_str());
    } else {
      ask.body = std::move(request.body());
      ask.basedOn = header(server.headers_.basedOn);
    }
    ask.host = std::string(request[beast_http::field::host]);
    const auto asked = std::atoll(
        header(face == FaceKind::own ? "X-Tulippitch-Cutoff-Ms" : std::string_view(server.headers_.deadlineMs))
            .c_str());
    const auto mostMs = server.bounds_.callMs * (face == FaceKind::own ? kMostCalls : 1);
    ask.deadlineMs = asked > 0 ? std::min<Millis>(asked, mostMs) : server.bounds_.callMs;
    ask.requestId = requestId = ++server.next_;
    method = ask.method;
    hops = ask.hops;
    until = Steady::now() + std::chrono::milliseconds(ask.deadlineMs);
    server.asking_[requestId] = shared_from_this();
    server.arm(until);
    ++server.counts_->asks;
    if (!server.give_(node, std::move(ask))) {
      ++server.counts_->overloaded;
      server.answerKind(requestId, Kind::overloaded);
    }
  }

  // What the peer still sends is read and dropped, so that the answer is not lost in a reset.
  void rejectUnread(Kind kind) {
    closing = true;
    write(rowOf(kind).status, "{\"error\":\"" + std::string(rowOf(kind).name) + "\"}", 0);
  }

  void write(int status, const std::string& body, Millis retryMs) {
    const bool keep = !closing && !server.leaving_ && parser->get().keep_alive();
    const auto reason = beast_http::obsolete_reason(static_cast<beast_http::status>(status));
    out.clear();
    out.append("HTTP/1.1 ").append(std::to_string(status)).append(" ").append(reason.data(), reason.size());
    out.append("\r\nContent-Type: application/json\r\nContent-Length: ").append(std::to_string(body.size()));
    if (retryMs > 0) {
      out.append("\r\nRetry-After: ").append(std::to_string((retryMs + 999) / 1000));
      if (face == FaceKind::own) out.append("\r\nX-Tulippitch-Retry-Ms: ").append(std::to_string(retryMs));
    }
    if (!keep) out.append("\r\nConnection: close");
    out.append("\r\n\r\n").append(body);
    since = Steady::now();
    ++server.writing_;
    asio::async_write(socket, asio::buffer(out),
                      [self = shared_from_this(), keep](beast::error_code failed, std::size_t) {
                        if (self->orphan) return;
                        --self->server.writing_;
                        if (self->gone) return;
                        if (failed) return self->shut();
                        if (self->out.capacity() > kKeptBytes) std::string().swap(self->out);
                        if (keep) return self->read();
                        beast::error_code ignored;
                        self->socket.shutdown(tcp::socket::shutdown_send, ignored);
                        self->draining = true;
                        self->since = Steady::now();
                        self->server.arm(self->idleUntil());
                        self->drain();
                      });
  }

  void drain() {
    socket.async_read_some(asio::buffer(scrap), [self = shared_from_this()](beast::error_code failed, std::size_t) {
      if (self->orphan || self->gone) return;
      if (failed) return self->shut();
      self->drain();
    });
  }

  void shut() {
    if (gone) return;
    gone = true;
    beast::error_code ignored;
    socket.shutdown(tcp::socket::shutdown_both, ignored);
    socket.close(ignored);
  }

  HttpServer& server;
  std::shared_ptr<HttpCounts> counts;
  tcp::socket socket;
  beast::flat_buffer buffer;
  std::optional<beast_http::request_parser<beast_http::string_body>> parser;
  std::string out;
  std::array<char, 512> scrap;
  std::uint64_t requestId = 0;
  std::string method;
  int hops = 0;
  Steady::time_point until, since;
  FaceKind face;
  std::size_t node;
  bool closing = false;
  bool draining = false;
  bool gone = false;
  bool orphan = false;  // its server is closed
};

HttpServer::HttpServer(asio::io_context& context, Bounds bounds, std::size_t maxBodyBytes, Give give,
                       std::shared_ptr<const ProtocolAdapter> adapter)
    : context_(context),
      timer_(context),
      bounds_(bounds),
      maxBodyBytes_(maxBodyBytes),
      give_(std::move(give)),
      adapter_(std::move(adapter)) {
  if (adapter_) headers_ = adapter_->headers();
}

HttpServer::~HttpServer() { close(); }

void HttpServer::listen(const Address& at, FaceKind face, std::size_t node) {
  auto door = std::make_unique<Door>(context_, face, node);
  const auto endpoint = transport::endpointOf(at);
  door->acceptor.open(endpoint.protocol());
  door->acceptor.set_option(tcp::acceptor::reuse_address(true));
  door->acceptor.bind(endpoint);
  door->acceptor.listen();
  doors_.push_back(std::move(door));
  accept(*doors_.back());
}

void HttpServer::accept(Door& door) {
  door.acceptor.async_accept([this, &door](beast::error_code failed, tcp::socket socket) {
    if (closed_ || failed == asio::error::operation_aborted) return;
    if (!failed && counts_->open < kMostSessions) {
      beast::error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      auto session = std::make_shared<Session>(*this, std::move(socket), door);
      session->read();
      arm(session->idleUntil());
    }
    accept(door);
  });
}

void HttpServer::arm(Steady::time_point at) {
  if (closed_ || (armed_ && armedFor_ <= at)) return;
  armed_ = true;
  armedFor_ = at;
  timer_.expires_at(at);
  timer_.async_wait([this](beast::error_code cancelled) {
    if (cancelled || closed_) return;
    armed_ = false;
    sweep();
  });
}

void HttpServer::sweep() {
  const auto now = Steady::now();
  std::vector<std::uint64_t> passed;
  std::vector<std::shared_ptr<Session>> idle;
  std::optional<Steady::time_point> next;
  auto wanted = [&](Steady::time_point at) { next = next ? std::min(*next, at) : at; };
  for (const auto& [requestId, session] : asking_) {
    if (session->until <= now)
      passed.push_back(requestId);
    else
      wanted(session->until);
  }
  for (auto* session : sessions_) {
    if (session->gone || asking_.contains(session->requestId)) continue;
    if (session->idleUntil() > now)
      wanted(session->idleUntil());
    else if (auto held = session->weak_from_this().lock())
      idle.push_back(std::move(held));
  }
  for (const auto requestId : passed) {
    ++counts_->deadlines;
    answerKind(requestId, asking_.at(requestId)->method == "GET" ? Kind::deadlinePassed : Kind::unknownOutcome);
  }
  for (const auto& session : idle) session->shut();
  if (next) arm(std::max(*next, now + std::chrono::milliseconds(bounds_.callMs / 150 + 1)));
}

void HttpServer::answer(const transport::Answer& answer) {
  auto found = asking_.find(answer.requestId);
  if (found == asking_.end()) return;
  auto session = std::move(found->second);
  asking_.erase(found);
  ++counts_->answers;
  if (!session->gone) session->write(answer.status, answer.body, answer.retryMs);
}

void HttpServer::answerKind(std::uint64_t requestId, Kind kind) {
  const auto found = asking_.find(requestId);
  if (found == asking_.end()) return;
  const auto& row = rowOf(kind);
  transport::Answer made;
  made.requestId = requestId;
  made.status = row.status;
  made.retryMs = static_cast<Millis>(row.retryLeases * static_cast<double>(bounds_.leaseMs));
  made.body = "{\"error\":\"" + std::string(row.name) + "\",\"meaning\":\"" + std::string(row.meaning) + "\"}";
  made.kind = kind;
  if (adapter_ && found->second->face != FaceKind::own) made = adapter_->write(Call::none, std::move(made));
  answer(made);
}

void HttpServer::forward(const transport::ForwardRequest& forward) {
  auto found = asking_.find(forward.requestId);
  if (found == asking_.end()) return;
  const auto& session = *found->second;
  const auto& request = session.parser->get();
  ++counts_->proxied;
  CallOut call;
  call.to = forward.http;
  call.method = session.method;
  call.target = std::string(request.target());
  call.body = request.body();
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(session.until - Steady::now()).count();
  call.deadlineMs = std::max<Millis>(1, left);
  call.headers["X-Tulippitch-Cutoff-Ms"] = std::to_string(call.deadlineMs);
  call.headers["X-Tulippitch-Hops"] = std::to_string(session.hops + 1);
  if (auto name = request.find("X-Tulippitch-Transaction"); name != request.end())
    call.headers["X-Tulippitch-Transaction"] = std::string(name->value());
  callHttp(context_, std::move(call), [this, requestId = forward.requestId, method = session.method](CallReply reply) {
    if (closed_) return;
    if (reply.status > 0)
      return answer(
          {requestId, reply.status, std::max<Millis>(0, reply.retryAfterMs), std::move(reply.body), Kind::ok, {}});
    answerKind(requestId, reply.sent && method != "GET" ? Kind::unknownOutcome : Kind::noLeader);
  });
}

void HttpServer::leave() { leaving_ = true; }

void HttpServer::stopListening() {
  beast::error_code ignored;
  for (auto& door : doors_) door->acceptor.close(ignored);
}

void HttpServer::close() {
  if (closed_) return;
  stopListening();
  timer_.cancel();
  for (auto* session : sessions_) {
    session->shut();
    session->orphan = true;
  }
  closed_ = true;
  sessions_.clear();
  asking_.clear();
}

}  // namespace tulip::http
