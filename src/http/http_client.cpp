#include <boost/beast/core.hpp>

#include "http/http.hpp"
#include "transport/wire.hpp"

// The client side: one call, one connection, one answer.
namespace tulip::http {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace beast_http = boost::beast::http;

namespace {

constexpr std::size_t kMostUnparsedBytes = 16384;

struct Outgoing : std::enable_shared_from_this<Outgoing> {
  Outgoing(asio::io_context& context, CallOut out, std::function<void(CallReply)> finished)
      : stream(context), call(std::move(out)), done(std::move(finished)) {}

  void run() {
    stream.expires_after(std::chrono::milliseconds(std::max<Millis>(1, call.deadlineMs)));
    stream.async_connect(transport::endpointOf(call.to), [self = shared_from_this()](beast::error_code failed) {
      if (failed) return self->finish();
      self->reply.reached = true;
      self->request = {beast_http::string_to_verb(self->call.method), self->call.target, 11};
      self->request.set(beast_http::field::host, self->call.to.value);
      self->request.set(beast_http::field::content_type, "application/json");
      self->request.keep_alive(false);
      for (const auto& [name, value] : self->call.headers) self->request.set(name, value);
      self->request.body() = std::move(self->call.body);
      self->request.prepare_payload();
      self->reply.sent = true;
      beast_http::async_write(self->stream, self->request, [self](beast::error_code lost, std::size_t) {
        if (lost) return self->finish();
        self->parser.body_limit(self->call.mostReplyBytes);
        beast_http::async_read(self->stream, self->buffer, self->parser, [self](beast::error_code gone, std::size_t) {
          if (!gone) {
            auto& got = self->parser.get();
            self->reply.status = static_cast<int>(got.result_int());
            self->reply.body = got.body();
            if (auto ms = got.find("X-Tulippitch-Retry-Ms"); ms != got.end())
              self->reply.retryAfterMs = std::atoll(std::string(ms->value()).c_str());
          }
          self->finish();
        });
      });
    });
  }

  void finish() {
    beast::error_code ignored;
    stream.socket().close(ignored);
    auto call_done = std::move(done);
    done = nullptr;
    if (call_done) call_done(std::move(reply));
  }

  beast::tcp_stream stream;
  CallOut call;
  std::function<void(CallReply)> done;
  beast_http::request<beast_http::string_body> request;
  beast_http::response_parser<beast_http::string_body> parser;
  beast::flat_buffer buffer{kMostUnparsedBytes};
  CallReply reply;
};

}  // namespace

void callHttp(asio::io_context& context, CallOut call, std::function<void(CallReply)> done) {
  std::make_shared<Outgoing>(context, std::move(call), std::move(done))->run();
}

CallReply callNow(CallOut call) {
  asio::io_context context;
  CallReply reply;
  callHttp(context, std::move(call), [&](CallReply got) { reply = std::move(got); });
  context.run();
  return reply;
}

}  // namespace tulip::http
