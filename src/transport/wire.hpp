#pragma once
// Boost.Asio 1.74 uses std::exchange without including it.
#include <utility>

#include <boost/asio.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "base/resource_limits.hpp"
#include "transport/messages.hpp"
#include "transport/wire_counts.hpp"

namespace tulip::transport {

// Frames between processes. One wire serves every node of its process: each listens at its own address, and lines are
// shared.
class Wire {
 public:
  using Receive = std::function<void(Frame&&)>;
  // A line whose peer acknowledges nothing for two terms is given up.
  Wire(boost::asio::io_context& context, Millis leaseMs, Receive receive, std::function<void(std::string)> alarm,
       const ConnectionLimits& limits = connectionLimits({}));
  ~Wire();
  void listen(const Address& self);
  // Queued until flush, which writes what goes to one peer at once.
  void send(const Frame& frame);
  void flush();
  void close();
  const WireCounts& counts() const { return counts_; }
  /// Connections to and from peers.
  std::size_t connections() const { return all_.size(); }

 private:
  struct Line;
  struct Door;
  void accept(Door& door);
  void acceptLater(Door& door);
  void take(const std::shared_ptr<Line>& line);
  void prove(const std::shared_ptr<Line>& line);
  bool makeRoomToRead(const std::shared_ptr<Line>& line);
  bool mayHold(const std::shared_ptr<Line>& line, std::size_t bytes);
  std::size_t mostFrameBytes(const Line& line) const;
  void dial(const Address& to);
  void start(const std::shared_ptr<Line>& line);
  void read(const std::shared_ptr<Line>& line);
  bool takeFrames(const std::shared_ptr<Line>& line);
  void adopt(const std::shared_ptr<Line>& line, const Address& other);
  void write(const std::shared_ptr<Line>& line);
  void drop(const std::shared_ptr<Line>& line);

  boost::asio::io_context& context_;
  Millis termMs_;
  Receive receive_;
  std::function<void(std::string)> alarm_;
  std::vector<std::unique_ptr<Door>> doors_;
  std::map<Address, std::shared_ptr<Line>> lines_;
  std::set<std::shared_ptr<Line>> all_;
  std::map<std::uint64_t, std::shared_ptr<Line>> unproven_;  // in the order of their arrival
  std::size_t unprovenBytes_ = 0;                            // that these hold
  std::uint64_t arrivals_ = 0;
  ConnectionLimits limits_;
  std::vector<std::shared_ptr<Line>> unflushed_;
  std::map<Address, std::chrono::steady_clock::time_point> rejected_;
  WireCounts counts_;
  bool closed_ = false;
};

boost::asio::ip::tcp::endpoint endpointOf(const Address& address);

}  // namespace tulip::transport
