#pragma once

/// Simulated connection between a node and a back end: one request at a time.

#include <functional>
#include <memory>
#include <optional>

#include "core/ids.h"
#include "process_environment.h"
#include "proxy/request_flow.h"
#include "request_checks.h"

namespace coursepond::simulation {

/// An event that a back end sends on a connection.
struct ServerEvent {
  enum class Kind { kHead, kChunk, kEnd, kClosed };
  Kind kind = Kind::kHead;
  RequestId answer_to;
  proxy::AnswerHead head;
  std::uint64_t sequence = 0;  ///< Number of the event on its connection, from 1.
};

/// State shared by both ends. The node's end has a handler while a request is in progress.
struct UpstreamConnection {
  UpstreamConnection(ProcessEnvironment::Mailbox mailbox, NodeId node_id, ZoneId zone)
      : node_mailbox(std::move(mailbox)), node(std::move(node_id)), node_zone(std::move(zone)) {}

  ProcessEnvironment::Mailbox node_mailbox;
  NodeId node;
  ZoneId node_zone;
  bool open_at_node = true;    ///< The node still reads from the connection.
  bool open_at_server = true;  ///< The server has not closed it.
  std::function<void(const ServerEvent&)> handler;
  std::uint64_t events_sent = 0;
  std::uint64_t events_received = 0;  ///< A gap stalls the connection, like lost bytes.
};

using UpstreamConnectionPointer = std::shared_ptr<UpstreamConnection>;

/// One request as it arrives at a back end.
struct ServerRequest {
  RequestId id;
  TimePoint deadline;  ///< On the virtual clock.
  UpstreamConnectionPointer connection;
  TimePoint sent;  ///< When the caller sent it.
};

}  // namespace coursepond::simulation
