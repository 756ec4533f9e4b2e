#pragma once

/// TCP types bound to the io_context executor. The default executor type of Asio's sockets is
/// type-erased and costs several indirect calls per operation, which is noticeable on the data
/// path.

#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace coursepond::runtime {

using IoExecutor = boost::asio::io_context::executor_type;
using TcpSocket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, IoExecutor>;
using TcpAcceptor = boost::asio::basic_socket_acceptor<boost::asio::ip::tcp, IoExecutor>;

}  // namespace coursepond::runtime
