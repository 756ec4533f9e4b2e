#pragma once

/// A node's part in keeping requests that crash servers away from them: notices when the own server
/// ends and under which requests, shares that with the other nodes, and logs what is concluded.

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

  /// `context`, `environment` and `ends` (of the own server) must outlive the watch.
  CrashWatch(boost::asio::io_context& context, const runtime::Settings& settings,
             Environment& environment, ingress::ServerEndWatch& ends, LogWriter log);

  /// For requests and gossip that begin from now on.
  void changeSettings(const runtime::Settings& settings) {
    gossip_.changeSettings(settings.suspect_gossip);
  }
  /// The machines that run a node, with `own` or without.
  void setMachines(const source::NodeMachine& own, std::span<const source::NodeMachine> machines);
  /// Answers another node's message.
  runtime::HttpResponse answer(const runtime::HttpRequest& request) {
    return answerSuspects(request, gossip_);
  }

  admission::CrashSuspects& suspects() { return suspects_; }
  const admission::SuspectGossip& gossip() const { return gossip_; }

 private:
  void onServerEnd(ServerEndId end, std::span<const RequestFingerprint> requests);

  Environment& environment_;
  ingress::ServerEndWatch& ends_;
  LogWriter log_;
  ServerPortProbe port_;
  admission::CrashSuspects suspects_;
  HttpSuspectPeers peers_;
  admission::SuspectGossip gossip_;
};

}  // namespace coursepond::node
