#pragma once
#include <memory>
#include <string>

#include "config/config.hpp"
#include "control/client.hpp"
#include "http/front.hpp"
#include "jobs/job.hpp"
#include "transport/core.hpp"

namespace tulip::http {

struct Wanted {
  Call call = Call::none;
  Kind rejection = Kind::ok;
  std::string detail;  // of the rejection: which part of the request, and why
  QueueName pending;   // that the request is for, also where it is rejected
  JobId job;
  jobs::Spec spec;
  control::Edit edit;
  transport::WorkerReport report;
};

// Headers of requests that a protocol adapter names; empty: it has none.
struct HeaderNames {
  std::string deadlineMs;
  std::string basedOn;
};

// One thread reads; any may write and ask for the header names.
class ProtocolAdapter {
 public:
  virtual ~ProtocolAdapter() = default;
  virtual HeaderNames headers() const = 0;
  virtual Wanted read(const transport::Ask& ask, const config::Config& config) const = 0;
  virtual transport::Answer write(Call call, transport::Answer answer) const = 0;
};

using MakeAdapter = std::unique_ptr<ProtocolAdapter> (*)();

}  // namespace tulip::http
