#include "journal_reader.h"

#include <boost/asio/io_context.hpp>
#include <fstream>
#include <optional>
#include <sstream>

#include "runtime/http_client.h"

namespace coursepond::load {

namespace {

constexpr int kOk = 200;
constexpr Duration kReadTimeout = std::chrono::seconds(10);

Result<std::string> readBackEnd(const Address& address) {
  boost::asio::io_context context(1);
  runtime::HttpClient client(context);
  std::optional<Result<runtime::HttpClientResponse>> outcome;
  runtime::HttpClientRequest request;
  request.target = "/journal";
  client.request(address, request, kReadTimeout, [&](Result<runtime::HttpClientResponse> result) {
    outcome = std::move(result);
    context.stop();
  });
  context.run();
  if (!outcome->has_value()) return outcome->error();
  if ((*outcome)->status != kOk) {
    return Error{ErrorKind::kUnavailable, "cannot read a journal from " + formatAddress(address),
                 "pass only addresses of back ends"};
  }
  return std::move((*outcome)->body);
}

Result<std::string> readJournalFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file.is_open()) {
    return Error{ErrorKind::kNotFound, "cannot open the journal file " + path, "check the path"};
  }
  return text.str();
}

}  // namespace

Result<standin::JournalEntries> readJournals(const JournalSources& sources) {
  standin::JournalEntries entries;
  for (const Address& address : sources.back_ends) {
    const Result<std::string> text = readBackEnd(address);
    if (!text) return text.error();
    const Result<std::size_t> merged = standin::mergeJournalText(*text, entries);
    if (!merged) return merged.error();
  }
  for (const std::string& path : sources.files) {
    const Result<std::string> text = readJournalFile(path);
    if (!text) return text.error();
    const Result<std::size_t> merged = standin::mergeJournalLines(*text, entries);
    if (!merged) return merged.error();
  }
  return entries;
}

}  // namespace coursepond::load
