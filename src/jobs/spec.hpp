#pragma once
#include <string>
#include <string_view>
#include <vector>

#include "admission/admission.hpp"
#include "base/errors.hpp"
#include "transport/core.hpp"

// What a caller hands in: the steps of a job and their demands. Read and checked once, stored once, never changed.
namespace tulip::jobs {

// Tasks that are alike. A task of the own interface is a step of one.
struct Step {
  std::string name;
  std::uint32_t count = 1;
  placement::Capacity need;
  std::vector<std::uint32_t> after;  // earlier or later steps whose tasks must all be done first
  std::string payload;               // empty: the job's
  Millis estimateMs = 0;
  bool together = false;  // its tasks work only together; one clean end stands for all
  bool oneRack = false;
  bool repeats = false;   // copies may run side by side
  bool standing = false;  // runs until the job is cancelled, started again however it ends
  bool saves = false;     // keeps checkpoints
  std::string needs;
  std::string near;
  std::int64_t apart = 0;
  MSGPACK_DEFINE(name, count, need, after, payload, estimateMs, together, oneRack, repeats, standing, saves, needs,
                 near, apart)
};

// What the caller sent: written once, never changed.
struct Spec {
  JobId id;
  std::string digest;
  QueueName pending;
  PoolName pool;           // the queue's at acceptance: for checks of the hand-in, and read by earlier builds
  bool gang = false;       // all ready tasks of the job start together
  bool plainNames = true;  // steps of one task are named by the step alone; otherwise INSTANCE.STEP.INDEX
  placement::Labels labels;
  Millis notBeforeMs = 0;
  Millis deadlineMs = 0;
  std::int64_t times = 0;  // how often the steps run; 0: once, at once
  Millis firstWallMs = 0;
  Millis everyMs = 0;
  std::string payload;
  std::vector<Step> steps;
  config::Queue line;  // the line as it was at acceptance, for when the configuration no longer has it
  TenantName tenant;   // whose key it was handed in with; empty: nobody's
  MSGPACK_DEFINE(id, digest, pending, pool, gang, plainNames, labels, notBeforeMs, deadlineMs, times, firstWallMs,
                 everyMs, payload, steps, line, tenant)

  std::size_t perInstance() const;
  std::size_t instances() const { return times > 0 ? static_cast<std::size_t>(times) : 1; }
};

struct Verdict {
  Kind kind = Kind::ok;
  std::string field;
  std::string allowed;
};

Verdict readSpec(std::string_view body, const config::Config& config, Spec& spec);
Verdict checkSpec(const Spec& spec, const config::Config& config);
std::string digestOf(std::string_view text);
// The stored form of a spec.
std::string packSpec(const Spec& spec);
bool unpackSpec(std::string_view bytes, Spec& spec);

}  // namespace tulip::jobs
