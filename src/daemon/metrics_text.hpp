#pragma once
/// Figures in the text form of the Prometheus exposition format, version 0.0.4.
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/duration_histogram.hpp"

namespace tulip::daemon {

enum class MetricType : std::uint8_t { counter, gauge, histogram };

using MetricLabels = std::vector<std::pair<std::string, std::string>>;

/// Gathers samples by family, in the order in which the families first came.
class MetricsText {
 public:
  void counter(std::string_view name, std::string_view help, const MetricLabels& labels, std::uint64_t value);
  void gauge(std::string_view name, std::string_view help, const MetricLabels& labels, double value);
  /// In seconds; the bounds of the buckets are the histogram's parts of the lease.
  void histogram(std::string_view name, std::string_view help, const MetricLabels& labels,
                 const DurationHistogram& durations, Millis leaseMs);
  std::string text() const;

 private:
  struct Family {
    std::string name;
    std::string help;
    MetricType type;
    std::string samples;
  };
  Family& family(std::string_view name, MetricType type, std::string_view help);

  std::vector<Family> families_;
};

}  // namespace tulip::daemon
