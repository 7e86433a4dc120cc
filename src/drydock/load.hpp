#pragma once
#include <functional>
#include <string>
#include <vector>

#include "chart/chart.hpp"

namespace tulip::drydock {

struct LineLoad {
  std::string line;
  double perSecond = 1;
  std::int64_t leastTasks = 1, mostTasks = 3;
  std::int64_t leastSlots = 1, mostSlots = 2;
  Millis leastRunMs = 100, mostRunMs = 600;
  double gang = 0.5;
  double steps = 0.2;
  double heavyTail = 0;
};

struct TaskSketch {
  std::string name;
  std::int64_t slots = 1;
  std::vector<std::size_t> after;
  Millis runMs = 100;
  bool fails = false;
  std::int64_t failAttempts = 0;
};

struct JobSketch {
  std::string id;
  std::string line;
  bool gang = false;
  Millis notBeforeMs = 0;
  std::vector<TaskSketch> tasks;
};

using Dice = std::function<double()>;

JobSketch sketchJob(const LineLoad& load, const std::string& id, const Dice& dice);
std::string jobBody(const JobSketch& job);
std::vector<LineLoad> builtInLoad(const std::string& name);
bool readLoad(std::string_view text, std::vector<LineLoad>& lines, chart::Fault& fault);
struct Arrival {
  Millis atMs = 0;
  JobSketch job;
};

std::vector<Arrival> drawArrivals(const std::vector<LineLoad>& lines, double seconds, double factor, std::uint64_t seed);
bool readTrace(std::string_view text, std::vector<Arrival>& arrivals, std::size_t& badLine, std::string& allowed);
Millis shortestMs(const JobSketch& job);
std::int64_t workMs(const JobSketch& job);
double gapSeconds(const LineLoad& load, double factor, const Dice& dice);

}  // namespace tulip::drydock
