#pragma once

/// Records what clients and back ends observed of each request.

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/time.h"

namespace coursepond::soak {

/// How a request ended from the point of view of its client.
enum class RequestEnd {
  kOpen,      ///< Pending, or still pending when the soak ended.
  kAnswered,  ///< A complete response arrived.
  kCut,       ///< The connection was closed before a complete response arrived.
  kUnread,    ///< Pipelined behind a response that closed the connection; counts as not read.
  kGivenUp,   ///< The client gave up, either long after the deadline or on purpose.
};

/// Fault that the server injects into the response of a request's first execution.
enum class AnswerFault {
  kNone,
  kCut,      ///< The connection is closed without a response.
  kHalf,     ///< The connection is closed within the body.
  kFailure,  ///< The server responds with 500.
};

/// One execution of a request by a back end.
struct Run {
  std::string instance;
  std::string machine;
  TimePoint started;
  TimePoint ended;       ///< TimePoint() while the request is being executed.
  bool was_cut = false;  ///< The back end crashed or the connection to it was closed.
};

struct Request {
  std::string id;
  std::string machine;  ///< Machine whose node it was sent to.
  std::size_t route = 0;
  std::string target;
  std::uint32_t node_incarnation = 0;  ///< Incarnation of the node process, from 1.
  bool is_repeatable = true;
  bool was_pipelined = false;  ///< Sent while other requests were pending on its connection.
  AnswerFault injected_fault = AnswerFault::kNone;
  std::uint64_t crasher = 0;  ///< Number of the crashing request; 0 if it does not crash servers.
  bool lacks_slash = false;   ///< Its path lacks the slash at the end of the prefix of `route`, so
                              ///< that it has no route.
  bool abandoned_early = false;  ///< The client gave it up before its timeout, on purpose or with
                                 ///< another request of its connection.
  std::size_t answer_bytes = 0;
  std::size_t body_bytes = 0;
  TimePoint sent;
  TimePoint ended;
  Duration deadline{};
  RequestEnd end = RequestEnd::kOpen;
  int status = 0;
  bool is_from_server = false;  ///< The response has the signature of a server.
  std::string answered_by;      ///< Instance that the response names.
  bool has_limit = false;       ///< The response reports a limit of its server.
  bool says_leaving = false;    ///< The response says that its server is leaving.
  std::string answer_error;     ///< What is wrong with the response itself; empty if correct.
  std::vector<Run> runs;
};

class Ledger {
 public:
  /// Adds a request. The pointer is valid for the lifetime of the ledger.
  Request* open(Request request);
  /// Returns nullptr if no client sent this id.
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
