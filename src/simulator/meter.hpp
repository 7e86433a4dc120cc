#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace tulip::simulator {

// What a simulated fleet sent, and the processor time that its cores took for
// it. A leading scheduler is told apart from the others.
struct Meter {
  struct Row {
    std::uint64_t sent = 0, sentBytes = 0, encodeNs = 0;
    std::uint64_t received = 0, receivedBytes = 0, decodeNs = 0, stepNs = 0, mostStepNs = 0;
  };
  struct Span {
    std::uint64_t count = 0, ns = 0, mostNs = 0;
    void add(std::uint64_t spanNs) {
      ++count;
      ns += spanNs;
      if (spanNs > mostNs) mostNs = spanNs;
    }
  };
  std::map<std::pair<std::string, std::string>, Row> rows;  // by role and kind of message or event
  Span plans, batches, takeovers;                           // steps of a scheduler that planned, only
                                                            // fenced a batch, or took over
  std::uint64_t clockNs = 0;                                // what reading the clock twice costs, taken off

  void calibrate();
  std::uint64_t since(std::uint64_t fromNs) const;
  void clear();
};

std::uint64_t threadNs();  // processor time of this thread

}  // namespace tulip::simulator
