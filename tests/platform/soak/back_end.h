#pragma once

/// The application server of one machine. It executes requests in a fixed number of slots, refuses
/// requests for another instance, signs its responses with its instance id, and records each
/// execution in the ledger.

#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "core/environment.h"
#include "ledger.h"
#include "runtime/http_server.h"

namespace coursepond::soak {

/// Returns the signature that a server puts on its response to the request with this id.
std::string signatureOf(const std::string& request_id);

class BackEnd {
 public:
  /// Called for each request that was read, except those for another instance.
  using ArrivalHandler = std::function<void(const std::string& request_id)>;

  /// Called when the crashing request with this number was executed. The owner then has to
  /// destroy the server.
  using CrashHandler = std::function<void(std::uint64_t crasher)>;

  /// Starts to listen. Throws std::runtime_error if the address cannot be bound. All references
  /// must outlive the server.
  BackEnd(boost::asio::io_context& context, Environment& environment, Ledger& ledger,
          std::string machine, std::string instance, const Address& listen,
          ArrivalHandler on_arrival, CrashHandler on_crash);
  /// Aborts all running requests, as a crash does.
  ~BackEnd();
  BackEnd(const BackEnd&) = delete;
  BackEnd& operator=(const BackEnd&) = delete;

  const std::string& instance() const { return instance_; }
  std::size_t busy() const { return running_.size() + waiting_.size(); }
  /// Multiplies the execution time of requests that start from now on.
  void setSlowdown(double factor) { slowdown_ = factor; }
  /// Sets the limit that its answers report from now on; empty: none.
  void setLimit(std::optional<double> per_second) { limit_ = per_second; }
  /// Makes its answers say from now on that it is leaving.
  void announceLeaving() { is_leaving_ = true; }
  static constexpr std::uint32_t kSlots = 12;

 private:
  struct Work;
  using WorkPointer = std::shared_ptr<Work>;

  void serve(const runtime::HttpRequest& request, const runtime::HttpResponder& responder);
  void refuse(const Work& work, int status) const;
  void addNotices(runtime::HttpResponse& response) const;
  void start(const WorkPointer& work);
  void finish(const WorkPointer& work);
  void answer(const Work& work) const;
  void drop(const WorkPointer& work);
  void startNext();
  void noteEnd(const Work& work, bool was_cut);

  Environment& environment_;
  Ledger& ledger_;
  std::string machine_;
  std::string instance_;
  ArrivalHandler on_arrival_;
  CrashHandler on_crash_;
  double slowdown_ = 1.0;
  std::optional<double> limit_;
  bool is_leaving_ = false;
  std::set<WorkPointer> running_;
  std::deque<WorkPointer> waiting_;
  std::unique_ptr<runtime::HttpServer> server_;
};

}  // namespace coursepond::soak
