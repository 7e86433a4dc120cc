#include "jobs/task_table.hpp"

#include <algorithm>

namespace tulip::jobs {

namespace {

Task foldedTask() {
  Task task;
  task.state = TaskState::done;
  task.attempts = 1;
  return task;
}

std::uint32_t& slotOf(Tally& tally, TaskState state) {
  return state == TaskState::pending ? tally.pending : state == TaskState::placed ? tally.placed : tally.done;
}

}  // namespace

const Task TaskTable::kNeverStarted{};
const Task TaskTable::kFolded = foldedTask();

TaskTable::TaskTable(const Spec& spec)
    : size_(spec.perInstance() * spec.instances()), keepsEndedRows_(spec.plainNames), foldedRuns_(spec.steps.size()) {
  std::uint32_t begin = 0;
  for (const auto& step : spec.steps) {
    stepBegins_.push_back(begin);
    begin += step.count;
  }
  stepBegins_.push_back(begin);
}

TaskPlace TaskTable::placeOf(std::size_t task) const {
  const auto within = static_cast<std::uint32_t>(task % perInstance());
  const auto next = std::upper_bound(stepBegins_.begin(), stepBegins_.end() - 1, within);
  const auto step = static_cast<std::uint32_t>(next - stepBegins_.begin()) - 1;
  return {static_cast<std::uint32_t>(task / perInstance()), step, within - stepBegins_[step]};
}

const Task& TaskTable::operator[](std::size_t task) const {
  const auto index = static_cast<std::uint32_t>(task);
  if (const auto row = rows_.find(index); row != rows_.end()) return row->second;
  return folded_.contains(index) ? kFolded : kNeverStarted;
}

Tally TaskTable::tally(std::uint32_t instance, std::uint32_t step) const {
  if (const auto found = tallies_.find(tallyKey(instance, step)); found != tallies_.end()) return found->second;
  Tally alike;
  const bool over = folded_.contains(static_cast<std::uint32_t>(beginOf(instance, step)));
  slotOf(alike, over ? TaskState::done : TaskState::pending) = countOf(step);
  return alike;
}

Tally& TaskTable::editTally(std::uint32_t instance, std::uint32_t step) {
  const auto key = tallyKey(instance, step);
  if (const auto found = tallies_.find(key); found != tallies_.end()) return found->second;
  return tallies_.emplace(key, tally(instance, step)).first->second;
}

void TaskTable::foldIfOver(std::size_t task) {
  const auto index = static_cast<std::uint32_t>(task);
  const auto row = rows_.find(index);
  if (keepsEndedRows_ || row == rows_.end()) return;
  if (row->second.state != TaskState::done || row->second.holds()) return;
  const auto ranMs = row->second.ranMs;
  rows_.erase(row);
  addFolded(index, index + 1, ranMs);
  const auto place = placeOf(task);
  const auto begin = static_cast<std::uint32_t>(beginOf(place.instance, place.step));
  if (folded_.nextAbsent(begin) >= begin + countOf(place.step)) tallies_.erase(tallyKey(place.instance, place.step));
}

void TaskTable::addFolded(std::uint32_t begin, std::uint32_t end, Millis ranMs) {
  folded_.insert(begin, end);
  if (ranMs <= 0) return;
  while (begin < end) {
    const auto place = placeOf(begin);
    const auto alike = std::min(end - begin, countOf(place.step) - place.index);
    foldedRuns_[place.step].count += alike;
    foldedRuns_[place.step].totalMs += ranMs * alike;
    begin += alike;
  }
}

void TaskTable::countTallies() {
  const auto touch = [&](std::uint32_t task) {
    const auto place = placeOf(task);
    editTally(place.instance, place.step);
  };
  for (const auto& [index, row] : rows_) touch(index);
  for (const auto& [begin, end] : folded_.ranges()) {
    touch(begin);
    touch(end - 1);
  }
  for (auto tally = tallies_.begin(); tally != tallies_.end();) {
    const auto step = tally->first % stepCount();
    const auto begin = static_cast<std::uint32_t>(beginOf(tally->first / stepCount(), step));
    const auto end = begin + countOf(step);
    auto& counted = tally->second;
    counted.pending = counted.placed = 0;
    counted.done = folded_.countIn(begin, end);
    std::uint32_t withRow = 0;
    for (auto row = rows_.lower_bound(begin); row != rows_.end() && row->first < end; ++row, ++withRow)
      ++slotOf(counted, row->second.state);
    const bool over = counted.done == end - begin && withRow == 0;
    counted.pending += end - begin - withRow - folded_.countIn(begin, end);
    tally = over ? tallies_.erase(tally) : std::next(tally);
  }
}

Millis TaskTable::foldedRanMs(std::uint32_t step) const {
  const auto& runs = foldedRuns_[step];
  return runs.count > 0 ? runs.totalMs / runs.count : 0;
}

std::uint32_t TaskTable::nextOpenInstance(std::uint32_t instance) const {
  return folded_.nextAbsent(instance * perInstance()) / perInstance();
}

bool TaskTable::untouched(std::uint32_t instance) const {
  const auto begin = instance * perInstance();
  const auto end = begin + perInstance();
  const auto row = rows_.lower_bound(begin);
  const bool hasRow = row != rows_.end() && row->first < end;
  return !hasRow && folded_.countIn(begin, end) == 0;
}

std::string TaskTable::check() const {
  for (const auto& [index, row] : rows_)
    if (index >= size_ || folded_.contains(index)) return "a task that is over has a row";
  for (const auto& [key, tally] : tallies_)
    if (tally.pending + tally.placed + tally.done != countOf(key % stepCount())) return "a step's tally is off";
  return {};
}

}  // namespace tulip::jobs
