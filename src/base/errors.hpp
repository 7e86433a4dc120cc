#pragma once
#include <string_view>
#include <system_error>

namespace tulip {

enum class Kind {
  ok = 0,
  malformed,
  unknownField,
  badValue,
  tooLarge,
  noSuchQueue,
  neverFits,
  cycle,
  noSuchJob,
  noSuchRoute,
  noSuchMethod,
  idTaken,
  raced,
  invalidConfig,
  noLeader,
  noMajority,
  overloaded,
  unknownOutcome,
  notReady,
  deadlinePassed,
  forwardLoop,
  staleTerm,
  tornFile,
  diskFailed,
  badSettings,
  unknownSignal,
  jobEnded,
  folderInUse,
  askElsewhere,
  unauthorized,
};

struct Row {
  Kind kind;
  std::string_view name;
  int status;
  int exitCode;
  double retryLeases;
  std::string_view meaning;
};

const Row& rowOf(Kind kind);
const std::error_category& tulipCategory();
std::error_code make_error_code(Kind kind);

}  // namespace tulip
template <>
struct std::is_error_code_enum<tulip::Kind> : std::true_type {};
