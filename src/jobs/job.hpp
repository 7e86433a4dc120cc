#pragma once
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "admission/admission.hpp"
#include "transport/core.hpp"

namespace tulip::jobs {

enum class JobState : std::uint8_t { open, finished, failed, cancelled, expired };
enum class TaskState : std::uint8_t { pending, placed, done };

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
  PoolName pool;
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
  MSGPACK_DEFINE(id, digest, pending, pool, gang, plainNames, labels, notBeforeMs, deadlineMs, times, firstWallMs,
                 everyMs, payload, steps, line)

  std::size_t perInstance() const;
  std::size_t instances() const { return times > 0 ? static_cast<std::size_t>(times) : 1; }
};

struct Task {
  TaskState state = TaskState::pending;
  std::uint32_t step = 0;
  std::uint32_t instance = 0;
  std::int64_t failures = 0;
  std::int64_t attempts = 0;
  Millis notBeforeMs = 0;
  WorkerId worker;  // set while room is held, which may outlast the clean end of a gang
  std::string workerIncarnation;
  Millis orderedMs = 0;
  bool confirmed = false;
  bool stopping = false;
  std::string saved;
  std::string detail;
  Millis ranMs = 0;
  WorkerId failedOn;
  std::int64_t weight = 0;   // its part of W_J while it holds room, in thousandths
  std::int64_t percent = 0;  // as last reported; not kept
  Millis movedMs = 0;        // when percent last moved; not kept
  Millis runningMs = -1;     // when it was first seen at work under this leader, and how far it was; not kept
  std::int64_t runningPercent = 0;
  std::string seenSaved;  // as last reported; kept once it is used

  bool holds() const { return !worker.empty(); }
};

// How many tasks of one step of one instance are where.
struct Tally {
  std::uint32_t pending = 0, placed = 0, done = 0;
  std::uint32_t failures = 0;
  std::int64_t failedAttempt = 0;
};

struct Job {
  JobId id;
  std::shared_ptr<const Spec> spec;
  Millis acceptedMs = 0;
  Millis firstDueMs = 0;  // fleet time of the first instance
  JobState state = JobState::open;
  JobState ending = JobState::open;
  std::string reason;
  admission::Counters counters;
  Millis accountedMs = 0;
  Millis finishedMs = 0;
  std::vector<Task> tasks;
  std::vector<Tally> tallies;  // instance by instance, step by step
  std::int64_t held = 0;       // sum of the weights of what holds room
  std::int64_t holding = 0;    // tasks that hold room
  std::int64_t doneTasks = 0;
  std::vector<placement::Load> loads;  // step by step, in the leader's kinds; not kept

  const QueueName& pending() const { return spec->pending; }
  const Step& stepOf(std::size_t task) const { return spec->steps[tasks[task].step]; }
  const Tally& tallyOf(std::size_t task) const {
    return tallies[tasks[task].instance * spec->steps.size() + tasks[task].step];
  }
  Tally& tallyOf(std::size_t task) { return tallies[tasks[task].instance * spec->steps.size() + tasks[task].step]; }
};

struct Verdict {
  Kind kind = Kind::ok;
  std::string field;
  std::string allowed;
};

Verdict readSpec(std::string_view body, const config::Config& config, Spec& spec);
Verdict checkSpec(const Spec& spec, const config::Config& config);
std::string digestOf(std::string_view text);
Job makeJob(std::shared_ptr<const Spec> spec);

std::string packSpec(const Spec& spec);
bool unpackSpec(std::string_view bytes, Spec& spec);
std::string packJob(const Job& job);  // without its spec
bool unpackJob(std::string_view bytes, std::shared_ptr<const Spec> spec, Job& job);

std::string taskName(const Job& job, std::size_t task);
std::optional<std::size_t> taskAt(const Job& job, std::string_view name);
AttemptId runIdOf(const Job& job, std::size_t task);
json_t* viewJob(const Job& job, bool brief);
std::string traceLine(const Job& job);
transport::JobPhase phaseOf(const Job& job);

std::int64_t heldSlots(const Job& job);
std::size_t gangBegin(const Job& job, std::size_t task);  // first task of its step and instance
bool hasRuns(const Job& job);
bool depsDone(const Job& job, std::size_t task);
Millis dueMs(const Job& job, std::uint32_t instance);
// The longest chain of estimates through the steps that aren't done; of all steps with whole.
Millis chainMs(const Job& job, std::uint32_t instance, bool whole);
// Tasks that may start now, in groups: each a step's of one instance, or all of a gang job's.
std::vector<std::vector<std::uint32_t>> readyGroups(const Job& job, Millis fleetMs);
void accrueTo(Job& job, Millis fleetMs);

// weight: the task's part of W_J there, in thousandths; 0: its slots.
void startRun(Job& job, std::size_t task, const WorkerId& worker, const std::string& incarnation, Millis fleetMs,
              std::int64_t weight = 0);
void stopRun(Job& job, std::size_t task, Millis fleetMs);
void stopRuns(Job& job, Millis fleetMs);
void endRun(Job& job, std::size_t task, transport::AttemptOutcome outcome, const std::string& detail,
            const config::Queue& line, Millis fleetMs);
void endJob(Job& job, JobState ending, std::string reason, Millis fleetMs);
bool closeIfOver(Job& job, Millis fleetMs);

std::string checkJob(const Job& job);
std::string_view stateName(JobState state);

}  // namespace tulip::jobs
MSGPACK_ADD_ENUM(tulip::jobs::JobState)
MSGPACK_ADD_ENUM(tulip::jobs::TaskState)
