#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <charconv>
#include <csignal>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "http_server.h"
#include "platform.h"
#include "programs.h"
#include "runtime/asio_environment.h"

namespace coursepond::standin {

namespace {

Result<std::string> readFile(const std::filesystem::path& path) {
  const std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (file.fail()) {
    return Error{ErrorKind::kNotFound, "cannot read " + path.string(), "check the path"};
  }
  return text.str();
}

/// Adds every file NUMBER.json of the folder as the configuration with that version. Returns the
/// highest version.
Result<Version> loadConfigurations(const std::filesystem::path& folder, Platform& platform) {
  Version newest;
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator(folder, error)) {
    const std::string stem = entry.path().stem().string();
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(stem.data(), stem.data() + stem.size(), number);
    const bool is_number = parsed.ec == std::errc() && parsed.ptr == stem.data() + stem.size();
    if (!is_number || entry.path().extension() != ".json") continue;
    const Result<std::string> text = readFile(entry.path());
    if (!text) return text.error();
    platform.addConfiguration(Version(number), *text);
    newest = std::max(newest, Version(number));
  }
  if (error || newest == Version()) {
    return Error{ErrorKind::kNotFound, "no configurations in " + folder.string(),
                 "add documents named 1.json, 2.json, ..."};
  }
  return newest;
}

/// Carries out the platform's decision, after its delay if it has one. Hanging exchanges are kept
/// open in `hanging`.
void deliver(Environment& environment, const std::shared_ptr<HttpExchange>& exchange,
             std::vector<std::shared_ptr<HttpExchange>>& hanging, PlatformReply result) {
  if (result.delivery == PlatformReply::Delivery::kHang) return hanging.push_back(exchange);
  if (result.delivery == PlatformReply::Delivery::kAbort) return exchange->abort();
  if (result.delay <= Duration::zero()) return exchange->reply(std::move(result.reply));
  environment.schedule(result.delay, [exchange, reply = std::move(result.reply)]() mutable {
    exchange->reply(std::move(reply));
  });
}

Result<Version> loadPlatform(const cxxopts::ParseResult& flags, Platform& platform) {
  const Result<Version> newest =
      loadConfigurations(flags["configurations"].as<std::string>(), platform);
  if (!newest) return newest.error();
  const Result<std::string> machines_text = readFile(flags["machines"].as<std::string>());
  if (!machines_text) return machines_text.error();
  const Result<MachineList> machines = parseMachineList(*machines_text);
  if (!machines) return machines.error();
  platform.replaceMachines(*machines);
  const auto wanted = flags["publish"].as<std::uint64_t>();
  return platform.publish(wanted == 0 ? *newest : Version(wanted));
}

int serve(const Address& listen, Platform& platform) {
  boost::asio::io_context context;
  runtime::AsioEnvironment environment(context);
  std::vector<std::shared_ptr<HttpExchange>> hanging;
  const auto handler = [&](const std::shared_ptr<HttpExchange>& exchange) {
    deliver(environment, exchange, hanging, platform.handle(exchange->request()));
  };
  HttpServer server(context, {.listen = listen}, handler, handler);
  const Result<Address> bound = server.start();
  if (!bound) {
    std::cerr << describe(bound.error()) << '\n';
    return EXIT_FAILURE;
  }
  std::cout << "platform listens on " << formatAddress(*bound) << std::endl;
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code&, int) { context.stop(); });
  context.run();
  return EXIT_SUCCESS;
}

}  // namespace

int runPlatform(int argc, char** argv) {
  cxxopts::Options options("coursepond-standin platform", "A stand-in of the platform's service");
  auto add = options.add_options();
  add("listen", "IP:PORT", cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
  add("configurations", "Folder of documents 1.json, 2.json, ...", cxxopts::value<std::string>());
  add("machines", "Machine list (JSON)", cxxopts::value<std::string>());
  add("publish", "The newest version at the start; 0 for the highest",
      cxxopts::value<std::uint64_t>()->default_value("0"));
  const cxxopts::ParseResult flags = options.parse(argc, argv);
  const Result<Address> listen = parseAddress(flags["listen"].as<std::string>());
  Platform platform;
  const Result<Version> newest =
      listen ? loadPlatform(flags, platform) : Result<Version>(listen.error());
  if (!newest) {
    std::cerr << describe(newest.error()) << '\n';
    return EXIT_FAILURE;
  }
  return serve(*listen, platform);
}

}  // namespace coursepond::standin
