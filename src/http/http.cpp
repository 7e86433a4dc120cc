#include "http/http.hpp"

#include <malloc.h>

#include <algorithm>
#include <boost/beast/core.hpp>
#include <optional>
#include <random>

#include "base/json.hpp"
#include "http/call_policy.hpp"
#include "http/session.hpp"
#include "transport/wire.hpp"

namespace tulip::http {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace beast_http = boost::beast::http;
using tcp = asio::ip::tcp;
using Steady = std::chrono::steady_clock;

namespace {

constexpr Millis kAcceptPausesPerLease = 20;           // while there is no descriptor for a connection
constexpr std::size_t kClosedWithoutDescriptors = 16;  // this part of the connections, one at least
constexpr std::size_t kCrowdedPart = 2;                // of the bytes that clients may hold
constexpr std::size_t kCalmPart = 8;

/// Where the numbers of this life's requests begin, so that no answer to an earlier life's request fits one of them.
std::uint64_t firstRequestId() {
  std::random_device device;
  return static_cast<std::uint64_t>(device()) << 32;
}

bool isWithoutDescriptors(beast::error_code failed) {
  return failed == boost::system::errc::too_many_files_open ||
         failed == boost::system::errc::too_many_files_open_in_system;
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

}  // namespace

HttpServer::HttpServer(asio::io_context& context, Bounds bounds, std::size_t maxBodyBytes, Give give,
                       std::shared_ptr<const ProtocolAdapter> adapter, const ConnectionLimits& limits)
    : context_(context),
      timer_(context),
      bounds_(bounds),
      maxBodyBytes_(maxBodyBytes),
      limits_(limits),
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
  // Connections take it over from their listener.
  door->acceptor.set_option(asio::socket_base::receive_buffer_size(static_cast<int>(limits_.receiveBytes / 2)));
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
    if (failed) return acceptLater(door, failed);
    take(door, std::move(socket));
    accept(door);
  });
}

/// Without a free descriptor, accepting fails at once and would be tried without a pause.
void HttpServer::acceptLater(Door& door, beast::error_code failed) {
  const auto most = isWithoutDescriptors(failed) ? 1 + sessions_.size() / kClosedWithoutDescriptors : 0;
  for (std::size_t closed = 0; closed < most && closeLongestWaiting(); ++closed) {
  }
  door.pause.expires_after(std::chrono::milliseconds(std::max<Millis>(1, bounds_.leaseMs / kAcceptPausesPerLease)));
  door.pause.async_wait([this, &door](beast::error_code cancelled) {
    if (!cancelled && !closed_) accept(door);
  });
}

void HttpServer::take(Door& door, tcp::socket socket) {
  while (sessions_.size() - goneSessions_ >= mostSessions())
    if (!closeLongestWaiting()) return;
  beast::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  auto session = std::make_shared<Session>(*this, std::move(socket), door);
  session->read();
  arm(session->idleUntil());
}

/// Connections to peers go first: a leader has one to each agent, however many clients there are.
std::size_t HttpServer::mostSessions() const {
  const auto peers = peerConnections_ ? peerConnections_() : 0;
  const auto left = limits_.descriptors - std::min(limits_.descriptors, peers);
  return std::max<std::size_t>(1, std::min(limits_.clientConnections, left));
}

/// Closes the connection that has waited longest for its client, at the listener that has most of them. Those whose
/// request is being answered stay. False: there is none to close.
bool HttpServer::closeLongestWaiting() {
  Session* longest = nullptr;
  const auto before = [](const Session& a, const Session& b) {
    return a.door.sessions != b.door.sessions ? a.door.sessions > b.door.sessions : a.waitsSince < b.waitsSince;
  };
  for (auto* session : sessions_)
    if (mayClose(*session) && (!longest || before(*session, *longest))) longest = session;
  if (!longest) return false;
  closeForOthers(*longest);
  return true;
}

bool HttpServer::mayClose(const Session& session) const {
  return !session.gone && !asking_.contains(session.requestId);
}

void HttpServer::closeForOthers(Session& session) {
  ++counts_->closedForOthers;
  if (const auto held = session.weak_from_this().lock()) held->shut();
}

/// Sets what a session holds. Where all hold more than they may, those that hold most are closed, and of these the one
/// that has waited longest. False: the session itself would be the one; it stays where `answered`.
bool HttpServer::hold(Session& session, std::size_t bytes, bool answered) {
  heldBytes_ += bytes;
  heldBytes_ -= std::exchange(session.heldBytes, bytes);
  crowded_ = crowded_ || heldBytes_ > limits_.clientBytes / kCrowdedPart;
  while (heldBytes_ - goneBytes_ > limits_.clientBytes) {
    auto* largest = largestHolder(answered ? &session : nullptr);
    if (!largest || largest == &session) return false;
    closeForOthers(*largest);
  }
  return true;
}

HttpServer::Session* HttpServer::largestHolder(const Session* spared) const {
  Session* largest = nullptr;
  const auto before = [](const Session& a, const Session& b) {
    return a.heldBytes != b.heldBytes ? a.heldBytes > b.heldBytes : a.waitsSince < b.waitsSince;
  };
  for (auto* session : sessions_)
    if (session != spared && mayClose(*session) && (!largest || before(*session, *largest))) largest = session;
  return largest;
}

/// The heap keeps what was freed; after a crowd it is given back to the system.
void HttpServer::giveBackAfterCrowd() {
  if (!crowded_ || heldBytes_ > limits_.clientBytes / kCalmPart) return;
  crowded_ = false;
  ::malloc_trim(0);
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

void HttpServer::answer(transport::Answer answer) {
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
  if (!session->gone) session->write(answer.status, std::move(answer.body), answer.retryMs, answer.location);
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
  answer(std::move(made));
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
  call.mostReplyBytes = limits_.clientBytes;
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
  for (auto& door : doors_) {
    door->acceptor.close(ignored);
    door->pause.cancel();
  }
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
