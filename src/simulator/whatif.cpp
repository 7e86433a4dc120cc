#include "simulator/whatif.hpp"

#include <algorithm>

namespace tulip::simulator {

std::vector<Figure> figuresOf(const DayResult& result, const std::vector<Arrival>& arrivals) {
  std::vector<Millis> toEnd, toStart;
  double sum = 0, slowdowns = 0, squares = 0, lostMs = 0, servedMs = 0;
  std::int64_t preemptions = 0, ended = 0, starved = 0;
  std::vector<double> slowdown;
  for (const auto& arrival : arrivals) {
    auto found = result.truth.find(arrival.job.id);
    if (found == result.truth.end() || found->second.shown != "finished") continue;
    const auto& job = found->second;
    ++ended;
    const auto tookMs = job.endedFleetMs - job.acceptedFleetMs;
    const auto least = std::max<Millis>(1, shortestMs(arrival.job));
    toEnd.push_back(tookMs);
    toStart.push_back(std::max<Millis>(0, job.startedFleetMs - job.acceptedFleetMs - arrival.job.notBeforeMs));
    sum += static_cast<double>(tookMs);
    const double ratio = static_cast<double>(tookMs) / static_cast<double>(least);
    slowdown.push_back(ratio);
    slowdowns += ratio;
    squares += ratio * ratio;
    starved += ratio > 10;
    preemptions += job.preemptions;
    servedMs += static_cast<double>(job.servedMs);
    lostMs += std::max(0.0, static_cast<double>(job.servedMs - workMs(arrival.job)));
  }
  std::sort(slowdown.begin(), slowdown.end());
  const double n = std::max<double>(1, static_cast<double>(ended));
  auto at = [&](const std::vector<Millis>& values, double share) {
    return static_cast<double>(quantile(values, share));
  };
  return {{"jobs", static_cast<double>(arrivals.size())},
          {"ended", static_cast<double>(ended)},
          {"to end, mean ms", sum / n},
          {"to end, median ms", at(toEnd, 0.5)},
          {"to end, p95 ms", at(toEnd, 0.95)},
          {"to end, p99 ms", at(toEnd, 0.99)},
          {"to end, longest ms", at(toEnd, 1.0)},
          {"to first start, mean ms",
           [&] {
             double all = 0;
             for (auto each : toStart) all += static_cast<double>(each);
             return all / n;
           }()},
          {"to first start, p99 ms", at(toStart, 0.99)},
          {"pushed aside", static_cast<double>(preemptions)},
          {"slot time lost, share", servedMs > 0 ? lostMs / servedMs : 0},
          {"slowdown, mean", slowdowns / n},
          {"slowdown, p99", slowdown.empty() ? 0 : slowdown[std::min(slowdown.size() - 1, slowdown.size() * 99 / 100)]},
          {"slowed over 10 times", static_cast<double>(starved)},
          {"fairness of slowdown", squares > 0 ? slowdowns * slowdowns / (n * squares) : 0},
          {"rules broken", static_cast<double>(result.broken.size())}};
}

std::string sideBySide(const std::vector<std::pair<std::string, std::vector<Figure>>>& columns) {
  std::string text;
  char zone[64];
  std::snprintf(zone, sizeof zone, "%-26s", "");
  text += zone;
  for (const auto& [name, figures] : columns) {
    std::snprintf(zone, sizeof zone, " %14s", name.substr(0, 14).c_str());
    text += zone;
  }
  text += "\n";
  for (std::size_t row = 0; !columns.empty() && row < columns[0].second.size(); ++row) {
    std::snprintf(zone, sizeof zone, "%-26s", columns[0].second[row].name.c_str());
    text += zone;
    for (const auto& [name, figures] : columns) {
      const double value = figures[row].value;
      std::snprintf(
          zone, sizeof zone,
          value >= 100 || value == static_cast<double>(static_cast<std::int64_t>(value)) ? " %14.0f" : " %14.3f",
          value);
      text += zone;
    }
    text += "\n";
  }
  return text;
}

}  // namespace tulip::simulator
