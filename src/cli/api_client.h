#pragma once

/// Synchronous client for the operator API of one node.

#include <cxxopts.hpp>
#include <memory>
#include <optional>
#include <string>

#include "cli/command.h"
#include "core/address.h"
#include "core/error.h"
#include "core/time.h"
#include "runtime/settings.h"

namespace coursepond::cli {

/// An answer of the API, which may be a refusal.
struct ApiAnswer {
  int status = 0;
  std::string body;  ///< JSON.
};

/// Returns the error of a refusal, or nothing if the answer reports success.
std::optional<Error> refusalOf(const ApiAnswer& answer);

class ApiClient {
 public:
  ApiClient(Address node, runtime::SecretText token, Duration timeout);
  ApiClient(ApiClient&&) noexcept;
  ~ApiClient();

  /// Only connection errors are returned as errors: kUnavailable, kTimeout, kTooLarge, kMalformed.
  Result<ApiAnswer> get(const std::string& target);
  Result<ApiAnswer> post(const std::string& target, const std::string& body);

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

/// Adds --node, --token-file, --timeout-ms and --json.
void addApiOptions(cxxopts::Options& options);

/// Creates a client from those flags. The token is read from --token-file or the environment
/// variable COURSEPOND_TOKEN, never from the command line, which is visible to other users of the
/// machine.
Result<ApiClient> makeApiClient(const cxxopts::ParseResult& parsed);

/// Returns the exit code of a command that failed with this error.
ExitCode exitCodeOf(const Error& error);

}  // namespace coursepond::cli
