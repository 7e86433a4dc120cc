#pragma once
#include <set>
#include <string>
#include <vector>

#include "admission/admission.hpp"
#include "signal/messages.hpp"

namespace tulip::manifest {

enum class JobState : std::uint8_t { open, finished, failed, cancelled, expired };
enum class TaskState : std::uint8_t { pending, placed, done };

struct Task {
  std::string name;
  berth::Room need;
  std::vector<std::uint32_t> after;
  std::string payload;
  TaskState state = TaskState::pending;
  std::int64_t failures = 0;
  std::int64_t attempts = 0;
  Millis notBeforeMs = 0;
  RunId run;
  WorkerId worker;
  std::string workerIncarnation;
  Millis orderedMs = 0;
  bool confirmed = false;
  bool stopping = false;
  std::string detail;
  Millis ranMs = 0;
  WorkerId failedOn;
  MSGPACK_DEFINE(name, need, after, payload, state, failures, attempts, notBeforeMs, run, worker, workerIncarnation, orderedMs,
                 confirmed, stopping, detail, ranMs, failedOn)
};

struct Job {
  JobId id;
  std::string digest;
  PendingName pending;
  bool gang = false;
  berth::Labels labels;
  Millis acceptedMs = 0;
  Millis notBeforeMs = 0;
  Millis cutoffMs = 0;
  JobState state = JobState::open;
  JobState ending = JobState::open;
  std::string reason;
  admission::Counters counters;
  Millis accountedMs = 0;
  Millis finishedMs = 0;
  std::vector<Task> tasks;
  MSGPACK_DEFINE(id, digest, pending, gang, labels, acceptedMs, notBeforeMs, cutoffMs, state, ending, reason, counters, accountedMs,
                 finishedMs, tasks)
};

struct Verdict {
  Kind kind = Kind::ok;
  std::string field;
  std::string allowed;
};

Verdict readJob(std::string_view body, const chart::Chart& chart, Job& job);
std::string packJob(const Job& job);
bool unpackJob(std::string_view bytes, Job& job);
json_t* viewJob(const Job& job, bool brief);
std::string traceLine(const Job& job);

std::int64_t heldSlots(const Job& job);
bool hasRuns(const Job& job);
bool depsDone(const Job& job, const Task& task);
std::vector<std::size_t> readyTasks(const Job& job, Millis fleetMs);
void accrueTo(Job& job, Millis fleetMs);
RunId runIdOf(const Job& job, std::size_t task);

void startRun(Job& job, std::size_t task, const WorkerId& worker, const std::string& incarnation, Millis fleetMs);
void stopRuns(Job& job, Millis fleetMs);
void endRun(Job& job, std::size_t task, signal::RunOutcome outcome, const std::string& detail, const chart::Pending& line, Millis fleetMs);
void endJob(Job& job, JobState ending, std::string reason, Millis fleetMs);
bool closeIfOver(Job& job, Millis fleetMs);

std::string checkJob(const Job& job);
std::string_view stateName(JobState state);

}  // namespace tulip::manifest
MSGPACK_ADD_ENUM(tulip::manifest::JobState)
MSGPACK_ADD_ENUM(tulip::manifest::TaskState)
