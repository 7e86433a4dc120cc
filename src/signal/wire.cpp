#include "signal/wire.hpp"

#include <deque>

namespace tulip::signal {
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {
constexpr std::size_t kMostFrames = 512;
constexpr std::uint32_t kMostBytes = 256u << 20;
constexpr auto kRedial = std::chrono::milliseconds(50);
}  // namespace

tcp::endpoint endpointOf(const Address& address) {
  const auto colon = address.value.rfind(':');
  boost::system::error_code failed;
  const auto ip = asio::ip::make_address(address.value.substr(0, colon), failed);
  if (failed || colon == std::string::npos) return {};
  return {ip, static_cast<std::uint16_t>(std::atoi(address.value.c_str() + colon + 1))};
}

struct Wire::Line {
  explicit Line(asio::io_context& context) : socket(context) {}
  tcp::socket socket;
  Address other;
  std::deque<std::string> out;
  std::array<unsigned char, 4> head{};
  std::string body;
  bool up = false;
  bool writing = false;
  bool gone = false;
};

Wire::Wire(asio::io_context& context, Address self, DaemonId id, Receive receive, std::function<void(std::string)> alarm)
    : context_(context), acceptor_(context), self_(std::move(self)), id_(std::move(id)), receive_(std::move(receive)),
      alarm_(std::move(alarm)) {}

Wire::~Wire() { close(); }

void Wire::listen() {
  const auto endpoint = endpointOf(self_);
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen();
  accept();
}

void Wire::close() {
  closed_ = true;
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  auto all = all_;
  for (const auto& line : all) drop(line);
}

void Wire::accept() {
  auto line = std::make_shared<Line>(context_);
  acceptor_.async_accept(line->socket, [this, line](boost::system::error_code failed) {
    if (closed_ || failed == asio::error::operation_aborted) return;
    if (!failed) {
      all_.insert(line);
      start(line);
    }
    accept();
  });
}

void Wire::start(const std::shared_ptr<Line>& line) {
  boost::system::error_code ignored;
  line->socket.set_option(tcp::no_delay(true), ignored);
  line->up = true;
  readHead(line);
  write(line);
}

void Wire::dial(const Address& to) {
  auto line = std::make_shared<Line>(context_);
  line->other = to;
  lines_[to] = line;
  all_.insert(line);
  line->socket.async_connect(endpointOf(to), [this, line](boost::system::error_code failed) {
    if (closed_ || line->gone) return;
    if (failed) {
      denied_[line->other] = std::chrono::steady_clock::now() + kRedial;
      return drop(line);
    }
    start(line);
  });
}

void Wire::send(const Address& to, Message message) {
  if (closed_ || to.empty()) return;
  if (to == self_) {
    Frame frame{kRevision, id_, self_, to, std::move(message)};
    asio::post(context_, [this, frame = std::move(frame)]() mutable {
      if (!closed_) receive_(std::move(frame));
    });
    return;
  }
  auto found = lines_.find(to);
  if (found == lines_.end()) {
    auto blocked = denied_.find(to);
    if (blocked != denied_.end()) {
      if (blocked->second > std::chrono::steady_clock::now()) {
        ++counts_.dropped;
        return;
      }
      denied_.erase(blocked);
    }
    dial(to);
    found = lines_.find(to);
  }
  auto line = found->second;
  if (line->out.size() >= kMostFrames) {
    ++counts_.dropped;
    return;
  }
  std::string body = encode(Frame{kRevision, id_, self_, to, std::move(message)});
  const auto size = static_cast<std::uint32_t>(body.size());
  std::string bytes;
  bytes.reserve(body.size() + 4);
  for (int shift = 24; shift >= 0; shift -= 8) bytes.push_back(static_cast<char>((size >> shift) & 0xff));
  bytes += body;
  line->out.push_back(std::move(bytes));
  ++counts_.sent;
  write(line);
}

void Wire::write(const std::shared_ptr<Line>& line) {
  if (!line->up || line->writing || line->gone || line->out.empty()) return;
  line->writing = true;
  asio::async_write(line->socket, asio::buffer(line->out.front()), [this, line](boost::system::error_code failed, std::size_t) {
    line->writing = false;
    if (closed_ || line->gone) return;
    if (failed) return drop(line);
    line->out.pop_front();
    write(line);
  });
}

void Wire::readHead(const std::shared_ptr<Line>& line) {
  asio::async_read(line->socket, asio::buffer(line->head), [this, line](boost::system::error_code failed, std::size_t) {
    if (closed_ || line->gone) return;
    if (failed) return drop(line);
    std::uint32_t size = 0;
    for (unsigned char byte : line->head) size = (size << 8) | byte;
    if (size == 0 || size > kMostBytes) {
      ++counts_.malformed;
      return drop(line);
    }
    line->body.resize(size);
    asio::async_read(line->socket, asio::buffer(line->body), [this, line](boost::system::error_code lost, std::size_t) {
      if (closed_ || line->gone) return;
      if (lost) return drop(line);
      Frame frame;
      const auto decoded = decode(line->body, frame);
      if (decoded != Decoded::ok) {
        auto& count = decoded == Decoded::foreignRevision ? counts_.foreign : counts_.malformed;
        if (count++ == 0)
          alarm_(decoded == Decoded::foreignRevision
                     ? "inner protocol revision " + std::to_string(frame.revision) + " of " + frame.fromId.value + " is not spoken here"
                     : "a malformed frame arrived");
        return drop(line);
      }
      ++counts_.received;
      if (frame.to == self_) {
        if (line->other.empty()) {
          line->other = frame.from;
          auto& slot = lines_[frame.from];
          if (!slot || !slot->up) {
            if (slot) {
              line->out.insert(line->out.end(), slot->out.begin(), slot->out.end());
              auto old = slot;
              slot = line;
              drop(old);
            }
            slot = line;
            write(line);
          }
        }
        receive_(std::move(frame));
      }
      readHead(line);
    });
  });
}

void Wire::drop(const std::shared_ptr<Line>& line) {
  if (line->gone) return;
  line->gone = true;
  counts_.dropped += line->out.size();
  boost::system::error_code ignored;
  line->socket.close(ignored);
  all_.erase(line);
  auto found = lines_.find(line->other);
  if (found != lines_.end() && found->second == line) lines_.erase(found);
}

}  // namespace tulip::signal
