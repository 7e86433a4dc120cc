#pragma once
#include <map>
#include <span>
#include <string>
#include <vector>

#include "config/config.hpp"
#include "transport/core.hpp"

namespace tulip::http {

enum class Op : std::uint8_t { limitBody, needBody, needSession, needLead, call };
enum class Call : std::uint8_t {
  none,
  live,
  ready,
  counters,
  log,
  leader,
  members,
  getConfig,
  putConfig,
  patchConfig,
  submit,
  listJobs,
  getJob,
  cancelJob,
  workers,
  trace,
  snapshot,
  report,
  countPending,
  emptyZone,
  takeBackZone,
  workerLeaves
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

std::vector<Rule> compile(const config::Config& config, Role role);

struct Scene {
  bool sessionLive = false;
  bool leads = false;
  Address leaderHttp;
  Address selfHttp;
  std::int64_t mostHops = 2;
};

enum class Course : std::uint8_t { call, forward, reject };
struct Outcome {
  Course course = Course::reject;
  Call call = Call::none;
  Kind kind = Kind::noSuchRoute;
  std::map<std::string, std::string> names;
};

Outcome interpret(std::span<const Rule> rules, const transport::Ask& ask, const Scene& scene);
std::map<std::string, std::string> queryOf(std::string_view text);

}  // namespace tulip::http
