#pragma once

/// A stand-in for the platform's store: items with revisions, ranges in pages, watches, and
/// failures of a store. Serves on a free loopback port unless another address is given.

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"
#include "runtime/http_server.h"

namespace coursepond::platform {

/// The failure that the store shows to reads.
enum class StoreTrouble {
  kNone,
  kBusy,       ///< Answers 503: the read was not executed.
  kThrottled,  ///< Answers 429.
  kSilent,     ///< Does not answer and keeps the connection open.
  kReset,      ///< Closes the connection without an answer.
  kGarbled,    ///< Answers with invalid JSON.
};

class StoreStandIn {
 public:
  /// Throws std::runtime_error when `listen` cannot be bound.
  explicit StoreStandIn(boost::asio::io_context& context,
                        const Address& listen = Address{"127.0.0.1", 0});

  Address address() const { return server_->address(); }

  void put(const std::string& key, const std::string& value);
  void remove(const std::string& key);
  bool holds(const std::string& key) const { return items_.contains(key); }
  /// Returns null if there is no such item.
  const std::string* find(const std::string& key) const;
  std::vector<std::string> keys(std::string_view prefix) const;
  /// Writes a value without a change: the revision stays, and watches do not return it.
  void touch(const std::string& key, const std::string& value);
  /// Leaves out the key of this item in lists.
  void hideKey(const std::string& key) { hidden_keys_.insert(key); }
  /// Begins every page of a list at the first key.
  void ignoreAfter() { ignores_after_ = true; }
  /// Drops the history of changes: watches from earlier revisions are answered with 410.
  void forgetHistory();
  /// Pending watches are not answered while the store is silent, and continue afterwards.
  void setTrouble(StoreTrouble trouble);
  /// Closes the connections of pending watches.
  void cutWatches();
  /// The contents of the store, its history included.
  struct Copy;
  std::shared_ptr<const Copy> copy() const;
  /// Restores the contents from `copy` and starts a new era. Later writes are lost, and their
  /// revision numbers are used again. Closes the connections of pending watches.
  void restore(const Copy& copy);
  std::uint64_t era() const { return era_; }
  /// Sets the delay of every answer.
  void setDelay(Duration delay) { delay_ = delay; }
  void setPageSize(std::size_t items) { page_size_ = items; }

  std::uint64_t revision() const { return revision_; }
  std::size_t reads() const { return reads_; }

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
  };
  struct Event {
    std::string key;
    std::uint64_t revision = 0;
    std::optional<std::string> value;  ///< None if the item was removed.
  };
  /// A pending watch without an event so far. Answered without events when its wait is over.
  struct Watcher {
    std::uint64_t after = 0;
    std::string prefix;
    runtime::HttpResponder responder;
    std::shared_ptr<boost::asio::steady_timer> timer;
  };

  void answer(const runtime::HttpResponder& responder, int status, std::string body) const;
  void serve(const runtime::HttpRequest& request, const runtime::HttpResponder& responder);
  void serveRange(std::string_view target, const runtime::HttpResponder& responder);
  void serveWatch(std::string_view target, const runtime::HttpResponder& responder);
  void serveNow(const std::string& target, const runtime::HttpResponder& responder);
  void record(Event event);
  void answerWatchers();
  void onWaitOver(const std::shared_ptr<boost::asio::steady_timer>& timer);
  bool hasEventAfter(std::uint64_t revision, std::string_view prefix) const;
  std::string eventsAfter(std::uint64_t revision, std::string_view prefix) const;

  boost::asio::io_context& context_;
  std::map<std::string, Item> items_;
  std::set<std::string> hidden_keys_;
  std::vector<Event> events_;
  std::vector<Watcher> watchers_;
  std::vector<runtime::HttpResponder> unanswered_;  ///< Kept, so that their connections stay open.
  std::uint64_t revision_ = 0;
  std::uint64_t forgotten_ = 0;
  std::uint64_t era_ = 0;
  std::size_t page_size_ = 500;
  bool ignores_after_ = false;
  std::size_t reads_ = 0;
  StoreTrouble trouble_ = StoreTrouble::kNone;
  Duration delay_{};
  std::unique_ptr<runtime::HttpServer> server_;
};

struct StoreStandIn::Copy {
  std::map<std::string, Item> items;
  std::vector<Event> events;
  std::uint64_t revision = 0;
  std::uint64_t forgotten = 0;
};

}  // namespace coursepond::platform
