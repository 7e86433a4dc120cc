#include "daemon/metrics_text.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace tulip::daemon {
namespace {

constexpr double kMillisInSecond = 1000;

std::string_view typeName(MetricType type) {
  switch (type) {
    case MetricType::counter:
      return "counter";
    case MetricType::gauge:
      return "gauge";
    case MetricType::histogram:
      return "histogram";
  }
  return {};
}

std::string numberText(double value) {
  std::array<char, 32> digits;
  const auto [end, failed] = std::to_chars(digits.data(), digits.data() + digits.size(), value);
  return failed == std::errc() ? std::string(digits.data(), end) : "NaN";
}

void appendEscaped(std::string& into, std::string_view text) {
  for (const char c : text) {
    if (c == '\\' || c == '"') into.push_back('\\');
    if (c == '\n')
      into.append("\\n");
    else
      into.push_back(c);
  }
}

void appendSample(std::string& into, std::string_view name, const MetricLabels& labels, std::string_view value) {
  into.append(name);
  char before = '{';
  for (const auto& [label, text] : labels) {
    into.push_back(before);
    before = ',';
    into.append(label).append("=\"");
    appendEscaped(into, text);
    into.push_back('"');
  }
  if (!labels.empty()) into.push_back('}');
  into.append(" ").append(value).append("\n");
}

}  // namespace

MetricsText::Family& MetricsText::family(std::string_view name, MetricType type, std::string_view help) {
  const auto found = std::ranges::find(families_, name, &Family::name);
  if (found != families_.end()) return *found;
  return families_.emplace_back(Family{std::string(name), std::string(help), type, {}});
}

void MetricsText::counter(std::string_view name, std::string_view help, const MetricLabels& labels,
                          std::uint64_t value) {
  appendSample(family(name, MetricType::counter, help).samples, name, labels, std::to_string(value));
}

void MetricsText::gauge(std::string_view name, std::string_view help, const MetricLabels& labels, double value) {
  appendSample(family(name, MetricType::gauge, help).samples, name, labels, numberText(value));
}

void MetricsText::histogram(std::string_view name, std::string_view help, const MetricLabels& labels,
                            const DurationHistogram& durations, Millis leaseMs) {
  auto& samples = family(name, MetricType::histogram, help).samples;
  const auto bucketName = std::string(name) + "_bucket";
  std::uint64_t total = 0;
  for (std::size_t bucket = 0; bucket < durations.counts.size(); ++bucket) {
    total += durations.counts[bucket];
    const bool bounded = bucket < DurationHistogram::kLeaseShares.size();
    const double boundMs = bounded ? DurationHistogram::kLeaseShares[bucket] * static_cast<double>(leaseMs) : 0;
    auto bucketLabels = labels;
    bucketLabels.emplace_back("le", bounded ? numberText(boundMs / kMillisInSecond) : "+Inf");
    appendSample(samples, bucketName, bucketLabels, std::to_string(total));
  }
  const double sumSeconds = static_cast<double>(durations.sumMs) / kMillisInSecond;
  appendSample(samples, std::string(name) + "_sum", labels, numberText(sumSeconds));
  appendSample(samples, std::string(name) + "_count", labels, std::to_string(total));
}

std::string MetricsText::text() const {
  std::string out;
  for (const auto& each : families_) {
    out.append("# HELP ").append(each.name).append(" ").append(each.help).append("\n");
    out.append("# TYPE ").append(each.name).append(" ").append(typeName(each.type)).append("\n");
    out.append(each.samples);
  }
  return out;
}

}  // namespace tulip::daemon
