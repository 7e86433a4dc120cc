#pragma once
/// What a plan is made from: the workers with what is free there, and the jobs with what they run and could start.
#include "admission/admission.hpp"
#include "scheduler/scheduler.hpp"

namespace tulip::scheduler {

struct Scene {
  std::vector<admission::Candidate> candidates;
  std::vector<JobId> ids;  // of the candidates
  std::vector<WorkerId> workers;
  std::vector<std::string> incarnations;  // of the workers
  admission::Field field;
};

Scene makeScene(SchedulerState& scheduler, transport::Now now);

}  // namespace tulip::scheduler
