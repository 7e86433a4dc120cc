#include "daemon/event_queue.hpp"

#include <algorithm>
#include <utility>

namespace tulip::daemon {

namespace {

void move(std::deque<QueuedEvent>& lane, std::size_t most, std::vector<QueuedEvent>& into) {
  for (std::size_t left = std::min(most, lane.size()); left > 0; --left) {
    into.push_back(std::move(lane.front()));
    lane.pop_front();
  }
}

}  // namespace

std::deque<QueuedEvent>& EventQueue::laneOf(const transport::Event& event) {
  return isUrgent(kindOf(event)) ? urgent_ : ordinary_;
}

bool EventQueue::offerWithin(QueuedEvent event, std::size_t most) {
  {
    const std::lock_guard lock(guard_);
    auto& lane = laneOf(event.event);
    if (closed_ || lane.size() >= std::min(most, bound_)) return false;
    lane.push_back(std::move(event));
  }
  filled_.notify_one();
  return true;
}

bool EventQueue::push(QueuedEvent event) {
  {
    std::unique_lock lock(guard_);
    auto& lane = laneOf(event.event);
    drained_.wait(lock, [&] { return closed_ || lane.size() < bound_; });
    if (closed_) return false;
    lane.push_back(std::move(event));
  }
  filled_.notify_one();
  return true;
}

std::vector<QueuedEvent> EventQueue::takeUntil(Deadline deadline, std::size_t mostOrdinary) {
  std::vector<QueuedEvent> taken;
  {
    std::unique_lock lock(guard_);
    filled_.wait_until(lock, deadline, [&] { return closed_ || !urgent_.empty() || !ordinary_.empty(); });
    move(urgent_, urgent_.size(), taken);
    move(ordinary_, mostOrdinary, taken);
  }
  drained_.notify_all();
  return taken;
}

void EventQueue::close() {
  {
    const std::lock_guard lock(guard_);
    closed_ = true;
  }
  filled_.notify_all();
  drained_.notify_all();
}

}  // namespace tulip::daemon
