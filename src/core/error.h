#pragma once

/// Typed errors. Every error has a kind (for branches in code and for counters), a message (what is
/// wrong) and a remedy (what the user can do about it).

#include <boost/system/result.hpp>
#include <string>
#include <string_view>
#include <system_error>

namespace coursepond {

/// The reason for a refusal or failure. Converts to std::error_code through make_error_code.
enum class ErrorKind {
  kInvalidArgument = 1,  ///< The request or document itself is wrong.
  kMissingDependency,    ///< A route refers to a service or secret that does not exist.
  kDigestMismatch,       ///< Content does not match the digest in the acceptance record.
  kVersionRegression,    ///< Older than the version already held.
  kBaseMismatch,         ///< A delta or a plan is based on another version than the one held.
  kNotFound,             ///< No such plan, version, route or key.
  kConflict,             ///< Another operator's plan is being confirmed.
  kNoQuorum,             ///< Too few zones are reachable to confirm.
  kOutcomeUnknown,       ///< It may or may not have taken effect; the remedy says how to find out.
  kUnavailable,          ///< A peer or the platform does not respond.
  kTooLarge,             ///< Exceeds a limit from the settings.
  kMalformed,            ///< The bytes are not a message of this protocol.
  kUnauthorized,         ///< The bearer token is missing or wrong.
  kOverloaded,           ///< Refused because of overload; retry later.
  kTimeout,              ///< The deadline passed.
};

/// Returns the stable name of the kind, used in logs, metrics and API responses:
/// "missing_dependency".
std::string_view kindName(ErrorKind kind);

/// Returns the category of all ErrorKind codes.
const std::error_category& errorCategory();

std::error_code make_error_code(ErrorKind kind);

/// Describes one failure and what the user can do about it.
struct Error {
  ErrorKind kind = ErrorKind::kInvalidArgument;
  std::string message;  ///< What is wrong, including the offending value and where it was found.
  std::string remedy;   ///< What to do about it.

  std::error_code code() const { return make_error_code(kind); }
};

/// Formats an error: "missing_dependency: route 'x' needs secret 'y' (remedy: add it to secrets)".
std::string describe(const Error& error);

/// Called by Result::value() on an error: throws std::system_error with the error's code.
[[noreturn]] void throw_exception_from_error(const Error& error,
                                             const boost::source_location& location);

/// A value or an Error.
template <typename T>
using Result = boost::system::result<T, Error>;

}  // namespace coursepond

template <>
struct std::is_error_code_enum<coursepond::ErrorKind> : std::true_type {};
