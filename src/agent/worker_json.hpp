#pragma once
#include <string>
#include <string_view>
#include <variant>

#include "transport/core.hpp"

/// The product's own interface to workers: their reports are read from JSON, and the answers are written as JSON.
namespace tulip::agent {

/// Why a worker's report can't be taken.
struct ReportFault {
  Kind kind = Kind::malformed;
  const char* field = "";
  const char* allowed = "";
};

/// Reads a report of this worker.
std::variant<transport::WorkerReport, ReportFault> readWorkerReport(std::string_view body, const WorkerId& worker);

std::string answerJson(const transport::WorkerAnswer& answer);

}  // namespace tulip::agent
