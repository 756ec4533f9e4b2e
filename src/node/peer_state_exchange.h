#pragma once

/// Tells other nodes what this one holds of the source, and asks them, over HTTP:
///   GET /v1/state/servers?era=ERA&after=REVISION&wait_ms=MS&fresh=1
///   GET /v1/state/configuration?era=ERA&after=REVISION&version=VERSION&wait_ms=MS&fresh=1
///     200 with a state update, without changes when there were none before the wait was over: the
///         asker then knows that it is current up to the update's revision;
///         An answer on the configuration names in State-Age-Ms how long ago the source
///         had nothing newer; without the header the one asked does not know.
///     204 to a question that does not wait, when nothing newer is known;
///     503 when nothing is known soon, or `fresh` is asked of a node that does not read the source
///         or is in an earlier era of it.

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
  /// Whether what is held of a topic is as new as the source's own.
  using FreshnessCheck = std::function<bool(source::Topic topic)>;

  /// kUnavailable when the address cannot be bound. `held` and `environment` must outlive it.
  static Result<std::unique_ptr<PeerStateServer>> create(boost::asio::io_context& context,
                                                         const Address& listen,
                                                         const source::HeldState& held,
                                                         Environment& environment,
                                                         FreshnessCheck is_fresh);
  ~PeerStateServer();
  Address address() const { return server_->address(); }

  /// Answers questions on another path, which must outlive the server.
  using Answerer = std::function<runtime::HttpResponse(const runtime::HttpRequest&)>;
  void serve(std::string_view path, Answerer answerer) { others_[path] = std::move(answerer); }
  /// Called when a node asks that holds a newer version than this one, with the host it asks from.
  void onAskerAhead(std::function<void(const std::string& host)> callback) {
    on_asker_ahead_ = std::move(callback);
  }
  /// How long ago the source had no newer version than the one held; none: not known.
  void onVersionAgeWanted(std::function<std::optional<Duration>()> callback) {
    version_age_ = std::move(callback);
  }
  /// The source was heard to have no newer version: who waits for one here is told so.
  void onVersionConfirmed();
  /// What is held of `topic` changed: answers who waits for it.
  void onNews(source::Topic topic);
  /// This node no longer reads `topic` from the source: who waits for it here shall ask another.
  void dismissWaiting(source::Topic topic);

 private:
  struct Waiting {
    source::PeerQuestion question;
    runtime::HttpResponder responder;
    TimerId timer = 0;
  };
  using WaitingList = std::list<Waiting>;
  /// The last answer of a topic and what it is for: most nodes that wait hold the same.
  struct EncodedAnswer {
    std::string bytes;
    SourceRevision asked_after;
    Version asked_version;
    std::uint64_t edition = 0;
  };

  PeerStateServer(const source::HeldState& held, Environment& environment, FreshnessCheck is_fresh)
      : held_(held), environment_(environment), is_fresh_(std::move(is_fresh)) {}
  void answer(const runtime::HttpRequest& request, runtime::HttpResponder responder);
  template <typename Condition>
  void answerWaiting(const Condition& is_answered);
  void wait(const source::PeerQuestion& question, runtime::HttpResponder responder);
  void waitForFirst(const source::PeerQuestion& question, runtime::HttpResponder responder);
  void keepWaiting(const source::PeerQuestion& question, runtime::HttpResponder responder,
                   Duration longest, std::function<runtime::HttpResponse()> answer_at_end);
  bool knows(source::Topic topic) const;
  bool isFitFor(const source::PeerQuestion& question) const;
  bool hasNews(const source::PeerQuestion& question) const;
  const std::string& encodedAnswer(const source::PeerQuestion& question);
  runtime::HttpResponse makeAnswer(const source::PeerQuestion& question);

  const source::HeldState& held_;
  Environment& environment_;
  FreshnessCheck is_fresh_;
  std::function<void(const std::string& host)> on_asker_ahead_;
  std::function<std::optional<Duration>()> version_age_;
  std::map<std::string_view, Answerer> others_;  ///< By path.
  WaitingList waiting_;
  EncodedAnswer servers_answer_;
  EncodedAnswer configuration_answer_;
  std::unique_ptr<runtime::HttpServer> server_;
};

class HttpPeerStateClient final : public source::PeerStateClient {
 public:
  /// Every node listens for its peers on `port`. `settings` must outlive the client.
  HttpPeerStateClient(boost::asio::io_context& context, std::uint16_t port,
                      const source::RelaySettings& settings)
      : port_(port), settings_(settings), client_(context) {}
  void read(const std::string& host, const source::PeerQuestion& question, Duration timeout,
            source::PeerStateCallback callback) override;

 private:
  std::uint16_t port_;
  const source::RelaySettings& settings_;
  runtime::HttpClient client_;
};

}  // namespace coursepond::node
