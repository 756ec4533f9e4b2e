#pragma once

/// One TCP connection between two nodes, as a stream of frames. Does not know the identity of the
/// peer.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/address.h"
#include "core/time.h"
#include "runtime/link_writer.h"
#include "runtime/peer_frame.h"

namespace coursepond::runtime {

/// Why a connection ended without a call to close().
enum class ConnectionEnd {
  kClosed,     ///< The peer closed the connection, or the network failed.
  kTruncated,  ///< Like kClosed, but in the middle of a frame.
  kOversized,  ///< A frame larger than the limit was announced.
};

class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
 public:
  /// Called from the io_context, never from inside a call to the connection. Nothing is called
  /// after close() or onEnd().
  struct Events {
    std::function<void(std::string_view payload)> onFrame;
    std::function<void()> onWritten;  ///< The bytes passed to write() were handed to the system.
    std::function<void(ConnectionEnd)> onEnd;
  };

  /// Takes a new or an accepted socket.
  PeerConnection(boost::asio::ip::tcp::socket socket, std::size_t frame_limit);

  void setEvents(Events events) { events_ = std::move(events); }

  /// Sends large output in turns of `link`, which must outlive the connection, and reports small
  /// output to it.
  void scheduleOutput(proxy::LinkScheduler& link) { link_ = &link; }

  /// Connects, then calls `done` with whether this succeeded. close() cancels the attempt.
  void connect(const Address& address, std::function<void(bool)> done);
  /// Starts to read frames.
  void start();

  /// Sends complete frames. Only one write may be in flight.
  void write(std::string frames);
  bool writing() const { return writing_; }
  /// Since when the write in flight has been waiting for the peer; the current time while it waits
  /// for a turn of the link.
  TimePoint writingSince() const { return awaits_turn_ ? BootClock::now() : writing_since_; }
  /// When bytes were last transferred in either direction.
  TimePoint lastActivity() const { return last_activity_; }

  /// Closes the connection; no further events follow.
  void close();
  bool open() const { return !closed_; }

 private:
  void writeInTurns(std::string frames);
  void writeSome();
  void onWroteSome(const boost::system::error_code& status, std::size_t size);
  void onWritten(const boost::system::error_code& status);
  void read();
  /// Delivers the received frames. Returns false when the connection has ended.
  bool deliverFrames();
  void end(ConnectionEnd reason);

  boost::asio::ip::tcp::socket socket_;
  FrameDecoder decoder_;
  Events events_;
  std::string output_;
  std::size_t written_bytes_ = 0;         ///< Number of bytes of `output_` that are written.
  proxy::LinkScheduler* link_ = nullptr;  ///< Null: output is not scheduled.
  std::shared_ptr<LinkWriter<boost::asio::ip::tcp::socket>> link_writer_;
  bool awaits_turn_ = false;
  bool writing_ = false;
  bool closed_ = false;
  TimePoint writing_since_{};
  TimePoint last_activity_;
};

}  // namespace coursepond::runtime
