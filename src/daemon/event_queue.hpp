#pragma once
/// The events that wait for the core thread.
///
/// Leases, sessions, the job log, changes of the configuration and the disk go before reports, orders and calls: a
/// process that has more to do than it can is late with its work, and not with what its standing rests on. Otherwise a
/// leader under load loses its lease behind the reports of its agents, and the takeover that follows is more load.
#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <vector>

#include "daemon/event_kind.hpp"

namespace tulip::daemon {

struct QueuedEvent {
  std::size_t node = 0;  // that it is for
  transport::Event event;
  Millis queuedMs = 0;
};

class EventQueue {
 public:
  using Deadline = std::chrono::steady_clock::time_point;

  /// Each of the two lanes holds up to `bound` events.
  explicit EventQueue(std::size_t bound) : bound_(bound) {}

  /// False: its lane is full or the queue is closed, and the event was not taken.
  bool offer(QueuedEvent event) { return offerWithin(std::move(event), bound_); }
  /// The same, where its lane holds fewer than `most`.
  bool offerWithin(QueuedEvent event, std::size_t most);
  /// Waits for a place. False once the queue is closed.
  bool push(QueuedEvent event);

  /// What there is, once there is something or the deadline has passed: first what is urgent, then what is not, at most
  /// `mostOrdinary` of that.
  std::vector<QueuedEvent> takeUntil(Deadline deadline, std::size_t mostOrdinary);

  void close();

 private:
  std::deque<QueuedEvent>& laneOf(const transport::Event& event);

  std::size_t bound_;
  std::mutex guard_;
  std::condition_variable filled_, drained_;
  std::deque<QueuedEvent> urgent_, ordinary_;
  bool closed_ = false;
};

}  // namespace tulip::daemon
