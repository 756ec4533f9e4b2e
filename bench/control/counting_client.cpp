#include "counting_client.h"

#include <map>
#include <utility>

#include "distribution/compression.h"

namespace coursepond::bench {
namespace {

const std::string kNewestPath = "/v1/configurations";
const std::string kMachinesPath = "/v1/machines";

/// Caches the compressed size of each body by its entity tag, because many clients read the same
/// bodies.
double compressedSize(const std::string& entity_tag, const std::string& body) {
  static std::map<std::string, double> known;
  const auto [entry, is_new] = known.try_emplace(entity_tag, 0);
  if (is_new) entry->second = static_cast<double>(distribution::compressText(body).size());
  return entry->second;
}

double requestBytes(const std::string& path, const std::string& entity_tag) {
  std::string request = "GET " + path + " HTTP/1.1\r\nHost: 10.0.0.1:7000\r\n";
  if (!entity_tag.empty()) request += "If-None-Match: \"" + entity_tag + "\"\r\n";
  return static_cast<double>((request + "\r\n").size());
}

double answerBytes(const source::PlatformAnswer& answer) {
  const std::string tag = "ETag: \"" + answer.entity_tag + "\"\r\n\r\n";
  if (answer.not_modified) {
    return static_cast<double>(("HTTP/1.1 304 Not Modified\r\n" + tag).size());
  }
  const std::string head =
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Encoding: zstd\r\n"
      "Content-Length: 12345\r\n" +
      tag;
  return static_cast<double>(head.size()) + compressedSize(answer.entity_tag, answer.body);
}

}  // namespace

void CountingClient::readNewest(const std::string& entity_tag, source::PlatformCallback callback) {
  inner_->readNewest(entity_tag, counted(kNewestPath, entity_tag, std::move(callback)));
}

void CountingClient::readConfiguration(Version version, source::PlatformCallback callback) {
  const std::string path = kNewestPath + "/" + std::to_string(version.value());
  inner_->readConfiguration(version, counted(path, "", std::move(callback)));
}

void CountingClient::readMachines(const std::string& entity_tag,
                                  source::PlatformCallback callback) {
  inner_->readMachines(entity_tag, counted(kMachinesPath, entity_tag, std::move(callback)));
}

source::PlatformCallback CountingClient::counted(const std::string& path,
                                                 const std::string& entity_tag,
                                                 source::PlatformCallback callback) {
  ++traffic_.reads;
  traffic_.bytes += requestBytes(path, entity_tag);
  return
      [&traffic = traffic_, callback = std::move(callback)](Result<source::PlatformAnswer> answer) {
        if (answer.has_value()) traffic.bytes += answerBytes(*answer);
        callback(std::move(answer));
      };
}

}  // namespace coursepond::bench
