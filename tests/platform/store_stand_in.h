#pragma once

/// A stand-in for the platform's store: items with revisions, ranges in pages, watches, and the
/// troubles a store can have. Serves on a free port of loopback unless told another address.

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"
#include "runtime/http_server.h"

namespace coursepond::platform {

/// How the store treats reads.
enum class StoreTrouble {
  kNone,
  kBusy,       ///< 503: nothing was done.
  kThrottled,  ///< 429.
  kSilent,     ///< No answer, the connection stays open.
  kReset,      ///< The connection ends without an answer.
  kGarbled,    ///< An answer that is no JSON.
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
  /// Null when there is no such item.
  const std::string* find(const std::string& key) const;
  std::vector<std::string> keys(std::string_view prefix) const;
  /// Writes a value that counts as no change: the revision stays and no watch hears of it.
  void touch(const std::string& key, const std::string& value);
  /// Forgets what changed so far: watches from before get 410.
  void forgetHistory();
  /// Watches that wait hear of no change while the store is silent; they go on after it.
  void setTrouble(StoreTrouble trouble);
  /// Ends the connections of the watches that wait.
  void cutWatches();
  /// What the store holds now, its history included.
  struct Copy;
  std::shared_ptr<const Copy> copy() const;
  /// Goes back to what it held then: what was written since is lost, and its revisions are given
  /// out again. Watches that wait are cut.
  void restore(const Copy& copy);
  std::uint64_t era() const { return era_; }
  /// Every answer is sent so much later.
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
    std::optional<std::string> value;  ///< Nothing: the item is gone.
  };
  /// A watch without an event to tell yet; answered without any when its wait is over.
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
  std::vector<Event> events_;
  std::vector<Watcher> watchers_;
  std::vector<runtime::HttpResponder> unanswered_;  ///< Kept, so that nobody gets an end.
  std::uint64_t revision_ = 0;
  std::uint64_t forgotten_ = 0;
  std::uint64_t era_ = 0;
  std::size_t page_size_ = 500;
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
