// Tests of the keys of teams.

#include <catch2/catch.hpp>
#include <ostream>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/state/team_keys.h"

namespace peridot {
namespace {

template <typename T>
concept Streamable = requires(std::ostream& out, const T& value) {
  out << value;
};

TEST_CASE("a key's secret cannot be written to a stream", "[keys]") {
  // Guards against a log line that contains a key.
  STATIC_REQUIRE(Streamable<KeyId>);
  STATIC_REQUIRE_FALSE(Streamable<KeySecret>);
  STATIC_REQUIRE_FALSE(std::is_convertible_v<KeySecret, std::string>);
}

TEST_CASE("a key's text form is parsed back and has one digest", "[keys]") {
  const KeySecret secret = KeySecret::Generate().value();
  const std::string text = secret.RevealText();
  REQUIRE(text.size() == 67);
  REQUIRE(KeySecret::Parse(text).value().Digest() == secret.Digest());
  REQUIRE(DigestKeyText(text) == secret.Digest());
  REQUIRE(KeyDigest::ParseHex(secret.Digest().Hex()).value() ==
          secret.Digest());
}

TEST_CASE("the digest is SHA-256 of the text", "[keys]") {
  // The digest of "abc" published as a test vector of SHA-256.
  REQUIRE(DigestKeyText("abc").Hex() ==
          "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST_CASE("generated keys differ", "[keys]") {
  std::set<std::string> ids;
  for (int i = 0; i < 1000; ++i) {
    ids.insert(MakeKeyId(KeySecret::Generate().value().Digest()).value);
  }
  REQUIRE(ids.size() == 1000);
}

TEST_CASE("a text that is no key is rejected and not quoted", "[keys]") {
  const std::string digits(64, 'a');
  const std::vector<std::string> bad = {"",
                                        "pk_",
                                        digits,
                                        "pk_" + digits.substr(1),
                                        "pk_" + digits + "0",
                                        "pk_" + digits.substr(1) + "G",
                                        "PK_" + digits};
  for (const std::string& text : bad) {
    const Result<KeySecret> key = KeySecret::Parse(text);
    REQUIRE(key.has_error());
    REQUIRE(key.error().message.find("aaaa") == std::string::npos);
  }
  REQUIRE(KeyDigest::ParseHex(digits.substr(1)).has_error());
  REQUIRE(KeyDigest::ParseHex(digits.substr(1) + "x").has_error());
}

TEST_CASE("a digest finds the key of exactly one team", "[keys]") {
  std::vector<TeamKey> keys;
  std::vector<KeyDigest> digests;
  for (const char* team : {"counts", "rebuilds", "_admin"}) {
    digests.push_back(DigestKeyText(team));
    keys.push_back({MakeKeyId(digests.back()), TeamId(team), digests.back()});
  }
  REQUIRE(FindKeyByDigest(keys, digests[1])->team == TeamId("rebuilds"));
  REQUIRE(FindKeyByDigest(keys, digests[2])->IsAdmin());
  REQUIRE_FALSE(FindKeyByDigest(keys, digests[0])->IsAdmin());
  KeyDigest almost = digests[0];
  almost.bytes[31] ^= 1U;
  REQUIRE(FindKeyByDigest(keys, almost) == nullptr);
  REQUIRE(FindKeyByDigest({}, digests[0]) == nullptr);
}

}  // namespace
}  // namespace peridot
