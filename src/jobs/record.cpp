// The stored form of a job: what changes during its life, a few bytes a task, without its spec.
#include <algorithm>

#include "jobs/job.hpp"

namespace tulip::jobs {

namespace {

void putCount(std::string& into, std::uint64_t value) {
  while (value >= 0x80) {
    into.push_back(static_cast<char>(value | 0x80));
    value >>= 7;
  }
  into.push_back(static_cast<char>(value));
}

void putSigned(std::string& into, std::int64_t value) {
  putCount(into, (static_cast<std::uint64_t>(value) << 1) ^ static_cast<std::uint64_t>(value >> 63));
}

void putText(std::string& into, std::string_view text) {
  putCount(into, text.size());
  into += text;
}

struct Taker {
  std::string_view rest;
  bool good = true;

  std::uint64_t count() {
    std::uint64_t value = 0;
    for (int shift = 0; shift < 64; shift += 7) {
      if (rest.empty()) break;
      const auto byte = static_cast<unsigned char>(rest.front());
      rest.remove_prefix(1);
      value |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
      if (!(byte & 0x80)) return value;
    }
    good = false;
    return 0;
  }

  std::int64_t number() {
    const auto raw = count();
    return static_cast<std::int64_t>(raw >> 1) ^ -static_cast<std::int64_t>(raw & 1);
  }

  std::string text() {
    const auto size = count();
    if (!good || size > rest.size()) {
      good = false;
      return {};
    }
    std::string taken(rest.substr(0, size));
    rest.remove_prefix(size);
    return taken;
  }
};

enum Mark : std::uint8_t { kStopping = 4, kHolds = 8, kStory = 16 };

void packTask(std::string& into, const Job& job, const Task& task, std::size_t place) {
  const bool story =
      task.failures || task.notBeforeMs || !task.saved.empty() || !task.detail.empty() || !task.failedOn.empty();
  into.push_back(static_cast<char>(static_cast<std::uint8_t>(task.state) | (task.stopping ? kStopping : 0) |
                                   (task.holds() ? kHolds : 0) | (story ? kStory : 0)));
  putCount(into, static_cast<std::uint64_t>(task.attempts));
  if (task.holds()) {
    putCount(into, place);
    putSigned(into, task.orderedMs - job.acceptedMs);
    putCount(into, static_cast<std::uint64_t>(task.weight));
  } else {
    putCount(into, static_cast<std::uint64_t>(std::max<Millis>(0, task.ranMs)));
  }
  if (!story) return;
  putCount(into, static_cast<std::uint64_t>(task.failures));
  putSigned(into, task.notBeforeMs);
  putText(into, task.saved);
  putText(into, task.detail);
  putText(into, task.failedOn.value);
}

// A worker by its id and incarnation.
using Place = std::pair<std::string, std::string>;

// Reads the state of one task, which stands for a sequence of like tasks.
bool takeTask(Taker& taker, const Job& job, const std::vector<Place>& places, Task& task) {
  const auto mark = static_cast<std::uint8_t>(taker.rest.front());
  taker.rest.remove_prefix(1);
  if ((mark & 3) > 2) return false;
  task.state = static_cast<TaskState>(mark & 3);
  task.stopping = mark & kStopping;
  task.attempts = static_cast<std::int64_t>(taker.count());
  if (mark & kHolds) {
    const auto place = taker.count();
    if (place >= places.size()) return false;
    task.worker = WorkerId(places[place].first);
    task.workerIncarnation = places[place].second;
    task.orderedMs = job.acceptedMs + taker.number();
    task.weight = static_cast<std::int64_t>(taker.count());
  } else {
    task.ranMs = static_cast<Millis>(taker.count());
  }
  if (mark & kStory) {
    task.failures = static_cast<std::int64_t>(taker.count());
    task.notBeforeMs = taker.number();
    task.saved = taker.text();
    task.detail = taker.text();
    task.failedOn = WorkerId(taker.text());
  }
  return true;
}

// Gives the task at this index the state that was read, and counts it.
void setTask(Job& job, std::size_t index, const Task& read) {
  auto& task = job.tasks[index];
  const auto step = task.step, instance = task.instance;
  task = read;
  task.step = step;
  task.instance = instance;
  auto& tally = job.tallyOf(index);
  ++(task.state == TaskState::pending ? tally.pending : task.state == TaskState::placed ? tally.placed : tally.done);
  job.doneTasks += task.state == TaskState::done;
  job.holding += task.holds();
  if (task.holds()) job.held += task.weight;
}

}  // namespace

std::string packJob(const Job& job) {
  std::string bytes;
  bytes.reserve(64 + 6 * job.tasks.size());
  putCount(bytes, 1);
  putText(bytes, job.id.value);
  for (const auto number : {job.acceptedMs, job.firstDueMs, job.accountedMs, job.finishedMs}) putSigned(bytes, number);
  putCount(bytes, static_cast<std::uint64_t>(job.state));
  putCount(bytes, static_cast<std::uint64_t>(job.ending));
  putText(bytes, job.reason);
  const auto& c = job.counters;
  for (const auto number :
       {c.lane, c.servedMs, c.ranMs, c.waitMs, c.firstStartMs, c.totalServedMs, c.promotions, c.preemptions})
    putSigned(bytes, number);
  std::map<std::pair<std::string_view, std::string_view>, std::size_t> places;
  for (const auto& task : job.tasks)
    if (task.holds())
      places.emplace(std::pair<std::string_view, std::string_view>(task.worker.view(), task.workerIncarnation), 0);
  putCount(bytes, places.size());
  std::size_t next = 0;
  for (auto& [where, place] : places) {
    place = next++;
    putText(bytes, where.first);
    putText(bytes, where.second);
  }
  std::size_t failing = 0;
  for (const auto& tally : job.tallies) failing += tally.failures > 0;
  putCount(bytes, failing);
  for (std::size_t i = 0; i < job.tallies.size(); ++i)
    if (job.tallies[i].failures > 0) {
      putCount(bytes, i);
      putCount(bytes, job.tallies[i].failures);
      putCount(bytes, static_cast<std::uint64_t>(job.tallies[i].failedAttempt));
    }
  std::string last, packed;
  std::uint64_t alike = 0;
  auto flush = [&] {
    if (alike) putCount(bytes, alike), bytes += last;
  };
  for (const auto& task : job.tasks) {
    packed.clear();
    packTask(packed, job, task, task.holds() ? places.at({task.worker.view(), task.workerIncarnation}) : 0);
    if (alike && packed == last) {
      ++alike;
      continue;
    }
    flush();
    last.swap(packed);
    alike = 1;
  }
  flush();
  return bytes;
}

bool unpackJob(std::string_view bytes, std::shared_ptr<const Spec> spec, Job& job) {
  Taker taker{bytes};
  if (!spec || taker.count() != 1) return false;
  job = makeJob(std::move(spec));
  if (taker.text() != job.id.value) return false;
  for (auto* number : {&job.acceptedMs, &job.firstDueMs, &job.accountedMs, &job.finishedMs}) *number = taker.number();
  job.state = static_cast<JobState>(taker.count());
  job.ending = static_cast<JobState>(taker.count());
  job.reason = taker.text();
  auto& c = job.counters;
  for (auto* number :
       {&c.lane, &c.servedMs, &c.ranMs, &c.waitMs, &c.firstStartMs, &c.totalServedMs, &c.promotions, &c.preemptions})
    *number = taker.number();
  std::vector<Place> places(std::min<std::uint64_t>(taker.count(), bytes.size()));
  for (auto& [worker, incarnation] : places) {
    worker = taker.text();
    incarnation = taker.text();
  }
  const auto failing = taker.count();
  for (std::uint64_t i = 0; i < failing && taker.good; ++i) {
    const auto at = taker.count();
    if (at >= job.tallies.size()) return false;
    job.tallies[at].failures = static_cast<std::uint32_t>(taker.count());
    job.tallies[at].failedAttempt = static_cast<std::int64_t>(taker.count());
  }
  for (auto& tally : job.tallies) tally.pending = 0;
  for (std::size_t i = 0; i < job.tasks.size();) {
    const auto alike = taker.count();
    if (!taker.good || taker.rest.empty() || alike < 1 || alike > job.tasks.size() - i) return false;
    Task read = job.tasks[i];
    if (!takeTask(taker, job, places, read)) return false;
    for (std::uint64_t k = 0; k < alike; ++k, ++i) setTask(job, i, read);
  }
  return taker.good && taker.rest.empty();
}

}  // namespace tulip::jobs
