#include "cli/api_client.h"

#include <boost/asio/io_context.hpp>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "cli/options.h"
#include "runtime/http_client.h"

namespace coursepond::cli {
namespace {

constexpr char kTokenVariable[] = "COURSEPOND_TOKEN";
constexpr int kFirstErrorStatus = 400;

std::optional<ErrorKind> kindNamed(const std::string& name) {
  for (int value = static_cast<int>(ErrorKind::kInvalidArgument);
       value <= static_cast<int>(ErrorKind::kTimeout); ++value) {
    const auto kind = static_cast<ErrorKind>(value);
    if (kindName(kind) == name) return kind;
  }
  return std::nullopt;
}

std::string trimmed(std::string text) {
  const std::size_t last = text.find_last_not_of(" \t\r\n");
  text.resize(last == std::string::npos ? 0 : last + 1);
  return text;
}

Result<runtime::SecretText> readToken(const cxxopts::ParseResult& parsed) {
  if (parsed.count("token-file") > 0) {
    Result<std::string> text = readFile(parsed["token-file"].as<std::string>());
    if (!text) return text.error();
    return runtime::SecretText(trimmed(std::move(*text)));
  }
  const char* variable = std::getenv(kTokenVariable);
  if (variable != nullptr) return runtime::SecretText(variable);
  return Error{ErrorKind::kUnauthorized, "no operator token is set",
               std::string("pass a file with --token-file, or set ") + kTokenVariable};
}

}  // namespace

std::optional<Error> refusalOf(const ApiAnswer& answer) {
  if (answer.status < kFirstErrorStatus) return std::nullopt;
  const nlohmann::json body = nlohmann::json::parse(answer.body, nullptr, false);
  if (body.is_object() && body.contains("error") && body["error"].is_object()) {
    const nlohmann::json& error = body["error"];
    const std::optional<ErrorKind> kind = kindNamed(error.value("kind", ""));
    if (kind) return Error{*kind, error.value("message", ""), error.value("remedy", "")};
  }
  return Error{ErrorKind::kUnavailable,
               "the node answered with status " + std::to_string(answer.status),
               "check that --node is the admin address of a coursepond node"};
}

class ApiClient::Implementation {
 public:
  Implementation(Address node, runtime::SecretText token, Duration timeout)
      : node_(std::move(node)), token_(std::move(token)), timeout_(timeout), client_(context_) {}

  Result<ApiAnswer> call(const std::string& method, const std::string& target,
                         const std::string& body) {
    runtime::HttpClientRequest request;
    request.method = method;
    request.target = target;
    request.headers.push_back({"Authorization", "Bearer " + token_.reveal()});
    if (!body.empty()) request.headers.push_back({"Content-Type", "application/json"});
    request.body = body;
    std::optional<Result<runtime::HttpClientResponse>> response;
    client_.request(node_, std::move(request), timeout_,
                    [&response](Result<runtime::HttpClientResponse> received) {
                      response = std::move(received);
                    });
    context_.restart();
    while (!response && context_.run_one() > 0) {
    }
    if (!response) return Error{ErrorKind::kUnavailable, "the call was aborted", "try again"};
    if (!*response) return response->error();
    return ApiAnswer{(*response)->status, std::move((*response)->body)};
  }

 private:
  Address node_;
  runtime::SecretText token_;
  Duration timeout_;
  boost::asio::io_context context_;
  runtime::HttpClient client_;
};

ApiClient::ApiClient(Address node, runtime::SecretText token, Duration timeout)
    : implementation_(
          std::make_unique<Implementation>(std::move(node), std::move(token), timeout)) {}

ApiClient::ApiClient(ApiClient&&) noexcept = default;

ApiClient::~ApiClient() = default;

Result<ApiAnswer> ApiClient::get(const std::string& target) {
  return implementation_->call("GET", target, "");
}

Result<ApiAnswer> ApiClient::post(const std::string& target, const std::string& body) {
  return implementation_->call("POST", target, body);
}

void addApiOptions(cxxopts::Options& options) {
  options.add_options()("n,node", "Admin address of any node", cxxopts::value<std::string>(),
                        "IP:PORT")("token-file", "File that contains the operator token",
                                   cxxopts::value<std::string>(), "FILE")(
      "timeout-ms", "How long one call may take",
      cxxopts::value<std::uint32_t>()->default_value("15000"), "MS")("json", "Print JSON");
}

Result<ApiClient> makeApiClient(const cxxopts::ParseResult& parsed) {
  if (parsed.count("node") == 0) {
    return Error{ErrorKind::kInvalidArgument, "no node is specified",
                 "add --node IP:PORT, the admin address of any node"};
  }
  const Result<Address> node = parseAddress(parsed["node"].as<std::string>());
  if (!node) return node.error();
  Result<runtime::SecretText> token = readToken(parsed);
  if (!token) return token.error();
  const auto timeout = std::chrono::milliseconds(parsed["timeout-ms"].as<std::uint32_t>());
  return ApiClient(*node, std::move(*token), timeout);
}

ExitCode exitCodeOf(const Error& error) {
  switch (error.kind) {
    case ErrorKind::kUnavailable:
    case ErrorKind::kTimeout:
      return ExitCode::kUnavailable;
    case ErrorKind::kOutcomeUnknown:
      return ExitCode::kOutcomeUnknown;
    default:
      return ExitCode::kRefused;
  }
}

}  // namespace coursepond::cli
