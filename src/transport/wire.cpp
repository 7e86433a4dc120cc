#include "transport/wire.hpp"

#include <netinet/tcp.h>

#include <algorithm>
#include <cstring>
#include <deque>
#include <optional>

namespace tulip::transport {
namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using Steady = std::chrono::steady_clock;

namespace {

constexpr std::size_t kMostQueuedBytes = 4u << 20;
constexpr std::size_t kWriteBytes = 64u << 10;  // handed to the socket at once, unless one frame is larger
constexpr std::uint32_t kMostFrameBytes = 256u << 20;
constexpr std::size_t kReadBytes = 4096;
constexpr std::size_t kKeptBytes = 64u << 10;
constexpr std::size_t kDecodedPerHeld = 2;          // bytes of a decoded frame, as a multiple of what is held for it
constexpr std::size_t kLengthBytes = 4;             // of a frame's length, before it
constexpr std::size_t kLeastRoom = kReadBytes / 4;  // in a buffer that is read into
constexpr Millis kAcceptPausesPerLease = 20;        // while there is no descriptor for a connection

void setPatience(tcp::socket& socket, Millis leaseMs) {
  boost::system::error_code ignored;
  const int handle = socket.native_handle();
  const int unackedMs = static_cast<int>(2 * leaseMs), idleS = static_cast<int>(std::max<Millis>(1, leaseMs / 1000)),
            everyS = 1, tries = 2;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  ::setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &unackedMs, sizeof unackedMs);
  ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &idleS, sizeof idleS);
  ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &everyS, sizeof everyS);
  ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &tries, sizeof tries);
}

void release(std::string& buffer) {
  buffer.clear();
  buffer.shrink_to_fit();
}

/// Messages that carry state whole, and are sent again until they are acknowledged: the newest says all that earlier
/// ones did.
bool supersedesEarlier(const Message& message) {
  if (const auto* promise = std::get_if<JobLogPromise>(&message))
    return !promise->entries.empty() && promise->leftOut.empty();
  if (const auto* accept = std::get_if<JobLogAccept>(&message)) return accept->seq > 0;
  if (std::holds_alternative<Orders>(message)) return true;
  return std::holds_alternative<CatchUpGive>(message);
}

std::string withLength(const std::string& body) {
  const auto size = static_cast<std::uint32_t>(body.size());
  std::string bytes;
  bytes.reserve(sizeof size + body.size());
  for (int shift = 24; shift >= 0; shift -= 8) bytes.push_back(static_cast<char>((size >> shift) & 0xff));
  return bytes += body;
}

/// What a frame carries, of whom and for whom.
struct FrameSubject {
  std::size_t kind = 0;  // of its message, by place in the variant
  Address from;
  Address to;
  bool operator==(const FrameSubject&) const = default;
};

/// A frame that waits for its connection.
struct QueuedFrame {
  FrameSubject subject;
  bool supersedable = false;
  std::string bytes;  // with its length before it

  bool isLarge() const { return bytes.size() > kWriteBytes; }
};

/// The frames that wait for one connection, in the order of sending. A frame that supersedes one takes its place, and
/// is left out while a large one is still being written, so that what is sent again and again to a peer that takes
/// little or nothing is held once.
class SendQueue {
 public:
  explicit SendQueue(WireCounts& counts) : counts_(counts) {}
  bool empty() const { return frames_.empty(); }

  void clear() {
    account(bytes_, 0);
    frames_.clear();
  }

  /// False: the queue is full, and the frame was not taken.
  bool push(QueuedFrame frame) {
    if (supersede(frame)) return true;
    if (!frames_.empty() && bytes_ + frame.bytes.size() > kMostQueuedBytes) return false;
    account(0, frame.bytes.size());
    frames_.push_back(std::move(frame));
    return true;
  }

  /// Takes what is to be written next: whole frames, one at least.
  void take(std::string& bytes) {
    bytes.clear();
    writing_.reset();
    if (!frames_.empty() && frames_.front().supersedable && frames_.front().isLarge())
      writing_ = frames_.front().subject;
    while (!frames_.empty() && (bytes.empty() || bytes.size() + frames_.front().bytes.size() <= kWriteBytes)) {
      account(frames_.front().bytes.size(), 0);
      if (bytes.empty())
        bytes = std::move(frames_.front().bytes);
      else
        bytes += frames_.front().bytes;
      frames_.pop_front();
    }
  }

  void written() { writing_.reset(); }

  void takeAllOf(SendQueue& other) {
    while (!other.frames_.empty()) {
      other.account(other.frames_.front().bytes.size(), 0);
      push(std::move(other.frames_.front()));
      other.frames_.pop_front();
    }
  }

 private:
  bool supersede(QueuedFrame& frame) {
    if (!frame.supersedable) return false;
    if (writing_ == frame.subject && frame.isLarge()) {
      ++counts_.superseded;
      return true;
    }
    const auto earlier = std::ranges::find_if(
        frames_, [&](const QueuedFrame& each) { return each.supersedable && each.subject == frame.subject; });
    if (earlier == frames_.end()) return false;
    ++counts_.superseded;
    account(earlier->bytes.size(), frame.bytes.size());
    *earlier = std::move(frame);
    return true;
  }

  void account(std::size_t less, std::size_t more) {
    bytes_ += more;
    bytes_ -= less;
    counts_.queuedBytes += more;
    counts_.queuedBytes -= less;
  }

  WireCounts& counts_;
  std::deque<QueuedFrame> frames_;
  std::optional<FrameSubject> writing_;  // of the large frame that was taken last and is not written yet
  std::size_t bytes_ = 0;
};

}  // namespace

tcp::endpoint endpointOf(const Address& address) {
  const auto colon = address.value.rfind(':');
  boost::system::error_code failed;
  const auto ip = asio::ip::make_address(address.value.substr(0, colon), failed);
  if (failed || colon == std::string::npos) return {};
  return {ip, static_cast<std::uint16_t>(std::atoi(address.value.c_str() + colon + 1))};
}

struct Wire::Line {
  Line(asio::io_context& context, WireCounts& counts) : socket(context), queued(counts) {}
  tcp::socket socket;
  std::set<Address> others;  // addresses of the peer process that are reached through it
  SendQueue queued;
  std::string running;  // is being written
  std::string in;
  std::size_t filled = 0;
  std::size_t frameBytes = 0;  // of the frame that is being read, with its length; 0: not known yet
  std::uint64_t arrival = 0;   // among the unproven lines; 0: it is none of them
  Steady::time_point dialed;
  bool up = false;
  bool unflushed = false;
  bool writing = false;
  bool gone = false;
};

struct Wire::Door {
  Door(asio::io_context& context, Address at) : acceptor(context), pause(context), self(std::move(at)) {}
  tcp::acceptor acceptor;
  asio::steady_timer pause;  // before accepting is tried again
  Address self;
};

Wire::Wire(asio::io_context& context, Millis leaseMs, Receive receive, std::function<void(std::string)> alarm,
           const ConnectionLimits& limits)
    : context_(context), termMs_(leaseMs), receive_(std::move(receive)), alarm_(std::move(alarm)), limits_(limits) {}

Wire::~Wire() { close(); }

void Wire::listen(const Address& self) {
  auto door = std::make_unique<Door>(context_, self);
  const auto endpoint = endpointOf(self);
  door->acceptor.open(endpoint.protocol());
  door->acceptor.set_option(tcp::acceptor::reuse_address(true));
  door->acceptor.bind(endpoint);
  door->acceptor.listen();
  doors_.push_back(std::move(door));
  accept(*doors_.back());
}

void Wire::close() {
  closed_ = true;
  boost::system::error_code ignored;
  for (auto& door : doors_) door->acceptor.close(ignored);
  auto all = all_;
  for (const auto& line : all) drop(line);
}

void Wire::accept(Door& door) {
  auto line = std::make_shared<Line>(context_, counts_);
  door.acceptor.async_accept(line->socket, [this, &door, line](boost::system::error_code failed) {
    if (closed_ || failed == asio::error::operation_aborted) return;
    if (failed) return acceptLater(door);
    take(line);
    accept(door);
  });
}

/// Without a free descriptor, accepting fails at once and would be tried without a pause.
void Wire::acceptLater(Door& door) {
  door.pause.expires_after(std::chrono::milliseconds(std::max<Millis>(1, termMs_ / kAcceptPausesPerLease)));
  door.pause.async_wait([this, &door](boost::system::error_code cancelled) {
    if (!cancelled && !closed_) accept(door);
  });
}

/// Until it has sent a frame that can be read, a line is unproven, and the one that has been so for longest gives way.
void Wire::take(const std::shared_ptr<Line>& line) {
  all_.insert(line);
  line->arrival = ++arrivals_;
  unproven_[line->arrival] = line;
  while (unproven_.size() > limits_.unprovenPeers) {
    ++counts_.closedUnproven;
    drop(std::shared_ptr<Line>(unproven_.begin()->second));
  }
  if (line->gone) return;
  setPatience(line->socket, termMs_);
  start(line);
}

void Wire::prove(const std::shared_ptr<Line>& line) {
  if (line->arrival == 0) return;
  unproven_.erase(line->arrival);
  unprovenBytes_ -= line->in.size();
  line->arrival = 0;
}

std::size_t Wire::mostFrameBytes(const Line& line) const {
  if (line.arrival == 0) return kMostFrameBytes;
  return std::min<std::size_t>(kMostFrameBytes, limits_.unprovenPeerBytes - kLengthBytes);
}

/// Whether the line may hold so many bytes. Of the unproven lines, those that hold most give way.
bool Wire::mayHold(const std::shared_ptr<Line>& line, std::size_t bytes) {
  if (line->arrival == 0) return true;
  const auto more = bytes - line->in.size();
  while (unprovenBytes_ + more > limits_.unprovenPeerBytes) {
    const auto size = [](const auto& entry) { return entry.second->in.size(); };
    const auto largest = std::ranges::max_element(unproven_, {}, size)->second;
    ++counts_.closedUnproven;
    if (largest == line) return false;
    drop(largest);
  }
  unprovenBytes_ += more;
  return true;
}

/// The buffer grows with what has arrived and not with what a length announces. False: the line may hold no more.
bool Wire::makeRoomToRead(const std::shared_ptr<Line>& line) {
  const bool holdsFrame = line->frameBytes > 0 && line->in.size() >= line->frameBytes;
  if (holdsFrame || line->in.size() - line->filled >= kLeastRoom) return true;
  const auto size = std::max(line->filled + kReadBytes, std::min(line->frameBytes, 2 * line->filled));
  if (!mayHold(line, size)) return false;
  std::string grown;
  grown.reserve(size);
  grown.append(line->in, 0, line->filled);
  grown.resize(size);
  line->in = std::move(grown);
  return true;
}

void Wire::start(const std::shared_ptr<Line>& line) {
  line->up = true;
  read(line);
  write(line);
}

void Wire::dial(const Address& to) {
  auto line = std::make_shared<Line>(context_, counts_);
  line->others.insert(to);
  line->dialed = Steady::now();
  lines_[to] = line;
  all_.insert(line);
  const auto endpoint = endpointOf(to);
  boost::system::error_code failed;
  line->socket.open(endpoint.protocol(), failed);
  if (failed) return drop(line);
  setPatience(line->socket, termMs_);
  line->socket.async_connect(endpoint, [this, line, to](boost::system::error_code lost) {
    if (closed_ || line->gone) return;
    if (lost) {
      rejected_[to] = Steady::now() + std::chrono::milliseconds(termMs_ / 20);
      return drop(line);
    }
    start(line);
  });
}

void Wire::send(const Frame& frame) {
  const auto& to = frame.to;
  if (closed_ || to.empty()) return;
  auto found = lines_.find(to);
  if (found != lines_.end() && !found->second->up &&
      Steady::now() - found->second->dialed > std::chrono::milliseconds(termMs_)) {
    drop(found->second);
    found = lines_.end();
  }
  if (found == lines_.end()) {
    auto blocked = rejected_.find(to);
    if (blocked != rejected_.end()) {
      if (blocked->second > Steady::now()) {
        ++counts_.dropped;
        return;
      }
      rejected_.erase(blocked);
    }
    dial(to);
    found = lines_.find(to);
    if (found == lines_.end()) return;
  }
  const auto& line = found->second;
  QueuedFrame queued{
      {frame.message.index(), frame.from, to}, supersedesEarlier(frame.message), withLength(encode(frame))};
  if (!line->queued.push(std::move(queued))) {
    ++counts_.dropped;
    return;
  }
  ++counts_.sent;
  if (line->unflushed) return;
  line->unflushed = true;
  unflushed_.push_back(line);
}

void Wire::flush() {
  auto lines = std::move(unflushed_);
  unflushed_.clear();
  for (const auto& line : lines) {
    line->unflushed = false;
    write(line);
  }
}

void Wire::write(const std::shared_ptr<Line>& line) {
  if (!line->up || line->writing || line->gone || line->queued.empty()) return;
  line->writing = true;
  line->queued.take(line->running);
  ++counts_.writes;
  asio::async_write(line->socket, asio::buffer(line->running),
                    [this, line](boost::system::error_code failed, std::size_t) {
                      line->writing = false;
                      line->queued.written();
                      if (closed_ || line->gone) return;
                      if (failed) return drop(line);
                      if (line->running.capacity() > kKeptBytes) release(line->running);
                      write(line);
                    });
}

void Wire::read(const std::shared_ptr<Line>& line) {
  if (!makeRoomToRead(line)) return drop(line);
  line->socket.async_read_some(asio::buffer(line->in.data() + line->filled, line->in.size() - line->filled),
                               [this, line](boost::system::error_code failed, std::size_t count) {
                                 if (closed_ || line->gone) return;
                                 if (failed) return drop(line);
                                 line->filled += count;
                                 if (takeFrames(line))
                                   read(line);
                                 else
                                   drop(line);
                               });
}

// False: the line says nothing that can be believed.
bool Wire::takeFrames(const std::shared_ptr<Line>& line) {
  std::size_t at = 0;
  std::uint32_t size = 0;
  while (line->filled - at >= kLengthBytes) {
    size = 0;
    for (std::size_t i = 0; i < kLengthBytes; ++i) size = (size << 8) | static_cast<unsigned char>(line->in[at + i]);
    if (size == 0 || size > mostFrameBytes(*line)) {
      ++counts_.malformed;
      return false;
    }
    if (line->filled - at - kLengthBytes < size) break;
    Frame frame;
    const auto mostDecoded = line->arrival == 0 ? kAnyUnpackedBytes : kDecodedPerHeld * limits_.unprovenPeerBytes;
    const auto decoded = decode(std::string_view(line->in).substr(at + kLengthBytes, size), frame, mostDecoded);
    if (decoded != Decoded::ok) {
      auto& count = decoded == Decoded::foreignVersion ? counts_.foreign : counts_.malformed;
      if (count++ == 0)
        alarm_(decoded == Decoded::foreignVersion ? "inner protocol revision " + std::to_string(frame.version) +
                                                        " of " + frame.fromId.value + " is not spoken here"
                                                  : "a malformed frame arrived");
      return false;
    }
    at += kLengthBytes + size;
    prove(line);
    ++counts_.received;
    const bool ours = std::ranges::any_of(doors_, [&](const auto& door) { return door->self == frame.to; });
    if (!ours) continue;
    if (!line->others.contains(frame.from)) adopt(line, frame.from);
    receive_(std::move(frame));
    if (closed_ || line->gone) return true;
    size = 0;
  }
  std::memmove(line->in.data(), line->in.data() + at, line->filled - at);
  line->filled -= at;
  line->frameBytes = line->filled >= kLengthBytes ? size + kLengthBytes : 0;
  if (line->filled == 0 && line->in.size() > kKeptBytes) release(line->in);
  return true;
}

// The newest line from a peer is surely alive; an older one may hang on a machine that lost power.
void Wire::adopt(const std::shared_ptr<Line>& line, const Address& other) {
  line->others.insert(other);
  auto& slot = lines_[other];
  if (slot == line) return;
  const auto old = slot;
  slot = line;
  if (!old) return;
  old->others.erase(other);
  if (old->up) return;
  line->queued.takeAllOf(old->queued);
  drop(old);
  write(line);
}

void Wire::drop(const std::shared_ptr<Line>& line) {
  if (line->gone) return;
  line->gone = true;
  if (!line->queued.empty()) ++counts_.dropped;
  line->queued.clear();
  boost::system::error_code ignored;
  line->socket.close(ignored);
  all_.erase(line);
  prove(line);
  release(line->in);
  for (const auto& other : line->others) {
    auto found = lines_.find(other);
    if (found != lines_.end() && found->second == line) lines_.erase(found);
  }
}

}  // namespace tulip::transport
