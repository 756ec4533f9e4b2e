#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <utility>

#include "backend.h"
#include "http_server.h"
#include "programs.h"
#include "runtime/asio_environment.h"

namespace coursepond::standin {

namespace {

/// Options of the back end's process, other than its behaviour.
struct BackendProcessOptions {
  Address listen;
  std::size_t connection_limit = 0;
  Duration connection_delay{};
  Duration drain_time{};   ///< Minimum time to keep refusing work after a drain begins.
  Duration drain_limit{};  ///< Time after which a drain ends even with unfinished work.
  std::string journal_file;
};

/// Runs a Backend as a process, which exits when the back end has drained.
class BackendProcess {
 public:
  BackendProcess(BackendProcessOptions options, BackendOptions behaviour)
      : options_(std::move(options)),
        environment_(context_),
        backend_(environment_, std::move(behaviour), journal_),
        server_(
            context_, {options_.listen, options_.connection_limit, options_.connection_delay},
            [this](std::shared_ptr<HttpExchange> exchange) {
              backend_.handle(std::move(exchange));
            },
            [this](const std::shared_ptr<HttpExchange>& exchange) {
              backend_.refuseConnection(*exchange);
            }),
        signals_(context_, SIGTERM, SIGINT) {
    backend_.onDrainRequest([this] { beginDrain(); });
    signals_.async_wait([this](const boost::system::error_code& error, int) {
      if (!error) beginDrain();
    });
  }

  int run(const std::string& id) {
    if (!options_.journal_file.empty()) {
      const Result<std::string> opened = journal_.openFile(options_.journal_file);
      if (!opened) return fail(opened.error());
    }
    const Result<Address> bound = server_.start();
    if (!bound) return fail(bound.error());
    std::cout << "back end " << id << " listens on " << formatAddress(*bound) << std::endl;
    context_.run();
    std::cout << "back end " << id << " stopped with " << backend_.busy() << " unfinished requests"
              << std::endl;
    return backend_.busy() == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
  }

 private:
  static int fail(const Error& error) {
    std::cerr << describe(error) << '\n';
    return EXIT_FAILURE;
  }

  void beginDrain() {
    if (backend_.draining()) return;
    server_.closeAfterReplies();
    environment_.schedule(options_.drain_limit, [this] { context_.stop(); });
    environment_.schedule(options_.drain_time, [this] {
      drain_time_over_ = true;
      stopIfDrained();
    });
    backend_.drain([this] {
      drained_ = true;
      stopIfDrained();
    });
  }

  /// Stops the process once the drain is complete. A short delay lets replies that were just
  /// written leave the socket.
  void stopIfDrained() {
    constexpr Duration kFlushTime = std::chrono::milliseconds(50);
    if (!drain_time_over_ || !drained_) return;
    server_.stop();
    environment_.schedule(kFlushTime, [this] { context_.stop(); });
  }

  BackendProcessOptions options_;
  boost::asio::io_context context_;
  runtime::AsioEnvironment environment_;
  Journal journal_;
  Backend backend_;
  HttpServer server_;
  boost::asio::signal_set signals_;
  bool drain_time_over_ = false;
  bool drained_ = false;
};

Duration millisecondsOf(const cxxopts::ParseResult& flags, const char* name) {
  return std::chrono::milliseconds(flags[name].as<std::int64_t>());
}

void addBehaviourFlags(cxxopts::Options& options) {
  auto add = options.add_options();
  add("id", "Id of this server", cxxopts::value<std::string>()->default_value("backend"));
  add("service", "Its service", cxxopts::value<std::string>()->default_value("service"));
  add("slots", "Requests at work at once", cxxopts::value<std::uint32_t>()->default_value("10"));
  add("queue", "Requests that may wait", cxxopts::value<std::uint32_t>()->default_value("10"));
  add("service-time-ms", "Work per request", cxxopts::value<std::int64_t>()->default_value("5"));
  add("cold-start-ms", "Slower this long", cxxopts::value<std::int64_t>()->default_value("0"));
  add("cold-factor", "So much slower", cxxopts::value<std::uint32_t>()->default_value("4"));
  add("answer-bytes", "Size of an answer", cxxopts::value<std::size_t>()->default_value("200"));
  add("load-lag-ms", "Age of load reports", cxxopts::value<std::int64_t>()->default_value("0"));
  add("load-lie", "Reported in place of the load", cxxopts::value<std::string>());
  add("health-lies", "Healthy even while draining");
}

void addProcessFlags(cxxopts::Options& options) {
  auto add = options.add_options();
  add("listen", "IP:PORT", cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
  add("connections", "Connection limit", cxxopts::value<std::size_t>()->default_value("120"));
  add("connect-ms", "A new connection costs", cxxopts::value<std::int64_t>()->default_value("1"));
  add("drain-ms", "Refuses at least this long after SIGTERM",
      cxxopts::value<std::int64_t>()->default_value("1000"));
  add("drain-limit-ms", "Ends at last", cxxopts::value<std::int64_t>()->default_value("30000"));
  add("journal-file", "Also journal here", cxxopts::value<std::string>()->default_value(""));
}

BackendOptions readBehaviour(const cxxopts::ParseResult& flags) {
  BackendOptions behaviour;
  behaviour.id = flags["id"].as<std::string>();
  behaviour.service = flags["service"].as<std::string>();
  behaviour.slots = flags["slots"].as<std::uint32_t>();
  behaviour.queue_limit = flags["queue"].as<std::uint32_t>();
  behaviour.service_time = millisecondsOf(flags, "service-time-ms");
  behaviour.cold_start = millisecondsOf(flags, "cold-start-ms");
  behaviour.cold_factor = flags["cold-factor"].as<std::uint32_t>();
  behaviour.answer_bytes = flags["answer-bytes"].as<std::size_t>();
  behaviour.load_lag = millisecondsOf(flags, "load-lag-ms");
  if (flags.count("load-lie") > 0) behaviour.load_lie = flags["load-lie"].as<std::string>();
  behaviour.health_lies = flags.count("health-lies") > 0;
  return behaviour;
}

}  // namespace

int runBackend(int argc, char** argv) {
  cxxopts::Options options("coursepond-standin backend", "A stand-in of one back-end server");
  addBehaviourFlags(options);
  addProcessFlags(options);
  const cxxopts::ParseResult flags = options.parse(argc, argv);
  const Result<Address> listen = parseAddress(flags["listen"].as<std::string>());
  if (!listen) {
    std::cerr << describe(listen.error()) << '\n';
    return EXIT_FAILURE;
  }
  BackendProcessOptions process;
  process.listen = *listen;
  process.connection_limit = flags["connections"].as<std::size_t>();
  process.connection_delay = millisecondsOf(flags, "connect-ms");
  process.drain_time = millisecondsOf(flags, "drain-ms");
  process.drain_limit = millisecondsOf(flags, "drain-limit-ms");
  process.journal_file = flags["journal-file"].as<std::string>();
  const BackendOptions behaviour = readBehaviour(flags);
  return BackendProcess(process, behaviour).run(behaviour.id);
}

}  // namespace coursepond::standin
