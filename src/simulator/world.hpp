#pragma once
#include "simulator/day.hpp"

namespace tulip::simulator {

constexpr Micros kSecond = 1000000;

// One day under way: the simulated fleet with its callers and operators, and the judge who watches them.
struct World {
  explicit World(const DayPlan& given);

  DayPlan plan;
  Sim sim;
  Judge judge;
  Grounds grounds;
  DayResult result;
  Micros fromUs = 4 * kSecond;
  Micros quietUs = 0;
  Micros endUs = 0;
  std::int64_t nextJob = 0, nextMark = 0;
  std::map<std::string, Micros> submittedUs;
  std::set<std::string> retired, deadDisks;
  Millis leaderLostMs = -1;
  bool awaitsWhole = false;  // a second replica is lost only once the first one's voter is taken

  Host& anyHost();
  Micros faultTime();
  void call(transport::Ask ask, std::function<void(Reply)> done);
  void submit(std::string id, std::string body);
  void poll(const std::string& id);
  void submitThen(const LineLoad& load, std::function<void(const std::string&)> then);
  void cancel(const std::string& id, std::function<void()> then = {});
  std::string makeJob(const LineLoad& load, const std::string& id, bool neverSucceeds, bool huge);
  std::string enter(const JobSketch& sketch);
  void badJob();
  void newJob(const LineLoad& load, bool neverSucceeds = false, bool huge = false);
  void arrivals(const LineLoad& load);
  std::string baseConfig() const;
  std::string firstConfig() const;
  void changeConfig(const std::string& method, std::string body, std::string mark, std::string name, std::string query,
                    std::function<void(bool)> done, int tries = 0);
  void markOnce(bool whole, const std::string& query = {});
  void invalidOnce();
  void conditionalOnce(bool named);
  void marks(Micros everyUs);
  void readConfigs();
  void readConfig(const std::string& body, Millis askedMs, bool final);
  void submitImpatient(std::string id, std::string body, int tries, bool unclear);
  void endStanding(const std::string& id);
  void retire(Host& host);
  void takeSoon(Hand& hand, Millis inMs);
  const LineLoad& queueOf(const std::string& name) const;
  void sweeps();
  void setFlag(const std::string& group, const std::string& name, const std::string& flag, bool on,
               std::function<void(bool)> done);
  void setZone(const std::string& zone, bool emptied, std::function<void()> then);
  void setDrain(const std::string& worker, bool drained, std::function<void()> then);
  Host& pick(Role role);
  Hand& pickHand();
  void crashFor(Host& host, Micros spanUs);
  void replaceReplica(Host& old, bool sameAddress);
  bool membershipWhole();
  void whenWhole(std::function<void()> act);
  void healAll();
};

}  // namespace tulip::simulator
