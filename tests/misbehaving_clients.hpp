#pragma once
/// Clients that keep to no limit: each connects, sends what it is told without regard to the answers, and then keeps
/// its connection open. They run on a thread of their own until they are dropped.
#include <utility>

#include <boost/asio.hpp>

#include <array>
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "transport/wire.hpp"

namespace tulip::fixture {

/// What one such client sends.
struct Misbehaviour {
  std::string opening;            // once
  std::string repeated;           // then this, again and again
  std::size_t repeatedBytes = 0;  // until so much of it was sent
  bool readsAnswers = true;
  bool waitsForAnswers = false;  // sends the next of the repeated only once it has received something
};

inline std::string httpHead(std::string_view method, std::string_view target, std::string_view headers) {
  return std::string(method) + " " + std::string(target) + " HTTP/1.1\r\nHost: queue.example\r\n" +
         "Content-Type: application/json\r\n" + std::string(headers) + "\r\n";
}

namespace misbehaviour {

inline const std::string kChunked = "Transfer-Encoding: chunked\r\n";

inline Misbehaviour trailersWithoutEnd(std::string_view target, std::size_t bytes) {
  return {httpHead("POST", target, kChunked) + "4\r\nabcd\r\n0\r\n",
          "Trailer-Field: " + std::string(1000, 'v') + "\r\n", bytes};
}

inline Misbehaviour chunkExtensionWithoutEnd(std::string_view target, std::size_t bytes) {
  return {httpHead("POST", target, kChunked) + "4;name=", std::string(1000, 'e'), bytes};
}

inline Misbehaviour chunksWithoutEnd(std::string_view target, std::size_t bytes) {
  return {httpHead("POST", target, kChunked), "400\r\n" + std::string(1024, 'c') + "\r\n", bytes};
}

inline Misbehaviour bodyFarOverTheLimit(std::string_view target, std::size_t bytes) {
  return {httpHead("POST", target, "Content-Length: 900000000000\r\n"), std::string(1024, 'b'), bytes};
}

/// Sends less than it announced, and then nothing.
inline Misbehaviour bodyCutShort(std::string_view target, std::size_t announced, std::size_t sent) {
  return {httpHead("POST", target, "Content-Length: " + std::to_string(announced) + "\r\n"), std::string(1024, 'b'),
          sent};
}

inline Misbehaviour chunkCutShort(std::string_view target, std::size_t announced, std::size_t sent) {
  std::array<char, 32> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", announced);
  return {httpHead("POST", target, kChunked) + size.data(), std::string(1024, 'b'), sent};
}

inline Misbehaviour headersWithoutEnd(std::string_view target, std::size_t bytes) {
  auto head = httpHead("POST", target, "");
  head.resize(head.size() - 2);
  return {head, "Header-Field: " + std::string(1000, 'v') + "\r\n", bytes};
}

/// As many header fields as fit, each as short as can be, and a body that never comes.
inline Misbehaviour manyShortHeaders(std::string_view target, std::size_t headerBytes) {
  std::string fields;
  while (fields.size() < headerBytes) fields += "a:\r\n";
  return {httpHead("POST", target, fields + "Content-Length: 10\r\n"), {}, 0};
}

/// A body within the limit that becomes many times larger once it is read as JSON.
inline Misbehaviour bodyOfEmptyObjects(std::string_view target, std::size_t bytes, std::string_view method = "POST") {
  std::string body = "[{}";
  while (body.size() + 4 < bytes) body += ",{}";
  body += "]";
  return {httpHead(method, target, "Content-Length: " + std::to_string(body.size()) + "\r\n") + body, {}, 0};
}

/// Requests behind one another whose answers are never read.
inline Misbehaviour answersNeverRead(std::string_view target, std::size_t bytes) {
  return {{}, httpHead("GET", target, ""), bytes, false};
}

inline Misbehaviour halfARequestBehindAWholeOne(std::string_view target) {
  return {httpHead("GET", target, "") + "POST / HTTP/1.1\r\nContent-Le", {}, 0};
}

/// One request after another on the same connection, for as long as it is open.
inline Misbehaviour requestsUntilClosed(std::string_view target) {
  constexpr std::size_t kWithoutEnd = std::size_t{1} << 40;
  return {{}, httpHead("GET", target, ""), kWithoutEnd, true, true};
}

inline Misbehaviour silence() { return {}; }

/// The four bytes of a frame's length, in front of what it holds.
inline std::string frameLength(std::uint32_t size) {
  std::string bytes;
  for (int shift = 24; shift >= 0; shift -= 8) bytes.push_back(static_cast<char>((size >> shift) & 0xff));
  return bytes;
}

inline Misbehaviour frameAnnounced(std::uint32_t size, std::size_t sent) {
  return {frameLength(size), std::string(1024, 'f'), sent};
}

/// A whole frame of one list with as many elements as it has bytes.
inline Misbehaviour frameOfManyElements(std::uint32_t size) {
  constexpr char kList32 = static_cast<char>(0xdd);
  constexpr char kEmptyList = static_cast<char>(0x90);
  const std::uint32_t elements = size - 5;
  std::string frame = frameLength(size) + kList32 + frameLength(elements);
  frame.append(elements, kEmptyList);
  return {frame, {}, 0};
}

}  // namespace misbehaviour

class MisbehavingClients {
 public:
  MisbehavingClients() : work_(boost::asio::make_work_guard(context_)), thread_([this] { context_.run(); }) {}

  ~MisbehavingClients() {
    context_.stop();
    thread_.join();
  }
  MisbehavingClients(const MisbehavingClients&) = delete;
  MisbehavingClients& operator=(const MisbehavingClients&) = delete;

  void add(const Address& to, const Misbehaviour& misbehaviour, int count) {
    for (int i = 0; i < count; ++i) {
      auto client = std::make_shared<Client>(context_, *this, misbehaviour);
      added_ += 1;
      boost::asio::post(context_, [client, to] { client->connect(to); });
    }
  }

  /// Clients that have sent everything, or can't send more.
  int finished() const { return finished_; }
  int added() const { return added_; }
  /// What all of them have sent so far; it stands still once each has finished or is held up.
  std::uint64_t sentBytes() const { return sentBytes_; }

 private:
  struct Client : std::enable_shared_from_this<Client> {
    Client(boost::asio::io_context& context, MisbehavingClients& all, Misbehaviour what)
        : owner(all), socket(context), misbehaviour(std::move(what)) {}

    void connect(const Address& to) {
      constexpr int kSmallWindow = 4096;
      socket.open(boost::asio::ip::tcp::v4());
      if (!misbehaviour.readsAnswers) socket.set_option(boost::asio::socket_base::receive_buffer_size(kSmallWindow));
      socket.async_connect(transport::endpointOf(to), [self = shared_from_this()](boost::system::error_code failed) {
        if (failed) return self->finish();
        if (self->misbehaviour.readsAnswers) self->read();
        self->send(self->misbehaviour.opening);
      });
    }

    void send(const std::string& text) {
      boost::asio::async_write(socket, boost::asio::buffer(text),
                               [self = shared_from_this()](boost::system::error_code failed, std::size_t size) {
                                 self->owner.sentBytes_ += size;
                                 if (failed) return self->finish();
                                 if (self->opened) self->repeated += size;
                                 self->opened = true;
                                 if (self->repeated >= self->misbehaviour.repeatedBytes) return self->finish();
                                 if (!self->misbehaviour.waitsForAnswers || self->repeated == 0)
                                   self->send(self->misbehaviour.repeated);
                               });
    }

    void read() {
      socket.async_read_some(boost::asio::buffer(scrap),
                             [self = shared_from_this()](boost::system::error_code failed, std::size_t) {
                               const bool goesOn = self->misbehaviour.waitsForAnswers && self->repeated > 0;
                               if (failed) return goesOn ? self->finish() : void();
                               self->read();
                               if (goesOn) self->send(self->misbehaviour.repeated);
                             });
    }

    /// The connection stays open until the owner goes.
    void finish() {
      ++owner.finished_;
      owner.held_.push_back(shared_from_this());
    }

    MisbehavingClients& owner;
    boost::asio::ip::tcp::socket socket;
    Misbehaviour misbehaviour;
    std::array<char, 4096> scrap{};
    std::size_t repeated = 0;
    bool opened = false;
  };

  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  std::vector<std::shared_ptr<Client>> held_;
  std::atomic<int> added_{0}, finished_{0};
  std::atomic<std::uint64_t> sentBytes_{0};
  std::thread thread_;  // last: it uses all of the above
};

}  // namespace tulip::fixture
