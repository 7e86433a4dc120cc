#pragma once
#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <vector>

namespace tulip {

template <class Item>
struct Ring {
  explicit Ring(std::size_t bound) : bound_(bound) {}

  bool offer(Item item) {
    {
      std::lock_guard lock(guard_);
      if (closed_ || items_.size() >= bound_) return false;
      items_.push_back(std::move(item));
    }
    filled_.notify_one();
    return true;
  }

  std::vector<Item> take(std::size_t most) {
    std::unique_lock lock(guard_);
    filled_.wait(lock, [&] { return closed_ || !items_.empty(); });
    return drain(most);
  }

  void close() {
    {
      std::lock_guard lock(guard_);
      closed_ = true;
    }
    filled_.notify_all();
    closing_.notify_all();
  }

  template <class Span>
  bool closedWithin(const Span& span) {
    std::unique_lock lock(guard_);
    return closing_.wait_for(lock, span, [&] { return closed_; });
  }

  bool closed() const {
    std::lock_guard lock(guard_);
    return closed_ && items_.empty();
  }

 private:
  std::vector<Item> drain(std::size_t most) {
    std::vector<Item> taken;
    while (!items_.empty() && taken.size() < most) {
      taken.push_back(std::move(items_.front()));
      items_.pop_front();
    }
    return taken;
  }

  std::size_t bound_;
  mutable std::mutex guard_;
  std::condition_variable filled_, closing_;
  std::deque<Item> items_;
  bool closed_ = false;
};

}  // namespace tulip
