#pragma once

/// Protects servers from requests that crash them: detects when the local server ends and which
/// requests it was running, shares these observations with the other nodes, and logs which requests
/// become suspects or are cleared.

#include <boost/asio/io_context.hpp>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "admission/crash_suspects.h"
#include "admission/suspect_gossip.h"
#include "core/environment.h"
#include "ingress/server_end_watch.h"
#include "node/server_port_probe.h"
#include "node/suspect_exchange.h"
#include "runtime/http_message.h"
#include "runtime/log_line.h"
#include "runtime/settings.h"
#include "source/reader_choice.h"

namespace coursepond::node {

class CrashWatch {
 public:
  using LogWriter =
      std::function<void(std::string_view event, std::vector<runtime::LogField> fields)>;

  /// `context`, `environment` and `ends` (those of the local server) must outlive the watch.
  CrashWatch(boost::asio::io_context& context, const runtime::Settings& settings,
             Environment& environment, ingress::ServerEndWatch& ends, LogWriter log);

  /// Applies to requests and gossip rounds that start after the call.
  void changeSettings(const runtime::Settings& settings) {
    gossip_.changeSettings(settings.suspect_gossip);
  }
  /// Sets the machines that run a node; `machines` may or may not include `own`.
  void setMachines(const source::NodeMachine& own, std::span<const source::NodeMachine> machines);
  /// Handles a gossip message from another node and returns the reply.
  runtime::HttpResponse answer(const runtime::HttpRequest& request) {
    return answerSuspects(request, gossip_);
  }

  admission::CrashSuspects& suspects() { return suspects_; }
  const admission::SuspectGossip& gossip() const { return gossip_; }

 private:
  void onServerEnd(ServerEndId end, std::span<const RequestFingerprints> requests);

  Environment& environment_;
  ingress::ServerEndWatch& ends_;
  LogWriter log_;
  ServerPortProbe port_;
  admission::CrashSuspects suspects_;
  HttpSuspectPeers peers_;
  admission::SuspectGossip gossip_;
};

}  // namespace coursepond::node
