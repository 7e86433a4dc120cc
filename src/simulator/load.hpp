#pragma once
#include <functional>
#include <string>
#include <vector>

#include "config/config.hpp"
#include "simulator/sim.hpp"

namespace tulip::simulator {

struct LineLoad {
  std::string line;
  double perSecond = 1;
  std::int64_t leastTasks = 1, mostTasks = 3;
  std::int64_t leastSlots = 1, mostSlots = 2;
  Millis leastRunMs = 100, mostRunMs = 600;
  double gang = 0.5;
  double steps = 0.2;
  double heavyTail = 0;
  // Jobs of steps: perJob is the mean number of steps, count the tasks of each;
  // 0: jobs of single tasks.
  double perJob = 0;
  std::int64_t count = 0;
  std::int64_t cpu = 0, memMb = 0;  // each task's room
  Millis runMs = 0;
  Millis aimMs = 0;  // wanted beyond stretch times the work
  double stretch = 0;
  std::int64_t rank = 0;
  std::int64_t failureLimit = 3;
  double together = 0, oneRack = 0, saves = 0, near = 0, apart = 0, needs = 0, repeats = 0, timed = 0,
         standing = 0;  // shares, 0 to 1
};

struct TaskSketch {
  std::string name;
  std::int64_t slots = 1;
  std::vector<std::size_t> after;
  Millis runMs = 100;
  bool fails = false;
  std::int64_t failAttempts = 0;
};

struct StepSketch {
  std::string name;
  std::int64_t count = 1;
  std::int64_t slots = 1;
  std::map<std::string, std::int64_t> capacity;
  std::vector<std::size_t> after;  // places of other steps
  Millis runMs = 100;
  Millis estimateMs = 0;
  bool together = false, oneRack = false, repeats = false, standing = false, saves = false;
  std::string needs, near;
  std::int64_t apart = 0;
  bool fails = false;
  std::int64_t failAttempts = 0;
};

// A job of single tasks, or one of steps; times, firstInMs (from now, by the
// time of day) and everyMs are for steps only.
struct JobSketch {
  std::string id;
  std::string line;
  bool gang = false;
  Millis notBeforeMs = 0;
  std::vector<TaskSketch> tasks;
  std::vector<StepSketch> steps = {};
  std::int64_t times = 0;
  Millis firstInMs = 0;
  Millis everyMs = 0;

  std::int64_t instances() const { return times > 0 ? times : 1; }
};

using Dice = std::function<double()>;

// racks and kinds are the labels that a step may ask for.
struct Grounds {
  std::vector<std::string> racks, kinds;
};

Grounds groundsOf(const FleetPlan& fleet);
JobSketch sketchJob(const LineLoad& load, const std::string& id, const Dice& dice, const Grounds& grounds = {});
std::string jobBody(const JobSketch& job, Millis wallMs = kWallEpochMs);
std::string payloadOf(const TaskSketch& task);
std::string payloadOf(const StepSketch& step);
const std::vector<std::string>& loadNames();
std::vector<LineLoad> builtInLoad(const std::string& name);
FleetPlan fleetOf(const std::string& load);
bool readLoad(std::string_view text, std::vector<LineLoad>& lines, config::Fault& fault);
struct Arrival {
  Millis atMs = 0;
  JobSketch job;
};

std::vector<Arrival> drawArrivals(const std::vector<LineLoad>& lines, double seconds, double factor,
                                  std::uint64_t seed);
bool readTrace(std::string_view text, std::vector<Arrival>& arrivals, std::size_t& badLine, std::string& allowed);
Millis shortestMs(const JobSketch& job);
std::int64_t workMs(const JobSketch& job);
double gapSeconds(const LineLoad& load, double factor, const Dice& dice);

}  // namespace tulip::simulator
