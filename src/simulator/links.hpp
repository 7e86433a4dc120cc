#pragma once
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "simulator/clock.hpp"

/// Links and connections that take time by the byte.
namespace tulip::simulator {

/// The rates of the machines' links; 0: a message takes no time by the byte.
struct LinkPlan {
  double largeMbps = 0;   ///< Machines of the control side whose replica has a disk.
  double smallMbps = 0;   ///< The other machines of the control side.
  double workerMbps = 0;  ///< Machines of agents and workers.

  bool timed() const { return largeMbps > 0; }
};

/// A frame occupies its sender's link, travels, and occupies its receiver's link. What one machine sends to another
/// arrives in the order in which it was sent, so a heartbeat waits behind the bulk before it.
class Links {
 public:
  void setRate(const std::string& machine, double megabitsPerSecond);
  /// The rate is set by the first node of a machine.
  bool knows(const std::string& machine) const { return ends_.contains(machine); }

  /// When the last byte of a frame that is sent now arrives; none: too much waits for the receiver already, and the
  /// frame is dropped. The first frame of a connection waits for a round trip.
  std::optional<Micros> arrivalUs(const std::string& from, const std::string& to, std::size_t bytes, Micros travelUs,
                                  Micros nowUs);
  /// When the last byte has left the machine.
  Micros sentUs(const std::string& from, std::size_t bytes, Micros nowUs);
  /// When the last byte of what reaches the machine's link at `reachedUs` is taken in.
  Micros receivedUs(const std::string& to, std::size_t bytes, Micros reachedUs);

  /// All connections of the machine are gone with what waited on its link.
  void disconnect(const std::string& machine, Micros nowUs);

 private:
  struct End {
    double bytesPerUs = 0;
    Micros sendsUntilUs = 0;
    Micros receivesUntilUs = 0;
  };
  using Connection = std::pair<std::string, std::string>;  ///< The two machines, the lesser name first.

  static Connection connectionOf(const std::string& one, const std::string& other);
  bool isFull(const End& sender, const End& receiver, Micros nowUs) const;

  std::map<std::string, End> ends_;
  std::map<Connection, bool> open_;
  std::map<std::pair<std::string, std::string>, Micros> lastArrivalUs_;  ///< From one machine to another.
};

}  // namespace tulip::simulator
