#include <doctest/doctest.h>

#include "core/address.h"
#include "core/digest.h"
#include "core/error.h"
#include "core/ids.h"

namespace coursepond {

TEST_CASE("formatted addresses are parsed back unchanged") {
  for (const char* text : {"127.0.0.1:8080", "[::1]:65535", "10.0.0.1:0"}) {
    const Result<Address> address = parseAddress(text);
    REQUIRE(address.has_value());
    CHECK(formatAddress(*address) == text);
  }
}

TEST_CASE("invalid addresses are rejected with a remedy") {
  for (const char* text : {"", ":80", "host", "127.0.0.1:", "127.0.0.1:70000", "::1:80", "a:8x"}) {
    const Result<Address> address = parseAddress(text);
    REQUIRE_FALSE(address.has_value());
    CHECK(address.error().kind == ErrorKind::kInvalidArgument);
    CHECK_FALSE(address.error().remedy.empty());
  }
}

TEST_CASE("a digest is the SHA-256 of its input and survives conversion to hex and to bytes") {
  const Digest digest = Digest::of("abc");
  CHECK(digest.toHex() == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  CHECK(*Digest::fromHex(digest.toHex()) == digest);
  CHECK(*Digest::fromBytes(digest.bytes()) == digest);
  CHECK(Digest::fromHex("zz").error().kind == ErrorKind::kMalformed);
  CHECK(Digest::fromBytes("short").error().kind == ErrorKind::kMalformed);
}

TEST_CASE("an error is also a std::error_code") {
  const Error error{ErrorKind::kNoQuorum, "2 of 4 zones answered", "confirm on the other side"};
  CHECK(error.code() == ErrorKind::kNoQuorum);
  CHECK(describe(error) == "no_quorum: 2 of 4 zones answered (remedy: confirm on the other side)");
}

TEST_CASE("versions are ordered, and the default version is below every published one") {
  CHECK(Version() < Version(1));
  CHECK(Version(1).next() == Version(2));
}

}  // namespace coursepond
