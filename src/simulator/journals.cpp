#include "simulator/journals.hpp"

#include <algorithm>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

#include "base/json.hpp"
#include "simulator/grace.hpp"

namespace tulip::simulator {
namespace {

struct Line {
  std::int64_t atMs = 0;
  std::string worker, life, kind, run, more;
};

struct Span {
  std::int64_t fromMs = 0, untilMs = -1, ackedMs = -1, slots = 1;
  std::string run, worker, life, outcome;
};

struct Call {
  std::int64_t submittedMs = 0, acceptedMs = -1, rejectedMs = -1, cancelledMs = -1, endedMs = -1, notBeforeMs = 0;
  std::string line, shown;
  std::map<std::string, std::vector<std::string>> after;
  std::map<std::string, std::vector<std::string>> gang;  // task -> the members, where one clean end stands for all
  std::set<std::string> repeats, standing;
};

struct Shore {
  std::map<std::string, Call> calls;
  std::map<std::string, std::int64_t> limits;
  std::map<std::string, std::vector<std::pair<std::int64_t, std::int64_t>>> drained;
  std::int64_t newestConfirmed = 0;
};

void readSteps(const json_t* body, Call& call) {
  const json_t* steps = json_object_get(body, "steps");
  std::map<std::string, std::size_t> byName;
  for (std::size_t s = 0; s < json_array_size(steps); ++s) byName[textAt(json_array_get(steps, s), "name")] = s;
  const auto countOf = [&](std::size_t s) { return numberAt(json_array_get(steps, s), "count", 1); };
  for (std::int64_t k = 0; k < std::max<std::int64_t>(1, numberAt(body, "times")); ++k) {
    const auto membersOf = [&](std::size_t s) {
      std::vector<std::string> names;
      for (std::int64_t i = 0; i < countOf(s); ++i)
        names.push_back(std::to_string(k) + "." + std::to_string(s) + "." + std::to_string(i));
      return names;
    };
    for (std::size_t s = 0; s < json_array_size(steps); ++s) {
      const json_t* step = json_array_get(steps, s);
      std::vector<std::string> after;
      const json_t* named = json_object_get(step, "after");
      for (std::size_t n = 0; n < json_array_size(named); ++n)
        for (auto& dep : membersOf(byName[json_string_value(json_array_get(named, n))]))
          after.push_back(std::move(dep));
      const auto members = membersOf(s);
      for (const auto& name : members) {
        call.after[name] = after;
        if (flagAt(step, "together")) call.gang[name] = members;
        if (flagAt(step, "repeats")) call.repeats.insert(name);
        if (flagAt(step, "standing")) call.standing.insert(name);
      }
    }
  }
}

std::string joined(const std::string& first, std::string_view separator, const std::string& second) {
  std::string whole = first;
  return whole.append(separator).append(second);
}

void readShore(const std::string& folder, Shore& shore, JournalVerdict& verdict) {
  std::vector<std::pair<std::int64_t, std::string>> lines;
  for (const auto& item : std::filesystem::directory_iterator(folder)) {
    if (item.path().extension() != ".calls") continue;
    std::ifstream in(item.path());
    for (std::string text; std::getline(in, text);) {
      const auto gap = text.find(' ');
      if (in.eof() || gap == std::string::npos)
        ++verdict.torn;
      else
        lines.emplace_back(std::atoll(text.c_str()), text.substr(gap + 1));
    }
  }
  std::stable_sort(lines.begin(), lines.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
  std::map<std::int64_t, std::int64_t> confirmedMs;
  for (const auto& [atMs, text] : lines) {
    std::stringstream words(text);
    std::string kind, name, more;
    words >> kind >> name >> more;
    if (kind == "submit") {
      Json body = parseJson(std::string_view(text).substr(7));
      auto& call = shore.calls[textAt(body.get(), "id")];
      call.submittedMs = atMs;
      call.line = textAt(body.get(), "pending");
      call.notBeforeMs = numberAt(body.get(), "notBeforeMs");
      readSteps(body.get(), call);
      const json_t* tasks = json_object_get(body.get(), "tasks");
      for (std::size_t i = 0; i < json_array_size(tasks); ++i) {
        const json_t* task = json_array_get(tasks, i);
        auto& after = call.after[textAt(task, "name")];
        for (std::size_t k = 0; k < json_array_size(json_object_get(task, "after")); ++k)
          after.push_back(json_string_value(json_array_get(json_object_get(task, "after"), k)));
      }
    } else if (kind == "accepted") {
      auto& call = shore.calls[name];
      if (call.acceptedMs < 0) ++verdict.accepted, call.acceptedMs = atMs;
    } else if (kind == "denied")
      shore.calls[name].rejectedMs = atMs;
    else if (kind == "cancelled")
      shore.calls[name].cancelledMs = atMs;
    else if (kind == "unknown" && shore.calls[name].acceptedMs >= 0)
      verdict.broken.push_back("forgotten: " + name + " is unknown after it was accepted");
    else if (kind == "shown") {
      auto& call = shore.calls[name];
      ++verdict.ended;
      call.shown = more;
      call.endedMs = atMs;
    } else if (kind == "limit")
      shore.limits[name] = std::atoll(more.c_str());
    else if (kind == "drained" || kind == "emptied")
      shore.drained[joined(kind, " ", name)].emplace_back(atMs, INT64_MAX);
    else if (kind == "undrained" || kind == "unemptied") {
      auto& spans = shore.drained[kind.substr(2) + " " + name];
      if (!spans.empty() && spans.back().second == INT64_MAX) spans.back().second = atMs;
    } else if (kind == "confirmed")
      confirmedMs.try_emplace(std::atoll(name.c_str()), atMs);
    else if (kind == "read") {
      ++verdict.reads;
      for (const auto& [version, whenMs] : confirmedMs)
        if (version > std::atoll(name.c_str()) && std::atoll(more.c_str()) > whenMs + kConfigGraceMs)
          verdict.broken.push_back("chart: revision " + name + " is answered " +
                                   std::to_string(std::atoll(more.c_str()) - whenMs) + " ms after " +
                                   std::to_string(version) + " was confirmed");
    }
  }
}

using SpansByTask = std::map<std::string, std::vector<Span>>;

// When the named task of a job, or any member of its gang, first ended cleanly.
std::int64_t firstCleanMs(const SpansByTask& byTask, const std::string& id, const Call& call, const std::string& name) {
  std::int64_t first = INT64_MAX;
  const auto gang = call.gang.find(name);
  for (const auto& member : gang == call.gang.end() ? std::vector<std::string>{name} : gang->second)
    if (auto found = byTask.find(joined(id, ":", member)); found != byTask.end())
      for (const auto& span : found->second)
        if (span.outcome == "clean") first = std::min(first, span.untilMs);
  return first;
}

void judgeShore(const Shore& shore, const SpansByTask& byTask, JournalVerdict& verdict) {
  const auto fault = [&](std::string text) { verdict.broken.push_back(std::move(text)); };
  for (const auto& [task, spans] : byTask) {
    const auto colon = task.find(':');
    const auto found = shore.calls.find(task.substr(0, colon));
    std::int64_t failures = 0;
    for (const auto& span : spans) {
      if (found == shore.calls.end() || !found->second.after.contains(task.substr(colon + 1))) {
        fault("asked-for: nobody asked for " + span.run);
        continue;
      }
      const auto& call = found->second;
      if (call.rejectedMs >= 0) fault("asked-for: " + span.run + " runs though its job was denied");
      if (call.endedMs >= 0 && span.fromMs > call.endedMs)
        fault("asked-for: " + span.run + " starts after its job was shown " + call.shown);
      if (call.cancelledMs >= 0 && span.fromMs > call.cancelledMs + kCancelGraceMs)
        fault("cancelled: " + span.run + " starts after its cancel was confirmed");
      if (span.fromMs + kEarlyGraceMs < call.submittedMs + call.notBeforeMs) fault("early: " + span.run);
      for (const auto& step : call.after.at(task.substr(colon + 1)))
        if (firstCleanMs(byTask, found->first, call, step) > span.fromMs)
          fault("steps: " + span.run + " starts before " + step + " is done");
      if (auto limit = shore.limits.find(call.line);
          limit != shore.limits.end() && failures >= limit->second && !call.standing.contains(task.substr(colon + 1)))
        fault("failures: " + span.run + " starts after " + std::to_string(failures) + " failures");
      if (auto drained = shore.drained.find("drained " + span.worker); drained != shore.drained.end())
        for (const auto& [fromMs, untilMs] : drained->second)
          if (span.fromMs > fromMs + kDrainGraceMs && span.fromMs < untilMs)
            fault("draining: " + span.run + " starts on drained " + span.worker);
      failures += span.outcome == "failed" && span.ackedMs >= 0;
    }
  }
  for (const auto& [id, call] : shore.calls) {
    if (call.acceptedMs >= 0 && call.endedMs < 0) fault("ends: " + id + " was accepted and not seen to end");
    for (const auto& [name, steps] : call.after)
      if (call.shown == "finished" && firstCleanMs(byTask, id, call, name) > call.endedMs)
        fault("finished: " + joined(id, " is shown finished but ", name) + " had not ended cleanly");
  }
}

std::string taskOf(const std::string& run) { return run.substr(0, run.rfind(':')); }

}  // namespace

JournalVerdict judgeJournals(const std::string& folder, std::int64_t slotsEach) {
  JournalVerdict verdict;
  std::vector<Line> lines;
  for (const auto& item : std::filesystem::directory_iterator(folder)) {
    if (item.path().extension() != ".journal") continue;
    std::ifstream in(item.path());
    for (std::string text; std::getline(in, text);) {
      std::stringstream words(text);
      Line line;
      if (words >> line.atMs >> line.worker >> line.life >> line.kind >> line.run) {
        words >> line.more;
        if (in.eof())
          ++verdict.torn;
        else
          lines.push_back(std::move(line));
      } else
        ++verdict.torn;
    }
  }
  std::stable_sort(lines.begin(), lines.end(), [](const Line& a, const Line& b) { return a.atMs < b.atMs; });
  std::map<std::string, std::vector<Span>> byTask;
  std::map<std::string, std::string> lifeOf;
  std::map<std::string, std::int64_t> held;
  for (const auto& line : lines) {
    auto& life = lifeOf[line.worker];
    if (life != line.life) held[line.worker] = 0;
    life = line.life;
    if (line.kind == "over" && line.more != "slots")
      verdict.broken.push_back("room: " + line.worker + " has too little " + line.more + " for " + line.run);
    if (line.kind != "start" && line.kind != "end" && line.kind != "acked") continue;
    auto& spans = byTask[taskOf(line.run)];
    if (line.kind == "start") {
      ++verdict.starts;
      Span span;
      span.fromMs = line.atMs;
      span.run = line.run;
      span.worker = line.worker;
      span.life = line.life;
      span.slots = std::atoll(line.more.c_str());
      held[line.worker] += span.slots;
      if (held[line.worker] > slotsEach)
        verdict.broken.push_back("room: " + line.worker + " runs " + std::to_string(held[line.worker]) + " slots");
      spans.push_back(std::move(span));
      continue;
    }
    for (auto& span : spans) {
      if (span.run != line.run || span.life != line.life) continue;
      if (line.kind == "end") {
        span.untilMs = line.atMs;
        span.outcome = line.more;
        held[line.worker] -= span.slots;
      }
      if (line.kind == "acked" && line.more != "lapsed") span.ackedMs = line.atMs;
    }
  }
  Shore shore;
  readShore(folder, shore, verdict);
  if (!shore.calls.empty()) judgeShore(shore, byTask, verdict);
  for (const auto& [task, spans] : byTask) {
    bool clean = false;
    const auto call = shore.calls.find(task.substr(0, task.find(':')));
    const bool repeats = call != shore.calls.end() && call->second.repeats.contains(task.substr(task.find(':') + 1));
    for (const auto& one : spans) {
      clean = clean || one.outcome == "clean";
      for (const auto& other : spans) {
        if (&one == &other || other.fromMs < one.fromMs || repeats) continue;
        const bool completed = one.outcome == "clean" || one.outcome == "failed";
        if (completed && other.fromMs < one.untilMs)
          verdict.broken.push_back("once: " + other.run + " starts while " + one.run + " runs");
        if (one.outcome != "clean" || other.fromMs < one.untilMs) continue;
        if (one.ackedMs >= 0)
          verdict.broken.push_back("once: " + other.run + " starts after " + one.run +
                                   " ended cleanly and was acknowledged");
        else
          ++verdict.unacknowledgedReruns;
      }
    }
    verdict.cleanTasks += clean;
  }
  return verdict;
}

}  // namespace tulip::simulator
