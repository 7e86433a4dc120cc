#pragma once
#include "simulator/day.hpp"

namespace tulip::simulator {

constexpr Micros kSecond = 1000000;

// One day under way: the simulated fleet with its callers and operators, and
// the judge who watches them.
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
  double ackLoss = 0;           // share of answers that are lost on their way to callers and operators
  double throughAdapter = 0.3;  // share of the callers' calls that come through a protocol adapter
  Version newestNumber = 0;     // the newest operator's number that was acknowledged
  bool awaitsWhole = false;     // a second replica is lost only once the first
                                // one's voter is taken

  /// Any machine but the one that just failed the caller, if another is left.
  Host& anyHost(const Host* but = nullptr);
  Micros faultTime();
  void call(transport::Ask ask, std::function<void(Reply)> done);
  void callAt(Host& host, transport::Ask ask, std::function<void(Reply)> done);
  /// Where a caller asks about a job, by either interface.
  Host& hostForJob(transport::Ask& ask);
  void callForJob(transport::Ask ask, std::function<void(Reply)> done);
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
  void resendOnce(const std::string& mark, const transport::Ask& ask);
  /// An operator's change under its own number, sent until it is taken or
  /// refused.
  void changeByNumber(Version number, Version basedOn, const std::string& mark, std::function<void()> done);
  void markOnce(bool whole, const std::string& query = {});
  void invalidOnce();
  void conditionalOnce(bool named);
  void marks(Micros everyUs);
  void readConfigs();
  void readConfig(const std::string& body, Millis askedMs, bool final);
  void submitImpatient(std::string id, std::string body, int tries, bool unclear);
  void endStanding(const std::string& id);
  void retire(Host& host);
  void takeSoon(SimWorker& simWorker, Millis inMs);
  const LineLoad& queueOf(const std::string& name) const;
  void sweeps();
  /// Finds, once a second, what the daemons of the control side keep in memory.
  void weigh();
  void setFlag(const std::string& group, const std::string& name, const std::string& flag, bool on,
               std::function<void(bool)> done);
  void setZone(const std::string& zone, bool emptied, std::function<void()> then);
  void setDrain(const std::string& worker, bool drained, std::function<void()> then);
  Host& pick(Role role);
  SimWorker& pickWorker();
  void crashFor(Host& host, Micros spanUs);
  void powerLossFor(Host& host, Micros spanUs);
  /// All machines of the control side lose power, or all their processes are
  /// killed, and return one by one.
  void loseCore(bool power);
  /// Acts once fewer machines of the control side are lost than the settings
  /// allow, if that comes in time.
  void whenAffordable(std::function<void()> act);
  /// The successor comes first, then the old replica is stopped politely.
  void replacePlanned(Host& old);
  std::string successorName(const Host& old) const;
  /// The machine that takes the place of a replica's: with a scheduler beside it where they share machines.
  Host& addSuccessor(const Host& old);
  void replaceReplica(Host& old, bool sameAddress);
  bool membershipWhole();
  void whenWhole(std::function<void()> act);
  void healAll();
};

}  // namespace tulip::simulator
