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

/// Gives the tasks [begin, end), which are alike, the state that was read. Those without anything to remember get no
/// row.
void setTasks(Job& job, std::uint32_t begin, std::uint32_t end, const Task& read) {
  const bool started = read.attempts > 0 || read.state != TaskState::pending || read.notBeforeMs > 0 ||
                       read.failures > 0 || read.ranMs > 0 || !read.saved.empty();
  if (!started) return;
  const auto count = static_cast<std::int64_t>(end - begin);
  if (read.state == TaskState::done) job.doneTasks += count;
  if (read.holds()) {
    job.holding += count;
    job.held += count * read.weight;
  }
  if (read.state == TaskState::done && !read.holds() && !job.spec->plainNames)
    return job.tasks.addFolded(begin, end, read.ranMs);
  for (auto index = begin; index < end; ++index) job.tasks.edit(index) = read;
}

/// Writes sequences of like tasks as one.
class TaskWriter {
 public:
  explicit TaskWriter(std::string& into) : into_(into) {}

  void add(const Job& job, const Task& task, std::size_t place, std::uint64_t count) {
    packed_.clear();
    packTask(packed_, job, task, place);
    if (alike_ > 0 && packed_ != last_) flush();
    last_.swap(packed_);
    alike_ += count;
  }

  void flush() {
    if (alike_ == 0) return;
    putCount(into_, alike_);
    into_ += last_;
    alike_ = 0;
  }

 private:
  std::string& into_;
  std::string last_, packed_;
  std::uint64_t alike_ = 0;
};

using Places = std::map<std::pair<std::string_view, std::string_view>, std::size_t>;

/// Tasks that are over without rows, from one index up to another. The mean time at work stands for that of each, in
/// jobs that run once; a job that runs many times would cost a sequence for each of its steps each time.
void writeFolded(TaskWriter& writer, const Job& job, std::uint32_t begin, std::uint32_t end) {
  Task task = job.tasks[begin];
  if (job.spec->instances() > 1) return writer.add(job, task, 0, end - begin);
  while (begin < end) {
    const auto place = job.tasks.placeOf(begin);
    const auto alike = std::min(end - begin, job.spec->steps[place.step].count - place.index);
    task.ranMs = job.tasks.foldedRanMs(place.step);
    writer.add(job, task, 0, alike);
    begin += alike;
  }
}

void writeTasks(std::string& bytes, const Job& job, const Places& places) {
  TaskWriter writer(bytes);
  const Task neverStarted;
  const auto size = static_cast<std::uint32_t>(job.tasks.size());
  auto row = job.tasks.rows().begin();
  auto folded = job.tasks.folded().ranges().begin();
  for (std::uint32_t index = 0; index < size;) {
    const auto nextRow = row == job.tasks.rows().end() ? size : row->first;
    const auto nextFolded = folded == job.tasks.folded().ranges().end() ? size : folded->first;
    if (const auto next = std::min(nextRow, nextFolded); index < next) {
      writer.add(job, neverStarted, 0, next - index);
      index = next;
    } else if (index == nextRow) {
      const auto& task = row->second;
      writer.add(job, task, task.holds() ? places.at({task.worker.view(), task.workerIncarnation}) : 0, 1);
      ++row;
      ++index;
    } else {
      writeFolded(writer, job, index, folded->second);
      index = folded->second;
      ++folded;
    }
  }
  writer.flush();
}

}  // namespace

std::string packJob(const Job& job) {
  std::string bytes;
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
  Places places;
  for (const auto& [index, task] : job.tasks.rows())
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
  for (const auto& [key, tally] : job.tasks.tallies()) failing += tally.failures > 0;
  putCount(bytes, failing);
  for (const auto& [key, tally] : job.tasks.tallies())
    if (tally.failures > 0) {
      putCount(bytes, key);
      putCount(bytes, tally.failures);
      putCount(bytes, static_cast<std::uint64_t>(tally.failedAttempt));
    }
  writeTasks(bytes, job, places);
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
  const auto steps = job.spec->steps.size();
  for (std::uint64_t i = 0; i < failing && taker.good; ++i) {
    const auto at = taker.count();
    if (at >= job.spec->instances() * steps) return false;
    auto& tally = job.tasks.editTally(static_cast<std::uint32_t>(at / steps), static_cast<std::uint32_t>(at % steps));
    tally.failures = static_cast<std::uint32_t>(taker.count());
    tally.failedAttempt = static_cast<std::int64_t>(taker.count());
  }
  for (std::size_t i = 0; i < job.tasks.size();) {
    const auto alike = taker.count();
    if (!taker.good || taker.rest.empty() || alike < 1 || alike > job.tasks.size() - i) return false;
    Task read;
    if (!takeTask(taker, job, places, read)) return false;
    setTasks(job, static_cast<std::uint32_t>(i), static_cast<std::uint32_t>(i + alike), read);
    i += alike;
  }
  job.tasks.countTallies();
  return taker.good && taker.rest.empty();
}

}  // namespace tulip::jobs
