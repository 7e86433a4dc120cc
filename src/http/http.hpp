#pragma once
// Boost.Asio 1.74 uses std::exchange without including it.
#include <utility>

#include <boost/asio.hpp>

#include <array>
#include <atomic>
#include <boost/beast/http.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/settings.hpp"
#include "http/protocol_adapter.hpp"
#include "transport/core.hpp"

namespace tulip::http {

struct CallReply {
  bool reached = false;
  bool sent = false;
  int status = 0;
  Millis retryAfterMs = -1;
  std::string body;
};

struct CallOut {
  Address to;
  std::string method = "GET";
  std::string target = "/";
  std::string body;
  std::map<std::string, std::string> headers;
  Millis deadlineMs = 5000;
  std::size_t mostReplyBytes = 64u << 20;
};

void callHttp(boost::asio::io_context& context, CallOut call, std::function<void(CallReply)> done);
CallReply callNow(CallOut call);

struct HttpCounts {
  static constexpr std::size_t kStatuses = 600;
  std::atomic<std::uint64_t> asks{0}, answers{0}, deadlines{0}, proxied{0}, overloaded{0}, open{0};
  std::atomic<std::uint64_t> closedForOthers{0};  // connections that gave their place or their memory to others
  std::array<std::atomic<std::uint32_t>, kStatuses> byStatus{};  // answers
};

// Serves the own interface and the faces of a protocol adapter, for every node of its process.
class HttpServer {
 public:
  using Give = std::function<bool(std::size_t node, transport::Ask&&)>;
  HttpServer(boost::asio::io_context& context, Bounds bounds, std::size_t maxBodyBytes, Give give,
             std::shared_ptr<const ProtocolAdapter> adapter = nullptr,
             const ConnectionLimits& limits = connectionLimits({}));
  ~HttpServer();
  void listen(const Address& at, FaceKind face, std::size_t node);
  std::vector<Address> boundAddresses() const;  // in the order of listening, with the ports that were given
  void answer(transport::Answer answer);
  void forward(const transport::ForwardRequest& forward);
  void leave();  // every connection ends after its next answer
  void stopListening();
  void answerOutstanding();  // whatever is still asked is told that its outcome is unknown
  bool answered() const { return asking_.empty() && writing_ == 0 && pipelined_ == 0; }
  void close();
  const HttpCounts& counts() const { return *counts_; }
  void rebound(const Bounds& bounds) { bounds_ = bounds; }
  /// How many descriptors connections to peers take.
  void countPeers(std::function<std::size_t()> connections) { peerConnections_ = std::move(connections); }

 private:
  struct Session;
  struct Door;
  void accept(Door& door);
  void acceptLater(Door& door, boost::system::error_code failed);
  void take(Door& door, boost::asio::ip::tcp::socket socket);
  std::size_t mostSessions() const;
  bool closeLongestWaiting();
  bool mayClose(const Session& session) const;
  void closeForOthers(Session& session);
  bool hold(Session& session, std::size_t bytes, bool answered = false);
  Session* largestHolder(const Session* spared) const;
  void giveBackAfterCrowd();
  void answerKind(std::uint64_t requestId, Kind kind);
  void onForwarded(std::uint64_t requestId, CallReply reply);
  void arm(std::chrono::steady_clock::time_point at);
  void sweep();
  boost::asio::io_context& context_;
  boost::asio::steady_timer timer_;
  std::vector<std::unique_ptr<Door>> doors_;
  Bounds bounds_;
  std::size_t maxBodyBytes_;
  ConnectionLimits limits_;
  std::function<std::size_t()> peerConnections_;
  Give give_;
  std::shared_ptr<const ProtocolAdapter> adapter_;
  HeaderNames headers_;
  std::uint64_t next_ = 0;
  std::map<std::uint64_t, std::shared_ptr<Session>> asking_;
  std::set<Session*> sessions_;
  std::size_t goneSessions_ = 0;  // of them, closed and not yet destroyed
  std::size_t heldBytes_ = 0;     // of all sessions
  std::size_t goneBytes_ = 0;     // of the closed ones
  bool crowded_ = false;          // much was held since memory was last given back
  std::shared_ptr<HttpCounts> counts_ = std::make_shared<HttpCounts>();
  std::chrono::steady_clock::time_point armedFor_;
  bool armed_ = false;
  std::size_t writing_ = 0;
  std::size_t pipelined_ = 0;
  bool leaving_ = false;
  bool closed_ = false;
};

}  // namespace tulip::http
