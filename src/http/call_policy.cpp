#include "http/call_policy.hpp"

#include <array>

namespace tulip::http {
namespace {

constexpr std::array kPolicies{
    CallPolicy{CallClass::read, false, true, "it changes nothing"},
    CallPolicy{CallClass::submitJob, true, true, "the same id with the same content is the same job"},
    CallPolicy{CallClass::cancelJob, true, true, "a job that is cancelled stays cancelled"},
    CallPolicy{CallClass::namedChange, true, true, "a name that was taken is answered with the version it made"},
    CallPolicy{CallClass::unnamedChange, true, false, "nothing tells a second copy from a second change"},
    CallPolicy{CallClass::workerReport, true, false, "the worker sends its next report with a higher number"},
    CallPolicy{CallClass::other, true, false, "nothing is known of it"},
};

bool isJob(std::string_view path) { return path.starts_with("/jobs/"); }

/// Refusals that say that the call was not carried out at the daemon that answers.
bool saysNotDone(Kind kind) {
  switch (kind) {
    case Kind::ok:
    case Kind::unknownOutcome:
    case Kind::deadlinePassed:
    case Kind::idTaken:
    case Kind::noSuchJob:
    case Kind::jobEnded:
    case Kind::malformed:
      return false;
    default:
      return true;
  }
}

}  // namespace

std::span<const CallPolicy> callPolicies() { return kPolicies; }

const CallPolicy& policyOf(CallClass call) {
  for (const auto& policy : kPolicies)
    if (policy.call == call) return policy;
  return kPolicies.back();
}

CallClass classOfOwnCall(std::string_view method, std::string_view path, bool named) {
  if (method == "GET") return CallClass::read;
  if (method == "POST" && path == "/jobs") return CallClass::submitJob;
  if (method == "DELETE" && isJob(path)) return CallClass::cancelJob;
  if (method == "POST" && isJob(path) && path.ends_with("/cancel")) return CallClass::cancelJob;
  const bool change = (method == "PUT" || method == "PATCH") && path == "/configuration";
  if (change) return named ? CallClass::namedChange : CallClass::unnamedChange;
  if (method == "POST" && path == "/worker/report") return CallClass::workerReport;
  return CallClass::other;
}

CallClass classOfAdapterCall(std::string_view method) { return method == "GET" ? CallClass::read : CallClass::other; }

CallClass classOf(transport::CallKind call) {
  switch (call) {
    case transport::CallKind::submit:
      return CallClass::submitJob;
    case transport::CallKind::cancelJob:
      return CallClass::cancelJob;
    case transport::CallKind::getJob:
    case transport::CallKind::countPending:
      return CallClass::read;
  }
  return CallClass::other;
}

Loss lossOf(int status) {
  switch (status) {
    case 502:
      return Loss::badGateway;
    case 503:
      return Loss::unavailable;
    case 504:
      return Loss::gatewayTimeout;
    default:
      return Loss::answered;
  }
}

bool mayRepeat(CallClass call, Loss loss) {
  if (loss == Loss::answered) return false;
  return loss == Loss::unreached || policyOf(call).repeatable;
}

Kind kindWithoutAnswer(CallClass call, bool left) {
  if (!left) return Kind::noLeader;
  return policyOf(call).changes ? Kind::unknownOutcome : Kind::deadlinePassed;
}

Kind kindOfGivenUp(CallClass call, bool left) {
  return left && policyOf(call).changes ? Kind::unknownOutcome : Kind::noLeader;
}

Kind kindAfterRepeat(CallClass call, Kind answered) {
  return policyOf(call).changes && saysNotDone(answered) ? Kind::unknownOutcome : answered;
}

}  // namespace tulip::http
