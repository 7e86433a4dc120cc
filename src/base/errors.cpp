#include "base/errors.hpp"

#include <array>
#include <string>

#include "base/types.hpp"

namespace tulip {
namespace {

constexpr std::array rows{
    Row{Kind::ok, "ok", 200, 0, 0, "done"},
    Row{Kind::malformed, "malformed", 400, 3, 0, "the body is no JSON of the expected shape"},
    Row{Kind::unknownField, "unknown-field", 422, 3, 0, "a field that is not known here"},
    Row{Kind::badValue, "bad-value", 422, 3, 0, "a value outside what is allowed"},
    Row{Kind::tooLarge, "too-large", 413, 3, 0, "the body is larger than is taken"},
    Row{Kind::noSuchQueue, "no-such-pending", 422, 3, 0, "the configuration has no such pending line"},
    Row{Kind::neverFits, "never-fits", 422, 3, 0, "no configured pool could ever hold it"},
    Row{Kind::cycle, "cycle", 422, 3, 0, "the tasks wait for one another in a ring"},
    Row{Kind::noSuchJob, "no-such-job", 404, 4, 0, "no such job is known"},
    Row{Kind::noSuchRoute, "no-such-route", 404, 4, 0, "nothing is served under this path"},
    Row{Kind::noSuchMethod, "no-such-method", 405, 3, 0, "this path does not take this method"},
    Row{Kind::idTaken, "id-taken", 409, 5, 0, "the id belongs to other content"},
    Row{Kind::raced, "raced", 409, 5, 0, "the expected revision is not the current one"},
    Row{Kind::invalidConfig, "invalid-configuration", 422, 3, 0, "the configuration does not pass its checks"},
    Row{Kind::noLeader, "no-leader", 503, 6, 0.3, "no scheduler leads at the moment"},
    Row{Kind::noMajority, "no-majority", 503, 6, 1.0, "too few replicas answer"},
    Row{Kind::overloaded, "overloaded", 503, 6, 0.5, "more is pending than is taken"},
    Row{Kind::unknownOutcome, "unknown-outcome", 503, 7, 0.5,
        "it may or may not have taken effect; resend under the same id"},
    Row{Kind::notReady, "not-ready", 503, 6, 0.5, "this daemon can not serve yet"},
    Row{Kind::deadlinePassed, "cutoff-passed", 504, 7, 0.5,
        "the caller's cutoff passed first; resend under the same id"},
    Row{Kind::forwardLoop, "proxy-loop", 503, 6, 0.5, "the daemons do not agree yet on who leads"},
    Row{Kind::staleTerm, "stale-term", 409, 5, 0, "sent under a term that has ended"},
    Row{Kind::tornFile, "torn-file", 500, 8, 0, "a stored version does not match its checksum"},
    Row{Kind::diskFailed, "disk-failed", 500, 8, 0, "the disk refused"},
    Row{Kind::badSettings, "bad-env", 500, 2, 0, "the settings do not pass their checks"},
    Row{Kind::unknownSignal, "unknown-signal-revision", 500, 8, 0, "an inner protocol revision not spoken here"},
    Row{Kind::jobEnded, "job-ended", 409, 5, 0, "the job has already ended"},
    Row{Kind::folderInUse, "folder-in-use", 500, 8, 0, "the data folder is in use by another process"},
    Row{Kind::unauthorized, "unauthorized", 401, 3, 0, "the request came with no key of a tenant"},
    Row{Kind::askElsewhere, "ask-elsewhere", 307, 6, 0, "another daemon answers this sooner"},
};

struct Category final : std::error_category {
  const char* name() const noexcept override { return "tulippitch"; }
  std::string message(int value) const override { return std::string(rowOf(static_cast<Kind>(value)).meaning); }
};

}  // namespace

const Row& rowOf(Kind kind) {
  for (const auto& row : rows)
    if (row.kind == kind) return row;
  return rows[0];
}

const std::error_category& tulipCategory() {
  static const Category category;
  return category;
}

std::error_code make_error_code(Kind kind) { return {static_cast<int>(kind), tulipCategory()}; }

std::string_view roleName(Role role) {
  switch (role) {
    case Role::replica:
      return "replica";
    case Role::scheduler:
      return "scheduler";
    case Role::agent:
      return "agent";
  }
  return "?";
}

}  // namespace tulip
