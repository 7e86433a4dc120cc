#include "http/session.hpp"

#include <boost/beast/http.hpp>

#include "base/json_footprint.hpp"

namespace tulip::http {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace beast_http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr std::string_view kJsonType = "application/json";
constexpr std::string_view kMetricsType = "text/plain; version=0.0.4; charset=utf-8";
constexpr std::uint32_t kHeaderBytes = 16384;
constexpr std::size_t kUnparsedBytes = kHeaderBytes;  // whatever is not yet a body: headers, chunk sizes, trailers
constexpr std::size_t kBodyReadBytes = 8192;          // at once, once a request has begun
constexpr std::size_t kKeptBytes = 16384;
constexpr std::size_t kFieldBytes = 96;       // that a header field takes beside its text
constexpr std::size_t kMostJsonGrowth = 128;  // of a text once it is read, at most
constexpr std::size_t kCopiesOfBody = 2;      // one here and one at the core or on its way to the leader
constexpr Millis kIdleCalls = 20;
constexpr Millis kMostCalls = 12;
constexpr Millis kRepeatLeases = 3;           // a forwarded call is sent again for so long after its first loss
constexpr Millis kRepeatPausesPerLease = 20;  // pauses between two tries, as a part of a lease

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

Millis millisUntil(std::chrono::steady_clock::time_point at) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(at - std::chrono::steady_clock::now()).count();
}

bool isOverLimit(beast::error_code failed) {
  return failed == beast_http::error::body_limit || failed == beast_http::error::header_limit ||
         failed == beast_http::error::buffer_overflow;
}

bool isMalformed(beast::error_code failed) {
  return failed != beast_http::error::end_of_stream && failed != beast_http::error::partial_message &&
         failed.category() == beast_http::make_error_code(beast_http::error::bad_method).category();
}

}  // namespace

HttpServer::Session::Session(HttpServer& owner, tcp::socket connected, Door& listener)
    : server(owner),
      door(listener),
      counts(owner.counts_),
      socket(std::move(connected)),
      pause(owner.context_),
      buffer(kUnparsedBytes),
      face(listener.face),
      node(listener.node) {
  ++counts->open;
  ++door.sessions;
  server.sessions_.insert(this);
}

HttpServer::Session::~Session() {
  --counts->open;
  if (orphan) return;
  server.sessions_.erase(this);
  server.heldBytes_ -= heldBytes;
  if (gone) {
    --server.goneSessions_;
    server.goneBytes_ -= heldBytes;
  } else {
    --door.sessions;
  }
  server.giveBackAfterCrowd();
}

HttpServer::Session::Steady::time_point HttpServer::Session::idleUntil() const {
  return since + std::chrono::milliseconds(server.bounds_.callMs * (draining ? 1 : kIdleCalls));
}

void HttpServer::Session::read() {
  since = waitsSince = Steady::now();
  begun = false;
  left = false;
  pipelined = buffer.size() > 0;
  server.pipelined_ += pipelined;
  parser.emplace();
  parser->eager(true);
  parser->body_limit(server.maxBodyBytes_);
  parser->header_limit(kHeaderBytes);
  server.hold(*this, requestBytes(), true);
  readSome();
}

void HttpServer::Session::readSome() {
  beast_http::async_read_some(socket, buffer, *parser, [self = shared_from_this()](error_code failed, std::size_t) {
    self->onReadSome(failed);
  });
}

void HttpServer::Session::onReadSome(error_code failed) {
  if (orphan) return;
  if (failed || gone || parser->is_done()) return onRead(failed);
  if (!std::exchange(begun, true)) waitsSince = Steady::now();
  if (!server.hold(*this, requestBytes())) {
    endPipelined();
    return reject(Kind::overloaded);
  }
  buffer.reserve(kBodyReadBytes);
  readSome();
}

void HttpServer::Session::onRead(error_code failed) {
  endPipelined();
  if (gone) return;
  if (isOverLimit(failed)) return reject(Kind::tooLarge);
  if (isMalformed(failed)) return reject(Kind::malformed);
  if (failed) return shut();
  onRequest();
}

void HttpServer::Session::onRequest() {
  const auto& body = parser->get().body();
  if (body.size() > server.limits_.parsedBytes / kMostJsonGrowth && jsonFootprint(body) > server.limits_.parsedBytes)
    return reject(Kind::tooLarge);
  if (!server.hold(*this, requestBytes() + (kCopiesOfBody - 1) * body.size())) return reject(Kind::overloaded);
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
  if (server.give_(node, std::move(ask))) return;
  ++server.counts_->overloaded;
  server.answerKind(requestId, Kind::overloaded);
}

void HttpServer::Session::endPipelined() {
  if (std::exchange(pipelined, false)) --server.pipelined_;
}

/// What the request holds by now. An announced body takes memory as it arrives.
std::size_t HttpServer::Session::requestBytes() const {
  const auto& request = parser->get();
  const auto& body = request.body();
  const auto fields = static_cast<std::size_t>(std::distance(request.begin(), request.end()));
  return buffer.capacity() + fields * kFieldBytes + std::min(body.capacity(), kCopiesOfBody * body.size());
}

std::string HttpServer::Session::header(std::string_view name) const {
  const auto& request = parser->get();
  const auto found = name.empty() ? request.end() : request.find(beast::string_view(name.data(), name.size()));
  return found == request.end() ? std::string() : std::string(found->value());
}

/// The request as the core is asked; one of the own interface keeps its body, since it may be forwarded.
transport::Ask HttpServer::Session::makeAsk() {
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
      header(face == FaceKind::own ? "X-Tulippitch-Cutoff-Ms" : std::string_view(server.headers_.deadlineMs)).c_str());
  const auto mostMs = server.bounds_.callMs * (face == FaceKind::own ? kMostCalls : 1);
  ask.deadlineMs = asked > 0 ? std::min<Millis>(asked, mostMs) : server.bounds_.callMs;
  return ask;
}

bool HttpServer::Session::giveAgain(Loss loss) {
  const auto now = Steady::now();
  if (!left || face != FaceKind::own || !mayRepeat(call, loss) || now >= std::min(until, repeatUntil)) return false;
  const auto pauseMs = tries++ == 0 ? 0 : std::max<Millis>(1, server.bounds_.leaseMs / kRepeatPausesPerLease);
  pause.expires_after(std::chrono::milliseconds(pauseMs));
  pause.async_wait([self = shared_from_this(), asked = requestId](error_code cancelled) {
    if (cancelled || self->orphan || self->requestId != asked || !self->server.asking_.contains(asked)) return;
    auto ask = self->makeAsk();
    ask.requestId = asked;
    ask.deadlineMs = std::max<Millis>(1, millisUntil(self->until));
    if (!self->server.give_(self->node, std::move(ask))) self->server.answerKind(asked, Kind::unknownOutcome);
  });
  return true;
}

void HttpServer::Session::noteLeft() {
  if (std::exchange(left, true)) return;
  tries = 0;
  repeatUntil = Steady::now() + std::chrono::milliseconds(kRepeatLeases * server.bounds_.leaseMs);
}

/// Answers a request that was not given to the core. What the peer still sends is read and dropped, so that the answer
/// is not lost in a reset.
void HttpServer::Session::reject(Kind kind) {
  closing = true;
  buffer.clear();
  buffer.shrink_to_fit();
  const auto& row = rowOf(kind);
  const auto retryMs = static_cast<Millis>(row.retryLeases * static_cast<double>(server.bounds_.leaseMs));
  write(row.status, "{\"error\":\"" + std::string(row.name) + "\"}", retryMs, {});
}

void HttpServer::Session::write(int status, std::string body, Millis retryMs, const Address& location) {
  // A request that has been read already is answered before the connection ends.
  const bool next = buffer.size() > 0;
  const bool keep = !closing && (next || !server.leaving_) && parser->get().keep_alive();
  const auto reason = beast_http::obsolete_reason(static_cast<beast_http::status>(status));
  head.clear();
  head.append("HTTP/1.1 ").append(std::to_string(status)).append(" ").append(reason.data(), reason.size());
  head.append("\r\nContent-Type: ").append(face == FaceKind::metrics ? kMetricsType : kJsonType);
  head.append("\r\nContent-Length: ").append(std::to_string(body.size()));
  if (!location.empty()) {
    const auto target = parser->get().target();
    head.append("\r\nLocation: http://").append(location.value).append(target.data(), target.size());
  }
  if (retryMs > 0) {
    head.append("\r\nRetry-After: ").append(std::to_string((retryMs + 999) / 1000));
    if (face == FaceKind::own) head.append("\r\nX-Tulippitch-Retry-Ms: ").append(std::to_string(retryMs));
  }
  if (!keep) head.append("\r\nConnection: close");
  head.append("\r\n\r\n");
  out = parser->get().method() == beast_http::verb::head ? std::string() : std::move(body);
  std::string().swap(parser->get().body());
  since = waitsSince = Steady::now();
  server.hold(*this, requestBytes() + head.capacity() + out.capacity(), true);
  ++server.writing_;
  const std::array<asio::const_buffer, 2> parts{asio::buffer(head), asio::buffer(out)};
  asio::async_write(socket, parts, [self = shared_from_this(), keep](error_code failed, std::size_t) {
    self->onWritten(failed, keep);
  });
}

void HttpServer::Session::onWritten(error_code failed, bool keep) {
  if (orphan) return;
  --server.writing_;
  if (gone) return;
  if (failed) return shut();
  if (out.capacity() > kKeptBytes) std::string().swap(out);
  if (keep) return read();
  error_code ignored;
  socket.shutdown(tcp::socket::shutdown_send, ignored);
  draining = true;
  since = Steady::now();
  server.arm(idleUntil());
  drain();
}

void HttpServer::Session::drain() {
  socket.async_read_some(asio::buffer(scrap), [self = shared_from_this()](error_code failed, std::size_t) {
    if (self->orphan || self->gone) return;
    if (failed) return self->shut();
    self->drain();
  });
}

void HttpServer::Session::shut() {
  if (gone) return;
  gone = true;
  if (!orphan) {
    --door.sessions;
    ++server.goneSessions_;
    server.goneBytes_ += heldBytes;
  }
  pause.cancel();
  error_code ignored;
  socket.shutdown(tcp::socket::shutdown_both, ignored);
  socket.close(ignored);
}

}  // namespace tulip::http
