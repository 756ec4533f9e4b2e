#pragma once

/// The server of one machine: runs requests in slots, names its instance, refuses what is meant for
/// another one, signs its answers. Notes each run in the ledger.

#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "core/environment.h"
#include "ledger.h"
#include "runtime/http_server.h"

namespace coursepond::soak {

/// The signature of a server's answer to the request of that id.
std::string signatureOf(const std::string& request_id);

class BackEnd {
 public:
  /// Told of each request as it is read, except those that are meant for another instance.
  using ArrivalHandler = std::function<void(const std::string& request_id)>;

  /// Told that a request of that number crashed the server, which is to be ended then.
  using CrashHandler = std::function<void(std::uint64_t crasher)>;

  /// Listens at once; throws std::runtime_error when the address cannot be bound. All references
  /// must outlive it.
  BackEnd(boost::asio::io_context& context, Environment& environment, Ledger& ledger,
          std::string machine, std::string instance, const Address& listen,
          ArrivalHandler on_arrival, CrashHandler on_crash);
  /// Cuts what runs, as a crash does.
  ~BackEnd();
  BackEnd(const BackEnd&) = delete;
  BackEnd& operator=(const BackEnd&) = delete;

  const std::string& instance() const { return instance_; }
  std::size_t busy() const { return running_.size() + waiting_.size(); }
  /// Work takes so many times longer.
  void setSlowness(double factor) { slowness_ = factor; }
  static constexpr std::uint32_t kSlots = 12;

 private:
  struct Work;
  using WorkPointer = std::shared_ptr<Work>;

  void serve(const runtime::HttpRequest& request, const runtime::HttpResponder& responder);
  void refuse(const Work& work, int status) const;
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
  double slowness_ = 1.0;
  std::set<WorkPointer> running_;
  std::deque<WorkPointer> waiting_;
  std::unique_ptr<runtime::HttpServer> server_;
};

}  // namespace coursepond::soak
