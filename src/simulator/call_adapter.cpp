#include "simulator/call_adapter.hpp"

#include "jobs/job.hpp"

namespace tulip::simulator {

using http::Call;
using http::Wanted;
using transport::Answer;
using transport::Ask;

namespace {

constexpr std::string_view kJobs = "/jobs";

std::string_view stateOf(transport::JobPhase phase) {
  using transport::JobPhase;
  switch (phase) {
    case JobPhase::none:
      return {};
    case JobPhase::waiting:
      return "waiting";
    case JobPhase::running:
      return "running";
    case JobPhase::finished:
      return "finished";
    case JobPhase::failed:
      return "failed";
    case JobPhase::cancelled:
      return "cancelled";
  }
  return {};
}

Wanted readChange(const Ask& ask) {
  Wanted wanted;
  wanted.call = Call::patchConfig;
  wanted.edit.sections = true;
  wanted.edit.body = ask.body;
  wanted.edit.operatorVersion = std::stoull(ask.query);
  wanted.edit.basedOn = std::stoull(ask.basedOn);
  wanted.edit.name = "v" + ask.query + "/" + jobs::digestOf(ask.basedOn + "\n" + ask.body);
  return wanted;
}

Wanted readSubmit(const Ask& ask, const config::Config& config) {
  Wanted wanted;
  wanted.call = Call::submit;
  const bool unconfigured = config.queues.empty();
  wanted.rejection = unconfigured ? Kind::notReady : jobs::readSpec(ask.body, config, wanted.spec).kind;
  return wanted;
}

}  // namespace

Wanted CallAdapter::read(const Ask& ask, const config::Config& config) const {
  if (ask.face == FaceKind::control) return readChange(ask);
  if (ask.method == "POST") return readSubmit(ask, config);
  Wanted wanted;
  wanted.call = ask.method == "GET" ? Call::getJob : Call::cancelJob;
  wanted.job = JobId(std::string_view(ask.path).substr(kJobs.size() + 1));
  return wanted;
}

Answer CallAdapter::write(Call call, Answer answer) const {
  constexpr int kCreated = 201;
  if (answer.kind != Kind::ok) {
    answer.body = "{\"error\":\"" + std::string(rowOf(answer.kind).name) + "\"}";
    return answer;
  }
  if (call == Call::submit) answer.status = kCreated;
  if (call == Call::getJob)
    answer.body = "{\"brief\":true,\"state\":\"" + std::string(stateOf(answer.brief.phase)) + "\"}";
  return answer;
}

Ask numberedChange(Version number, Version basedOn, const std::string& body) {
  Ask ask;
  ask.method = "POST";
  ask.path = "/configuration";
  ask.query = std::to_string(number);
  ask.basedOn = std::to_string(basedOn);
  ask.body = body;
  ask.face = FaceKind::control;
  return ask;
}

}  // namespace tulip::simulator
