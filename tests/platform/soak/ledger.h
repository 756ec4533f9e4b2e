#pragma once

/// What clients and back ends saw of each request.

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/time.h"

namespace coursepond::soak {

/// How a request ended for its client.
enum class RequestEnd {
  kOpen,      ///< Not yet, or the soak ended first.
  kAnswered,  ///< A whole answer.
  kCut,       ///< The connection ended without a whole answer.
  kUnread,    ///< Sent behind an answer that closed the connection: counts as not read.
  kGivenUp,   ///< The client left: far beyond the deadline, or on purpose.
};

/// How the server spoils the answer of a request's first run.
enum class Spoil {
  kNone,
  kCut,      ///< The connection ends without an answer.
  kHalf,     ///< It ends within the body.
  kFailure,  ///< The server's own 500.
};

/// One start of work at a back end.
struct Run {
  std::string instance;
  std::string machine;
  TimePoint started;
  TimePoint ended;       ///< The clock's zero while it runs.
  bool was_cut = false;  ///< The back end crashed, or the connection to it ended.
};

struct Request {
  std::string id;
  std::string machine;  ///< Whose node it was sent to.
  std::size_t route = 0;
  std::string target;
  std::uint32_t node_life = 0;  ///< Of the process that it was sent to, from 1.
  bool is_repeatable = true;
  bool was_behind = false;  ///< Sent while others on its connection had no answer yet.
  Spoil spoil = Spoil::kNone;
  std::uint64_t crasher = 0;  ///< The number of a request that crashes servers; zero: it does not.
  bool left_early = false;    ///< The client left on purpose.
  std::size_t answer_bytes = 0;
  std::size_t body_bytes = 0;
  TimePoint sent;
  TimePoint ended;
  Duration deadline{};
  RequestEnd end = RequestEnd::kOpen;
  int status = 0;
  bool is_servers_own = false;  ///< The answer has a server's signature.
  std::string fault;            ///< What is wrong with the answer itself, found as it came.
  std::vector<Run> runs;
};

class Ledger {
 public:
  /// The pointer stays good for the life of the ledger.
  Request* open(Request request);
  /// Nothing when no client sent that id.
  Request* find(const std::string& id);

  const std::unordered_map<std::string, Request>& all() const { return requests_; }

 private:
  std::unordered_map<std::string, Request> requests_;
};

inline Request* Ledger::open(Request request) {
  const std::string id = request.id;
  return &requests_.insert_or_assign(id, std::move(request)).first->second;
}

inline Request* Ledger::find(const std::string& id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

}  // namespace coursepond::soak
