#include "http/http.hpp"

#include <boost/beast/core.hpp>
#include <optional>
#include <random>

#include "base/json.hpp"
#include "http/call_policy.hpp"
#include "transport/wire.hpp"

namespace tulip::http {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace beast_http = boost::beast::http;
using tcp = asio::ip::tcp;
using Steady = std::chrono::steady_clock;

namespace {

constexpr std::string_view kJsonType = "application/json";
constexpr std::string_view kMetricsType = "text/plain; version=0.0.4; charset=utf-8";
constexpr std::size_t kMostSessions = 3072;
constexpr std::uint32_t kHeaderBytes = 16384;
constexpr std::size_t kKeptBytes = 16384;
constexpr Millis kIdleCalls = 20;
constexpr Millis kMostCalls = 12;
constexpr Millis kRepeatLeases = 3;           // a forwarded call is sent again for so long after its first loss
constexpr Millis kRepeatPausesPerLease = 20;  // pauses between two tries, as a part of a lease

/// Where the numbers of this life's requests begin, so that no answer to an earlier life's request fits one of them.
std::uint64_t firstRequestId() {
  std::random_device device;
  return static_cast<std::uint64_t>(device()) << 32;
}

/// The key of an Authorization header of the scheme "Bearer"; empty where there is none.
std::string bearerKey(std::string_view authorization) {
  constexpr std::string_view kScheme = "Bearer ";
  if (authorization.size() <= kScheme.size()) return {};
  if (!beast::iequals(beast::string_view(authorization.data(), kScheme.size()),
                      beast::string_view(kScheme.data(), kScheme.size())))
    return {};
  auto key = authorization.substr(kScheme.size());
  key.remove_prefix(std::min(key.find_first_not_of(' '), key.size()));
  return std::string(key);
}

/// The kind that a forwarded call was answered with.
Kind kindOfReply(const CallReply& reply) {
  if (reply.status >= 200 && reply.status < 300) return Kind::ok;
  const Json root = parseJson(reply.body);
  const auto error = root ? textAt(root.get(), "error") : std::string();
  for (int kind = 0; kind <= static_cast<int>(Kind::jobEnded); ++kind)
    if (rowOf(static_cast<Kind>(kind)).name == error) return static_cast<Kind>(kind);
  return reply.status >= 500 ? Kind::unknownOutcome : Kind::malformed;
}

/// Refusals that say that no leader could be asked, which the next one may change.
bool saysNoLeader(Kind kind) { return kind == Kind::noLeader || kind == Kind::forwardLoop || kind == Kind::notReady; }

Millis millisUntil(Steady::time_point at) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(at - Steady::now()).count();
}

}  // namespace

struct HttpServer::Door {
  Door(asio::io_context& context, FaceKind spoken, std::size_t owner) : acceptor(context), face(spoken), node(owner) {}
  tcp::acceptor acceptor;
  FaceKind face;
  std::size_t node;
};

struct HttpServer::Session : std::enable_shared_from_this<HttpServer::Session> {
  Session(HttpServer& owner, tcp::socket connected, const Door& door)
      : server(owner),
        counts(owner.counts_),
        socket(std::move(connected)),
        pause(owner.context_),
        face(door.face),
        node(door.node) {
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
    left = false;
    pipelined = buffer.size() > 0;
    server.pipelined_ += pipelined;
    parser.emplace();
    parser->body_limit(server.maxBodyBytes_);
    parser->header_limit(kHeaderBytes);
    beast_http::async_read(socket, buffer, *parser, [self = shared_from_this()](beast::error_code failed, std::size_t) {
      self->onRead(failed);
    });
  }

  void onRead(beast::error_code failed) {
    if (orphan) return;
    if (std::exchange(pipelined, false)) --server.pipelined_;
    if (gone) return;
    if (failed == beast_http::error::body_limit) return rejectUnread(Kind::tooLarge);
    if (failed == beast_http::error::header_limit) return rejectUnread(Kind::tooLarge);
    if (failed && failed != beast_http::error::end_of_stream && failed != beast_http::error::partial_message &&
        failed.category() == beast_http::make_error_code(beast_http::error::bad_method).category())
      return rejectUnread(Kind::malformed);
    if (failed) return shut();
    auto ask = makeAsk();
    ask.requestId = requestId = ++server.next_;
    method = ask.method;
    hops = ask.hops;
    call =
        face == FaceKind::own ? classOfOwnCall(method, ask.path, !ask.requestName.empty()) : classOfAdapterCall(method);
    until = Steady::now() + std::chrono::milliseconds(ask.deadlineMs);
    server.asking_[requestId] = shared_from_this();
    server.arm(until);
    ++server.counts_->asks;
    if (!server.give_(node, std::move(ask))) {
      ++server.counts_->overloaded;
      server.answerKind(requestId, Kind::overloaded);
    }
  }

  std::string header(std::string_view name) const {
    const auto& request = parser->get();
    const auto found = name.empty() ? request.end() : request.find(beast::string_view(name.data(), name.size()));
    return found == request.end() ? std::string() : std::string(found->value());
  }

  /// The request as the core is asked; one of the own interface keeps its body, since it may be forwarded.
  transport::Ask makeAsk() {
    auto& request = parser->get();
    transport::Ask ask;
    ask.face = face;
    ask.method = std::string(request.method_string());
    const std::string_view target(request.target().data(), request.target().size());
    const auto mark = target.find('?');
    ask.path = std::string(target.substr(0, mark));
    if (mark != std::string_view::npos) ask.query = std::string(target.substr(mark + 1));
    if (face == FaceKind::own) {
      ask.body = request.body();
      ask.requestName = header("X-Tulippitch-Transaction");
      ask.hops = std::atoi(header("X-Tulippitch-Hops").c_str());
    } else {
      ask.body = std::move(request.body());
      ask.basedOn = header(server.headers_.basedOn);
      ask.key = bearerKey(header("Authorization"));
    }
    ask.host = std::string(request[beast_http::field::host]);
    const auto asked = std::atoll(
        header(face == FaceKind::own ? "X-Tulippitch-Cutoff-Ms" : std::string_view(server.headers_.deadlineMs))
            .c_str());
    const auto mostMs = server.bounds_.callMs * (face == FaceKind::own ? kMostCalls : 1);
    ask.deadlineMs = asked > 0 ? std::min<Millis>(asked, mostMs) : server.bounds_.callMs;
    return ask;
  }

  /// Asks the core again for a call that left and got no answer; whoever leads by then is told. False when it is over.
  bool giveAgain(Loss loss) {
    const auto now = Steady::now();
    if (!left || face != FaceKind::own || !mayRepeat(call, loss) || now >= std::min(until, repeatUntil)) return false;
    const auto pauseMs = tries++ == 0 ? 0 : std::max<Millis>(1, server.bounds_.leaseMs / kRepeatPausesPerLease);
    pause.expires_after(std::chrono::milliseconds(pauseMs));
    pause.async_wait([self = shared_from_this(), asked = requestId](beast::error_code cancelled) {
      if (cancelled || self->orphan || self->requestId != asked || !self->server.asking_.contains(asked)) return;
      auto ask = self->makeAsk();
      ask.requestId = asked;
      ask.deadlineMs = std::max<Millis>(1, millisUntil(self->until));
      if (!self->server.give_(self->node, std::move(ask))) self->server.answerKind(asked, Kind::unknownOutcome);
    });
    return true;
  }

  /// The call may have arrived somewhere.
  void noteLeft() {
    if (std::exchange(left, true)) return;
    tries = 0;
    repeatUntil = Steady::now() + std::chrono::milliseconds(kRepeatLeases * server.bounds_.leaseMs);
  }

  // What the peer still sends is read and dropped, so that the answer is not lost in a reset.
  void rejectUnread(Kind kind) {
    closing = true;
    write(rowOf(kind).status, "{\"error\":\"" + std::string(rowOf(kind).name) + "\"}", 0, {});
  }

  void write(int status, const std::string& body, Millis retryMs, const Address& location) {
    // A request that has been read already is answered before the connection ends.
    const bool next = buffer.size() > 0;
    const bool keep = !closing && (next || !server.leaving_) && parser->get().keep_alive();
    const auto reason = beast_http::obsolete_reason(static_cast<beast_http::status>(status));
    out.clear();
    out.append("HTTP/1.1 ").append(std::to_string(status)).append(" ").append(reason.data(), reason.size());
    out.append("\r\nContent-Type: ").append(face == FaceKind::metrics ? kMetricsType : kJsonType);
    out.append("\r\nContent-Length: ").append(std::to_string(body.size()));
    if (!location.empty()) {
      const auto target = parser->get().target();
      out.append("\r\nLocation: http://").append(location.value).append(target.data(), target.size());
    }
    if (retryMs > 0) {
      out.append("\r\nRetry-After: ").append(std::to_string((retryMs + 999) / 1000));
      if (face == FaceKind::own) out.append("\r\nX-Tulippitch-Retry-Ms: ").append(std::to_string(retryMs));
    }
    if (!keep) out.append("\r\nConnection: close");
    out.append("\r\n\r\n");
    if (parser->get().method() != beast_http::verb::head) out.append(body);
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
    pause.cancel();
    beast::error_code ignored;
    socket.shutdown(tcp::socket::shutdown_both, ignored);
    socket.close(ignored);
  }

  HttpServer& server;
  std::shared_ptr<HttpCounts> counts;
  tcp::socket socket;
  asio::steady_timer pause;  // before a forwarded call is sent again
  beast::flat_buffer buffer;
  std::optional<beast_http::request_parser<beast_http::string_body>> parser;
  std::string out;
  std::array<char, 512> scrap;
  std::uint64_t requestId = 0;
  std::string method;
  CallClass call = CallClass::other;
  int hops = 0;
  int tries = 0;
  Steady::time_point until, since, repeatUntil;
  FaceKind face;
  std::size_t node;
  bool left = false;       // the call was forwarded and may have arrived
  bool pipelined = false;  // (part of) the next request was read together with the one before
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
      adapter_(std::move(adapter)),
      next_(firstRequestId()) {
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

std::vector<Address> HttpServer::boundAddresses() const {
  std::vector<Address> all;
  for (const auto& door : doors_) {
    const auto at = door->acceptor.local_endpoint();
    all.emplace_back(at.address().to_string() + ":" + std::to_string(at.port()));
  }
  return all;
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
    answerKind(requestId, kindWithoutAnswer(asking_.at(requestId)->call, true));
  }
  for (const auto& session : idle) session->shut();
  if (next) arm(std::max(*next, now + std::chrono::milliseconds(bounds_.callMs / 150 + 1)));
}

void HttpServer::answer(const transport::Answer& answer) {
  auto found = asking_.find(answer.requestId);
  if (found == asking_.end()) return;
  if (found->second->left) {
    if (saysNoLeader(answer.kind) && found->second->giveAgain(Loss::unavailable)) return;
    const auto kind = kindAfterRepeat(found->second->call, answer.kind);
    if (kind != answer.kind) return answerKind(answer.requestId, kind);
  }
  auto session = std::move(found->second);
  asking_.erase(found);
  ++counts_->answers;
  if (const auto status = static_cast<std::size_t>(answer.status); status < HttpCounts::kStatuses)
    ++counts_->byStatus[status];
  if (!session->gone) session->write(answer.status, answer.body, answer.retryMs, answer.location);
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
  callHttp(context_, std::move(call), [this, requestId = forward.requestId](CallReply reply) {
    if (!closed_) onForwarded(requestId, std::move(reply));
  });
}

void HttpServer::onForwarded(std::uint64_t requestId, CallReply reply) {
  const auto found = asking_.find(requestId);
  if (found == asking_.end()) return;
  auto& session = *found->second;
  if (reply.status > 0) {
    const auto kind = kindOfReply(reply);
    return answer({requestId, reply.status, std::max<Millis>(0, reply.retryAfterMs), std::move(reply.body), kind, {}});
  }
  if (reply.sent) session.noteLeft();
  if (session.giveAgain(reply.sent ? Loss::reset : Loss::unreached)) return;
  answerKind(requestId, kindWithoutAnswer(session.call, session.left));
}

void HttpServer::answerOutstanding() {
  std::vector<std::uint64_t> outstanding;
  for (const auto& [requestId, session] : asking_) outstanding.push_back(requestId);
  for (const auto requestId : outstanding) answerKind(requestId, kindWithoutAnswer(asking_.at(requestId)->call, true));
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
