#pragma once

/// A mesh of nodes that read a source through each other, in virtual time: the decisions of each
/// node are the product's; the source, the network and the peer server are stand-ins.

#include <algorithm>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "source/held_state.h"
#include "source/reader_choice.h"
#include "source/relay_client.h"
#include "source/watch_loop.h"
#include "support/virtual_environment.h"

namespace coursepond::testing {

class SourceMesh {
 public:
  struct Times {
    source::RelaySettings relay;
    source::WatchSettings watch;
  };

  /// Whether nodes that are no standbys read the source by chance while all others fail them.
  enum class Fallback { kNone, kByChance };

  SourceMesh(std::size_t nodes, const Times& times, std::uint64_t seed,
             Fallback fallback = Fallback::kNone)
      : times_(times),
        counted_nodes_(fallback == Fallback::kByChance ? nodes : kNodesWithoutFallback),
        environment_(seed) {
    std::vector<source::NodeMachine> machines;
    for (std::size_t number = 0; number < nodes; ++number) {
      machines.push_back(
          {"10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250),
           ZoneId("z" + std::to_string(number % 4))});
    }
    publishVersion();
    publishServers();
    plan_ = source::planReaders(machines, {});
    for (const source::NodeMachine& machine : machines)
      nodes_[machine.host] = std::make_unique<Node>(*this, machine);
  }

  source::ReaderPlan plan() const { return plan_; }
  std::size_t sourceReads() const { return source_reads_; }
  std::size_t peerReads() const { return peer_reads_; }
  void advance(Duration span) { environment_.advance(span); }
  Duration randomBelow(Duration bound) {
    return Duration(
        static_cast<Duration::rep>(environment_.random(static_cast<std::uint64_t>(bound.count()))));
  }

  void publishVersion() {
    ++revision_;
    version_ = Version(version_.value() + 1);
    answerWatches();
  }
  /// Changes the entry of a server.
  void publishServers() {
    ++revision_;
    servers_revision_ = revision_;
    answerWatches();
  }

  /// A silent node neither answers nor gets answers.
  void silence(const std::string& host) { silent_.insert(host); }
  void silence(const std::vector<source::NodeMachine>& machines) {
    for (const source::NodeMachine& machine : machines) silence(machine.host);
  }
  void wakeAll() { silent_.clear(); }
  /// The source does not answer the reads of `host`.
  void cutFromSource(const std::string& host) { cut_.insert(host); }
  void restoreSource() { cut_.clear(); }
  void cutAllFromSource() {
    for (const auto& [host, node] : nodes_) cut_.insert(host);
  }

  /// Return how many of the nodes that answer and reach the source lack the newest version, or the
  /// newest servers.
  std::size_t nodesWithoutVersion() const {
    return count([this](const Node& node) { return node.held.version() < version_; });
  }
  std::size_t nodesWithoutServers() const {
    return count([this](const Node& node) {
      return node.held.revision(source::Topic::kServers).number < Generation(servers_revision_);
    });
  }

 private:
  static constexpr Duration kSourceDelay = std::chrono::milliseconds(4);
  static constexpr Duration kPeerDelay = std::chrono::milliseconds(3);

  struct Watch {
    std::string host;
    source::Topic topic{};
    Generation after;
    source::WatchCallback callback;
    TimerId timer = 0;
  };

  class SourceStub final : public source::WatchClient {
   public:
    SourceStub(SourceMesh& mesh, std::string host, source::Topic topic)
        : mesh_(mesh), host_(std::move(host)), topic_(topic) {}
    void list(Duration timeout, source::WatchCallback callback) override {
      mesh_.readSource({host_, topic_, Generation(), std::move(callback)}, Duration(0), timeout);
    }
    void watch(SourceRevision after, Duration wait, Duration timeout,
               source::WatchCallback callback) override {
      mesh_.readSource({host_, topic_, after.number, std::move(callback)}, wait, timeout);
    }

   private:
    SourceMesh& mesh_;
    const std::string host_;
    const source::Topic topic_;
  };

  struct Node;

  class PeerStub final : public source::PeerStateClient {
   public:
    PeerStub(SourceMesh& mesh, std::string host) : mesh_(mesh), host_(std::move(host)) {}
    void read(const std::string& host, const source::StateRequest& question, Duration timeout,
              source::PeerStateCallback callback) override {
      mesh_.askPeer(host_, host, question, timeout, std::move(callback));
    }

   private:
    SourceMesh& mesh_;
    const std::string host_;
  };

  /// A request that waits at a node for a change.
  struct Held {
    source::StateRequest question;
    std::function<void(Result<std::optional<source::StateUpdate>>)> respond;
    TimerId timer = 0;
  };

  struct TopicReader {
    TopicReader(SourceMesh& mesh, Node& node, source::Topic topic)
        : client(mesh, node.machine.host, topic),
          relay(mesh.times_.relay, topic, client, node.peers, node.held, mesh.environment_),
          watch(
              mesh.times_.watch, relay, mesh.environment_,
              [&node, topic](const source::WatchBatch& batch, bool is_complete) {
                node.onBatch(topic, batch, is_complete);
              },
              [&node](const Error&) { node.configuration->watch.start(); }) {
      relay.onFreshnessLost([&node, topic] { node.onFreshnessLost(topic); });
    }
    SourceStub client;
    source::RelayClient relay;
    source::WatchLoop watch;
  };

  struct Node {
    Node(SourceMesh& in, source::NodeMachine at) : mesh(in), machine(at), peers(in, at.host) {
      servers = std::make_unique<TopicReader>(in, *this, source::Topic::kServers);
      configuration = std::make_unique<TopicReader>(in, *this, source::Topic::kConfiguration);
      const auto silent = std::make_shared<source::SilentParents>(in.environment_);
      const source::ReaderRole role = in.plan_.roleOf(machine);
      for (TopicReader* reader : {servers.get(), configuration.get()}) {
        reader->relay.shareSilentParents(silent);
        reader->relay.setParents(source::pathOrder(machine, in.plan_), role, in.counted_nodes_);
        reader->relay.setStandby(in.plan_.isStandby(machine));
      }
      in.environment_.schedule(in.randomBelow(std::chrono::milliseconds(300)),
                               [this] { servers->watch.start(); });
    }

    TopicReader& reader(source::Topic topic) {
      return topic == source::Topic::kServers ? *servers : *configuration;
    }
    bool isFresh(source::Topic topic) const {
      return servers->relay.isFresh() &&
             (topic == source::Topic::kServers || configuration->relay.isFresh());
    }
    bool hasNewer(const source::StateRequest& question) const {
      return question.topic == source::Topic::kServers
                 ? held.hasServersSince(question.after)
                 : held.hasConfigurationSince(question.version, question.after);
    }
    source::StateUpdate answer(const source::StateRequest& question) const {
      return question.topic == source::Topic::kServers ? held.serversSince(question.after)
                                                       : held.configurationSince(question.version);
    }
    void onBatch(source::Topic topic, const source::WatchBatch& batch, bool is_complete) {
      if (topic == source::Topic::kServers) held.updateServers(batch, is_complete);
      if (topic == source::Topic::kConfiguration) held.updateConfiguration(batch);
      respondIf([&](const source::StateRequest& question) {
        return question.topic == topic && hasNewer(question);
      });
      configuration->watch.start();
    }
    void onFreshnessLost(source::Topic topic) {
      respondIf([topic](const source::StateRequest& question) {
        return question.topic == source::Topic::kConfiguration || question.topic == topic;
      });
    }
    /// Answers the held requests, with a refusal where this node is no longer fresh.
    template <typename Condition>
    void respondIf(const Condition& condition) {
      for (auto request = requests.begin(); request != requests.end();) {
        if (!condition(request->question)) {
          ++request;
          continue;
        }
        mesh.environment_.cancel(request->timer);
        const Held answered = std::move(*request);
        request = requests.erase(request);
        respond(answered);
      }
    }
    void respond(const Held& request) {
      if (!isFresh(request.question.topic)) return request.respond(refusal());
      request.respond(std::optional(answer(request.question)));
    }
    void onRequest(Held request) {
      const bool has_state = held.revision(request.question.topic) != SourceRevision();
      if (!has_state || !isFresh(request.question.topic)) {
        request.respond(refusal());
        return reader(request.question.topic).relay.checkParents();
      }
      if (hasNewer(request.question)) return respond(request);
      if (request.question.wait == Duration(0))
        return request.respond(std::optional<source::StateUpdate>());
      requests.push_back(std::move(request));
      const auto entry = std::prev(requests.end());
      entry->timer = mesh.environment_.schedule(entry->question.wait, [this, entry] {
        const Held expired = std::move(*entry);
        requests.erase(entry);
        respond(expired);
      });
    }
    static Error refusal() { return {ErrorKind::kOverloaded, "not fresh", ""}; }

    SourceMesh& mesh;
    source::NodeMachine machine;
    source::HeldState held;
    PeerStub peers;
    std::list<Held> requests;
    std::unique_ptr<TopicReader> servers;
    std::unique_ptr<TopicReader> configuration;
  };

  /// Among so many nodes, practically none reads the source by chance.
  static constexpr std::size_t kNodesWithoutFallback = 1'000'000'000;

  template <typename Condition>
  std::size_t count(const Condition& condition) const {
    return static_cast<std::size_t>(
        std::count_if(nodes_.begin(), nodes_.end(), [&](const auto& item) {
          const bool is_calm = !silent_.contains(item.first) && !cut_.contains(item.first);
          return is_calm && condition(*item.second);
        }));
  }

  Generation revisionOf(source::Topic topic) const {
    return Generation(topic == source::Topic::kServers ? servers_revision_ : revision_);
  }
  source::WatchBatch batchFor(const Watch& read) const {
    source::WatchBatch batch;
    batch.revision = Generation(revision_);
    if (read.topic == source::Topic::kConfiguration && read.after < Generation(revision_)) {
      auto configuration = std::make_shared<model::Configuration>();
      configuration->version = version_;
      batch.configurations.push_back(std::move(configuration));
    }
    if (read.topic == source::Topic::kServers && read.after < Generation(servers_revision_)) {
      model::ServerEntry entry;
      entry.id = EndpointId("i-1");
      entry.revision = Generation(servers_revision_);
      batch.put(std::move(entry));
    }
    return batch;
  }

  void readSource(Watch read, Duration wait, Duration timeout) {
    ++source_reads_;
    const bool is_lost = silent_.contains(read.host) || cut_.contains(read.host);
    if (is_lost) {
      environment_.schedule(timeout, [callback = std::move(read.callback)] {
        callback(Error{ErrorKind::kTimeout, "no answer", ""});
      });
      return;
    }
    watches_.push_back(std::move(read));
    const auto entry = std::prev(watches_.end());
    const bool has_change = entry->after < revisionOf(entry->topic);
    entry->timer =
        environment_.schedule(has_change ? Duration(0) : wait, [this, entry] { answer(entry); });
  }
  void answer(std::list<Watch>::iterator entry) {
    Watch read = std::move(*entry);
    watches_.erase(entry);
    environment_.schedule(kSourceDelay, [this, read = std::move(read)] {
      const bool is_lost = silent_.contains(read.host) || cut_.contains(read.host);
      if (!is_lost) return read.callback(batchFor(read));
      environment_.schedule(times_.relay.source_slack, [callback = read.callback] {
        callback(Error{ErrorKind::kTimeout, "no answer", ""});
      });
    });
  }
  void answerWatches() {
    for (auto entry = watches_.begin(); entry != watches_.end();) {
      const auto current = entry++;
      if (current->after >= revisionOf(current->topic)) continue;
      environment_.cancel(current->timer);
      answer(current);
    }
  }

  void askPeer(const std::string& from, const std::string& to, const source::StateRequest& question,
               Duration timeout, source::PeerStateCallback callback) {
    ++peer_reads_;
    const auto pending = std::make_shared<source::PeerStateCallback>(std::move(callback));
    const TimerId timer = environment_.schedule(timeout, [pending] {
      const source::PeerStateCallback done = std::exchange(*pending, nullptr);
      done(Error{ErrorKind::kTimeout, "no answer", ""});
    });
    const auto respond = [this, from, to, pending,
                          timer](const Result<std::optional<source::StateUpdate>>& answer) {
      environment_.schedule(kPeerDelay, [this, from, to, pending, timer, answer] {
        if (!*pending || silent_.contains(from) || silent_.contains(to)) return;
        environment_.cancel(timer);
        const source::PeerStateCallback done = std::exchange(*pending, nullptr);
        done(answer);
      });
    };
    environment_.schedule(kPeerDelay, [this, from, to, question, respond] {
      if (silent_.contains(from) || silent_.contains(to)) return;
      nodes_.at(to)->onRequest({question, respond, 0});
    });
  }

  const Times times_;
  const std::size_t counted_nodes_;
  proxy::VirtualEnvironment environment_;
  source::ReaderPlan plan_;
  std::uint64_t revision_ = 1;
  std::uint64_t servers_revision_ = 1;
  Version version_;
  std::size_t source_reads_ = 0;
  std::size_t peer_reads_ = 0;
  std::list<Watch> watches_;
  std::set<std::string> silent_;
  std::set<std::string> cut_;
  std::map<std::string, std::unique_ptr<Node>> nodes_;
};

}  // namespace coursepond::testing
