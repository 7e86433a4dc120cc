#pragma once
#include <map>
#include <span>
#include <string>
#include <vector>

#include "chart/chart.hpp"
#include "signal/core.hpp"

namespace tulip::gangway {

enum class Op : std::uint8_t { limitBody, needBody, needSession, needLead, call };
enum class Call : std::uint8_t {
  none, live, ready, counters, log, leader, members, getChart, putChart, patchChart, submit, listJobs, getJob, cancelJob, workers, trace, snapshot, report,
  countPending, emptyCell, takeBackCell, workerLeaves
};

struct Step {
  Op op = Op::call;
  std::int64_t bound = 0;
  Call call = Call::none;
};

struct Rule {
  std::string method;
  std::vector<std::string> path;
  std::vector<Step> steps;
};

std::vector<Rule> compile(const chart::Chart& chart, Role role);

struct Scene {
  bool sessionLive = false;
  bool leads = false;
  Address leaderHttp;
  Address selfHttp;
  std::int64_t mostHops = 2;
};

enum class Course : std::uint8_t { call, proxy, deny };
struct Outcome {
  Course course = Course::deny;
  Call call = Call::none;
  Kind kind = Kind::noSuchRoute;
  std::map<std::string, std::string> names;
};

Outcome interpret(std::span<const Rule> rules, const signal::Ask& ask, const Scene& scene);
std::map<std::string, std::string> queryOf(std::string_view text);

}  // namespace tulip::gangway
