#pragma once
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "admission/admission.hpp"
#include "jobs/holding.hpp"
#include "jobs/spec.hpp"
#include "jobs/task_table.hpp"
#include "transport/core.hpp"

// The job model: a job's tasks, their attempts, and the invariants that hold between them. Pure.
namespace tulip::jobs {

enum class JobState : std::uint8_t { open, finished, failed, cancelled, expired };

struct Job {
  JobId id;
  std::shared_ptr<const Spec> spec;
  Millis acceptedMs = 0;
  Millis firstDueMs = 0;  // fleet time of the first instance, as last mapped from its time of day
  JobState state = JobState::open;
  JobState ending = JobState::open;
  std::string reason;
  admission::Counters counters;
  Millis accountedMs = 0;
  Millis finishedMs = 0;
  TaskTable tasks;
  std::int64_t held = 0;     // sum of the weights of what holds room
  std::int64_t holding = 0;  // tasks that hold room
  std::int64_t doneTasks = 0;
  std::vector<placement::Load> loads;    // step by step, in the leader's kinds; not kept
  std::vector<Holding> changedHoldings;  // as they were before their change; not kept

  const QueueName& pending() const { return spec->pending; }
  std::uint32_t instanceOf(std::size_t task) const { return tasks.placeOf(task).instance; }
  std::uint32_t stepIndexOf(std::size_t task) const { return tasks.placeOf(task).step; }
  const Step& stepOf(std::size_t task) const { return spec->steps[stepIndexOf(task)]; }
  Tally tallyOf(std::size_t task) const {
    const auto place = tasks.placeOf(task);
    return tasks.tally(place.instance, place.step);
  }
  Tally& editTallyOf(std::size_t task) {
    const auto place = tasks.placeOf(task);
    return tasks.editTally(place.instance, place.step);
  }
};

Job makeJob(std::shared_ptr<const Spec> spec);

std::string packJob(const Job& job);  // without its spec
bool unpackJob(std::string_view bytes, std::shared_ptr<const Spec> spec, Job& job);

std::string taskName(const Job& job, std::size_t task);
std::optional<std::size_t> taskAt(const Job& job, std::string_view name);
AttemptId runIdOf(const Job& job, std::size_t task);
AttemptId attemptIdOf(const Job& job, std::size_t task, std::int64_t attempt);
json_t* viewJob(const Job& job, bool brief);
std::string traceLine(const Job& job);
transport::JobPhase phaseOf(const Job& job);

std::int64_t heldSlots(const Job& job);
std::size_t gangBegin(const Job& job, std::size_t task);  // first task of its step and instance
bool hasRuns(const Job& job);
bool hasBegun(const Job& job);  // a task of it has been seen at work; an order alone does not show that
bool depsDone(const Job& job, std::size_t task);
Millis dueMs(const Job& job, std::uint32_t instance);
/// How many instances, the first ones, have fallen due.
std::uint32_t dueInstances(const Job& job, Millis fleetMs);
// The longest chain of estimates through the steps that aren't done; of all steps with whole.
Millis chainMs(const Job& job, std::uint32_t instance, bool whole);
// Tasks that may start now, in groups: each a step's of one instance, or all of a gang job's.
std::vector<std::vector<std::uint32_t>> readyGroups(const Job& job, Millis fleetMs);
void accrueTo(Job& job, Millis fleetMs);

// weight: the task's part of W_J there, in thousandths; 0: its slots.
void startRun(Job& job, std::size_t task, const WorkerId& worker, const std::string& incarnation, Millis fleetMs,
              std::int64_t weight = 0);
/// Stops a run, and with it its gang.
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
