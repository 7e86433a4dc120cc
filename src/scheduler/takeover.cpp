// Takeover: what a new leader reads from the promises of a majority, and what it owes to each replica.
#include <algorithm>
#include <utility>

#include "scheduler/job_memory.hpp"
#include "scheduler/leadership.hpp"

namespace tulip::scheduler {

using namespace transport;

void mergePromise(SchedulerState& scheduler, const DaemonId& id, const JobLogPromise& promise) {
  auto& voter = scheduler.voters[id];
  voter.promised = true;
  voter.aheadSinceMs = -1;
  voter.owed.clear();
  std::map<std::string, const Entry*> theirs;
  for (const auto& entry : promise.entries) theirs[entry.key] = &entry;
  for (const auto& [key, entry] : scheduler.current) {
    auto found = theirs.find(key);
    if (found == theirs.end() || found->second->version != entry.version) voter.owed.insert(key);
  }
  std::vector<std::string> ahead;
  for (const auto& [key, entry] : theirs) {
    auto found = scheduler.current.find(key);
    if (found == scheduler.current.end() || found->second.version < entry->version) ahead.push_back(key);
  }
  if (ahead.empty()) return;
  ++scheduler.seq;
  for (const auto& key : ahead) {
    auto found = scheduler.current.find(key);
    std::string value = found == scheduler.current.end() ? std::string() : found->second.value;
    ++scheduler.counts.rewritten;
    write(scheduler, key, std::move(value));
  }
  scheduler.batches[scheduler.seq];
}

namespace {

constexpr std::size_t kMostSizes = 512;  // of finished jobs, that the queues' thresholds are learned from

// What is not the same at all that promised is written again under the new term.
void rewriteDiffering(SchedulerState& scheduler, absl::btree_map<std::string, Entry>& entries) {
  std::map<std::string_view, std::size_t> agreeing;
  for (const auto& [id, promise] : scheduler.promises)
    for (const auto& entry : promise.entries)
      if (auto found = entries.find(entry.key); found != entries.end())
        agreeing[entry.key] += found->second.version == entry.version;
  for (auto& [key, entry] : entries) {
    if (agreeing[key] == scheduler.promises.size()) continue;
    entry.version = versionNow(scheduler);
    ++scheduler.counts.rewritten;
  }
}

using Specs = std::map<std::string, std::shared_ptr<const Spec>>;

Specs readSpecs(const SchedulerState& scheduler, Outbox& out) {
  Specs specs;
  for (auto at = scheduler.current.lower_bound("~"); at != scheduler.current.end() && at->first.front() == '~'; ++at) {
    Spec spec;
    if (unpackSpec(at->second.value, spec))
      specs[at->first.substr(1)] = std::make_shared<const Spec>(std::move(spec));
    else if (!at->second.value.empty())
      out.alarms.push_back("a stored job's spec does not read: " + at->first);
  }
  return specs;
}

void addJob(SchedulerState& scheduler, Job job) {
  if (job.state == JobState::open) {
    scheduler.open.insert(job.id);
    ++scheduler.openPer[job.pending()];
    scheduler.openJobBytes += acceptedBytes(*job.spec);
    addHoldings(scheduler.held, job);
  } else {
    scheduler.ended.emplace_back(job.finishedMs, job.id);
    if (job.state == JobState::finished) scheduler.sizes.push_back(job.counters.totalServedMs);
  }
  scheduler.jobs.emplace(job.id, std::move(job));
}

// Reads the jobs from what the scheduler now holds, as its first batch.
Batch readJobs(SchedulerState& scheduler, Millis fleetMs, Outbox& out) {
  Batch batch;
  auto specs = readSpecs(scheduler, out);
  for (const auto& [key, entry] : scheduler.current) {
    if (key.front() == '~') break;
    if (entry.value.empty()) continue;
    Job job;
    if (!unpackJob(entry.value, specs[key], job)) {
      out.alarms.push_back("a stored job does not read: " + key);
      continue;
    }
    for (auto& [index, task] : job.tasks.rows()) task.movedMs = fleetMs;
    batch.jobs.push_back(std::make_shared<const Job>(job));
    addJob(scheduler, std::move(job));
  }
  std::sort(scheduler.ended.begin(), scheduler.ended.end());
  while (scheduler.sizes.size() > kMostSizes) scheduler.sizes.pop_front();
  return batch;
}

}  // namespace

void takeOver(SchedulerState& scheduler, Now now, Outbox& out) {
  ++scheduler.counts.takeovers;
  scheduler.course = Course::leading;
  scheduler.leadSinceMs = now.steadyMs;
  scheduler.failedCampaigns = 0;
  scheduler.yields = 0;
  scheduler.seq = 1;
  refreshVoters(scheduler);
  for (auto& [id, voter] : scheduler.voters) voter.sentMs = scheduler.prepareSentMs;
  auto newest = takeNewest(scheduler.promises);
  rewriteDiffering(scheduler, newest.entries);
  control::setFleet(scheduler.client, newest.fleetMs, now);
  scheduler.planDue = true;
  scheduler.current = std::move(newest.entries);
  const auto promises = std::exchange(scheduler.promises, {});
  scheduler.batches[1] = readJobs(scheduler, newest.fleetMs, out);
  scheduler.batches[1].sealedMs = now.steadyMs;
  for (const auto& [id, promise] : promises)
    if (scheduler.voters.contains(id)) mergePromise(scheduler, id, promise);
  for (auto& [id, voter] : scheduler.voters) sendVoter(scheduler, voter, now, out);
  out.alarms.push_back("leads term " + std::to_string(scheduler.term.number) + " with " +
                       std::to_string(scheduler.open.size()) + " open jobs");
}

}  // namespace tulip::scheduler
