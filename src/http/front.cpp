#include "http/front.hpp"

namespace tulip::http {
namespace {

std::vector<std::string> split(std::string_view path) {
  std::vector<std::string> parts;
  while (!path.empty()) {
    const auto slash = path.find('/');
    const auto part = path.substr(0, slash);
    if (!part.empty()) parts.emplace_back(part);
    if (slash == std::string_view::npos) break;
    path.remove_prefix(slash + 1);
  }
  return parts;
}

std::string unescape(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size() && isxdigit(static_cast<unsigned char>(text[i + 1])) &&
        isxdigit(static_cast<unsigned char>(text[i + 2]))) {
      out.push_back(static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16)));
      i += 2;
    } else {
      out.push_back(text[i] == '+' ? ' ' : text[i]);
    }
  }
  return out;
}

bool matches(const Rule& rule, std::span<const std::string> path, std::map<std::string, std::string>& names) {
  if (rule.path.size() != path.size()) return false;
  names.clear();
  for (std::size_t i = 0; i < path.size(); ++i) {
    if (rule.path[i].front() == ':')
      names[rule.path[i].substr(1)] = unescape(path[i]);
    else if (rule.path[i] != path[i])
      return false;
  }
  return true;
}

}  // namespace

std::vector<Rule> compile(const config::Config& config, Role role) {
  std::vector<Rule> rules;
  auto add = [&](const char* method, std::string_view path, std::vector<Step> steps, Call call) {
    steps.push_back({Op::call, 0, call});
    rules.push_back({method, split(path), std::move(steps)});
  };
  const Step body{Op::limitBody, config.http.maxBodyBytes, {}}, configBody{Op::limitBody, 1 << 20, {}};
  const Step some{Op::needBody, 0, {}}, session{Op::needSession, 0, {}}, lead{Op::needLead, 0, {}};
  add("GET", "/live", {}, Call::live);
  add("GET", "/ready", {}, Call::ready);
  add("GET", "/counters", {}, Call::counters);
  add("GET", "/log", {}, Call::log);
  add("GET", "/leader", {}, Call::leader);
  add("GET", "/members", {session}, Call::members);
  add("GET", "/configuration", {session}, Call::getConfig);
  add("PUT", "/configuration", {configBody, some, session}, Call::putConfig);
  add("PATCH", "/configuration", {configBody, some, session}, Call::patchConfig);
  add("POST", "/jobs", {body, some, lead}, Call::submit);
  add("GET", "/jobs", {lead}, Call::listJobs);
  add("GET", "/jobs/:job", {lead}, Call::getJob);
  add("DELETE", "/jobs/:job", {lead}, Call::cancelJob);
  add("POST", "/jobs/:job/cancel", {lead}, Call::cancelJob);
  add("GET", "/pendings/:pending", {lead}, Call::countPending);
  add("GET", "/workers", {lead}, Call::workers);
  add("GET", "/trace", {lead}, Call::trace);
  add("GET", "/snapshot", {lead}, Call::snapshot);
  if (role == Role::agent) add("POST", "/worker/report", {body, some}, Call::report);
  return rules;
}

Outcome interpret(std::span<const Rule> rules, const transport::Ask& ask, const Scene& scene) {
  Outcome outcome;
  const auto path = split(ask.path);
  const Rule* chosen = nullptr;
  for (const auto& rule : rules) {
    std::map<std::string, std::string> names;
    if (!matches(rule, path, names)) continue;
    outcome.kind = Kind::noSuchMethod;
    if (rule.method != ask.method) continue;
    chosen = &rule;
    outcome.names = std::move(names);
    break;
  }
  if (!chosen) return outcome;
  auto reject = [&](Kind kind) {
    outcome.course = Course::reject;
    outcome.kind = kind;
    return outcome;
  };
  for (const auto& step : chosen->steps) {
    switch (step.op) {
      case Op::limitBody:
        if (static_cast<std::int64_t>(ask.body.size()) > step.bound) return reject(Kind::tooLarge);
        break;
      case Op::needBody:
        if (ask.body.empty()) return reject(Kind::malformed);
        break;
      case Op::needSession:
        if (!scene.sessionLive) return reject(Kind::notReady);
        break;
      case Op::needLead:
        if (scene.leads) break;
        if (ask.hops >= scene.mostHops) return reject(Kind::forwardLoop);
        if (scene.leaderHttp.empty() || scene.leaderHttp == scene.selfHttp) return reject(Kind::noLeader);
        outcome.course = Course::forward;
        return outcome;
      case Op::call:
        outcome.course = Course::call;
        outcome.call = step.call;
        return outcome;
    }
  }
  return outcome;
}

std::map<std::string, std::string> queryOf(std::string_view text) {
  std::map<std::string, std::string> all;
  while (!text.empty()) {
    const auto amp = text.find('&');
    const auto part = text.substr(0, amp);
    const auto equals = part.find('=');
    if (!part.empty())
      all[unescape(part.substr(0, equals))] = equals == std::string_view::npos ? "" : unescape(part.substr(equals + 1));
    if (amp == std::string_view::npos) break;
    text.remove_prefix(amp + 1);
  }
  return all;
}

}  // namespace tulip::http
