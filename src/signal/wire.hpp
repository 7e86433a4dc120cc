#pragma once
#include <atomic>
#include <utility>
#include <boost/asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>

#include "signal/messages.hpp"

namespace tulip::signal {

struct WireCounts {
  std::atomic<std::uint64_t> sent{0}, received{0}, dropped{0}, malformed{0}, foreign{0};
};

class Wire {
 public:
  using Receive = std::function<void(Frame&&)>;
  Wire(boost::asio::io_context& context, Address self, DaemonId id, Receive receive,
       std::function<void(std::string)> alarm);
  ~Wire();
  void listen();
  void send(const Address& to, Message message);
  void close();
  const WireCounts& counts() const { return counts_; }

 private:
  struct Line;
  void accept();
  void dial(const Address& to);
  void start(const std::shared_ptr<Line>& line);
  void readHead(const std::shared_ptr<Line>& line);
  void write(const std::shared_ptr<Line>& line);
  void drop(const std::shared_ptr<Line>& line);

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  Address self_;
  DaemonId id_;
  Receive receive_;
  std::function<void(std::string)> alarm_;
  std::map<Address, std::shared_ptr<Line>> lines_;
  std::set<std::shared_ptr<Line>> all_;
  std::map<Address, std::chrono::steady_clock::time_point> denied_;
  WireCounts counts_;
  bool closed_ = false;
};

boost::asio::ip::tcp::endpoint endpointOf(const Address& address);

}  // namespace tulip::signal
