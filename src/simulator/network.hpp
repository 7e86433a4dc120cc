#pragma once
#include <map>
#include <set>
#include <string>
#include <utility>

#include "simulator/clock.hpp"

/// What stands between simulated machines: cuts, links that stall, and
/// connections that are reset.
namespace tulip::simulator {

/// How long messages travel, and how often one is lost, duplicated or late.
struct NetworkPlan {
  Micros leastUs = 150;
  Micros mostUs = 900;
  double drop = 0;
  double duplicate = 0;
  double late = 0;
  Micros lateUs = 50000;
};

class Network {
 public:
  using Link = std::pair<std::string, std::string>;  ///< From one machine to
                                                     ///< another, this way only.

  void cut(const std::string& from, const std::string& to) { cuts_.insert({from, to}); }
  void heal() { cuts_.clear(); }
  /// Ends the cuts of one machine.
  void heal(const std::string& machine);
  bool isCut(const std::string& from, const std::string& to) const { return cuts_.contains({from, to}); }
  bool anyCut() const { return !cuts_.empty(); }

  /// The reader takes nothing until then: what is sent meanwhile waits, as in
  /// socket buffers, also when either process has ended before it is read.
  void stall(const std::string& from, const std::string& to, Micros untilUs);
  /// When a message that arrives now may be read; 0: there is no room for it
  /// left and it is lost.
  Micros readableAt(const std::string& from, const std::string& to, Micros nowUs);

  /// All connections of the machine break: of what is under way only what was
  /// sent up to keptUntilUs arrives, so that a batch of frames may arrive as a
  /// prefix.
  void reset(const std::string& machine, Micros keptUntilUs, Micros nowUs);
  /// Whether a message that was sent then went down with a connection.
  bool lostByReset(const std::string& from, const std::string& to, Micros sentUs) const;

 private:
  struct Reset {
    Micros keptUntilUs = -1;
    Micros atUs = -1;
  };
  struct Stall {
    Micros untilUs = 0;
    int waiting = 0;
  };
  bool lostAt(const std::string& machine, Micros sentUs) const;

  std::set<Link> cuts_;
  std::map<Link, Stall> stalls_;
  std::map<std::string, Reset> resets_;
};

}  // namespace tulip::simulator
