#pragma once

/// HTTP server and client through which nodes exchange the state they have read from the source:
///   GET /v1/state/servers?era=ERA&after=REVISION&wait_ms=MS&fresh=1
///   GET /v1/state/configuration?era=ERA&after=REVISION&version=VERSION&wait_ms=MS&fresh=1
///     200 with a state update. If nothing changed during the wait, the update is empty and its
///         revision tells the requesting node up to where it is current. For the configuration,
///         State-Age-Ms says how long ago the source was known to have nothing newer; the header is
///         missing if the answering node does not know.
///     204 if the request does not wait and there is nothing newer.
///     503 if the node has no state and gets none soon, or if `fresh` is set and the node does not
///         read the source or is in an earlier era of it.

#include <boost/asio/io_context.hpp>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/address.h"
#include "core/environment.h"
#include "runtime/http_client.h"
#include "runtime/http_server.h"
#include "source/held_state.h"
#include "source/peer_reader.h"
#include "source/relay_client.h"

namespace coursepond::node {

class PeerStateServer {
 public:
  /// Returns whether this node's state of a topic is kept up to date with the source.
  using FreshnessCheck = std::function<bool(source::Topic topic)>;

  /// Fails with kUnavailable when the address cannot be bound. `held` and `environment` must
  /// outlive the server.
  static Result<std::unique_ptr<PeerStateServer>> create(boost::asio::io_context& context,
                                                         const Address& listen,
                                                         const source::HeldState& held,
                                                         Environment& environment,
                                                         FreshnessCheck is_fresh);
  ~PeerStateServer();
  Address address() const { return server_->address(); }
  /// Sends large answers in turns of `link`, which must outlive the server, before all others: many
  /// requests fail at a node that gets a version late.
  void scheduleOutput(proxy::LinkScheduler& link) {
    server_->scheduleOutput(link, TimePoint::min());
  }

  /// Adds a handler for another path. `path` must outlive the server.
  using Handler = std::function<runtime::HttpResponse(const runtime::HttpRequest&)>;
  void addHandler(std::string_view path, Handler handler) { handlers_[path] = std::move(handler); }
  /// Sets a callback for requests from nodes that have a newer configuration version than this
  /// node. It gets the host that the request came from.
  void onRequesterAhead(std::function<void(const std::string& host)> callback) {
    on_requester_ahead_ = std::move(callback);
  }
  /// Sets a callback for requests that were refused because this node does not read `topic` from
  /// the source: the requesting node expects it to.
  void onRefused(std::function<void(source::Topic topic)> callback) {
    on_refused_ = std::move(callback);
  }
  /// Sets the function that returns how long ago the source was known to have no newer
  /// configuration version than this node, or nothing if that is not known.
  void setVersionAgeSource(std::function<std::optional<Duration>()> callback) {
    version_age_ = std::move(callback);
  }
  /// Called when the source has confirmed that there is no newer version. Answers all pending
  /// configuration requests, so that the requesting nodes learn of it.
  void onVersionConfirmed();
  /// Called when the state of `topic` has changed. Answers the pending requests for it.
  void onStateChanged(source::Topic topic);
  /// Called when this node no longer reads `topic` from the source. Rejects the pending requests
  /// for it, so that the requesting nodes ask another peer.
  void rejectPending(source::Topic topic);

 private:
  struct PendingRequest {
    source::StateRequest question;
    runtime::HttpResponder responder;
    TimerId timer = 0;
  };
  using PendingList = std::list<PendingRequest>;
  /// Cache of the last encoded answer of a topic with the parameters it depends on. Most waiting
  /// nodes have the same state and get the same answer.
  struct EncodedAnswer {
    std::string bytes;
    SourceRevision requested_after;
    Version requested_version;
    std::uint64_t edition = 0;
  };

  PeerStateServer(const source::HeldState& held, Environment& environment, FreshnessCheck is_fresh)
      : held_(held), environment_(environment), is_fresh_(std::move(is_fresh)) {}
  void answer(const runtime::HttpRequest& request, runtime::HttpResponder responder);
  template <typename Condition>
  void answerPending(const Condition& should_answer);
  void wait(const source::StateRequest& question, runtime::HttpResponder responder);
  void waitForFirstState(const source::StateRequest& question, runtime::HttpResponder responder);
  void holdRequest(const source::StateRequest& question, runtime::HttpResponder responder,
                   Duration timeout, std::function<runtime::HttpResponse()> answer_on_timeout);
  bool hasState(source::Topic topic) const;
  bool satisfiesFreshness(const source::StateRequest& question) const;
  bool hasNewerState(const source::StateRequest& question) const;
  const std::string& encodedAnswer(const source::StateRequest& question);
  runtime::HttpResponse makeAnswer(const source::StateRequest& question);

  const source::HeldState& held_;
  Environment& environment_;
  FreshnessCheck is_fresh_;
  std::function<void(const std::string& host)> on_requester_ahead_;
  std::function<void(source::Topic topic)> on_refused_;
  std::function<std::optional<Duration>()> version_age_;
  std::map<std::string_view, Handler> handlers_;  ///< Keyed by path.
  PendingList pending_;
  EncodedAnswer servers_answer_;
  EncodedAnswer configuration_answer_;
  std::unique_ptr<runtime::HttpServer> server_;
};

class HttpPeerStateClient final : public source::PeerStateClient {
 public:
  /// `port` is the peer port, which is the same on all nodes. `settings` must outlive the client.
  HttpPeerStateClient(boost::asio::io_context& context, std::uint16_t port,
                      const source::RelaySettings& settings)
      : port_(port), settings_(settings), client_(context) {}
  void read(const std::string& host, const source::StateRequest& question, Duration timeout,
            source::PeerStateCallback callback) override {
    readWithProgress(host, question, timeout, nullptr, std::move(callback));
  }
  void readWithProgress(const std::string& host, const source::StateRequest& question,
                        Duration timeout, std::function<void()> on_begun,
                        source::PeerStateCallback callback) override;

 private:
  std::uint16_t port_;
  const source::RelaySettings& settings_;
  runtime::HttpClient client_;
};

}  // namespace coursepond::node
