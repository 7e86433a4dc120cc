#pragma once
#include <atomic>
#include <utility>
#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "bearing/env.hpp"
#include "signal/core.hpp"

namespace tulip::gangway {

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
  Millis cutoffMs = 5000;
};

void callHttp(boost::asio::io_context& context, CallOut call, std::function<void(CallReply)> done);
CallReply callNow(CallOut call);

struct HttpCounts {
  std::atomic<std::uint64_t> asks{0}, answers{0}, cutoffs{0}, proxied{0}, overloaded{0}, open{0};
};

class HttpServer {
 public:
  using Give = std::function<bool(signal::Ask&&)>;
  HttpServer(boost::asio::io_context& context, Address self, Bounds bounds, std::size_t maxBodyBytes, Give give);
  void listen();
  void answer(const signal::Answer& answer);
  void proxy(const signal::Proxy& proxy);
  void close();
  const HttpCounts& counts() const { return *counts_; }
  void rebound(const Bounds& bounds) { bounds_ = bounds; }

 private:
  struct Session;
  void accept();
  void answerKind(std::uint64_t transaction, Kind kind);
  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  Address self_;
  Bounds bounds_;
  std::size_t maxBodyBytes_;
  Give give_;
  std::uint64_t next_ = 0;
  std::map<std::uint64_t, std::shared_ptr<Session>> asking_;
  std::shared_ptr<HttpCounts> counts_ = std::make_shared<HttpCounts>();
  bool closed_ = false;
};

}  // namespace tulip::gangway
