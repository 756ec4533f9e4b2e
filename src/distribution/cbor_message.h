#pragma once

/// Shared decoding of messages that are encoded as a CBOR array [type, fields...].

#include <array>
#include <functional>
#include <string>
#include <string_view>

#include "core/error.h"
#include "distribution/cbor_array_reader.h"

namespace coursepond::distribution {

/// Parses `bytes` (at most `limit`) as a CBOR array and passes it to `read`. Returns an error text
/// if the bytes cannot be parsed; an empty text means that `read` was called.
std::string_view readCborArray(std::string_view bytes, std::size_t limit,
                               const std::function<void(CborArrayReader&)>& read);

/// Decodes one message. `protocol` is the protocol name used in error messages. `readers` and
/// `names` are indexed by message type number. Returns kMalformed for anything else; never throws.
template <typename Message, std::size_t kCount>
Result<Message> decodeCborMessage(std::string_view bytes, std::size_t limit,
                                  std::string_view protocol,
                                  const std::array<Message (*)(CborArrayReader&), kCount>& readers,
                                  const std::array<std::string_view, kCount>& names) {
  Message message;
  std::string problem;
  const auto read = [&](CborArrayReader& reader) {
    const std::uint64_t type = reader.number();
    if (type >= kCount) {
      problem = "unknown type";
      return;
    }
    message = readers[type](reader);
    if (!reader.finished()) problem = "wrong fields for a " + std::string(names[type]);
  };
  const std::string_view bad_bytes = readCborArray(bytes, limit, read);
  if (!bad_bytes.empty()) problem = bad_bytes;
  if (problem.empty()) return message;
  return Error{ErrorKind::kMalformed, std::string(protocol) + " message: " + problem,
               "run the same release of coursepond on every node"};
}

}  // namespace coursepond::distribution
