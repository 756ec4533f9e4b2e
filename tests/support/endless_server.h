#pragma once

/// A server that answers a request with bytes that never end.

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/address.h"

namespace coursepond::testing {

/// Sends `beginning` once and then `repeated` until the other side closes the connection.
struct EndlessAnswer {
  const char* name;
  std::string beginning;
  std::string repeated;
};

class EndlessServer {
 public:
  using Tcp = boost::asio::ip::tcp;

  EndlessServer(boost::asio::io_context& context, EndlessAnswer answer)
      : acceptor_(context, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        counts_(std::make_shared<Counts>()),
        beginning_(std::move(answer.beginning)) {
    while (block_.size() < kBlockBytes) block_ += answer.repeated;
    accept();
  }

  Address address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }
  /// Number of connections that are being answered.
  std::size_t open() const { return counts_->open; }
  std::size_t accepted() const { return counts_->accepted; }
  std::uint64_t sentBytes() const { return counts_->sent_bytes; }

 private:
  static constexpr std::size_t kBlockBytes = std::size_t{16} * 1024;

  struct Counts {
    std::size_t open = 0;
    std::size_t accepted = 0;
    std::uint64_t sent_bytes = 0;
  };

  struct Connection : std::enable_shared_from_this<Connection> {
    Connection(Tcp::socket socket_in, std::shared_ptr<Counts> counts_in, std::string beginning_in,
               std::string block_in)
        : socket(std::move(socket_in)),
          counts(std::move(counts_in)),
          beginning(std::move(beginning_in)),
          block(std::move(block_in)) {}

    void start() {
      socket.async_read_some(boost::asio::buffer(request),
                             [self = shared_from_this()](const auto& error, std::size_t) {
                               if (error) return;
                               ++self->counts->open;
                               self->send(self->beginning);
                             });
    }
    void send(const std::string& bytes) {
      boost::asio::async_write(socket, boost::asio::buffer(bytes),
                               [self = shared_from_this()](const auto& error, std::size_t size) {
                                 self->counts->sent_bytes += size;
                                 error ? static_cast<void>(--self->counts->open)
                                       : self->send(self->block);
                               });
    }

    Tcp::socket socket;
    std::shared_ptr<Counts> counts;
    std::string beginning;
    std::string block;
    std::array<char, 4096> request{};
  };

  void accept() {
    acceptor_.async_accept([this](const boost::system::error_code& error, Tcp::socket socket) {
      if (error) return;
      ++counts_->accepted;
      std::make_shared<Connection>(std::move(socket), counts_, beginning_, block_)->start();
      accept();
    });
  }

  Tcp::acceptor acceptor_;
  std::shared_ptr<Counts> counts_;
  std::string beginning_;
  std::string block_;
};

/// `fields` are those of a proper answer.
inline std::vector<EndlessAnswer> endlessHeads(const std::string& fields = "") {
  const std::string head = "HTTP/1.1 200 OK\r\n" + fields;
  return {
      {"fields", head, "X-A: b\r\n"},
      {"a field name", head, "X"},
      {"a field value", head + "X-A: ", "b"},
      {"folded lines", head + "X-A: b\r\n", " c\r\n"},
      {"empty lines before the status line", "", "\r\n"},
      {"bytes that are not HTTP", "", "?"},
      {"a reason phrase", "HTTP/1.1 200 O", "K"},
      {"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
  };
}

/// The same for answers whose head is whole.
inline std::vector<EndlessAnswer> endlessBodies(const std::string& fields = "") {
  const std::string head = "HTTP/1.1 200 OK\r\n" + fields;
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  return {
      {"a body without a length", head + "\r\n", "body "},
      {"chunks", chunked, "5\r\nbody \r\n"},
      {"a chunk size", chunked, "0"},
      {"a chunk extension", chunked + "5;", "e"},
      {"trailers", chunked + "5\r\nbody \r\n0\r\n", "X-A: b\r\n"},
  };
}

}  // namespace coursepond::testing
