#include "commands/ctl.hpp"

#include <chrono>
#include <fstream>
#include <thread>

namespace tulip::commands {

namespace {
constexpr Millis kMostHopMs = 10000;  // a daemon is asked to answer within this
constexpr Millis kRetryMs = 100;      // where a daemon doesn't say when to come back
}  // namespace

Millis steadyMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

void writeJournal(const CtlClient& ctl, const std::string& line) {
  if (!ctl.journal.empty()) std::ofstream(ctl.journal, std::ios::app) << steadyMs() << " " << line << std::endl;
}

http::Loss lossOf(const http::CallReply& reply) {
  if (reply.status > 0) return http::lossOf(reply.status);
  return reply.sent ? http::Loss::silence : http::Loss::unreached;
}

http::CallReply ask(const CtlClient& ctl, const CtlRequest& request) {
  const auto path = std::string_view(request.target).substr(0, request.target.find('?'));
  const auto call = http::classOfOwnCall(request.method, path, !ctl.requestId.empty());
  const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(ctl.deadlineMs);
  http::CallReply reply;
  for (std::size_t tries = 0;; ++tries) {
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(until - std::chrono::steady_clock::now()).count();
    if (left <= 0) return reply;
    http::CallOut out;
    out.to = ctl.at[tries % ctl.at.size()];
    out.method = request.method;
    out.target = request.target;
    out.body = request.body;
    out.deadlineMs = left;
    out.headers["X-Tulippitch-Transaction"] = ctl.requestId;
    out.headers["X-Tulippitch-Cutoff-Ms"] = std::to_string(std::min<Millis>(left, kMostHopMs));
    auto got = http::callNow(std::move(out));
    if (got.status > 0 || reply.status == 0) reply = got;
    if (!http::mayRepeat(call, lossOf(got))) return reply;
    const Millis waitMs = got.retryAfterMs > 0 ? got.retryAfterMs : kRetryMs;
    if (waitMs >= left) return reply;
    std::this_thread::sleep_for(std::chrono::milliseconds(waitMs));
  }
}

}  // namespace tulip::commands
