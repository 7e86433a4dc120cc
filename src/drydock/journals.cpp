#include "drydock/journals.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

namespace tulip::drydock {
namespace {

struct Line {
  std::int64_t atMs = 0;
  std::string worker, life, kind, run, more;
};

struct Span {
  std::int64_t fromMs = 0, untilMs = -1, ackedMs = -1, slots = 1;
  std::string run, worker, life, outcome;
};

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
        lines.push_back(std::move(line));
      }
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
      if (held[line.worker] > slotsEach) verdict.broken.push_back("room: " + line.worker + " runs " + std::to_string(held[line.worker]) + " slots");
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
      if (line.kind == "acked") span.ackedMs = line.atMs;
    }
  }
  for (const auto& [task, spans] : byTask) {
    bool clean = false;
    for (const auto& one : spans) {
      clean = clean || one.outcome == "clean";
      for (const auto& other : spans) {
        if (&one == &other || other.fromMs < one.fromMs) continue;
        const bool completed = one.outcome == "clean" || one.outcome == "failed";
        if (completed && other.fromMs < one.untilMs) verdict.broken.push_back("once: " + other.run + " starts while " + one.run + " runs");
        if (one.outcome != "clean" || other.fromMs < one.untilMs) continue;
        if (one.ackedMs >= 0) verdict.broken.push_back("once: " + other.run + " starts after " + one.run + " ended cleanly and was acknowledged");
        else ++verdict.unacknowledgedReruns;
      }
    }
    verdict.cleanTasks += clean;
  }
  return verdict;
}

}  // namespace tulip::drydock
