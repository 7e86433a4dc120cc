#pragma once
/// One connection of a client: reads a request, has it answered, writes the answer, and reads the next one.
#include "http/call_policy.hpp"
#include "http/http.hpp"

#include <boost/beast/core.hpp>
#include <optional>

namespace tulip::http {

/// A listener.
struct HttpServer::Door {
  Door(boost::asio::io_context& context, FaceKind spoken, std::size_t owner)
      : acceptor(context), pause(context), face(spoken), node(owner) {}
  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::steady_timer pause;  // before accepting is tried again
  FaceKind face;
  std::size_t node;
  std::size_t sessions = 0;  // that are open
};

struct HttpServer::Session : std::enable_shared_from_this<HttpServer::Session> {
  using Steady = std::chrono::steady_clock;

  Session(HttpServer& owner, boost::asio::ip::tcp::socket connected, Door& listener);
  ~Session();

  Steady::time_point idleUntil() const;
  void read();
  /// Asks the core again for a call that left and got no answer; whoever leads by then is told. False when it is over.
  bool giveAgain(Loss loss);
  /// The call may have arrived somewhere.
  void noteLeft();
  void write(int status, std::string body, Millis retryMs, const Address& location);
  void shut();

  HttpServer& server;
  Door& door;
  std::shared_ptr<HttpCounts> counts;
  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer pause;  // before a forwarded call is sent again
  boost::beast::flat_buffer buffer;
  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser;
  std::string head;
  std::string out;  // the answer's body
  std::array<char, 512> scrap;
  std::uint64_t requestId = 0;
  std::string method;
  CallClass call = CallClass::other;
  int hops = 0;
  int tries = 0;
  Steady::time_point until, since, repeatUntil;
  Steady::time_point waitsSince;  // for the client: since it last began a request or was sent an answer
  std::size_t heldBytes = 0;      // as the server counts them
  FaceKind face;
  std::size_t node;
  bool begun = false;      // a part of the request is there
  bool left = false;       // the call was forwarded and may have arrived
  bool pipelined = false;  // (part of) the next request was read together with the one before
  bool closing = false;
  bool draining = false;
  bool gone = false;
  bool orphan = false;  // its server is closed

 private:
  using error_code = boost::beast::error_code;
  void readSome();
  void onReadSome(error_code failed);
  void onRead(error_code failed);
  void onRequest();
  void endPipelined();
  std::size_t requestBytes() const;
  std::string header(std::string_view name) const;
  transport::Ask makeAsk();
  void reject(Kind kind);
  void onWritten(error_code failed, bool keep);
  void drain();
};

}  // namespace tulip::http
