// What callers are shown of a job.
#include <algorithm>

#include "jobs/job.hpp"

namespace tulip::jobs {

std::string_view stateName(JobState state) {
  switch (state) {
    case JobState::open:
      return "open";
    case JobState::finished:
      return "finished";
    case JobState::failed:
      return "failed";
    case JobState::cancelled:
      return "cancelled";
    case JobState::expired:
      return "expired";
  }
  return "?";
}

json_t* viewJob(const Job& job, bool brief) {
  json_t* root = json_object();
  json_object_set_new(root, "id", jsonText(job.id.view()));
  json_object_set_new(root, "pending", jsonText(job.pending().view()));
  if (!job.spec->tenant.empty()) json_object_set_new(root, "tenant", jsonText(job.spec->tenant.view()));
  const bool running = hasRuns(job);
  const bool ended = job.state != JobState::open;
  std::string_view shown = stateName(job.state);
  if (!ended) shown = job.ending != JobState::open ? "ending" : running ? "running" : "pending";
  json_object_set_new(root, "state", jsonText(shown));
  if (!ended && job.ending != JobState::open) json_object_set_new(root, "endsAs", jsonText(stateName(job.ending)));
  if (!job.reason.empty()) json_object_set_new(root, "reason", jsonText(job.reason));
  json_object_set_new(root, "tasksDone", json_integer(job.doneTasks));
  json_object_set_new(root, "acceptedMs", json_integer(job.acceptedMs));
  json_object_set_new(root, "firstStartMs", json_integer(job.counters.firstStartMs));
  if (ended) json_object_set_new(root, "finishedMs", json_integer(job.finishedMs));
  json_object_set_new(root, "taskCount", json_integer(static_cast<json_int_t>(job.tasks.size())));
  if (brief) return root;
  json_object_set_new(root, "gang", json_boolean(job.spec->gang));
  json_object_set_new(root, "lane", json_integer(job.counters.lane + 1));
  json_object_set_new(root, "servedSlotMs", json_integer(job.counters.totalServedMs));
  json_object_set_new(root, "preemptions", json_integer(job.counters.preemptions));
  json_object_set_new(root, "promotions", json_integer(job.counters.promotions));
  json_t* tasks = json_array();
  for (std::size_t i = 0; i < job.tasks.size(); ++i) {
    const auto& task = job.tasks[i];
    json_t* item = json_object();
    json_object_set_new(item, "name", jsonText(taskName(job, i)));
    const char* state = task.state == TaskState::done      ? "done"
                        : task.state == TaskState::pending ? "pending"
                        : task.stopping                    ? "stopping"
                        : task.confirmed                   ? "running"
                                                           : "starting";
    json_object_set_new(item, "state", json_string(state));
    json_object_set_new(item, "slots", json_integer(job.stepOf(i).need.slots));
    json_object_set_new(item, "attempts", json_integer(task.attempts));
    json_object_set_new(item, "failures", json_integer(task.failures));
    if (task.state == TaskState::placed) {
      json_object_set_new(item, "worker", jsonText(task.worker.view()));
      json_object_set_new(item, "run", jsonText(runIdOf(job, i).view()));
    }
    if (!task.detail.empty()) json_object_set_new(item, "detail", jsonText(task.detail));
    json_array_append_new(tasks, item);
  }
  json_object_set_new(root, "tasks", tasks);
  return root;
}

namespace {

/// How long a task was at work; for one that was folded, the mean of its step or, where that isn't known, its estimate.
Millis ranMsOf(const Job& job, std::size_t at) {
  if (!job.tasks.folded().contains(static_cast<std::uint32_t>(at))) return job.tasks[at].ranMs;
  const auto meanMs = job.tasks.foldedRanMs(job.stepIndexOf(at));
  return meanMs > 0 ? meanMs : job.stepOf(at).estimateMs;
}

}  // namespace

std::string traceLine(const Job& job) {
  Json root(json_object());
  json_object_set_new(root.get(), "atMs", json_integer(job.acceptedMs));
  json_object_set_new(root.get(), "id", jsonText(job.id.view()));
  json_object_set_new(root.get(), "pending", jsonText(job.pending().view()));
  json_object_set_new(root.get(), "gang", json_boolean(job.spec->gang));
  json_object_set_new(root.get(), "notBeforeMs", json_integer(job.spec->notBeforeMs));
  json_t* tasks = json_array();
  for (std::size_t i = 0; i < job.tasks.size(); ++i) {
    const auto place = job.tasks.placeOf(i);
    json_t *item = json_object(), *after = json_array();
    for (auto dep : job.stepOf(i).after) {
      const std::size_t first = job.tasks.beginOf(place.instance, dep);
      const std::size_t end = first + job.spec->steps[dep].count;
      for (std::size_t at = first; at < end; ++at)
        json_array_append_new(after, json_integer(static_cast<json_int_t>(at)));
    }
    json_object_set_new(item, "slots", json_integer(std::max<std::int64_t>(1, job.stepOf(i).need.slots)));
    json_object_set_new(item, "runMs", json_integer(std::max<Millis>(1, ranMsOf(job, i))));
    json_object_set_new(item, "after", after);
    json_array_append_new(tasks, item);
  }
  json_object_set_new(root.get(), "tasks", tasks);
  return dumpJson(root.get());
}

transport::JobPhase phaseOf(const Job& job) {
  using transport::JobPhase;
  const auto shown = job.state != JobState::open ? job.state : job.ending;
  switch (shown) {
    case JobState::finished:
      return JobPhase::finished;
    case JobState::failed:
      return JobPhase::failed;
    case JobState::cancelled:
    case JobState::expired:
      return JobPhase::cancelled;
    case JobState::open:
      break;
  }
  return hasRuns(job) ? JobPhase::running : JobPhase::waiting;
}

}  // namespace tulip::jobs
