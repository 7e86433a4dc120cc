#pragma once
#include <memory>
#include <string>

#include "chart/chart.hpp"
#include "gangway/front.hpp"
#include "manifest/job.hpp"
#include "signal/core.hpp"
#include "watch/crew.hpp"

namespace tulip::gangway {

struct Wanted {
  Call call = Call::none;
  Kind denial = Kind::ok;
  PendingName pending;
  JobId job;
  manifest::Spec spec;
  watch::Edit edit;
  signal::WorkerReport report;
};

// Headers of requests that a dialect names; empty: it has none.
struct HeaderNames {
  std::string cutoffMs;
  std::string basedOn;
};

// One thread reads; any may write and ask for the header names.
class Dialect {
 public:
  virtual ~Dialect() = default;
  virtual HeaderNames headers() const = 0;
  virtual Wanted read(const signal::Ask& ask, const chart::Chart& chart) const = 0;
  virtual signal::Answer write(Call call, signal::Answer answer) const = 0;
};

using MakeDialect = std::unique_ptr<Dialect> (*)();

}  // namespace tulip::gangway
